#ifndef LEASE_LEASE_H
#define LEASE_LEASE_H

/// Public header of the lease library: when a duty may be claimed, renewed and
/// performed. Pure functions; the log decides between racing claims.
/// Source of the idea: Gray and Cheriton, "Leases" (1989).
#include "history/history.h"
#include "lease/outage.h"
#include "utils/clock.h"

#include <optional>
#include <string>

namespace Lease {

/// What is agreed about leases in a deployment.
struct Policy {
  Utils::Milliseconds Duration{4000};
  /// Bound on the relative error of any VM's clock rate.
  double ClockRateError = 0.01;
  /// A holder past its deadline renews, under its old fence; otherwise it
  /// claims anew. The fold refuses the renewal after another claim.
  bool RenewsLate = false;
};

/// What one daemon knows of one duty.
struct Watch {
  /// The lease as last seen in the state.
  History::Lease Seen;
  /// When this daemon first saw that renewal; it was made no later.
  Utils::TimePoint SeenAt;
  /// Fence under which this daemon holds the duty, or 0.
  History::Position HeldFence = 0;
  /// The daemon acts only before this point.
  Utils::TimePoint HeldUntil;
  /// The daemon acts only from this point: until then an earlier holder may
  /// still act, see outage.h. Never, while that cannot be told.
  Utils::TimePoint ActsFrom;
  /// Newest join in the state. A holder that acts renews at once to say that it
  /// knows of it; 0 when the duty has no use for that.
  History::Position NewestMember = 0;
  /// No claim of a held lease before this point.
  Utils::TimePoint ClaimsFrom;
  /// Id and sending time of the change under way; empty when there is none.
  std::string PendingId;
  Utils::TimePoint PendingSince;
};

/// Takes note of the lease as it stands in the state.
void observe(Watch &watch, const History::Lease &lease, Utils::TimePoint now);

/// Whether the daemon has the lease now, whether it may act yet or not.
bool owns(const Watch &watch, Utils::TimePoint now);

/// Whether the daemon may act on the duty now.
bool holds(const Watch &watch, Utils::TimePoint now);

/// From when another daemon may claim the duty: by this clock, however fast,
/// the whole duration has passed since the renewal. Immediately after a
/// release.
Utils::TimePoint claimableAt(const Watch &watch, const Policy &policy);

/// Until when a daemon that does not hold the duty has nothing to do unless the
/// lease changes; the epoch for one that holds it or has a change under way.
Utils::TimePoint idleUntil(const Watch &watch, const Policy &policy);

/// Deadline of a holder whose claim or renewal was sent at `sentAt`: by this
/// clock, however slow, no more than the duration has then passed.
Utils::TimePoint holderDeadline(Utils::TimePoint sentAt, uint32_t durationMs,
                                const Policy &policy);

/// The change to append now, or nothing. Notes it as pending in the watch.
std::optional<History::LeaseChange>
nextChange(Watch &watch, const std::string &duty, const std::string &self,
           const Policy &policy, Utils::TimePoint now);

/// Takes the verdict on the pending change into account.
void settle(Watch &watch, const History::LeaseChange &change,
            const History::Verdict &verdict, const Policy &policy);

/// Gives up on the pending change; whether it took effect shows in the state.
void abandon(Watch &watch);

} // namespace Lease

#endif // LEASE_LEASE_H
