#ifndef DAEMON_LIMITSMETHODS_H
#define DAEMON_LIMITSMETHODS_H

#include <cstdint>

namespace Daemon::Internal {

/// Methods of the limits duty between daemons. Payloads are
/// Limits::GrantRequest and GrantReply; the name of a team; HandoverRequest and
/// Limits::Handover; HandoverRequest and nothing.
inline constexpr char GrantMethod[] = "limits.grant";
inline constexpr char CallBackMethod[] = "limits.recall";
inline constexpr char HandoverMethod[] = "limits.handover";
inline constexpr char HandoverTakenMethod[] = "limits.handover_taken";

/// Asks a holder that has ended for its final state, or tells it that the state
/// has arrived.
struct HandoverRequest {
  uint64_t Fence = 0;

  template <class Archive> void serialize(Archive &archive) { archive(Fence); }
};

} // namespace Daemon::Internal

#endif // DAEMON_LIMITSMETHODS_H
