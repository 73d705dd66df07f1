// Sockets, HTTP/1.1, processes and the record for the stand-ins of the cases.
// Every address is a loopback address.

#ifndef YUCCASTAIR_REVIEW_STAND_IN_NET_HPP_
#define YUCCASTAIR_REVIEW_STAND_IN_NET_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using SteadyClock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline void Sleep(Ms time) {
  std::this_thread::sleep_for(time);
}

/// What was sent, answered and run, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path)
      : file_(fopen(path.c_str(), "w")), start_(SteadyClock::now()) {
    if (file_ == nullptr) {
      fprintf(stderr, "cannot write %s\n", path.c_str());
      exit(2);
    }
  }
  ~Record() { fclose(file_); }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  /// Milliseconds since the start.
  std::int64_t Now() const {
    return std::chrono::duration_cast<Ms>(SteadyClock::now() - start_).count();
  }
  void Add(const std::string& line) {
    const std::lock_guard lock(mutex_);
    const std::int64_t now = Now();
    fprintf(file_, "%9.3f %s\n", static_cast<double>(now) / 1000, line.c_str());
    fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* const file_;
  const SteadyClock::time_point start_;
};

struct Address {
  std::string ip;
  int port = 0;

  std::string Text() const { return ip + ":" + std::to_string(port); }
  sockaddr_in Raw() const {
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &raw.sin_addr);
    return raw;
  }
};

/// Returns a listening socket, or -1.
inline int Listen(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in raw = address.Raw();
  if (bind(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) == 0 &&
      listen(fd, 256) == 0)
    return fd;
  close(fd);
  return -1;
}

/// Waits for \p events; returns false after \p until.
inline bool Await(int fd, short events, SteadyClock::time_point until) {
  const auto left = std::chrono::ceil<Ms>(until - SteadyClock::now()).count();
  pollfd item{fd, events, 0};
  return left > 0 && poll(&item, 1, static_cast<int>(left)) > 0;
}

inline bool SendAll(int fd,
                    const std::string& bytes,
                    SteadyClock::time_point until) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t got = send(fd, bytes.data() + sent, bytes.size() - sent,
                             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (got > 0)
      sent += static_cast<std::size_t>(got);
    else if (got == 0 || errno != EAGAIN || !Await(fd, POLLOUT, until))
      return false;
  }
  return true;
}

using Headers = std::map<std::string, std::string>;

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(tolower(c)); });
  return text;
}

struct Message {
  /// Of a request: method and path. Of an answer: the status in `status`.
  std::string method;
  std::string path;
  int status = 0;
  /// Names in lower case.
  Headers headers;
  std::string body;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
};

/// Reads messages from a socket.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  /// Bytes that a call of recv() asks for; few of them make a slow reader.
  std::size_t piece = 65536;
  /// Pause after each call of recv().
  Ms pause{0};

  bool ReadHead(Message& message, SteadyClock::time_point until) {
    std::size_t end = 0;
    while ((end = bytes_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until))
        return false;
    }
    const std::string head = bytes_.substr(0, end);
    bytes_.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    const std::string first = head.substr(0, at);
    const std::size_t a = first.find(' ');
    const std::size_t b = first.find(' ', a + 1);
    if (first.substr(0, 5) == "HTTP/") {
      message.status = atoi(first.c_str() + a);
    } else {
      message.method = first.substr(0, a);
      message.path = first.substr(a + 1, b - a - 1);
    }
    while (at != std::string::npos) {
      const std::size_t next = head.find("\r\n", at + 2);
      const std::string line =
          head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
      const std::size_t colon = line.find(':');
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ')
        ++value;
      message.headers[Lower(line.substr(0, colon))] = line.substr(value);
      at = next;
    }
    return true;
  }

  /// Reads the body; returns false unless all of it has arrived.
  bool ReadBody(Message& message, bool answer, SteadyClock::time_point until) {
    if (message.Header("transfer-encoding") == "chunked")
      return ReadChunks(message, until);
    const std::string length = message.Header("content-length");
    if (length.empty() && !answer)
      return true;
    if (length.empty()) {
      while (Fill(until))
        message.body += std::exchange(bytes_, "");
      return ended_;
    }
    const std::size_t wanted = strtoull(length.c_str(), nullptr, 10);
    while (true) {
      const std::size_t missing = wanted - message.body.size();
      message.body += bytes_.substr(0, missing);
      bytes_.erase(0, std::min(missing, bytes_.size()));
      if (message.body.size() == wanted)
        return true;
      if (!Fill(until))
        return false;
    }
  }

  /// Returns the bytes that arrive within \p time although nothing is due.
  std::string TakeUnasked(Ms time) {
    const auto until = SteadyClock::now() + time;
    while (bytes_.empty() && Fill(until)) {
    }
    return std::exchange(bytes_, "");
  }

  /// Whether the other side has closed the connection in good order.
  bool ended() const { return ended_; }

 private:
  bool ReadChunks(Message& message, SteadyClock::time_point until) {
    while (true) {
      std::size_t end = 0;
      while ((end = bytes_.find("\r\n")) == std::string::npos) {
        if (!Fill(until))
          return false;
      }
      const std::size_t size = strtoull(bytes_.c_str(), nullptr, 16);
      bytes_.erase(0, end + 2);
      while (bytes_.size() < size + 2) {
        if (!Fill(until))
          return false;
      }
      message.body += bytes_.substr(0, size);
      bytes_.erase(0, size + 2);
      if (size == 0)
        return true;
    }
  }

  bool Fill(SteadyClock::time_point until) {
    if (!Await(fd_, POLLIN, until))
      return false;
    std::string piece_bytes(piece, '\0');
    const ssize_t got = recv(fd_, piece_bytes.data(), piece_bytes.size(), 0);
    ended_ = got == 0;
    if (got <= 0)
      return false;
    bytes_.append(piece_bytes, 0, static_cast<std::size_t>(got));
    if (pause.count() > 0)
      Sleep(pause);
    return true;
  }

  const int fd_;
  std::string bytes_;
  bool ended_ = false;
};

