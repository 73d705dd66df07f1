// Small stand-ins for the review's scripts: the platform, which starts and ends
// the processes of the system, an HTTP client and an HTTP server. Blocking
// sockets and threads; every address is a loopback address.

#ifndef REVIEW_STAND_IN_2_KIT_HPP_
#define REVIEW_STAND_IN_2_KIT_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace kit {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point kStart = Clock::now();

inline std::int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - kStart)
      .count();
}
inline std::int64_t WallMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

/// Writes record.txt: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Line(const std::string& text) {
    std::lock_guard lock(mutex_);
    file_ << NowMs() << " ms  " << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// ---------------------------------------------------------------- sockets

inline int Listen(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline int Connect(const std::string& ip, int port, int timeout_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    pollfd wait{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS || poll(&wait, 1, timeout_ms) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(fd);
      return -1;
    }
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes, std::int64_t until) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto count =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
      continue;
    }
    if (count < 0 && errno != EAGAIN && errno != EINTR)
      return false;
    pollfd wait{fd, POLLOUT, 0};
    const auto left = until - NowMs();
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) < 0)
      return false;
  }
  return true;
}

/// Appends what arrives. Returns 1 for bytes, 0 for the end, -1 for an error or
/// the time-out.
inline int ReadSome(int fd, std::string& buffer, std::int64_t until) {
  while (true) {
    char piece[16384];
    const auto count = recv(fd, piece, sizeof piece, MSG_DONTWAIT);
    if (count > 0) {
      buffer.append(piece, static_cast<std::size_t>(count));
      return 1;
    }
    if (count == 0)
      return 0;
    if (errno != EAGAIN && errno != EINTR)
      return -1;
    const auto left = until - NowMs();
    pollfd wait{fd, POLLIN, 0};
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) < 0)
      return -1;
  }
}

/// Returns the first of eight ports that nothing uses at any loopback address.
/// They lie below those that the kernel gives to clients.
inline int FindFreePorts() {
  for (int attempt = 0; attempt < 500; ++attempt) {
    const int first = 20000 + (getpid() * 8 + attempt * 808) % 12000;
    bool all_free = true;
    for (int port = first; all_free && port < first + 8; ++port) {
      const int fd = Listen("0.0.0.0", port);
      all_free = fd >= 0;
      if (fd >= 0)
        close(fd);
    }
    if (all_free)
      return first;
  }
  std::exit(2);
}

// ---------------------------------------------------------------- messages

struct Message {
  std::string start;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  bool whole = false;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  int status() const {
    return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
  }
  std::string Word(int index) const {
    std::istringstream words(start);
    std::string word;
    for (int i = 0; i <= index; ++i)
      words >> word;
    return word;
  }
};

inline void ParseHead(const std::string& head, Message& message) {
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, message.start);
  if (!message.start.empty() && message.start.back() == '\r')
    message.start.pop_back();
  while (std::getline(lines, line)) {
    const auto colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    std::string value = line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ')
      value.erase(0, 1);
    while (!value.empty() && (value.back() == '\r' || value.back() == ' '))
      value.pop_back();
    message.headers[name] = value;
  }
}

/// Reads a message; `buffer` keeps what follows it. Returns false if the
/// connection ends or nothing comes before the first byte of a message.
inline bool ReadMessage(int fd,
                        std::string& buffer,
                        std::int64_t until,
                        bool is_answer,
                        Message& message) {
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (ReadSome(fd, buffer, until) != 1)
      return false;
  }
  ParseHead(buffer.substr(0, end + 2), message);
  buffer.erase(0, end + 4);
  if (message.headers.count("content-length") != 0) {
    const auto length =
        std::strtoull(message.Header("content-length").c_str(), nullptr, 10);
    while (buffer.size() < length) {
      if (ReadSome(fd, buffer, until) != 1) {
        message.body = buffer;
        return true;
      }
    }
    message.body = buffer.substr(0, length);
    buffer.erase(0, length);
    message.whole = true;
    return true;
  }
  if (message.Header("transfer-encoding") == "chunked") {
    while (true) {
      std::size_t eol = 0;
      while ((eol = buffer.find("\r\n")) == std::string::npos) {
        if (ReadSome(fd, buffer, until) != 1)
          return true;
      }
      const auto size = std::strtoull(buffer.c_str(), nullptr, 16);
      while (buffer.size() < eol + 2 + size + 2) {
        if (ReadSome(fd, buffer, until) != 1)
          return true;
      }
      message.body += buffer.substr(eol + 2, size);
      buffer.erase(0, eol + 2 + size + 2);
      if (size == 0) {
        message.whole = true;
        return true;
      }
    }
  }
  if (!is_answer) {
    message.whole = true;
    return true;
  }
  int got = 1;
  while ((got = ReadSome(fd, buffer, until)) == 1) {
  }
  message.body.swap(buffer);
  message.whole = got == 0;
  return true;
}

/// Sends one request on a new connection. Status 0: no whole answer.
inline Message Call(
    const std::string& ip,
    int port,
    const std::string& method,
    const std::string& path,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body,
    std::int64_t timeout_ms) {
  Message answer;
  const std::int64_t until = NowMs() + timeout_ms;
  const int fd = Connect(
      ip, port, static_cast<int>(std::min<std::int64_t>(timeout_ms, 1000)));
  if (fd < 0)
    return answer;
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  bool has_host = false;
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
    has_host |= name == "Host";
  }
  if (!has_host)
    text += "Host: " + ip + "\r\n";
  if (!body.empty() || method != "GET")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  text += "\r\n" + body;
  std::string buffer;
  if (!SendAll(fd, text, until) ||
      !ReadMessage(fd, buffer, until, true, answer) || !answer.whole)
    answer.start.clear();
  close(fd);
  return answer;
}

