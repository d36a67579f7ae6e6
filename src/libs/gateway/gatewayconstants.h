#ifndef GATEWAY_GATEWAYCONSTANTS_H
#define GATEWAY_GATEWAYCONSTANTS_H

#include <chrono>
#include <cstddef>

namespace Gateway {

using std::chrono::milliseconds;

/// How long a read of the configuration waits for news. A connection that went
/// silent is noticed within it, and the bound on configuration is 2 s.
constexpr milliseconds ConfigurationPatience{1000};
/// The same for the holder of the fleet's duty, on whose reading the others
/// rely: it is as old as two such reads before the second one is answered.
constexpr milliseconds HolderPatience{400};
/// Pause between reads of the endpoints' reports. Endpoints must be left
/// within 2 s of their notice; every report would end a waiting read, so these
/// reads do not wait.
constexpr milliseconds EndpointPause{700};
/// Age from which what the holder of the fleet's duty has read is not relied
/// on: two waiting reads of the holder and two slow answers.
constexpr milliseconds HearsayAge{1500};
/// Time from a report to a gateway's own reading of the store when no further
/// report is answered: three reports of a large fleet.
constexpr milliseconds HearsayLimit{1000};
/// What an answer of the slow store takes; 4 ms is usual.
constexpr milliseconds SlowStoreAnswer{300};
static_assert(2 * (HolderPatience + SlowStoreAnswer) <= HearsayAge);
/// Twice what an answer of the slow store takes, and 100 ms.
constexpr milliseconds StoreAnswerLimit{700};
/// Pause after a failed call to the store, doubled up to the second figure so
/// that all VMs together stay far below the store's rate.
constexpr milliseconds FirstStorePause{100};
constexpr milliseconds LongestStorePause{1000};

/// Kept off the bound on withdrawn keys for the way of a call from its
/// admission to the endpoint.
constexpr milliseconds KeyMargin{500};

/// Most bytes of an answer that is passed on whole, and of one event of a
/// stream: hundreds of times the largest of the users' sheets, and little
/// enough for several at once in the 160 MB of the smallest VMs.
constexpr size_t LargestAnswerBytes = 4 << 20;

/// Come-back time of a refusal when nothing better is known.
constexpr milliseconds DefaultComeBack{500};

/// Least time left with which a call is still sent to an endpoint; a round
/// trip to an endpoint takes up to 4 ms.
constexpr milliseconds LeastTimeToSend{5};

/// How long calls keep coming over open connections of a VM that leaves. The
/// balancer stops sending new ones after two questions, one a second.
constexpr milliseconds LeaveBalancer{2500};
/// Kept off the time to the kill for the end of the process.
constexpr milliseconds StopMargin{300};
/// Come-back time of calls that wait at a gateway that leaves; the retry
/// reaches another one.
constexpr milliseconds LeaveComeBack{20};

/// How often calls that wait look for an endpoint. What they wait for takes
/// 400 ms and more.
constexpr milliseconds WaitingTick{20};

/// Age from which a gateway's waiting calls are not planned for: four of its
/// reports.
constexpr milliseconds WaitingLifetime{1000};

/// How often counters of idle connections and waiting calls are looked at.
constexpr milliseconds HousekeepingInterval{1000};

} // namespace Gateway

#endif // GATEWAY_GATEWAYCONSTANTS_H
