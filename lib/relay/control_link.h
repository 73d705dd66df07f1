// Synchronises a relay with the control processes.

#ifndef YUCCASTAIR_LIB_RELAY_CONTROL_LINK_H_
#define YUCCASTAIR_LIB_RELAY_CONTROL_LINK_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "control_selector.h"
#include "envelope.pb.h"
#include "traffic_counts.h"
#include "yuccastair/observe/metrics.h"
#include "yuccastair/stream/types.h"
#include "yuccastair/support/clock.h"
#include "yuccastair/wire/transport.h"

namespace yuccastair::relay {

/// Syncs with one control process at a time, and switches to another one if it
/// does not reply or its own view is stale. Used on the thread of its
/// io_context; the transport's thread only posts to it.
class ControlLink {
 public:
  struct Options {
    std::vector<std::string> seeds;
    std::string node_id;
    std::string availability_zone;
    std::function<void(wire::SyncRequest&)> fill_request;
    std::function<void(const wire::SyncReply&)> apply_reply;
    std::function<void(const wire::RateGrant&)> apply_grant;
    std::function<void(const wire::CrashReportReply&)> apply_crash_reply;
    std::function<void(const wire::DepartureReply&)> apply_departure_reply;
    /// Called when no known control process replies: the seeds in the settings
    /// may have changed without a signal.
    std::function<void()> reload_seeds;
  };

  ControlLink(stream::asio::io_context& context,
              const support::Clock& clock,
              observe::Metrics& metrics,
              TrafficCounts& traffic,
              Options options);

  /// Starts the next sync now instead of at the end of the interval.
  void SyncNow();
  void SendRateRequest(const wire::RateRequest& request);
  void SendRouteNeeds(const wire::RouteNeedReport& report);
  /// Replies to an earlier report are no longer passed on.
  void SendCrashReport(const wire::CrashReport& report);
  /// Replies to an earlier report are no longer passed on.
  void SendDeparture(const wire::DepartureReport& report);
  void SetSeeds(std::vector<std::string> seeds);

  /// Latest time at which the view of this relay was known to be current.
  support::TimePoint current_as_of() const { return current_as_of_; }

 private:
  /// Outcome of a sync.
  enum class SyncResult {
    kCurrent,
    /// The request was not sent because there is no connection.
    kNotConnected,
    /// The request was sent, but no reply arrived in time.
    kNoReply,
    /// The reply came from a control process with a stale view.
    kStaleView,
  };

  static const char* ToString(SyncResult end);
  void Send(const std::string& address, wire::Envelope envelope);
  void OnMessage(const std::string& address, wire::Envelope envelope);
  void RecordTraffic(const std::string& address,
                     const wire::Envelope& envelope);
  void OnUndelivered(const wire::Envelope& envelope);
  stream::Task<void> Run();
  stream::Task<SyncResult> SyncOnce(std::string address);
  /// Syncs with the first choice if it is due to be used again. Returns whether
  /// the next sync must follow at once.
  stream::Task<bool> TryReturn();
  void OnCurrentView(const std::string& address, support::TimePoint as_of);
  /// Switches to the next control process. Returns whether there is one that
  /// has not been tried in this round.
  bool SwitchToNext(SyncResult end);

  stream::asio::io_context& context_;
  const support::Clock& clock_;
  observe::Metrics& metrics_;
  TrafficCounts& traffic_;
  Options options_;
  ControlSelector selector_;
  std::string leader_;
  std::uint64_t next_correlation_ = 1;
  std::uint64_t awaited_correlation_ = 0;
  std::uint64_t crash_report_correlation_ = 0;
  std::uint64_t departure_correlation_ = 0;
  std::optional<wire::SyncReply> reply_;
  // Whether the awaited request was dropped for lack of a connection.
  bool undelivered_ = false;
  // The epoch until the first reply with a current view.
  support::TimePoint current_as_of_;
  // Whether the last sync returned a current view.
  bool synchronised_ = false;
  bool sync_requested_ = false;
  // Timers for the reply and for the next sync.
  stream::asio::steady_timer reply_timer_;
  stream::asio::steady_timer interval_timer_;
  // Declared last, so that its thread ends before the members that it posts to
  // are destroyed.
  wire::Transport transport_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_CONTROL_LINK_H_
