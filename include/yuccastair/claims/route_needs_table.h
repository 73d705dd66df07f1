// The replicated table of the services that the requests of routes need.

#ifndef YUCCASTAIR_CLAIMS_ROUTE_NEEDS_TABLE_H_
#define YUCCASTAIR_CLAIMS_ROUTE_NEEDS_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "claims.pb.h"
#include "yuccastair/consensus/state_machine.h"

namespace yuccastair::claims {

/// The table TABLE_ROUTE_NEEDS of the replicated log. A command is a
/// wire::RouteNeedCommand; it has no result.
///
/// Holds one service for each route: the last one without targets because of
/// which its requests failed. Relays that have just started know by it which
/// requests not to start.
class RouteNeedsTable final : public consensus::StateMachine {
 public:
  /// Must be equal on all control processes. A route beyond them is not kept:
  /// relays learn its need by its requests.
  static constexpr std::size_t kMaxRoutes = 2048;
  static constexpr std::size_t kMaxNameBytes = 256;

  std::string Apply(std::uint64_t index, const std::string& command) override;
  std::string TakeSnapshot() const override;

  /// Throws Error with step "restore snapshot" if the snapshot is damaged.
  void RestoreSnapshot(const std::string& snapshot) override;

  /// Returns whether a command with \p need would change the table.
  bool WouldChange(const wire::RouteNeed& need) const;

  void FillList(wire::RouteNeeds& list) const;
  std::uint64_t version() const { return version_; }

 private:
  std::uint64_t version_ = 0;
  std::map<std::string, std::string> services_by_route_;
};

}  // namespace yuccastair::claims

#endif  // YUCCASTAIR_CLAIMS_ROUTE_NEEDS_TABLE_H_
