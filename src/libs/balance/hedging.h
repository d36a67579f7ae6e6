#ifndef BALANCE_HEDGING_H
#define BALANCE_HEDGING_H

#include "balance/choose.h"
#include "fleet/fleet.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace Balance {

/// Largest share of extra calls that operators may set.
constexpr double MaxHedgeShare = 0.2;

/// Recent times to first byte of one route at this gateway, over all endpoints.
class FirstByteTimes {
public:
  /// Adds the time, in milliseconds, from a call's send to the first byte of
  /// its answer. For a copy that is cancelled without an answer, the time until
  /// then: without it the quantile would fall with each hedge.
  void add(double ms, TimePoint now);
  /// Time without an answer, rounded up to milliseconds, after which a call
  /// counts as slow; nothing while there are too few samples.
  std::optional<Utils::Milliseconds> slowAfter(TimePoint now) const;

private:
  struct Sample {
    TimePoint At;
    double Ms;
  };
  std::deque<Sample> Samples;
};

/// Hedges of one service that this gateway may send. They are earned by first
/// sends, so that the fleet's share holds however calls are spread over its
/// gateways.
class HedgeBudget {
public:
  /// `share`: hedges earned by each first send, 0 to MaxHedgeShare.
  explicit HedgeBudget(double share) : Share(share) {}

  void onFirstSend();
  bool hasHedge() const { return Hedges >= 1; }
  /// Takes one hedge; only if hasHedge().
  void takeHedge() { Hedges -= 1; }

private:
  double Share;
  double Hedges = 0;
};

/// Why a second copy of a slow call is sent or not.
enum class HedgeReason : uint8_t {
  Send,
  NotRepeatable,    ///< The call may not run twice.
  AnswerStarted,    ///< Part of the answer was sent to the caller.
  AttemptsUsed,     ///< The route allows no further run.
  CallsWaiting,     ///< Calls wait for the model.
  OverLimit,        ///< The limit of the call's endpoint is used up.
  FleetBusy,        ///< Mean load of the candidates is too high.
  NoUsableEndpoint, ///< No other endpoint is healthy, untried and without
                    ///< limit.
  NotLessLoaded,    ///< No such endpoint has clearly less load.
  ShareSpent,       ///< No hedge is earned.
  RetryBudgetSpent, ///< The service's retry budget is exhausted.
};

std::string_view hedgeReasonName(HedgeReason reason);

/// An endpoint at which the model and adapter of the call are ready.
struct HedgeCandidate {
  Candidate Endpoint;
  /// It tolerates few calls: it has just started, or names a limit.
  bool Limited = false;
  /// The first copy of the call is in flight there.
  bool IsCurrent = false;
};

/// State of a call that has had no answer within FirstByteTimes::slowAfter().
struct SlowCall {
  Fleet::RouteKind Kind = Fleet::RouteKind::Unsafe;
  bool Resumable = false;
  bool AnswerStarted = false;
  uint32_t RunsStarted = 1;
  /// Executions that the route allows.
  uint32_t MaxRuns = 1;
  bool CallsWaiting = false;
  bool EndpointOverLimit = false;
  bool HedgeEarned = false;
  bool RetryPermitted = false;
  std::vector<HedgeCandidate> Candidates;
};

struct HedgeDecision {
  HedgeReason Reason = HedgeReason::NotRepeatable;
  /// Index of the candidate that gets the copy, if the reason is Send.
  size_t Target = 0;
};

/// Whether a call of this kind may ever have two copies in flight.
bool mayHedge(Fleet::RouteKind kind, bool resumable);

HedgeDecision decideHedge(const SlowCall &call, TimePoint now,
                          std::mt19937_64 &random);

} // namespace Balance

#endif // BALANCE_HEDGING_H
