// Makes the settings of an experiment through the operator HTTP API, and takes
// zones out of service and back.
//
//   operate setup PLAN OPERATOR[,OPERATOR...] KEYS_FILE
//   operate zone-out|zone-in ZONE OPERATOR[,OPERATOR...]

#include <chrono>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "plan.h"
#include "yuccastair/http/client.h"
#include "yuccastair/state/key_hash.h"
#include "yuccastair/support/error.h"
#include "yuccastair/support/id.h"

namespace yuccastair::rig {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kTimeout{3000};
constexpr milliseconds kRetryDelay{200};
constexpr int kRetries = 75;
// No organisation of an experiment is held back by its rate unless its plan
// says so.
constexpr double kAmpleRate = 100000;
constexpr std::size_t kHexPerByte = 2;

std::string ToHex(const std::string& bytes) {
  constexpr const char* kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(bytes.size() * kHexPerByte);
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    text += kDigits[value >> 4U];
    text += kDigits[value & 15U];
  }
  return text;
}

std::string RandomHex(std::size_t bytes) {
  std::string text;
  while (text.size() < bytes * kHexPerByte)
    text += support::RandomId();
  return text.substr(0, bytes * kHexPerByte);
}

std::vector<support::Address> ParseOperators(const std::string& list) {
  std::vector<support::Address> addresses;
  std::istringstream in(list);
  for (std::string item; std::getline(in, item, ',');) {
    if (const auto address = support::ParseAddress(item))
      addresses.push_back(*address);
  }
  return addresses;
}

http::Exchange Send(const support::Address& address,
                    const std::string& method,
                    const std::string& path,
                    const std::string& body) {
  http::Client client(address);
  http::Request request;
  request.method = method;
  request.path = path;
  request.body = body;
  return client.Send(request, kTimeout, false);
}

/// Commits one change at whichever process is the leader.
void Commit(const std::vector<support::Address>& operators, const json& edits) {
  const std::string operation = support::RandomId();
  std::string last = "no control process answers";
  for (int i = 0; i < kRetries; ++i) {
    for (const support::Address& address : operators) {
      const http::Exchange status = Send(address, "GET", "/v1/status", "");
      if (status.result != http::ExchangeResult::kComplete)
        continue;
      const json state = json::parse(status.response.body, nullptr, false);
      if (!state.is_object() || !state.value("leader", false))
        continue;
      const json change = {{"operation_id", operation},
                           {"base_version", state["settings_version"]},
                           {"author", "rig"},
                           {"comment", "experiment"},
                           {"edits", edits}};
      const http::Exchange exchange =
          Send(address, "POST", "/v1/changes", change.dump());
      if (exchange.response.status == 200)
        return;
      last = exchange.response.body;
      if (exchange.response.status == 400)
        throw support::Error("commit settings", address.ToString(), last);
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
  throw support::Error("commit settings", "", last);
}

json Setting(const std::string& level,
             const std::string& name,
             const std::string& key,
             const json& value) {
  json edit = {
      {"kind", "setting"}, {"level", level}, {"key", key}, {"value", value}};
  if (!name.empty())
    edit["name"] = name;
  return edit;
}

json Route(const std::string& name,
           const std::string& service,
           const std::string& path) {
  return {
      {"kind", "route"}, {"name", name}, {"service", service}, {"path", path}};
}

json EditsOf(const Plan& plan, json& keys) {
  json edits = json::array();
  for (const ServicePlan& service : plan.services) {
    edits.push_back({{"kind", "service"},
                     {"name", service.name},
                     {"deployment", plan.name}});
    for (const char* kind : {"nested", "ready"})
      edits.push_back(Route(std::string(kind) + "-" + service.name,
                            service.name, "/" + service.name + "/" + kind));
  }
  std::set<std::string> organisations;
  for (const ClassPlan& caller : plan.classes) {
    edits.push_back(Route(caller.name, caller.service,
                          "/" + caller.service + "/" + caller.name));
    edits.push_back(
        Setting("route", caller.name, "importance", caller.importance));
    edits.push_back(Setting("route", caller.name, "deadline_ms",
                            caller.attempt_timeout.count()));
    organisations.insert(caller.organisation);
  }
  for (const std::string& name : organisations) {
    edits.push_back({{"kind", "organisation"},
                     {"name", name},
                     {"rate", kAmpleRate},
                     {"burst", kAmpleRate}});
    const state::IssuedKey issued = state::IssueKey(name, RandomHex);
    edits.push_back({{"kind", "key"},
                     {"organisation", name},
                     {"id", issued.record.id()},
                     {"salt", ToHex(issued.record.salt())},
                     {"hash", ToHex(issued.record.hash())}});
    keys[name] = issued.text;
  }
  return edits;
}

int Run(const std::vector<std::string>& words) {
  if (words.size() == 4 && words[0] == "setup") {
    json keys = json::object();
    Commit(ParseOperators(words[2]), EditsOf(ReadPlan(words[1]), keys));
    std::ofstream(words[3]) << keys.dump() << '\n';
    return 0;
  }
  if (words.size() == 3 && (words[0] == "zone-out" || words[0] == "zone-in")) {
    json edit = {{"kind", "zone"}, {"name", words[1]}};
    if (words[0] == "zone-in")
      edit["remove"] = true;
    Commit(ParseOperators(words[2]), json::array({edit}));
    return 0;
  }
  std::cerr << "usage: operate setup PLAN OPERATORS KEYS_FILE\n"
               "       operate zone-out|zone-in ZONE OPERATORS\n";
  return 2;
}

}  // namespace
}  // namespace yuccastair::rig

int main(int argc, char** argv) {
  try {
    return yuccastair::rig::Run({argv + 1, argv + argc});
  } catch (const std::exception& error) {
    std::cerr << "operate: " << error.what() << '\n';
    return 1;
  }
}
