// The queue of calls that wait for a free slot at the target.

#ifndef YUCCASTAIR_ADMISSION_CALL_QUEUE_H_
#define YUCCASTAIR_ADMISSION_CALL_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "call.pb.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::admission {

/// The properties of a call that admission uses.
struct Call {
  /// Chosen by the user of Admission; unique among its queued and running
  /// calls.
  std::uint64_t id = 0;
  std::string organisation;
  std::string route;
  wire::Importance importance = wire::IMPORTANCE_NORMAL;
  /// Order among calls of one importance: the rank of the route of the caller's
  /// request; 0 goes first.
  std::uint32_t rank = 0;
  /// 1 for a caller's request; greater for calls made by targets, which are
  /// work in progress.
  std::uint32_t depth = 1;
  /// The time at which the caller's request began.
  support::TimePoint requested_at;
  support::TimePoint deadline;
  /// The call is rejected if it is still queued at this time.
  support::TimePoint queue_until = support::TimePoint::max();
};

/// Orders calls by importance, then rank, then work in progress before new
/// work, then fairly across organisations. Within one organisation the calls of
/// older requests go first, then deeper calls and earlier deadlines: if a call
/// of a request is rejected, the work of its earlier calls is wasted. Without
/// the rank, a route whose calls are deeper or have earlier deadlines would
/// displace a more urgent route of the same organisation.
///
/// Fairness is start-time fair queueing within each band of importance, rank
/// and progress: an organisation's next call is tagged with the later of the
/// band's virtual time and the finish of its previous call, and the lowest tag
/// goes first. Calls that start without queueing are charged as well.
class CallQueue {
 public:
  /// Adds a call that waits from \p now on.
  void Push(const Call& call, support::TimePoint now);

  /// Charges a call that starts without queueing to its organisation.
  void Charge(const Call& call);

  /// Removes and returns the next call; nothing if the queue is empty.
  std::optional<Call> Pop();

  /// Removes and returns the next call that is a caller's request; nothing if
  /// only work in progress is queued.
  std::optional<Call> PopNewWork();

  /// Removes and returns a call of the lowest occupied band in favour of
  /// \p arrival, for use when the queue is full. The call belongs to the
  /// organisation with the most queued calls in that band. Returns nothing, and
  /// changes nothing, if the arrival's band is lower, or if it is the same band
  /// and the arrival's organisation would then have as many calls queued.
  std::optional<Call> DisplaceFor(const Call& arrival);

  /// Removes and returns a call; nothing if it is not queued.
  std::optional<Call> Remove(std::uint64_t id);

  /// Removes and returns the calls queued at or before \p enqueued_until.
  std::vector<Call> TakeOlderThan(support::TimePoint enqueued_until);

  /// Removes and returns the calls of every band for which \p expired is true.
  template <typename Predicate>
  std::vector<Call> TakeIf(Predicate expired) {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, entry] : entries_) {
      if (expired(entry.call))
        ids.push_back(id);
    }
    std::vector<Call> taken;
    taken.reserve(ids.size());
    for (const std::uint64_t id : ids)
      taken.push_back(*Remove(id));
    return taken;
  }

  std::size_t size() const { return entries_.size(); }

 private:
  // Order within one organisation: oldest request (work in progress only),
  // deepest call (the depth is negated), earliest deadline, first arrival.
  using OrderKey = std::tuple<support::TimePoint,
                              std::int64_t,
                              support::TimePoint,
                              std::uint64_t>;

  struct Entry {
    Call call;
    OrderKey key;
    support::TimePoint enqueued_at;
    std::uint64_t sequence = 0;
  };

  struct OrganisationQueue {
    // Call ids in scheduling order.
    std::map<OrderKey, std::uint64_t> calls;
    // Virtual finish time of the previous call.
    std::uint64_t finish_tag = 0;
    // Virtual start time of the next call; listed in Band::by_start_tag while
    // `calls` is not empty.
    std::uint64_t start_tag = 0;
  };

  struct Band {
    std::unordered_map<std::string, OrganisationQueue> organisations;
    // Organisations with queued calls, by the start tag of their next call.
    std::set<std::pair<std::uint64_t, std::string>> by_start_tag;
    std::uint64_t virtual_time = 0;
    std::size_t size = 0;
  };

  static constexpr std::size_t kImportanceCount = 4;
  /// Number of distinct ranks; higher ones count as the last.
  static constexpr std::size_t kRankCount = 4;
  static constexpr std::size_t kBandCount = kImportanceCount * kRankCount * 2;

  static std::size_t BandIndex(const Call& call);
  std::optional<Call> PopFrom(Band& band);
  static void ChargeStart(Band& band, OrganisationQueue& organisation);
  static void EvictIdleOrganisations(Band& band);
  void EraseFromBand(std::size_t band,
                     const std::string& organisation,
                     OrderKey key);

  std::array<Band, kBandCount> bands_;
  std::unordered_map<std::uint64_t, Entry> entries_;
  // Queued call ids by arrival sequence number.
  std::map<std::uint64_t, std::uint64_t> arrivals_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace yuccastair::admission

#endif  // YUCCASTAIR_ADMISSION_CALL_QUEUE_H_
