// What the targets of a plan can do at best.

#include <algorithm>
#include <array>
#include <set>
#include <sstream>

#include "plan.h"
#include "yuccastair/support/error.h"

namespace yuccastair::rig {
namespace {

constexpr std::array<const char*, 4> kImportances = {"critical", "high",
                                                     "normal", "low"};
constexpr double kNothing = 1e-9;

double ServiceSeconds(const Plan& plan, const std::string& name) {
  for (const ServicePlan& service : plan.services) {
    if (service.name == name)
      return service.service_ms / 1000;
  }
  throw support::Error("read plan", "", "service " + name + " is not listed");
}

/// Adds to \p served the largest share of the classes that fits into \p slots,
/// cutting all classes that meet a full service by the same share.
void Fill(const Plan& plan,
          std::vector<const ClassPlan*> classes,
          std::map<std::string, double>& slots,
          std::map<std::string, double>& served) {
  double share = 0;
  while (!classes.empty() && share < 1) {
    std::map<std::string, double> need;
    for (const ClassPlan* caller : classes) {
      for (const auto& [service, time] : SlotTimeOf(plan, *caller))
        need[service] += caller->rate * time;
    }
    double step = 1 - share;
    for (const auto& [service, seconds] : need)
      step = std::min(step, slots[service] / std::max(seconds, kNothing));
    step = std::max(step, 0.0);
    for (const auto& [service, seconds] : need)
      slots[service] -= step * seconds;
    for (const ClassPlan* caller : classes)
      served[caller->name] += step * caller->rate;
    share += step;
    const auto meets_full_service = [&](const ClassPlan* caller) {
      const auto times = SlotTimeOf(plan, *caller);
      return std::any_of(times.begin(), times.end(), [&](const auto& time) {
        return slots[time.first] < kNothing;
      });
    };
    const std::size_t before = classes.size();
    classes.erase(
        std::remove_if(classes.begin(), classes.end(), meets_full_service),
        classes.end());
    if (classes.size() == before)
      break;
  }
}

}  // namespace

std::map<std::string, double> SlotTimeOf(const Plan& plan,
                                         const ClassPlan& caller) {
  std::vector<std::string> path = {caller.service};
  std::istringstream chain(caller.chain);
  for (std::string name; std::getline(chain, name, ',');) {
    if (!name.empty() && name.back() == '!')
      name.pop_back();
    path.push_back(name);
  }
  std::map<std::string, double> times;
  double below = 0;
  for (auto name = path.rbegin(); name != path.rend(); ++name) {
    below += ServiceSeconds(plan, *name);
    times[*name] += below;
  }
  return times;
}

std::map<std::string, double> SlotsOf(const Plan& plan) {
  std::map<std::string, double> slots;
  for (const ServicePlan& service : plan.services)
    slots[service.name] = static_cast<double>(service.targets) *
                          static_cast<double>(service.slots);
  return slots;
}

void Scale(Plan& plan) {
  std::map<std::string, double> need;
  for (const ClassPlan& caller : plan.classes) {
    for (const auto& [service, time] : SlotTimeOf(plan, caller))
      need[service] += caller.rate * time;
  }
  double busiest = 0;
  for (const auto& [service, slots] : SlotsOf(plan))
    busiest = std::max(busiest, need[service] / slots);
  if (busiest <= 0)
    return;
  for (ClassPlan& caller : plan.classes)
    caller.rate *= plan.load / busiest;
}

std::map<std::string, double> BestGoodput(const Plan& plan) {
  std::map<std::string, double> slots = SlotsOf(plan);
  std::map<std::string, double> served;
  for (const char* importance : kImportances) {
    std::vector<const ClassPlan*> classes;
    for (const ClassPlan& caller : plan.classes) {
      if (caller.importance == importance && !caller.crash)
        classes.push_back(&caller);
    }
    Fill(plan, std::move(classes), slots, served);
  }
  return served;
}

}  // namespace yuccastair::rig
