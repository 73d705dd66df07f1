// Starts, signals and stops the processes of an experiment, by pid.

#ifndef YUCCASTAIR_RIG_PROCESSES_H_
#define YUCCASTAIR_RIG_PROCESSES_H_

#include <sys/types.h>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccastair::rig {

/// The processes of one run. All of them end with this object, and with the
/// runner if that is killed.
class Processes {
 public:
  /// Output of each process goes to \p directory/NAME.log.
  explicit Processes(std::string directory);
  ~Processes();

  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  /// Starts a process under a name of its own. Throws support::Error with step
  /// "start process".
  void Start(const std::string& name, const std::vector<std::string>& command);

  /// Returns false if no such process is running.
  bool Signal(const std::string& name, int signal);

  /// Waits for the end of a process; returns its exit code, or 128 plus the
  /// signal that ended it, or nothing when \p limit is over.
  std::optional<int> Wait(const std::string& name,
                          std::chrono::milliseconds limit);

  /// Sends SIGTERM to all and SIGKILL to those left after \p limit. Returns the
  /// names of those that did not exit with 0.
  std::vector<std::string> StopAll(std::chrono::milliseconds limit);

 private:
  const std::string directory_;
  std::map<std::string, pid_t> running_;
};

}  // namespace yuccastair::rig

#endif  // YUCCASTAIR_RIG_PROCESSES_H_
