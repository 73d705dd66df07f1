// Orders the announcements of a target and derives its state.

#include "target_record.h"

#include <algorithm>

namespace yuccastair::relay {
namespace {

constexpr std::size_t kMaxPastIds = 64;
// Time for which a target that may have restarted is assumed to be cold.
// Targets announce themselves every 1 to 2 s, so the next announcement arrives
// earlier.
constexpr std::chrono::milliseconds kSuspicionHolds{4000};

}  // namespace

bool TargetRecord::IsOfPast(const Announcement& announcement) const {
  if (announcement.started_ms != 0 && latest_->started_ms != 0 &&
      announcement.started_ms != latest_->started_ms)
    return announcement.started_ms < latest_->started_ms;
  if (announcement.target_id != latest_->target_id)
    return std::find(past_ids_.begin(), past_ids_.end(),
                     announcement.target_id) != past_ids_.end();
  // A deregistration may carry no sequence number.
  if (announcement.state == AnnouncedState::kGone && announcement.sequence == 0)
    return false;
  return announcement.sequence <= latest_->sequence;
}

TargetRecord::Change TargetRecord::Apply(const Announcement& announcement) {
  const bool gone = announcement.state == AnnouncedState::kGone;
  if (latest_ && IsOfPast(announcement))
    return Change::kIgnored;
  const bool same = latest_ && latest_->target_id == announcement.target_id &&
                    (latest_->started_ms == announcement.started_ms ||
                     announcement.started_ms == 0);
  if (gone) {
    // The deregistration of a process that never announced itself affects no
    // known target.
    if (!same)
      return Change::kIgnored;
    if (latest_->state == AnnouncedState::kReady)
      leaving_since_ = clock_.Now();
    latest_->state = AnnouncedState::kGone;
    latest_->sequence = std::max(latest_->sequence, announcement.sequence);
    return Change::kUpdated;
  }
  // A deregistered process does not return.
  if (same && latest_->state == AnnouncedState::kGone)
    return Change::kIgnored;
  if (latest_ && latest_->target_id != announcement.target_id) {
    past_ids_.push_back(latest_->target_id);
    if (past_ids_.size() > kMaxPastIds)
      past_ids_.pop_front();
  }
  if (announcement.state == AnnouncedState::kDraining &&
      (!same || latest_->state == AnnouncedState::kReady))
    leaving_since_ = clock_.Now();
  const bool restarted = latest_.has_value() && !same;
  latest_ = announcement;
  incarnation_ = latest_->target_id + "/" + std::to_string(latest_->started_ms);
  received_at_ = clock_.Now();
  refused_ = false;
  maybe_restarted_ = false;
  return restarted ? Change::kRestarted : Change::kUpdated;
}

wire::TargetState TargetRecord::State() const {
  if (!latest_ || refused_)
    return wire::TARGET_STATE_DOWN;
  switch (latest_->state) {
    case AnnouncedState::kReady:
      return clock_.Now() < ColdUntil() ? wire::TARGET_STATE_COLD
                                        : wire::TARGET_STATE_UP;
    case AnnouncedState::kDraining:
      return wire::TARGET_STATE_DRAINING;
    case AnnouncedState::kGone:
      return wire::TARGET_STATE_LEAVING;
  }
  return wire::TARGET_STATE_DOWN;
}

bool TargetRecord::AcceptsRequests() const {
  if (!latest_ || refused_)
    return false;
  // Half of the drain time, so that requests that are queued or in transit
  // arrive before it ends.
  return latest_->state == AnnouncedState::kReady ||
         clock_.Now() < leaving_since_ + drain_time_ / 2;
}

support::TimePoint TargetRecord::ColdUntil() const {
  if (!latest_)
    return {};
  if (maybe_restarted_)
    return clock_.Now() + kSuspicionHolds;
  return received_at_ + latest_->cold_left;
}

}  // namespace yuccastair::relay
