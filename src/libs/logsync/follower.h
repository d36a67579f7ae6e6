#ifndef LOGSYNC_FOLLOWER_H
#define LOGSYNC_FOLLOWER_H

#include "environment/environment.h"
#include "history/history.h"
#include "utils/utils.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace LogSync {

/// Thread that reads the log in offset order and applies it to the store. It
/// begins with the newest whole snapshot, and begins anew when the log expires
/// records that it has not read.
class Follower {
public:
  Follower(Environment::LogService log, History::StateStore &store,
           Utils::Clock clock);
  ~Follower();

  void start();
  void stop();

  /// When the log last answered a read; the epoch before the first answer.
  Utils::TimePoint lastContact() const;

  /// Whether the first read of the whole retained log is complete.
  bool caughtUp() const { return CaughtUp; }

  /// First retained offset as of the last answer.
  uint64_t firstRetained() const { return FirstRetained; }

  /// Reads once; false when the log gave no usable answer. For run() and tests.
  bool readOnce();

private:
  void run();
  /// Replaces the state by the newest snapshot; false when there is none.
  bool beginAnew();
  void pause(Utils::Milliseconds delay);

  Environment::LogService Log;
  History::StateStore &Store;
  Utils::Clock Clock;
  std::atomic<bool> CaughtUp = false;
  std::atomic<uint64_t> FirstRetained = 0;
  bool Begun = false;
  std::atomic<Utils::TimePoint::rep> LastContact = 0;
  mutable std::mutex Mutex;
  std::condition_variable Wake;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace LogSync

#endif // LOGSYNC_FOLLOWER_H
