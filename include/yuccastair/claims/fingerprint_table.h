// The replicated table of requests that crash their targets.

#ifndef YUCCASTAIR_CLAIMS_FINGERPRINT_TABLE_H_
#define YUCCASTAIR_CLAIMS_FINGERPRINT_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "claims.pb.h"
#include "yuccastair/consensus/state_machine.h"

namespace yuccastair::claims {

/// The table TABLE_FINGERPRINTS of the replicated log.
///
/// A command is a wire::CrashCommand and its result a wire::CrashResults. After
/// the crash of one target, a fingerprint is suspect. After the crash of as
/// many targets as its first report states, it is blocked until
/// Limits::retention after the last change. A run that ends with an answer
/// clears it.
///
/// Nodes block a request after two targets, and until then only the one attempt
/// that holds its permit may send it again. Relays use no permits.
///
/// Attempts that were in flight before the first report was committed are not
/// covered: each of them may crash one more target.
class FingerprintTable final : public consensus::StateMachine {
 public:
  static constexpr std::chrono::minutes kDefaultRetention{10};
  /// Must be equal on all control processes, since they determine the result of
  /// a command.
  struct Limits {
    std::chrono::milliseconds retention = kDefaultRetention;
    std::size_t max_fingerprints = 10000;
    /// Number of recent changes that nodes can receive without the whole list.
    std::size_t max_changes = 1000;
  };

  static constexpr std::uint32_t kDefaultCrashesToBlock = 2;

  struct Fingerprint {
    std::string hash;
    // Distinct targets that crashed; from one to crashes_to_block.
    std::vector<std::string> targets;
    // Id of the attempt that holds the permit; empty if none does.
    std::string permit_holder;
    std::uint64_t changed_ms = 0;
    std::uint32_t crashes_to_block = kDefaultCrashesToBlock;

    bool blocked() const { return targets.size() >= crashes_to_block; }
  };
  using FingerprintList = std::list<Fingerprint>;

  FingerprintTable() = default;
  explicit FingerprintTable(const Limits& limits) : limits_(limits) {}
  // The indexes hold iterators, which a copy would share.
  FingerprintTable(const FingerprintTable&) = delete;
  FingerprintTable& operator=(const FingerprintTable&) = delete;
  FingerprintTable(FingerprintTable&&) = default;
  FingerprintTable& operator=(FingerprintTable&&) = default;

  std::string Apply(std::uint64_t index, const std::string& command) override;
  std::string TakeSnapshot() const override;

  /// Throws Error with step "restore snapshot" if the snapshot is damaged.
  void RestoreSnapshot(const std::string& snapshot) override;

  /// Adds the changes since \p known_version to \p update; none if that version
  /// is current or newer.
  void FillUpdate(std::uint64_t known_version,
                  wire::FingerprintUpdate& update) const;

  /// Returns whether a command with the time \p time_ms would remove a
  /// fingerprint.
  bool HasExpired(std::uint64_t time_ms) const;

  /// Increases with every change of the list; 0 until the first change.
  std::uint64_t version() const { return version_; }
  std::uint64_t time_ms() const { return time_ms_; }
  /// In the order of their last changes.
  const FingerprintList& List() const { return fingerprints_; }
  std::size_t size() const { return fingerprints_.size(); }

 private:
  wire::CrashStatus ApplyOperation(const wire::CrashOperation& operation);
  wire::CrashStatus ReportCrash(const wire::CrashOperation& operation);
  wire::CrashStatus GrantPermit(const wire::CrashOperation& operation);
  wire::CrashStatus ReturnPermit(const wire::CrashOperation& operation);
  wire::CrashStatus Clear(const std::string& hash);
  void RefreshExpiry(FingerprintList::iterator fingerprint);
  void RecordChange(const std::string& hash);
  void RemoveExpired();

  Limits limits_;
  std::uint64_t time_ms_ = 0;
  std::uint64_t version_ = 0;
  // Ordered by changed_ms.
  FingerprintList fingerprints_;
  std::unordered_map<std::string, FingerprintList::iterator>
      fingerprints_by_hash_;
  // Hashes of the latest changes in order; the last one produced version_.
  std::deque<std::string> recent_changes_;
};

}  // namespace yuccastair::claims

#endif  // YUCCASTAIR_CLAIMS_FINGERPRINT_TABLE_H_
