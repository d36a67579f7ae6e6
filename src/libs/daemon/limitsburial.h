#ifndef DAEMON_LIMITSBURIAL_H
#define DAEMON_LIMITSBURIAL_H

#include "daemon/context.h"

namespace Daemon::Internal {

/// Whether a daemon that is silent to this one may be recorded as gone, though
/// its process may run: it surely does not act on a duty beyond its lease.
bool mayRecordGone(const Context &context, const std::string &silent);

} // namespace Daemon::Internal

#endif // DAEMON_LIMITSBURIAL_H
