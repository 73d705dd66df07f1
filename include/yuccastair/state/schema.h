// The keys of the settings tree: type, unit, range, default and description.

#ifndef YUCCASTAIR_STATE_SCHEMA_H_
#define YUCCASTAIR_STATE_SCHEMA_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace yuccastair::state {

/// Numbers of the settings keys. They are part of the log and of messages, so
/// a number is never reused.
enum SettingNumber : std::uint32_t {
  kDeadlineMs = 1,
  kAttempts = 2,
  kImportance = 3,
  kIdempotent = 4,
  kOpen = 5,
  kLimitInitial = 6,
  kLimitMin = 7,
  kLimitMax = 8,
  kQueueMax = 9,
  kQueueTimeoutMs = 10,
  kColdInitialLimit = 11,
  kColdRampMs = 12,
  kRetryShare = 13,
  kEjectMaxShare = 14,
  kZonePrefer = 15,
};

inline constexpr std::size_t kSettingCount = 15;

/// Shares are kept as whole millionths, so that every process computes with
/// the same value.
inline constexpr std::int64_t kShareUnit = 1'000'000;

enum class SettingType { kInteger, kShare, kBoolean, kImportance, kIdempotent };

/// Values of the key `idempotent`.
enum class Idempotence : std::int64_t { kNo = 0, kYes = 1, kByMethod = 2 };

struct SettingKey {
  SettingNumber number;
  const char* name;
  SettingType type;
  const char* unit;
  std::int64_t min;
  std::int64_t max;
  std::int64_t fallback;
  const char* description;
};

/// Returns all keys, ordered by number without gaps from 1 on.
const std::array<SettingKey, kSettingCount>& SettingKeys();

/// Returns the key of that name or number, or null.
const SettingKey* FindSettingKey(std::string_view name);
const SettingKey* FindSettingKey(std::uint32_t number);

/// Returns the name nearest to an unknown one.
std::string NearestSettingName(std::string_view name);

/// Parses a value; returns nothing if it is of another type or out of range.
std::optional<std::int64_t> ParseSetting(const SettingKey& key,
                                         std::string_view text);

/// As above, from a number of JSON or TOML. Shares are read from it; any other
/// type refuses a number with a fraction or exponent.
std::optional<std::int64_t> ParseSetting(const SettingKey& key, double number);

/// Returns whether a stored value is allowed for the key.
bool IsAllowed(const SettingKey& key, std::int64_t value);

std::string FormatSetting(const SettingKey& key, std::int64_t value);

/// Describes the allowed values: "a whole number from 1 to 64".
std::string DescribeAllowed(const SettingKey& key);

}  // namespace yuccastair::state

#endif  // YUCCASTAIR_STATE_SCHEMA_H_
