#ifndef UTILS_BLOCKINGQUEUE_H
#define UTILS_BLOCKINGQUEUE_H

#include "utils/clock.h"

#include <boost/circular_buffer.hpp>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

namespace Utils {

/// Bounded queue that joins two threads or more. A push into a full ring is
/// refused and the caller decides what that means; nothing is dropped silently.
/// Thread-safe.
template <typename T> class BoundedRing {
public:
  explicit BoundedRing(size_t capacity) : Items(capacity) {}

  /// Moves the item into the ring; false when the ring is full or closed, and
  /// the item is then untouched.
  bool offer(T &item) {
    {
      std::lock_guard lock(Mutex);
      if (Closed || Items.full())
        return false;
      Items.push_back(std::move(item));
    }
    HasItem.notify_one();
    return true;
  }

  /// As offer(), for an item that is of no use when it is refused.
  bool tryPush(T &&item) { return offer(item); }

  /// Waits for room until the deadline; false when full until then, or closed,
  /// and the item is then untouched.
  bool offerUntil(T &item, TimePoint deadline) {
    {
      std::unique_lock lock(Mutex);
      HasRoom.wait_until(lock, deadline,
                         [&] { return Closed || !Items.full(); });
      if (Closed || Items.full())
        return false;
      Items.push_back(std::move(item));
    }
    HasItem.notify_one();
    return true;
  }

  /// As offerUntil(), for an item that is of no use when it is refused.
  bool pushUntil(T &&item, TimePoint deadline) {
    return offerUntil(item, deadline);
  }

  /// Waits for an item until the deadline; empty at the deadline, or when the
  /// ring is closed and drained.
  std::optional<T> popUntil(TimePoint deadline) {
    std::optional<T> item;
    {
      std::unique_lock lock(Mutex);
      auto ready = [&] { return Closed || !Items.empty(); };
      if (deadline == TimePoint::max())
        HasItem.wait(lock, ready);
      else
        HasItem.wait_until(lock, deadline, ready);
      if (Items.empty())
        return std::nullopt;
      item = std::move(Items.front());
      Items.pop_front();
    }
    HasRoom.notify_one();
    return item;
  }

  /// Waits for an item; empty when the ring is closed and drained.
  std::optional<T> pop() { return popUntil(TimePoint::max()); }

  /// Refuses further pushes; items already held can still be popped.
  void close() {
    {
      std::lock_guard lock(Mutex);
      Closed = true;
    }
    HasItem.notify_all();
    HasRoom.notify_all();
  }

  bool closed() const {
    std::lock_guard lock(Mutex);
    return Closed;
  }

  size_t size() const {
    std::lock_guard lock(Mutex);
    return Items.size();
  }

private:
  mutable std::mutex Mutex;
  /// Two conditions, so that an item wakes one taker and no more.
  std::condition_variable HasItem;
  std::condition_variable HasRoom;
  boost::circular_buffer<T> Items;
  bool Closed = false;
};

} // namespace Utils

#endif // UTILS_BLOCKINGQUEUE_H
