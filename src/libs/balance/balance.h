#ifndef BALANCE_BALANCE_H
#define BALANCE_BALANCE_H

/// Public header of the balance library: endpoint selection, endpoint health,
/// recovery from failed attempts, retry budgets and hedged requests. Performs
/// no input or output.
#include "balance/choose.h"
#include "balance/healthtracker.h"
#include "balance/hedging.h"
#include "balance/recovery.h"
#include "balance/retrybudget.h"

#endif // BALANCE_BALANCE_H
