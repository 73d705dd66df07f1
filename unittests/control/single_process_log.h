// A replicated log of one process that stores nothing on a disk.

#ifndef YUCCASTAIR_UNITTESTS_CONTROL_SINGLE_PROCESS_LOG_H_
#define YUCCASTAIR_UNITTESTS_CONTROL_SINGLE_PROCESS_LOG_H_

#include <cstdint>
#include <string>
#include <utility>

#include "yuccastair/consensus/state_machine.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::control {

/// Applies each command at once. The state does not survive the process, so it
/// is for tests only.
class SingleProcessLog final : public consensus::ReplicatedLog {
 public:
  SingleProcessLog(consensus::StateMachine& machine,
                   const support::Clock& clock,
                   std::string address)
      : machine_(machine), clock_(clock), address_(std::move(address)) {}

  void Propose(std::string command, ProposeCallback done) override {
    ++index_;
    done({consensus::ProposeStatus::kCommitted, index_,
          machine_.Apply(index_, command)});
  }
  bool IsCurrentLeader() const override { return true; }
  std::string LeaderAddress() const override { return address_; }
  support::TimePoint CurrentAsOf() const override { return clock_.Now(); }

 private:
  consensus::StateMachine& machine_;
  const support::Clock& clock_;
  const std::string address_;
  std::uint64_t index_ = 0;
};

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_UNITTESTS_CONTROL_SINGLE_PROCESS_LOG_H_
