// Responses that a target must not send, or breaks off. Guards against a part
// of a response, or bytes that are no response, that callers get as a complete
// one.

#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "proxy_fixture.h"
#include "scripted_target.h"

namespace yuccastair::relay {
namespace {

using namespace std::chrono_literals;
using AfterRequest = ScriptedTarget::AfterRequest;

constexpr const char* kFields =
    "x-yuccastair-request-id: {id}\r\nx-yuccastair-seal: s\r\n";
constexpr const char* kSizedBody = "Content-Length: 4\r\n\r\nbody";
constexpr std::size_t kUploadBytes = std::size_t{24} << 20;

/// Lets a call send a body that is longer than what is held of it.
void AddLongBody(RelayCall& call) {
  auto sent = std::make_shared<std::size_t>(0);
  call.head.method(stream::http::verb::post);
  call.idempotent = false;
  call.body.begin = std::string(stream::kHeldBodyBytes, 'u');
  call.body.length = stream::kHeldBodyBytes + kUploadBytes;
  call.body.more = [sent](std::string& out,
                          bool& done) -> stream::Task<stream::ErrorCode> {
    out.append(stream::kPieceBytes, 'u');
    *sent += stream::kPieceBytes;
    done = *sent >= kUploadBytes;
    co_return stream::ErrorCode();
  };
}

class InvalidResponses : protected ProxyFixture {
 protected:
  /// Sends one request to a target that responds with \p answer.
  CallResult RunAgainst(const std::string& answer,
                        AfterRequest after,
                        bool long_upload = false) {
    ScriptedTarget target(context_, answer, after);
    Announce(target);
    RelayCall call;
    Fill(call, "id");
    if (long_upload)
      AddLongBody(call);
    CallResult result = Run(call);
    target.Close();
    return result;
  }
};

std::string WithStatus(const std::string& status) {
  return "HTTP/1.1 " + status + " Said\r\n" + kFields + kSizedBody;
}

std::string WithField(const std::string& line) {
  return "HTTP/1.1 200 OK\r\n" + std::string(kFields) + line + "\r\n" +
         kSizedBody;
}

TEST_CASE_METHOD(InvalidResponses, "a status outside of HTTP is no response") {
  const std::string status = GENERATE("000", "001", "099", "600", "999");
  CAPTURE(status);
  CHECK(RunAgainst(WithStatus(status), AfterRequest::kKeep).outcome ==
        wire::OUTCOME_UNKNOWN);
}

TEST_CASE_METHOD(InvalidResponses, "the statuses of HTTP are responses") {
  const std::string status = GENERATE("200", "404", "500", "599");
  CAPTURE(status);
  CHECK(RunAgainst(WithStatus(status), AfterRequest::kKeep).outcome ==
        wire::OUTCOME_OK);
}

TEST_CASE_METHOD(InvalidResponses,
                 "a transfer coding that is not decoded is no response") {
  const std::string codings =
      GENERATE("gzip, chunked", "gzip", "identity", "chunked, chunked");
  const bool with_length = GENERATE(true, false);
  CAPTURE(codings, with_length);
  const std::string answer =
      "HTTP/1.1 200 OK\r\n" + std::string(kFields) +
      "Transfer-Encoding: " + codings + "\r\n" +
      (with_length ? kSizedBody : "\r\n4\r\nbody\r\n0\r\n\r\n");
  CHECK(RunAgainst(answer, AfterRequest::kClose).outcome ==
        wire::OUTCOME_UNKNOWN);
}

TEST_CASE_METHOD(InvalidResponses, "a malformed field is no response") {
  const std::string line = GENERATE("X A: 1", "X-A : 1", "X\tA: 1", "X\x01: 1",
                                    "X\x7f: 1", "X\xe9: 1", ": 1", "no colon");
  CAPTURE(line);
  SECTION("in the response") {
    CHECK(RunAgainst(WithField(line), AfterRequest::kKeep).outcome ==
          wire::OUTCOME_UNKNOWN);
  }
  SECTION("in an interim response") {
    CHECK(RunAgainst(
              "HTTP/1.1 103 Early\r\n" + line + "\r\n\r\n" + WithStatus("200"),
              AfterRequest::kKeep)
              .outcome == wire::OUTCOME_UNKNOWN);
  }
  SECTION("in a trailer") {
    CHECK(
        RunAgainst("HTTP/1.1 200 OK\r\n" + std::string(kFields) +
                       "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" +
                       line + "\r\n\r\n",
                   AfterRequest::kKeep)
            .outcome == wire::OUTCOME_UNKNOWN);
  }
}

TEST_CASE_METHOD(InvalidResponses,
                 "a reset ends no body, also beside an upload") {
  const std::size_t part = GENERATE(10, 32768);
  const std::string version = GENERATE("HTTP/1.1", "HTTP/1.0");
  const bool long_upload = GENERATE(true, false);
  CAPTURE(part, version, long_upload);
  const std::string answer =
      version + " 200 OK\r\n" + kFields + "\r\n" + std::string(part, 'b');
  CHECK(RunAgainst(answer, AfterRequest::kReset, long_upload).outcome ==
        wire::OUTCOME_UNKNOWN);
}

// A server process that sends such responses runs.
TEST_CASE_METHOD(InvalidResponses, "an invalid response is no restart") {
  ScriptedTarget target(context_, WithStatus("000"), AfterRequest::kClose);
  Announce(target);
  for (int i = 0; i < 10; ++i)
    CHECK(Run("id" + std::to_string(i)).outcome == wire::OUTCOME_UNKNOWN);
  CHECK(proxy_.tracker().State() == wire::TARGET_STATE_UP);
}

/// Bytes of a response and where it is complete.
struct Framing {
  std::string answer;
  bool ends_with_connection;
};

/// One exchange with a proxy of its own: the proxy watches a target for a while
/// after a broken exchange, and each target here closes after its exchange.
class SeparateExchange : public InvalidResponses {
 public:
  using InvalidResponses::RunAgainst;
};

TEST_CASE("no part of a response passes as a whole one") {
  constexpr int kRounds = 400;
  constexpr unsigned kSeed = 5353;
  const std::string body = "some bytes of the target";
  const std::string head = "HTTP/1.1 200 OK\r\n" + std::string(kFields);
  const std::vector<Framing> framings = {
      {head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body,
       false},
      {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nsome \r\n13\r\n" +
           body.substr(5) + "\r\n0\r\n\r\n",
       false},
      {head + "\r\n" + body, true}};
  std::mt19937 random(kSeed);
  for (int round = 0; round < kRounds; ++round) {
    const Framing& framing = framings[random() % framings.size()];
    // "{id}" becomes shorter in the response.
    const bool cut = random() % 3 != 0;
    const std::size_t at =
        cut ? random() % framing.answer.size() : framing.answer.size();
    const bool reset = random() % 2 == 0;
    const bool long_upload = random() % 8 == 0;
    CAPTURE(kSeed, round, at, reset, long_upload, framing.answer);
    SeparateExchange exchange;
    const CallResult result = exchange.RunAgainst(
        framing.answer.substr(0, at),
        reset ? AfterRequest::kReset : AfterRequest::kClose, long_upload);
    CAPTURE(result.reason);
    const std::size_t head_end = framing.answer.find("\r\n\r\n") + 4;
    // A connection that is closed with unread bytes is reset.
    const bool clean_end = !reset && !long_upload;
    if (framing.ends_with_connection && clean_end && at >= head_end) {
      CHECK(result.outcome == wire::OUTCOME_OK);
      CHECK(result.body.begin == body.substr(0, at - head_end));
    } else if (framing.ends_with_connection || cut) {
      CHECK(result.outcome == wire::OUTCOME_UNKNOWN);
    } else if (clean_end) {
      CHECK(result.outcome == wire::OUTCOME_OK);
    }
    if (result.outcome == wire::OUTCOME_OK && !framing.ends_with_connection)
      CHECK(result.body.begin == body);
  }
}

}  // namespace
}  // namespace yuccastair::relay
