#ifndef DAEMON_DISPATCH_H
#define DAEMON_DISPATCH_H

#include "daemon/exchange.h"

#include <set>

namespace Daemon::Internal {

/// Chooses an endpoint that is not among the excluded; nothing when none is.
using ChooseTarget =
    std::function<std::optional<Target>(const std::set<std::string> &)>;

/// Picks one of the candidates, leaving out the excluded and the outliers, by
/// the loads that this daemon knows.
std::optional<std::string>
pickEndpoint(Context &context, std::vector<Routing::Candidate> candidates,
             const std::set<std::string> &excluded, Routing::Query query);

/// As pickEndpoint(), with the client of the endpoint.
std::optional<Target> pickTarget(Context &context,
                                 std::vector<Routing::Candidate> candidates,
                                 const std::set<std::string> &excluded,
                                 const Routing::Query &query);

/// Sends an idempotent call. A failed one is sent to another endpoint while no
/// byte of an answer has reached the caller, inside the deadline and the
/// daemon's retry budget. `keyHash` is that of the key that admitted the
/// request, empty on routes open to all; its withdrawal ends the call.
FrontDoor::Answer forwardIdempotent(Context &context,
                                    const FrontDoor::Request &request,
                                    const ChooseTarget &choose,
                                    const std::string &keyHash);

} // namespace Daemon::Internal

#endif // DAEMON_DISPATCH_H
