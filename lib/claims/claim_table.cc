// Applies operations that claim, finish and release.

#include "yuccastair/claims/claim_table.h"

#include <algorithm>
#include <utility>

#include "yuccastair/support/error.h"

namespace yuccastair::claims {
namespace {

// Maximum size of an attempt id and of a body hash.
constexpr std::size_t kMaxIdBytes = 64;

wire::ClaimResult MakeResult(wire::ClaimStatus status) {
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
    *results.add_results() = ApplyOperation(operation);
  return results.SerializeAsString();
}

wire::ClaimResult ClaimTable::ApplyOperation(
    const wire::ClaimOperation& operation) {
  if (operation.key().empty() ||
      operation.key().size() > limits_.max_key_bytes ||
      operation.attempt_id().empty() ||
      operation.attempt_id().size() > kMaxIdBytes ||
      operation.body_hash().size() > kMaxIdBytes)
    return MakeResult(wire::CLAIM_STATUS_REFUSED);
  switch (operation.action()) {
    case wire::CLAIM_ACTION_CLAIM:
      return ApplyClaim(operation);
    case wire::CLAIM_ACTION_FINISH:
      return MakeResult(FinishClaim(operation));
    case wire::CLAIM_ACTION_RELEASE:
      return MakeResult(ReleaseAttempt(operation));
    default:
      return MakeResult(wire::CLAIM_STATUS_REFUSED);
  }
}

wire::ClaimResult ClaimTable::Peek(
    const wire::ClaimOperation& operation) const {
  if (IsReleased(operation.attempt_id()))
    return MakeResult(wire::CLAIM_STATUS_VOID);
  const auto found = claims_by_key_.find(operation.key());
  return found == claims_by_key_.end()
             ? MakeResult(wire::CLAIM_STATUS_GRANTED)
             : ResultForExistingClaim(*found->second, operation);
}

wire::ClaimResult ClaimTable::ApplyClaim(
    const wire::ClaimOperation& operation) {
  wire::ClaimResult result = Peek(operation);
  if (result.status() != wire::CLAIM_STATUS_GRANTED ||
      claims_by_key_.count(operation.key()) != 0)
    return result;
  if (claims_.size() >= limits_.max_claims ||
      total_bytes_ + operation.key().size() + limits_.max_response_bytes >
          limits_.max_total_bytes)
    return MakeResult(wire::CLAIM_STATUS_FULL);
  AddClaim({.key = operation.key(),
            .attempt_id = operation.attempt_id(),
            .body_hash = operation.body_hash(),
            .ended = false,
            .response = "",
            .changed_ms = time_ms_});
  return result;
}

wire::ClaimResult ClaimTable::ResultForExistingClaim(
    const Claim& claim,
    const wire::ClaimOperation& operation) const {
  if (claim.body_hash != operation.body_hash())
    return MakeResult(wire::CLAIM_STATUS_OTHER_BODY);
  if (!claim.ended)
    return MakeResult(claim.attempt_id == operation.attempt_id()
                          ? wire::CLAIM_STATUS_GRANTED
                          : wire::CLAIM_STATUS_IN_PROGRESS);
  wire::ClaimResult result =
      MakeResult(claim.response.empty() ? wire::CLAIM_STATUS_UNKNOWN
                                        : wire::CLAIM_STATUS_FINISHED);
  result.set_answer(claim.response);
  return result;
}

wire::ClaimStatus ClaimTable::FinishClaim(
    const wire::ClaimOperation& operation) {
  const auto found = claims_by_key_.find(operation.key());
  if (found == claims_by_key_.end() ||
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
  if (size <= limits_.max_response_bytes &&
      total_bytes_ + size <= limits_.max_total_bytes) {
    claim.response = operation.answer();
    total_bytes_ += size;
  }
  claim.changed_ms = time_ms_;
  claims_.splice(claims_.end(), claims_, found->second);
  return wire::CLAIM_STATUS_RECORDED;
}

wire::ClaimStatus ClaimTable::ReleaseAttempt(
    const wire::ClaimOperation& operation) {
  if (IsReleased(operation.attempt_id()))
    return wire::CLAIM_STATUS_RECORDED;
  const auto found = claims_by_key_.find(operation.key());
  const bool held = found != claims_by_key_.end() &&
                    found->second->attempt_id == operation.attempt_id();
  if (held && found->second->ended)
    return wire::CLAIM_STATUS_REFUSED;
  // Without a release record, a late claim of this attempt would take effect.
  if (release_records_.size() >= limits_.max_releases)
    return wire::CLAIM_STATUS_FULL;
  if (held)
    RemoveClaim(found->second);
  AddReleaseRecord({operation.attempt_id(), time_ms_});
  return wire::CLAIM_STATUS_RECORDED;
}

bool ClaimTable::IsReleased(const std::string& attempt_id) const {
  return releases_by_attempt_id_.count(attempt_id) != 0;
}

void ClaimTable::RemoveExpired() {
  const auto is_expired = [this](std::uint64_t since,
                                 std::chrono::milliseconds retention) {
    return time_ms_ - since >= static_cast<std::uint64_t>(retention.count());
  };
  while (!claims_.empty() &&
         is_expired(claims_.front().changed_ms, limits_.retention))
    RemoveClaim(claims_.begin());
  while (!release_records_.empty() &&
         is_expired(release_records_.front().released_ms,
                    limits_.release_retention)) {
    releases_by_attempt_id_.erase(release_records_.front().attempt_id);
    release_records_.pop_front();
  }
}

void ClaimTable::AddClaim(Claim claim) {
  claims_.push_back(std::move(claim));
  total_bytes_ += claims_.back().bytes();
  claims_by_key_.emplace(claims_.back().key, std::prev(claims_.end()));
}

void ClaimTable::RemoveClaim(ClaimList::iterator claim) {
  total_bytes_ -= claim->bytes();
  claims_by_key_.erase(claim->key);
  claims_.erase(claim);
}

void ClaimTable::AddReleaseRecord(const ReleaseRecord& release) {
  release_records_.push_back(release);
  releases_by_attempt_id_.emplace(release_records_.back().attempt_id,
                                  std::prev(release_records_.end()));
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
    stored->set_answer(claim.response);
    stored->set_changed_ms(claim.changed_ms);
  }
  for (const ReleaseRecord& release : release_records_) {
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
  claims_by_key_.clear();
  claims_.clear();
  releases_by_attempt_id_.clear();
  release_records_.clear();
  total_bytes_ = 0;
  time_ms_ = parsed.time_ms();
  for (const wire::StoredClaim& stored : parsed.claims())
    AddClaim({.key = stored.key(),
              .attempt_id = stored.attempt_id(),
              .body_hash = stored.body_hash(),
              .ended = stored.ended(),
              .response = stored.answer(),
              .changed_ms = stored.changed_ms()});
  for (const wire::ReleasedAttempt& stored : parsed.released())
    AddReleaseRecord({stored.attempt_id(), stored.released_ms()});
}

}  // namespace yuccastair::claims
