// The replicated table of claims of non-idempotent requests.

#ifndef YUCCASTAIR_CLAIMS_CLAIM_TABLE_H_
#define YUCCASTAIR_CLAIMS_CLAIM_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

#include "claims.pb.h"
#include "yuccastair/consensus/state_machine.h"

namespace yuccastair::claims {

/// The table TABLE_CLAIMS of the replicated log.
///
/// A command is a wire::ClaimCommand and its result a wire::ClaimResults.
/// Claims are kept for Limits::retention after their last change and never
/// dropped earlier; while the table is full, new claims are rejected. The only
/// time source is the time stamp of the commands.
class ClaimTable final : public consensus::StateMachine {
 public:
  /// Must be equal on all control processes, since they determine the result of
  /// a command.
  struct Limits {
    std::chrono::milliseconds retention = std::chrono::hours(1);
    /// Time for which a late claim of a released attempt is recognised and
    /// void.
    std::chrono::milliseconds release_retention = std::chrono::minutes(10);
    std::size_t max_claims = 1000000;
    std::size_t max_releases = 200000;
    /// Bound of the total size of the keys and responses of all claims.
    std::size_t max_total_bytes = std::size_t{512} << 20;
    std::size_t max_response_bytes = std::size_t{16} << 10;
    std::size_t max_key_bytes = 1024;
  };

  ClaimTable() = default;
  explicit ClaimTable(const Limits& limits) : limits_(limits) {}
  // The indexes hold iterators, which a copy would share.
  ClaimTable(const ClaimTable&) = delete;
  ClaimTable& operator=(const ClaimTable&) = delete;
  ClaimTable(ClaimTable&&) = default;
  ClaimTable& operator=(ClaimTable&&) = default;

  std::string Apply(std::uint64_t index, const std::string& command) override;
  std::string TakeSnapshot() const override;

  /// Throws Error with step "restore snapshot" if the snapshot is damaged.
  void RestoreSnapshot(const std::string& snapshot) override;

  /// Returns the result of a claim without applying it. A claim with any other
  /// result than GRANTED changes nothing, so it need not go through the log.
  wire::ClaimResult Peek(const wire::ClaimOperation& operation) const;

  /// Returns the highest time stamp of all commands so far, in milliseconds.
  std::uint64_t time_ms() const { return time_ms_; }
  std::size_t claim_count() const { return claims_.size(); }
  std::size_t release_count() const { return release_records_.size(); }
  const Limits& limits() const { return limits_; }

 private:
  struct Claim {
    std::string key;
    std::string attempt_id;
    std::string body_hash;
    // Whether the attempt has finished; the response may still be empty.
    bool ended = false;
    std::string response;
    std::uint64_t changed_ms = 0;

    std::size_t bytes() const { return key.size() + response.size(); }
  };
  struct ReleaseRecord {
    std::string attempt_id;
    std::uint64_t released_ms = 0;
  };
  using ClaimList = std::list<Claim>;

  wire::ClaimResult ApplyOperation(const wire::ClaimOperation& operation);
  wire::ClaimResult ApplyClaim(const wire::ClaimOperation& operation);
  wire::ClaimStatus FinishClaim(const wire::ClaimOperation& operation);
  wire::ClaimStatus ReleaseAttempt(const wire::ClaimOperation& operation);
  wire::ClaimResult ResultForExistingClaim(
      const Claim& claim,
      const wire::ClaimOperation& operation) const;
  bool IsReleased(const std::string& attempt_id) const;
  void RemoveExpired();
  void AddClaim(Claim claim);
  void RemoveClaim(ClaimList::iterator claim);
  void AddReleaseRecord(const ReleaseRecord& release);

  Limits limits_;
  std::uint64_t time_ms_ = 0;
  // Ordered by changed_ms.
  ClaimList claims_;
  // The views point into claims_.
  std::unordered_map<std::string_view, ClaimList::iterator> claims_by_key_;
  // Sum of Claim::bytes().
  std::size_t total_bytes_ = 0;
  // Ordered by released_ms.
  std::list<ReleaseRecord> release_records_;
  std::unordered_map<std::string_view, std::list<ReleaseRecord>::iterator>
      releases_by_attempt_id_;
};

}  // namespace yuccastair::claims

#endif  // YUCCASTAIR_CLAIMS_CLAIM_TABLE_H_
