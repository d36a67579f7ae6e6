#ifndef DAEMON_LEASEKEEPER_H
#define DAEMON_LEASEKEEPER_H

#include "daemon/context.h"
#include "lease/lease.h"

namespace Daemon::Internal {

/// Thread that keeps the lease of one named duty: claims it when it may be
/// claimed and renews it while held. The duty acts only while holds() is true
/// and checks it again right before each effect. A holder that cannot renew
/// stops at its deadline, or goes on while the log is unavailable to all, as
/// the duty says. Thread-safe.
class LeaseKeeper {
public:
  enum class OnLogOutage : uint8_t { Stops, Continues };

  LeaseKeeper(Context &context, std::string duty,
              OnLogOutage behaviour = OnLogOutage::Stops);
  ~LeaseKeeper();

  void start();
  /// Ends renewals and gives the lease back. The owner has stopped acting.
  void stop();

  /// Whether this daemon may act on the duty now.
  bool holds() const { return fence() != 0; }

  /// Fence under which the duty is held now; 0 when it is not held.
  History::Position fence() const;

  /// Fence of the lease that this daemon's last claim replaced; 0 when the duty
  /// had never been held.
  History::Position replacedFence() const;

private:
  void step();
  /// Waits while nothing but a change of the lease could give a step work.
  void awaitNews();
  std::optional<History::LeaseChange> nextChange();
  void awaitPredecessor();
  void finish(const History::LeaseChange &change,
              const Utils::Outcome<History::Verdict> &verdict);
  void release();

  Context &Shared;
  const std::string Duty;
  const OnLogOutage Behaviour;
  Lease::Policy Policy;
  mutable std::mutex Mutex;
  Lease::Watch Watch;
  /// Lease that the last claim replaced.
  History::Lease Replaced;
  std::atomic<bool> Stopping = false;
  Utils::PeriodicThread Steps;
};

} // namespace Daemon::Internal

#endif // DAEMON_LEASEKEEPER_H
