// The replicated routing policy and the zones that are out of service.

#ifndef YUCCASTAIR_POLICY_POLICY_TABLE_H_
#define YUCCASTAIR_POLICY_POLICY_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "policy.pb.h"
#include "yuccastair/consensus/state_machine.h"

namespace yuccastair::policy {

/// The table TABLE_POLICY of the replicated log.
///
/// A command is a wire::PolicyRequest and its result a wire::PolicyReply. A put
/// succeeds only on top of the current version, so that of two operators that
/// start from the same version one wins. A put that was accepted before is
/// accepted again without effect, because its first answer may have been lost.
class PolicyTable final : public consensus::StateMachine {
 public:
  /// Accepted changes that are remembered. A resend that comes after as many
  /// further changes is answered as a conflict.
  static constexpr int kMaxAccepted = 4096;

  std::string Apply(std::uint64_t index, const std::string& command) override;
  std::string TakeSnapshot() const override;

  /// Throws Error with step "restore snapshot" if the snapshot is damaged.
  void RestoreSnapshot(const std::string& snapshot) override;

  const wire::PolicyState& state() const { return state_; }

 private:
  wire::PolicyStatus Put(const wire::PolicyPut& put);
  void SetZone(const wire::ZoneChange& change);

  wire::PolicyState state_;
};

}  // namespace yuccastair::policy

#endif  // YUCCASTAIR_POLICY_POLICY_TABLE_H_
