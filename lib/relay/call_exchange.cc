// Exchanges messages with targets and other relays.

#include "call_exchange.h"

#include <string>
#include <utility>

namespace yuccastair::relay {
namespace {

namespace asio = stream::asio;
namespace http = stream::http;
using stream::ErrorCode;
using stream::Task;

// Maximum number of responses to other requests that are skipped before the
// connection is closed.
constexpr int kMaxForeignResponses = 2;
constexpr std::size_t kMaxForeignBodyBytes = std::size_t{1} << 20;

/// A long request body that is sent while the response may already arrive.
struct Upload {
  explicit Upload(asio::io_context& context)
      : finished(context, support::TimePoint::max()) {}

  ErrorCode error;
  bool done = false;
  // Cancelled when the upload has ended.
  asio::steady_timer finished;
};

Task<void> SendUpload(std::shared_ptr<Upload> upload,
                      std::shared_ptr<stream::ClientConnection> connection,
                      http::header<true> head,
                      stream::BodySource& body) {
  upload->error = co_await connection->Write(std::move(head), body);
  upload->done = true;
  upload->finished.cancel();
}

Task<ErrorCode> ReadResponseHead(
    stream::ClientConnection& connection,
    bool headless,
    const std::function<bool(const http::header<false>&)>& accept) {
  auto& reader = connection.reader();
  for (int foreign = 0; foreign <= kMaxForeignResponses; ++foreign) {
    ErrorCode error =
        co_await reader.ReadHead(kMaxResponseHeaderBytes, headless);
    if (error)
      co_return error;
    // An interim response only states that the body is expected.
    const unsigned status = reader.head().result_int();
    if (status >= 100 && status < 200)
      continue;
    if (accept(reader.head().base()))
      co_return ErrorCode();
    std::string ignored;
    error = co_await reader.ReadUpTo(ignored, kMaxForeignBodyBytes);
    if (error)
      co_return error;
    if (!reader.is_done() || !reader.keep_alive())
      break;
  }
  co_return http::error::bad_status;
}

/// Watches for a disconnect of the caller, once its whole request has been
/// read.
void WatchConnection(stream::ServerExchange& exchange, RelayCall& call) {
  call.cancellation.SetDisconnectCheck(
      [&exchange] { return exchange.IsClientGone(); });
  exchange.Watch([&call] { call.cancellation.Request(); });
}

}  // namespace

Task<ErrorCode> SendRequest(
    asio::io_context& context,
    std::shared_ptr<stream::ClientConnection> connection,
    http::header<true> head,
    RelayCall& call,
    std::function<bool(const http::header<false>&)> accept) {
  const bool headless = call.is_head_request();
  if (call.body.whole()) {
    // A target that responds early may have closed its side, so a response may
    // follow a failed write.
    co_await connection->Write(std::move(head), call.body);
    co_return co_await ReadResponseHead(*connection, headless, accept);
  }
  auto upload = std::make_shared<Upload>(context);
  asio::co_spawn(context,
                 SendUpload(upload, connection, std::move(head), call.body),
                 asio::detached);
  const ErrorCode error =
      co_await ReadResponseHead(*connection, headless, accept);
  if (!upload->done) {
    // The rest of the body is not needed. The upload reads from the caller, so
    // it must end before the caller's connection is used for anything else.
    if (error)
      connection->Close();
    co_await upload->finished.async_wait(stream::kAsTuple);
  }
  co_return error;
}

Task<ErrorCode> ReceiveResponseBody(
    stream::ConnectionPool& pool,
    std::shared_ptr<stream::ClientConnection> connection,
    std::chrono::milliseconds max_idle,
    CallResult& result) {
  auto& reader = connection->reader();
  result.body.length = reader.content_length();
  const ErrorCode error =
      co_await reader.ReadUpTo(result.body.begin, stream::kHeldBodyBytes);
  if (error) {
    connection->Close();
    co_return error;
  }
  if (reader.is_done()) {
    // Keeps the announced length of a response to HEAD, which has no body.
    if (!result.body.length)
      result.body.length = result.body.begin.size();
    pool.Release(std::move(connection), max_idle);
    co_return ErrorCode();
  }
  result.body.more = [&pool, connection, max_idle](
                         std::string& out, bool& done) -> Task<ErrorCode> {
    const ErrorCode read_error =
        co_await connection->reader().ReadSome(out, stream::kPieceBytes);
    if (read_error) {
      connection->Close();
      co_return read_error;
    }
    done = connection->reader().is_done();
    if (done)
      pool.Release(connection, max_idle);
    co_return ErrorCode();
  };
  co_return ErrorCode();
}

void FinishResponse(const std::shared_ptr<stream::ClientConnection>& connection,
                    RelayCall& call,
                    CallResult& result) {
  if (result.body.whole()) {
    call.cancellation.ClearHandlers();
    return;
  }
  result.on_body_end = [connection](bool whole) {
    if (!whole)
      connection->Close();
  };
}

void WatchForDisconnect(stream::ServerExchange& exchange, RelayCall& call) {
  if (call.body.whole()) {
    WatchConnection(exchange, call);
    return;
  }
  call.body.more = [&exchange, &call, more = std::move(call.body.more)](
                       std::string& out, bool& done) -> Task<ErrorCode> {
    const ErrorCode error = co_await more(out, done);
    if (error)
      call.cancellation.Request();
    else if (done)
      WatchConnection(exchange, call);
    co_return error;
  };
}

http::header<false> MakeResponseHead(unsigned status) {
  http::header<false> head;
  head.result(status);
  return head;
}

Task<bool> DeliverResponse(stream::ServerExchange& exchange,
                           CallResult& result) {
  const ErrorCode error =
      co_await exchange.Respond(std::move(result.head), result.body);
  if (result.on_body_end)
    std::exchange(result.on_body_end, nullptr)(!error);
  co_return !error;
}

}  // namespace yuccastair::relay
