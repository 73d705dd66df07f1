// Counts the targets that each request has crashed, and manages its permit.

#include "yuccastair/claims/fingerprint_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include "yuccastair/support/error.h"

namespace yuccastair::claims {
namespace {

constexpr std::size_t kMaxFieldBytes = 128;
// Bounds the targets that are stored for each fingerprint.
constexpr std::uint32_t kMaxCrashesToBlock = 16;

/// Returns the number of crashed targets that blocks a request, from the field
/// of a message.
std::uint32_t CrashesToBlock(std::uint32_t field) {
  return field == 0 ? FingerprintTable::kDefaultCrashesToBlock
                    : std::min(field, kMaxCrashesToBlock);
}

bool IsValidField(const std::string& field) {
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
    results.add_statuses(ApplyOperation(operation));
  return results.SerializeAsString();
}

wire::CrashStatus FingerprintTable::ApplyOperation(
    const wire::CrashOperation& operation) {
  if (!IsValidField(operation.fingerprint()))
    return wire::CRASH_STATUS_UNSPECIFIED;
  switch (operation.action()) {
    case wire::CRASH_ACTION_REPORT:
      return ReportCrash(operation);
    case wire::CRASH_ACTION_PERMIT:
      return GrantPermit(operation);
    case wire::CRASH_ACTION_RETURN:
      return ReturnPermit(operation);
    case wire::CRASH_ACTION_CLEAR:
      return Clear(operation.fingerprint());
    default:
      return wire::CRASH_STATUS_UNSPECIFIED;
  }
}

wire::CrashStatus FingerprintTable::ReportCrash(
    const wire::CrashOperation& operation) {
  if (!IsValidField(operation.target()))
    return wire::CRASH_STATUS_UNSPECIFIED;
  const std::string& hash = operation.fingerprint();
  auto found = fingerprints_by_hash_.find(hash);
  if (found == fingerprints_by_hash_.end()) {
    if (fingerprints_.size() >= limits_.max_fingerprints)
      return wire::CRASH_STATUS_FULL;
    fingerprints_.push_back(
        {.hash = hash,
         .targets = {},
         .permit_holder = "",
         .changed_ms = time_ms_,
         .crashes_to_block = CrashesToBlock(operation.crashes_to_block())});
    found = fingerprints_by_hash_.emplace(hash, std::prev(fingerprints_.end()))
                .first;
  }
  Fingerprint& fingerprint = *found->second;
  const bool is_known_target =
      std::count(fingerprint.targets.begin(), fingerprint.targets.end(),
                 operation.target()) > 0;
  // A retried report counts once; a target beyond the last one changes nothing.
  if (!is_known_target && !fingerprint.blocked()) {
    fingerprint.targets.push_back(operation.target());
    RefreshExpiry(found->second);
    RecordChange(hash);
  }
  return fingerprint.blocked() ? wire::CRASH_STATUS_BLOCKED
                               : wire::CRASH_STATUS_SUSPECT;
}

wire::CrashStatus FingerprintTable::GrantPermit(
    const wire::CrashOperation& operation) {
  const auto found = fingerprints_by_hash_.find(operation.fingerprint());
  if (found == fingerprints_by_hash_.end())
    return wire::CRASH_STATUS_CLEAR;
  Fingerprint& fingerprint = *found->second;
  if (fingerprint.blocked())
    return wire::CRASH_STATUS_BLOCKED;
  if (!IsValidField(operation.attempt_id()) ||
      (!fingerprint.permit_holder.empty() &&
       fingerprint.permit_holder != operation.attempt_id()))
    return wire::CRASH_STATUS_SUSPECT;
  fingerprint.permit_holder = operation.attempt_id();
  RefreshExpiry(found->second);
  return wire::CRASH_STATUS_PERMITTED;
}

wire::CrashStatus FingerprintTable::ReturnPermit(
    const wire::CrashOperation& operation) {
  const auto found = fingerprints_by_hash_.find(operation.fingerprint());
  if (found == fingerprints_by_hash_.end())
    return wire::CRASH_STATUS_CLEAR;
  Fingerprint& fingerprint = *found->second;
  if (fingerprint.permit_holder == operation.attempt_id())
    fingerprint.permit_holder.clear();
  return fingerprint.blocked() ? wire::CRASH_STATUS_BLOCKED
                               : wire::CRASH_STATUS_SUSPECT;
}

wire::CrashStatus FingerprintTable::Clear(const std::string& hash) {
  const auto found = fingerprints_by_hash_.find(hash);
  if (found != fingerprints_by_hash_.end()) {
    fingerprints_.erase(found->second);
    fingerprints_by_hash_.erase(found);
    RecordChange(hash);
  }
  return wire::CRASH_STATUS_CLEAR;
}

void FingerprintTable::RefreshExpiry(FingerprintList::iterator fingerprint) {
  fingerprint->changed_ms = time_ms_;
  fingerprints_.splice(fingerprints_.end(), fingerprints_, fingerprint);
}

void FingerprintTable::RecordChange(const std::string& hash) {
  ++version_;
  recent_changes_.push_back(hash);
  if (recent_changes_.size() > limits_.max_changes)
    recent_changes_.pop_front();
}

bool FingerprintTable::HasExpired(std::uint64_t time_ms) const {
  return !fingerprints_.empty() &&
         time_ms >= fingerprints_.front().changed_ms +
                        static_cast<std::uint64_t>(limits_.retention.count());
}

void FingerprintTable::RemoveExpired() {
  while (HasExpired(time_ms_)) {
    const std::string hash = fingerprints_.front().hash;
    fingerprints_by_hash_.erase(hash);
    fingerprints_.pop_front();
    RecordChange(hash);
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
  if (known_version > version_ ||
      version_ - known_version > recent_changes_.size()) {
    update.set_full(true);
    for (const Fingerprint& fingerprint : fingerprints_)
      add(fingerprint);
    return;
  }
  const std::set<std::string> changed(
      recent_changes_.end() -
          static_cast<std::ptrdiff_t>(version_ - known_version),
      recent_changes_.end());
  for (const std::string& hash : changed) {
    const auto found = fingerprints_by_hash_.find(hash);
    if (found == fingerprints_by_hash_.end())
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
    stored->set_crashes_to_block(fingerprint.crashes_to_block);
  }
  return snapshot.SerializeAsString();
}

void FingerprintTable::RestoreSnapshot(const std::string& snapshot) {
  wire::FingerprintSnapshot parsed;
  if (!parsed.ParseFromString(snapshot))
    throw support::Error(
        "restore snapshot", "",
        "the snapshot of the fingerprint table cannot be decoded");
  fingerprints_by_hash_.clear();
  fingerprints_.clear();
  // Nodes with an older version receive the whole list.
  recent_changes_.clear();
  time_ms_ = parsed.time_ms();
  version_ = parsed.version();
  for (const wire::StoredFingerprint& stored : parsed.fingerprints()) {
    fingerprints_.push_back(
        {.hash = stored.fingerprint(),
         .targets = {stored.targets().begin(), stored.targets().end()},
         .permit_holder = stored.permit_holder(),
         .changed_ms = stored.changed_ms(),
         .crashes_to_block = CrashesToBlock(stored.crashes_to_block())});
    fingerprints_by_hash_.emplace(stored.fingerprint(),
                                  std::prev(fingerprints_.end()));
  }
}

}  // namespace yuccastair::claims
