#ifndef SUPPORT_BALANCER_H
#define SUPPORT_BALANCER_H

#include "support/cluster.h"
#include "utils/periodicthread.h"

#include <mutex>
#include <set>

namespace Support {

/// Stand-in of the platform's balancer. It asks /readyz of every daemon in
/// turn, and follows what it hears with a delay, as real ones do: a daemon is
/// taken out after two bad answers and taken in after one good one.
class Balancer {
public:
  static constexpr std::chrono::milliseconds Interval{200};

  Balancer(const Cluster &cluster, int daemons);
  ~Balancer() { Rounds.stop(); }

  /// Next daemon in turn of those taken in, for a call that finish() ends;
  /// waits while there is none.
  int pick();
  void finish(int daemon);
  /// Calls that were led to the daemon and are not finished.
  int underWay(int daemon) const;
  bool sendsTo(int daemon) const;

private:
  void round();

  const Cluster &All;
  mutable std::mutex Mutex;
  std::vector<int> BadAnswers;
  std::vector<int> UnderWay;
  std::set<int> In;
  int Last = -1;
  Utils::PeriodicThread Rounds;
};

} // namespace Support

#endif // SUPPORT_BALANCER_H
