// The sync thread of a node.

#include "sync_client.h"

#include <algorithm>
#include <utility>

#include "yuccastair/membership/control_order.h"
#include "yuccastair/support/log.h"

namespace yuccastair::node {
namespace {

constexpr int kMaxMissedReplies = 2;

}  // namespace

SyncClient::SyncClient(Options options,
                       wire::Transport& transport,
                       wire::PendingCalls& pending)
    : options_(std::move(options)), transport_(transport), pending_(pending) {
  thread_ = std::thread([this] { Run(); });
}

SyncClient::~SyncClient() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_condition_.notify_all();
  thread_.join();
}

void SyncClient::Wake() {
  {
    std::lock_guard lock(mutex_);
    wake_requested_ = true;
  }
  wake_condition_.notify_all();
}

support::TimePoint SyncClient::current_as_of() const {
  return support::TimePoint(support::Duration(current_as_of_.load()));
}

void SyncClient::Run() {
  const std::vector<std::string> control_addresses =
      membership::OrderControlsForNode(options_.control_addresses,
                                       options_.node_id);
  std::size_t current_index = 0;
  int missed_replies = 0;
  while (true) {
    if (!control_addresses.empty()) {
      missed_replies =
          SyncOnce(control_addresses[current_index]) ? 0 : missed_replies + 1;
      if (missed_replies >= kMaxMissedReplies) {
        missed_replies = 0;
        current_index = (current_index + 1) % control_addresses.size();
        support::LogWarning("sync.moved",
                            {{"control", control_addresses[current_index]}});
      }
    }
    std::unique_lock lock(mutex_);
    wake_condition_.wait_for(lock, options_.interval,
                             [&] { return stopping_ || wake_requested_; });
    wake_requested_ = false;
    if (stopping_)
      return;
  }
}

bool SyncClient::SyncOnce(const std::string& control) {
  wire::Envelope envelope;
  options_.fill_request(*envelope.mutable_sync_request());
  const std::uint64_t correlation = pending_.Begin();
  envelope.set_correlation(correlation);
  const auto sent_at = support::BootClock().Now();
  transport_.Send(control, std::move(envelope));
  const wire::Answer received = pending_.Wait(correlation, options_.interval);
  if (received.result != wire::WaitResult::kAnswered ||
      !received.envelope.has_sync_reply())
    return false;
  const wire::SyncReply& reply = received.envelope.sync_reply();
  if (!options_.apply_reply(reply))
    return true;
  const auto as_of = sent_at - std::chrono::milliseconds(reply.age_ms());
  current_as_of_ =
      std::max(current_as_of_.load(), as_of.time_since_epoch().count());
  return true;
}

}  // namespace yuccastair::node
