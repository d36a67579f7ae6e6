#ifndef BALANCE_BALANCE_H
#define BALANCE_BALANCE_H

/// Public header of the balance library: which endpoint takes a call, and what
/// follows when one fails. Pure functions over plain structs.
#include "balance/choose.h"
#include "balance/healthtracker.h"
#include "balance/recovery.h"
#include "balance/retrybudget.h"

#endif // BALANCE_BALANCE_H
