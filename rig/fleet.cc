// Settings files, start-up, faults and reports of a fleet.

#include "fleet.h"

#include <signal.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <thread>
#include <utility>

#include "yuccastair/http/client.h"
#include "yuccastair/support/error.h"

namespace yuccastair::rig {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReadyLimit{15000};
constexpr milliseconds kReadyPoll{50};
constexpr milliseconds kAdminTimeout{2000};
constexpr milliseconds kOperateLimit{20000};
constexpr milliseconds kStopLimit{8000};

std::string Quoted(const std::string& text) {
  return '"' + text + '"';
}

template <typename Items, typename Text>
std::string List(const Items& items, Text text) {
  std::string list;
  for (const auto& item : items)
    list += (list.empty() ? "" : ", ") + Quoted(text(item));
  return "[" + list + "]";
}

http::Exchange Send(const support::Address& address,
                    const std::string& method,
                    const std::string& path,
                    const std::string& body = "") {
  http::Client client(address);
  http::Request request;
  request.method = method;
  request.path = path;
  request.body = body;
  return client.Send(request, kAdminTimeout, false);
}

bool IsGood(const http::Exchange& exchange) {
  return exchange.result == http::ExchangeResult::kComplete &&
         exchange.response.status == 200;
}

}  // namespace

Fleet::Fleet(const Plan& plan, FleetOptions options)
    : plan_(plan),
      options_(std::move(options)),
      instances_(InstancesOf(plan)),
      controls_(ControlsOf(plan)),
      processes_(options_.directory) {
  if (options_.kind == SystemKind::kNodes)
    StartControls();
  if (options_.kind != SystemKind::kDirect)
    StartNodes();
  for (const Instance& instance : instances_)
    StartTarget(instance);
  if (options_.kind == SystemKind::kNodes && !options_.operate.empty()) {
    keys_file_ = options_.directory + "/keys.json";
    if (!Operate({"setup", options_.plan_file, Operators(), keys_file_}))
      throw support::Error("start fleet", options_.operate,
                           "the setup step failed");
  }
  WaitUntilReady();
}

void Fleet::StartControls() {
  for (const ControlInstance& control : controls_) {
    const std::string file = options_.directory + "/" + control.name + ".toml";
    std::filesystem::create_directories(options_.directory + "/data");
    std::ofstream(file)
        << "[control]\nid = " << Quoted(control.name)
        << "\navailability_zone = " << Quoted(control.zone)
        << "\npeer_listen = " << Quoted(control.peer_listen.ToString())
        << "\noperator_listen = " << Quoted(control.operator_listen.ToString())
        << "\ndata_dir = "
        << Quoted(options_.directory + "/data/" + control.name) << "\npeers = "
        << List(controls_,
                [](const auto& c) { return c.peer_listen.ToString(); })
        << "\noperator_peers = "
        << List(controls_,
                [](const auto& c) { return c.operator_listen.ToString(); })
        << '\n';
    processes_.Start(control.name,
                     {options_.binary, "control", "--config", file});
  }
}

void Fleet::StartNodes() {
  for (const Instance& instance : instances_) {
    const std::string name = "node-" + instance.Name();
    if (options_.kind != SystemKind::kNodes) {
      const bool naive = options_.kind == SystemKind::kNaive;
      processes_.Start(
          name, {options_.rig + "/baseline_proxy", "--plan", options_.plan_file,
                 "--instance", std::to_string(instance.number), "--retries",
                 naive ? "3" : "0", "--limit",
                 naive ? "0" : std::to_string(instance.service->slots)});
      continue;
    }
    const std::string file = options_.directory + "/" + name + ".toml";
    std::ofstream(file)
        << "[node]\nid = " << Quoted(name)
        << "\navailability_zone = " << Quoted(instance.zone)
        << "\nlisten = " << Quoted(instance.node_listen.ToString())
        << "\ntarget_listen = "
        << Quoted(instance.node_target_listen.ToString())
        << "\npeer_listen = " << Quoted(instance.node_peer_listen.ToString())
        << "\ncontrols = "
        << List(controls_,
                [](const auto& c) { return c.peer_listen.ToString(); })
        << "\ntarget_workers = 64\n";
    processes_.Start(name, {options_.binary, "node", "--config", file});
  }
}

void Fleet::StartTarget(const Instance& instance) {
  const ServicePlan& service = *instance.service;
  std::vector<std::string> command = {
      options_.rig + "/stand_in_target",
      "--service",
      service.name,
      "--listen",
      instance.target.ToString(),
      "--admin",
      instance.admin.ToString(),
      "--node",
      instance.node_target_listen.ToString(),
      "--slots",
      std::to_string(service.slots),
      "--service-time-ms",
      std::to_string(service.service_ms),
      "--distribution",
      service.distribution,
      "--overload-power",
      std::to_string(service.overload_power),
      "--cold-share",
      std::to_string(service.cold_share),
      "--warm-ms",
      std::to_string(service.warm_ms),
      "--shed-at",
      std::to_string(service.shed_at),
      "--resends",
      std::to_string(service.resends),
      "--seed",
      std::to_string(plan_.seed * 1000 +
                     static_cast<std::uint64_t>(instance.number))};
  if (service.starts_cold)
    command.emplace_back("--cold");
  if (service.hides_cold)
    command.emplace_back("--hide-cold");
  if (options_.kind == SystemKind::kDirect)
    command.emplace_back("--no-announce");
  processes_.Start("target-" + instance.Name(), command);
}

