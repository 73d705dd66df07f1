// Reads an experiment file.

#include "plan.h"

#include <toml++/toml.h>
#include <array>
#include <filesystem>
#include <optional>
#include <sstream>
#include <string_view>

#include "yuccastair/support/error.h"

namespace yuccastair::rig {
namespace {

constexpr const char* kLoopback = "127.0.0.1";
constexpr int kControlPorts = 10;
constexpr int kInstancePorts = 100;
constexpr int kPortsPerInstance = 6;
constexpr std::array<std::string_view, 11> kFaultKinds = {
    "slow", "cold", "silent",   "shed",     "drain",  "kill",
    "stop", "term", "continue", "zone-out", "zone-in"};

/// Reads one table and complains about keys that nothing has read.
class Reader {
 public:
  Reader(const toml::table& table, std::string where)
      : table_(table), where_(std::move(where)) {}

  template <typename Value>
  void Get(const char* key, Value& value) {
    known_.push_back(key);
    const auto node = table_[key];
    if (!node)
      return;
    const auto read = node.value<Value>();
    if (!read)
      Fail(key, "has the wrong type");
    value = *read;
  }

  void Get(const char* key, std::chrono::milliseconds& value) {
    std::int64_t count = value.count();
    Get(key, count);
    value = std::chrono::milliseconds(count);
  }

  void Get(const char* key, Seconds& value) {
    double count = value.count();
    Get(key, count);
    value = Seconds(count);
  }

  void Allow(const char* key) { known_.push_back(key); }

  void Finish() const {
    for (const auto& [key, node] : table_) {
      bool known = false;
      for (const std::string& name : known_)
        known = known || name == std::string_view(key);
      if (!known)
        Fail(std::string(std::string_view(key)).c_str(), "is not known");
    }
  }

  [[noreturn]] void Fail(const char* key, const std::string& what) const {
    throw support::Error("read plan", "", where_ + ": " + key + " " + what);
  }

