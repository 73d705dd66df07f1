// An experiment as its TOML file describes it, shared by the runner, the load
// driver and the judge.

#ifndef YUCCASTAIR_RIG_PLAN_H_
#define YUCCASTAIR_RIG_PLAN_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "yuccastair/support/address.h"

namespace yuccastair::rig {

using Seconds = std::chrono::duration<double>;

struct ServicePlan {
  std::string name;
  int targets = 3;
  int slots = 8;
  double service_ms = 20;
  std::string distribution = "lognormal";
  double overload_power = 1.5;
  double cold_share = 0.1;
  int warm_ms = 3000;
  bool starts_cold = false;
  bool hides_cold = false;
  int shed_at = 0;
  int resends = 0;
};

/// Callers of one kind, which send at times of their own, whatever comes back.
struct ClassPlan {
  std::string name;
  std::string organisation;
  /// Empty until the setup step has created one.
  std::string key;
  std::string importance = "normal";
  std::string method = "GET";
  /// Service that is called, and the services that it calls in turn.
  std::string service;
  std::string chain;
  /// Requests per second relative to the other classes; Scale() turns it into
  /// a rate.
  double rate = 1;
  /// Steps of (time, factor) that multiply the rate from that time on.
  std::vector<std::pair<Seconds, double>> profile;
  /// From the scheduled time; a later response is not good.
  std::chrono::milliseconds deadline{2000};
  std::chrono::milliseconds attempt_timeout{2000};
  /// "none", "naive" (every failure at once) or "not-run".
  std::string retry = "none";
  int retries = 3;
  /// Sends to the targets themselves, past the system.
  bool direct = false;
  /// Body that ends the process of a target.
  bool crash = false;
};

struct FaultPlan {
  Seconds at{0};
  /// slow, cold, silent, shed, drain, kill, term, stop, continue, zone-out or
  /// zone-in.
  std::string kind;
  /// target, node or control, for kill, stop and continue.
  std::string part = "target";
  std::string service;
  /// Counts within the service; -1 for all.
  int index = -1;
  double factor = 1;
  std::string zone;
};

struct Plan {
  std::string name;
  std::uint64_t seed = 1;
  Seconds duration{12};
  /// Requests that are scheduled earlier are not judged.
  Seconds warmup{2};
  /// When the last trigger ends, for the recovery time; 0 for no trigger.
  Seconds trigger_start{0};
  Seconds trigger_end{0};
  std::uint16_t base_port = 30000;
  std::vector<std::string> zones;
  int controls = 3;
  /// Offered load as a multiple of the capacity of the busiest service.
  double load = 0.5;
  std::vector<ServicePlan> services;
  std::vector<ClassPlan> classes;
  std::vector<FaultPlan> faults;
};

/// One target with its node.
struct Instance {
  const ServicePlan* service = nullptr;
  int index = 0;
  int number = 0;
  std::string zone;
  support::Address target;
  support::Address admin;
  support::Address node_listen;
  support::Address node_target_listen;
  support::Address node_peer_listen;

  std::string Name() const {
    return service->name + "-" + std::to_string(index);
  }
};

struct ControlInstance {
  std::string name;
  std::string zone;
  support::Address peer_listen;
  support::Address operator_listen;
};

/// Throws support::Error with step "read plan" for a faulty file.
Plan ReadPlan(const std::string& path);

/// Turns all classes into direct ones. Targets cannot call each other without
/// nodes, so the chains are dropped.
void MakeDirect(Plan& plan);

std::vector<Instance> InstancesOf(const Plan& plan);
std::vector<ControlInstance> ControlsOf(const Plan& plan);

/// Slot time that one request of the class takes up in each service, in
/// seconds. A target keeps its slot while it waits for its own calls.
std::map<std::string, double> SlotTimeOf(const Plan& plan,
                                         const ClassPlan& caller);

/// Slots of each service.
std::map<std::string, double> SlotsOf(const Plan& plan);

/// Sets the rates so that the busiest service is offered Plan::load times what
/// its slots can do. Direct classes are counted as all others.
void Scale(Plan& plan);

/// Returns the good requests per second of each class that the targets can
/// achieve at best when the more important classes come first and equally
/// important ones are cut by the same share.
std::map<std::string, double> BestGoodput(const Plan& plan);

}  // namespace yuccastair::rig

#endif  // YUCCASTAIR_RIG_PLAN_H_
