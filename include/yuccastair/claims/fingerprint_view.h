// The list of fingerprints that a node or a relay holds.

#ifndef YUCCASTAIR_CLAIMS_FINGERPRINT_VIEW_H_
#define YUCCASTAIR_CLAIMS_FINGERPRINT_VIEW_H_

#include <cstdint>
#include <string>
#include <unordered_set>

#include "claims.pb.h"

namespace yuccastair::claims {

enum class FingerprintState {
  kClear,
  kSuspect,
  kBlocked,
};

/// Follows a FingerprintTable by its updates. Not thread-safe.
class FingerprintView {
 public:
  /// Returns false for the update of a control process that lags, which changes
  /// nothing: it must not lift a block.
  bool Apply(const wire::FingerprintUpdate& update);

  FingerprintState StateOf(const std::string& fingerprint) const;

  /// Takes effect until the next update that names the fingerprint.
  void MarkSuspect(const std::string& fingerprint);
  void MarkClear(const std::string& fingerprint);

  /// Version of the last update; 0 before the first one.
  std::uint64_t version() const { return version_; }

 private:
  std::uint64_t version_ = 0;
  // No fingerprint is in both sets.
  std::unordered_set<std::string> suspects_;
  std::unordered_set<std::string> blocked_;
};

}  // namespace yuccastair::claims

#endif  // YUCCASTAIR_CLAIMS_FINGERPRINT_VIEW_H_
