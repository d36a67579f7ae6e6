#ifndef LOGSYNC_APPENDER_H
#define LOGSYNC_APPENDER_H

#include "environment/environment.h"
#include "history/history.h"
#include "utils/utils.h"

#include <thread>

namespace LogSync {

/// Thread that appends this daemon's records, many to an append. After an
/// append whose answer is lost, the records whose verdict has come are done;
/// the others are repeated, and the fold ignores a second copy.
class Appender {
public:
  Appender(Environment::LogService log, History::StateStore &store,
           Utils::Clock clock);
  ~Appender();

  void start();
  /// Takes no more records, and appends the accepted ones until each one's
  /// deadline and at most for MaxDrain.
  void stop();

  /// Queues a record that is to be appended before the deadline. False: it will
  /// not be appended, as the ring is full, the record is too large, or stop()
  /// was called.
  bool submit(History::Record record, Utils::TimePoint deadline);

  /// Queues a record and waits for its verdict. Errc::ResourceExhausted: the
  /// ring is full; Errc::InvalidArgument: the record is too large for one
  /// append; Errc::Cancelled: stop() was called; in these cases it will not be
  /// appended. Errc::UnknownResult: no verdict until the deadline.
  Utils::Outcome<History::Verdict> submitAndWait(const History::Record &record,
                                                 Utils::TimePoint deadline);

  uint64_t appends() const { return Appends; }

private:
  struct Pending {
    History::Record Record;
    size_t Bytes = 0;
    Utils::TimePoint Deadline;
  };

  Utils::Status accept(History::Record record, Utils::TimePoint deadline);
  void run();
  std::vector<Pending> takeBatch();
  void appendBatch(std::vector<Pending> batch);
  /// Takes out what has a verdict or is past its deadline.
  void dropSettled(std::vector<Pending> &batch) const;
  /// Waits before the next try; false when there is to be none.
  bool pauseBefore(Utils::Milliseconds delay);

  Environment::LogService Log;
  History::StateStore &Store;
  Utils::Clock Clock;
  Utils::BlockingQueue<Pending> Ring;
  /// Taken from the ring but too large for the batch before it.
  std::optional<Pending> Held;
  std::atomic<uint64_t> Appends = 0;
  std::mutex StopMutex;
  std::condition_variable StopWake;
  bool Stopping = false;
  Utils::TimePoint DrainUntil;
  std::thread Thread;
};

} // namespace LogSync

#endif // LOGSYNC_APPENDER_H
