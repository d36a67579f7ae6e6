#ifndef DAEMON_STATUSREPORT_H
#define DAEMON_STATUSREPORT_H

#include "daemon/context.h"

#include <string>

namespace Daemon::Internal {

/// What the daemon knows now, as JSON.
std::string statusJson(Context &context);

/// The trails that the state keeps.
enum class AuditTrail : uint8_t {
  Changes, ///< Table, keys, leases, endpoints, replicas, members.
  Orders,  ///< Claims and outcomes of calls that may not be repeated.
};

/// The audit trail, oldest first, as a JSON list.
std::string auditJson(Context &context, AuditTrail trail);

} // namespace Daemon::Internal

#endif // DAEMON_STATUSREPORT_H
