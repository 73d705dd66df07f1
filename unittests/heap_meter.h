// Measures the heap of the test process. Replaces the global operator new and
// must be included in only one file of a program.

#ifndef YUCCASTAIR_UNITTESTS_HEAP_METER_H_
#define YUCCASTAIR_UNITTESTS_HEAP_METER_H_

#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <cstdlib>
#include <new>

namespace yuccastair {

/// Bytes that operator new has allocated and nobody has freed, and their
/// maximum since the last call of Restart().
class HeapMeter {
 public:
  static void Restart() { maximum_bytes = current_bytes.load(); }
  static std::size_t Maximum() { return maximum_bytes; }

  static void Add(std::size_t bytes) {
    const std::size_t now = current_bytes += bytes;
    std::size_t known = maximum_bytes;
    while (known < now && !maximum_bytes.compare_exchange_weak(known, now)) {
    }
  }
  static void Subtract(std::size_t bytes) { current_bytes -= bytes; }

 private:
  static inline std::atomic<std::size_t> current_bytes = 0;
  static inline std::atomic<std::size_t> maximum_bytes = 0;
};

}  // namespace yuccastair

void* operator new(std::size_t bytes) {
  void* block = std::malloc(bytes);
  if (block == nullptr)
    throw std::bad_alloc();
  yuccastair::HeapMeter::Add(malloc_usable_size(block));
  return block;
}
void operator delete(void* block) noexcept {
  yuccastair::HeapMeter::Subtract(malloc_usable_size(block));
  std::free(block);
}
void operator delete(void* block, std::size_t) noexcept {
  operator delete(block);
}

#endif  // YUCCASTAIR_UNITTESTS_HEAP_METER_H_
