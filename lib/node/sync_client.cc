// The sync thread of a node.

#include "sync_client.h"

#include <algorithm>
#include <utility>

#include "yuccastair/membership/control_order.h"
#include "yuccastair/support/log.h"

namespace yuccastair::node {
namespace {

constexpr int kMissedAnswersBeforeMove = 2;

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
  wake_.notify_all();
  thread_.join();
}

void SyncClient::Wake() {
  {
    std::lock_guard lock(mutex_);
    wake_requested_ = true;
  }
  wake_.notify_all();
}

support::TimePoint SyncClient::fresh_at() const {
  return support::TimePoint(support::Duration(fresh_at_.load()));
}

void SyncClient::Run() {
  const std::vector<std::string> controls =
      membership::OrderControlsForNode(options_.controls, options_.node_id);
  std::size_t current = 0;
  int missed = 0;
  while (true) {
    if (!controls.empty()) {
      missed = SyncOnce(controls[current]) ? 0 : missed + 1;
      if (missed >= kMissedAnswersBeforeMove) {
        missed = 0;
        current = (current + 1) % controls.size();
        support::LogWarning("sync.moved", {{"control", controls[current]}});
      }
    }
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock, options_.interval,
                   [&] { return stopping_ || wake_requested_; });
    wake_requested_ = false;
    if (stopping_)
      return;
  }
}

bool SyncClient::SyncOnce(const std::string& control) {
  wire::Envelope envelope;
  options_.fill(*envelope.mutable_sync_request());
  const std::uint64_t correlation = pending_.Begin();
  envelope.set_correlation(correlation);
  const auto sent_at = support::BootClock().Now();
  transport_.Send(control, std::move(envelope));
  const wire::Answer answer = pending_.Wait(correlation, options_.interval);
  if (answer.result != wire::WaitResult::kAnswered ||
      !answer.envelope.has_sync_reply())
    return false;
  const wire::SyncReply& reply = answer.envelope.sync_reply();
  if (!options_.apply(reply))
    return true;
  const auto fresh = sent_at - std::chrono::milliseconds(reply.age_ms());
  fresh_at_ = std::max(fresh_at_.load(), fresh.time_since_epoch().count());
  return true;
}

}  // namespace yuccastair::node
