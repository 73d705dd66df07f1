// Availability zones that operators have taken out of service.

#ifndef YUCCASTAIR_MEMBERSHIP_ZONE_ORDERS_H_
#define YUCCASTAIR_MEMBERSHIP_ZONE_ORDERS_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "yuccastair/support/clock.h"

namespace yuccastair::membership {

/// How the targets of an availability zone may be used.
enum class ZoneUse {
  kInService,
  /// Taken out of service recently: its targets take the calls that no other
  /// target has room for.
  kRetiring,
  /// Out of service: its targets get no new calls.
  kOut,
};

/// Decides how zones that operators have taken out of service may be used.
///
/// A zone retires for kRetirementTime, counted from the earliest time at which
/// the order can have been accepted. So an order that is learnt late is in
/// force no later than elsewhere, and one of unknown age is in force at once.
class ZoneOrders {
 public:
  /// Leaves time for calls that are already queued or in transit.
  static constexpr std::chrono::milliseconds kRetirementTime{3000};

  /// The zones that are out of service, each with the earliest time at which
  /// the order can have been accepted; nothing if that is unknown.
  using OutSince = std::map<std::string, std::optional<support::TimePoint>>;

  /// \p clock must also run while the instance is suspended.
  explicit ZoneOrders(const support::Clock& clock) : clock_(clock) {}

  /// Replaces the zones that are out of service.
  void Set(OutSince out_since) { out_since_ = std::move(out_since); }

  ZoneUse UseOf(const std::string& zone) const;
  /// Returns the zones that may be used as \p use says; not for kInService.
  std::set<std::string> ZonesIn(ZoneUse use) const;
  /// Returns the longest time for which \p zone can have been out of service;
  /// nothing if it is unknown or the zone is in service.
  std::optional<support::Duration> MaxAge(const std::string& zone) const;
  /// Returns the time for which \p zone still retires; nothing unless it does.
  std::optional<support::Duration> RetirementLeft(
      const std::string& zone) const;

 private:
  const support::Clock& clock_;
  OutSince out_since_;
};

/// Dates the orders that a control process learns from the replicated log.
class ZoneOrderDates {
 public:
  /// Records the zones that the applied log takes out of service. The log is
  /// known to hold everything that was accepted before \p current_as_of;
  /// nothing if that is unknown.
  void Update(const std::set<std::string>& zones_out,
              std::optional<support::TimePoint> current_as_of);

  const ZoneOrders::OutSince& out_since() const { return out_since_; }

 private:
  // When the zones that are not in out_since_ were last known to be in service.
  std::optional<support::TimePoint> in_service_as_of_;
  ZoneOrders::OutSince out_since_;
};

}  // namespace yuccastair::membership

#endif  // YUCCASTAIR_MEMBERSHIP_ZONE_ORDERS_H_
