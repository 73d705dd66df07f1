// Open-loop load: no request waits for another one.

#include "load_generator.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "target_server.h"

namespace yuccastair::rig {
namespace {

namespace http = boost::beast::http;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxConnections = 1400;
constexpr milliseconds kTick{1};
constexpr int kReconnects = 3;
constexpr std::size_t kMaxReasons = 100;

std::string HeaderOf(const HttpResponse& response, const char* name) {
  const auto found = response.find(name);
  return found == response.end() ? "" : std::string(found->value());
}

bool EndsWith(const std::string& text, const std::string& end) {
  return text.size() >= end.size() &&
         text.compare(text.size() - end.size(), end.size(), end) == 0;
}

}  // namespace

const char* FateName(Fate fate) {
  switch (fate) {
    case Fate::kGood:
      return "good";
    case Fate::kLate:
      return "late";
    case Fate::kNotRun:
      return "not_run";
    case Fate::kUnknown:
      return "unknown";
    case Fate::kFailed:
      return "failed";
    case Fate::kForeign:
      return "foreign";
    case Fate::kTimedOut:
      return "timed_out";
    case Fate::kBroken:
      return "broken";
    case Fate::kNotSent:
      return "not_sent";
  }
  return "";
}

double ProfileFactor(const ClassPlan& caller, Seconds at) {
  double factor = 1;
  for (const auto& [from, step] : caller.profile) {
    if (at >= from)
      factor = step;
  }
  return factor;
}

std::vector<Arrival> ArrivalsOf(const Plan& plan) {
  std::vector<Arrival> arrivals;
  for (std::size_t i = 0; i < plan.classes.size(); ++i) {
    const ClassPlan& caller = plan.classes[i];
    std::mt19937_64 random(plan.seed * 1000 + i);
    double highest = 1;
    for (const auto& [from, factor] : caller.profile)
      highest = std::max(highest, factor);
    if (caller.rate <= 0)
      continue;
    // Arrivals at the highest rate, of which those beyond the rate of their
    // time are dropped.
    std::exponential_distribution<double> gap(caller.rate * highest);
    std::uniform_real_distribution<double> share(0, 1);
    for (Seconds at{gap(random)}; at < plan.duration;
         at += Seconds(gap(random))) {
      if (share(random) * highest < ProfileFactor(caller, at))
        arrivals.push_back({duration_cast<microseconds>(at), i});
    }
  }
  std::sort(arrivals.begin(), arrivals.end(),
            [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  return arrivals;
}

struct LoadGenerator::Request {
  std::size_t number = 0;
  const ClassPlan* caller = nullptr;
  std::string mark;
  Clock::time_point deadline;
};

LoadGenerator::LoadGenerator(boost::asio::io_context& io,
                             const Plan& plan,
                             std::chrono::system_clock::time_point start)
    : io_(io),
      plan_(plan),
      instances_(InstancesOf(plan)),
      arrivals_(ArrivalsOf(plan)),
      start_(Clock::now() + (start - std::chrono::system_clock::now())),
      client_(io, kMaxConnections),
      timer_(io),
      random_(plan.seed) {
  records_.resize(arrivals_.size());
}

microseconds LoadGenerator::Now() const {
  return duration_cast<microseconds>(Clock::now() - start_);
}

void LoadGenerator::Run() {
  SendDue();
  io_.run();
}

void LoadGenerator::SendDue() {
  const microseconds now = Now();
  for (; next_ < arrivals_.size() && arrivals_[next_].at <= now; ++next_) {
    const Arrival& arrival = arrivals_[next_];
    worst_lag_ = std::max(worst_lag_, now - arrival.at);
    const ClassPlan& caller = plan_.classes[arrival.caller];
    auto request = std::make_shared<Request>();
    request->number = next_;
    request->caller = &caller;
    request->mark = caller.name + "-" + std::to_string(next_);
    request->deadline = start_ + arrival.at + caller.deadline;
    records_[next_].caller = arrival.caller;
    records_[next_].scheduled = arrival.at;
    Attempt(request);
  }
  most_connections_ = std::max(most_connections_, client_.open());
  if (next_ == arrivals_.size())
    return;
  timer_.expires_after(kTick);
  timer_.async_wait([this](const auto& /*error*/) { SendDue(); });
}

Endpoint LoadGenerator::Choose(const ClassPlan& caller) {
  std::vector<const Instance*> choices;
  for (const Instance& instance : instances_) {
    if (!caller.direct || instance.service->name == caller.service)
      choices.push_back(&instance);
  }
  std::uniform_int_distribution<std::size_t> index(0, choices.size() - 1);
  const Instance& chosen = *choices[index(random_)];
  return ToEndpoint(caller.direct ? chosen.target : chosen.node_listen);
}

void LoadGenerator::Attempt(const std::shared_ptr<Request>& request) {
  const ClassPlan& caller = *request->caller;
  Record& record = records_[request->number];
  ++record.attempts;
  std::string path = "/" + caller.service + "/" + caller.name;
  if (!caller.chain.empty())
    path += "?chain=" + caller.chain;
  HttpRequest message{http::string_to_verb(caller.method), path, 11};
  message.set("x-rig-mark", request->mark);
  message.set("x-rig-attempt",
              request->mark + "/" + std::to_string(record.attempts));
  if (!caller.key.empty() && !caller.direct)
    message.set("x-yuccastair-key", caller.key);
  if (caller.method == "POST") {
    message.set("Idempotency-Key", request->mark);
    message.body() = request->mark;
  }
  if (caller.crash)
    message.body() += " " + std::string(kCrashMark);
  const auto left =
      duration_cast<milliseconds>(request->deadline - Clock::now());
  client_.Call(
      Choose(caller), std::move(message),
      std::max(std::min(left, caller.attempt_timeout), milliseconds(1)),
      [this, request](const CallResult& result) { Ended(request, result); });
}

Fate LoadGenerator::Judge(const Request& request,
                          const CallResult& result) const {
  switch (result.error) {
    case CallError::kNotSent:
      return Fate::kNotSent;
    case CallError::kBroken:
      return Fate::kBroken;
    case CallError::kTimedOut:
      return Fate::kTimedOut;
    case CallError::kNone:
      break;
  }
  const std::string outcome = HeaderOf(result.response, "x-yuccastair-outcome");
  if (outcome == "not-run")
    return Fate::kNotRun;
  if (outcome == "unknown")
    return Fate::kUnknown;
  if (result.response.result_int() != 200)
    return Fate::kFailed;
  const std::string& body = result.response.body();
  if (HeaderOf(result.response, "x-rig-mark") != request.mark ||
      body.rfind(request.caller->service + " ", 0) != 0 ||
      !EndsWith(body, " " + request.mark))
    return Fate::kForeign;
  return Clock::now() <= request.deadline ? Fate::kGood : Fate::kLate;
}

bool LoadGenerator::Retries(const Request& request, Fate fate) const {
  // A caller whose node cannot be reached connects to another one.
  if (fate == Fate::kNotSent && Clock::now() < request.deadline &&
      records_[request.number].attempts <= kReconnects)
    return true;
  if (fate == Fate::kGood || fate == Fate::kLate || fate == Fate::kForeign ||
      Clock::now() >= request.deadline ||
      records_[request.number].attempts > request.caller->retries)
    return false;
  if (request.caller->retry == "naive")
    return true;
  return request.caller->retry == "not-run" && fate == Fate::kNotRun;
}

void LoadGenerator::CountReason(const HttpResponse& response) {
  const auto body = nlohmann::json::parse(response.body(), nullptr, false);
  const std::string reason = body.is_object() ? body.value("reason", "") : "";
  const std::string step = body.is_object() ? body.value("step", "") : "";
  // A bound in case reasons carry names or numbers of single requests.
  if (reasons_.size() < kMaxReasons)
    ++reasons_[step + ": " + reason];
}

void LoadGenerator::Ended(const std::shared_ptr<Request>& request,
                          const CallResult& result) {
  Record& record = records_[request->number];
  const Fate fate = Judge(*request, result);
  if (fate == Fate::kNotRun)
    attempts_not_run_.push_back(request->mark + "/" +
                                std::to_string(record.attempts));
  if (fate == Fate::kNotRun || fate == Fate::kUnknown)
    CountReason(result.response);
  if (Retries(*request, fate)) {
    Attempt(request);
    return;
  }
  record.fate = fate;
  record.latency = Now() - record.scheduled;
  if (request->caller->method == "POST" &&
      (fate == Fate::kGood || fate == Fate::kLate))
    confirmed_.push_back(request->mark);
}

}  // namespace yuccastair::rig
