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
constexpr milliseconds kReplyTimeout{400};
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
      reply_timer_(context),
      interval_timer_(context),
      transport_({},
                 {.on_request = nullptr,
                  .on_answer =
                      [this](const std::string&, wire::Envelope envelope) {
                        stream::asio::post(
                            context_,
                            [this, envelope = std::move(envelope)]() mutable {
                              OnMessage(std::move(envelope));
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
  UpdateOrder();
  stream::asio::co_spawn(context_, Run(), stream::asio::detached);
}

/// Orders the reported addresses before the seeds. The seeds may be obsolete,
/// but they are the only way to reconnect if all reported control processes
/// have been replaced.
void ControlLink::UpdateOrder() {
  const std::string asked =
      addresses_.empty() ? "" : addresses_[address_index_];
  addresses_ =
      membership::OrderControlsForNode(reported_addresses_, options_.node_id);
  for (const std::string& seed :
       membership::OrderControlsForNode(options_.seeds, options_.node_id)) {
    if (std::find(addresses_.begin(), addresses_.end(), seed) ==
        addresses_.end())
      addresses_.push_back(seed);
  }
  const auto found = std::find(addresses_.begin(), addresses_.end(), asked);
  address_index_ = found == addresses_.end()
                       ? 0
                       : static_cast<std::size_t>(found - addresses_.begin());
}

void ControlLink::SetSeeds(std::vector<std::string> seeds) {
  options_.seeds = std::move(seeds);
  UpdateOrder();
}

void ControlLink::SyncNow() {
  sync_requested_ = true;
  interval_timer_.cancel();
}

void ControlLink::SendRateRequest(const wire::RateRequest& request) {
  if (leader_.empty())
    return;
  wire::Envelope envelope;
  *envelope.mutable_rate_request() = request;
  transport_.Send(leader_, std::move(envelope));
}

void ControlLink::OnMessage(wire::Envelope envelope) {
  if (envelope.has_rate_grant()) {
    const wire::RateGrant& grant = envelope.rate_grant();
    if (grant.not_leader())
      leader_ = grant.leader_address();
    options_.apply_grant(grant);
  } else if (envelope.has_sync_reply() && awaited_correlation_ != 0 &&
             envelope.correlation() == awaited_correlation_) {
    reply_ = std::move(*envelope.mutable_sync_reply());
    reply_timer_.cancel();
  }
}

void ControlLink::OnUndelivered(const wire::Envelope& envelope) {
  if (awaited_correlation_ == 0 ||
      envelope.correlation() != awaited_correlation_)
    return;
  undelivered_ = true;
  reply_timer_.cancel();
}

const char* ControlLink::ToString(SyncResult end) {
  switch (end) {
    case SyncResult::kCurrent:
      return "current";
    case SyncResult::kNotConnected:
      return "no connection";
    case SyncResult::kNoReply:
      return "no answer";
    case SyncResult::kStaleView:
      return "old view";
  }
  return "unknown";
}

stream::Task<void> ControlLink::Run() {
  while (true) {
    if (!addresses_.empty()) {
      const SyncResult end = co_await SyncOnce();
      // Tries the next control process at once until all of them have failed.
      if (end != SyncResult::kCurrent && SwitchToNext(end))
        continue;
    }
    if (!std::exchange(sync_requested_, false)) {
      interval_timer_.expires_after(kSyncInterval);
      co_await interval_timer_.async_wait(stream::kAsTuple);
      sync_requested_ = false;
    }
  }
}

/// Switches to the next control process. Once all known ones have failed, all
/// of them may have changed their addresses, so the seeds are reloaded. Returns
/// whether there is one that has not been tried in this round.
bool ControlLink::SwitchToNext(SyncResult end) {
  synchronised_ = false;
  // The seeds may have been replaced while the reply was awaited.
  if (addresses_.empty())
    return false;
  const std::string reason = ToString(end);
  metrics_.Count("yuccastair_control_lost_total", {{"reason", reason}});
  nlohmann::json fields = {{"control", addresses_[address_index_]},
                           {"reason", reason},
                           {"known", addresses_.size()}};
  if (current_as_of_ != support::TimePoint())
    fields["age_ms"] =
        std::chrono::duration_cast<milliseconds>(clock_.Now() - current_as_of_)
            .count();
  if (end == SyncResult::kStaleView)
    fields["view_age_ms"] = reply_->age_ms();
  support::LogWarning("control.lost", fields);
  address_index_ = (address_index_ + 1) % addresses_.size();
  if (++failures_in_round_ < addresses_.size())
    return true;
  failures_in_round_ = 0;
  if (options_.reload_seeds)
    options_.reload_seeds();
  return false;
}

stream::Task<ControlLink::SyncResult> ControlLink::SyncOnce() {
  wire::Envelope envelope;
  options_.fill_request(*envelope.mutable_sync_request());
  awaited_correlation_ = next_correlation_++;
  envelope.set_correlation(awaited_correlation_);
  reply_.reset();
  undelivered_ = false;
  const support::TimePoint sent_at = clock_.Now();
  reply_timer_.expires_after(kReplyTimeout);
  transport_.Send(addresses_[address_index_], std::move(envelope));
  co_await reply_timer_.async_wait(stream::kAsTuple);
  awaited_correlation_ = 0;
  if (!reply_)
    co_return undelivered_ ? SyncResult::kNotConnected : SyncResult::kNoReply;
  const milliseconds age(reply_->age_ms());
  options_.apply_reply(*reply_);
  if (!reply_->leader_address().empty())
    leader_ = reply_->leader_address();
  const bool current = age <= kMaxViewAge;
  UpdateAddresses(
      {reply_->control_addresses().begin(), reply_->control_addresses().end()},
      current);
  if (!current)
    co_return SyncResult::kStaleView;
  OnCurrentView(sent_at - age);
  co_return SyncResult::kCurrent;
}

/// Updates the known control processes. A stale view may lack some of them, so
/// it only adds addresses.
void ControlLink::UpdateAddresses(std::vector<std::string> reported,
                                  bool current) {
  if (!current) {
    for (const std::string& known : reported_addresses_) {
      if (std::find(reported.begin(), reported.end(), known) == reported.end())
        reported.push_back(known);
    }
  }
  if (reported.empty() || reported == reported_addresses_)
    return;
  reported_addresses_ = std::move(reported);
  UpdateOrder();
}

void ControlLink::OnCurrentView(support::TimePoint as_of) {
  if (!std::exchange(synchronised_, true)) {
    nlohmann::json fields = {{"control", addresses_[address_index_]}};
    if (current_as_of_ != support::TimePoint())
      fields["away_ms"] =
          std::chrono::duration_cast<milliseconds>(as_of - current_as_of_)
              .count();
    support::LogInfo("control.found", fields);
  }
  failures_in_round_ = 0;
  current_as_of_ = std::max(current_as_of_, as_of);
}

}  // namespace yuccastair::relay
