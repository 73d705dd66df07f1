// A change whose answer is lost, and control processes that fail or follow.

#include <atomic>
#include <catch2/catch.hpp>
#include <sstream>
#include <thread>

#include "control_fixture.h"
#include "yuccastair/ctl/ctl.h"
#include "yuccastair/http/client.h"
#include "yuccastair/http/server.h"
#include "yuccastair/support/id.h"

namespace yuccastair::ctl {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLongWait{20000};

http::Server::Options Serve(std::uint16_t port, http::Server::Handler handler) {
  http::Server::Options options;
  options.listen = {"127.0.0.1", port};
  options.max_in_flight = 8;
  options.on_request = std::move(handler);
  options.on_refused = [](const http::Request&, int status) {
    return http::Response{status, {}, "{}", true};
  };
  return options;
}

/// Passes requests on to the control process behind it and loses the first
/// answers to changes.
class LossyInterface {
 public:
  LossyInterface(std::uint16_t port, std::uint16_t control, int losses)
      : control_({"127.0.0.1", control}),
        losses_(losses),
        server_(Serve(port, [this](const http::Request& request) {
          return PassOn(request);
        })) {}

  int changes() const { return changes_; }

 private:
  http::Response PassOn(const http::Request& request) {
    http::Client client(control_);
    http::Request copy;
    copy.method = request.method;
    copy.path = request.path;
    copy.body = request.body;
    http::Response response = client.Send(copy, kLongWait, false).response;
    response.headers.clear();
    if (request.path != "/v1/changes")
      return response;
    ++changes_;
    if (losses_-- > 0)
      return {200, {}, "", true};
    return response;
  }

  const support::Address control_;
  std::atomic<int> losses_;
  std::atomic<int> changes_ = 0;
  http::Server server_;
};

std::pair<int, std::string> RunCtl(std::vector<std::string> words,
                                   const std::string& control) {
  words.insert(words.begin(), {"--control", control});
  std::ostringstream out;
  const int code = Run(words, {out, out, support::RandomHex, "operator"});
  return {code, out.str()};
}

// Guards against a change that takes effect twice, or is reported as a
// conflict with itself, because its first answer was lost.
TEST_CASE("a change is sent again under its operation id") {
  const RunningControl control(26200);
  const LossyInterface interface(26205, 26200, 1);
  const auto [code, text] =
      RunCtl({"set", "fleet", "attempts=3"}, "127.0.0.1:26205");
  CAPTURE(text);
  CHECK(code == kSuccess);
  CHECK(interface.changes() == 2);
  CHECK(text == "committed as version 1\n");
  CHECK(RunCtl({"status"}, "127.0.0.1:26200")
            .second.find("settings_version  1") != std::string::npos);
}

TEST_CASE("an answer that never comes is reported as uncertain") {
  const RunningControl control(26210);
  const LossyInterface interface(26215, 26210, 1000);
  const auto [code, text] =
      RunCtl({"set", "fleet", "attempts=3", "--operation-id", "op"},
             "127.0.0.1:26215");
  CHECK(code == kFailure);
  CHECK(text.rfind("uncertain: ", 0) == 0);
  CHECK(text.find("--operation-id op --base-version 0") != std::string::npos);
  const auto again = RunCtl({"set", "fleet", "attempts=3", "--operation-id",
                             "op", "--base-version", "0"},
                            "127.0.0.1:26210");
  CHECK(again.second == "committed as version 1\n");
}

TEST_CASE("a follower's hint leads to the leader") {
  const RunningControl leader(26220);
  const http::Server follower(
      Serve(26225, [](const http::Request& request) -> http::Response {
        if (request.method == "GET")
          return {200, {}, R"({"settings_version":0})", false};
        return {307,
                {},
                R"({"outcome":"not_leader","leader_operator_address":)"
                R"("127.0.0.1:26220"})",
                false};
      }));
  const auto result = RunCtl({"zone", "out", "a"}, "127.0.0.1:26225");
  CHECK(result.first == kSuccess);
  CHECK(result.second == "committed as version 1\n");
}

TEST_CASE("an answer that is not of the API is not taken for success") {
  const http::Server other(Serve(26230, [](const http::Request&) {
    return http::Response{200, {}, "<html>", false};
  }));
  CHECK(RunCtl({"status"}, "127.0.0.1:26230").first == kFailure);
}

TEST_CASE("of operators that act at the same time each gets one outcome") {
  const RunningControl control(26240);
  constexpr int kOperators = 6;
  std::vector<int> codes(kOperators);
  std::vector<std::thread> operators;
  operators.reserve(kOperators);
  for (int i = 0; i < kOperators; ++i)
    operators.emplace_back([&, i] {
      codes[static_cast<std::size_t>(i)] =
          RunCtl({"set", "fleet", "attempts=" + std::to_string(10 + i),
                  "--base-version", "0"},
                 "127.0.0.1:26240")
              .first;
    });
  for (std::thread& thread : operators)
    thread.join();
  CHECK(std::count(codes.begin(), codes.end(), kSuccess) == 1);
  CHECK(std::count(codes.begin(), codes.end(), kRejected) == kOperators - 1);
}

}  // namespace
}  // namespace yuccastair::ctl
