// fork, exec, kill and waitpid.

#include "processes.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <thread>
#include <utility>

#include "yuccastair/support/error.h"

namespace yuccastair::rig {
namespace {

constexpr std::chrono::milliseconds kPoll{10};
constexpr int kExecFailed = 127;
constexpr int kSignalBase = 128;

[[noreturn]] void Exec(const std::string& log, std::vector<std::string> words) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int fd =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(fd, STDOUT_FILENO);
  dup2(fd, STDERR_FILENO);
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (std::string& word : words)
    arguments.push_back(word.data());
  arguments.push_back(nullptr);
  execv(arguments[0], arguments.data());
  _exit(kExecFailed);
}

int ExitCode(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status)
                           : kSignalBase + WTERMSIG(status);
}

}  // namespace

Processes::Processes(std::string directory)
    : directory_(std::move(directory)) {}

Processes::~Processes() {
  StopAll(std::chrono::milliseconds(0));
}

void Processes::Start(const std::string& name,
                      const std::vector<std::string>& command) {
  const pid_t pid = fork();
  if (pid < 0)
    throw support::Error("start process", name, "fork failed");
  if (pid == 0)
    Exec(directory_ + "/" + name + ".log", command);
  running_[name] = pid;
}

bool Processes::Signal(const std::string& name, int signal) {
  const auto found = running_.find(name);
  return found != running_.end() && kill(found->second, signal) == 0;
}

std::optional<int> Processes::Wait(const std::string& name,
                                   std::chrono::milliseconds limit) {
  const auto found = running_.find(name);
  if (found == running_.end())
    return std::nullopt;
  const auto end = std::chrono::steady_clock::now() + limit;
  while (true) {
    int status = 0;
    if (waitpid(found->second, &status, WNOHANG) == found->second) {
      running_.erase(found);
      return ExitCode(status);
    }
    if (std::chrono::steady_clock::now() >= end)
      return std::nullopt;
    std::this_thread::sleep_for(kPoll);
  }
}

std::vector<std::string> Processes::StopAll(std::chrono::milliseconds limit) {
  std::vector<std::string> names;
  for (const auto& [name, pid] : running_) {
    names.push_back(name);
    kill(pid, SIGTERM);
  }
  const auto end = std::chrono::steady_clock::now() + limit;
  std::vector<std::string> failed;
  for (const std::string& name : names) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - std::chrono::steady_clock::now());
    auto code = Wait(name, left);
    if (!code) {
      Signal(name, SIGKILL);
      code = Wait(name, std::chrono::milliseconds(5000));
    }
    if (code != 0)
      failed.push_back(name);
  }
  return failed;
}

}  // namespace yuccastair::rig