// ---------------------------------------------------------------- processes

class Process {
 public:
  Process() = default;
  ~Process() { Kill(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start(const std::vector<std::string>& words, const std::string& log) {
    pid_ = fork();
    if (pid_ != 0)
      return;
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    std::vector<char*> arguments;
    for (const auto& word : words)
      arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  pid_t pid() const { return pid_; }
  bool running() {
    if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_)
      pid_ = 0;
    return pid_ > 0;
  }
  void Signal(int number) {
    if (pid_ > 0)
      kill(pid_, number);
  }
  void Kill() {
    if (pid_ <= 0)
      return;
    kill(pid_, SIGKILL);
    waitpid(pid_, &status_, 0);
    pid_ = 0;
  }
  /// Memory of the process alone (no pages of files), in KiB.
  long AnonymousKb() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.rfind("RssAnon:", 0) == 0)
        return std::atol(line.c_str() + 8);
    }
    return 0;
  }

 private:
  pid_t pid_ = 0;
  int status_ = 0;
};

// ---------------------------------------------------------------- platform

struct Machine {
  std::string name;
  std::string role;  // control or relay
  std::string zone;
  std::string ip;
  std::string service;
  bool bootstrap = true;
  std::string config;
  std::string data_dir;
  std::unique_ptr<Process> process = std::make_unique<Process>();
};

/// Starts the roles of deploy/system.toml with the templates of deploy/.
class Platform {
 public:
  // Free ports, the same on all machines, as on the users' platform.
  static inline const int kFirstPort = FindFreePorts();
  static inline const int kControl = kFirstPort + 2;
  static inline const int kInbound = kFirstPort + 3;
  static inline const int kReady = kFirstPort + 4;
  static inline const int kApp = kFirstPort + 5;
  static inline const int kOutbound = kFirstPort + 6;

  Platform() {
    // run.sh makes the folder and removes it.
    const char* folder = std::getenv("REVIEW_FOLDER");
    if (folder == nullptr)
      std::exit(2);
    folder_ = folder;
    root_ = std::getenv("REVIEW_ROOT") != nullptr ? std::getenv("REVIEW_ROOT")
                                                  : ".";
    // Addresses of their own for each run.
    net_ = "127." + std::to_string(16 + getpid() / 250 % 200) + "." +
           std::to_string(1 + getpid() % 250) + ".";
  }
  ~Platform() {
    for (auto& machine : machines_)
      machine->process->Kill();
  }

  const std::string& folder() const { return folder_; }

  Machine& Add(const std::string& role,
               const std::string& zone,
               const std::string& service = "") {
    auto machine = std::make_unique<Machine>();
    machine->role = role;
    machine->zone = zone;
    machine->service = service;
    machine->name = (role == "control" ? "core-" : "sidecar-") + zone + "-" +
                    std::to_string(machines_.size() + 1);
    machine->ip = net_ + std::to_string(machines_.size() + 1);
    machine->config = folder_ + "/" + machine->name + ".toml";
    machine->data_dir = folder_ + "/" + machine->name + ".data";
    if (role == "control" && seeds_.size() < 3)
      seeds_.push_back(machine->ip + ":" + std::to_string(kControl));
    machines_.push_back(std::move(machine));
    return *machines_.back();
  }
  std::vector<Machine*> Of(const std::string& role) {
    std::vector<Machine*> found;
    for (auto& machine : machines_) {
      if (machine->role == role)
        found.push_back(machine.get());
    }
    return found;
  }

  void WriteSettings(const Machine& machine) const {
    std::ifstream file(root_ + "/deploy/" + machine.role + ".toml");
    std::stringstream content;
    content << file.rdbuf();
    std::string text = content.str();
    std::string seeds;
    for (const auto& seed : seeds_)
      seeds += (seeds.empty() ? "\"" : ",\"") + seed + "\"";
    const std::string at = machine.ip + ":";
    const std::vector<std::pair<std::string, std::string>> values = {
        {"{{node}}", machine.name},
        {"{{zone}}", machine.zone},
        {"{{service}}", machine.service},
        {"{{ip}}", machine.ip},
        {"{{portRange.0}}", std::to_string(kFirstPort)},
        {"{{portRange.1}}", std::to_string(kFirstPort + 1)},
        {"{{listen.control}}", at + std::to_string(kControl)},
        {"{{listen.outbound}}", at + std::to_string(kOutbound)},
        {"{{listen.inbound}}", at + std::to_string(kInbound)},
        {"{{listen.ready}}", at + std::to_string(kReady)},
        {"{{appAddr}}", at + std::to_string(kApp)},
        {"{{dataDir}}", machine.data_dir},
        {"{{seeds|json}}", "[" + seeds + "]"},
        {"{{bootstrap|json}}", machine.bootstrap ? "true" : "false"},
        {"{{bounds.graceS}}", "6"},
        {"{{bounds.drainMs}}", "2000"}};
    for (const auto& [name, value] : values) {
      for (std::size_t found = text.find(name); found != std::string::npos;
           found = text.find(name, found + value.size()))
        text.replace(found, name.size(), value);
    }
    std::ofstream(machine.config) << text;
  }

  void Start(Machine& machine) {
    WriteSettings(machine);
    machine.process->Start({root_ + "/target/yuccastair", machine.role,
                            "--config", machine.config},
                           machine.config + ".log");
    // Only the first start of the whole system has it.
    machine.bootstrap = false;
  }
  void StartAll() {
    for (auto& machine : machines_)
      Start(*machine);
  }

 private:
  std::string folder_;
  std::string root_;
  std::string net_;
  std::vector<std::string> seeds_;
  std::vector<std::unique_ptr<Machine>> machines_;
};

}  // namespace kit

#endif  // REVIEW_STAND_IN_2_KIT_HPP_
