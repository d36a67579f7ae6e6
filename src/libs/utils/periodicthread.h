#ifndef UTILS_PERIODICTHREAD_H
#define UTILS_PERIODICTHREAD_H

#include "utils/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Utils {

/// Spins and yields until the predicate holds. For conditions that another
/// thread is about to satisfy.
template <typename F> void yieldUntil(F predicate) {
  while (!predicate())
    std::this_thread::yield();
}

/// Thread that runs a task repeatedly, with a fixed delay between two runs.
class PeriodicThread {
public:
  ~PeriodicThread() { stop(); }

  /// Starts the thread, which is the only one to run `task`.
  void start(Milliseconds delay, std::function<void()> task) {
    Thread = std::thread([this, delay, task = std::move(task)] {
      std::unique_lock lock(Mutex);
      while (!Stopping) {
        lock.unlock();
        task();
        lock.lock();
        Wake.wait_for(lock, delay, [this] { return Stopping; });
      }
    });
  }

  /// Waits for the current run to finish and joins the thread. Returns false
  /// when no thread was running.
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
