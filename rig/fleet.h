// The processes of an experiment as one system: control processes, nodes or
// baseline proxies, and targets, with the faults that can be done to them.

#ifndef YUCCASTAIR_RIG_FLEET_H_
#define YUCCASTAIR_RIG_FLEET_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "plan.h"
#include "processes.h"

namespace yuccastair::rig {

enum class SystemKind {
  /// Nodes and control processes of the yuccastair binary.
  kNodes,
  /// Proxies that route at random and retry 3 times at each hop.
  kNaive,
  /// Proxies with a fixed limit at each target and no retries.
  kLimit,
  /// Nothing between the driver and the targets.
  kDirect,
};

struct FleetOptions {
  SystemKind kind = SystemKind::kNodes;
  std::string plan_file;
  /// The yuccastair binary, which may be an earlier version.
  std::string binary;
  /// Folder of the programs of the rig.
  std::string rig;
  /// Program that makes settings, organisations, keys and routes; empty for
  /// none. Called as operate.cc tells.
  std::string operate;
  /// Folder for settings, logs and data.
  std::string directory;
};

/// A fleet that runs for as long as this object.
class Fleet {
 public:
  /// Starts everything and waits until every target can be reached. Throws
  /// support::Error with step "start fleet".
  Fleet(const Plan& plan, FleetOptions options);

  /// Starts the load driver and returns the file name prefix of its results.
  std::string StartDriver(std::int64_t start_ms,
                          std::uint64_t seed,
                          double load);
  bool WaitForDriver(std::chrono::milliseconds limit);

  /// Returns false if the fault could not be done, for example because there is
  /// no operator command.
  bool Do(const FaultPlan& fault);

  /// Requests that the targets of a zone have received so far.
  double ReceivedInZone(const std::string& zone) const;

  /// Reports of the admin ports of all targets that still run.
  std::vector<nlohmann::json> Reports() const;

  /// Stops everything; returns the names of the processes that did not exit
  /// with 0.
  std::vector<std::string> Stop();

 private:
  void StartControls();
  void StartNodes();
  void StartTarget(const Instance& instance);
  void WaitUntilReady() const;
  std::string Operators() const;
  bool Operate(const std::vector<std::string>& words);
  void SetBehaviour(const Instance& instance,
                    const nlohmann::json& order) const;

  const Plan& plan_;
  const FleetOptions options_;
  const std::vector<Instance> instances_;
  const std::vector<ControlInstance> controls_;
  std::string keys_file_;
  int operations_ = 0;
  Processes processes_;
};

}  // namespace yuccastair::rig

#endif  // YUCCASTAIR_RIG_FLEET_H_
