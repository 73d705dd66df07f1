// Claims requests at the leader and records their outcome.

#include "claim_client.h"

#include <algorithm>
#include <utility>

#include "call_reply.h"
#include "request_hash.h"
#include "yuccastair/support/id.h"
#include "yuccastair/support/log.h"

namespace yuccastair::node {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
constexpr std::size_t kMaxStoredReplyBytes = std::size_t{16} << 10;
constexpr milliseconds kReplyTimeout{300};
constexpr milliseconds kRetryDelay{15};
// Interval, doubled each time, of polling a claim that another attempt holds.
constexpr milliseconds kMinPollInterval{20};
constexpr milliseconds kMaxPollInterval{200};
// Part of the time to the deadline that is reserved for releasing a claim that
// was not obtained.
constexpr milliseconds kMaxReleaseReserve{500};

// Bounds of the operations that wait to be recorded, of those in one message,
// and of the time in which a message is retried.
constexpr std::size_t kMaxPendingRecords = 8192;
constexpr std::size_t kMaxBatchOperations = 64;
constexpr milliseconds kMaxRecordTime{60000};
constexpr milliseconds kIdlePopTimeout{200};

constexpr int kBadRequest = 400;
constexpr int kConflict = 409;

wire::ClaimOperation MakeClaimOperation(const wire::CallRequest& call,
                                        const std::string& idempotency_key) {
  wire::ClaimOperation claim;
  claim.set_action(wire::CLAIM_ACTION_CLAIM);
  std::string key;
  AppendLengthPrefixed(key, call.organisation());
  AppendLengthPrefixed(key, call.route());
  key += idempotency_key;
  claim.set_key(key);
  claim.set_attempt_id(support::RandomId());
  claim.set_body_hash(ContentHash(call));
  return claim;
}

wire::ClaimOperation MakeEndOperation(const wire::ClaimOperation& claim,
                                      wire::ClaimAction action) {
  wire::ClaimOperation end;
  end.set_action(action);
  end.set_key(claim.key());
  end.set_attempt_id(claim.attempt_id());
  return end;
}

/// Encodes a reply for storage, without the fields of this attempt alone.
/// Returns an empty string if the reply is too large to store.
std::string EncodeStoredReply(wire::CallReply reply) {
  reply.clear_attempt_id();
  reply.clear_load();
  reply.clear_unused_attempts();
  std::string encoded = reply.SerializeAsString();
  return encoded.size() <= kMaxStoredReplyBytes ? encoded : "";
}

wire::CallReply DecodeStoredReply(const std::string& encoded) {
  wire::CallReply reply;
  if (reply.ParseFromString(encoded) && reply.outcome() == wire::OUTCOME_OK)
    return reply;
  return UnknownReply("claim",
                      "the stored reply for this Idempotency-Key is corrupt");
}

}  // namespace

ClaimClient::ClaimClient(LeaderChannel& leader_channel)
    : leader_channel_(leader_channel), pending_records_(kMaxPendingRecords) {
  recorder_ = std::thread([this] { RunRecorder(); });
}

ClaimClient::~ClaimClient() {
  pending_records_.Close();
  recorder_.join();
}

ClaimClient::Claim ClaimClient::Begin(const wire::CallRequest& call,
                                      const std::string& idempotency_key,
                                      support::TimePoint deadline) {
  Claim claim;
  if (idempotency_key.size() > kMaxIdempotencyKeyBytes) {
    claim.reply = NotRunReply("claim", "the Idempotency-Key exceeds 255 bytes",
                              kBadRequest);
    return claim;
  }
  claim.operation = MakeClaimOperation(call, idempotency_key);
  const auto reserve = std::min<support::Duration>(
      kMaxReleaseReserve, (deadline - clock_.Now()) / 4);
  const auto until = deadline - reserve;
  milliseconds poll_interval = kMinPollInterval;
  while (true) {
    const auto result = PerformOne(claim.operation, until);
    if (!result) {
      claim.reply = AbandonClaim(claim.operation);
      return claim;
    }
    switch (result->status()) {
      case wire::CLAIM_STATUS_GRANTED:
        return claim;
      case wire::CLAIM_STATUS_FINISHED:
        claim.reply = DecodeStoredReply(result->answer());
        return claim;
      case wire::CLAIM_STATUS_OTHER_BODY:
        claim.reply = NotRunReply(
            "claim", "another request has used this Idempotency-Key",
            kConflict);
        return claim;
      case wire::CLAIM_STATUS_FULL:
        // A retry of the claim may still be in flight. It must not take effect
        // once the table has capacity again.
        claim.reply = AbandonClaim(claim.operation);
        return claim;
      case wire::CLAIM_STATUS_IN_PROGRESS:
        if (clock_.Now() + poll_interval < until)
          break;
        ReleaseInBackground(claim.operation);
        claim.reply = UnknownReply(
            "claim", "a request with this Idempotency-Key is in progress",
            kConflict);
        claim.reply->set_retry_after_ms(1000);
        return claim;
      case wire::CLAIM_STATUS_REFUSED:
        claim.reply = NotRunReply("claim", "the Idempotency-Key is not valid",
                                  kBadRequest);
        return claim;
      default:
        claim.reply = UnknownReply(
            "claim", "a request with this Idempotency-Key may have run");
        return claim;
    }
    std::this_thread::sleep_for(poll_interval);
    poll_interval = std::min(poll_interval * 2, kMaxPollInterval);
  }
}

