// Pre-vote, election and the leader's lease.

#include <algorithm>
#include <functional>

#include "core_impl.h"
#include "yuccastair/support/log.h"

namespace yuccastair::consensus {

void Core::Impl::ResetElectionDeadline() {
  const auto jitter_range =
      options_.max_election_timeout - options_.min_election_timeout;
  const auto jitter = std::chrono::milliseconds(
      env_.random(static_cast<std::uint32_t>(jitter_range.count()) + 1));
  election_deadline_ = Now() + options_.min_election_timeout + jitter;
}

/// Asks the other voters whether this process could win an election. No term
/// changes, so a leader that the others still receive from is not disturbed.
void Core::Impl::StartPreVote() {
  role_ = Role::kPreCandidate;
  leader_identity_.clear();
  leader_address_.clear();
  votes_.clear();
  RequestVotes(true, term_ + 1);
  CountVote(OwnIdentity());
}

void Core::Impl::StartElection() {
  role_ = Role::kCandidate;
  SetTermAndVote(term_ + 1, OwnIdentity());
  votes_.clear();
  ResetElectionDeadline();
  RequestVotes(false, term_);
  CountVote(OwnIdentity());
}

void Core::Impl::RequestVotes(bool pre_vote, std::uint64_t candidate_term) {
  for (const wire::ConsensusMember& member : log_.config().members()) {
    if (member.learner() || member.identity() == OwnIdentity())
      continue;
    wire::ConsensusMessage message = MakeMessage(member.identity());
    wire::VoteRequest* request = message.mutable_vote_request();
    request->set_pre_vote(pre_vote);
    request->set_candidate_term(candidate_term);
    request->set_last_index(log_.last_index());
    request->set_last_term(log_.last_term());
    SendAfterSync(member.address(), std::move(message));
  }
}

void Core::Impl::CountVote(const std::string& identity) {
  if (!IsVoter(identity))
    return;
  votes_.insert(identity);
  if (votes_.size() < Majority())
    return;
  if (role_ == Role::kPreCandidate)
    StartElection();
  else if (role_ == Role::kCandidate)
    BecomeLeader();
}

void Core::Impl::BecomeLeader() {
  role_ = Role::kLeader;
  leader_identity_ = OwnIdentity();
  leader_address_ = options_.address;
  leader_since_ = Now();
  votes_.clear();
  followers_.clear();
  RefreshFollowers();
  // Entries of earlier terms are committed only together with one of this term.
  AppendEntry(wire::ENTRY_KIND_NOOP, "");
  term_start_index_ = log_.last_index();
  support::LogInfo("log.leader_elected", {{"term", term_}});
}

bool Core::Impl::HasRecentLeaderContact() const {
  if (role_ == Role::kLeader)
    return Now() < LastMajorityContact() + options_.lease_duration;
  return Now() < last_leader_contact_ + options_.min_election_timeout;
}

bool Core::Impl::IsLogUpToDate(const wire::VoteRequest& request) const {
  if (request.last_term() != log_.last_term())
    return request.last_term() > log_.last_term();
  return request.last_index() >= log_.last_index();
}

void Core::Impl::HandleVoteRequest(const wire::ConsensusMessage& message) {
  const wire::VoteRequest& request = message.vote_request();
  // The leader's lease depends on this: a process grants no vote and adopts no
  // new term while a leader may count it towards the majority of its lease.
  const bool reject = HasRecentLeaderContact();
  if (!request.pre_vote() && !reject && request.candidate_term() > term_)
    BecomeFollower(request.candidate_term());
  bool granted = !reject && IsLogUpToDate(request);
  if (request.pre_vote()) {
    granted &= request.candidate_term() > term_;
  } else {
    granted &= request.candidate_term() == term_ &&
               (voted_for_.empty() || voted_for_ == message.from());
    if (granted && voted_for_.empty())
      SetTermAndVote(term_, message.from());
    if (granted)
      ResetElectionDeadline();
  }
  wire::ConsensusMessage reply_message = MakeMessage(message.from());
  wire::VoteReply* reply = reply_message.mutable_vote_reply();
  reply->set_pre_vote(request.pre_vote());
  reply->set_candidate_term(request.candidate_term());
  reply->set_granted(granted);
  SendAfterSync(message.from_address(), std::move(reply_message));
}

void Core::Impl::HandleVoteReply(const wire::ConsensusMessage& message) {
  const wire::VoteReply& reply = message.vote_reply();
  const bool expected =
      reply.pre_vote()
          ? role_ == Role::kPreCandidate && reply.candidate_term() == term_ + 1
          : role_ == Role::kCandidate && reply.candidate_term() == term_;
  if (expected && reply.granted())
    CountVote(message.from());
}

/// Returns the latest time at which a majority is known to have followed this
/// leader. Each follower counts with the send time of the newest message that
/// it has replied to.
support::TimePoint Core::Impl::LastMajorityContact() const {
  std::vector<TimePoint> contact_times;
  for (const wire::ConsensusMember& member : log_.config().members()) {
    if (member.learner())
      continue;
    const auto found = followers_.find(member.identity());
    if (member.identity() == OwnIdentity())
      contact_times.push_back(Now());
    else
      contact_times.push_back(found == followers_.end()
                                  ? kNever
                                  : found->second.acknowledged_send_time);
  }
  if (contact_times.empty())
    return kNever;
  std::sort(contact_times.begin(), contact_times.end(), std::greater<>());
  return contact_times[Majority() - 1];
}

void Core::Impl::TickLeader() {
  const TimePoint contact = std::max(LastMajorityContact(), leader_since_);
  if (Now() >= contact + options_.min_election_timeout) {
    support::LogWarning("log.majority_lost", {{"term", term_}});
    BecomeFollower(term_);
    return;
  }
  for (auto& [identity, follower] : followers_) {
    if (follower.in_flight_sequence != 0 &&
        Now() >= follower.in_flight_since + options_.resend_timeout)
      follower.in_flight_sequence = 0;
    if (Now() >= follower.last_send_time + options_.heartbeat_interval)
      SendHeartbeat(identity, follower);
  }
  if (CanChangeConfig() && !RemoveStaleLearner() && !PromoteLearner() &&
      !RemoveUnreachableVoter())
    AddLearner();
}

}  // namespace yuccastair::consensus
