#ifndef QUOTA_QUOTA_H
#define QUOTA_QUOTA_H

/// Public header of the quota library: one limit of a team, counted over all
/// gateways. The holder of the fleet's duty keeps the bucket and grants tokens
/// to the gateways that ask for them; a gateway asks when a call comes for
/// which it has none. While no holder answers, each gateway goes on with its
/// part of the limit (cf. Raghavan et al., "Cloud Control with Distributed Rate
/// Limiting", 2007). Does no input or output.
#include "quota/gatewaylimiter.h"
#include "quota/tokenallocator.h"
#include "quota/tokenbucket.h"

#endif // QUOTA_QUOTA_H
