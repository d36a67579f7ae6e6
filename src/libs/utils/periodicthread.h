#ifndef UTILS_PERIODICTHREAD_H
#define UTILS_PERIODICTHREAD_H

#include "utils/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Utils {

/// Yields until the predicate holds; for what another thread reaches at once.
template <typename F> void yieldUntil(F predicate) {
  while (!predicate())
    std::this_thread::yield();
}

/// Thread of a duty that does its round, pauses, and does it again.
class PeriodicThread {
public:
  ~PeriodicThread() { stop(); }

  /// Starts the rounds; `round` runs on the new thread only.
  void start(Milliseconds pause, std::function<void()> round) {
    Thread = std::thread([this, pause, round = std::move(round)] {
      std::unique_lock lock(Mutex);
      while (!Stopping) {
        lock.unlock();
        round();
        lock.lock();
        Wake.wait_for(lock, pause, [this] { return Stopping; });
      }
    });
  }

  /// Lets the round under way end and joins; false when nothing was running.
  bool stop() {
    {
      std::lock_guard lock(Mutex);
      Stopping = true;
    }
    Wake.notify_all();
    if (!Thread.joinable())
      return false;
    Thread.join();
    return true;
  }

private:
  std::mutex Mutex;
  std::condition_variable Wake;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace Utils

#endif // UTILS_PERIODICTHREAD_H
