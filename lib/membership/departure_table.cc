// Applies reports about targets that leave.

#include "yuccastair/membership/departure_table.h"

#include <iterator>
#include <utility>

#include "yuccastair/support/error.h"

namespace yuccastair::membership {

bool DepartureTable::IsValid(const wire::DepartureReport& report) {
  const std::string& target_id = report.process().target_id();
  return !report.node_id().empty() &&
         report.node_id().size() <= kMaxNameBytes && !target_id.empty() &&
         target_id.size() <= kMaxNameBytes;
}

bool DepartureTable::Covers(const wire::DepartureReport& report) const {
  const wire::TargetProcess* known = Find(report.node_id());
  if (known == nullptr)
    return false;
  const wire::TargetProcess& process = report.process();
  const bool same = known->target_id() == process.target_id() &&
                    known->started_ms() == process.started_ms();
  // A report that names an earlier process arrived late.
  return same || (process.started_ms() != 0 &&
                  process.started_ms() < known->started_ms());
}

std::string DepartureTable::Apply(std::uint64_t /*index*/,
                                  const std::string& command) {
  wire::DepartureReport report;
  if (!report.ParseFromString(command) || !IsValid(report) || Covers(report))
    return "";
  const auto known = departure_by_node_.find(report.node_id());
  if (known != departure_by_node_.end()) {
    departures_.erase(known->second);
  } else if (departures_.size() >= kMaxDepartures) {
    departure_by_node_.erase(departures_.front().node_id());
    departures_.pop_front();
  }
  const std::string node_id = report.node_id();
  departures_.push_back(std::move(report));
  departure_by_node_[node_id] = std::prev(departures_.end());
  return "";
}

const wire::TargetProcess* DepartureTable::Find(
    const std::string& node_id) const {
  const auto found = departure_by_node_.find(node_id);
  return found == departure_by_node_.end() ? nullptr
                                           : &found->second->process();
}

std::string DepartureTable::TakeSnapshot() const {
  wire::Departures snapshot;
  for (const wire::DepartureReport& departure : departures_)
    *snapshot.add_departures() = departure;
  return snapshot.SerializeAsString();
}

void DepartureTable::RestoreSnapshot(const std::string& snapshot) {
  wire::Departures parsed;
  if (!parsed.ParseFromString(snapshot))
    throw support::Error("restore snapshot", "",
                         "the snapshot of the departures cannot be decoded");
  departures_.clear();
  departure_by_node_.clear();
  for (wire::DepartureReport& departure : *parsed.mutable_departures()) {
    departures_.push_back(std::move(departure));
    departure_by_node_[departures_.back().node_id()] =
        std::prev(departures_.end());
  }
}

}  // namespace yuccastair::membership
