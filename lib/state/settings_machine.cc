// Applies changes in log order and answers what they did.

#include "yuccastair/state/settings_machine.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "yuccastair/state/validate.h"
#include "yuccastair/support/error.h"

namespace yuccastair::state {
namespace {

constexpr std::size_t kMaxOperationIdLength = 64;
constexpr std::size_t kMaxTextLength = 256;
constexpr std::size_t kMaxFaults = 100;
// Bounds of a conflict's report, which is remembered with its operation.
constexpr std::size_t kMaxReportedChanges = 10;
constexpr int kMaxReportedEntries = 20;
constexpr std::size_t kMaxCachedUpdates = 64;

/// Digest of what a change does. The time is left out, because a resend may
/// have been stamped anew.
std::uint64_t DigestOf(wire::SettingsChange change) {
  change.clear_at_ms();
  const std::string text = change.SerializeAsString();
  return XXH3_64bits(text.data(), text.size());
}

wire::SettingsResult Invalid(std::uint64_t version, const std::string& fault) {
  wire::SettingsResult result;
  result.set_outcome(wire::CHANGE_OUTCOME_INVALID);
  result.set_version(version);
  result.add_faults(fault);
  return result;
}

std::string IdOf(const wire::EntryChange& change) {
  return EntryId(change.has_after() ? change.after() : change.before());
}

/// Merges changes of one entry in the order in which they were made.
void Merge(std::map<std::string, wire::EntryChange>& merged,
           const wire::EntryChange& change) {
  const std::string id = IdOf(change);
  const auto [position, added] = merged.emplace(id, change);
  if (added)
    return;
  position->second.clear_after();
  if (change.has_after())
    *position->second.mutable_after() = change.after();
}

bool HasEffect(const wire::EntryChange& change) {
  return change.has_before() != change.has_after() ||
         change.before().SerializeAsString() !=
             change.after().SerializeAsString();
}

void Swap(wire::EntryChange& change) {
  wire::EntryChange swapped;
  if (change.has_after())
    *swapped.mutable_before() = change.after();
  if (change.has_before())
    *swapped.mutable_after() = change.before();
  change = std::move(swapped);
}

wire::SettingsEdit EditOf(const wire::EntryChange& change) {
  wire::SettingsEdit edit;
  *edit.mutable_entry() = change.has_after() ? change.after() : change.before();
  edit.set_remove(!change.has_after());
  return edit;
}

/// Adds the rules on a change as a whole that it breaks.
void CheckChange(const wire::SettingsChange& change,
                 std::size_t max_edits,
                 std::vector<std::string>& faults) {
  if (change.operation_id().empty() ||
      change.operation_id().size() > kMaxOperationIdLength)
    faults.emplace_back("operation_id must have 1 to 64 characters");
  if (change.author().size() > kMaxTextLength)
    faults.emplace_back("author must have at most 256 characters");
  if (change.comment().size() > kMaxTextLength)
    faults.emplace_back("comment must have at most 256 characters");
  if (static_cast<std::size_t>(change.edits_size()) > max_edits)
    faults.push_back("a change may have at most " + std::to_string(max_edits) +
                     " edits");
  if (change.has_rollback_to() && change.edits_size() > 0)
    faults.emplace_back("a rollback has no edits of its own");
  if (!change.has_rollback_to() && change.edits_size() == 0)
    faults.emplace_back("a change needs at least one edit");
}

}  // namespace

std::string SettingsMachine::Apply(std::uint64_t /*index*/,
                                   const std::string& command) {
  wire::SettingsChange change;
  if (!change.ParseFromString(command))
    return Invalid(version_, "the change cannot be decoded")
        .SerializeAsString();
  const std::uint64_t digest = DigestOf(change);
  const auto known = operations_.find(change.operation_id());
  if (known != operations_.end()) {
    if (known->second.digest == digest)
      return known->second.result;
    return Invalid(version_, "operation_id was already used for another change")
        .SerializeAsString();
  }
  const wire::SettingsResult result = Decide(change, tree_);
  if (result.outcome() == wire::CHANGE_OUTCOME_COMMITTED &&
      result.changes_size() > 0)
    Record(change, result);
  // What a committed change did stands in the history; the remembered result
  // leaves it out, so that the memory for operations stays small.
  wire::SettingsResult answer = result;
  answer.clear_changes();
  std::string encoded = answer.SerializeAsString();
  if (!change.operation_id().empty() &&
      change.operation_id().size() <= kMaxOperationIdLength)
    Remember(change.operation_id(), digest, encoded);
  return encoded;
}

wire::SettingsResult SettingsMachine::Check(
    const wire::SettingsChange& change) const {
  SettingsTree copy = tree_;
  return Decide(change, copy);
}

wire::SettingsResult SettingsMachine::Decide(const wire::SettingsChange& change,
                                             SettingsTree& tree) const {
  if (change.base_version() != version_)
    return Conflict(change.base_version());
  wire::SettingsResult result;
  result.set_version(version_);
  result.set_outcome(wire::CHANGE_OUTCOME_INVALID);
  std::vector<wire::SettingsEdit> edits;
  if (!CollectEdits(change, edits, result))
    return result;
  std::map<std::string, wire::EntryChange> merged;
  std::vector<wire::EntryChange> done;
  for (const wire::SettingsEdit& edit : edits) {
    for (wire::EntryChange& step : tree.Apply(edit)) {
      Merge(merged, step);
      done.push_back(std::move(step));
    }
  }
  std::vector<std::string> faults;
  CheckTree(tree, faults);
  if (!faults.empty()) {
    std::for_each(done.rbegin(), done.rend(),
                  [&](const wire::EntryChange& step) { tree.Revert(step); });
    for (std::size_t i = 0; i < std::min(faults.size(), kMaxFaults); ++i)
      result.add_faults(faults[i]);
    return result;
  }
  result.set_outcome(wire::CHANGE_OUTCOME_COMMITTED);
  for (const auto& [id, step] : merged) {
    if (HasEffect(step))
      *result.add_changes() = step;
  }
  if (result.changes_size() > 0)
    result.set_version(version_ + 1);
  return result;
}

bool SettingsMachine::CollectEdits(const wire::SettingsChange& change,
                                   std::vector<wire::SettingsEdit>& edits,
                                   wire::SettingsResult& result) const {
  std::vector<std::string> faults;
  CheckChange(change, limits_.edits_per_change, faults);
  if (!faults.empty()) {
    for (const std::string& fault : faults)
      result.add_faults(fault);
    return false;
  }
  if (change.has_rollback_to()) {
    const auto diff = Diff(version_, change.rollback_to());
    if (!diff) {
      result.add_faults("version " + std::to_string(change.rollback_to()) +
                        " is not in the history");
      return false;
    }
    for (const wire::EntryChange& step : *diff)
      edits.push_back(EditOf(step));
    return true;
  }
  edits.assign(change.edits().begin(), change.edits().end());
  for (const wire::SettingsEdit& edit : edits)
    CheckEntry(edit.entry(), edit.remove(), faults);
  for (std::size_t i = 0; i < std::min(faults.size(), kMaxFaults); ++i)
    result.add_faults(faults[i]);
  return faults.empty();
}

wire::SettingsResult SettingsMachine::Conflict(
    std::uint64_t base_version) const {
  wire::SettingsResult result;
  result.set_outcome(wire::CHANGE_OUTCOME_CONFLICT);
  result.set_version(version_);
  if (base_version > version_) {
    result.add_faults("base version " + std::to_string(base_version) +
                      " does not exist yet");
    return result;
  }
  std::size_t reported = 0;
  for (auto record = history_.rbegin();
       record != history_.rend() && record->version() > base_version &&
       reported < kMaxReportedChanges;
       ++record, ++reported) {
    wire::ChangeRecord* copy = result.add_changed_since();
    *copy = *record;
    if (copy->changes_size() > kMaxReportedEntries)
      copy->mutable_changes()->DeleteSubrange(
          kMaxReportedEntries, copy->changes_size() - kMaxReportedEntries);
  }
  result.set_changes_left_out(version_ - base_version - reported);
  return result;
}

void SettingsMachine::Record(const wire::SettingsChange& change,
                             const wire::SettingsResult& result) {
  version_ = result.version();
  updates_.clear();
  wire::ChangeRecord& record = history_.emplace_back();
  record.set_version(version_);
  record.set_operation_id(change.operation_id());
  record.set_author(change.author());
  record.set_comment(change.comment());
  record.set_at_ms(change.at_ms());
  *record.mutable_changes() = result.changes();
  history_bytes_ += record.ByteSizeLong();
  while (history_.size() > limits_.history ||
         (history_bytes_ > limits_.history_bytes && history_.size() > 1)) {
    history_bytes_ -= history_.front().ByteSizeLong();
    history_.pop_front();
  }
}

void SettingsMachine::Remember(const std::string& operation_id,
                               std::uint64_t digest,
                               const std::string& result) {
  operations_[operation_id] = {digest, result};
  operation_order_.push_back(operation_id);
  if (operation_order_.size() > limits_.operations) {
    operations_.erase(operation_order_.front());
    operation_order_.pop_front();
  }
}

bool SettingsMachine::ReachesBackTo(std::uint64_t version) const {
  return version <= version_ && version + history_.size() >= version_;
}

std::optional<std::vector<wire::EntryChange>> SettingsMachine::Diff(
    std::uint64_t from,
    std::uint64_t to) const {
  const std::uint64_t low = std::min(from, to);
  const std::uint64_t high = std::max(from, to);
  if (high > version_ || !ReachesBackTo(low))
    return std::nullopt;
  std::map<std::string, wire::EntryChange> merged;
  for (const wire::ChangeRecord& record : history_) {
    if (record.version() <= low || record.version() > high)
      continue;
    for (const wire::EntryChange& change : record.changes())
      Merge(merged, change);
  }
  std::vector<wire::EntryChange> changes;
  for (auto& [id, change] : merged) {
    if (from > to)
      Swap(change);
    if (HasEffect(change))
      changes.push_back(change);
  }
  return changes;
}

const std::string& SettingsMachine::EncodeUpdate(
    std::uint64_t known_version) const {
  static const std::string nothing;
  // A node that holds a later version than this process keeps what it has.
  if (known_version >= version_)
    return nothing;
  // The whole settings stand under 0 and are the answer to every version for
  // which a delta is longer or not possible.
  const auto found = updates_.find(known_version);
  if (found != updates_.end())
    return found->second;
  const auto whole = updates_.try_emplace(0).first;
  if (whole->second.empty())
    whole->second = EncodeSnapshotUpdate();
  const auto diff =
      known_version == 0 ? std::nullopt : Diff(known_version, version_);
  if (!diff)
    return whole->second;
  wire::SettingsUpdate update;
  update.set_from_version(known_version);
  update.set_version(version_);
  for (const wire::EntryChange& change : *diff)
    *update.add_edits() = EditOf(change);
  std::string encoded = update.SerializeAsString();
  if (encoded.size() >= whole->second.size())
    return whole->second;
  if (updates_.size() >= kMaxCachedUpdates)
    updates_.erase(std::next(updates_.begin()));
  return updates_[known_version] = std::move(encoded);
}

std::string SettingsMachine::EncodeSnapshotUpdate() const {
  wire::SettingsUpdate update;
  update.set_version(version_);
  for (const auto& [id, entry] : tree_.entries())
    *update.add_edits()->mutable_entry() = entry;
  return update.SerializeAsString();
}

std::string SettingsMachine::TakeSnapshot() const {
  wire::SettingsSnapshot snapshot;
  snapshot.set_version(version_);
  for (const auto& [id, entry] : tree_.entries())
    *snapshot.add_entries() = entry;
  for (const wire::ChangeRecord& record : history_)
    *snapshot.add_history() = record;
  for (const std::string& operation_id : operation_order_) {
    const Remembered& remembered = operations_.at(operation_id);
    wire::RememberedOperation* operation = snapshot.add_operations();
    operation->set_operation_id(operation_id);
    operation->set_digest(remembered.digest);
    operation->set_result(remembered.result);
  }
  return snapshot.SerializeAsString();
}

void SettingsMachine::RestoreSnapshot(const std::string& snapshot) {
  wire::SettingsSnapshot parsed;
  if (!parsed.ParseFromString(snapshot))
    throw support::Error("restore snapshot", "",
                         "the settings in the snapshot cannot be decoded");
  SettingsMachine restored(limits_);
  restored.version_ = parsed.version();
  for (const wire::SettingsEntry& entry : parsed.entries()) {
    wire::SettingsEdit edit;
    *edit.mutable_entry() = entry;
    restored.tree_.Apply(edit);
  }
  for (const wire::ChangeRecord& record : parsed.history()) {
    restored.history_bytes_ += record.ByteSizeLong();
    restored.history_.push_back(record);
  }
  for (const wire::RememberedOperation& operation : parsed.operations())
    restored.Remember(operation.operation_id(), operation.digest(),
                      operation.result());
  *this = std::move(restored);
}

}  // namespace yuccastair::state
