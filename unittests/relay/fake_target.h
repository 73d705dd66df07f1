// A target that answers with scripted bytes.

#ifndef YUCCASTAIR_UNITTESTS_RELAY_FAKE_TARGET_H_
#define YUCCASTAIR_UNITTESTS_RELAY_FAKE_TARGET_H_

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/write.hpp>

#include "yuccastair/stream/types.h"
#include "yuccastair/support/address.h"

namespace yuccastair::relay {

/// Answers each request with the same bytes, "{id}" replaced by the id of the
/// request, and then keeps, closes or resets the connection.
class FakeTarget {
 public:
  enum class After { kKeep, kClose, kReset };

  /// \p id_header names the header that carries the id of a request.
  FakeTarget(stream::asio::io_context& context,
             std::string answer,
             After after,
             std::string id_header = "x-yuccastair-request-id: ")
      : acceptor_(context, {stream::asio::ip::make_address("127.0.0.1"), 0}),
        answer_(std::move(answer)),
        after_(after),
        id_header_(std::move(id_header)) {
    stream::asio::co_spawn(context, Accept(context), stream::asio::detached);
  }

  support::Address address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  /// The heads of the requests that have arrived.
  const std::vector<std::string>& requests() const { return requests_; }
  void Close() { acceptor_.close(); }

 private:
  stream::Task<void> Accept(stream::asio::io_context& context) {
    while (true) {
      auto [error, socket] = co_await acceptor_.async_accept(stream::kAsTuple);
      if (error)
        co_return;
      stream::asio::co_spawn(context, Serve(std::move(socket)),
                             stream::asio::detached);
    }
  }

  stream::Task<void> Serve(stream::asio::ip::tcp::socket socket) {
    std::string received;
    std::string piece(4096, '\0');
    while (true) {
      std::size_t end = std::string::npos;
      while ((end = received.find("\r\n\r\n")) == std::string::npos) {
        auto [error, bytes] = co_await socket.async_read_some(
            stream::asio::buffer(piece), stream::kAsTuple);
        if (error)
          co_return;
        received.append(piece, 0, bytes);
      }
      const std::string head = received.substr(0, end + 2);
      requests_.push_back(head);
      received.erase(0, end + 4);
      const std::string answer = AnswerTo(head);
      co_await stream::asio::async_write(socket, stream::asio::buffer(answer),
                                         stream::kAsTuple);
      if (after_ == After::kKeep)
        continue;
      if (after_ == After::kReset)
        socket.set_option(stream::asio::socket_base::linger(true, 0));
      socket.close();
      co_return;
    }
  }

  std::string AnswerTo(const std::string& head) const {
    std::string id;
    const std::size_t at = head.find(id_header_);
    if (at != std::string::npos) {
      const std::size_t begin = at + id_header_.size();
      id = head.substr(begin, head.find("\r\n", begin) - begin);
    }
    std::string answer = answer_;
    for (std::size_t mark = answer.find("{id}"); mark != std::string::npos;
         mark = answer.find("{id}"))
      answer.replace(mark, 4, id);
    return answer;
  }

  stream::asio::ip::tcp::acceptor acceptor_;
  const std::string answer_;
  const After after_;
  const std::string id_header_;
  std::vector<std::string> requests_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_UNITTESTS_RELAY_FAKE_TARGET_H_
