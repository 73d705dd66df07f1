// Claims requests at the leader and records their outcome.

#include "claim_gate.h"

#include <algorithm>
#include <utility>

#include "call_reply.h"
#include "request_hash.h"
#include "yuccastair/support/id.h"
#include "yuccastair/support/log.h"

namespace yuccastair::node {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxKeyBytes = 255;
constexpr std::size_t kMaxAnswerBytes = std::size_t{16} << 10;
constexpr milliseconds kAnswerWait{300};
constexpr milliseconds kRetryPause{15};
// Interval, doubled each time, of polling a claim that another attempt holds.
constexpr milliseconds kFirstLook{20};
constexpr milliseconds kLongestLook{200};
// Part of the time to the deadline that is reserved for releasing a claim that
// was not obtained.
constexpr milliseconds kMaxReleaseReserve{500};

// Bounds of the operations that wait to be recorded, of those in one message,
// and of the time in which a message is retried.
constexpr std::size_t kMaxRecords = 8192;
constexpr std::size_t kRecordBatch = 64;
constexpr milliseconds kRecordTime{60000};
constexpr milliseconds kIdleWait{200};

constexpr int kBadRequest = 400;
constexpr int kConflict = 409;

wire::ClaimOperation NewClaim(const wire::CallRequest& call,
                              const std::string& idempotency_key) {
  wire::ClaimOperation claim;
  claim.set_action(wire::CLAIM_ACTION_CLAIM);
  std::string key;
  AppendPart(key, call.organisation());
  AppendPart(key, call.route());
  key += idempotency_key;
  claim.set_key(key);
  claim.set_attempt_id(support::RandomId());
  claim.set_body_hash(ContentHash(call));
  return claim;
}

wire::ClaimOperation EndOf(const wire::ClaimOperation& claim,
                           wire::ClaimAction action) {
  wire::ClaimOperation end;
  end.set_action(action);
  end.set_key(claim.key());
  end.set_attempt_id(claim.attempt_id());
  return end;
}

/// Encodes a reply for storage, without the fields of this attempt alone.
/// Returns an empty string if the reply is too large to store.
std::string EncodeAnswer(wire::CallReply reply) {
  reply.clear_attempt_id();
  reply.clear_load();
  reply.clear_unused_attempts();
  std::string encoded = reply.SerializeAsString();
  return encoded.size() <= kMaxAnswerBytes ? encoded : "";
}

wire::CallReply FirstAnswer(const std::string& encoded) {
  wire::CallReply reply;
  if (reply.ParseFromString(encoded) && reply.outcome() == wire::OUTCOME_OK)
    return reply;
  return Unknown("claim",
                 "the stored reply for this Idempotency-Key is corrupt");
}

}  // namespace

ClaimGate::ClaimGate(LeaderChannel& leader)
    : leader_(leader), records_(kMaxRecords) {
  recorder_ = std::thread([this] { Record(); });
}

ClaimGate::~ClaimGate() {
  records_.Close();
  recorder_.join();
}

ClaimGate::Claim ClaimGate::Begin(const wire::CallRequest& call,
                                  const std::string& idempotency_key,
                                  support::TimePoint deadline) {
  Claim claim;
  if (idempotency_key.size() > kMaxKeyBytes) {
    claim.reply =
        NotRun("claim", "the Idempotency-Key exceeds 255 bytes", kBadRequest);
    return claim;
  }
  claim.operation = NewClaim(call, idempotency_key);
  const auto reserve = std::min<support::Duration>(
      kMaxReleaseReserve, (deadline - clock_.Now()) / 4);
  const auto until = deadline - reserve;
  milliseconds look = kFirstLook;
  while (true) {
    const auto result = PerformOne(claim.operation, until);
    if (!result) {
      claim.reply = GiveUp(claim.operation);
      return claim;
    }
    switch (result->status()) {
      case wire::CLAIM_STATUS_GRANTED:
        return claim;
      case wire::CLAIM_STATUS_FINISHED:
        claim.reply = FirstAnswer(result->answer());
        return claim;
      case wire::CLAIM_STATUS_OTHER_BODY:
        claim.reply =
            NotRun("claim", "another request has used this Idempotency-Key",
                   kConflict);
        return claim;
      case wire::CLAIM_STATUS_FULL:
        // A retry of the claim may still be in flight. It must not take effect
        // once the table has capacity again.
        claim.reply = GiveUp(claim.operation);
        return claim;
      case wire::CLAIM_STATUS_IN_PROGRESS:
        if (clock_.Now() + look < until)
          break;
        ReleaseLater(claim.operation);
        claim.reply = Unknown(
            "claim", "a request with this Idempotency-Key is in progress",
            kConflict);
        claim.reply->set_retry_after_ms(1000);
        return claim;
      case wire::CLAIM_STATUS_REFUSED:
        claim.reply =
            NotRun("claim", "the Idempotency-Key is not valid", kBadRequest);
        return claim;
      default:
        claim.reply = Unknown(
            "claim", "a request with this Idempotency-Key may have run");
        return claim;
    }
    std::this_thread::sleep_for(look);
    look = std::min(look * 2, kLongestLook);
  }
}

