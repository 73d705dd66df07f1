// Orders the announcements of a target and derives its state.

#include "target_tracker.h"

#include <algorithm>

namespace yuccastair::relay {
namespace {

constexpr std::size_t kMaxPreviousTargetIds = 64;
constexpr std::size_t kMaxDeregisteredProcesses = 64;
// Time for which a target that may have restarted is assumed to be cold.
// Targets announce themselves every 1 to 2 s, so a new process does so earlier.
constexpr std::chrono::milliseconds kSuspectedRestartColdTime{4000};

std::string IncarnationOf(const Announcement& announcement) {
  return announcement.target_id + "/" + std::to_string(announcement.started_ms);
}

}  // namespace

bool TargetTracker::IsStale(const Announcement& announcement) const {
  if (announcement.started_ms != 0 && latest_announcement_->started_ms != 0 &&
      announcement.started_ms != latest_announcement_->started_ms)
    return announcement.started_ms < latest_announcement_->started_ms;
  if (announcement.target_id != latest_announcement_->target_id)
    return std::find(previous_target_ids_.begin(), previous_target_ids_.end(),
                     announcement.target_id) != previous_target_ids_.end();
  // A deregistration may carry no sequence number.
  if (announcement.state == AnnouncedState::kDeregistered &&
      announcement.sequence == 0)
    return false;
  return announcement.sequence <= latest_announcement_->sequence;
}

bool TargetTracker::MatchDeregistration(const Announcement& announcement) {
  for (Process& process : deregistered_processes_) {
    if (process.target_id != announcement.target_id)
      continue;
    // An id alone may belong to several processes, one after the other; the
    // first to announce itself has deregistered.
    if (process.started_ms == 0)
      process.started_ms = announcement.started_ms;
    if (announcement.started_ms <= process.started_ms)
      return true;
  }
  return false;
}

void TargetTracker::RememberDeregistration(const Announcement& announcement) {
  if (MatchDeregistration(announcement))
    return;
  deregistered_processes_.push_back(
      {announcement.target_id, announcement.started_ms});
  if (deregistered_processes_.size() > kMaxDeregisteredProcesses)
    deregistered_processes_.pop_front();
}

TargetTracker::AnnouncementEffect TargetTracker::ApplyDeregistration(
    const Announcement& announcement,
    support::Duration age,
    bool from_known_process) {
  if (!from_known_process) {
    RememberDeregistration(announcement);
    if (!latest_announcement_ ||
        latest_announcement_->target_id != announcement.target_id)
      return AnnouncementEffect::kIgnored;
    // A later process with the id of the known one has replaced it.
    latest_announcement_->started_ms = announcement.started_ms;
    incarnation_ = IncarnationOf(*latest_announcement_);
  }
  if (latest_announcement_->state == AnnouncedState::kReady)
    leaving_since_ = clock_.Now() - age;
  latest_announcement_->state = AnnouncedState::kDeregistered;
  latest_announcement_->sequence =
      std::max(latest_announcement_->sequence, announcement.sequence);
  return AnnouncementEffect::kUpdated;
}

TargetTracker::AnnouncementEffect TargetTracker::Apply(
    const Announcement& announcement,
    support::Duration age) {
  if (latest_announcement_ && IsStale(announcement))
    return AnnouncementEffect::kIgnored;
  const bool same =
      latest_announcement_ &&
      latest_announcement_->target_id == announcement.target_id &&
      (latest_announcement_->started_ms == announcement.started_ms ||
       announcement.started_ms == 0);
  if (announcement.state == AnnouncedState::kDeregistered)
    return ApplyDeregistration(announcement, age, same);
  // A deregistered process does not return.
  if ((same && latest_announcement_->state == AnnouncedState::kDeregistered) ||
      MatchDeregistration(announcement))
    return AnnouncementEffect::kIgnored;
  if (latest_announcement_ &&
      latest_announcement_->target_id != announcement.target_id) {
    previous_target_ids_.push_back(latest_announcement_->target_id);
    if (previous_target_ids_.size() > kMaxPreviousTargetIds)
      previous_target_ids_.pop_front();
  }
  if (announcement.state == AnnouncedState::kDraining && !same) {
    // It may have been draining for long.
    leaving_since_ = clock_.Now() - drain_time_;
  } else if (announcement.state == AnnouncedState::kDraining &&
             latest_announcement_->state == AnnouncedState::kReady) {
    leaving_since_ = clock_.Now() - age;
  }
  const bool restarted = latest_announcement_.has_value() && !same;
  latest_announcement_ = announcement;
  incarnation_ = IncarnationOf(*latest_announcement_);
  received_at_ = clock_.Now();
  connection_refused_ = false;
  return restarted ? AnnouncementEffect::kRestarted
                   : AnnouncementEffect::kUpdated;
}

std::optional<TargetTracker::Process> TargetTracker::DepartingProcess() const {
  if (latest_announcement_ &&
      latest_announcement_->state != AnnouncedState::kReady)
    return Process{latest_announcement_->target_id,
                   latest_announcement_->started_ms};
  if (!deregistered_processes_.empty())
    return deregistered_processes_.back();
  return std::nullopt;
}

wire::TargetState TargetTracker::State() const {
  if (!latest_announcement_ || connection_refused_)
    return wire::TARGET_STATE_DOWN;
  switch (latest_announcement_->state) {
    case AnnouncedState::kReady:
      return clock_.Now() < ColdUntil() ? wire::TARGET_STATE_COLD
                                        : wire::TARGET_STATE_UP;
    case AnnouncedState::kDraining:
      return wire::TARGET_STATE_DRAINING;
    case AnnouncedState::kDeregistered:
      return wire::TARGET_STATE_LEAVING;
  }
  return wire::TARGET_STATE_DOWN;
}

bool TargetTracker::AcceptsRequests() const {
  if (!latest_announcement_ || connection_refused_)
    return false;
  // Half of the drain time, so that requests that are queued or in transit
  // arrive before it ends.
  return latest_announcement_->state == AnnouncedState::kReady ||
         clock_.Now() < leaving_since_ + drain_time_ / 2;
}

support::TimePoint TargetTracker::ColdUntil() const {
  if (!latest_announcement_)
    return {};
  return std::max({cold_assumed_until_, checked_cold_until_,
                   received_at_ + latest_announcement_->remaining_cold_time});
}

void TargetTracker::OnSuspectedRestart() {
  AssumeCold(kSuspectedRestartColdTime);
}

void TargetTracker::AssumeCold(std::chrono::milliseconds time) {
  cold_assumed_at_ = clock_.Now();
  cold_assumed_until_ = std::max(cold_assumed_until_, cold_assumed_at_ + time);
}

void TargetTracker::OnColdTimeChecked(std::chrono::milliseconds remaining,
                                      support::TimePoint asked_at) {
  if (asked_at < cold_assumed_at_)
    return;
  cold_assumed_until_ = {};
  checked_cold_until_ = clock_.Now() + remaining;
}

}  // namespace yuccastair::relay
