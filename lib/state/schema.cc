// The table of settings keys, and the text form of their values.

#include "yuccastair/state/schema.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "yuccastair/support/edit_distance.h"

namespace yuccastair::state {
namespace {

constexpr std::array<const char*, 4> kImportanceNames = {"critical", "high",
                                                         "normal", "low"};
constexpr std::array<const char*, 3> kIdempotentNames = {"false", "true",
                                                         "by-method"};
constexpr int kShareDigits = 6;
// In millionths: far above the rounding of a double, far below one unit.
constexpr double kShareTolerance = 1e-3;

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

/// Parses "0.25" exactly; more than six decimal places are refused.
std::optional<std::int64_t> ParseShare(std::string_view text) {
  const std::size_t point = std::min(text.find('.'), text.size());
  std::string digits(text.substr(0, point));
  std::string fraction;
  if (point < text.size())
    fraction = text.substr(point + 1);
  if (digits.empty() || fraction.size() > kShareDigits ||
      (point < text.size() && fraction.empty()))
    return std::nullopt;
  fraction.resize(kShareDigits, '0');
  digits += fraction;
  const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
  if (!std::all_of(digits.begin(), digits.end(), is_digit))
    return std::nullopt;
  return ParseInteger(digits);
}

template <std::size_t N>
std::optional<std::int64_t> ParseChoice(const std::array<const char*, N>& names,
                                        std::string_view text) {
  const auto found = std::find(names.begin(), names.end(), text);
  if (found == names.end())
    return std::nullopt;
  return found - names.begin();
}

std::optional<std::int64_t> ParseType(SettingType type, std::string_view text) {
  switch (type) {
    case SettingType::kInteger:
      return ParseInteger(text);
    case SettingType::kShare:
      return ParseShare(text);
    case SettingType::kBoolean:
      if (text == "true" || text == "false")
        return text == "true" ? 1 : 0;
      return std::nullopt;
    case SettingType::kImportance:
      return ParseChoice(kImportanceNames, text);
    case SettingType::kIdempotent:
      return ParseChoice(kIdempotentNames, text);
  }
  return std::nullopt;
}

}  // namespace

const std::array<SettingKey, kSettingCount>& SettingKeys() {
  using Type = SettingType;
  static constexpr std::array<SettingKey, kSettingCount> kKeys = {{
      {kDeadlineMs, "deadline_ms", Type::kInteger, "ms", 1, 600'000, 5000,
       "time that a request may take from its entry node on"},
      {kAttempts, "attempts", Type::kInteger, "attempts", 1, 64, 6,
       "attempt budget of a request and of everything below it"},
      {kImportance, "importance", Type::kImportance, "", 0, 3, 2,
       "order in which requests are shed: low first, critical last"},
      {kIdempotent, "idempotent", Type::kIdempotent, "", 0, 2, 2,
       "whether a request may run more than once; by-method: GET, HEAD and "
       "OPTIONS may"},
      {kOpen, "open", Type::kBoolean, "", 0, 1, 0,
       "whether requests need no key"},
      {kLimitInitial, "limit.initial", Type::kInteger, "requests", 1, 100'000,
       32, "concurrency limit of a target at the start"},
      {kLimitMin, "limit.min", Type::kInteger, "requests", 1, 100'000, 1,
       "lower bound of the adaptive concurrency limit"},
      {kLimitMax, "limit.max", Type::kInteger, "requests", 1, 100'000, 1000,
       "upper bound of the adaptive concurrency limit"},
      {kQueueMax, "queue.max", Type::kInteger, "requests", 0, 100'000, 128,
       "requests that may wait at a target's node"},
      {kQueueTimeoutMs, "queue.timeout_ms", Type::kInteger, "ms", 0, 600'000,
       500, "longest wait of a request in that queue"},
      {kColdInitialLimit, "cold.initial_limit", Type::kInteger, "requests", 1,
       100'000, 2, "concurrency limit of a cold target at first"},
      {kColdRampMs, "cold.ramp_ms", Type::kInteger, "ms", 0, 3'600'000, 10'000,
       "time in which a cold target's limit rises to limit.initial"},
      {kRetryShare, "retry.share", Type::kShare, "share of first attempts", 0,
       kShareUnit, 100'000, "retries allowed per node and service"},
      {kEjectMaxShare, "eject.max_share", Type::kShare, "share of targets", 0,
       kShareUnit, 300'000, "targets of a service that may be ejected at once"},
      {kZonePrefer, "zone.prefer", Type::kBoolean, "", 0, 1, 1,
       "whether targets of the node's own availability zone are preferred"},
  }};
  return kKeys;
}

const SettingKey* FindSettingKey(std::string_view name) {
  for (const SettingKey& key : SettingKeys()) {
    if (key.name == name)
      return &key;
  }
  return nullptr;
}

const SettingKey* FindSettingKey(std::uint32_t number) {
  if (number < 1 || number > kSettingCount)
    return nullptr;
  return &SettingKeys()[number - 1];
}

std::string NearestSettingName(std::string_view name) {
  // A long name is cut, so that the cost stays small for any input.
  name = name.substr(0, 64);
  const auto& keys = SettingKeys();
  return std::min_element(keys.begin(), keys.end(),
                          [&](const SettingKey& a, const SettingKey& b) {
                            return support::EditDistance(name, a.name) <
                                   support::EditDistance(name, b.name);
                          })
      ->name;
}

std::optional<std::int64_t> ParseSetting(const SettingKey& key, double number) {
  if (key.type != SettingType::kShare || !(number >= 0 && number <= 1))
    return std::nullopt;
  const double units = number * static_cast<double>(kShareUnit);
  const std::int64_t value = std::llround(units);
  if (std::fabs(units - static_cast<double>(value)) > kShareTolerance ||
      !IsAllowed(key, value))
    return std::nullopt;
  return value;
}

bool IsAllowed(const SettingKey& key, std::int64_t value) {
  return value >= key.min && value <= key.max;
}

std::optional<std::int64_t> ParseSetting(const SettingKey& key,
                                         std::string_view text) {
  const auto value = ParseType(key.type, text);
  if (!value || !IsAllowed(key, *value))
    return std::nullopt;
  return value;
}

std::string FormatSetting(const SettingKey& key, std::int64_t value) {
  switch (key.type) {
    case SettingType::kInteger:
      return std::to_string(value);
    case SettingType::kShare: {
      std::string fraction = std::to_string(value % kShareUnit);
      fraction.insert(0, kShareDigits - fraction.size(), '0');
      fraction.erase(fraction.find_last_not_of('0') + 1);
      return std::to_string(value / kShareUnit) + "." +
             (fraction.empty() ? "0" : fraction);
    }
    case SettingType::kBoolean:
      return value != 0 ? "true" : "false";
    case SettingType::kImportance:
      return kImportanceNames.at(static_cast<std::size_t>(value));
    case SettingType::kIdempotent:
      return kIdempotentNames.at(static_cast<std::size_t>(value));
  }
  return "";
}

std::string DescribeAllowed(const SettingKey& key) {
  const std::string range = " from " + FormatSetting(key, key.min) + " to " +
                            FormatSetting(key, key.max);
  switch (key.type) {
    case SettingType::kInteger:
      return "a whole number" + range;
    case SettingType::kShare:
      return "a number" + range + " with at most six decimal places";
    case SettingType::kBoolean:
      return "true or false";
    case SettingType::kImportance:
      return "critical, high, normal or low";
    case SettingType::kIdempotent:
      return "true, false or by-method";
  }
  return "";
}

}  // namespace yuccastair::state
