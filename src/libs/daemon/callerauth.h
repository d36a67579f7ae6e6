#ifndef DAEMON_CALLERAUTH_H
#define DAEMON_CALLERAUTH_H

#include "frontdoor/frontdoor.h"
#include "history/history.h"

#include <string>
#include <variant>

namespace Daemon::Internal {

/// Team that the request's key stands for, or why it has none.
std::variant<std::string, FrontDoor::Refusal>
teamOf(const History::State &state, const FrontDoor::Request &request);

} // namespace Daemon::Internal

#endif // DAEMON_CALLERAUTH_H
