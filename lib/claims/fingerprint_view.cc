// Applies the updates of the list of fingerprints.

#include "yuccastair/claims/fingerprint_view.h"

namespace yuccastair::claims {

bool FingerprintView::Apply(const wire::FingerprintUpdate& update) {
  if (update.version() <= version_)
    return false;
  if (update.full()) {
    suspects_.clear();
    blocked_.clear();
  }
  for (const std::string& fingerprint : update.removed())
    MarkClear(fingerprint);
  for (const std::string& fingerprint : update.suspects()) {
    blocked_.erase(fingerprint);
    suspects_.insert(fingerprint);
  }
  for (const std::string& fingerprint : update.blocked()) {
    suspects_.erase(fingerprint);
    blocked_.insert(fingerprint);
  }
  version_ = update.version();
  return true;
}

FingerprintState FingerprintView::StateOf(
    const std::string& fingerprint) const {
  if (blocked_.contains(fingerprint))
    return FingerprintState::kBlocked;
  return suspects_.contains(fingerprint) ? FingerprintState::kSuspect
                                         : FingerprintState::kClear;
}

void FingerprintView::MarkSuspect(const std::string& fingerprint) {
  if (!blocked_.contains(fingerprint))
    suspects_.insert(fingerprint);
}

void FingerprintView::MarkClear(const std::string& fingerprint) {
  suspects_.erase(fingerprint);
  blocked_.erase(fingerprint);
}

}  // namespace yuccastair::claims
