// Sizes of settings updates and costs of look-ups at a node.
//
// Prints one line for each figure. Sizes are exact; times depend on the
// machine.

#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "settings_changes.h"
#include "settings_view.h"
#include "yuccastair/state/key_hash.h"
#include "yuccastair/state/settings_machine.h"
#include "yuccastair/support/id.h"

namespace yuccastair {
namespace {

struct Fleet {
  int organisations = 0;
  int keys_each = 0;
  int routes = 0;
  int services = 0;
};

constexpr int kChanges = 1000;
constexpr int kLookups = 20000;

std::string Numbered(const std::string& name, int number) {
  return name + "-" + std::to_string(1000 + number);
}

/// Fills a machine; returns the text of one key.
std::string Fill(state::SettingsMachine& machine, const Fleet& fleet) {
  std::vector<wire::SettingsEdit> edits;
  std::string key_text;
  for (int i = 0; i < fleet.services; ++i) {
    edits.push_back(PutService(Numbered("service", i), "mids"));
    edits.push_back(Set(wire::SETTINGS_LEVEL_SERVICE, Numbered("service", i),
                        state::kLimitMax, 160));
  }
  for (int i = 0; i < fleet.organisations; ++i) {
    const std::string name = Numbered("organisation", i);
    edits.push_back(PutOrganisation(name, 100, 200));
    for (int k = 0; k < fleet.keys_each; ++k) {
      const state::IssuedKey issued = state::IssueKey(name, support::RandomHex);
      edits.push_back(PutKey(issued.record));
      key_text = issued.text;
    }
  }
  for (int i = 0; i < fleet.routes; ++i) {
    const std::string name = Numbered("route", i);
    edits.push_back(PutRoute(name, Numbered("service", i % 980), "GET",
                             "/" + name + "/items"));
    edits.push_back(
        Set(wire::SETTINGS_LEVEL_ROUTE, name, state::kImportance, 1));
  }
  if (!edits.empty())
    ApplyNext(machine, edits);
  return key_text;
}

std::size_t SnapshotBytes(const Fleet& fleet) {
  state::SettingsMachine machine;
  Fill(machine, fleet);
  return machine.EncodeUpdate(0).size();
}

double Microseconds(int count, const std::function<void()>& work) {
  const auto started = std::chrono::steady_clock::now();
  for (int i = 0; i < count; ++i)
    work();
  const std::chrono::duration<double, std::micro> taken =
      std::chrono::steady_clock::now() - started;
  return taken.count() / count;
}

void PrintSizes() {
  const double none = static_cast<double>(SnapshotBytes({}));
  const auto slope = [&](const Fleet& fleet, int units) {
    return (static_cast<double>(SnapshotBytes(fleet)) - none) / units;
  };
  std::printf("snapshot bytes per organisation    %7.1f\n",
              slope({.organisations = 1000}, 1000));
  std::printf("snapshot bytes per key             %7.1f\n",
              slope({.organisations = 1000, .keys_each = 4}, 4000) -
                  slope({.organisations = 1000}, 1000) / 4);
  std::printf("snapshot bytes per route+setting   %7.1f\n",
              slope({.routes = 1000}, 1000));
  std::printf("snapshot bytes per service+setting %7.1f\n",
              slope({.services = 980}, 980));
}

void PrintLargeFleet() {
  state::SettingsMachine machine;
  const std::string key = Fill(
      machine,
      {.organisations = 200, .keys_each = 3, .routes = 2000, .services = 980});
  std::printf(
      "large fleet: 200 organisations, 600 keys, 2000 routes, 980 "
      "services\n");
  std::printf("snapshot bytes                     %7zu\n",
              machine.EncodeUpdate(0).size());
  node::SettingsView view;
  wire::SyncReply reply;
  const auto sync = [&] {
    reply.set_settings_version(machine.version());
    reply.set_settings(machine.EncodeUpdate(view.VersionToReport()));
    view.Apply(reply);
  };
  std::printf("apply snapshot at a node, us       %7.0f\n",
              Microseconds(1, sync));
  int round = 0;
  const auto change = [&] {
    ++round;
    ApplyNext(machine,
              {Set(wire::SETTINGS_LEVEL_SERVICE, Numbered("service", round),
                   state::kLimitMax, 200 + round)});
  };
  std::printf("apply a change at control, us      %7.0f\n",
              Microseconds(20, change));
  std::printf("delta bytes, one change behind     %7zu\n",
              machine.EncodeUpdate(machine.version() - 1).size());
  std::printf("delta bytes, 20 changes behind     %7zu\n",
              machine.EncodeUpdate(machine.version() - 20).size());
  std::printf("apply delta at a node, us          %7.0f\n",
              Microseconds(1, sync));
  const auto current = view.Current();
  std::size_t found = 0;
  std::printf("key look-up, us                    %7.2f\n",
              Microseconds(kLookups, [&] {
                found += current->FindOrganisationByKey(key).size();
              }));
  std::printf("unknown key look-up, us            %7.2f\n",
              Microseconds(kLookups, [&] {
                found += current->FindOrganisationByKey("x" + key).size();
              }));
  std::printf(
      "route look-up, us                  %7.2f\n", Microseconds(kLookups, [&] {
        found += current->FindRoute("GET", "/route-1999/items/1/2") != nullptr
                     ? 1
                     : 0;
      }));
  std::printf(
      "current settings, us               %7.2f\n",
      Microseconds(kLookups, [&] { found += view.Current()->version(); }));
  if (found == 0)
    std::printf("the look-ups found nothing\n");
}

/// Bytes that one node receives in a day at 4,200 changes, each of which it
/// fetches by itself.
void PrintDay() {
  state::SettingsMachine machine;
  Fill(machine,
       {.organisations = 200, .keys_each = 3, .routes = 2000, .services = 980});
  std::size_t bytes = 0;
  for (int i = 0; i < kChanges; ++i) {
    const std::uint64_t before = machine.version();
    ApplyNext(machine,
              {Set(wire::SETTINGS_LEVEL_SERVICE, Numbered("service", i % 980),
                   state::kLimitMax, 2000 + i)});
    bytes += machine.EncodeUpdate(before).size();
  }
  std::printf("delta bytes per node and day       %7.0f at 4200 changes\n",
              static_cast<double>(bytes) / kChanges * 4200);
  std::printf("log snapshot bytes, 1000 changes   %7zu\n",
              machine.TakeSnapshot().size());
}

}  // namespace
}  // namespace yuccastair

int main() {
  yuccastair::PrintSizes();
  yuccastair::PrintLargeFleet();
  yuccastair::PrintDay();
  return 0;
}
