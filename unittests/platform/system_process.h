// Starts one process of the system and ends it with the test.

#ifndef YUCCASTAIR_UNITTESTS_PLATFORM_SYSTEM_PROCESS_H_
#define YUCCASTAIR_UNITTESTS_PLATFORM_SYSTEM_PROCESS_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <string>
#include <utility>

namespace yuccastair {

/// One process of the system.
class Process {
 public:
  Process(std::string role, std::string config)
      : role_(std::move(role)), config_(std::move(config)) {
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
    pid_ = fork();
    if (pid_ != 0)
      return;
    const int log = open((config_ + ".log").c_str(),
                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execl(YUCCASTAIR_BINARY, "yuccastair", role_.c_str(), "--config",
          config_.c_str(), nullptr);
    _exit(127);
  }
  void Signal(int signal) const {
    if (pid_ > 0)
      kill(pid_, signal);
  }
  /// Returns once no thread of the process runs, until SIGCONT.
  void Freeze() {
    Signal(SIGSTOP);
    if (pid_ > 0)
      waitpid(pid_, &status_, WUNTRACED);
  }
  /// Returns whether the process has ended, and keeps its exit status.
  bool HasEnded() {
    if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_)
      pid_ = 0;
    return pid_ <= 0;
  }
  void Wait() {
    if (pid_ > 0)
      waitpid(pid_, &status_, 0);
    pid_ = 0;
  }
  bool ended_well() const {
    return WIFEXITED(status_) && WEXITSTATUS(status_) == 0;
  }

 private:
  const std::string role_;
  const std::string config_;
  pid_t pid_ = 0;
  int status_ = 0;
};

}  // namespace yuccastair

#endif  // YUCCASTAIR_UNITTESTS_PLATFORM_SYSTEM_PROCESS_H_
