// The sync loop and the messages to the leader.

#include "control_link.h"

#include <algorithm>
#include <utility>

#include "yuccastair/membership/home_order.h"
#include "yuccastair/support/log.h"

namespace yuccastair::relay {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSyncInterval{400};
constexpr milliseconds kAnswerTimeout{400};
// A control process whose own view is older than this is cut off from the
// leader, or has lost it. Followers hear from their leader every 100 ms.
constexpr milliseconds kMaxViewAge{800};

}  // namespace

ControlLink::ControlLink(stream::asio::io_context& context,
                         const support::Clock& clock,
                         Options options)
    : context_(context),
      clock_(clock),
      options_(std::move(options)),
      answered_(context),
      pause_(context),
      transport_({},
                 {.on_request = nullptr,
                  .on_answer =
                      [this](const std::string&, wire::Envelope envelope) {
                        stream::asio::post(
                            context_,
                            [this, envelope = std::move(envelope)]() mutable {
                              OnAnswer(std::move(envelope));
                            });
                      },
                  .on_undelivered = nullptr,
                  .on_tick = nullptr}) {
  ChooseOrder();
  stream::asio::co_spawn(context_, Run(), stream::asio::detached);
}

void ControlLink::ChooseOrder() {
  const std::string asked = order_.empty() ? "" : order_[current_];
  order_ = membership::OrderForNode(
      reported_.empty() ? options_.seeds : reported_, options_.node_id);
  const auto found = std::find(order_.begin(), order_.end(), asked);
  current_ = found == order_.end()
                 ? 0
                 : static_cast<std::size_t>(found - order_.begin());
}

void ControlLink::SetSeeds(std::vector<std::string> seeds) {
  options_.seeds = std::move(seeds);
  if (reported_.empty())
    ChooseOrder();
}

void ControlLink::Wake() {
  wake_requested_ = true;
  pause_.cancel();
}

void ControlLink::SendRateRequest(const wire::RateRequest& request) {
  if (leader_.empty())
    return;
  wire::Envelope envelope;
  *envelope.mutable_rate_request() = request;
  transport_.Send(leader_, std::move(envelope));
}

void ControlLink::OnAnswer(wire::Envelope envelope) {
  if (envelope.has_rate_grant()) {
    const wire::RateGrant& grant = envelope.rate_grant();
    if (grant.not_leader())
      leader_ = grant.leader_address();
    options_.apply_grant(grant);
  } else if (envelope.has_sync_reply() && awaited_ != 0 &&
             envelope.correlation() == awaited_) {
    reply_ = std::move(*envelope.mutable_sync_reply());
    answered_.cancel();
  }
}

stream::Task<void> ControlLink::Run() {
  while (true) {
    if (!order_.empty()) {
      const bool answered = co_await SyncOnce();
      // The next one is asked at once, until all have been asked in vain.
      if (!answered && Move())
        continue;
    }
    if (!std::exchange(wake_requested_, false)) {
      pause_.expires_after(kSyncInterval);
      co_await pause_.async_wait(stream::kAsTuple);
      wake_requested_ = false;
    }
  }
}

/// Turns to the next control process. Once all that are known have been asked
/// in vain, all may have changed address, and the seeds are asked again.
/// Returns whether there is one that has not been asked in this round.
bool ControlLink::Move() {
  // The seeds may have been replaced while an answer was awaited.
  if (order_.empty())
    return false;
  support::LogWarning("control.lost",
                      {{"control", order_[current_]},
                       {"age_ms", std::chrono::duration_cast<milliseconds>(
                                      clock_.Now() - fresh_at_)
                                      .count()}});
  current_ = (current_ + 1) % order_.size();
  if (++moves_since_answer_ < order_.size())
    return true;
  moves_since_answer_ = 0;
  reported_.clear();
  if (options_.refresh_seeds)
    options_.refresh_seeds();
  ChooseOrder();
  return false;
}

stream::Task<bool> ControlLink::SyncOnce() {
  wire::Envelope envelope;
  options_.fill(*envelope.mutable_sync_request());
  awaited_ = next_correlation_++;
  envelope.set_correlation(awaited_);
  reply_.reset();
  const support::TimePoint sent_at = clock_.Now();
  const std::string control = order_[current_];
  answered_.expires_after(kAnswerTimeout);
  transport_.Send(control, std::move(envelope));
  co_await answered_.async_wait(stream::kAsTuple);
  awaited_ = 0;
  if (!reply_)
    co_return false;
  const milliseconds age(reply_->age_ms());
  options_.apply(*reply_);
  if (!reply_->leader_address().empty())
    leader_ = reply_->leader_address();
  std::vector<std::string> reported(reply_->control_addresses().begin(),
                                    reply_->control_addresses().end());
  if (!reported.empty() && reported != reported_) {
    reported_ = std::move(reported);
    ChooseOrder();
  }
  if (age > kMaxViewAge)
    co_return false;
  if (fresh_at_ == support::TimePoint())
    support::LogInfo("control.found", {{"control", control}});
  moves_since_answer_ = 0;
  fresh_at_ = std::max(fresh_at_, sent_at - age);
  co_return true;
}

}  // namespace yuccastair::relay
