// Counts the targets that each request has crashed, and manages its permit.

#include "yuccastair/claims/fingerprint_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include "yuccastair/support/error.h"

namespace yuccastair::claims {
namespace {

constexpr std::size_t kMaxFieldBytes = 128;

bool IsValid(const std::string& field) {
  return !field.empty() && field.size() <= kMaxFieldBytes;
}

}  // namespace

std::string FingerprintTable::Apply(std::uint64_t /*index*/,
                                    const std::string& command) {
  wire::CrashCommand parsed;
  wire::CrashResults results;
  if (!parsed.ParseFromString(command))
    return results.SerializeAsString();
  time_ms_ = std::max(time_ms_, parsed.time_ms());
  RemoveExpired();
  for (const wire::CrashOperation& operation : parsed.operations())
    results.add_statuses(ApplyOne(operation));
  return results.SerializeAsString();
}

wire::CrashStatus FingerprintTable::ApplyOne(
    const wire::CrashOperation& operation) {
  if (!IsValid(operation.fingerprint()))
    return wire::CRASH_STATUS_UNSPECIFIED;
  switch (operation.action()) {
    case wire::CRASH_ACTION_REPORT:
      return Report(operation);
    case wire::CRASH_ACTION_PERMIT:
      return Permit(operation);
    case wire::CRASH_ACTION_RETURN:
      return Return(operation);
    default:
      return wire::CRASH_STATUS_UNSPECIFIED;
  }
}

wire::CrashStatus FingerprintTable::Report(
    const wire::CrashOperation& operation) {
  if (!IsValid(operation.target()))
    return wire::CRASH_STATUS_UNSPECIFIED;
  const std::string& hash = operation.fingerprint();
  auto found = by_hash_.find(hash);
  if (found == by_hash_.end()) {
    if (fingerprints_.size() >= limits_.fingerprints)
      return wire::CRASH_STATUS_FULL;
    fingerprints_.push_back({.hash = hash,
                             .targets = {},
                             .permit_holder = "",
                             .changed_ms = time_ms_});
    found = by_hash_.emplace(hash, std::prev(fingerprints_.end())).first;
  }
  Fingerprint& fingerprint = *found->second;
  const bool known =
      std::count(fingerprint.targets.begin(), fingerprint.targets.end(),
                 operation.target()) > 0;
  // A retried report counts once; a third target changes nothing.
  if (!known && !fingerprint.blocked()) {
    fingerprint.targets.push_back(operation.target());
    Touch(found->second);
    Changed(hash);
  }
  return fingerprint.blocked() ? wire::CRASH_STATUS_BLOCKED
                               : wire::CRASH_STATUS_SUSPECT;
}

wire::CrashStatus FingerprintTable::Permit(
    const wire::CrashOperation& operation) {
  const auto found = by_hash_.find(operation.fingerprint());
  if (found == by_hash_.end())
    return wire::CRASH_STATUS_CLEAR;
  Fingerprint& fingerprint = *found->second;
  if (fingerprint.blocked())
    return wire::CRASH_STATUS_BLOCKED;
  if (!IsValid(operation.attempt_id()) ||
      (!fingerprint.permit_holder.empty() &&
       fingerprint.permit_holder != operation.attempt_id()))
    return wire::CRASH_STATUS_SUSPECT;
  fingerprint.permit_holder = operation.attempt_id();
  Touch(found->second);
  return wire::CRASH_STATUS_PERMITTED;
}

wire::CrashStatus FingerprintTable::Return(
    const wire::CrashOperation& operation) {
  const auto found = by_hash_.find(operation.fingerprint());
  if (found == by_hash_.end())
    return wire::CRASH_STATUS_CLEAR;
  Fingerprint& fingerprint = *found->second;
  if (fingerprint.permit_holder == operation.attempt_id())
    fingerprint.permit_holder.clear();
  return fingerprint.blocked() ? wire::CRASH_STATUS_BLOCKED
                               : wire::CRASH_STATUS_SUSPECT;
}

void FingerprintTable::Touch(List::iterator fingerprint) {
  fingerprint->changed_ms = time_ms_;
  fingerprints_.splice(fingerprints_.end(), fingerprints_, fingerprint);
}

void FingerprintTable::Changed(const std::string& hash) {
  ++version_;
  changes_.push_back(hash);
  if (changes_.size() > limits_.changes)
    changes_.pop_front();
}

bool FingerprintTable::HasExpired(std::uint64_t time_ms) const {
  return !fingerprints_.empty() &&
         time_ms >= fingerprints_.front().changed_ms +
                        static_cast<std::uint64_t>(limits_.retention.count());
}

void FingerprintTable::RemoveExpired() {
  while (HasExpired(time_ms_)) {
    const std::string hash = fingerprints_.front().hash;
    by_hash_.erase(hash);
    fingerprints_.pop_front();
    Changed(hash);
  }
}

void FingerprintTable::FillUpdate(std::uint64_t known_version,
                                  wire::FingerprintUpdate& update) const {
  update.set_version(version_);
  if (known_version >= version_)
    return;
  const auto add = [&update](const Fingerprint& fingerprint) {
    if (fingerprint.blocked())
      update.add_blocked(fingerprint.hash);
    else
      update.add_suspects(fingerprint.hash);
  };
  if (known_version > version_ || version_ - known_version > changes_.size()) {
    update.set_full(true);
    for (const Fingerprint& fingerprint : fingerprints_)
      add(fingerprint);
    return;
  }
  const std::set<std::string> changed(
      changes_.end() - static_cast<std::ptrdiff_t>(version_ - known_version),
      changes_.end());
  for (const std::string& hash : changed) {
    const auto found = by_hash_.find(hash);
    if (found == by_hash_.end())
      update.add_removed(hash);
    else
      add(*found->second);
  }
}

std::string FingerprintTable::TakeSnapshot() const {
  wire::FingerprintSnapshot snapshot;
  snapshot.set_time_ms(time_ms_);
  snapshot.set_version(version_);
  for (const Fingerprint& fingerprint : fingerprints_) {
    wire::StoredFingerprint* stored = snapshot.add_fingerprints();
    stored->set_fingerprint(fingerprint.hash);
    for (const std::string& target : fingerprint.targets)
      stored->add_targets(target);
    stored->set_permit_holder(fingerprint.permit_holder);
    stored->set_changed_ms(fingerprint.changed_ms);
  }
  return snapshot.SerializeAsString();
}

void FingerprintTable::RestoreSnapshot(const std::string& snapshot) {
  wire::FingerprintSnapshot parsed;
  if (!parsed.ParseFromString(snapshot))
    throw support::Error(
        "restore snapshot", "",
        "the snapshot of the fingerprint table cannot be decoded");
  by_hash_.clear();
  fingerprints_.clear();
  // Nodes with an older version receive the whole list.
  changes_.clear();
  time_ms_ = parsed.time_ms();
  version_ = parsed.version();
  for (const wire::StoredFingerprint& stored : parsed.fingerprints()) {
    fingerprints_.push_back(
        {.hash = stored.fingerprint(),
         .targets = {stored.targets().begin(), stored.targets().end()},
         .permit_holder = stored.permit_holder(),
         .changed_ms = stored.changed_ms()});
    by_hash_.emplace(stored.fingerprint(), std::prev(fingerprints_.end()));
  }
}

}  // namespace yuccastair::claims
