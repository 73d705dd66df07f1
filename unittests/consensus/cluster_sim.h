// Simulates a cluster of log cores under a deterministic scheduler, and checks
// the safety properties at every step.

#ifndef YUCCASTAIR_UNITTESTS_CONSENSUS_CLUSTER_SIM_H_
#define YUCCASTAIR_UNITTESTS_CONSENSUS_CLUSTER_SIM_H_

#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "in_memory_file_system.h"
#include "yuccastair/consensus/core.h"
#include "yuccastair/consensus/disk_storage.h"

namespace yuccastair::consensus {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// A safety property that did not hold.
class SafetyViolation : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline void RequireProperty(bool holds, const std::string& message) {
  if (!holds)
    throw SafetyViolation(message);
}

/// Thrown by the file operation at which a process crashes.
struct InjectedCrash {};

/// The clock of one process, with its own offset and rate.
class SkewedClock final : public support::Clock {
 public:
  SkewedClock(const milliseconds& now, milliseconds offset, double rate)
      : now_(now), offset_(offset), rate_(rate) {}
  support::TimePoint Now() const override { return At(now_); }
  support::TimePoint At(milliseconds time) const {
    const double ns = static_cast<double>(nanoseconds(time).count()) * rate_;
    return support::TimePoint(offset_ +
                              nanoseconds(static_cast<std::int64_t>(ns)));
  }

 private:
  const milliseconds& now_;
  const nanoseconds offset_;
  const double rate_;
};

/// The commands in the order in which they were first applied anywhere.
struct CommandHistory {
  std::vector<std::pair<std::uint64_t, std::string>> applied;
  /// Number of leading commands that were acknowledged to a client, by time.
  std::vector<std::pair<milliseconds, std::size_t>> acknowledged{{{}, 0}};
};

/// Compares each command that it applies with the common history.
class HistoryCheckingStateMachine final : public StateMachine {
 public:
  explicit HistoryCheckingStateMachine(CommandHistory& history)
      : history_(history) {}

  std::string Apply(std::uint64_t index, const std::string& command) override {
    if (count_ == history_.applied.size())
      history_.applied.emplace_back(index, command);
    RequireProperty(history_.applied[count_] == std::pair(index, command),
                    "a committed entry changed or was lost: index " +
                        std::to_string(index) + " holds " + command +
                        ", expected " +
                        std::to_string(history_.applied[count_].first) + " " +
                        history_.applied[count_].second);
    ++count_;
    return std::to_string(count_);
  }
  std::string TakeSnapshot() const override {
    return std::string(100, '.') + std::to_string(count_);
  }
  void RestoreSnapshot(const std::string& snapshot) override {
    count_ = std::stoul(snapshot.substr(100));
    RequireProperty(count_ <= history_.applied.size(),
                    "a snapshot covers commands that were never applied");
  }
  std::size_t count() const { return count_; }

 private:
  CommandHistory& history_;
  std::size_t count_ = 0;
};

class ClusterSim {
 public:
  struct Process {
    std::string address;
    std::unique_ptr<SkewedClock> clock;
    InMemoryFileSystem files;
    std::unique_ptr<DiskStorage> storage;
    std::unique_ptr<HistoryCheckingStateMachine> machine;
    std::unique_ptr<Core> core;
    milliseconds paused_until{0};
    milliseconds restart_at{0};
    // Number of file operations until the process crashes within one; negative
    // for never.
    int operations_until_crash = -1;
    bool started_before = false;
  };

  /// Number of processes whose addresses a cluster with open membership is
  /// configured with.
  static constexpr int kSeedCount = 3;

  ClusterSim(std::uint64_t seed, int processes, CoreOptions options)
      : random_(seed), options_(std::move(options)) {
    const int peer_count = options_.open_membership ? kSeedCount : processes;
    for (int i = 0; i < peer_count; ++i)
      options_.peers.push_back(NextAddress());
    for (int i = 0; i < processes; ++i) {
      auto process = std::make_unique<Process>();
      process->address = i < peer_count
                             ? options_.peers[static_cast<std::size_t>(i)]
                             : NextAddress();
      process->clock = std::make_unique<SkewedClock>(
          now_, milliseconds(3600000 + 977 * i),
          0.96 + 0.02 * static_cast<double>(RandomBelow(5)));
      processes_.push_back(std::move(process));
      Start(i);
    }
  }

