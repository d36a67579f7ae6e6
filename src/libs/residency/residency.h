#ifndef RESIDENCY_RESIDENCY_H
#define RESIDENCY_RESIDENCY_H

/// Public header of the residency library: which models and adapters the model
/// engines hold, and the plan of loads and unloads for waiting calls and
/// expected demand. Pure functions over plain structs.
#include "residency/demand.h"
#include "residency/enginereplica.h"
#include "residency/plan.h"
#include "residency/scaleout.h"
#include "residency/storeloadlimiter.h"

#endif // RESIDENCY_RESIDENCY_H
