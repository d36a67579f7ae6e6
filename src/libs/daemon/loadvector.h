#ifndef DAEMON_LOADVECTOR_H
#define DAEMON_LOADVECTOR_H

#include "routing/loadboard.h"

#include <string>
#include <string_view>
#include <vector>

namespace Daemon::Internal {

/// Names of the live engines, sorted, as two daemons compare them.
uint64_t engineListDigest(const std::vector<std::string> &engines);

/// The board's readings of a list of engines: one byte of load, capped, and one
/// of age in LoadBoard::AgeUnit, rounded up, for each.
std::string encodeLoads(const std::vector<std::string> &engines,
                        const Routing::LoadBoard &board, Utils::TimePoint now);

/// Takes what another daemon encoded by an equal list, asked at `askedAt`;
/// false when the length is another one.
bool takeLoads(Routing::LoadBoard &board,
               const std::vector<std::string> &engines, std::string_view loads,
               Utils::TimePoint askedAt);

} // namespace Daemon::Internal

#endif // DAEMON_LOADVECTOR_H
