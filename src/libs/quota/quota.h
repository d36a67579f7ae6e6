#ifndef QUOTA_QUOTA_H
#define QUOTA_QUOTA_H

/// Public header of the quota library: enforces a team's rate limit over all
/// gateways together. The duty holder keeps the token bucket and grants tokens
/// to the gateways; a gateway requests a grant when a call needs more tokens
/// than it has left. While no holder answers, each gateway admits calls from
/// its own share of the limit (cf. Raghavan et al., "Cloud Control with
/// Distributed Rate Limiting", 2007). Performs no input or output.
#include "quota/gatewaylimiter.h"
#include "quota/tokenallocator.h"
#include "quota/tokenbucket.h"
#include "quota/virtualqueue.h"

#endif // QUOTA_QUOTA_H
