// Applies operations that claim, finish and release.

#include "yuccastair/claims/claim_table.h"

#include <algorithm>
#include <utility>

#include "yuccastair/support/error.h"

namespace yuccastair::claims {
namespace {

// Maximum size of an attempt id and of a body hash.
constexpr std::size_t kMaxIdBytes = 64;

wire::ClaimResult ResultOf(wire::ClaimStatus status) {
  wire::ClaimResult result;
  result.set_status(status);
  return result;
}

}  // namespace

std::string ClaimTable::Apply(std::uint64_t /*index*/,
                              const std::string& command) {
  wire::ClaimCommand parsed;
  wire::ClaimResults results;
  if (!parsed.ParseFromString(command))
    return results.SerializeAsString();
  time_ms_ = std::max(time_ms_, parsed.time_ms());
  RemoveExpired();
  for (const wire::ClaimOperation& operation : parsed.operations())
    *results.add_results() = ApplyOne(operation);
  return results.SerializeAsString();
}

wire::ClaimResult ClaimTable::ApplyOne(const wire::ClaimOperation& operation) {
  if (operation.key().empty() || operation.key().size() > limits_.key_bytes ||
      operation.attempt_id().empty() ||
      operation.attempt_id().size() > kMaxIdBytes ||
      operation.body_hash().size() > kMaxIdBytes)
    return ResultOf(wire::CLAIM_STATUS_REFUSED);
  switch (operation.action()) {
    case wire::CLAIM_ACTION_CLAIM:
      return ApplyClaim(operation);
    case wire::CLAIM_ACTION_FINISH:
      return ResultOf(Finish(operation));
    case wire::CLAIM_ACTION_RELEASE:
      return ResultOf(ReleaseAttempt(operation));
    default:
      return ResultOf(wire::CLAIM_STATUS_REFUSED);
  }
}

wire::ClaimResult ClaimTable::Peek(
    const wire::ClaimOperation& operation) const {
  if (IsReleased(operation.attempt_id()))
    return ResultOf(wire::CLAIM_STATUS_VOID);
  const auto found = by_key_.find(operation.key());
  return found == by_key_.end() ? ResultOf(wire::CLAIM_STATUS_GRANTED)
                                : Describe(*found->second, operation);
}

wire::ClaimResult ClaimTable::ApplyClaim(
    const wire::ClaimOperation& operation) {
  wire::ClaimResult result = Peek(operation);
  if (result.status() != wire::CLAIM_STATUS_GRANTED ||
      by_key_.count(operation.key()) != 0)
    return result;
  if (claims_.size() >= limits_.claims ||
      bytes_ + operation.key().size() + limits_.answer_bytes > limits_.bytes)
    return ResultOf(wire::CLAIM_STATUS_FULL);
  Add({.key = operation.key(),
       .attempt_id = operation.attempt_id(),
       .body_hash = operation.body_hash(),
       .ended = false,
       .answer = "",
       .changed_ms = time_ms_});
  return result;
}

wire::ClaimResult ClaimTable::Describe(
    const Claim& claim,
    const wire::ClaimOperation& operation) const {
  if (claim.body_hash != operation.body_hash())
    return ResultOf(wire::CLAIM_STATUS_OTHER_BODY);
  if (!claim.ended)
    return ResultOf(claim.attempt_id == operation.attempt_id()
                        ? wire::CLAIM_STATUS_GRANTED
                        : wire::CLAIM_STATUS_IN_PROGRESS);
  wire::ClaimResult result =
      ResultOf(claim.answer.empty() ? wire::CLAIM_STATUS_UNKNOWN
                                    : wire::CLAIM_STATUS_FINISHED);
  result.set_answer(claim.answer);
  return result;
}

wire::ClaimStatus ClaimTable::Finish(const wire::ClaimOperation& operation) {
  const auto found = by_key_.find(operation.key());
  if (found == by_key_.end() ||
      found->second->attempt_id != operation.attempt_id())
    return wire::CLAIM_STATUS_REFUSED;
  Claim& claim = *found->second;
  // A retried finish does not replace the first response.
  if (claim.ended)
    return wire::CLAIM_STATUS_RECORDED;
  claim.ended = true;
  // A response that does not fit is not kept. A retry of the request is then
  // told that it may have run.
  const std::size_t size = operation.answer().size();
  if (size <= limits_.answer_bytes && bytes_ + size <= limits_.bytes) {
    claim.answer = operation.answer();
    bytes_ += size;
  }
  claim.changed_ms = time_ms_;
  claims_.splice(claims_.end(), claims_, found->second);
  return wire::CLAIM_STATUS_RECORDED;
}

wire::ClaimStatus ClaimTable::ReleaseAttempt(
    const wire::ClaimOperation& operation) {
  if (IsReleased(operation.attempt_id()))
    return wire::CLAIM_STATUS_RECORDED;
  const auto found = by_key_.find(operation.key());
  const bool held = found != by_key_.end() &&
                    found->second->attempt_id == operation.attempt_id();
  if (held && found->second->ended)
    return wire::CLAIM_STATUS_REFUSED;
  // Without a release record, a late claim of this attempt would take effect.
  if (releases_.size() >= limits_.releases)
    return wire::CLAIM_STATUS_FULL;
  if (held)
    Remove(found->second);
  AddRelease({operation.attempt_id(), time_ms_});
  return wire::CLAIM_STATUS_RECORDED;
}

bool ClaimTable::IsReleased(const std::string& attempt_id) const {
  return by_attempt_.count(attempt_id) != 0;
}

void ClaimTable::RemoveExpired() {
  const auto is_over = [this](std::uint64_t since,
                              std::chrono::milliseconds kept) {
    return time_ms_ - since >= static_cast<std::uint64_t>(kept.count());
  };
  while (!claims_.empty() &&
         is_over(claims_.front().changed_ms, limits_.retention))
    Remove(claims_.begin());
  while (!releases_.empty() &&
         is_over(releases_.front().released_ms, limits_.release_retention)) {
    by_attempt_.erase(releases_.front().attempt_id);
    releases_.pop_front();
  }
}

void ClaimTable::Add(Claim claim) {
  claims_.push_back(std::move(claim));
  bytes_ += claims_.back().bytes();
  by_key_.emplace(claims_.back().key, std::prev(claims_.end()));
}

void ClaimTable::Remove(ClaimList::iterator claim) {
  bytes_ -= claim->bytes();
  by_key_.erase(claim->key);
  claims_.erase(claim);
}

void ClaimTable::AddRelease(const Release& release) {
  releases_.push_back(release);
  by_attempt_.emplace(releases_.back().attempt_id, std::prev(releases_.end()));
}

std::string ClaimTable::TakeSnapshot() const {
  wire::ClaimSnapshot snapshot;
  snapshot.set_time_ms(time_ms_);
  for (const Claim& claim : claims_) {
    wire::StoredClaim* stored = snapshot.add_claims();
    stored->set_key(claim.key);
    stored->set_attempt_id(claim.attempt_id);
    stored->set_body_hash(claim.body_hash);
    stored->set_ended(claim.ended);
    stored->set_answer(claim.answer);
    stored->set_changed_ms(claim.changed_ms);
  }
  for (const Release& release : releases_) {
    wire::ReleasedAttempt* stored = snapshot.add_released();
    stored->set_attempt_id(release.attempt_id);
    stored->set_released_ms(release.released_ms);
  }
  return snapshot.SerializeAsString();
}

void ClaimTable::RestoreSnapshot(const std::string& snapshot) {
  wire::ClaimSnapshot parsed;
  if (!parsed.ParseFromString(snapshot))
    throw support::Error("restore snapshot", "",
                         "the snapshot of the claim table cannot be decoded");
  by_key_.clear();
  claims_.clear();
  by_attempt_.clear();
  releases_.clear();
  bytes_ = 0;
  time_ms_ = parsed.time_ms();
  for (const wire::StoredClaim& stored : parsed.claims())
    Add({.key = stored.key(),
         .attempt_id = stored.attempt_id(),
         .body_hash = stored.body_hash(),
         .ended = stored.ended(),
         .answer = stored.answer(),
         .changed_ms = stored.changed_ms()});
  for (const wire::ReleasedAttempt& stored : parsed.released())
    AddRelease({stored.attempt_id(), stored.released_ms()});
}

}  // namespace yuccastair::claims
