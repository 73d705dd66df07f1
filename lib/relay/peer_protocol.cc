// Encodes calls and outcomes as headers.

#include "peer_protocol.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace yuccastair::relay {
namespace {

namespace http = stream::http;
using std::chrono::milliseconds;

constexpr std::string_view kPrefix = "yc-";
constexpr const char* kRequestId = "yc-request";
constexpr const char* kService = "yc-service";
constexpr const char* kRoute = "yc-route";
constexpr const char* kOrganisation = "yc-organisation";
constexpr const char* kCaller = "yc-caller";
// deadline ms, queue ms, importance, depth, idempotent.
constexpr const char* kNumbers = "yc-call";
constexpr std::size_t kCallNumbers = 5;

constexpr const char* kReason = "yc-reason";
// outcome, status of the target, reached, retry after ms, running, queued,
// limit, state.
constexpr const char* kResult = "yc-result";
constexpr std::size_t kResultNumbers = 8;

template <std::size_t kCount>
std::string Join(const std::array<std::int64_t, kCount>& numbers) {
  std::string text;
  for (const std::int64_t number : numbers) {
    if (!text.empty())
      text += ',';
    text += std::to_string(number);
  }
  return text;
}

template <std::size_t kCount>
std::optional<std::array<std::int64_t, kCount>> Split(std::string_view text) {
  std::array<std::int64_t, kCount> numbers{};
  const char* at = text.data();
  const char* const end = text.data() + text.size();
  for (std::int64_t& number : numbers) {
    const auto parsed = std::from_chars(at, end, number);
    if (parsed.ec != std::errc())
      return std::nullopt;
    at = parsed.ptr;
    if (at != end)
      ++at;
  }
  return numbers;
}

std::string_view View(const stream::Fields& fields, const char* name) {
  const auto value = fields[name];
  return {value.data(), value.size()};
}

}  // namespace

void RemovePeerHeaders(stream::Fields& fields) {
  std::vector<std::string> names;
  for (const auto& field : fields) {
    const auto name = field.name_string();
    if (name.size() > kPrefix.size() &&
        stream::beast::iequals(name.substr(0, kPrefix.size()),
                               {kPrefix.data(), kPrefix.size()}))
      names.emplace_back(name);
  }
  for (const std::string& name : names)
    fields.erase(name);
}

http::header<true> EncodeCall(const RelayCall& call, support::TimePoint now) {
  http::header<true> head = call.head;
  head.set(kRequestId, call.request_id);
  head.set(kService, call.service);
  head.set(kRoute, call.route);
  head.set(kCaller, call.caller_service);
  if (!call.organisation.empty())
    head.set(kOrganisation, call.organisation);
  head.set(kNumbers,
           Join<kCallNumbers>({TimeLeft(call.deadline, now).count(),
                               TimeLeft(call.queue_until, now).count(),
                               call.importance, call.depth, call.idempotent}));
  return head;
}

bool DecodeCall(http::header<true> head,
                support::TimePoint now,
                RelayCall& call) {
  const auto numbers = Split<kCallNumbers>(View(head, kNumbers));
  call.request_id = View(head, kRequestId);
  call.service = View(head, kService);
  if (!numbers || call.request_id.empty() || call.service.empty())
    return false;
  const auto [deadline, queue, importance, depth, idempotent] = *numbers;
  if (!wire::Importance_IsValid(static_cast<int>(importance)))
    return false;
  call.route = View(head, kRoute);
  call.caller_service = View(head, kCaller);
  call.organisation = View(head, kOrganisation);
  call.deadline = now + milliseconds(deadline);
  call.queue_until = now + milliseconds(queue);
  call.importance = static_cast<wire::Importance>(importance);
  call.depth = static_cast<std::uint32_t>(depth);
  call.idempotent = idempotent != 0;
  RemovePeerHeaders(head);
  stream::RemoveHopByHop(head);
  call.head = std::move(head);
  return true;
}

http::header<false> EncodeResult(const CallResult& result) {
  http::header<false> head = result.head;
  if (result.outcome != wire::OUTCOME_OK)
    head.result(http::status::service_unavailable);
  const wire::LoadReport load = result.load.value_or(wire::LoadReport());
  head.set(kResult,
           Join<kResultNumbers>({result.outcome, head.result_int(),
                                 result.reached_target,
                                 result.retry_after.count(), load.running(),
                                 load.queued(), load.limit(), load.state()}));
  if (!result.reason.empty())
    head.set(kReason, result.reason);
  return head;
}

bool DecodeResult(http::header<false> head, CallResult& result) {
  const auto numbers = Split<kResultNumbers>(View(head, kResult));
  if (!numbers)
    return false;
  const auto [outcome, status, reached, retry_after, running, queued, limit,
              state] = *numbers;
  if (!wire::Outcome_IsValid(static_cast<int>(outcome)) ||
      !wire::TargetState_IsValid(static_cast<int>(state)) ||
      status != head.result_int())
    return false;
  result.outcome = static_cast<wire::Outcome>(outcome);
  result.reached_target = reached != 0;
  result.retry_after = milliseconds(retry_after);
  result.reason = View(head, kReason);
  wire::LoadReport load;
  load.set_running(static_cast<std::uint32_t>(running));
  load.set_queued(static_cast<std::uint32_t>(queued));
  load.set_limit(static_cast<std::uint32_t>(limit));
  load.set_state(static_cast<wire::TargetState>(state));
  result.load = load;
  RemovePeerHeaders(head);
  stream::RemoveHopByHop(head);
  result.head = std::move(head);
  return true;
}

}  // namespace yuccastair::relay
