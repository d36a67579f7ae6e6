#ifndef LOGSYNC_LOGSYNC_H
#define LOGSYNC_LOGSYNC_H

/// Public header of the logsync library: the threads that read the platform's
/// log into the state store and append this daemon's records to it.
#include "logsync/appender.h"
#include "logsync/follower.h"
#include "logsync/snapshotpolicy.h"
#include "logsync/snapshotreader.h"

#endif // LOGSYNC_LOGSYNC_H
