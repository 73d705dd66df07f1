// Options of admission, taken from the settings tree at run time.

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

/// How a cold target is brought to full load (`cold.*`).
struct ColdOptions {
  std::uint32_t initial_limit = 4;
  std::chrono::milliseconds ramp{10000};
  /// Calls a second that a cold target takes; 0 where only the ramp bounds
  /// them.
  double per_second = 0;
};

struct Options {
  /// Part of the limit that calls of callers may use before work in progress of
  /// any importance goes first. Where calls of other targets fill a target, its
  /// own callers would get nothing otherwise.
  double new_work_share = 0;
  LimitOptions limit;
  QueueOptions queue;
  ColdOptions cold;
};

}  // namespace yuccastair::admission

#endif  // YUCCASTAIR_ADMISSION_OPTIONS_H_
