#include "balance/hedging.h"

#include <algorithm>
#include <cmath>

namespace Balance {

namespace {

/// Quantile of the times to first byte after which a call counts as slow. One
/// call in twenty is then slow, which is the most that a share of 0.05 pays
/// for.
constexpr double SlowQuantile = 0.95;
/// Fewest samples for a quantile: two of them lie above it, so that one outlier
/// does not set it.
constexpr size_t MinSamples = 40;
/// Samples kept of each route. 256 doubles are sorted partly in some
/// microseconds.
constexpr size_t MaxSamples = 256;
/// Age at which samples are dropped. The load of an endpoint changes within
/// seconds; a gateway of a large fleet gets a few calls a second of a route.
constexpr std::chrono::seconds SampleLifetime{30};

/// Most hedges that accumulate at a gateway. All gateways of a fleet may spend
/// theirs in the same second.
constexpr double MaxHedges = 1;

/// Mean load of the candidates, relative to their slots, above which no hedge
/// is sent. A hedge costs a slot that first sends need when the fleet is full.
constexpr double MaxMeanLoad = 0.5;
/// The endpoint of the copy has at most this part of the relative load of the
/// first endpoint. Loads of other gateways are known some 100 ms late, so small
/// differences say nothing.
constexpr double MaxLoadRatio = 0.75;

double slotsOf(const Candidate &candidate) {
  return std::max(1U, candidate.Slots);
}

double meanLoad(const std::vector<HedgeCandidate> &candidates) {
  double load = 0;
  double slots = 0;
  for (const HedgeCandidate &it : candidates) {
    load += it.Endpoint.Load;
    slots += slotsOf(it.Endpoint);
  }
  return slots > 0 ? load / slots : 0;
}

bool isUsable(const HedgeCandidate &candidate, TimePoint now) {
  const Candidate &it = candidate.Endpoint;
  return !candidate.IsCurrent && !candidate.Limited && !it.Avoided &&
         !it.Tried && !it.Cold && !it.Evacuating && now >= it.CoolDownUntil;
}

/// Whether `other` has clearly less load than `current`, whose load includes
/// the call, and no more than it when the copy is added.
bool isClearlyLessLoaded(const Candidate &other, const Candidate &current) {
  double now = other.Load / slotsOf(other);
  double withCopy = (other.Load + 1) / slotsOf(other);
  double first = current.Load / slotsOf(current);
  return now <= MaxLoadRatio * first && withCopy <= first;
}

HedgeDecision chooseTarget(const SlowCall &call, TimePoint now,
                           std::mt19937_64 &random) {
  auto current =
      std::find_if(call.Candidates.begin(), call.Candidates.end(),
                   [](const HedgeCandidate &it) { return it.IsCurrent; });
  bool hasUsable = false;
  std::vector<size_t> indexes;
  std::vector<Candidate> lessLoaded;
  for (size_t i = 0; i < call.Candidates.size(); ++i) {
    const HedgeCandidate &it = call.Candidates[i];
    if (!isUsable(it, now))
      continue;
    hasUsable = true;
    if (current == call.Candidates.end() ||
        !isClearlyLessLoaded(it.Endpoint, current->Endpoint))
      continue;
    indexes.push_back(i);
    lessLoaded.push_back(it.Endpoint);
  }
  if (!hasUsable)
    return {HedgeReason::NoUsableEndpoint};
  auto chosen = choose(lessLoaded, now, random);
  if (!chosen)
    return {HedgeReason::NotLessLoaded};
  return {HedgeReason::Send, indexes[*chosen]};
}

} // namespace

void FirstByteTimes::add(double ms, TimePoint now) {
  Samples.push_back({now, ms});
  if (Samples.size() > MaxSamples)
    Samples.pop_front();
}

std::optional<Utils::Milliseconds>
FirstByteTimes::slowAfter(TimePoint now) const {
  std::vector<double> recent;
  recent.reserve(Samples.size());
  for (const Sample &it : Samples)
    if (it.At + SampleLifetime >= now)
      recent.push_back(it.Ms);
  if (recent.size() < MinSamples)
    return std::nullopt;
  auto at = recent.begin() + ptrdiff_t(SlowQuantile * double(recent.size()));
  std::nth_element(recent.begin(), at, recent.end());
  return Utils::Milliseconds(int64_t(std::ceil(*at)));
}

void HedgeBudget::onFirstSend() {
  Hedges = std::min(MaxHedges, Hedges + Share);
}

std::string_view hedgeReasonName(HedgeReason reason) {
  static constexpr std::string_view names[] = {
      "send",          "not_repeatable",     "answer_started",
      "attempts_used", "calls_waiting",      "over_limit",
      "fleet_busy",    "no_usable_endpoint", "not_less_loaded",
      "share_spent",   "retry_budget_spent",
  };
  return names[static_cast<size_t>(reason)];
}

bool mayHedge(Fleet::RouteKind kind, bool resumable) {
  return kind == Fleet::RouteKind::Safe ||
         (kind == Fleet::RouteKind::Streaming && resumable);
}

HedgeDecision decideHedge(const SlowCall &call, TimePoint now,
                          std::mt19937_64 &random) {
  if (!mayHedge(call.Kind, call.Resumable))
    return {HedgeReason::NotRepeatable};
  if (call.AnswerStarted)
    return {HedgeReason::AnswerStarted};
  if (call.RunsStarted >= call.MaxRuns)
    return {HedgeReason::AttemptsUsed};
  if (call.CallsWaiting)
    return {HedgeReason::CallsWaiting};
  if (call.EndpointOverLimit)
    return {HedgeReason::OverLimit};
  if (meanLoad(call.Candidates) > MaxMeanLoad)
    return {HedgeReason::FleetBusy};
  HedgeDecision decision = chooseTarget(call, now, random);
  if (decision.Reason != HedgeReason::Send)
    return decision;
  if (!call.HedgeEarned)
    return {HedgeReason::ShareSpent};
  if (!call.RetryPermitted)
    return {HedgeReason::RetryBudgetSpent};
  return decision;
}

} // namespace Balance
