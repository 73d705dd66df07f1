// Tests targets that send an endless stream of bytes instead of a response, or
// after one.

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "target_proxy.h"
#include "yuccastair/stream/types.h"

namespace yuccastair::relay {
namespace {

using namespace std::chrono_literals;

constexpr const char* kHead =
    "HTTP/1.1 200 OK\r\nx-yuccastair-request-id: 1\r\n"
    "x-yuccastair-seal: s\r\n";
// Maximum number of bytes that a relay may read of a response that it does not
// pass on: its own limits and the kernel buffers at both ends.
constexpr std::size_t kMaxTaken = std::size_t{24} << 20;
constexpr auto kDeadline = 400ms;
// A response ends within this time after the deadline of its request.
constexpr auto kSlack = 2s;

/// Responds to a request with \p begin, followed by endless copies of \p piece.
class EndlessTarget {
 public:
  EndlessTarget(stream::asio::io_context& context,
                std::string begin,
                const std::string& piece)
      : acceptor_(context, {stream::asio::ip::make_address("127.0.0.1"), 0}),
        begin_(std::move(begin)) {
    while (piece_.size() < 65536)
      piece_ += piece;
    stream::asio::co_spawn(context, Serve(), stream::asio::detached);
  }

  support::Address address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  std::size_t sent() const { return sent_; }

 private:
  stream::Task<void> Serve() {
    auto [error, socket] = co_await acceptor_.async_accept(stream::kAsTuple);
    std::string request;
    co_await stream::asio::async_read_until(
        socket, stream::asio::dynamic_buffer(request), "\r\n\r\n",
        stream::kAsTuple);
    co_await stream::asio::async_write(socket, stream::asio::buffer(begin_),
                                       stream::kAsTuple);
    while (true) {
      auto [failed, bytes] = co_await stream::asio::async_write(
          socket, stream::asio::buffer(piece_), stream::kAsTuple);
      sent_ += bytes;
      if (failed)
        co_return;
    }
  }

  stream::asio::ip::tcp::acceptor acceptor_;
  const std::string begin_;
  std::string piece_;
  std::size_t sent_ = 0;
};

class EndlessFixture {
 protected:
  /// Runs a request and reads the response body to its end or failure.
  void Run(const EndlessTarget& target) {
    Announcement announcement;
    announcement.target_id = "t1";
    announcement.sequence = 1;
    announcement.service = "s";
    announcement.address = target.address();
    announcement.slots = 10;
    proxy_.OnAnnouncement(announcement);
    call_.request_id = "1";
    call_.head.method(stream::http::verb::get);
    call_.head.target("/");
    call_.service = "s";
    call_.body.length = 0;
    call_.deadline = clock_.Now() + kDeadline;
    call_.queue_deadline = call_.deadline;
    bool done = false;
    stream::asio::co_spawn(
        context_,
        [&]() -> stream::Task<void> {
          result_ = co_await proxy_.Run(call_);
          whole_ = result_.body.whole();
          std::string piece;
          while (result_.body.more && !whole_ && !body_error_) {
            piece.clear();
            body_error_ = co_await result_.body.more(piece, whole_);
          }
          if (result_.on_body_end)
            result_.on_body_end(whole_);
          done = true;
        },
        stream::asio::detached);
    const support::TimePoint end = call_.deadline + kSlack;
    while (!done && clock_.Now() < end)
      context_.run_one_for(10ms);
    REQUIRE(done);
    // Bytes that still arrive must not be read.
    const support::TimePoint later = clock_.Now() + 100ms;
    while (clock_.Now() < later)
      context_.run_one_for(10ms);
  }

  stream::asio::io_context context_;
  support::SteadyClock clock_;
  HeaderNames names_;
  observe::Metrics metrics_;
  TargetProxy proxy_{context_, clock_, names_, 2000ms, metrics_};
  RelayCall call_;
  CallResult result_;
  stream::ErrorCode body_error_;
  bool whole_ = false;
};

struct Case {
  const char* name;
  std::string begin;
  std::string piece;
};

// Guards against a relay that reads bytes which are not a response until it
// runs out of memory.
TEST_CASE_METHOD(EndlessFixture,
                 "an endless head is not a response and is aborted") {
  const std::string head = kHead;
  const auto test = GENERATE_COPY(values<Case>(
      {{"no HTTP", "", "x"},
       {"an endless field", head + "a: ", "x"},
       {"endless fields", head, "a: b\r\n"},
       {"endless interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
       {"endless responses to other requests", "",
        "HTTP/1.1 200 OK\r\nx-yuccastair-request-id: 2\r\n"
        "x-yuccastair-seal: s\r\nContent-Length: 1\r\n\r\nx"}}));
  CAPTURE(test.name);
  const EndlessTarget target(context_, test.begin, test.piece);
  Run(target);
  CHECK(result_.outcome == wire::OUTCOME_UNKNOWN);
  CHECK(target.sent() < kMaxTaken);
}

// Guards against the same in the framing of a body.
TEST_CASE_METHOD(EndlessFixture, "endless framing of a body is aborted") {
  const std::string chunked =
      std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n";
  const auto test = GENERATE_COPY(values<Case>(
      {{"an endless extension", chunked + "4;", "x"},
       {"an endless length", chunked, "0"},
       {"endless trailers", chunked + "4\r\nbody\r\n0\r\n", "a: b\r\n"}}));
  CAPTURE(test.name);
  const EndlessTarget target(context_, test.begin, test.piece);
  Run(target);
  CHECK_FALSE((result_.outcome == wire::OUTCOME_OK && whole_));
  CHECK(target.sent() < kMaxTaken);
}

// Guards against a response that continues after the caller's deadline, and an
// endless one that appears to be complete.
TEST_CASE_METHOD(EndlessFixture, "an endless body ends at the deadline") {
  const std::string head = kHead;
  const auto test = GENERATE_COPY(
      values<Case>({{"without a length", head + "\r\n", "x"},
                    {"in chunks", head + "Transfer-Encoding: chunked\r\n\r\n",
                     "4\r\nbody\r\n"}}));
  CAPTURE(test.name);
  const EndlessTarget target(context_, test.begin, test.piece);
  Run(target);
  CHECK_FALSE(whole_);
}

// Guards against bytes after a response that are read as the next response or
// fill the memory of an idle connection.
TEST_CASE_METHOD(EndlessFixture, "bytes after a response are not read") {
  const EndlessTarget target(
      context_, std::string(kHead) + "Content-Length: 4\r\n\r\nbody", "x");
  Run(target);
  CHECK(result_.outcome == wire::OUTCOME_OK);
  CHECK(whole_);
  CHECK(target.sent() < kMaxTaken);
}

}  // namespace
}  // namespace yuccastair::relay
