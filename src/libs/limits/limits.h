#ifndef LIMITS_LIMITS_H
#define LIMITS_LIMITS_H

/// Public header of the limits library: fleet-wide token rates. One holder
/// keeps a token bucket for each team and grants tokens with deadlines; every
/// daemon keeps a wallet of granted tokens for each team. Pure state and time
/// passed in; the duty that sends the messages is elsewhere.
/// Source of the idea: Doorman (leased capacity) and Raghavan et al., "Cloud
/// Control with Distributed Rate Limiting" (2007); the bound is this project's.
#include "limits/holder.h"
#include "limits/messages.h"
#include "limits/wallets.h"

#endif // LIMITS_LIMITS_H
