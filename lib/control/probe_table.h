// The table of log probes: the count and a digest of their payloads.

#ifndef YUCCASTAIR_LIB_CONTROL_PROBE_TABLE_H_
#define YUCCASTAIR_LIB_CONTROL_PROBE_TABLE_H_

#include <cstdint>
#include <string>

#include "yuccastair/consensus/state_machine.h"

namespace yuccastair::control {

/// Equal digests at two control processes show that both applied the same
/// commands in the same order.
class ProbeTable final : public consensus::StateMachine {
 public:
  std::string Apply(std::uint64_t index, const std::string& command) override;
  std::string TakeSnapshot() const override;
  void RestoreSnapshot(const std::string& snapshot) override;

  std::uint64_t count() const { return count_; }
  std::uint64_t digest() const { return digest_; }

 private:
  std::uint64_t count_ = 0;
  // Each payload is hashed with the previous digest as the seed.
  std::uint64_t digest_ = 0;
};

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_LIB_CONTROL_PROBE_TABLE_H_
