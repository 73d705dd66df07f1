// The replicated routing policy and the zones that are out of service.

#ifndef YUCCASTAIR_POLICY_POLICY_TABLE_H_
#define YUCCASTAIR_POLICY_POLICY_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "policy.pb.h"
#include "yuccastair/consensus/state_machine.h"

namespace yuccastair::policy {

/// The table TABLE_POLICY of the replicated log.
///
/// A command is a wire::PolicyRequest and its result a wire::PolicyReply. A put
/// succeeds only on top of the current version, so that of two operators that
/// start from the same version one wins. A put that was accepted before is
/// accepted again without effect, because its first answer may have been lost.
/// A change of a zone succeeds only if no opposite one has been accepted since
/// its operator can have sent it.
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
  /// Returns an organisation of the current policy; null if there is none.
  const wire::PolicyOrganisation* FindOrganisation(
      const std::string& name) const;
  /// The current policy as nodes get it, encoded without its source.
  const std::string& encoded() const { return encoded_; }

 private:
  wire::PolicyStatus Put(const wire::PolicyPut& put);
  wire::PolicyStatus SetZone(const wire::ZoneChange& change);
  /// Returns the last accepted change of \p zone, with number 0 for none.
  wire::AcceptedZoneChange& LastChangeOf(const std::string& zone);
  /// Derives what follows from state_.
  void Index();

  wire::PolicyState state_;
  // Both derived from state_. The values point into it.
  std::unordered_map<std::string, const wire::PolicyOrganisation*>
      organisations_;
  std::string encoded_;
};

}  // namespace yuccastair::policy

#endif  // YUCCASTAIR_POLICY_POLICY_TABLE_H_
