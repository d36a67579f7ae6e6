#ifndef DAEMON_SNAPSHOTDUTY_H
#define DAEMON_SNAPSHOTDUTY_H

#include "daemon/context.h"
#include "daemon/leasekeeper.h"

namespace Daemon::Internal {

/// Thread that holds or waits for the duty `snapshot`. The holder rewrites the
/// snapshot well inside retention and expires settled orders.
class SnapshotDuty {
public:
  explicit SnapshotDuty(Context &context);
  ~SnapshotDuty();

  void start();
  /// Stops the thread and gives the lease back.
  void stop();

private:
  void round();
  /// Learns which snapshot is on the log; false when the log does not answer.
  bool lookUp();
  void writeSnapshot();
  /// Appends a chunk, again when the answer is lost: copies do no harm.
  Utils::Outcome<uint64_t> appendChunk(const History::SnapshotChunk &chunk);
  void expireOrders();

  Context &Shared;
  LeaseKeeper Keeper;
  /// Fence under which Newest was looked up.
  History::Position KnownFence = 0;
  std::optional<LogSync::SnapshotPlace> Newest;
  Utils::TimePoint NextExpiry;
  Utils::PeriodicThread Rounds;
};

} // namespace Daemon::Internal

#endif // DAEMON_SNAPSHOTDUTY_H
