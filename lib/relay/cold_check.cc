// Asks the local target whether it is cold.

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "call_exchange.h"
#include "target_proxy.h"
#include "yuccastair/support/log.h"

namespace yuccastair::relay {
namespace {

using std::chrono::milliseconds;
using stream::Task;

constexpr milliseconds kCheckTimeout{500};
constexpr milliseconds kCheckPause{300};
constexpr std::size_t kMaxCheckBodyBytes = std::size_t{64} << 10;

/// Returns the number that makes up the whole of \p text.
std::optional<std::uint32_t> ParseWholeNumber(std::string_view text) {
  std::uint32_t number = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
    return std::nullopt;
  return number;
}

}  // namespace

void TargetProxy::StartColdCheck() {
  if (!tracker_.NeedsColdCheck() || health_path_.empty() ||
      std::exchange(checking_cold_time_, true))
    return;
  stream::asio::co_spawn(context_, CheckColdTime(), stream::asio::detached);
}

/// Asks until the target answers or the assumption that it is cold runs out.
Task<void> TargetProxy::CheckColdTime() {
  stream::asio::steady_timer timer(context_);
  while (tracker_.NeedsColdCheck()) {
    if (AcceptsCalls() && co_await AskColdTime()) {
      ApplyState();
      continue;
    }
    timer.expires_after(kCheckPause);
    co_await timer.async_wait(stream::kAsTuple);
  }
  checking_cold_time_ = false;
}

/// Returns whether the target has stated its cold time.
Task<bool> TargetProxy::AskColdTime() {
  const support::TimePoint asked_at = clock_.Now();
  const std::string target_id = tracker_.latest_announcement()->target_id;
  auto acquired = co_await pool_.Acquire(
      tracker_.latest_announcement()->address, asked_at + kCheckTimeout);
  if (!acquired.connection)
    co_return false;
  const auto connection = std::move(acquired.connection);
  stream::http::header<true> head;
  head.method(stream::http::verb::get);
  head.target(health_path_);
  head.set("Host", tracker_.latest_announcement()->address.ToString());
  stream::BodySource no_body;
  std::string ignored;
  co_await connection->Write(std::move(head), no_body);
  auto& reader = connection->reader();
  stream::ErrorCode error = co_await reader.ReadHead(kMaxResponseHeaderBytes);
  if (!error)
    error = co_await reader.ReadUpTo(ignored, kMaxCheckBodyBytes);
  const auto& answer = reader.head().base();
  const auto stated = answer[names_.cold_time];
  const auto cold_ms =
      error ? std::nullopt : ParseWholeNumber({stated.data(), stated.size()});
  const bool usable = cold_ms && answer.result_int() == 200 &&
                      answer[names_.target_id] == target_id;
  support::LogInfo("target.cold_checked",
                   {{"target", target_id},
                    {"error", error.message()},
                    {"status", error ? 0 : answer.result_int()},
                    {"cold_ms", std::string(stated)},
                    {"usable", usable}});
  if (error || !reader.is_done())
    connection->Close();
  else
    pool_.Release(connection, kDefaultMaxIdleTime);
  if (usable)
    tracker_.OnColdTimeChecked(milliseconds(*cold_ms), asked_at);
  co_return usable;
}

}  // namespace yuccastair::relay
