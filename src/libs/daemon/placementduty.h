#ifndef DAEMON_PLACEMENTDUTY_H
#define DAEMON_PLACEMENTDUTY_H

#include "daemon/endpointworkers.h"
#include "daemon/leasekeeper.h"
#include "daemon/vmlistwatch.h"
#include "daemon/waitingteller.h"
#include "placement/placement.h"

#include <memory>
#include <thread>

namespace Daemon::Internal {

/// Thread that decides on replicas while this daemon holds the placement duty.
/// Orders and reports go through one worker for each engine. Without the duty
/// it only settles the orders that this daemon sent before.
class PlacementDuty {
public:
  explicit PlacementDuty(Context &context);
  ~PlacementDuty();

  void start();
  /// Ends the workers, settles what was sent and gives the lease back.
  void stop();

private:
  void run();
  /// Whether a round has something to do; `mark` is that of the state now.
  bool isDue(bool holds, uint64_t mark) const;
  void round(bool holds, uint64_t mark);
  void takeResults(Utils::TimePoint until);
  void take(EndpointResult result);
  void followVmList();
  void recordLeft(const std::string &daemon);
  void plan();
  void decide(const Placement::Decision &decision);
  void step(bool holds);
  void record(const Placement::Step &step);
  std::optional<History::Verdict> append(History::ReplicaChange change);

  Context &Shared;
  LeaseKeeper Keeper;
  VmListWatch VmWatch;
  WaitingTeller Teller;
  std::set<std::string> ListedDaemons;
  Placement::Policy Policy;
  Placement::Knowledge Knowledge;
  EndpointResults Results;
  EndpointWorkers Workers;
  /// An order ended, a report showed something new, or an append failed.
  bool HasNews = false;
  bool Held = false;
  /// Placement::changeMark() at the last round.
  uint64_t Mark = 0;
  /// When the next round is due though nothing changes.
  Utils::TimePoint DueAt;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

} // namespace Daemon::Internal

#endif // DAEMON_PLACEMENTDUTY_H
