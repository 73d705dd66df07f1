// Connections to servers.

#include "yuccastair/stream/client.h"

#include <algorithm>
#include <utility>

#include "socket_state.h"

namespace yuccastair::stream {

SocketState ClientConnection::Peek() {
  ErrorCode error;
  const SocketState state = stream::StateOf(stream_.socket(), error);
  reader_.OnConnectionFailed(error);
  return state;
}

bool ClientConnection::IsQuiet() {
  return Peek() == SocketState::kQuiet;
}

bool ClientConnection::IsGone() {
  return Peek() == SocketState::kGone;
}

void ClientConnection::CloseSend() {
  ErrorCode ignored;  // Fails only on a connection that has ended.
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void ClientConnection::Close() {
  ErrorCode ignored;  // Closing cannot be retried.
  stream_.socket().close(ignored);
}

std::shared_ptr<ClientConnection> ConnectionPool::TakeKept(
    const std::string& key) {
  const auto found = idle_.find(key);
  if (found == idle_.end())
    return nullptr;
  auto& connections = found->second;
  const auto now = support::SteadyClock().Now();
  while (!connections.empty()) {
    auto connection = std::move(connections.back());
    connections.pop_back();
    if (now < connection->idle_until_ && connection->IsQuiet())
      return connection;
  }
  return nullptr;
}

Task<ConnectionPool::Acquired> ConnectionPool::Acquire(
    support::Address address,
    support::TimePoint deadline) {
  if (auto kept = TakeKept(address.ToString())) {
    kept->SetDeadline(deadline);
    co_return Acquired{std::move(kept), {}, true};
  }
  auto connection = std::make_shared<ClientConnection>(context_);
  connection->address_ = address;
  connection->SetDeadline(std::min(
      deadline, support::SteadyClock().Now() + options_.connect_timeout));
  auto [error] =
      co_await connection->stream_.async_connect(ToEndpoint(address), kAsTuple);
  if (error)
    co_return Acquired{nullptr, error, false};
  ErrorCode ignored;  // The connection works without the option, only slower.
  connection->stream_.socket().set_option(asio::ip::tcp::no_delay(true),
                                          ignored);
  connection->SetDeadline(deadline);
  co_return Acquired{std::move(connection), {}, false};
}

void ConnectionPool::Release(std::shared_ptr<ClientConnection> connection,
                             std::chrono::milliseconds max_idle) {
  auto& reader = connection->reader_;
  auto& connections = idle_[connection->address_.ToString()];
  if (!reader.is_done() || !reader.keep_alive() || reader.need_eof() ||
      !connection->IsClean() || !connection->stream_.socket().is_open() ||
      connections.size() >= options_.max_idle_per_address) {
    connection->Close();
    return;
  }
  connection->stream_.expires_never();
  connection->idle_until_ =
      support::SteadyClock().Now() + std::min(max_idle, options_.max_idle);
  connections.push_back(std::move(connection));
}

ConnectionPool::KeptState ConnectionPool::StateOf(
    const support::Address& address) {
  KeptState state;
  const auto found = idle_.find(address.ToString());
  if (found == idle_.end())
    return state;
  for (const auto& connection : found->second)
    ++(connection->IsQuiet() ? state.open : state.closed);
  return state;
}

void ConnectionPool::Drop(const support::Address& address) {
  idle_.erase(address.ToString());
}

void ConnectionPool::CloseIdle() {
  const auto now = support::SteadyClock().Now();
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second, [&](const auto& connection) {
      return now >= connection->idle_until_;
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

}  // namespace yuccastair::stream
