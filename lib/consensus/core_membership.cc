// Formation of a cluster and one-at-a-time changes of its members.

#include <algorithm>

#include "core_impl.h"
#include "yuccastair/support/log.h"

namespace yuccastair::consensus {
namespace {

// A hello older than this no longer identifies the process at an address.
constexpr std::chrono::milliseconds kMaxHelloAge{1000};
// Bounds the addresses that hellos can add. Far above the number of control
// processes of a deployment (at most 11).
constexpr std::size_t kMaxLearnedAddresses = 64;

}  // namespace

const wire::ConsensusMember* Core::Impl::FindMember(
    const std::string& identity) const {
  for (const wire::ConsensusMember& member : log_.config().members()) {
    if (member.identity() == identity)
      return &member;
  }
  return nullptr;
}

bool Core::Impl::IsVoter(const std::string& identity) const {
  const wire::ConsensusMember* member = FindMember(identity);
  return member && !member->learner();
}

std::size_t Core::Impl::Majority() const {
  const auto& members = log_.config().members();
  const auto voters = std::count_if(
      members.begin(), members.end(),
      [](const wire::ConsensusMember& member) { return !member.learner(); });
  return static_cast<std::size_t>(voters) / 2 + 1;
}

/// Returns whether this process may change the configuration. Only one change
/// may be in progress, and none may start before an entry of this term is
/// committed. Otherwise two disjoint majorities could arise.
bool Core::Impl::CanChangeConfig() const {
  return IsCurrentLeader() && log_.config_index() <= commit_index_;
}

void Core::Impl::ProposeConfig(const wire::ConsensusConfig& config) {
  AppendEntry(wire::ENTRY_KIND_CONFIG, config.SerializeAsString());
  RefreshFollowers();
}

void Core::Impl::RefreshFollowers() {
  for (auto it = followers_.begin(); it != followers_.end();)
    it = FindMember(it->first) ? std::next(it) : followers_.erase(it);
  for (const wire::ConsensusMember& member : log_.config().members()) {
    if (member.identity() == OwnIdentity())
      continue;
    const auto [it, added] = followers_.try_emplace(member.identity());
    it->second.address = member.address();
    // The last entry is sent at once, to find the point up to which the logs
    // match.
    if (added)
      it->second.next_index = std::max<std::uint64_t>(log_.last_index(), 1);
  }
}

bool Core::Impl::IsReachable(const std::string& identity) const {
  const auto found = followers_.find(identity);
  return identity == OwnIdentity() ||
         (found != followers_.end() &&
          Now() <
              found->second.acknowledged_send_time + options_.lease_duration);
}

bool Core::Impl::IsCaughtUp(const std::string& identity) const {
  const auto found = followers_.find(identity);
  return found != followers_.end() &&
         found->second.match_index >= commit_index_ && IsReachable(identity);
}

/// Returns whether a voter still replies from \p address. Any other identity at
/// that address is then stale, because its hello was delayed.
bool Core::Impl::IsAddressOfReachableVoter(const std::string& address) const {
  const auto& members = log_.config().members();
  return std::any_of(members.begin(), members.end(), [&](const auto& member) {
    return !member.learner() && member.address() == address &&
           IsReachable(member.identity());
  });
}

bool Core::Impl::RemoveStaleLearner() {
  for (const wire::ConsensusMember& member : log_.config().members()) {
    if (member.learner() && IsAddressOfReachableVoter(member.address()))
      return RemoveMember(std::string(member.identity()));
  }
  return false;
}

/// Makes a learner that has caught up a voter. If its address still belongs to
/// a lost voter, removes that voter first, so that the number of voters never
/// exceeds the number of processes.
bool Core::Impl::PromoteLearner() {
  for (const wire::ConsensusMember& learner : log_.config().members()) {
    if (!learner.learner() || !IsCaughtUp(learner.identity()))
      continue;
    wire::ConsensusConfig config = log_.config();
    auto* members = config.mutable_members();
    const auto lost_voter =
        std::find_if(members->begin(), members->end(), [&](const auto& member) {
          return member.address() == learner.address() && !member.learner();
        });
    if (lost_voter != members->end()) {
      support::LogInfo("log.member_removed",
                       {{"address", lost_voter->address()},
                        {"identity", lost_voter->identity()}});
      members->erase(lost_voter);
    } else {
      support::LogInfo(
          "log.member_promoted",
          {{"address", learner.address()}, {"identity", learner.identity()}});
      for (wire::ConsensusMember& member : *members) {
        if (member.identity() == learner.identity())
          member.set_learner(false);
      }
    }
    ProposeConfig(config);
    return true;
  }
  return false;
}

bool Core::Impl::AddLearner() {
  for (const auto& entry : received_hellos_) {
    const std::string& address = entry.first;
    const ReceivedHello& hello = entry.second;
    if (Now() >= hello.received_at + kMaxHelloAge ||
        FindMember(hello.identity) || IsAddressOfReachableVoter(address))
      continue;
    wire::ConsensusConfig config = log_.config();
    auto* members = config.mutable_members();
    members->erase(std::remove_if(members->begin(), members->end(),
                                  [&](const wire::ConsensusMember& member) {
                                    return member.learner() &&
                                           member.address() == address;
                                  }),
                   members->end());
    wire::ConsensusMember* learner = members->Add();
    learner->set_identity(hello.identity);
    learner->set_address(address);
    learner->set_learner(true);
    support::LogInfo("log.learner_added",
                     {{"address", address}, {"identity", hello.identity}});
    ProposeConfig(config);
    return true;
  }
  return false;
}

bool Core::Impl::RemoveMember(const std::string& identity) {
  if (!CanChangeConfig() || !FindMember(identity))
    return false;
  wire::ConsensusConfig config = log_.config();
  auto* members = config.mutable_members();
  members->erase(std::remove_if(members->begin(), members->end(),
                                [&](const wire::ConsensusMember& member) {
                                  return member.identity() == identity;
                                }),
                 members->end());
  // An earlier hello must not add the member again.
  for (auto& [address, hello] : received_hellos_) {
    if (hello.identity == identity)
      hello.received_at = kNever;
  }
  ProposeConfig(config);
  return true;
}

/// Sends hellos until this process is a member. The entry that made it a
/// learner may be replaced by an entry of another leader, so a learner without
/// a leader keeps sending them. With open membership, a voter without a leader
/// may have been removed, and only its hello makes the leader add it again.
void Core::Impl::SendHellos() {
  const bool has_contact =
      FindMember(OwnIdentity()) && HasRecentLeaderContact();
  if (has_contact || (IsVoter(OwnIdentity()) && !options_.open_membership) ||
      Now() < last_hello_ + options_.hello_interval)
    return;
  last_hello_ = Now();
  for (const std::string& address : KnownPeerAddresses()) {
    if (address == options_.address)
      continue;
    wire::ConsensusMessage message = MakeMessage("");
    message.mutable_hello()->set_has_state(log_.config().members_size() > 0);
    SendAfterSync(address, std::move(message));
  }
}

void Core::Impl::HandleHello(const wire::ConsensusMessage& message) {
  const std::string& address = message.from_address();
  if (options_.open_membership) {
    AddPeerAddress(address);
    for (const std::string& known : message.hello().known_addresses())
      AddPeerAddress(known);
  } else if (std::find(options_.peers.begin(), options_.peers.end(), address) ==
             options_.peers.end()) {
    return;
  }
  ReceivedHello& hello = received_hellos_[address];
  if (hello.identity != message.from())
    hello = {.identity = message.from()};
  hello.received_at = Now();
  // Only a message addressed to this identity is known to have been sent after
  // this process started, and so after any earlier process at this address
  // ended.
  if (message.hello().has_state())
    hello.reported_empty_at = kNever;
  else if (message.to() == OwnIdentity())
    hello.reported_empty_at = Now();
  if (message.hello().answer())
    return;
  wire::ConsensusMessage reply_message = MakeMessage(message.from());
  reply_message.mutable_hello()->set_answer(true);
  reply_message.mutable_hello()->set_has_state(log_.config().members_size() >
                                               0);
  if (options_.open_membership) {
    for (const std::string& known : KnownPeerAddresses())
      reply_message.mutable_hello()->add_known_addresses(known);
  }
  SendAfterSync(address, std::move(reply_message));
}

void Core::Impl::AddPeerAddress(const std::string& address) {
  if (learned_addresses_.size() < kMaxLearnedAddresses)
    learned_addresses_.insert(address);
}

std::vector<std::string> Core::Impl::KnownPeerAddresses() const {
  std::set<std::string> known(options_.peers.begin(), options_.peers.end());
  known.insert(learned_addresses_.begin(), learned_addresses_.end());
  for (const wire::ConsensusMember& member : log_.config().members())
    known.insert(member.address());
  return {known.begin(), known.end()};
}

/// Removes a voter that does not reply if the number of voters is even. Thus a
/// process at a new address replaces the voter that has stopped.
bool Core::Impl::RemoveUnreachableVoter() {
  if (!options_.open_membership)
    return false;
  std::size_t voters = 0;
  const wire::ConsensusMember* unreachable = nullptr;
  for (const wire::ConsensusMember& member : log_.config().members()) {
    if (member.learner())
      continue;
    ++voters;
    const auto found = followers_.find(member.identity());
    if (found != followers_.end() &&
        Now() >= std::max(found->second.acknowledged_send_time, leader_since_) +
                     options_.unreachable_voter_timeout)
      unreachable = &member;
  }
  if (unreachable == nullptr || voters % 2 != 0)
    return false;
  support::LogInfo("log.member_removed", {{"address", unreachable->address()},
                                          {"identity", unreachable->identity()},
                                          {"voters", voters}});
  return RemoveMember(std::string(unreachable->identity()));
}

/// Forms a new cluster if every configured process has recently reported that
/// it has no configuration. Only the process with the lowest address does so.
void Core::Impl::BootstrapIfPossible() {
  if (!options_.may_form_cluster || log_.config().members_size() > 0 ||
      log_.last_index() > 0)
    return;
  if (std::find(options_.peers.begin(), options_.peers.end(),
                options_.address) == options_.peers.end())
    return;
  wire::ConsensusConfig config;
  config.set_cluster_id(OwnIdentity());
  wire::ConsensusMember* self = config.add_members();
  self->set_identity(OwnIdentity());
  self->set_address(options_.address);
  for (const std::string& address : options_.peers) {
    if (address == options_.address)
      continue;
    const auto found = received_hellos_.find(address);
    if (address < options_.address || found == received_hellos_.end() ||
        Now() >= found->second.reported_empty_at + kMaxHelloAge)
      return;
    wire::ConsensusMember* member = config.add_members();
    member->set_identity(found->second.identity);
    member->set_address(address);
  }
  if (term_ == 0)
    SetTermAndVote(1, "");
  AppendEntry(wire::ENTRY_KIND_CONFIG, config.SerializeAsString());
  support::LogInfo("log.cluster_formed", {{"cluster", config.cluster_id()},
                                          {"members", config.members_size()}});
}

}  // namespace yuccastair::consensus