wire::CallReply ClaimGate::GiveUp(const wire::ClaimOperation& claim) {
  const wire::ClaimOperation release = EndOf(claim, wire::CLAIM_ACTION_RELEASE);
  const auto result = PerformOne(release, clock_.Now() + kMaxReleaseReserve);
  if (result && result->status() == wire::CLAIM_STATUS_RECORDED)
    return NotRun("claim", "the claim was not obtained in time");
  ReleaseLater(claim);
  return Unknown("claim", "the claim was neither obtained nor released in time",
                 504);
}

void ClaimGate::ReleaseLater(const wire::ClaimOperation& claim) {
  if (!records_.TryPush(EndOf(claim, wire::CLAIM_ACTION_RELEASE)))
    support::LogWarning("claims.record_dropped", {{"waiting", kMaxRecords}});
}

void ClaimGate::Finish(const Claim& claim, const wire::CallReply& reply) {
  if (reply.outcome() == wire::OUTCOME_NOT_RUN) {
    const auto result =
        PerformOne(EndOf(claim.operation, wire::CLAIM_ACTION_RELEASE),
                   clock_.Now() + kReleaseWait);
    if (!result || result->status() != wire::CLAIM_STATUS_RECORDED)
      ReleaseLater(claim.operation);
    return;
  }
  wire::ClaimOperation finish =
      EndOf(claim.operation, wire::CLAIM_ACTION_FINISH);
  if (reply.outcome() == wire::OUTCOME_OK)
    finish.set_answer(EncodeAnswer(reply));
  if (!records_.TryPush(std::move(finish)))
    support::LogWarning("claims.record_dropped", {{"waiting", kMaxRecords}});
}

std::optional<wire::ClaimReply> ClaimGate::Perform(const Operations& operations,
                                                   support::TimePoint until) {
  wire::Envelope request;
  for (const wire::ClaimOperation& operation : operations)
    *request.mutable_claim_request()->add_operations() = operation;
  while (!records_.closed()) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - clock_.Now());
    if (left.count() <= 0)
      return std::nullopt;
    const auto answer = leader_.Exchange(request, std::min(left, kAnswerWait));
    if (answer && answer->has_claim_reply()) {
      const wire::ClaimReply& reply = answer->claim_reply();
      if (reply.results_size() == static_cast<int>(operations.size()))
        return reply;
      leader_.Redirect(reply.leader_address());
    }
    std::this_thread::sleep_for(std::min(left, kRetryPause));
  }
  return std::nullopt;
}

std::optional<wire::ClaimResult> ClaimGate::PerformOne(
    const wire::ClaimOperation& operation,
    support::TimePoint until) {
  const auto reply = Perform({operation}, until);
  if (!reply)
    return std::nullopt;
  return reply->results(0);
}

void ClaimGate::Record() {
  while (true) {
    auto first = records_.Pop(kIdleWait);
    if (!first) {
      if (records_.closed())
        return;
      continue;
    }
    Operations batch;
    batch.push_back(*std::move(first));
    while (batch.size() < kRecordBatch) {
      auto next = records_.TryPop();
      if (!next)
        break;
      batch.push_back(*std::move(next));
    }
    if (!Perform(batch, clock_.Now() + kRecordTime))
      support::LogWarning("claims.not_recorded",
                          {{"operations", batch.size()}});
  }
}

}  // namespace yuccastair::node
