// CPU time and memory of the measuring programs.

#ifndef YUCCASTAIR_BENCHMARKS_MEASURE_H_
#define YUCCASTAIR_BENCHMARKS_MEASURE_H_

#include <malloc.h>

#include <cstddef>
#include <ctime>

namespace yuccastair::benchmarks {

/// CPU time of this process in microseconds.
inline double CpuMicroseconds() {
  return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC;
}

/// Bytes allocated on the heap.
inline std::size_t HeapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

}  // namespace yuccastair::benchmarks

#endif  // YUCCASTAIR_BENCHMARKS_MEASURE_H_
