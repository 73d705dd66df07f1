// Tests the encoding of calls and outcomes between relays.

#include "peer_protocol.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace yuccastair::relay {
namespace {

using namespace std::chrono_literals;
namespace http = stream::http;

RelayCall MakeCall(support::TimePoint now) {
  RelayCall call;
  call.request_id = "id1";
  call.head.method(http::verb::put);
  call.head.target("/a/b?c");
  call.head.set("X-Custom", "kept");
  call.service = "s";
  call.route = "r";
  call.organisation = "o";
  call.caller_service = "c";
  call.importance = wire::IMPORTANCE_LOW;
  call.rank = 3;
  call.depth = 2;
  call.idempotent = true;
  call.is_retry = true;
  call.requested_at = now - 250ms;
  call.deadline = now + 700ms;
  call.queue_deadline = now + 90ms;
  return call;
}

TEST_CASE("a call arrives as it was sent") {
  const support::TimePoint now(1h);
  const RelayCall sent = MakeCall(now);
  RelayCall got;
  REQUIRE(DecodeCall(EncodeCall(sent, now), now, got));
  CHECK(got.request_id == "id1");
  CHECK(got.service == "s");
  CHECK(got.route == "r");
  CHECK(got.organisation == "o");
  CHECK(got.caller_service == "c");
  CHECK(got.importance == wire::IMPORTANCE_LOW);
  CHECK(got.rank == 3);
  CHECK(got.depth == 2);
  CHECK(got.idempotent);
  CHECK(got.requested_at == sent.requested_at);
  CHECK(got.deadline == sent.deadline);
  CHECK(got.queue_deadline == sent.queue_deadline);
  CHECK(got.head.target() == "/a/b?c");
  CHECK(got.head["X-Custom"] == "kept");
  CHECK(got.is_retry);
  CHECK_FALSE(got.parent_is_retry);
  CHECK(got.head.find("yc") == got.head.end());
}

// Guards against a caller that claims another organisation or importance by
// sending the relays' headers.
TEST_CASE("headers of this protocol are removed from what callers send") {
  http::header<true> head;
  head.set("YC", "1,1,0,1,1,0,0\tid\ts\tr\tother\tc");
  head.set("yes", "kept");
  RemovePeerHeaders(head);
  CHECK(head.find("yc") == head.end());
  CHECK(head["yes"] == "kept");
}

TEST_CASE("a header that is not that of a relay is rejected") {
  const support::TimePoint now(1h);
  for (const char* text :
       {"", "x", "1,2\tid\ts\tr\to\tc", "1,2,9,0,1,1,0,0\tid\ts\tr\to\tc",
        "1,2,0,0,1,1,0,0\tid\ts\tr\to", "1,2,0,0,1,1,0,0\t\ts\tr\to\tc",
        "1,2,0,0,1,1,0,0\tid\ts\tr\to\tc\td"}) {
    CAPTURE(text);
    http::header<true> head = EncodeCall(MakeCall(now), now);
    head.set("yc", text);
    RelayCall call;
    CHECK_FALSE(DecodeCall(head, now, call));
  }
}

TEST_CASE("an outcome arrives with its load") {
  CallResult sent = CallResult::NotRun("the queue is full");
  sent.reached_target = true;
  sent.retry_after = 250ms;
  sent.load.emplace();
  sent.load->set_running(7);
  sent.load->set_limit(9);
  sent.load->set_state(wire::TARGET_STATE_COLD);
  sent.worst_call_outcome = admission::DownstreamOutcome::kNoCapacity;
  CallResult got;
  REQUIRE(DecodeResult(EncodeResult(sent), got));
  CHECK(got.outcome == wire::OUTCOME_NOT_RUN);
  CHECK(got.reason == "the queue is full");
  CHECK(got.reached_target);
  CHECK(got.retry_after == 250ms);
  CHECK(got.load->running() == 7);
  CHECK(got.load->limit() == 9);
  CHECK(got.load->state() == wire::TARGET_STATE_COLD);
  CHECK(got.worst_call_outcome == admission::DownstreamOutcome::kNoCapacity);
}

// Guards against calls that fail while relays of two versions run.
TEST_CASE("numbers that an earlier version omits are optional") {
  const support::TimePoint now(1h);
  RelayCall sent_call = MakeCall(now);
  sent_call.caller_kind = admission::RequestKind::kUnrepeatable;
  http::header<true> call_head = EncodeCall(sent_call, now);
  RelayCall got_call;
  REQUIRE(DecodeCall(call_head, now, got_call));
  CHECK(got_call.caller_kind == admission::RequestKind::kUnrepeatable);
  const std::string call_text(call_head["yc"]);
  const std::size_t numbers_end = call_text.find('\t');
  call_head.set("yc", call_text.substr(0, call_text.rfind(',', numbers_end)) +
                          call_text.substr(numbers_end));
  RelayCall earlier_call;
  REQUIRE(DecodeCall(call_head, now, earlier_call));
  CHECK(earlier_call.caller_kind == admission::RequestKind::kRepeatable);
  CHECK(earlier_call.requested_at == sent_call.requested_at);

  CallResult sent = CallResult::NotRun("x");
  sent.worst_call_outcome =
      admission::DownstreamOutcome::kRejectedWithFreeSlots;
  http::header<false> head = EncodeResult(sent);
  CallResult got;
  REQUIRE(DecodeResult(head, got));
  CHECK(got.worst_call_outcome ==
        admission::DownstreamOutcome::kRejectedWithFreeSlots);
  const std::string text(head["yc"]);
  head.set("yc", text.substr(0, text.rfind(',')) + "\tx");
  CallResult earlier;
  REQUIRE(DecodeResult(head, earlier));
  CHECK(earlier.worst_call_outcome == admission::DownstreamOutcome::kRejected);
  CHECK(earlier.reason == "x");
}

TEST_CASE("an outcome with an unknown call outcome is invalid") {
  CallResult sent = CallResult::NotRun("x");
  sent.worst_call_outcome = static_cast<admission::DownstreamOutcome>(
      static_cast<int>(admission::DownstreamOutcome::kNoCapacity) + 1);
  CallResult got;
  CHECK_FALSE(DecodeResult(EncodeResult(sent), got));
}

// Guards against outcomes that are lost in transit: an HTTP parser removes
// white space at the end of a header, and with it an empty last part.
TEST_CASE("an outcome without a reason survives an HTTP parser") {
  CallResult sent;
  sent.outcome = wire::OUTCOME_OK;
  sent.head.result(200);
  http::response<http::empty_body> message{EncodeResult(sent)};
  std::ostringstream text;
  text << message;
  http::response_parser<http::empty_body> parser;
  boost::system::error_code error;
  parser.put(boost::asio::buffer(text.str()), error);
  REQUIRE_FALSE(error);
  CallResult got;
  REQUIRE(DecodeResult(parser.get().base(), got));
  CHECK(got.outcome == wire::OUTCOME_OK);
  CHECK(got.reason.empty());
}

// Guards against requests that are started without effect because their relay
// does not learn that a downstream service has no target.
TEST_CASE("a missing service arrives with and without a reason") {
  for (const char* reason : {"", "no target"}) {
    CallResult sent = CallResult::NotRun(reason);
    sent.missing_service = "deep";
    CallResult got;
    REQUIRE(DecodeResult(EncodeResult(sent), got));
    CHECK(got.reason == reason);
    CHECK(got.missing_service == "deep");
  }
}

// Guards against a response of an unrelated process at a reused address that is
// passed on as the target's response.
TEST_CASE("a response without an outcome is invalid") {
  http::header<false> head;
  head.result(200);
  CallResult got;
  CHECK_FALSE(DecodeResult(head, got));
}

}  // namespace
}  // namespace yuccastair::relay
