#ifndef HISTORY_HISTORY_H
#define HISTORY_HISTORY_H

/// Public header of the history library: the records on the platform's log and
/// the pure fold that turns them into the state every daemon agrees on.
#include "history/orderexpiry.h"
#include "history/records.h"
#include "history/snapshot.h"
#include "history/state.h"
#include "history/statecodec.h"
#include "history/statestore.h"

#endif // HISTORY_HISTORY_H
