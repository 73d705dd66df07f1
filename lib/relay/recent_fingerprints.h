// Remembers which requests have recently run well.

#ifndef YUCCASTAIR_LIB_RELAY_RECENT_FINGERPRINTS_H_
#define YUCCASTAIR_LIB_RELAY_RECENT_FINGERPRINTS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>
#include <unordered_set>
#include <utility>

#include "yuccastair/support/clock.h"

namespace yuccastair::relay {

/// Holds the fingerprints of the last kGenerationTime to 2 * kGenerationTime,
/// or of a shorter time if there are very many.
class RecentFingerprints {
 public:
  static constexpr std::chrono::seconds kGenerationTime{10};
  static constexpr std::size_t kMaxPerGeneration = 4096;

  explicit RecentFingerprints(const support::Clock& clock)
      : clock_(clock), began_(clock.Now()) {}

  void Add(const std::string& fingerprint) {
    Rotate();
    newest_.insert(KeyOf(fingerprint));
  }

  bool Contains(const std::string& fingerprint) {
    Rotate();
    const std::uint64_t key = KeyOf(fingerprint);
    return newest_.contains(key) || previous_.contains(key);
  }

 private:
  /// Returns half of the hash, which is enough among so few.
  static std::uint64_t KeyOf(const std::string& fingerprint) {
    std::uint64_t key = 0;
    std::memcpy(&key, fingerprint.data(),
                std::min(fingerprint.size(), sizeof key));
    return key;
  }

  void Rotate() {
    const support::TimePoint now = clock_.Now();
    if (now - began_ < kGenerationTime && newest_.size() < kMaxPerGeneration)
      return;
    previous_.clear();
    if (now - began_ < 2 * kGenerationTime)
      previous_.swap(newest_);
    newest_.clear();
    began_ = now;
  }

  const support::Clock& clock_;
  support::TimePoint began_;
  std::unordered_set<std::uint64_t> newest_;
  std::unordered_set<std::uint64_t> previous_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_RECENT_FINGERPRINTS_H_
