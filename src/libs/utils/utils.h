#ifndef UTILS_UTILS_H
#define UTILS_UTILS_H

/// Public header of the utils library: clocks, queues, hashes, error handling
/// and structured logging.
#include "utils/blockingqueue.h"
#include "utils/bootclock.h"
#include "utils/clock.h"
#include "utils/dependencymonitor.h"
#include "utils/digest.h"
#include "utils/event.h"
#include "utils/eventlog.h"
#include "utils/outcome.h"
#include "utils/periodicthread.h"

#endif // UTILS_UTILS_H
