#ifndef LEASE_OUTAGE_H
#define LEASE_OUTAGE_H

#include "history/history.h"
#include "utils/clock.h"

#include <map>
#include <optional>
#include <string>

namespace Lease {

struct Policy;
struct Watch;

/// What a daemon whose claim has been accepted knows of the lease it replaced.
struct Succession {
  std::string Self;
  /// The lease as it stood before the claim.
  History::Lease Replaced;
  /// Position of the claim.
  History::Position Claim = 0;
  /// Daemons by the state that includes the claim.
  std::map<std::string, History::Member> Members;
  /// Since when this daemon's log contact is unbroken; nothing while it is
  /// lost.
  std::optional<Utils::TimePoint> ContactSince;
  /// Offset of the next append that each daemon has not applied, by gossip.
  std::map<std::string, uint64_t> Applied;
};

/// From when the successor may act although its predecessor goes on past its
/// deadline while every daemon that it knows says, within `window`, that the
/// log is unavailable. Nothing while no daemon that the predecessor knows of is
/// known to have the claim.
std::optional<Utils::TimePoint> actsFrom(const Succession &succession,
                                         Utils::Milliseconds window,
                                         const Policy &policy,
                                         Utils::TimePoint now);

/// What a daemon that would record a silent one as gone knows.
struct Burial {
  std::string Self;
  std::string Silent;
  /// By the newest state that this daemon holds.
  std::map<std::string, History::Member> Members;
  std::map<std::string, History::Lease> Leases;
  /// Since when this daemon's log contact is unbroken; nothing while it is
  /// lost.
  std::optional<Utils::TimePoint> ContactSince;
};

/// Whether the silent daemon surely does not act on any duty beyond its lease,
/// though its process may run. It needs the word of each daemon that it knows.
bool mayRecordGone(const Burial &burial, Utils::Milliseconds window,
                   const Policy &policy, Utils::TimePoint now);

/// From when a daemon claims a held lease: after it has read the log again, so
/// that a holder that went on meanwhile renews first.
Utils::TimePoint claimsFrom(Utils::TimePoint contactSince,
                            const Policy &policy);

/// Window in which a holder past its deadline relies on what others said: no
/// longer than `window` by the clock of any successor.
Utils::Milliseconds holderWindow(Utils::Milliseconds window,
                                 const Policy &policy);

/// Whether a holder past its deadline may act: the log is unavailable to all,
/// and no other claim is in the state that this was decided on.
bool mayContinue(const Watch &watch, const History::Lease &inState,
                 bool logOutage, Utils::TimePoint now);

} // namespace Lease

#endif // LEASE_OUTAGE_H
