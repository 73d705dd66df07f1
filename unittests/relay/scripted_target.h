// A target that responds with scripted bytes.

#ifndef YUCCASTAIR_UNITTESTS_RELAY_SCRIPTED_TARGET_H_
#define YUCCASTAIR_UNITTESTS_RELAY_SCRIPTED_TARGET_H_

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/write.hpp>

#include "yuccastair/stream/types.h"
#include "yuccastair/support/address.h"

namespace yuccastair::relay {

/// Responds to each request with the same bytes, "{id}" replaced by the request
/// id, and then keeps, closes or resets the connection.
class ScriptedTarget {
 public:
  enum class AfterRequest {
    kKeep,
    kClose,
    kReset,
    /// Sends no response and keeps the connection open.
    kNoResponse,
  };
  /// Chooses the behaviour by the request id.
  using ChooseAction = std::function<AfterRequest(const std::string& id)>;

  /// \p id_header is the start of the header line that carries the request id.
  ScriptedTarget(stream::asio::io_context& context,
                 std::string answer,
                 ChooseAction choose_action,
                 std::string id_header = "x-yuccastair-request-id: ")
      : acceptor_(context, {stream::asio::ip::make_address("127.0.0.1"), 0}),
        answer_(std::move(answer)),
        choose_action_(std::move(choose_action)),
        id_header_(std::move(id_header)) {
    stream::asio::co_spawn(context, Accept(context), stream::asio::detached);
  }

  ScriptedTarget(stream::asio::io_context& context,
                 std::string answer,
                 AfterRequest after,
                 std::string id_header = "x-yuccastair-request-id: ")
      : ScriptedTarget(
            context,
            std::move(answer),
            [after](const std::string&) { return after; },
            std::move(id_header)) {}

  support::Address address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  /// The heads of the received requests.
  const std::vector<std::string>& requests() const { return requests_; }
  /// Number of accepted connections.
  int connections() const { return connections_; }
  void Close() { acceptor_.close(); }
  /// Delays the response to each request by the time that \p choose returns for
  /// its id.
  void DelayResponses(
      std::function<std::chrono::milliseconds(const std::string& id)> choose) {
    choose_delay_ = std::move(choose);
  }
  /// Resets the connections of the \p count oldest requests without a response.
  void ResetHeld(std::size_t count) {
    for (; count > 0 && !held_.empty(); --count) {
      Reset(*held_.front());
      held_.pop_front();
    }
  }

 private:
  using Socket = stream::asio::ip::tcp::socket;

  static void Reset(Socket& socket) {
    socket.set_option(stream::asio::socket_base::linger(true, 0));
    socket.close();
  }

  stream::Task<void> Accept(stream::asio::io_context& context) {
    while (true) {
      auto [error, socket] = co_await acceptor_.async_accept(stream::kAsTuple);
      if (error)
        co_return;
      ++connections_;
      stream::asio::co_spawn(context, Serve(std::move(socket)),
                             stream::asio::detached);
    }
  }

  stream::Task<void> Serve(Socket socket) {
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
      const std::string id = IdOf(head);
      const AfterRequest after = choose_action_(id);
      if (after == AfterRequest::kNoResponse) {
        held_.push_back(std::make_unique<Socket>(std::move(socket)));
        co_return;
      }
      if (choose_delay_) {
        stream::asio::steady_timer timer(socket.get_executor(),
                                         choose_delay_(id));
        co_await timer.async_wait(stream::kAsTuple);
      }
      const std::string answer = AnswerTo(id);
      co_await stream::asio::async_write(socket, stream::asio::buffer(answer),
                                         stream::kAsTuple);
      if (after == AfterRequest::kKeep)
        continue;
      if (after == AfterRequest::kClose)
        socket.close();
      else
        Reset(socket);
      co_return;
    }
  }

  /// Returns an empty string for a request without an id.
  std::string IdOf(const std::string& head) const {
    const std::size_t at = head.find(id_header_);
    if (at == std::string::npos)
      return "";
    const std::size_t begin = at + id_header_.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
  }

  std::string AnswerTo(const std::string& id) const {
    std::string answer = answer_;
    for (std::size_t mark = answer.find("{id}"); mark != std::string::npos;
         mark = answer.find("{id}"))
      answer.replace(mark, 4, id);
    return answer;
  }

  stream::asio::ip::tcp::acceptor acceptor_;
  const std::string answer_;
  const ChooseAction choose_action_;
  const std::string id_header_;
  std::function<std::chrono::milliseconds(const std::string& id)> choose_delay_;
  int connections_ = 0;
  std::vector<std::string> requests_;
  std::deque<std::unique_ptr<Socket>> held_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_UNITTESTS_RELAY_SCRIPTED_TARGET_H_