wire::CallReply ClaimClient::AbandonClaim(const wire::ClaimOperation& claim) {
  const wire::ClaimOperation release =
      MakeEndOperation(claim, wire::CLAIM_ACTION_RELEASE);
  const auto result = PerformOne(release, clock_.Now() + kMaxReleaseReserve);
  if (result && result->status() == wire::CLAIM_STATUS_RECORDED)
    return NotRunReply("claim", "the claim was not obtained in time");
  ReleaseInBackground(claim);
  return UnknownReply(
      "claim", "the claim was neither obtained nor released in time", 504);
}

void ClaimClient::ReleaseInBackground(const wire::ClaimOperation& claim) {
  if (!pending_records_.TryPush(
          MakeEndOperation(claim, wire::CLAIM_ACTION_RELEASE)))
    support::LogWarning("claims.record_dropped",
                        {{"waiting", kMaxPendingRecords}});
}

void ClaimClient::Finish(const Claim& claim, const wire::CallReply& reply) {
  if (reply.outcome() == wire::OUTCOME_NOT_RUN) {
    const auto result = PerformOne(
        MakeEndOperation(claim.operation, wire::CLAIM_ACTION_RELEASE),
        clock_.Now() + kReleaseTimeout);
    if (!result || result->status() != wire::CLAIM_STATUS_RECORDED)
      ReleaseInBackground(claim.operation);
    return;
  }
  wire::ClaimOperation finish =
      MakeEndOperation(claim.operation, wire::CLAIM_ACTION_FINISH);
  if (reply.outcome() == wire::OUTCOME_OK)
    finish.set_answer(EncodeStoredReply(reply));
  if (!pending_records_.TryPush(std::move(finish)))
    support::LogWarning("claims.record_dropped",
                        {{"waiting", kMaxPendingRecords}});
}

std::optional<wire::ClaimReply> ClaimClient::Perform(
    const Operations& operations,
    support::TimePoint until) {
  wire::Envelope request;
  for (const wire::ClaimOperation& operation : operations)
    *request.mutable_claim_request()->add_operations() = operation;
  while (!pending_records_.closed()) {
    const auto remaining =
        std::chrono::duration_cast<milliseconds>(until - clock_.Now());
    if (remaining.count() <= 0)
      return std::nullopt;
    const auto envelope =
        leader_channel_.Exchange(request, std::min(remaining, kReplyTimeout));
    if (envelope && envelope->has_claim_reply()) {
      const wire::ClaimReply& reply = envelope->claim_reply();
      if (reply.results_size() == static_cast<int>(operations.size()))
        return reply;
      leader_channel_.Redirect(reply.leader_address());
    }
    std::this_thread::sleep_for(std::min(remaining, kRetryDelay));
  }
  return std::nullopt;
}

std::optional<wire::ClaimResult> ClaimClient::PerformOne(
    const wire::ClaimOperation& operation,
    support::TimePoint until) {
  const auto reply = Perform({operation}, until);
  if (!reply)
    return std::nullopt;
  return reply->results(0);
}

void ClaimClient::RunRecorder() {
  while (true) {
    auto first = pending_records_.Pop(kIdlePopTimeout);
    if (!first) {
      if (pending_records_.closed())
        return;
      continue;
    }
    Operations batch;
    batch.push_back(*std::move(first));
    while (batch.size() < kMaxBatchOperations) {
      auto next = pending_records_.TryPop();
      if (!next)
        break;
      batch.push_back(*std::move(next));
    }
    if (!Perform(batch, clock_.Now() + kMaxRecordTime))
      support::LogWarning("claims.not_recorded",
                          {{"operations", batch.size()}});
  }
}

}  // namespace yuccastair::node
