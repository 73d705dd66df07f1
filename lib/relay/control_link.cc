// The sync loop and the messages to the leader.

#include "control_link.h"

#include <algorithm>
#include <utility>

#include "yuccastair/membership/control_order.h"
#include "yuccastair/support/log.h"

namespace yuccastair::relay {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSyncInterval{400};
constexpr milliseconds kAnswerTimeout{400};
// Maximum age of a control process's own view. With an older view, it is
// disconnected from the leader or there is no leader: followers receive from
// their leader every 100 ms.
constexpr milliseconds kMaxViewAge{800};

}  // namespace

ControlLink::ControlLink(stream::asio::io_context& context,
                         const support::Clock& clock,
                         observe::Metrics& metrics,
                         Options options)
    : context_(context),
      clock_(clock),
      metrics_(metrics),
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
                  .on_undelivered =
                      [this](const std::string&, wire::Envelope envelope) {
                        stream::asio::post(
                            context_, [this, envelope = std::move(envelope)] {
                              OnUndelivered(envelope);
                            });
                      },
                  .on_tick = nullptr}) {
  ChooseOrder();
  stream::asio::co_spawn(context_, Run(), stream::asio::detached);
}

/// Orders the reported addresses before the seeds. The seeds may be obsolete,
/// but they are the only way to reconnect if all reported control processes
/// have been replaced.
void ControlLink::ChooseOrder() {
  const std::string asked = order_.empty() ? "" : order_[current_];
  order_ = membership::OrderControlsForNode(reported_, options_.node_id);
  for (const std::string& seed :
       membership::OrderControlsForNode(options_.seeds, options_.node_id)) {
    if (std::find(order_.begin(), order_.end(), seed) == order_.end())
      order_.push_back(seed);
  }
  const auto found = std::find(order_.begin(), order_.end(), asked);
  current_ = found == order_.end()
                 ? 0
                 : static_cast<std::size_t>(found - order_.begin());
}

void ControlLink::SetSeeds(std::vector<std::string> seeds) {
  options_.seeds = std::move(seeds);
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

void ControlLink::OnUndelivered(const wire::Envelope& envelope) {
  if (awaited_ == 0 || envelope.correlation() != awaited_)
    return;
  undelivered_ = true;
  answered_.cancel();
}

const char* ControlLink::ToString(SyncEnd end) {
  switch (end) {
    case SyncEnd::kCurrent:
      return "current";
    case SyncEnd::kNotConnected:
      return "no connection";
    case SyncEnd::kNoAnswer:
      return "no answer";
    case SyncEnd::kOldView:
      return "old view";
  }
  return "unknown";
}

stream::Task<void> ControlLink::Run() {
  while (true) {
    if (!order_.empty()) {
      const SyncEnd end = co_await SyncOnce();
      // Tries the next control process at once until all of them have failed.
      if (end != SyncEnd::kCurrent && Move(end))
        continue;
    }
    if (!std::exchange(wake_requested_, false)) {
      pause_.expires_after(kSyncInterval);
      co_await pause_.async_wait(stream::kAsTuple);
      wake_requested_ = false;
    }
  }
}

/// Switches to the next control process. Once all known ones have failed, all
/// of them may have changed their addresses, so the seeds are reloaded. Returns
/// whether there is one that has not been tried in this round.
bool ControlLink::Move(SyncEnd end) {
  in_touch_ = false;
  // The seeds may have been replaced while the reply was awaited.
  if (order_.empty())
    return false;
  const std::string reason = ToString(end);
  metrics_.Count("yuccastair_control_lost_total", {{"reason", reason}});
  nlohmann::json fields = {{"control", order_[current_]},
                           {"reason", reason},
                           {"known", order_.size()}};
  if (fresh_at_ != support::TimePoint())
    fields["age_ms"] =
        std::chrono::duration_cast<milliseconds>(clock_.Now() - fresh_at_)
            .count();
  if (end == SyncEnd::kOldView)
    fields["view_age_ms"] = reply_->age_ms();
  support::LogWarning("control.lost", fields);
  current_ = (current_ + 1) % order_.size();
  if (++moves_since_answer_ < order_.size())
    return true;
  moves_since_answer_ = 0;
  if (options_.refresh_seeds)
    options_.refresh_seeds();
  return false;
}

stream::Task<ControlLink::SyncEnd> ControlLink::SyncOnce() {
  wire::Envelope envelope;
  options_.fill(*envelope.mutable_sync_request());
  awaited_ = next_correlation_++;
  envelope.set_correlation(awaited_);
  reply_.reset();
  undelivered_ = false;
  const support::TimePoint sent_at = clock_.Now();
  answered_.expires_after(kAnswerTimeout);
  transport_.Send(order_[current_], std::move(envelope));
  co_await answered_.async_wait(stream::kAsTuple);
  awaited_ = 0;
  if (!reply_)
    co_return undelivered_ ? SyncEnd::kNotConnected : SyncEnd::kNoAnswer;
  const milliseconds age(reply_->age_ms());
  options_.apply(*reply_);
  if (!reply_->leader_address().empty())
    leader_ = reply_->leader_address();
  const bool current = age <= kMaxViewAge;
  TakeAddresses(
      {reply_->control_addresses().begin(), reply_->control_addresses().end()},
      current);
  if (!current)
    co_return SyncEnd::kOldView;
  NoteCurrent(sent_at - age);
  co_return SyncEnd::kCurrent;
}

/// Updates the known control processes. A stale view may lack some of them, so
/// it only adds addresses.
void ControlLink::TakeAddresses(std::vector<std::string> reported,
                                bool current) {
  if (!current) {
    for (const std::string& known : reported_) {
      if (std::find(reported.begin(), reported.end(), known) == reported.end())
        reported.push_back(known);
    }
  }
  if (reported.empty() || reported == reported_)
    return;
  reported_ = std::move(reported);
  ChooseOrder();
}

void ControlLink::NoteCurrent(support::TimePoint as_of) {
  if (!std::exchange(in_touch_, true)) {
    nlohmann::json fields = {{"control", order_[current_]}};
    if (fresh_at_ != support::TimePoint())
      fields["away_ms"] =
          std::chrono::duration_cast<milliseconds>(as_of - fresh_at_).count();
    support::LogInfo("control.found", fields);
  }
  moves_since_answer_ = 0;
  fresh_at_ = std::max(fresh_at_, as_of);
}

}  // namespace yuccastair::relay
