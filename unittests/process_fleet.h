// Starts control processes and nodes as real processes on loopback, and fake
// targets inside the test.

#ifndef YUCCASTAIR_UNITTESTS_PROCESS_FLEET_H_
#define YUCCASTAIR_UNITTESTS_PROCESS_FLEET_H_

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "temporary_dir.h"
#include "yuccastair/http/client.h"
#include "yuccastair/http/server.h"
#include "yuccastair/support/id.h"

namespace yuccastair {

inline constexpr std::chrono::seconds kPatience{30};

/// Waits until \p condition holds; returns false if it does not in time.
inline bool WaitUntil(const std::function<bool()>& condition,
                      std::chrono::milliseconds limit = kPatience) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

/// A process of the system; killed at the end of the test.
class Process {
 public:
  Process(const std::string& command, const std::string& config) {
    std::string binary = YUCCASTAIR_BINARY;
    std::string arguments[] = {binary, command, "--config", config};
    char* argv[] = {arguments[0].data(), arguments[1].data(),
                    arguments[2].data(), arguments[3].data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 2, (config + ".log").c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn(&pid_, binary.c_str(), &actions, nullptr, argv, environ);
    posix_spawn_file_actions_destroy(&actions);
  }
  ~Process() {
    if (pid_ <= 0)
      return;
    kill(pid_, SIGKILL);
    Wait();
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int number) const { kill(pid_, number); }

  /// Waits for the end; returns the exit code, or -1 after a signal.
  int Wait() {
    int status = 0;
    waitpid(std::exchange(pid_, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  pid_t pid_ = -1;
};

/// Sends one request on a connection of its own.
inline http::Exchange SendHttp(const support::Address& server,
                               const std::string& method,
                               const std::string& path,
                               const std::string& body = "",
                               std::vector<http::Header> headers = {}) {
  http::Client client(server);
  http::Request request;
  request.method = method;
  request.path = path;
  request.body = body;
  request.headers = std::move(headers);
  return client.Send(request, std::chrono::milliseconds(10000), false);
}

/// A target inside the test, which keeps what it receives.
class FakeTarget {
 public:
  using Handler = std::function<http::Response(const http::Request&)>;

  FakeTarget(std::string service,
             std::uint16_t port,
             const support::Address& node,
             Handler handler)
      : service_(std::move(service)),
        node_(node),
        listen_{"127.0.0.1", port},
        handler_(std::move(handler)) {
    http::Server::Options options;
    options.listen = listen_;
    options.on_request = [this](const http::Request& request) {
      {
        std::lock_guard lock(mutex_);
        requests_.push_back(request);
      }
      return handler_(request);
    };
    options.on_refused = [](const http::Request&, int status) {
      return http::Response{status, {}, "", true};
    };
    server_ = std::make_unique<http::Server>(std::move(options));
    announcer_ = std::thread([this] {
      while (!stopping_) {
        Announce();
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
      }
    });
  }
  ~FakeTarget() {
    stopping_ = true;
    announcer_.join();
  }

  std::vector<http::Request> requests() const {
    std::lock_guard lock(mutex_);
    return requests_;
  }
  std::size_t request_count() const { return requests().size(); }
  const support::Address& node() const { return node_; }
  void set_state(const std::string& state) {
    std::lock_guard lock(mutex_);
    state_ = state;
  }

 private:
  void Announce() {
    nlohmann::json body = {{"service", service_},
                           {"incarnation", incarnation_},
                           {"address", listen_.ToString()}};
    {
      std::lock_guard lock(mutex_);
      body["state"] = state_;
    }
    SendHttp(node_, "POST", "/yuccastair/announce", body.dump());
  }

  const std::string service_;
  const std::string incarnation_ = support::RandomId();
  const support::Address node_;
  const support::Address listen_;
  const Handler handler_;
  mutable std::mutex mutex_;
  std::vector<http::Request> requests_;
  std::string state_ = "up";
  std::atomic<bool> stopping_ = false;
  std::unique_ptr<http::Server> server_;
  std::thread announcer_;
};

/// Control processes and nodes on ports from \p base_port on.
///
/// Control process i uses base + 2i and base + 2i + 1; node i uses base + 20 +
/// 3i (callers), + 1 (own target) and + 2 (peers).
class ProcessFleet {
 public:
  /// Appends \p node_settings to the settings of each node.
  ProcessFleet(std::uint16_t base_port,
               int controls,
               const std::vector<std::string>& node_zones,
               std::string node_settings = "")
      : base_port_(base_port),
        control_count_(controls),
        node_settings_(std::move(node_settings)) {
    for (int i = 0; i < controls; ++i)
      StartControl(i);
    for (std::size_t i = 0; i < node_zones.size(); ++i) {
      zones_.push_back(node_zones[i]);
      StartNode(static_cast<int>(i));
    }
  }

  support::Address OperatorAddress(int control) const {
    return Local(2 * control + 1);
  }
  support::Address CallerAddress(int node) const {
    return Local(20 + 3 * node);
  }
  support::Address TargetSideAddress(int node) const {
    return Local(21 + 3 * node);
  }
  Process& control(int index) { return *controls_.at(index); }
  Process& node(int index) { return *nodes_.at(index); }
  std::string DataDir(int control) const {
    return (dir_.path() / ("control-" + std::to_string(control))).string();
  }

  void StartControl(int index) {
    std::string peers;
    std::string operators;
    for (int i = 0; i < control_count_; ++i) {
      peers += "\"" + Local(2 * i).ToString() + "\",";
      operators += "\"" + OperatorAddress(i).ToString() + "\",";
    }
    const std::string id = "c" + std::to_string(index);
    const std::string text =
        "[control]\nid = \"" + id + "\"\navailability_zone = \"zone-" + id +
        "\"\npeer_listen = \"" + Local(2 * index).ToString() +
        "\"\noperator_listen = \"" + OperatorAddress(index).ToString() +
        "\"\ndata_dir = \"" + DataDir(index) + "\"\npeers = [" + peers +
        "]\noperator_peers = [" + operators + "]\n";
    controls_.erase(index);
    controls_[index] =
        std::make_unique<Process>("control", dir_.Write(id + ".toml", text));
  }

  void StartNode(int index) {
    std::string controls;
    for (int i = 0; i < control_count_; ++i)
      controls += "\"" + Local(2 * i).ToString() + "\",";
    const std::string id = "n" + std::to_string(index);
    const std::string text =
        "[node]\nid = \"" + id + "\"\navailability_zone = \"" +
        zones_.at(index) + "\"\nlisten = \"" + CallerAddress(index).ToString() +
        "\"\ntarget_listen = \"" + TargetSideAddress(index).ToString() +
        "\"\npeer_listen = \"" + Local(22 + 3 * index).ToString() +
        "\"\ncontrols = [" + controls + "]\n" + node_settings_;
    nodes_.erase(index);
    nodes_[index] =
        std::make_unique<Process>("node", dir_.Write(id + ".toml", text));
  }

  /// Makes one change of the settings at whichever control process leads.
  /// Returns false if none accepts it in time.
  bool Change(const nlohmann::json& edits) {
    const std::string operation = support::RandomId();
    return WaitUntil([&] {
      for (int i = 0; i < control_count_; ++i) {
        if (TryChange(i, operation, edits))
          return true;
      }
      return false;
    });
  }

  /// Waits for a leader and returns its number; -1 if there is none in time.
  int Leader() const {
    int leader = -1;
    WaitUntil([&] {
      for (int i = 0; i < control_count_; ++i) {
        const http::Exchange status =
            SendHttp(OperatorAddress(i), "GET", "/v1/status");
        if (status.response.body.find("\"leader\":true") != std::string::npos)
          leader = i;
      }
      return leader >= 0;
    });
    return leader;
  }

 private:
  bool TryChange(int control,
                 const std::string& operation,
                 const nlohmann::json& edits) {
    const http::Exchange status =
        SendHttp(OperatorAddress(control), "GET", "/v1/status");
    if (status.response.status != 200 ||
        status.result != http::ExchangeResult::kComplete)
      return false;
    const auto known = nlohmann::json::parse(status.response.body);
    const nlohmann::json change = {
        {"operation_id", operation},
        {"base_version", known.value("settings_version", 0)},
        {"edits", edits}};
    const http::Exchange done = SendHttp(OperatorAddress(control), "POST",
                                         "/v1/changes", change.dump());
    return done.result == http::ExchangeResult::kComplete &&
           done.response.status == 200;
  }

  support::Address Local(int offset) const {
    return {"127.0.0.1", static_cast<std::uint16_t>(base_port_ + offset)};
  }

  const std::uint16_t base_port_;
  const int control_count_;
  const std::string node_settings_;
  const TemporaryDir dir_;
  std::vector<std::string> zones_;
  std::map<int, std::unique_ptr<Process>> controls_;
  std::map<int, std::unique_ptr<Process>> nodes_;
};

}  // namespace yuccastair

#endif  // YUCCASTAIR_UNITTESTS_PROCESS_FLEET_H_
