// The sync loop and the messages to the leader.

#include "control_link.h"

#include <algorithm>
#include <utility>

#include "yuccastair/support/id.h"
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
                         TrafficCounts& traffic,
                         Options options)
    : context_(context),
      clock_(clock),
      metrics_(metrics),
      traffic_(traffic),
      options_(std::move(options)),
      selector_(clock,
                options_.node_id,
                options_.availability_zone,
                options_.seeds,
                support::RandomBelow),
      reply_timer_(context),
      interval_timer_(context),
      transport_(
          {},
          {.on_request = nullptr,
           .on_answer =
               [this](const std::string& address, wire::Envelope envelope) {
                 stream::asio::post(
                     context_,
                     [this, address, envelope = std::move(envelope)]() mutable {
                       OnMessage(address, std::move(envelope));
                     });
               },
           .on_undelivered =
               [this](const std::string&, wire::Envelope envelope) {
                 stream::asio::post(context_,
                                    [this, envelope = std::move(envelope)] {
                                      OnUndelivered(envelope);
                                    });
               },
           .on_tick = nullptr}) {
  stream::asio::co_spawn(context_, Run(), stream::asio::detached);
}

void ControlLink::SetSeeds(std::vector<std::string> seeds) {
  selector_.SetSeeds(std::move(seeds));
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
  Send(leader_, std::move(envelope));
}

void ControlLink::SendRouteNeeds(const wire::RouteNeedReport& report) {
  if (leader_.empty())
    return;
  wire::Envelope envelope;
  *envelope.mutable_route_need_report() = report;
  Send(leader_, std::move(envelope));
}

void ControlLink::SendCrashReport(const wire::CrashReport& report) {
  if (leader_.empty())
    return;
  wire::Envelope envelope;
  *envelope.mutable_crash_report() = report;
  crash_report_correlation_ = next_correlation_++;
  envelope.set_correlation(crash_report_correlation_);
  Send(leader_, std::move(envelope));
}

void ControlLink::SendDeparture(const wire::DepartureReport& report) {
  if (leader_.empty())
    return;
  wire::Envelope envelope;
  *envelope.mutable_departure_report() = report;
  departure_correlation_ = next_correlation_++;
  envelope.set_correlation(departure_correlation_);
  Send(leader_, std::move(envelope));
}

void ControlLink::Send(const std::string& address, wire::Envelope envelope) {
  RecordTraffic(address, envelope);
  transport_.Send(address, std::move(envelope));
}

void ControlLink::RecordTraffic(const std::string& address,
                                const wire::Envelope& envelope) {
  const bool rates = envelope.has_rate_request() || envelope.has_rate_grant();
  traffic_.Record(rates ? "rates" : "sync", selector_.ZoneOf(address),
                  envelope.ByteSizeLong());
}

void ControlLink::OnMessage(const std::string& address,
                            wire::Envelope envelope) {
  RecordTraffic(address, envelope);
  if (envelope.has_rate_grant()) {
    const wire::RateGrant& grant = envelope.rate_grant();
    if (grant.not_leader())
      leader_ = grant.leader_address();
    options_.apply_grant(grant);
  } else if (envelope.has_crash_report_reply() &&
             envelope.correlation() == crash_report_correlation_) {
    const wire::CrashReportReply& reply = envelope.crash_report_reply();
    if (!reply.leader_address().empty())
      leader_ = reply.leader_address();
    options_.apply_crash_reply(reply);
  } else if (envelope.has_departure_reply() &&
             envelope.correlation() == departure_correlation_) {
    const wire::DepartureReply& reply = envelope.departure_reply();
    if (!reply.leader_address().empty())
      leader_ = reply.leader_address();
    options_.apply_departure_reply(reply);
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
    if (!selector_.empty()) {
      const SyncResult end = co_await SyncOnce(selector_.in_use());
      if (end == SyncResult::kCurrent) {
        selector_.OnSuccess();
        const bool sync_again = co_await TryReturn();
        if (sync_again)
          continue;
      } else if (SwitchToNext(end)) {
        // Tries the next control process at once until all of them have failed.
        continue;
      }
    }
    if (!std::exchange(sync_requested_, false)) {
      interval_timer_.expires_after(kSyncInterval);
      co_await interval_timer_.async_wait(stream::kAsTuple);
      sync_requested_ = false;
    }
  }
}

