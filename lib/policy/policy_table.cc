// Applies changes of the routing policy.

#include "yuccastair/policy/policy_table.h"

#include <xxhash.h>

#include <algorithm>

#include "yuccastair/support/error.h"

namespace yuccastair::policy {
namespace {

std::uint64_t DigestOf(const wire::PolicyPut& put) {
  const std::string& source = put.policy().source();
  return XXH3_64bits_withSeed(source.data(), source.size(), put.base_version());
}

}  // namespace

std::string PolicyTable::Apply(std::uint64_t /*index*/,
                               const std::string& command) {
  wire::PolicyRequest request;
  wire::PolicyReply reply;
  if (!request.ParseFromString(command))
    return reply.SerializeAsString();
  if (request.has_put()) {
    reply.set_status(Put(request.put()));
  } else if (request.has_zone()) {
    reply.set_status(SetZone(request.zone()));
  }
  reply.set_version(state_.policy().version());
  return reply.SerializeAsString();
}

wire::PolicyStatus PolicyTable::Put(const wire::PolicyPut& put) {
  const std::uint64_t version = put.policy().version();
  const std::uint64_t digest = DigestOf(put);
  const auto& accepted = state_.accepted();
  const bool resent = std::any_of(
      accepted.begin(), accepted.end(), [&](const wire::AcceptedPolicy& entry) {
        return entry.version() == version && entry.digest() == digest;
      });
  if (resent)
    return wire::POLICY_STATUS_DONE;
  if (put.base_version() != state_.policy().version() ||
      version <= state_.policy().version())
    return wire::POLICY_STATUS_CONFLICT;
  *state_.mutable_policy() = put.policy();
  if (state_.accepted_size() >= kMaxAccepted)
    state_.mutable_accepted()->DeleteSubrange(0, kMaxAccepted / 2);
  wire::AcceptedPolicy* entry = state_.add_accepted();
  entry->set_version(version);
  entry->set_digest(digest);
  Index();
  return wire::POLICY_STATUS_DONE;
}

wire::PolicyStatus PolicyTable::SetZone(const wire::ZoneChange& change) {
  auto* zones = state_.mutable_zones_out();
  const auto found = std::find(zones->begin(), zones->end(), change.zone());
  const bool has_effect = (found != zones->end()) != change.out();
  wire::AcceptedZoneChange& last = LastChangeOf(change.zone());
  if (has_effect && change.has_changes_before() &&
      last.number() > change.changes_before())
    return wire::POLICY_STATUS_SUPERSEDED;
  // A change without effect counts too: it confirms the state against an older
  // opposite change.
  state_.set_zone_changes(state_.zone_changes() + 1);
  last.set_number(state_.zone_changes());
  if (!has_effect)
    return wire::POLICY_STATUS_DONE;
  if (change.out())
    state_.add_zones_out(change.zone());
  else
    zones->erase(found);
  state_.set_zones_revision(state_.zones_revision() + 1);
  return wire::POLICY_STATUS_DONE;
}

wire::AcceptedZoneChange& PolicyTable::LastChangeOf(const std::string& zone) {
  for (wire::AcceptedZoneChange& last : *state_.mutable_last_zone_changes()) {
    if (last.zone() == zone)
      return last;
  }
  wire::AcceptedZoneChange* added = state_.add_last_zone_changes();
  added->set_zone(zone);
  return *added;
}

std::string PolicyTable::TakeSnapshot() const {
  return state_.SerializeAsString();
}

void PolicyTable::RestoreSnapshot(const std::string& snapshot) {
  wire::PolicyState state;
  if (!state.ParseFromString(snapshot))
    throw support::Error("restore snapshot", "",
                         "the snapshot of the policy cannot be decoded");
  state_ = std::move(state);
  Index();
}

const wire::PolicyOrganisation* PolicyTable::FindOrganisation(
    const std::string& name) const {
  const auto found = organisations_.find(name);
  return found == organisations_.end() ? nullptr : found->second;
}

void PolicyTable::Index() {
  organisations_.clear();
  for (const wire::PolicyOrganisation& organisation :
       state_.policy().organisations())
    organisations_[organisation.name()] = &organisation;
  wire::Policy for_nodes = state_.policy();
  for_nodes.clear_source();
  encoded_ = for_nodes.SerializeAsString();
}

}  // namespace yuccastair::policy