  int RandomBelow(int bound) {
    return static_cast<int>(random_() % static_cast<std::uint64_t>(bound));
  }
  int size() const { return static_cast<int>(processes_.size()); }
  Process& at(int i) { return *processes_[static_cast<std::size_t>(i)]; }
  milliseconds now() const { return now_; }
  const CommandHistory& history() const { return history_; }

  void Start(int i) {
    Process& process = at(i);
    process.files.before_operation = [this, i](const std::string&,
                                               const std::string&) {
      if (at(i).operations_until_crash >= 0 &&
          at(i).operations_until_crash-- == 0)
        throw InjectedCrash();
    };
    RunHandlingCrash(i, [&] {
      process.storage = std::make_unique<DiskStorage>(
          process.files, "d", [&] { return std::to_string(random_()); });
      process.machine = std::make_unique<HistoryCheckingStateMachine>(history_);
      CoreOptions options = options_;
      options.address = process.address;
      // Only the first start of a process states that all disks are empty.
      if (options.open_membership)
        options.may_form_cluster = !process.started_before;
      process.started_before = true;
      process.core.reset(new Core(
          options, {.clock = *process.clock,
                    .storage = *process.storage,
                    .state_machine = *process.machine,
                    .send =
                        [this, i](const std::string& to,
                                  const wire::ConsensusMessage& message) {
                          SendMessage(at(i).address, to, message);
                        },
                    .random =
                        [this](std::uint32_t bound) {
                          return static_cast<std::uint32_t>(random_() % bound);
                        }}));
    });
  }

  /// Stops a process; it restarts after \p downtime.
  void CrashProcess(int i, milliseconds downtime) {
    Process& process = at(i);
    process.core.reset();
    process.storage.reset();
    process.operations_until_crash = -1;
    process.files.Crash(random_);
    process.restart_at = now_ + downtime;
  }

  /// Deletes the data directory of a process.
  void WipeDisk(int i, milliseconds downtime) {
    CrashProcess(i, downtime);
    at(i).files = InMemoryFileSystem();
  }

  /// Replaces a process with an empty one at another address, which is
  /// configured with the addresses of two others.
  void ReplaceProcess(int i, milliseconds downtime) {
    WipeDisk(i, downtime);
    at(i).address = NextAddress();
    options_.peers = {at((i + 1) % size()).address,
                      at((i + 2) % size()).address};
  }

  /// Returns whether every process is running and has all others as voters
  /// under their present identities, so that one more loss does not cost the
  /// majority.
  bool IsComplete() {
    std::set<std::string> present;
    for (const auto& process : processes_) {
      if (!process->core)
        return false;
      present.insert(process->storage->Identity());
    }
    for (const auto& process : processes_) {
      std::set<std::string> voters;
      const CoreStatus status = process->core->status();
      for (const auto& member : status.config.members())
        voters.insert(member.learner() ? "" : member.identity());
      if (voters != present)
        return false;
    }
    return true;
  }

  void Propose(int i) {
    Process& process = at(i);
    if (!process.core)
      return;
    const std::string command = "c" + std::to_string(++proposed_count_);
    process.core->Propose(command, [this, command](const ProposeOutcome& out) {
      if (out.status != ProposeStatus::kCommitted)
        return;
      const std::size_t position = std::stoul(out.result);
      RequireProperty(
          history_.applied[position - 1] == std::pair(out.index, command),
          "an acknowledged command is not in the history: " + command);
      if (position > history_.acknowledged.back().second)
        history_.acknowledged.emplace_back(now_, position);
    });
  }

  void Step() {
    now_ += milliseconds(5);
    Deliver();
    for (int i = 0; i < size(); ++i) {
      Process& process = at(i);
      if (!process.core && now_ >= process.restart_at)
        Start(i);
      if (process.core && now_ >= process.paused_until) {
        RunHandlingCrash(i, [&] {
          process.core->Tick();
          process.core->Flush();
        });
      }
    }
    Check();
  }

  template <typename Condition>
  bool RunUntil(milliseconds limit, Condition condition) {
    const milliseconds end = now_ + limit;
    while (!condition()) {
      if (now_ >= end)
        return false;
      Step();
    }
    return true;
  }

  /// Returns the current leader, or -1.
  int Leader() {
    for (int i = 0; i < size(); ++i) {
      if (at(i).core && at(i).core->IsCurrentLeader())
        return i;
    }
    return -1;
  }

