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
};

struct Exchange {
  ExchangeResult result = ExchangeResult::kNotSent;
  /// Status 0 unless the exchange is complete.
  Response response = {0, {}, {}, false};
  std::string error;
};

/// A connection to one HTTP server, opened when needed.
///
/// A connection whose exchange did not end cleanly is closed. Not safe for use
/// by several threads.
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

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yuccastair::http

#endif  // YUCCASTAIR_HTTP_CLIENT_H_
