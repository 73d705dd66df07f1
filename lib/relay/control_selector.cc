// Orders control processes and times the return to the first choice.

#include "control_selector.h"

#include <algorithm>
#include <utility>

#include "yuccastair/membership/control_order.h"

namespace yuccastair::relay {

using std::chrono::milliseconds;

ControlSelector::ControlSelector(const support::Clock& clock,
                                 std::string node_id,
                                 std::string local_zone,
                                 std::vector<std::string> seeds,
                                 Random random_below)
    : clock_(clock),
      node_id_(std::move(node_id)),
      local_zone_(std::move(local_zone)),
      random_below_(std::move(random_below)),
      seeds_(std::move(seeds)) {
  UpdateOrder();
}

// The seeds may be obsolete, but they are the only way to reconnect if all
// reported control processes have been replaced.
void ControlSelector::UpdateOrder() {
  const std::string used = addresses_.empty() ? "" : in_use();
  const std::string first = addresses_.empty() ? "" : addresses_.front();
  std::vector<std::string> local;
  std::vector<std::string> others;
  for (const ReportedControl& control : reported_) {
    const bool in_zone =
        !local_zone_.empty() && control.availability_zone == local_zone_;
    (in_zone ? local : others).push_back(control.address);
  }
  addresses_.clear();
  for (auto& group : {std::move(local), std::move(others), seeds_}) {
    for (std::string& address :
         membership::OrderControlsForNode(group, node_id_)) {
      if (std::find(addresses_.begin(), addresses_.end(), address) ==
          addresses_.end())
        addresses_.push_back(std::move(address));
    }
  }
  const auto found = std::find(addresses_.begin(), addresses_.end(), used);
  index_ = found == addresses_.end()
               ? 0
               : static_cast<std::size_t>(found - addresses_.begin());
  if (!addresses_.empty() && addresses_.front() != first) {
    return_at_.reset();
    return_delay_ = kFirstReturnDelay;
  }
}

std::string ControlSelector::ZoneOf(const std::string& address) const {
  for (const ReportedControl& control : reported_) {
    if (control.address == address)
      return control.availability_zone;
  }
  return "";
}

void ControlSelector::SetSeeds(std::vector<std::string> seeds) {
  seeds_ = std::move(seeds);
  UpdateOrder();
}

void ControlSelector::SetReported(std::vector<ReportedControl> reported,
                                  bool current) {
  if (!current) {
    for (const ReportedControl& known : reported_) {
      const auto same = [&](const ReportedControl& other) {
        return other.address == known.address;
      };
      const auto found = std::find_if(reported.begin(), reported.end(), same);
      if (found == reported.end())
        reported.push_back(known);
      else if (found->availability_zone.empty())
        found->availability_zone = known.availability_zone;
    }
  }
  if (reported.empty() || reported == reported_)
    return;
  reported_ = std::move(reported);
  UpdateOrder();
}

void ControlSelector::ScheduleReturn() {
  const auto bound = static_cast<std::uint32_t>(return_delay_.count());
  return_at_ = clock_.Now() + return_delay_ / 2 +
               milliseconds(random_below_(bound / 2 + 1));
}

void ControlSelector::OnSuccess() {
  failures_in_round_ = 0;
  if (index_ == 0 || reported_.empty())
    return_at_.reset();
  else if (!return_at_)
    ScheduleReturn();
}

bool ControlSelector::OnFailure() {
  // The seeds may have been replaced while the reply was awaited.
  if (addresses_.empty())
    return false;
  if (index_ == 0)
    return_delay_ = kReturnDelayAfterFailure;
  index_ = (index_ + 1) % addresses_.size();
  if (++failures_in_round_ < addresses_.size())
    return true;
  failures_in_round_ = 0;
  return false;
}

std::optional<std::string> ControlSelector::ReturnCandidate() const {
  if (index_ == 0 || !return_at_ || clock_.Now() < *return_at_)
    return std::nullopt;
  return addresses_.front();
}

void ControlSelector::OnReturnAttempt(const std::string& candidate,
                                      bool succeeded) {
  if (succeeded) {
    const auto found =
        std::find(addresses_.begin(), addresses_.end(), candidate);
    if (found != addresses_.end())
      index_ = static_cast<std::size_t>(found - addresses_.begin());
    OnSuccess();
    return;
  }
  return_delay_ = std::min(
      std::max(2 * return_delay_, kReturnDelayAfterFailure), kMaxReturnDelay);
  ScheduleReturn();
}

}  // namespace yuccastair::relay
