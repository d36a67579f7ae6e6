#ifndef DAEMON_SERVICECALLS_H
#define DAEMON_SERVICECALLS_H

#include "daemon/context.h"
#include "daemon/dispatch.h"
#include "frontdoor/frontdoor.h"
#include "orders/orders.h"

#include <deque>

namespace Daemon::Internal {

/// Serves the plain services' routes. A call that may not be repeated runs at
/// most once for its idempotency key.
class ServiceCalls {
public:
  explicit ServiceCalls(Context &context);

  /// Whether a service row's prefix covers the path.
  bool covers(const std::string &path) const;
  /// Whether a service that needs no key covers the path.
  bool isOpen(const std::string &path) const;
  FrontDoor::Answer call(const FrontDoor::Request &request);

private:
  /// A claimed call: what is recorded and what the caller is told.
  struct Sent {
    Orders::Result Result;
    FrontDoor::Answer Answer;
  };

  std::optional<Target> chooseTarget(const std::string &service,
                                     const std::set<std::string> &excluded);
  FrontDoor::Answer callOnce(const FrontDoor::Request &request,
                             const std::string &service,
                             const std::string &team);
  /// What the agreed state holds of a key, after a wait.
  struct Found {
    Orders::Step Step = Orders::Step::Wait;
    /// The recorded call, to be replayed.
    std::optional<History::Order> Order;
    /// The daemon that claimed the key is not heard of any more. Its call may
    /// have run, which only a record can settle.
    bool ClaimerSilent = false;
  };

  /// Waits while another daemon runs the call, at most to the deadline.
  Found waitForStep(const FrontDoor::Request &request,
                    const History::OrderClaim &claim) const;
  bool claimerSpeaks(const std::string &keyHash) const;
  /// Nothing when another claim won.
  std::optional<FrontDoor::Answer>
  claimAndSend(const FrontDoor::Request &request, History::OrderClaim claim);
  bool maySend(const History::OrderClaim &claim,
               Utils::TimePoint deadline) const;
  Sent sendClaimed(const FrontDoor::Request &request,
                   const History::OrderClaim &claim);
  void settle(History::OrderOutcome outcome);
  bool isHistoryUnavailable() const;

  Context &Shared;
  std::mutex UnrecordedMutex;
  /// Outcomes that the append ring had no room for.
  std::deque<History::OrderOutcome> Unrecorded;
};

} // namespace Daemon::Internal

#endif // DAEMON_SERVICECALLS_H
