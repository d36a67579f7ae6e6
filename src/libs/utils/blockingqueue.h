#ifndef UTILS_BLOCKINGQUEUE_H
#define UTILS_BLOCKINGQUEUE_H

#include "utils/clock.h"

#include <boost/circular_buffer.hpp>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

namespace Utils {

/// Bounded queue between producer and consumer threads. A push to a full queue
/// fails and the caller handles the overflow; no item is dropped silently.
/// Thread-safe.
template <typename T> class BlockingQueue {
public:
  explicit BlockingQueue(size_t capacity) : Items(capacity) {}

  /// Moves the item into the queue without waiting. Returns false and leaves
  /// the item unchanged when the queue is full or closed.
  bool offer(T &item) {
    {
      std::lock_guard lock(Mutex);
      if (Closed || Items.full())
        return false;
      Items.push_back(std::move(item));
    }
    NotEmpty.notify_one();
    return true;
  }

  /// Like offer(), for an item that the caller discards on failure.
  bool tryPush(T &&item) { return offer(item); }

  /// Waits for free capacity until the deadline. Returns false and leaves the
  /// item unchanged when the queue stays full until then or is closed.
  bool offerUntil(T &item, TimePoint deadline) {
    {
      std::unique_lock lock(Mutex);
      NotFull.wait_until(lock, deadline,
                         [&] { return Closed || !Items.full(); });
      if (Closed || Items.full())
        return false;
      Items.push_back(std::move(item));
    }
    NotEmpty.notify_one();
    return true;
  }

  /// Like offerUntil(), for an item that the caller discards on failure.
  bool pushUntil(T &&item, TimePoint deadline) {
    return offerUntil(item, deadline);
  }

  /// Waits for an item until the deadline. Returns nothing when the deadline
  /// passes or the queue is closed and empty.
  std::optional<T> popUntil(TimePoint deadline) {
    std::optional<T> item;
    {
      std::unique_lock lock(Mutex);
      auto ready = [&] { return Closed || !Items.empty(); };
      if (deadline == TimePoint::max())
        NotEmpty.wait(lock, ready);
      else
        NotEmpty.wait_until(lock, deadline, ready);
      if (Items.empty())
        return std::nullopt;
      item = std::move(Items.front());
      Items.pop_front();
    }
    NotFull.notify_one();
    return item;
  }

  /// Waits for an item. Returns nothing when the queue is closed and empty.
  std::optional<T> pop() { return popUntil(TimePoint::max()); }

  /// Makes further pushes fail; queued items can still be popped.
  void close() {
    {
      std::lock_guard lock(Mutex);
      Closed = true;
    }
    NotEmpty.notify_all();
    NotFull.notify_all();
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
  /// Separate conditions, so that a push wakes one consumer and no producer.
  std::condition_variable NotEmpty;
  std::condition_variable NotFull;
  boost::circular_buffer<T> Items;
  bool Closed = false;
};

} // namespace Utils

#endif // UTILS_BLOCKINGQUEUE_H
