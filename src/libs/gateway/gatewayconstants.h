#ifndef GATEWAY_GATEWAYCONSTANTS_H
#define GATEWAY_GATEWAYCONSTANTS_H

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace Gateway {

using std::chrono::milliseconds;

/// Long-poll timeout of configuration reads. A connection that stops responding
/// is detected within it; configuration may be at most 2 s old.
constexpr milliseconds ConfigurationPollTimeout{1000};
/// Long-poll timeout of configuration reads at the holder of the fleet's duty,
/// on whose reads the other gateways rely. What it has read is as old as two
/// such reads before the second one is answered.
constexpr milliseconds HolderPollTimeout{400};
/// Interval between reads of the endpoint reports. Endpoints must be drained
/// within 2 s of their notice. Every report would end a long poll, so these
/// reads do not wait for changes.
constexpr milliseconds EndpointPollInterval{700};
/// Maximum age of data that the holder relays to other gateways: two long polls
/// of the holder and two slow store responses.
constexpr milliseconds MaxRelayedAge{1500};
/// Time from a report to the holder until a gateway reads the store itself if
/// no further report is answered: three report intervals of a large fleet.
constexpr milliseconds RelayTimeout{1000};
/// Response time of the store when it is slow; 4 ms is typical.
constexpr milliseconds SlowStoreLatency{300};
static_assert(2 * (HolderPollTimeout + SlowStoreLatency) <= MaxRelayedAge);
/// Maximum report interval, below the time after which a gateway without a
/// heartbeat reads the store itself. Several hundred gateways doing so at once
/// overload the store.
constexpr milliseconds MaxReportInterval{700};
static_assert(MaxReportInterval < RelayTimeout);
/// Subtracted from a bound on the age of data: one slow read of the store, and
/// 100 ms for a call to get from the choice of its endpoint to the endpoint.
constexpr milliseconds ReadMargin = SlowStoreLatency + milliseconds(100);

/// Age of data, as known from the holder's reads, at which a gateway reads the
/// store itself so that it keeps the bound.
constexpr milliseconds maxAgeBeforeRead(milliseconds bound) {
  return std::max(bound - ReadMargin, milliseconds(0));
}

/// Greatest age of data while the holder reads the store without delay and
/// every report is answered: the data lags by two of the holder's reads, which
/// take 10 ms at most, and by a report interval. A lower maxAgeBeforeRead()
/// would let all gateways of a large fleet read the store in calm operation.
constexpr milliseconds MaxCalmAge =
    std::max(EndpointPollInterval + milliseconds(20),
             2 * (HolderPollTimeout + milliseconds(10))) +
    MaxReportInterval;
/// Least bound on the draining of endpoints and on the configuration that
/// operators set.
constexpr milliseconds MinAgeBound{2000};
static_assert(MaxCalmAge <= maxAgeBeforeRead(MinAgeBound));
/// Timeout of a store request: twice the slow response time plus 100 ms.
constexpr milliseconds StoreTimeout{700};
/// Initial and maximum backoff after a failed store request; doubled on each
/// failure so that all VMs together stay well below the store's rate limit.
constexpr milliseconds MinStoreBackoff{100};
constexpr milliseconds MaxStoreBackoff{1000};

/// Time after the store's return from an older copy in which endpoints write
/// their entries again; one that is still missing then is gone.
constexpr milliseconds EndpointReturnTime{2000};
/// Time after the store's return from an older copy for which evacuations stay
/// in force that it does not list. The operator writes again what the copy of
/// some seconds before lacks; an evacuation ends at once when its record is
/// deleted.
constexpr milliseconds OperatorsReturnTime{30'000};
/// Time after the first answer of the store in which a running gateway answers
/// one that starts: 20 times a slow answer, and as long as a frozen VM is still
/// taken for a live one.
constexpr milliseconds FleetAnswerTime{1500};
/// The same if the record of the duty was written before the store came back
/// from a copy, so that it may list too few gateways: by then a running gateway
/// has noticed that (a long poll of 1 s) and claimed the duty (a lease of 2 s,
/// a delay of 1.2 s), and one that starts has read its record (0.3 s) and was
/// answered.
constexpr milliseconds UnlistedAnswerTime{5500};
/// How long the newest version that a gateway has named counts, unless it is
/// named again: the gateway may have ended before it relayed the version.
constexpr milliseconds NamedVersionLifetime{5000};

/// Subtracted from the bound on key revocation: time for a call to get from
/// admission to the endpoint.
constexpr milliseconds KeyExpiryMargin{500};

/// Maximum size of an answer that is buffered, and of one event of a stream.
/// Hundreds of times the largest legitimate answer, and small enough for
/// several at once in the 160 MB of the smallest VMs.
constexpr size_t MaxAnswerBytes = 4 << 20;

/// Maximum size of all answers that are buffered at a time: a fifth of the
/// 160 MB, as a string may reserve twice what it holds.
constexpr size_t MaxHeldAnswerBytes = 32 << 20;

/// Retry-After of a refusal when no better estimate is known.
constexpr milliseconds DefaultRetryAfter{500};

/// Minimum time before the deadline with which a call is still sent to an
/// endpoint; a round trip takes up to 4 ms.
constexpr milliseconds MinTimeToSend{5};

/// Time during which a VM that shuts down still receives calls over open
/// connections. The load balancer stops sending new ones after two failed
/// readiness probes, one per second.
constexpr milliseconds BalancerDrainTime{2500};
/// Subtracted from the time until the kill, for the exit of the process.
constexpr milliseconds ShutdownMargin{300};
/// Time before the exit of a process that shuts down at which calls without a
/// final answer get one, for their callers to receive it.
constexpr milliseconds FinalAnswerTime{200};
/// Retry-After of calls that a gateway refuses as it shuts down; the retry
/// reaches another gateway.
constexpr milliseconds ShutdownRetryAfter{20};

/// Interval at which queued calls look for an endpoint. The loads that they
/// wait for take 400 ms or more.
constexpr milliseconds DispatchRetryInterval{20};

/// Age at which a gateway's report of queued calls is no longer used for
/// planning: four report intervals.
constexpr milliseconds QueuedDemandLifetime{1000};

/// Interval of the housekeeping timer, which closes idle connections.
constexpr milliseconds HousekeepingInterval{1000};

} // namespace Gateway

#endif // GATEWAY_GATEWAYCONSTANTS_H
