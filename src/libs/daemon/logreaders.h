#ifndef DAEMON_LOGREADERS_H
#define DAEMON_LOGREADERS_H

#include "peers/peers.h"

#include <optional>
#include <string>
#include <vector>

namespace Daemon::Internal {

/// Which daemons of a failure domain with so many read the log at full rate.
size_t logReadersIn(size_t daemons);

/// The daemon of the same failure domain that feeds this one with records;
/// nothing when this one is to read the log itself, because it is one of the
/// readers or none of them reaches the log. A function of its arguments only;
/// `others` are all known daemons but this one.
std::optional<std::string>
feederOf(const std::string &self, const std::string &failureDomain,
         const std::vector<Peers::MemberView> &others);

} // namespace Daemon::Internal

#endif // DAEMON_LOGREADERS_H
