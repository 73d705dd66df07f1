// The bounded queue that joins the threads of a process.

#ifndef YUCCASTAIR_SUPPORT_BOUNDED_RING_H_
#define YUCCASTAIR_SUPPORT_BOUNDED_RING_H_

#include <boost/circular_buffer.hpp>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

namespace yuccastair::support {

/// A first-in first-out queue of bounded size for many producers and consumers.
///
/// A full ring rejects instead of blocking, so that overload shows where it
/// arises. After Close() nothing more is accepted; what is queued can still be
/// taken.
template <typename T>
class BoundedRing {
 public:
  explicit BoundedRing(std::size_t capacity) : items_(capacity) {}

  /// Returns false if the ring is full or closed; \p item is then unchanged.
  bool TryPush(T&& item) {
    {
      std::lock_guard lock(mutex_);
      if (closed_ || items_.full())
        return false;
      items_.push_back(std::move(item));
    }
    ready_.notify_one();
    return true;
  }

  std::optional<T> TryPop() {
    std::lock_guard lock(mutex_);
    return TakeFront();
  }

  /// Waits for an item; returns nothing after \p timeout, or at once when the
  /// ring is closed and empty.
  std::optional<T> Pop(std::chrono::milliseconds timeout) {
    std::unique_lock lock(mutex_);
    ready_.wait_for(lock, timeout, [&] { return closed_ || !items_.empty(); });
    return TakeFront();
  }

  void Close() {
    {
      std::lock_guard lock(mutex_);
      closed_ = true;
    }
    ready_.notify_all();
  }

  bool closed() const {
    std::lock_guard lock(mutex_);
    return closed_;
  }

  std::size_t size() const {
    std::lock_guard lock(mutex_);
    return items_.size();
  }

 private:
  // Requires mutex_ to be held.
  std::optional<T> TakeFront() {
    if (items_.empty())
      return std::nullopt;
    std::optional<T> item(std::move(items_.front()));
    items_.pop_front();
    return item;
  }

  mutable std::mutex mutex_;
  std::condition_variable ready_;
  boost::circular_buffer<T> items_;
  bool closed_ = false;
};

}  // namespace yuccastair::support

#endif  // YUCCASTAIR_SUPPORT_BOUNDED_RING_H_
