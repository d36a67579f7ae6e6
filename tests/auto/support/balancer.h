#ifndef SUPPORT_BALANCER_H
#define SUPPORT_BALANCER_H

#include "support/cluster.h"
#include "utils/periodicthread.h"

#include <mutex>
#include <set>

namespace Support {

/// Simulates the platform's load balancer. It polls /readyz of every daemon
/// and, as real load balancers do, reacts with a delay: a daemon leaves the
/// rotation after two failed health checks in a row and returns after one that
/// passes.
class Balancer {
public:
  static constexpr std::chrono::milliseconds Interval{200};

  Balancer(const Cluster &cluster, int daemons);
  ~Balancer() { HealthChecks.stop(); }

  /// Picks the next daemon in round-robin order and counts a request as in
  /// flight there until finish(). Waits while no daemon is in rotation; throws
  /// if none becomes ready.
  int pick();
  void finish(int daemon);
  /// Requests picked for the daemon that are not finished.
  int inFlight(int daemon) const;
  bool isInRotation(int daemon) const;

private:
  void checkHealth();

  const Cluster &TestCluster;
  mutable std::mutex Mutex;
  std::vector<int> FailedChecks;
  std::vector<int> InFlight;
  std::set<int> InRotation;
  int LastPicked = -1;
  Utils::PeriodicThread HealthChecks;
};

} // namespace Support

#endif // SUPPORT_BALANCER_H
