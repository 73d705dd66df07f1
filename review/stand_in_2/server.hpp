// A sound application server of the users' pages, and clients' requests to it.

#ifndef REVIEW_STAND_IN_2_SERVER_HPP_
#define REVIEW_STAND_IN_2_SERVER_HPP_

#include <set>

#include "kit.hpp"

namespace kit {

/// A server beside a sidecar. It checks X-Expect-Instance, answers with its
/// seal and reports itself to the `control` address of its machine.
class AppServer {
 public:
  struct Run {
    std::int64_t at_ms = 0;
    std::string id;
    std::string path;
  };

  AppServer(const Machine& machine,
            std::string id,
            std::string service,
            int work_ms,
            Record& record)
      : machine_(machine),
        id_(std::move(id)),
        service_(std::move(service)),
        work_ms_(work_ms),
        record_(record) {
    listener_ = Listen(machine.ip, Platform::kApp);
    if (listener_ < 0) {
      std::perror("listen");
      std::exit(2);
    }
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~AppServer() { Stop(); }

  const std::string& id() const { return id_; }

  void Stop() {
    if (stopping_.exchange(true))
      return;
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    close(listener_);
    for (auto& thread : threads_)
      thread.join();
  }

  std::string Beat(const std::string& state, std::int64_t cold_left_ms = 0) {
    return "{\"addr\":\"" + machine_.ip + ":" + std::to_string(Platform::kApp) +
           "\",\"born\":" + std::to_string(born_) +
           ",\"info\":{\"service\":\"" + service_ +
           "\",\"version\":\"v1\",\"zone\":\"" + machine_.zone +
           "\",\"slots\":149},\"status\":{\"state\":\"" + state +
           "\",\"seq\":" + std::to_string(++sequence_) +
           ",\"coldLeftMs\":" + std::to_string(cold_left_ms) + "}}";
  }
  int SendBeat(const std::string& body) const {
    return Call(machine_.ip, Platform::kControl, "POST",
                "/yuccastair/Instances.Heartbeat/" + id_,
                {{"Content-Type", "application/json"}}, body, 1000)
        .status();
  }
  int Deregister() const {
    return Call(machine_.ip, Platform::kControl, "POST",
                "/yuccastair/Instances.Deregister/" + id_,
                {{"Content-Type", "application/json"}},
                "{\"born\":" + std::to_string(born_) + "}", 1000)
        .status();
  }

  /// Until \p until_ms, ends at more than \p per_second requests within a
  /// second: its connections close, and what it runs is lost.
  void CrashAbove(std::size_t per_second, std::int64_t until_ms) {
    crash_until_ = until_ms;
    crash_above_ = per_second;
  }
  /// Ends at a request for \p path, once it has sent \p bytes of its answer.
  void CrashAt(const std::string& path, std::size_t bytes) {
    sent_before_crash_ = bytes;
    crash_path_ = path;
  }
  bool crashed() const { return crashed_; }
  /// Requests that were running when the server ended.
  int lost() const { return lost_; }

  std::vector<Run> runs() {
    std::lock_guard lock(mutex_);
    return runs_;
  }

 private:
  void Accept() {
    while (!stopping_) {
      pollfd wait{listener_, POLLIN, 0};
      if (crashed_)
        shutdown(listener_, SHUT_RDWR);
      if (poll(&wait, 1, 50) != 1 || crashed_) {
        SleepMs(crashed_ ? 20 : 0);
        continue;
      }
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0)
        threads_.emplace_back([this, fd] { Serve(fd); });
    }
  }
  void Serve(int fd) {
    std::string buffer;
    while (!stopping_ && !crashed_) {
      pollfd wait{fd, POLLIN, 0};
      if (buffer.empty() && poll(&wait, 1, 50) == 0)
        continue;
      Message request;
      if (!ReadMessage(fd, buffer, NowMs() + 1000, false, request))
        break;
      const std::string attempt = request.Header("x-attempt-id");
      const std::string expected = request.Header("x-expect-instance");
      std::string answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt +
                           "\r\nX-Server-Seal: seal-" + id_ +
                           "\r\nContent-Length: 2\r\n\r\nok";
      if (!expected.empty() && expected != id_) {
        answer = "HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: " + attempt +
                 "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
      } else {
        {
          std::lock_guard lock(mutex_);
          runs_.push_back({NowMs(), attempt, request.Word(1)});
          const std::size_t count = runs_.size();
          if (NowMs() < crash_until_ && count > crash_above_ &&
              runs_[count - 1 - crash_above_].at_ms > NowMs() - 1000)
            crashed_ = true;
        }
        if (!crash_path_.empty() && request.Word(1) == crash_path_) {
          SendAll(fd,
                  "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt +
                      "\r\nX-Server-Seal: seal-" + id_ +
                      "\r\nContent-Length: 300000\r\n\r\n" +
                      std::string(sent_before_crash_, 'x'),
                  NowMs() + 1000);
          SleepMs(50);
          crashed_ = true;
        }
        for (int slept = 0; slept < work_ms_ && !crashed_; slept += 5)
          SleepMs(5);
        if (crashed_) {
          ++lost_;
          break;
        }
      }
      if (!SendAll(fd, answer, NowMs() + 1000))
        break;
    }
    close(fd);
  }

