// Runs calls on the own target.

#ifndef YUCCASTAIR_LIB_NODE_TARGET_SIDE_H_
#define YUCCASTAIR_LIB_NODE_TARGET_SIDE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "envelope.pb.h"
#include "running_calls.h"
#include "yuccastair/http/client.h"
#include "yuccastair/support/address.h"
#include "yuccastair/support/bounded_ring.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::node {

/// What the own target has announced about itself.
struct TargetAnnouncement {
  std::string service;
  std::string incarnation;
  support::Address address;
  wire::TargetState state = wire::TARGET_STATE_UP;
};

/// Takes calls from the transport thread and runs them on worker threads, each
/// with a connection of its own to the target.
class TargetSide {
 public:
  using Completion = std::function<void(wire::CallReply)>;

  TargetSide(std::size_t workers, RunningCalls& running);
  ~TargetSide();

  void Announce(const TargetAnnouncement& announcement);
  std::optional<TargetAnnouncement> announcement() const;

  /// Finishes queued calls and ends the workers. No completion runs afterwards.
  void Stop();

  /// Ends new work; calls that run are finished.
  void StartDraining() { draining_ = true; }

  /// Queues a call; \p done is called exactly once, from any thread.
  void Submit(wire::CallRequest request, Completion done);

  std::size_t running() const { return running_count_; }

 private:
  struct Job {
    wire::CallRequest request;
    Completion done;
    support::TimePoint deadline;
  };

  void Work();
  wire::CallReply Run(const Job& job, http::Client& client);
  wire::LoadReport Load() const;

  RunningCalls& running_;
  const std::uint32_t worker_count_;
  mutable std::mutex mutex_;
  std::optional<TargetAnnouncement> announcement_;
  std::atomic<bool> draining_ = false;
  std::atomic<std::size_t> running_count_ = 0;
  support::BoundedRing<Job> jobs_;
  std::vector<std::thread> workers_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_TARGET_SIDE_H_
