// Starts real control processes on loopback and probes their log.

#ifndef YUCCASTAIR_UNITTESTS_PROCESSES_CONTROL_CLUSTER_H_
#define YUCCASTAIR_UNITTESTS_PROCESSES_CONTROL_CLUSTER_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "log_prober.h"
#include "temporary_dir.h"

namespace yuccastair {

class ControlCluster {
 public:
  /// Starts the first \p started processes of \p size; all of them if negative.
  /// Uses two ports for each process, from \p first_port on.
  ControlCluster(int size, int first_port, int started = -1)
      : first_port_(first_port) {
    std::string peers;
    for (int i = 0; i < size; ++i)
      peers += (i ? ", \"" : "\"") + Address(i) + "\"";
    for (int i = 0; i < size; ++i) {
      const std::string id = "control-" + std::to_string(i);
      std::ostringstream config;
      config << "[control]\nid = \"" << id << "\"\navailability_zone = \"zone-"
             << i << "\"\npeer_listen = \"" << Address(i)
             << "\"\noperator_listen = \"127.0.0.1:" << first_port_ + 100 + i
             << "\"\ndata_dir = \"" << DataDir(i) << "\"\npeers = [" << peers
             << "]\n";
      configs_.push_back(dir_.Write(id + ".toml", config.str()));
      processes_.push_back(0);
      if (started < 0 || i < started)
        Start(i);
    }
  }
  ~ControlCluster() {
    for (int i = 0; i < size(); ++i)
      Kill(i);
  }
  ControlCluster(const ControlCluster&) = delete;
  ControlCluster& operator=(const ControlCluster&) = delete;

  int size() const { return static_cast<int>(processes_.size()); }
  std::string Address(int i) const {
    return "127.0.0.1:" + std::to_string(first_port_ + i);
  }
  std::string DataDir(int i) const {
    return (dir_.path() / ("data-" + std::to_string(i))).string();
  }

  /// Starts a process; a \p file_limit in bytes makes larger writes fail.
  void Start(int i, rlim_t file_limit = RLIM_INFINITY) {
    const std::string log = DataDir(i) + ".log";
    const pid_t child = fork();
    if (child == 0) {
      if (file_limit != RLIM_INFINITY) {
        const rlimit limit{file_limit, file_limit};
        signal(SIGXFSZ, SIG_IGN);
        setrlimit(RLIMIT_FSIZE, &limit);
      }
      const int out =
          open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      // Log lines, and what is said before there is a log.
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      execl(YUCCASTAIR_BINARY, "yuccastair", "control", "--config",
            configs_[Index(i)].c_str(), nullptr);
      _exit(127);
    }
    processes_[Index(i)] = child;
  }
  void Signal(int i, int signal) const { kill(processes_[Index(i)], signal); }
  /// Ends a process with SIGKILL, if it runs.
  void Kill(int i) {
    if (processes_[Index(i)] <= 0)
      return;
    Signal(i, SIGKILL);
    WaitForExit(i);
  }
  /// Returns the exit code, or -1 if a signal ended the process.
  int WaitForExit(int i) {
    int status = 0;
    waitpid(processes_[Index(i)], &status, 0);
    processes_[Index(i)] = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  void DeleteData(int i) { std::filesystem::remove_all(DataDir(i)); }
  std::string ErrorText(int i) const {
    std::ifstream file(DataDir(i) + ".log");
    return {std::istreambuf_iterator<char>(file), {}};
  }

  /// Returns nothing if there is no answer within \p limit.
  Reply Probe(int i,
              const std::string& payload = "",
              std::chrono::milliseconds limit = std::chrono::seconds(3)) {
    auto answer = prober_.Send(Address(i), payload);
    if (answer.wait_for(limit) != std::future_status::ready)
      return std::nullopt;
    return answer.get();
  }

  template <typename Condition>
  static bool WaitFor(Condition condition) {
    // Far beyond what is needed: the limit only ends a test that hangs.
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(90);
    while (!condition()) {
      if (std::chrono::steady_clock::now() >= end)
        return false;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
  }

  /// Waits for a process that holds the lease; returns -1 if there is none.
  int WaitForLeader(int except = -1) {
    int leader = -1;
    WaitFor([&] {
      for (int i = 0; i < size() && leader < 0; ++i) {
        if (i == except || processes_[Index(i)] <= 0)
          continue;
        const Reply reply = Probe(i);
        if (reply && reply->current_leader())
          leader = i;
      }
      return leader >= 0;
    });
    return leader;
  }

  /// Commits a payload with the leader, wherever it is; returns false if that
  /// proves impossible.
  bool Commit(const std::string& payload, int except = -1) {
    return WaitFor([&] {
      const int leader = WaitForLeader(except);
      const Reply reply = leader < 0 ? std::nullopt : Probe(leader, payload);
      return reply && reply->status() == wire::LogProbeReply::STATUS_COMMITTED;
    });
  }

  /// Waits until all processes have applied the same probes, at least \p count
  /// of them.
  bool WaitForAgreement(std::uint64_t count) {
    return WaitFor([&] {
      std::optional<wire::LogProbeReply> first;
      for (int i = 0; i < size(); ++i) {
        const Reply reply = Probe(i);
        if (!reply || reply->probes() < count)
          return false;
        if (!first)
          first = reply;
        if (reply->digest() != first->digest())
          return false;
      }
      return true;
    });
  }

  LogProber& prober() { return prober_; }

 private:
  static std::size_t Index(int i) { return static_cast<std::size_t>(i); }

  const int first_port_;
  const TemporaryDir dir_;
  std::vector<std::string> configs_;
  std::vector<pid_t> processes_;
  LogProber prober_;
};

}  // namespace yuccastair

#endif  // YUCCASTAIR_UNITTESTS_PROCESSES_CONTROL_CLUSTER_H_
