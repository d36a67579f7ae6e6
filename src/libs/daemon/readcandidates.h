#ifndef DAEMON_READCANDIDATES_H
#define DAEMON_READCANDIDATES_H

#include "peers/peers.h"

#include <random>

namespace Daemon::Internal {

/// Daemons to ask for records, in this order: three of those that reach the
/// log, drawn at random so that the load is spread. When none reaches it there
/// is little to learn, and one daemon is enough: the one that has applied most
/// if it has applied more than `held`, else any.
std::vector<std::string> readCandidates(std::vector<Peers::MemberView> members,
                                        uint64_t held, std::mt19937_64 &random);

} // namespace Daemon::Internal

#endif // DAEMON_READCANDIDATES_H
