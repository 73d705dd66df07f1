// Relates requests to the ends of target processes.

#include "crash_monitor.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>

#include "yuccastair/routing/fingerprint.h"
#include "yuccastair/support/hex.h"
#include "yuccastair/support/log.h"

namespace yuccastair::relay {
namespace {

namespace http = stream::http;
using support::ToHex;

// All relays hold at least so much of a longer body.
constexpr std::size_t kHashedBodyBytes = stream::kPieceBytes;
// Suspects that a log line names.
constexpr std::size_t kMaxNamedSuspects = 8;

}  // namespace

std::string FingerprintOf(const RelayCall& call) {
  const auto method = http::to_string(call.head.method());
  const auto path = call.head.target();
  const auto host = call.head[http::field::host];
  std::string_view body = call.body.begin;
  if (!call.body.whole())
    body = body.substr(0, kHashedBodyBytes);
  return routing::BinaryFingerprint({call.organisation,
                                     {method.data(), method.size()},
                                     {host.data(), host.size()},
                                     {path.data(), path.size()},
                                     body});
}

void CrashMonitor::OnAnswered(const std::string& fingerprint) {
  recent_runs_.Add(fingerprint);
  ForgetLocalSuspect(fingerprint);
  ClearIfKnown(fingerprint);
}

/// Clears the fingerprint in the fleet if it is listed there.
void CrashMonitor::ClearIfKnown(const std::string& fingerprint) {
  if (fleet_view_.StateOf(fingerprint) == claims::FingerprintState::kClear)
    return;
  fleet_view_.MarkClear(fingerprint);
  Enqueue(wire::CRASH_ACTION_CLEAR, fingerprint, "");
}

void CrashMonitor::OnBroken(const RelayCall& call, const std::string& process) {
  const auto path = call.head.target();
  BrokenRun run{.fingerprint = call.fingerprint,
                .process = process,
                .route = call.route,
                .path = {path.data(), path.size()},
                .at = clock_.Now()};
  if (process == ended_process_) {
    if (!recent_runs_.Contains(run.fingerprint))
      RecordCrash(run);
    return;
  }
  broken_runs_.push_back(std::move(run));
  if (broken_runs_.size() > kMaxBrokenRuns)
    broken_runs_.pop_front();
}

void CrashMonitor::OnProcessEnded(const std::string& process,
                                  const char* evidence) {
  if (process.empty() || process == ended_process_)
    return;
  ended_process_ = process;
  const support::TimePoint earliest = clock_.Now() - kMaxNoticeTime;
  std::size_t running = 0;
  std::size_t suspects = 0;
  nlohmann::json named = nlohmann::json::array();
  for (const BrokenRun& run : broken_runs_) {
    if (run.process != process || run.at < earliest)
      continue;
    ++running;
    if (recent_runs_.Contains(run.fingerprint))
      continue;
    if (++suspects <= kMaxNamedSuspects)
      named.push_back({{"fingerprint", ToHex(run.fingerprint)},
                       {"route", run.route},
                       {"path", run.path}});
    RecordCrash(run);
  }
  broken_runs_.clear();
  metrics_.Count("yuccastair_target_crashes_total", {{"evidence", evidence}});
  support::LogWarning("target.crashed", {{"process", process},
                                         {"evidence", evidence},
                                         {"running", running},
                                         {"suspects", suspects},
                                         {"named", named}});
}

void CrashMonitor::RecordCrash(const BrokenRun& run) {
  ExpireLocalSuspect(run.fingerprint);
  auto found = suspects_by_fingerprint_.find(run.fingerprint);
  if (found == suspects_by_fingerprint_.end()) {
    if (local_suspects_.size() >= kMaxLocalSuspects)
      ForgetLocalSuspect(std::string(local_suspects_.front().fingerprint));
    local_suspects_.push_back({run.fingerprint, {}, {}});
    found = suspects_by_fingerprint_
                .emplace(run.fingerprint, std::prev(local_suspects_.end()))
                .first;
  }
  LocalSuspect& suspect = *found->second;
  if (suspect.processes.size() >= crashes_to_block_ ||
      !suspect.processes.insert(run.process).second)
    return;
  suspect.last_crash = clock_.Now();
  if (suspect.processes.size() == crashes_to_block_)
    support::LogWarning("request.blocked",
                        {{"fingerprint", ToHex(run.fingerprint)},
                         {"route", run.route},
                         {"path", run.path},
                         {"processes", suspect.processes}});
  Enqueue(wire::CRASH_ACTION_REPORT, run.fingerprint, run.process);
}

void CrashMonitor::ExpireLocalSuspect(const std::string& fingerprint) {
  const auto found = suspects_by_fingerprint_.find(fingerprint);
  if (found != suspects_by_fingerprint_.end() &&
      clock_.Now() - found->second->last_crash >= kRetention)
    ForgetLocalSuspect(fingerprint);
}

void CrashMonitor::ForgetLocalSuspect(const std::string& fingerprint) {
  const auto found = suspects_by_fingerprint_.find(fingerprint);
  if (found == suspects_by_fingerprint_.end())
    return;
  local_suspects_.erase(found->second);
  suspects_by_fingerprint_.erase(found);
}

bool CrashMonitor::IsBlocked(const std::string& fingerprint) {
  ExpireLocalSuspect(fingerprint);
  const auto local = suspects_by_fingerprint_.find(fingerprint);
  const bool listed =
      fleet_view_.StateOf(fingerprint) == claims::FingerprintState::kBlocked ||
      (local != suspects_by_fingerprint_.end() &&
       local->second->processes.size() >= crashes_to_block_);
  return listed && !recent_runs_.Contains(fingerprint);
}

bool CrashMonitor::IsSuspect(const std::string& fingerprint) {
  ExpireLocalSuspect(fingerprint);
  return (suspects_by_fingerprint_.contains(fingerprint) ||
          fleet_view_.StateOf(fingerprint) !=
              claims::FingerprintState::kClear) &&
         !recent_runs_.Contains(fingerprint);
}

void CrashMonitor::Apply(const wire::FingerprintUpdate& update) {
  if (!fleet_view_.Apply(update))
    return;
  // By an answered run elsewhere, an operator, or its age.
  for (const std::string& fingerprint : update.removed())
    ForgetLocalSuspect(fingerprint);
  for (const std::string& fingerprint : update.suspects()) {
    if (recent_runs_.Contains(fingerprint))
      ClearIfKnown(fingerprint);
  }
  for (const std::string& fingerprint : update.blocked()) {
    support::LogWarning("request.blocked_by_fleet",
                        {{"fingerprint", ToHex(fingerprint)}});
    if (recent_runs_.Contains(fingerprint))
      ClearIfKnown(fingerprint);
  }
}

void CrashMonitor::Enqueue(wire::CrashAction action,
                           const std::string& fingerprint,
                           const std::string& process) {
  if (pending_.size() >= kMaxPendingOperations) {
    metrics_.Count("yuccastair_crash_operations_dropped_total", {});
    support::LogWarning("crash.operation_dropped",
                        {{"fingerprint", ToHex(fingerprint)}});
    return;
  }
  wire::CrashOperation operation;
  operation.set_action(action);
  operation.set_fingerprint(fingerprint);
  if (action == wire::CRASH_ACTION_REPORT) {
    operation.set_target(process);
    operation.set_crashes_to_block(crashes_to_block_);
  }
  pending_.push_back(std::move(operation));
}

std::optional<wire::CrashReport> CrashMonitor::TakeReport() {
  const support::TimePoint now = clock_.Now();
  if (pending_.empty() ||
      (reported_ > 0 && now - reported_at_ < kReportTimeout))
    return std::nullopt;
  wire::CrashReport report;
  reported_ = std::min(pending_.size(), kMaxOperationsPerReport);
  reported_at_ = now;
  for (std::size_t i = 0; i < reported_; ++i)
    *report.add_operations() = pending_[i];
  return report;
}

void CrashMonitor::OnReply(const wire::CrashReportReply& reply) {
  // The operations are repeated after the time-out if none was committed. Each
  // has the same effect if it is repeated.
  if (reply.statuses_size() == 0 ||
      static_cast<std::size_t>(reply.statuses_size()) != reported_)
    return;
  for (const int status : reply.statuses()) {
    if (status == wire::CRASH_STATUS_FULL)
      support::LogWarning(
          "crash.table_full",
          {{"fingerprint", ToHex(pending_.front().fingerprint())}});
    pending_.pop_front();
  }
  reported_ = 0;
}

}  // namespace yuccastair::relay
