// Reports departures until they are recorded.

#include "departure_recorder.h"

#include <algorithm>
#include <utility>

#include "yuccastair/support/log.h"

namespace yuccastair::relay {
namespace {

using std::chrono::milliseconds;

// A report without a reply is repeated after this time. A commit takes some ms.
constexpr milliseconds kReportTimeout{100};
// Least time between two reports, for replies of processes that do not lead.
constexpr milliseconds kMinReportInterval{10};
// Processes of one target; more are restarts in quick succession.
constexpr std::size_t kMaxDepartures = 16;

}  // namespace

DepartureRecorder::DepartureRecorder(
    stream::asio::io_context& context,
    const support::Clock& clock,
    std::string node_id,
    std::function<void(const wire::DepartureReport&)> send)
    : context_(context),
      clock_(clock),
      node_id_(std::move(node_id)),
      send_(std::move(send)) {}

std::shared_ptr<DepartureRecorder::Departure> DepartureRecorder::Find(
    const TargetTracker::Process& process) {
  for (const auto& departure : departures_) {
    if (departure->process == process)
      return departure;
  }
  if (departures_.size() >= kMaxDepartures)
    departures_.pop_front();
  departures_.push_back(std::make_shared<Departure>(
      Departure{.process = process, .since = clock_.Now(), .waiting = {}}));
  return departures_.back();
}

bool DepartureRecorder::MayAcknowledge(const Departure& departure) const {
  return departure.recorded ||
         clock_.Now() - departure.since >= kMaxUnrecordedTime;
}

stream::Task<bool> DepartureRecorder::Record(TargetTracker::Process process) {
  const auto departure = Find(process);
  if (!MayAcknowledge(*departure)) {
    const auto timer = std::make_shared<stream::asio::steady_timer>(
        context_,
        std::min(clock_.Now() + kMaxWait,
                 departure->since + milliseconds(kMaxUnrecordedTime)));
    departure->waiting.push_back(timer);
    Tick();
    co_await timer->async_wait(stream::kAsTuple);
    departure->waiting.remove(timer);
  }
  if (!departure->recorded)
    support::LogWarning("target.departure_unrecorded",
                        {{"target", process.target_id},
                         {"started_ms", process.started_ms},
                         {"acknowledged", MayAcknowledge(*departure)}});
  co_return MayAcknowledge(*departure);
}

void DepartureRecorder::OnReply(const wire::DepartureReply& reply) {
  const auto departure = std::exchange(reported_, nullptr);
  if (!departure || !reply.held())
    return;
  departure->recorded = true;
  for (const auto& timer : departure->waiting)
    timer->cancel();
  // Reports the next one, if there is one.
  Tick();
}

void DepartureRecorder::Tick() {
  const support::TimePoint now = clock_.Now();
  if (now - reported_at_ < (reported_ ? kReportTimeout : kMinReportInterval))
    return;
  const auto next =
      std::find_if(departures_.begin(), departures_.end(),
                   [](const auto& departure) { return !departure->recorded; });
  if (next == departures_.end())
    return;
  reported_ = *next;
  reported_at_ = now;
  wire::DepartureReport report;
  report.set_node_id(node_id_);
  report.mutable_process()->set_target_id(reported_->process.target_id);
  report.mutable_process()->set_started_ms(reported_->process.started_ms);
  send_(report);
}

}  // namespace yuccastair::relay