  bool Converged() {
    for (const auto& process : processes_) {
      if (!process->core ||
          process->machine->count() != history_.applied.size())
        return false;
    }
    return Leader() >= 0 && IsComplete();
  }

  void SetLinkCut(int a, int b, bool cut) {
    for (const auto& pair : {std::pair(a, b), std::pair(b, a)}) {
      if (cut)
        cut_links_.insert({at(pair.first).address, at(pair.second).address});
      else
        cut_links_.erase({at(pair.first).address, at(pair.second).address});
    }
  }
  void Isolate(int i, bool cut) {
    for (int other = 0; other < size(); ++other) {
      if (other != i)
        SetLinkCut(i, other, cut);
    }
  }
  void HealNetwork() { cut_links_.clear(); }

  /// Percentage of messages lost, sent twice, or delayed by up to 2 s.
  int message_fault_percent = 0;

 private:
  std::string NextAddress() {
    return "10.0.0." + std::to_string(++address_count_) + ":1";
  }

  template <typename Work>
  void RunHandlingCrash(int i, Work work) {
    try {
      work();
    } catch (const InjectedCrash&) {
      CrashProcess(i, milliseconds(RandomBelow(3000)));
    } catch (const support::Error& error) {
      throw SafetyViolation(at(i).address + " stopped: " + error.what());
    }
  }

  void SendMessage(const std::string& from,
                   const std::string& to,
                   const wire::ConsensusMessage& message) {
    if (cut_links_.count({from, to}) ||
        RandomBelow(100) < message_fault_percent)
      return;
    const int copies = RandomBelow(100) < message_fault_percent ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const int delay = RandomBelow(100) < message_fault_percent
                            ? RandomBelow(2000)
                            : RandomBelow(message_fault_percent + 1);
      // Delivered no earlier than at the next step.
      messages_in_flight_.emplace(now_ + milliseconds(1 + delay),
                                  std::pair(to, message));
    }
  }

  void Deliver() {
    while (!messages_in_flight_.empty() &&
           messages_in_flight_.begin()->first <= now_) {
      auto [to, message] = std::move(messages_in_flight_.begin()->second);
      messages_in_flight_.erase(messages_in_flight_.begin());
      for (int i = 0; i < size(); ++i) {
        Process& process = at(i);
        if (process.address != to || !process.core)
          continue;
        if (now_ < process.paused_until) {
          messages_in_flight_.emplace(
              process.paused_until,
              std::pair(std::move(to), std::move(message)));
          break;
        }
        RunHandlingCrash(i, [&, &received = message] {
          process.core->Receive(received);
          if (RandomBelow(2) == 0)
            process.core->Flush();
        });
      }
    }
  }

  void Check() {
    int current_leaders = 0;
    for (const auto& process : processes_) {
      if (!process->core)
        continue;
      const CoreStatus status = process->core->status();
      if (status.role == Role::kLeader) {
        const auto& leader =
            leaders_by_term_.try_emplace(status.term, status.identity)
                .first->second;
        RequireProperty(leader == status.identity,
                        "two leaders in term " + std::to_string(status.term));
      }
      const std::size_t count = process->machine->count();
      const bool current = process->core->IsCurrentLeader();
      current_leaders += current ? 1 : 0;
      RequireProperty(current_leaders <= 1,
                      "two leaders hold their lease at once");
      if (current)
        RequireProperty(count >= history_.acknowledged.back().second,
                        process->address + " is a stale leader");
      const support::TimePoint as_of = process->core->CurrentAsOf();
      RequireProperty(
          as_of <= process->clock->Now(),
          "the applied state is claimed to be current as of a future time");
      auto latest = history_.acknowledged.rbegin();
      while (process->clock->At(latest->first) >= as_of && latest->second > 0)
        ++latest;
      RequireProperty(
          count >= latest->second,
          process->address + " claims a later freshness than it has");
    }
  }

  std::mt19937_64 random_;
  int address_count_ = 0;
  CoreOptions options_;
  milliseconds now_{0};
  CommandHistory history_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::multimap<milliseconds, std::pair<std::string, wire::ConsensusMessage>>
      messages_in_flight_;
  std::set<std::pair<std::string, std::string>> cut_links_;
  std::map<std::uint64_t, std::string> leaders_by_term_;
  std::uint64_t proposed_count_ = 0;
};

}  // namespace yuccastair::consensus

#endif  // YUCCASTAIR_UNITTESTS_CONSENSUS_CLUSTER_SIM_H_
