// A fake replicated log whose leadership and commits the test controls.

#ifndef YUCCASTAIR_UNITTESTS_CONTROL_FAKE_LOG_H_
#define YUCCASTAIR_UNITTESTS_CONTROL_FAKE_LOG_H_

#include <deque>
#include <string>
#include <utility>

#include "yuccastair/consensus/state_machine.h"

namespace yuccastair::control {

/// Commits each command at once, or when the test asks for it.
class FakeLog final : public consensus::ReplicatedLog {
 public:
  explicit FakeLog(consensus::StateMachine& machine) : machine_(machine) {}

  void Propose(std::string command, ProposeCallback done) override {
    pending.emplace_back(std::move(command), std::move(done));
    if (commit_immediately)
      CommitAll();
  }
  /// Commits the pending commands and those proposed meanwhile.
  void CommitAll() {
    while (!pending.empty()) {
      auto [command, done] = std::move(pending.front());
      pending.pop_front();
      ++index_;
      done({consensus::ProposeStatus::kCommitted, index_,
            machine_.Apply(index_, command)});
    }
  }
  /// Completes the pending commands with an uncertain outcome. With \p applied
  /// they take effect nevertheless, as when another leader commits them.
  void FinishAllUncertain(bool applied) {
    std::deque<std::pair<std::string, ProposeCallback>> unfinished;
    unfinished.swap(pending);
    for (auto& [command, done] : unfinished) {
      if (applied)
        machine_.Apply(++index_, command);
      done({consensus::ProposeStatus::kUncertain, 0, ""});
    }
  }
  bool IsCurrentLeader() const override { return is_leader; }
  std::string LeaderAddress() const override { return "127.0.0.1:1"; }
  support::TimePoint CurrentAsOf() const override { return current_as_of; }

  bool is_leader = true;
  bool commit_immediately = true;
  support::TimePoint current_as_of;
  std::deque<std::pair<std::string, ProposeCallback>> pending;

 private:
  consensus::StateMachine& machine_;
  std::uint64_t index_ = 0;
};

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_UNITTESTS_CONTROL_FAKE_LOG_H_