void Fleet::WaitUntilReady() const {
  const auto end = std::chrono::steady_clock::now() + kReadyLimit;
  std::set<std::string> services;
  for (const Instance& instance : instances_)
    services.insert(instance.service->name);
  for (const Instance& instance : instances_) {
    while (!IsGood(Send(instance.admin, "GET", "/report"))) {
      if (std::chrono::steady_clock::now() > end)
        throw support::Error("start fleet", instance.Name(),
                             "the target does not start");
      std::this_thread::sleep_for(kReadyPoll);
    }
  }
  if (options_.kind == SystemKind::kDirect)
    return;
  // The first call of a node to a service makes it follow that service. Without
  // a key the call is refused, which also shows that the node serves.
  for (const Instance& instance : instances_) {
    for (const std::string& service : services) {
      while (
          Send(instance.node_listen, "GET", "/" + service + "/ready").result !=
          http::ExchangeResult::kComplete) {
        if (std::chrono::steady_clock::now() > end)
          throw support::Error("start fleet", "node-" + instance.Name(),
                               "the node does not answer");
        std::this_thread::sleep_for(kReadyPoll);
      }
    }
  }
  std::this_thread::sleep_for(milliseconds(1000));
}

std::string Fleet::StartDriver(std::int64_t start_ms,
                               std::uint64_t seed,
                               double load) {
  std::string out = options_.directory + "/";
  std::vector<std::string> command = {options_.rig + "/load_driver",
                                      "--plan",
                                      options_.plan_file,
                                      "--start-ms",
                                      std::to_string(start_ms),
                                      "--seed",
                                      std::to_string(seed),
                                      "--load",
                                      std::to_string(load),
                                      "--out",
                                      out};
  if (options_.kind == SystemKind::kDirect)
    command.emplace_back("--direct");
  if (!keys_file_.empty()) {
    command.emplace_back("--keys");
    command.push_back(keys_file_);
  }
  processes_.Start("driver", command);
  return out;
}

bool Fleet::WaitForDriver(milliseconds limit) {
  return processes_.Wait("driver", limit) == 0;
}

std::string Fleet::Operators() const {
  std::string list;
  for (const ControlInstance& control : controls_)
    list += (list.empty() ? "" : ",") + control.operator_listen.ToString();
  return list;
}

bool Fleet::Operate(const std::vector<std::string>& words) {
  std::vector<std::string> command = {options_.operate};
  command.insert(command.end(), words.begin(), words.end());
  const std::string name = "operate-" + std::to_string(++operations_);
  processes_.Start(name, command);
  return processes_.Wait(name, kOperateLimit) == 0;
}

void Fleet::SetBehaviour(const Instance& instance,
                         const nlohmann::json& order) const {
  Send(instance.admin, "POST", "/behaviour", order.dump());
}

bool Fleet::Do(const FaultPlan& fault) {
  if (fault.kind == "zone-out" || fault.kind == "zone-in")
    return !options_.operate.empty() &&
           Operate({fault.kind, fault.zone, Operators()});
  int signal = 0;
  if (fault.kind == "kill")
    signal = SIGKILL;
  else if (fault.kind == "stop")
    signal = SIGSTOP;
  else if (fault.kind == "continue")
    signal = SIGCONT;
  else if (fault.kind == "term")
    signal = SIGTERM;
  if (fault.part == "control")
    return processes_.Signal("control-" + std::to_string(fault.index + 1),
                             signal);
  bool done = false;
  for (const Instance& instance : instances_) {
    if (instance.service->name != fault.service ||
        (fault.index >= 0 && fault.index != instance.index))
      continue;
    done = true;
    if (signal != 0)
      done = processes_.Signal(fault.part + "-" + instance.Name(), signal);
    else if (fault.kind == "slow")
      SetBehaviour(instance, {{"slow", fault.factor}});
    else if (fault.kind == "shed")
      SetBehaviour(instance, {{"shed", fault.factor > 0}});
    else
      SetBehaviour(instance, {{fault.kind, true}});
  }
  return done;
}

double Fleet::ReceivedInZone(const std::string& zone) const {
  double received = 0;
  for (const Instance& instance : instances_) {
    if (instance.zone != zone)
      continue;
    const http::Exchange exchange = Send(instance.admin, "GET", "/report");
    if (IsGood(exchange))
      received += nlohmann::json::parse(exchange.response.body)["received"]
                      .get<double>();
  }
  return received;
}

std::vector<nlohmann::json> Fleet::Reports() const {
  std::vector<nlohmann::json> reports;
  for (const Instance& instance : instances_) {
    const http::Exchange exchange = Send(instance.admin, "GET", "/report");
    if (IsGood(exchange))
      reports.push_back(nlohmann::json::parse(exchange.response.body));
  }
  return reports;
}

std::vector<std::string> Fleet::Stop() {
  // Targets would take their time to leave in good order, which is not judged
  // here.
  for (const Instance& instance : instances_) {
    processes_.Signal("target-" + instance.Name(), SIGKILL);
    processes_.Wait("target-" + instance.Name(), kStopLimit);
  }
  return processes_.StopAll(kStopLimit);
}

}  // namespace yuccastair::rig
