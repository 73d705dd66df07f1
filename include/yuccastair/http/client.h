// Sends one request at a time to one HTTP server and reads its whole response.

#ifndef YUCCASTAIR_HTTP_CLIENT_H_
#define YUCCASTAIR_HTTP_CLIENT_H_

#include <chrono>
#include <memory>
#include <string>

#include "yuccastair/http/message.h"
#include "yuccastair/support/address.h"

namespace yuccastair::http {

/// How far an exchange got.
enum class ExchangeResult {
  /// The whole response was read.
  kComplete,
  /// No connection came about, so that the server saw nothing.
  kNotSent,
  /// The server may have seen the request.
  kBroken,
  /// As kBroken, because the time was over.
  kTimedOut,
  /// As kBroken, because Cancel() was called.
  kCancelled,
};

struct Exchange {
  ExchangeResult result = ExchangeResult::kNotSent;
  /// Status 0 unless the exchange is complete.
  Response response = {0, {}, {}, false};
  std::string error;
};

/// A connection to one HTTP server, opened when needed.
///
/// A connection whose exchange did not end cleanly is closed, which is also how
/// a cancellation reaches the server. Only Cancel() is safe to call from
/// another thread.
class Client {
 public:
  explicit Client(support::Address server);
  ~Client();

  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends \p request and waits for its response.
  ///
  /// A request is never sent twice. A kept connection that breaks while it is
  /// used ends in kBroken; with \p reuse_connection false the request goes out
  /// on a fresh connection, which cannot have been closed in the meantime.
  Exchange Send(const Request& request,
                std::chrono::milliseconds timeout,
                bool reuse_connection);

  /// Returns whether Send() would find an open connection to reuse.
  bool HasConnection() const;

  /// Ends a Send() under way, or the next one at its start, with kCancelled.
  void Cancel();

  /// Forgets a Cancel() that came after the end of the last Send().
  void ResetCancel();

 private:
  friend bool CanConnect(const support::Address& server);
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Returns whether something listens at \p server. Waits at most 100 ms.
bool CanConnect(const support::Address& server);

}  // namespace yuccastair::http

#endif  // YUCCASTAIR_HTTP_CLIENT_H_
