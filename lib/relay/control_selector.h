// Chooses the control process that a relay syncs with.

#ifndef YUCCASTAIR_LIB_RELAY_CONTROL_SELECTOR_H_
#define YUCCASTAIR_LIB_RELAY_CONTROL_SELECTOR_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "yuccastair/support/clock.h"

namespace yuccastair::relay {

/// A control process as other control processes report it.
struct ReportedControl {
  std::string address;
  /// Empty if unknown.
  std::string availability_zone;

  bool operator==(const ReportedControl&) const = default;
};

/// Keeps one control process in use until it fails. The order of preference
/// starts with the control processes of the relay's own availability zone,
/// since syncs are frequent and traffic between zones is charged. Rendezvous
/// hashing spreads the relays over equal ones. After a failure, or at the start
/// with seeds, the relay returns to its first choice, at a random time so that
/// the relays of a fleet do not return together. Performs no I/O; not
/// thread-safe.
class ControlSelector {
 public:
  using Random = std::function<std::uint32_t(std::uint32_t bound)>;

  /// Maximum delay of the first attempt to use the first choice.
  static constexpr std::chrono::milliseconds kFirstReturnDelay{1000};
  /// The same after the first choice has failed; doubles with each attempt that
  /// fails, up to kMaxReturnDelay.
  static constexpr std::chrono::milliseconds kReturnDelayAfterFailure{4000};
  static constexpr std::chrono::milliseconds kMaxReturnDelay{60000};

  ControlSelector(const support::Clock& clock,
                  std::string node_id,
                  std::string local_zone,
                  std::vector<std::string> seeds,
                  Random random_below);

  bool empty() const { return addresses_.empty(); }
  std::size_t size() const { return addresses_.size(); }

  /// Returns the control process in use. There must be one.
  const std::string& in_use() const { return addresses_[index_]; }

  /// Returns the availability zone of a control process; empty if unknown.
  std::string ZoneOf(const std::string& address) const;

  /// Replaces the addresses that are known from the settings.
  void SetSeeds(std::vector<std::string> seeds);

  /// Updates the control processes that one of them has reported. A stale view
  /// may lack some of them, so it only adds addresses.
  void SetReported(std::vector<ReportedControl> reported, bool current);

  /// Records a sync with the control process in use that returned a current
  /// view.
  void OnSuccess();

  /// Switches to the next control process. Returns whether there is one that
  /// has not been tried in this round.
  bool OnFailure();

  /// Returns the first choice if it is not in use and an attempt to use it is
  /// due. Must be followed by OnReturnAttempt().
  std::optional<std::string> ReturnCandidate() const;

  /// Records whether \p candidate replied with a current view, and switches to
  /// it in that case.
  void OnReturnAttempt(const std::string& candidate, bool succeeded);

 private:
  void UpdateOrder();
  void ScheduleReturn();

  const support::Clock& clock_;
  const std::string node_id_;
  const std::string local_zone_;
  const Random random_below_;
  std::vector<std::string> seeds_;
  // Empty before the first sync.
  std::vector<ReportedControl> reported_;
  // In the order of preference: reported ones, then the other seeds.
  std::vector<std::string> addresses_;
  std::size_t index_ = 0;
  std::size_t failures_in_round_ = 0;
  // Set while the first choice is known, but not in use.
  std::optional<support::TimePoint> return_at_;
  std::chrono::milliseconds return_delay_ = kFirstReturnDelay;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_CONTROL_SELECTOR_H_