 private:
  const toml::table& table_;
  const std::string where_;
  std::vector<std::string> known_;
};

ServicePlan ReadService(const toml::table& table) {
  ServicePlan service;
  Reader reader(table, "service");
  reader.Get("name", service.name);
  reader.Get("targets", service.targets);
  reader.Get("slots", service.slots);
  reader.Get("service_ms", service.service_ms);
  reader.Get("distribution", service.distribution);
  reader.Get("overload_power", service.overload_power);
  reader.Get("cold_share", service.cold_share);
  reader.Get("warm_ms", service.warm_ms);
  reader.Get("starts_cold", service.starts_cold);
  reader.Get("hides_cold", service.hides_cold);
  reader.Get("shed_at", service.shed_at);
  reader.Get("resends", service.resends);
  reader.Finish();
  if (service.name.empty())
    reader.Fail("name", "is missing");
  return service;
}

ClassPlan ReadClass(const toml::table& table) {
  ClassPlan caller;
  Reader reader(table, "class");
  reader.Get("name", caller.name);
  reader.Get("organisation", caller.organisation);
  reader.Get("key", caller.key);
  reader.Get("importance", caller.importance);
  reader.Get("method", caller.method);
  reader.Get("service", caller.service);
  reader.Get("chain", caller.chain);
  reader.Get("rate", caller.rate);
  reader.Get("deadline_ms", caller.deadline);
  caller.attempt_timeout = caller.deadline;
  reader.Get("attempt_timeout_ms", caller.attempt_timeout);
  reader.Get("retry", caller.retry);
  reader.Get("retries", caller.retries);
  reader.Get("direct", caller.direct);
  reader.Get("crash", caller.crash);
  reader.Allow("profile");
  reader.Finish();
  if (const toml::array* steps = table["profile"].as_array()) {
    for (const toml::node& step : *steps) {
      const toml::array* pair = step.as_array();
      if (pair == nullptr || pair->size() != 2)
        reader.Fail("profile", "is not a list of [seconds, factor]");
      caller.profile.emplace_back(Seconds(pair->at(0).value_or(0.0)),
                                  pair->at(1).value_or(1.0));
    }
  }
  if (caller.name.empty() || caller.service.empty())
    reader.Fail("name and service", "are required");
  return caller;
}

FaultPlan ReadFault(const toml::table& table) {
  FaultPlan fault;
  Reader reader(table, "fault");
  reader.Get("at_s", fault.at);
  reader.Get("kind", fault.kind);
  reader.Get("part", fault.part);
  reader.Get("service", fault.service);
  reader.Get("index", fault.index);
  reader.Get("factor", fault.factor);
  reader.Get("zone", fault.zone);
  reader.Finish();
  bool known = false;
  for (const std::string_view kind : kFaultKinds)
    known = known || kind == fault.kind;
  if (!known)
    reader.Fail("kind", "\"" + fault.kind + "\" is not a kind of fault");
  return fault;
}

template <typename Item, typename Read>
void ReadAll(const toml::table& root,
             const char* key,
             Read read,
             std::vector<Item>& items) {
  const toml::array* array = root[key].as_array();
  if (array == nullptr)
    return;
  for (const toml::node& node : *array) {
    if (const toml::table* table = node.as_table())
      items.push_back(read(*table));
  }
}

toml::table Parse(const std::string& path) {
  try {
    return toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    std::ostringstream text;
    text << path << ": " << error;
    throw support::Error("read plan", "", text.str());
  }
}

support::Address Loopback(int port) {
  return {kLoopback, static_cast<std::uint16_t>(port)};
}

}  // namespace

Plan ReadPlan(const std::string& path) {
  const toml::table root = Parse(path);
  Reader reader(root, path);
  std::string base;
  reader.Get("include", base);
  // The file adds to its base and overrides single values of it.
  Plan plan;
  if (!base.empty())
    plan =
        ReadPlan((std::filesystem::path(path).parent_path() / base).string());
  reader.Get("name", plan.name);
  reader.Get("seed", plan.seed);
  reader.Get("duration_s", plan.duration);
  reader.Get("warmup_s", plan.warmup);
  reader.Get("trigger_start_s", plan.trigger_start);
  reader.Get("trigger_end_s", plan.trigger_end);
  reader.Get("base_port", plan.base_port);
  reader.Get("controls", plan.controls);
  reader.Get("load", plan.load);
  for (const char* key : {"zones", "service", "class", "fault"})
    reader.Allow(key);
  reader.Finish();
  if (const toml::array* zones = root["zones"].as_array()) {
    for (const toml::node& zone : *zones)
      plan.zones.push_back(zone.value_or(std::string()));
  }
  if (plan.zones.empty())
    reader.Fail("zones", "is missing");
  ReadAll(root, "service", ReadService, plan.services);
  ReadAll(root, "class", ReadClass, plan.classes);
  ReadAll(root, "fault", ReadFault, plan.faults);
  return plan;
}

void MakeDirect(Plan& plan) {
  for (ClassPlan& caller : plan.classes) {
    caller.direct = true;
    caller.chain.clear();
  }
}

std::vector<Instance> InstancesOf(const Plan& plan) {
  std::vector<Instance> instances;
  for (const ServicePlan& service : plan.services) {
    for (int i = 0; i < service.targets; ++i) {
      Instance instance;
      instance.service = &service;
      instance.index = i;
      instance.number = static_cast<int>(instances.size());
      instance.zone =
          plan.zones[static_cast<std::size_t>(i) % plan.zones.size()];
      const int port =
          plan.base_port + kInstancePorts + instance.number * kPortsPerInstance;
      instance.target = Loopback(port);
      instance.admin = Loopback(port + 1);
      instance.node_listen = Loopback(port + 2);
      instance.node_target_listen = Loopback(port + 3);
      instance.node_peer_listen = Loopback(port + 4);
      instances.push_back(instance);
    }
  }
  return instances;
}

std::vector<ControlInstance> ControlsOf(const Plan& plan) {
  std::vector<ControlInstance> controls;
  for (int i = 0; i < plan.controls; ++i) {
    const int port = plan.base_port + kControlPorts + 2 * i;
    controls.push_back(
        {"control-" + std::to_string(i + 1),
         plan.zones[static_cast<std::size_t>(i) % plan.zones.size()],
         Loopback(port), Loopback(port + 1)});
  }
  return controls;
}

}  // namespace yuccastair::rig
