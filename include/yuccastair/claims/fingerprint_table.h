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
/// a crash of one target a fingerprint is suspect: it is sent again only by the
/// one attempt that holds its permit. After a second target it is blocked until
/// Limits::retention after the last change.
///
/// Sendings that were under way before the first report was committed are not
/// covered: each of them may crash one more target.
class FingerprintTable final : public consensus::StateMachine {
 public:
  /// Equal on all control processes, since they decide what a command does.
  struct Limits {
    std::chrono::milliseconds retention = std::chrono::minutes(10);
    std::size_t fingerprints = 10000;
    /// Changes that nodes can be told without the whole list.
    std::size_t changes = 1000;
  };

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

  /// Fills what changed since \p known_version; nothing where that is
  /// current or newer.
  void FillUpdate(std::uint64_t known_version,
                  wire::FingerprintUpdate& update) const;

  /// Returns whether a command with a later time would drop something.
  bool HasExpired(std::uint64_t time_ms) const;

  /// Grows with every change of the list; 0 while it was never changed.
  std::uint64_t version() const { return version_; }
  std::uint64_t time_ms() const { return time_ms_; }
  std::size_t size() const { return fingerprints_.size(); }

 private:
  struct Fingerprint {
    std::string hash;
    // One or two.
    std::vector<std::string> targets;
    // Empty while no attempt may send.
    std::string permit_holder;
    std::uint64_t changed_ms = 0;

    bool blocked() const { return targets.size() > 1; }
  };
  using List = std::list<Fingerprint>;

  wire::CrashStatus ApplyOne(const wire::CrashOperation& operation);
  wire::CrashStatus Report(const wire::CrashOperation& operation);
  wire::CrashStatus Permit(const wire::CrashOperation& operation);
  wire::CrashStatus Return(const wire::CrashOperation& operation);
  void Touch(List::iterator fingerprint);
  void Changed(const std::string& hash);
  void RemoveExpired();

  Limits limits_;
  std::uint64_t time_ms_ = 0;
  std::uint64_t version_ = 0;
  // Ordered by changed_ms.
  List fingerprints_;
  std::unordered_map<std::string, List::iterator> by_hash_;
  // Hashes of the latest changes; the last one made version_.
  std::deque<std::string> changes_;
};

}  // namespace yuccastair::claims

#endif  // YUCCASTAIR_CLAIMS_FINGERPRINT_TABLE_H_
