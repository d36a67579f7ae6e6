#ifndef REVIEW_STANDINS_REPLICA_H
#define REVIEW_STANDINS_REPLICA_H

#include "net.h"
#include "record.h"
#include "store.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>

namespace Review {

struct ReplicaOptions {
  std::string Id;
  std::string Service;
  std::string Zone;
  /// Requests that run at once, and requests that wait beside them.
  int Slots = 6;
  int QueueLength = 4;
  /// Time that a request takes.
  Milliseconds MinWork{10};
  Milliseconds MaxWork{40};
  /// Seconds for which a replica that is full wants no requests.
  std::string RetryAfter = "0.100";
  /// Share of the answers of which a second copy follows late, where the next
  /// answer on the connection is due.
  double ExtraShare = 0;
  /// Second copies follow for the first part of every period.
  Milliseconds ExtraTime{5000};
  Milliseconds ExtraPeriod{7000};
};

/// Stand-in of a replica without models. It enters itself into the store's
/// list and writes there at the heartbeat interval.
class Replica {
public:
  Replica(const std::string &ip, ReplicaOptions options, Store &store,
          Record &record);
  ~Replica();
  Replica(const Replica &) = delete;
  Replica &operator=(const Replica &) = delete;

  const std::string &id() const { return Options.Id; }
  /// Removes the entry, as a replica does that leaves without notice, and
  /// serves on. Returns the time of the store's acknowledgement.
  Clock::time_point leave();
  /// Ends: all its connections break off.
  void stop();

private:
  void serve(Stream &stream);
  std::string answer(const Message &request);
  std::string answerBeforeLeaving(const Message &request);
  std::string runRequest(const Message &request);
  void writeEntries();
  std::optional<std::string> entry();
  bool hasExtra();

  ReplicaOptions Options;
  Store &List;
  Record &Log;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::mt19937 Random;
  int Running = 0;
  int Waiting = 0;
  int Sequence = 0;
  int64_t Born = 0;
  bool Left = false;
  bool Stopped = false;
  Clock::time_point StartedAt = Clock::now();
  std::string Address;
  std::unique_ptr<Listener> Server;
  std::thread Heartbeat;
};

} // namespace Review

#endif // REVIEW_STANDINS_REPLICA_H
