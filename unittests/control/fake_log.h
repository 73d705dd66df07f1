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

  void Propose(std::string command, Done done) override {
    waiting.emplace_back(std::move(command), std::move(done));
    if (commit_at_once)
      CommitAll();
  }
  /// Commits the pending commands and those proposed meanwhile.
  void CommitAll() {
    while (!waiting.empty()) {
      auto [command, done] = std::move(waiting.front());
      waiting.pop_front();
      ++index_;
      done({consensus::ProposeStatus::kCommitted, index_,
            machine_.Apply(index_, command)});
    }
  }
  /// Completes the pending commands with an uncertain outcome. With \p applied
  /// they take effect nevertheless, as when another leader commits them.
  void LoseAll(bool applied) {
    std::deque<std::pair<std::string, Done>> lost;
    lost.swap(waiting);
    for (auto& [command, done] : lost) {
      if (applied)
        machine_.Apply(++index_, command);
      done({consensus::ProposeStatus::kUncertain, 0, ""});
    }
  }
  bool IsCurrentLeader() const override { return leader; }
  std::string LeaderAddress() const override { return "127.0.0.1:1"; }
  support::TimePoint CurrentAsOf() const override { return {}; }

  bool leader = true;
  bool commit_at_once = true;
  std::deque<std::pair<std::string, Done>> waiting;

 private:
  consensus::StateMachine& machine_;
  std::uint64_t index_ = 0;
};

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_UNITTESTS_CONTROL_FAKE_LOG_H_