  const Machine& machine_;
  const std::string id_;
  const std::string service_;
  const int work_ms_;
  Record& record_;
  const std::int64_t born_ = WallMs();
  int sequence_ = 0;
  std::atomic<bool> stopping_ = false;
  std::atomic<std::int64_t> crash_until_ = 0;
  std::atomic<std::size_t> crash_above_ = SIZE_MAX / 2;
  std::string crash_path_;
  std::size_t sent_before_crash_ = 0;
  std::atomic<bool> crashed_ = false;
  std::atomic<int> lost_ = 0;
  int listener_ = -1;
  std::thread acceptor_;
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  std::vector<Run> runs_;
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  std::string kind;
  int timeout_ms = 5000;
  std::string service;
};

inline std::string ConfigDocument(std::uint64_t version,
                                  std::uint64_t base,
                                  const std::vector<Route>& routes) {
  std::string text =
      "{\"version\":" + std::to_string(version) + ",\"routes\":[";
  std::set<std::string> services;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const Route& route = routes[i];
    services.insert(route.service);
    text += (i > 0 ? "," : "") + std::string("{\"name\":\"") + route.name +
            "\",\"host\":\"" + route.host + "\",\"pathPrefix\":\"" +
            route.prefix + "\",\"kind\":\"" + route.kind +
            "\",\"timeoutMs\":" + std::to_string(route.timeout_ms) +
            ",\"targetLatencyMs\":1500,\"priority\":0,\"service\":\"" +
            route.service + "\",\"attempts\":2,\"public\":false}";
  }
  text += "],\"services\":[";
  for (auto it = services.begin(); it != services.end(); ++it)
    text += (it == services.begin() ? "{\"name\":\"" : ",{\"name\":\"") + *it +
            "\",\"healthPath\":\"/healthz\",\"maxConns\":994,\"protocol\":"
            "\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":33.0}";
  return text +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"baseVersion\":" +
         std::to_string(base) + "}";
}

/// The operator sends a call until it is acknowledged, at most for
/// \p give_up_ms. Returns the last status; 0: no answer.
inline int OperatorCall(const std::vector<Machine*>& cores,
                        const std::string& method,
                        const std::string& path,
                        const std::string& body,
                        std::int64_t give_up_ms,
                        Message* answer = nullptr) {
  static std::atomic<std::size_t> next = 0;
  const std::int64_t until = NowMs() + give_up_ms;
  int status = 0;
  while (NowMs() < until) {
    const Message got =
        Call(cores[next % cores.size()]->ip, Platform::kControl, method, path,
             {{"Content-Type", "application/json"}}, body, 1500);
    status = got.status();
    if (answer != nullptr)
      *answer = got;
    if (status != 0 && status < 500 && status != 408 && status != 429)
      return status;
    ++next;
    SleepMs(50);
  }
  return status;
}

inline bool AwaitReady(const std::vector<Machine*>& relays,
                       std::int64_t give_up_ms) {
  const std::int64_t until = NowMs() + give_up_ms;
  for (const Machine* relay : relays) {
    while (Call(relay->ip, Platform::kReady, "GET", "/yuccastair/ready", {}, "",
                1000)
               .status() != 200) {
      if (NowMs() > until)
        return false;
      SleepMs(50);
    }
  }
  return true;
}

}  // namespace kit

#endif  // REVIEW_STAND_IN_2_SERVER_HPP_
