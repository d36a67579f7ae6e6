#ifndef DAEMON_ORDERANSWERS_H
#define DAEMON_ORDERANSWERS_H

#include "frontdoor/frontdoor.h"
#include "orders/orders.h"

#include <optional>

namespace Daemon::Internal {

/// Answer to a retry of a call that this daemon does not send.
FrontDoor::Answer answerFor(Orders::Step step,
                            const std::optional<History::Order> &order,
                            const FrontDoor::Request &request);

/// Answer to a retry whose first call is in the hands of a silent daemon.
FrontDoor::Answer claimerSilentAnswer(const FrontDoor::Request &request);

FrontDoor::Answer historyUnavailableAnswer(const FrontDoor::Request &request);

/// Checks the key of a call that may not be repeated; nothing to object to
/// when empty.
std::optional<FrontDoor::Refusal>
keyFault(const FrontDoor::Request &request,
         const Utils::Outcome<Orders::Key> &key);

} // namespace Daemon::Internal

#endif // DAEMON_ORDERANSWERS_H
