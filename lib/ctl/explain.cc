// From the id of a request to its cause, by the log lines of the processes.

#include <algorithm>
#include <array>
#include <chrono>
#include <ostream>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "command.h"
#include "log_lines.h"

namespace yuccastair::ctl {
namespace {

using Json = nlohmann::json;
using std::chrono::microseconds;

// What a process came to believe before a request ended matters to it; beliefs
// are renewed every second, and a target that left is forgotten within 3 s.
constexpr std::chrono::seconds kContext{5};

constexpr std::array<std::string_view, 13> kContextEvents = {
    "throttle.reduced",     "throttle.suspended", "throttle.whole",
    "target.state_changed", "control.lost",       "control.found",
    "policy.in_force",      "zones.changed",      "relay.started",
    "relay.draining",       "settings.reloaded",  "server.accept_failed",
    "peer.call_malformed"};

struct Cause {
  std::string_view reason;
  std::string_view text;
};

// By the beginning of the reason in request.ended.
constexpr std::array<Cause, 23> kCauses = {{
    {"no slot became free",
     "overload: the slots of the target were taken until the time to wait was "
     "over"},
    {"the queue of the target's node is full",
     "overload: more requests wait for the target than may wait"},
    {"displaced from the queue",
     "overload: a more important request took the place in the queue"},
    {"calls of such requests are turned away for lack of capacity",
     "overload further down: a service that the target calls has no free "
     "slots"},
    {"calls of such requests are turned away by targets with free slots",
     "targets further down reject calls at any load; the request may not be "
     "repeated once it has started"},
    {"calls of such requests are turned away",
     "a service that the target calls turns calls away"},
    {"too many requests are repeated",
     "a target failed or refused, and the budget for repeats was used up"},
    {"the target did not run the request",
     "the target itself refused the request"},
    {"the organisation is over its rate",
     "the organisation sent more than its rate over the whole fleet"},
    {"the service has no target in service",
     "each target of the service leaves, is down, or is in a zone that is out "
     "of service; service.without_target names them"},
    {"a service that such requests call has no target in service",
     "missing_service, which the target calls, has no target in service; "
     "service.without_target names its targets"},
    {"no target can be reached",
     "no target of the service was known that takes requests"},
    {"the target is draining", "planned work: the target was leaving"},
    {"the target or its node is leaving", "planned work: the target was gone"},
    {"no target has announced itself",
     "the target beside the relay had not announced itself or had ended"},
    {"the availability zone is out of service",
     "an operator had taken the availability zone out of service"},
    {"the deadline", "the time that the caller gave did not suffice"},
    {"the target accepts no connection",
     "the target did not accept a connection: it had ended or was full"},
    {"the target gave no valid answer",
     "the target or the connection to it failed after the request was sent"},
    {"the answer of the target broke off",
     "the target or the connection to it failed during the answer"},
    {"no answer from the relay",
     "the relay beside the target or the network to it failed"},
    {"the caller has left", "the caller closed its connection"},
    {"no policy is known yet",
     "the relay had started and no control process had told it the policy"},
}};

bool Concerns(const Json& line, const std::string& id) {
  const std::string request = line.value("request", "");
  // The ids of the calls that a request makes extend its own.
  return request == id || request.rfind(id + ".", 0) == 0;
}

/// The latest line before \p until that says whether \p service has a target.
const Json* LastOfService(const std::vector<Json>& lines,
                          const std::string& service,
                          microseconds until) {
  const Json* last = nullptr;
  for (const Json& line : lines) {
    const std::string event = line.value("event", "");
    if ((event != "service.without_target" && event != "service.has_target") ||
        line.value("service", "") != service || *TimeOf(line) > until)
      continue;
    if (last == nullptr || *TimeOf(line) >= *TimeOf(*last))
      last = &line;
  }
  return last;
}

bool IsContext(const Json& line,
               const std::set<std::string>& instances,
               microseconds from,
               microseconds to) {
  const std::string event = line.value("event", "");
  const microseconds at = *TimeOf(line);
  return at >= from && at <= to &&
         instances.count(line.value("instance", "")) > 0 &&
         std::find(kContextEvents.begin(), kContextEvents.end(), event) !=
             kContextEvents.end();
}

/// The lines that name the request or one of its calls, and what the instances
/// on its way came to believe shortly before, in the order of time.
std::vector<Json> Select(const std::vector<Json>& lines,
                         const std::string& id) {
  std::vector<Json> selected;
  std::set<std::string> instances;
  std::set<std::string> services;
  for (const Json& line : lines) {
    if (!Concerns(line, id))
      continue;
    selected.push_back(line);
    services.insert(line.value("service", ""));
    services.insert(line.value("missing_service", ""));
    instances.insert(line.value("instance", ""));
    for (const Json& attempt : line.value("attempts", Json::array()))
      instances.insert(attempt.value("target", ""));
  }
  if (selected.empty())
    return selected;
  const auto earlier = [](const Json& a, const Json& b) {
    return *TimeOf(a) < *TimeOf(b);
  };
  const auto [first, last] =
      std::minmax_element(selected.begin(), selected.end(), earlier);
  const microseconds from = *TimeOf(*first) - kContext;
  const microseconds to = *TimeOf(*last);
  for (const Json& line : lines) {
    if (IsContext(line, instances, from, to))
      selected.push_back(line);
  }
  for (const std::string& service : services) {
    const Json* last = LastOfService(lines, service, to);
    if (last != nullptr && last->value("event", "") == "service.without_target")
      selected.push_back(*last);
  }
  std::stable_sort(selected.begin(), selected.end(), earlier);
  return selected;
}

std::string CauseOf(const std::vector<Json>& selected, const std::string& id) {
  for (const Json& line : selected) {
    if (line.value("request", "") != id || !line.contains("reason"))
      continue;
    std::string reason = line.value("reason", "");
    for (const Cause& cause : kCauses) {
      if (reason.rfind(cause.reason, 0) == 0)
        return std::string(cause.text);
    }
    return reason;
  }
  return "only calls of the request failed; see their lines";
}

void PrintLine(std::ostream& out, Json line) {
  out << line.value("time", "") << "  " << line.value("instance", "") << "  "
      << line.value("event", "") << '\n';
  for (const char* shown : {"time", "instance", "event", "level", "role"})
    line.erase(shown);
  const Json attempts = line.value("attempts", Json::array());
  line.erase("attempts");
  for (const auto& [name, value] : line.items())
    out << "    " << name << ": "
        << (value.is_string() ? value.get<std::string>() : value.dump())
        << '\n';
  for (const Json& attempt : attempts)
    out << "    attempt: " << attempt.value("target", "") << ", load "
        << attempt.value("load", 0) << " of " << attempt.value("limit", 0)
        << ", " << attempt.value("ms", 0)
        << " ms: " << attempt.value("result", "") << '\n';
}

}  // namespace

int RunExplain(const Session& session) {
  const std::string& id = session.arguments.words[0];
  const std::vector<Json> lines = ReadLogs(session.arguments.Get("log"));
  std::uint64_t left_out = 0;
  for (const Json& line : lines)
    left_out += line.value("lines_left_out", std::uint64_t{0});
  const std::vector<Json> selected = Select(lines, id);
  if (session.json()) {
    session.out() << Json(selected).dump() << '\n';
    return selected.empty() ? kFailure : kSuccess;
  }
  if (selected.empty()) {
    session.out() << "no line names the request " << id
                  << ": it was answered by a target, or its line is among the "
                  << left_out << " that were left out\n";
    return kFailure;
  }
  for (const Json& line : selected)
    PrintLine(session.out(), line);
  session.out() << "cause: " << CauseOf(selected, id) << '\n';
  return kSuccess;
}

}  // namespace yuccastair::ctl
