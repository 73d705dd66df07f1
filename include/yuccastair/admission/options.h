// Options of admission, read from the settings tree at run time.

#ifndef YUCCASTAIR_ADMISSION_OPTIONS_H_
#define YUCCASTAIR_ADMISSION_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace yuccastair::admission {

/// Bounds of the adaptive concurrency limit (`limit.*`).
struct LimitOptions {
  std::uint32_t initial = 32;
  std::uint32_t min = 4;
  std::uint32_t max = 1024;
};

/// Bounds of the queue (`queue.*`).
struct QueueOptions {
  std::size_t max = 128;
  std::chrono::milliseconds timeout{200};
};

/// How the load of a cold target is raised to the full limit (`cold.*`).
struct ColdOptions {
  std::uint32_t initial_limit = 4;
  std::chrono::milliseconds ramp{10000};
  /// Maximum number of calls that start per second on a cold target; 0 if only
  /// the ramp bounds them.
  double max_starts_per_second = 0;
};

struct Options {
  /// Fraction of the limit up to which callers' requests go before work in
  /// progress of any importance. Without it, calls of other targets that fill a
  /// target would starve its own callers.
  double new_work_share = 0;
  LimitOptions limit;
  QueueOptions queue;
  ColdOptions cold;
};

}  // namespace yuccastair::admission

#endif  // YUCCASTAIR_ADMISSION_OPTIONS_H_