stream::Task<bool> ControlLink::TryReturn() {
  const auto candidate = selector_.ReturnCandidate();
  if (!candidate)
    co_return false;
  const support::TimePoint began = clock_.Now();
  const SyncResult end = co_await SyncOnce(*candidate);
  const bool current = end == SyncResult::kCurrent;
  support::LogInfo("control.return",
                   {{"control", *candidate}, {"result", ToString(end)}});
  selector_.OnReturnAttempt(*candidate, current);
  // The time without a reply replaces the pause between two syncs.
  co_return !current && clock_.Now() - began >= kReplyTimeout / 2;
}

bool ControlLink::SwitchToNext(SyncResult end) {
  synchronised_ = false;
  // The seeds may have been replaced while the reply was awaited.
  if (selector_.empty())
    return false;
  const std::string reason = ToString(end);
  metrics_.Count("yuccastair_control_lost_total", {{"reason", reason}});
  nlohmann::json fields = {{"control", selector_.in_use()},
                           {"reason", reason},
                           {"known", selector_.size()}};
  if (current_as_of_ != support::TimePoint())
    fields["age_ms"] =
        std::chrono::duration_cast<milliseconds>(clock_.Now() - current_as_of_)
            .count();
  if (end == SyncResult::kStaleView)
    fields["view_age_ms"] = reply_->age_ms();
  support::LogWarning("control.lost", fields);
  if (selector_.OnFailure())
    return true;
  // All known control processes may have changed their addresses.
  if (options_.reload_seeds)
    options_.reload_seeds();
  return false;
}

stream::Task<ControlLink::SyncResult> ControlLink::SyncOnce(
    std::string address) {
  wire::Envelope envelope;
  options_.fill_request(*envelope.mutable_sync_request());
  awaited_correlation_ = next_correlation_++;
  envelope.set_correlation(awaited_correlation_);
  reply_.reset();
  undelivered_ = false;
  const support::TimePoint sent_at = clock_.Now();
  reply_timer_.expires_after(kReplyTimeout);
  Send(address, std::move(envelope));
  co_await reply_timer_.async_wait(stream::kAsTuple);
  awaited_correlation_ = 0;
  if (!reply_)
    co_return undelivered_ ? SyncResult::kNotConnected : SyncResult::kNoReply;
  const milliseconds age(reply_->age_ms());
  const bool current = age <= kMaxViewAge;
  // A control process that is cut off from the others still lists targets that
  // have left since.
  if (current || sent_at - age >= current_as_of_) {
    options_.apply_reply(*reply_);
    if (!reply_->leader_address().empty())
      leader_ = reply_->leader_address();
  }
  std::vector<ReportedControl> reported;
  reported.reserve(static_cast<std::size_t>(reply_->control_addresses_size()));
  for (int i = 0; i < reply_->control_addresses_size(); ++i)
    reported.push_back(
        {reply_->control_addresses(i), i < reply_->control_zones_size()
                                           ? reply_->control_zones(i)
                                           : std::string()});
  selector_.SetReported(std::move(reported), current);
  if (!current)
    co_return SyncResult::kStaleView;
  OnCurrentView(address, sent_at - age);
  co_return SyncResult::kCurrent;
}

void ControlLink::OnCurrentView(const std::string& address,
                                support::TimePoint as_of) {
  if (!std::exchange(synchronised_, true)) {
    nlohmann::json fields = {{"control", address}};
    if (current_as_of_ != support::TimePoint())
      fields["away_ms"] =
          std::chrono::duration_cast<milliseconds>(as_of - current_as_of_)
              .count();
    support::LogInfo("control.found", fields);
  }
  current_as_of_ = std::max(current_as_of_, as_of);
}

}  // namespace yuccastair::relay
