// Executes requests on the routing policy or forwards them to the leader.

#include "policy_service.h"

#include <utility>

#include "yuccastair/state/table_dispatcher.h"
#include "yuccastair/support/log.h"

namespace yuccastair::control {
namespace {

// Callers try another control process after a second without a response, so a
// later response is useless.
constexpr std::chrono::milliseconds kForwardTimeout{900};

}  // namespace

PolicyService::PolicyService(consensus::ReplicatedLog& log,
                             const policy::PolicyTable& table,
                             const support::Clock& clock,
                             Forward forward)
    : log_(log), table_(table), clock_(clock), forward_(std::move(forward)) {}

void PolicyService::Operate(const wire::PolicyRequest& request,
                            const Done& done) {
  if (log_.IsCurrentLeader()) {
    OperateAsLeader(request, done);
    return;
  }
  const std::string leader = log_.LeaderAddress();
  if (leader.empty()) {
    done({});
    return;
  }
  const std::uint64_t number = next_number_++;
  waiting_[number] = {.done = done, .until = clock_.Now() + kForwardTimeout};
  forward_(leader, number, request);
}

void PolicyService::OperateAsLeader(const wire::PolicyRequest& request,
                                    const Done& done) {
  if (!log_.IsCurrentLeader()) {
    done({});
    return;
  }
  if (request.has_read()) {
    wire::PolicyReply reply;
    reply.set_status(wire::POLICY_STATUS_DONE);
    reply.set_version(table_.state().policy().version());
    reply.set_source(table_.state().policy().source());
    done(reply);
    return;
  }
  log_.Propose(
      state::EncodeCommand(wire::TABLE_POLICY, request.SerializeAsString()),
      [done](const consensus::ProposeOutcome& outcome) {
        wire::PolicyReply reply;
        if (outcome.status == consensus::ProposeStatus::kCommitted &&
            !reply.ParseFromString(outcome.result)) {
          support::LogError("policy.result_unreadable",
                            {{"index", outcome.index}});
          reply.Clear();
        }
        support::LogInfo("policy.operated", {{"status", reply.status()},
                                             {"version", reply.version()},
                                             {"index", outcome.index}});
        done(reply);
      });
}

void PolicyService::HandleReply(std::uint64_t number,
                                const wire::PolicyReply& reply) {
  const auto found = waiting_.find(number);
  if (found == waiting_.end())
    return;
  const Done done = std::move(found->second.done);
  waiting_.erase(found);
  done(reply);
}

void PolicyService::HandleUndelivered(std::uint64_t number,
                                      const std::string& leader) {
  const auto found = waiting_.find(number);
  if (found == waiting_.end())
    return;
  const Done done = std::move(found->second.done);
  waiting_.erase(found);
  support::LogWarning("policy.leader_unreachable", {{"leader", leader}});
  done({});
}

void PolicyService::Tick() {
  const support::TimePoint now = clock_.Now();
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (now < it->second.until) {
      ++it;
      continue;
    }
    const Done done = std::move(it->second.done);
    support::LogWarning("policy.leader_silent",
                        {{"leader", log_.LeaderAddress()}});
    it = waiting_.erase(it);
    done({});
  }
}

void PolicyService::Fill(const wire::SyncRequest& request,
                         wire::SyncReply& reply) const {
  const wire::PolicyState& state = table_.state();
  for (const std::string& zone : state.zones_out())
    reply.add_zones_out(zone);
  reply.set_zones_revision(state.zones_revision());
  if (request.policy_version() >= state.policy().version())
    return;
  reply.set_policy(table_.encoded());
}

}  // namespace yuccastair::control
