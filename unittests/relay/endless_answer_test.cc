// Targets that send bytes without end in place of an answer, or after one.

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
// What a relay may take of an answer that it does not pass on: its own bounds
// and the buffers of the kernel at both ends.
constexpr std::size_t kMaxTaken = std::size_t{24} << 20;
constexpr auto kDeadline = 400ms;
// An answer ends within this time after the deadline of its request.
constexpr auto kSlack = 2s;

/// Answers a request with \p begin and then with \p piece for ever.
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
  /// Runs a request and reads the answer's body to its end or its failure.
  void Run(const EndlessTarget& target) {
    Announcement announcement;
    announcement.target_id = "t1";
    announcement.sequence = 1;
    announcement.service = "s";
    announcement.address = target.address();
    announcement.slots = 10;
    proxy_.Announce(announcement);
    call_.request_id = "1";
    call_.head.method(stream::http::verb::get);
    call_.head.target("/");
    call_.service = "s";
    call_.body.length = 0;
    call_.deadline = clock_.Now() + kDeadline;
    call_.queue_until = call_.deadline;
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
          if (result_.on_end)
            result_.on_end(whole_);
          done = true;
        },
        stream::asio::detached);
    const support::TimePoint end = call_.deadline + kSlack;
    while (!done && clock_.Now() < end)
      context_.run_one_for(10ms);
    REQUIRE(done);
    // What still comes is not to be taken.
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

// Guards against a relay that takes bytes that are no answer until its memory
// is used up.
TEST_CASE_METHOD(EndlessFixture,
                 "an endless head is no answer and is cut off") {
  const std::string head = kHead;
  const auto test = GENERATE_COPY(values<Case>(
      {{"no HTTP", "", "x"},
       {"a field without end", head + "a: ", "x"},
       {"fields without end", head, "a: b\r\n"},
       {"interim answers without end", "", "HTTP/1.1 100 Continue\r\n\r\n"},
       {"answers to other requests without end", "",
        "HTTP/1.1 200 OK\r\nx-yuccastair-request-id: 2\r\n"
        "x-yuccastair-seal: s\r\nContent-Length: 1\r\n\r\nx"}}));
  CAPTURE(test.name);
  const EndlessTarget target(context_, test.begin, test.piece);
  Run(target);
  CHECK(result_.outcome == wire::OUTCOME_UNKNOWN);
  CHECK(target.sent() < kMaxTaken);
}

// Guards against the same in what frames a body.
TEST_CASE_METHOD(EndlessFixture, "an endless frame of a body is cut off") {
  const std::string chunked =
      std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n";
  const auto test = GENERATE_COPY(values<Case>(
      {{"an extension without end", chunked + "4;", "x"},
       {"a length without end", chunked, "0"},
       {"trailers without end", chunked + "4\r\nbody\r\n0\r\n", "a: b\r\n"}}));
  CAPTURE(test.name);
  const EndlessTarget target(context_, test.begin, test.piece);
  Run(target);
  CHECK_FALSE((result_.outcome == wire::OUTCOME_OK && whole_));
  CHECK(target.sent() < kMaxTaken);
}

// Guards against an answer that goes on after the caller's deadline, and one
// that looks whole though it has no end.
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

// Guards against bytes behind an answer that are taken for the next one or fill
// the memory of a kept connection.
TEST_CASE_METHOD(EndlessFixture, "bytes behind an answer are not taken") {
  const EndlessTarget target(
      context_, std::string(kHead) + "Content-Length: 4\r\n\r\nbody", "x");
  Run(target);
  CHECK(result_.outcome == wire::OUTCOME_OK);
  CHECK(whole_);
  CHECK(target.sent() < kMaxTaken);
}

}  // namespace
}  // namespace yuccastair::relay