/// Returns a connected socket, or -1.
inline int Connect(const Address& address, SteadyClock::time_point until) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in raw = address.Raw();
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  int error = 0;
  socklen_t size = sizeof error;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) == 0 ||
      (errno == EINPROGRESS && Await(fd, POLLOUT, until) &&
       getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
       error == 0)) {
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return fd;
  }
  close(fd);
  return -1;
}

struct Exchange {
  /// 0 without an answer.
  int status = 0;
  Message answer;
  /// Whether the whole answer has arrived.
  bool whole = false;
  /// Whether the whole request was written.
  bool sent = false;
};

inline std::string Serialize(const std::string& method,
                             const std::string& path,
                             const Headers& headers,
                             const std::string& body) {
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  if (!body.empty() || method == "POST" || method == "PUT")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

/// Sends one request on a connection of its own.
inline Exchange Ask(const Address& address,
                    const std::string& method,
                    const std::string& path,
                    const Headers& headers,
                    const std::string& body,
                    Ms timeout,
                    std::size_t piece = 65536,
                    Ms pause = Ms(0)) {
  Exchange exchange;
  const auto until = SteadyClock::now() + timeout;
  const int fd = Connect(address, until);
  if (fd < 0)
    return exchange;
  if (pause.count() > 0) {
    // A slow reader does not let the kernel read ahead for it.
    const int bytes = 65536;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  }
  exchange.sent = SendAll(fd, Serialize(method, path, headers, body), until);
  Reader reader(fd);
  reader.piece = piece;
  reader.pause = pause;
  if (exchange.sent && reader.ReadHead(exchange.answer, until)) {
    exchange.status = exchange.answer.status;
    exchange.whole = reader.ReadBody(exchange.answer, true, until);
  }
  close(fd);
  return exchange;
}

/// Serves connections, a thread for each.
class HttpServer {
 public:
  /// Writes the answer itself; returns whether the connection is kept.
  using Handler = std::function<bool(const Message& request, int fd)>;

  HttpServer(Address address, Handler handler)
      : address_(std::move(address)), handler_(std::move(handler)) {}
  ~HttpServer() { Stop(); }
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  bool Start() {
    stopping_ = false;
    listener_ = Listen(address_);
    if (listener_ < 0)
      return false;
    acceptor_ = std::thread([this] { Accept(); });
    return true;
  }

  /// Ends as a killed process does: the listener and all connections at once.
  void Stop() {
    if (!acceptor_.joinable())
      return;
    stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    close(listener_);
    {
      const std::lock_guard lock(mutex_);
      for (auto& connection : connections_)
        shutdown(connection.fd, SHUT_RDWR);
    }
    for (auto& connection : connections_) {
      connection.thread.join();
      close(connection.fd);
    }
    connections_.clear();
  }

  bool stopping() const { return stopping_; }

 private:
  struct Connection {
    int fd = -1;
    std::thread thread;
  };

  void Accept() {
    while (!stopping_) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const std::lock_guard lock(mutex_);
      connections_.push_back({fd, {}});
      connections_.back().thread = std::thread([this, fd] { Serve(fd); });
    }
  }

  void Serve(int fd) {
    Reader reader(fd);
    while (!stopping_) {
      const auto until = SteadyClock::now() + std::chrono::seconds(60);
      Message request;
      if (!reader.ReadHead(request, until) ||
          !reader.ReadBody(request, false, until) || stopping_ ||
          !handler_(request, fd))
        break;
    }
    shutdown(fd, SHUT_RDWR);
  }

  const Address address_;
  const Handler handler_;
  std::atomic<bool> stopping_ = true;
  int listener_ = -1;
  std::thread acceptor_;
  std::mutex mutex_;
  std::list<Connection> connections_;
};

/// A process of the system. Ends with the case, however that ends.
class Process {
 public:
  Process(std::vector<std::string> command, std::string log)
      : command_(std::move(command)), log_(std::move(log)) {
    Start();
  }
  ~Process() {
    Signal(SIGCONT);
    Signal(SIGKILL);
    Wait();
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start() {
    std::vector<char*> words;
    for (std::string& word : command_)
      words.push_back(word.data());
    words.push_back(nullptr);
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ != 0)
      return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
      _exit(127);
    const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(words[0], words.data());
    _exit(127);
  }
  void Signal(int number) const {
    if (pid_ > 0)
      kill(pid_, number);
  }
  void Wait() {
    if (pid_ > 0)
      waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  bool Runs() {
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_)
      pid_ = 0;
    return pid_ > 0;
  }
  std::string Log() const {
    std::string text;
    FILE* const file = fopen(log_.c_str(), "r");
    if (file == nullptr)
      return text;
    std::string piece(65536, '\0');
    std::size_t got = 0;
    while ((got = fread(piece.data(), 1, piece.size(), file)) > 0)
      text.append(piece, 0, got);
    fclose(file);
    return text;
  }

 private:
  std::vector<std::string> command_;
  const std::string log_;
  pid_t pid_ = 0;
};

}  // namespace review

#endif  // YUCCASTAIR_REVIEW_STAND_IN_NET_HPP_
