// Start-time fair queueing in bands of importance.

#include "yuccastair/admission/call_queue.h"

#include <algorithm>
#include <iterator>

namespace yuccastair::admission {
namespace {

// Organisations without queued calls are kept, because they are still charged
// for their previous calls. Above this number those whose finish tag is at most
// one call ahead of the virtual time are evicted.
constexpr std::size_t kMaxIdleOrganisations = 256;

}  // namespace

std::size_t CallQueue::BandIndex(const Call& call) {
  const auto importance = std::clamp<int>(
      call.importance, wire::IMPORTANCE_CRITICAL, wire::IMPORTANCE_LOW);
  const std::size_t rank = std::min<std::size_t>(call.rank, kRankCount - 1);
  return (static_cast<std::size_t>(importance) * kRankCount + rank) * 2 +
         (call.depth > 1 ? 0 : 1);
}

void CallQueue::Push(const Call& call, support::TimePoint now) {
  const std::size_t index = BandIndex(call);
  Band& band = bands_[index];
  OrganisationQueue& organisation = band.organisations[call.organisation];
  const std::uint64_t sequence = next_sequence_++;
  const support::TimePoint request_started_at =
      call.depth > 1 ? call.requested_at : support::TimePoint();
  const OrderKey key{request_started_at, -static_cast<std::int64_t>(call.depth),
                     call.deadline, sequence};
  if (organisation.calls.empty()) {
    organisation.start_tag =
        std::max(band.virtual_time, organisation.finish_tag);
    band.by_start_tag.emplace(organisation.start_tag, call.organisation);
  }
  organisation.calls.emplace(key, call.id);
  ++band.size;
  arrivals_.emplace(sequence, call.id);
  entries_.emplace(call.id, Entry{call, key, now, sequence});
}

void CallQueue::Charge(const Call& call) {
  Band& band = bands_[BandIndex(call)];
  OrganisationQueue& organisation = band.organisations[call.organisation];
  if (organisation.calls.empty())
    organisation.start_tag =
        std::max(band.virtual_time, organisation.finish_tag);
  ChargeStart(band, organisation);
  EvictIdleOrganisations(band);
}

void CallQueue::ChargeStart(Band& band, OrganisationQueue& organisation) {
  band.virtual_time = std::max(band.virtual_time, organisation.start_tag);
  organisation.finish_tag = organisation.start_tag + 1;
}

void CallQueue::EvictIdleOrganisations(Band& band) {
  if (band.organisations.size() <= kMaxIdleOrganisations)
    return;
  for (auto it = band.organisations.begin(); it != band.organisations.end();) {
    const bool evictable = it->second.calls.empty() &&
                           it->second.finish_tag <= band.virtual_time + 1;
    it = evictable ? band.organisations.erase(it) : std::next(it);
  }
}

std::optional<Call> CallQueue::Pop() {
  const auto band = std::find_if(bands_.begin(), bands_.end(),
                                 [](const Band& b) { return b.size > 0; });
  if (band == bands_.end())
    return std::nullopt;
  return PopFrom(*band);
}

std::optional<Call> CallQueue::PopNewWork() {
  // Bands of work in progress (even) and of new work (odd) alternate.
  for (std::size_t index = 1; index < kBandCount; index += 2) {
    if (bands_[index].size > 0)
      return PopFrom(bands_[index]);
  }
  return std::nullopt;
}

std::optional<Call> CallQueue::PopFrom(Band& band) {
  const auto [start_tag, name] = *band.by_start_tag.begin();
  OrganisationQueue& organisation = band.organisations[name];
  ChargeStart(band, organisation);
  const std::uint64_t id = organisation.calls.begin()->second;
  std::optional<Call> call = Remove(id);
  EvictIdleOrganisations(band);
  return call;
}

std::optional<Call> CallQueue::Remove(std::uint64_t id) {
  const auto found = entries_.find(id);
  if (found == entries_.end())
    return std::nullopt;
  Call call = std::move(found->second.call);
  EraseFromBand(BandIndex(call), call.organisation, found->second.key);
  arrivals_.erase(found->second.sequence);
  entries_.erase(found);
  return call;
}

void CallQueue::EraseFromBand(std::size_t index,
                              const std::string& name,
                              OrderKey key) {
  Band& band = bands_[index];
  OrganisationQueue& organisation = band.organisations[name];
  organisation.calls.erase(key);
  --band.size;
  // The start tag changes only if a call of the organisation has just started.
  const std::uint64_t start_tag =
      std::max(organisation.start_tag, organisation.finish_tag);
  if (!organisation.calls.empty() && start_tag == organisation.start_tag)
    return;
  band.by_start_tag.erase({organisation.start_tag, name});
  organisation.start_tag = start_tag;
  if (!organisation.calls.empty())
    band.by_start_tag.emplace(start_tag, name);
}

std::optional<Call> CallQueue::DisplaceFor(const Call& arrival) {
  const std::size_t arrival_band = BandIndex(arrival);
  std::size_t lowest = kBandCount;
  while (lowest > 0 && bands_[lowest - 1].size == 0)
    --lowest;
  if (lowest == 0 || lowest - 1 < arrival_band)
    return std::nullopt;
  Band& band = bands_[--lowest];
  const OrganisationQueue* longest = nullptr;
  for (const auto& [start_tag, name] : band.by_start_tag) {
    const OrganisationQueue& candidate = band.organisations[name];
    if (longest == nullptr || candidate.calls.size() > longest->calls.size())
      longest = &candidate;
  }
  if (lowest == arrival_band) {
    const auto own_queue = band.organisations.find(arrival.organisation);
    const std::size_t queued = own_queue == band.organisations.end()
                                   ? 0
                                   : own_queue->second.calls.size();
    if (queued + 1 >= longest->calls.size())
      return std::nullopt;
  }
  return Remove(longest->calls.rbegin()->second);
}

std::vector<Call> CallQueue::TakeOlderThan(support::TimePoint enqueued_until) {
  std::vector<Call> taken;
  while (!arrivals_.empty()) {
    const std::uint64_t id = arrivals_.begin()->second;
    if (entries_.at(id).enqueued_at > enqueued_until)
      break;
    taken.push_back(*Remove(id));
  }
  return taken;
}

}  // namespace yuccastair::admission
