// Tests the memory of the log core and its storage with large commands. Guards
// against control processes that exceed their memory limit because the log
// keeps a number of entries whatever their size.

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "heap_meter.h"
#include "temporary_dir.h"
#include "yuccastair/consensus/core.h"
#include "yuccastair/consensus/disk_storage.h"

namespace yuccastair::consensus {
namespace {

using std::chrono::milliseconds;

// Memory that a control process may use, and that all processes of a test use
// together: half of what the platform grants one.
constexpr std::size_t kMaxMemoryBytes = std::size_t{128} << 20;
// Size of a change of a configuration with 1,245 routes.
constexpr std::size_t kCommandBytes = std::size_t{320} << 10;
constexpr std::size_t kLogBytes = std::size_t{256} << 20;
constexpr std::size_t kCommandCount = kLogBytes / kCommandBytes;

/// Holds the latest command, as the routing policy does.
class LatestCommand final : public StateMachine {
 public:
  std::string Apply(std::uint64_t, const std::string& command) override {
    command_ = command;
    ++count_;
    return "";
  }
  std::string TakeSnapshot() const override { return command_; }
  void RestoreSnapshot(const std::string& snapshot) override {
    command_ = snapshot;
  }
  const std::string& command() const { return command_; }
  std::size_t count() const { return count_; }

 private:
  std::string command_;
  std::size_t count_ = 0;
};

std::string CommandNumber(std::size_t number) {
  std::string command = std::to_string(number) + " ";
  command.resize(kCommandBytes, 'x');
  return command;
}

/// Processes of one cluster on real files, whose messages arrive at once.
class Cluster {
 public:
  explicit Cluster(std::vector<std::string> addresses) {
    for (const std::string& address : addresses)
      processes_.emplace_back(std::make_unique<Process>(address));
    addresses_ = std::move(addresses);
  }

  struct Process {
    explicit Process(std::string at) : address(std::move(at)) {}

    std::string address;
    std::optional<PosixFileSystem> files;
    LatestCommand machine;
    std::optional<DiskStorage> storage;
    std::optional<Core> core;
  };

  Process& at(std::size_t i) { return *processes_[i]; }

  void Start(std::size_t i) {
    Process& process = at(i);
    // Releases the lock of an earlier run.
    process.files.emplace();
    process.storage.emplace(*process.files,
                            (dir_.path() / process.address).string());
    CoreOptions options;
    options.address = process.address;
    options.peers = addresses_;
    process.core.emplace(
        options,
        Core::Environment{
            .clock = clock_,
            .storage = *process.storage,
            .state_machine = process.machine,
            .send =
                [this](const std::string& to, wire::ConsensusMessage message) {
                  sent_.emplace_back(to, std::move(message));
                },
            .random =
                [this](std::uint32_t bound) { return ++random_ % bound; }});
  }

  void Stop(std::size_t i) {
    at(i).core.reset();
    at(i).storage.reset();
  }

  void Step() {
    clock_.Advance(milliseconds(5));
    for (auto& [to, message] : std::exchange(sent_, {})) {
      for (auto& process : processes_) {
        if (process->address == to && process->core)
          process->core->Receive(message);
      }
    }
    for (auto& process : processes_) {
      if (!process->core)
        continue;
      process->core->Tick();
      process->core->Flush();
    }
  }

  /// Steps until \p condition holds; fails the test if it does not come about.
  template <typename Condition>
  void StepUntil(Condition condition) {
    constexpr int kMaxSteps = 4000;
    for (int step = 0; step < kMaxSteps && !condition(); ++step)
      Step();
    REQUIRE(condition());
  }

  Process* Leader() {
    for (auto& process : processes_) {
      if (process->core && process->core->IsCurrentLeader())
        return process.get();
    }
    return nullptr;
  }

  void Commit(const std::string& command) {
    bool committed = false;
    StepUntil([this] { return Leader() != nullptr; });
    Leader()->core->Propose(command, [&](const ProposeOutcome& outcome) {
      committed = outcome.status == ProposeStatus::kCommitted;
    });
    StepUntil([&] { return committed; });
  }

 private:
  const TemporaryDir dir_;
  support::ManualClock clock_;
  std::uint32_t random_ = 0;
  std::vector<std::string> addresses_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<std::pair<std::string, wire::ConsensusMessage>> sent_;
};

TEST_CASE("large commands do not accumulate in memory or on disk") {
  Cluster cluster({"a"});
  cluster.Start(0);
  HeapMeter::Restart();
  for (std::size_t number = 1; number <= kCommandCount; ++number)
    cluster.Commit(CommandNumber(number));
  CHECK(HeapMeter::Maximum() <= kMaxMemoryBytes);

  const std::string newest = cluster.at(0).machine.command();
  cluster.Stop(0);
  HeapMeter::Restart();
  cluster.Start(0);
  cluster.StepUntil([&] { return cluster.Leader() != nullptr; });
  CHECK(HeapMeter::Maximum() <= kMaxMemoryBytes);
  CHECK(cluster.at(0).machine.command() == newest);
}

TEST_CASE("a member that is behind gets large commands in bounded memory") {
  Cluster cluster({"a", "b", "c"});
  for (std::size_t i = 0; i < 3; ++i)
    cluster.Start(i);
  cluster.Commit(CommandNumber(1));
  cluster.Stop(2);
  HeapMeter::Restart();
  for (std::size_t number = 2; number <= kCommandCount; ++number)
    cluster.Commit(CommandNumber(number));
  cluster.Start(2);
  const std::string newest = CommandNumber(kCommandCount);
  cluster.StepUntil([&] { return cluster.at(2).machine.command() == newest; });
  CHECK(HeapMeter::Maximum() <= kMaxMemoryBytes);
}

TEST_CASE("proposals that arrive at once are bounded by their size") {
  Cluster cluster({"a"});
  cluster.Start(0);
  cluster.StepUntil([&] { return cluster.Leader() != nullptr; });
  HeapMeter::Restart();
  std::size_t ended = 0;
  for (std::size_t number = 1; number <= kCommandCount; ++number)
    cluster.at(0).core->Propose(CommandNumber(number),
                                [&](const ProposeOutcome&) { ++ended; });
  cluster.StepUntil([&] { return ended == kCommandCount; });
  CHECK(cluster.at(0).machine.count() > 0);
  CHECK(HeapMeter::Maximum() <= kMaxMemoryBytes);
}

}  // namespace
}  // namespace yuccastair::consensus
