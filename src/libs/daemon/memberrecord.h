#ifndef DAEMON_MEMBERRECORD_H
#define DAEMON_MEMBERRECORD_H

#include "daemon/context.h"

namespace Daemon::Internal {

/// Records on the log under which address other daemons reach this one.
void recordJoined(Context &context);

} // namespace Daemon::Internal

#endif // DAEMON_MEMBERRECORD_H
