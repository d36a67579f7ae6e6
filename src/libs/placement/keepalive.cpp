#include "placement/placement.h"

#include <algorithm>
#include <array>
#include <limits>

namespace Placement {

namespace {

using Weights = std::array<double, GapHistogram::Bins + 1>;

/// Weight of the fleet's gaps beside the model's own, in gaps.
constexpr double PriorGaps = 2;
/// Uses within this time count for a replica that may have to make room.
constexpr double EvictionHorizonSeconds = 900;
/// Share of a cold start's cost that may always be spent on holding an idle
/// replica, whatever its few known gaps say.
constexpr double HeldShare = 1.0 / 32;
/// An idle replica is kept at least for this time: an engine cannot take the
/// model again until the unload has ended.
constexpr double LeastHeldSeconds = 10;
/// Orders replicas of equal expected use by the time that they are idle.
constexpr double LeastLoss = 1e-3;

double seconds(Utils::Milliseconds time) {
  return std::chrono::duration<double>(time).count();
}

double coldSeconds(const Knowledge &knowledge, const Policy &policy,
                   const std::string &model) {
  auto it = knowledge.LoadTimes.find(model);
  return seconds(it == knowledge.LoadTimes.end() ? policy.LoadTime
                                                 : it->second);
}

/// Probability of each gap length. A model without history is taken for one
/// like the others, and the first of all as equally likely to return at any
/// order of magnitude.
Weights gapWeights(const GapHistogram &own, const GapHistogram &all) {
  Weights weights;
  double prior = PriorGaps / (all.total() + GapHistogram::Bins);
  for (int i = 0; i <= GapHistogram::Bins; ++i)
    weights[static_cast<size_t>(i)] = own.count(i) + prior * (all.count(i) + 1);
  return weights;
}

double shareOfEngine(const History::State &state,
                     const History::Replica &replica) {
  auto it = state.Endpoints.find(replica.Endpoint);
  if (it == state.Endpoints.end() || it->second.MemoryMb == 0)
    return 1;
  return static_cast<double>(replica.MemoryMb) /
         static_cast<double>(it->second.MemoryMb);
}

double worthKeeping(const Knowledge &knowledge, const History::State &state,
                    const Policy &policy, const History::Replica &replica,
                    double idle) {
  auto use = knowledge.Uses.find(replica.Model);
  static const GapHistogram none;
  Weights weights = gapWeights(
      use == knowledge.Uses.end() ? none : use->second.Gaps, knowledge.AllGaps);
  auto loadTime = knowledge.LoadTimes.find(replica.Model);
  double coldCost =
      policy.WeightColdStart * seconds(loadTime == knowledge.LoadTimes.end()
                                           ? policy.LoadTime
                                           : loadTime->second);
  double idleCost = policy.WeightIdle * shareOfEngine(state, replica);
  double mass = 0;
  for (int i = 0; i <= GapHistogram::Bins; ++i)
    if (GapHistogram::middle(i) > idle)
      mass += weights[static_cast<size_t>(i)];
  double best = idle;
  double bestCost = mass * coldCost;
  double longest = seconds(policy.KeepAlive);
  double held = idleCost > 0 ? HeldShare * coldCost / idleCost : longest;
  held = std::max(held, LeastHeldSeconds);
  double endedIdle = 0; // cost of the gaps that end before the keep-alive
  double left = mass;
  for (int i = 0; i < GapHistogram::Bins; ++i) {
    double until = std::min(GapHistogram::upper(i), longest);
    double gap = GapHistogram::middle(i);
    if (gap > idle && gap <= until) {
      endedIdle += weights[static_cast<size_t>(i)] * (gap - idle) * idleCost;
      left -= weights[static_cast<size_t>(i)];
    }
    if (until <= idle)
      continue;
    double cost = endedIdle + left * ((until - idle) * idleCost + coldCost);
    if (cost < bestCost) {
      bestCost = cost;
      best = until;
    }
  }
  return std::max(best, std::min(held, longest));
}

/// Expected cold-start seconds that keeping the replica through its best
/// keep-alive saves. One that is past use is worth less the longer it is idle.
double expectedLoss(const Knowledge &knowledge,
                    const History::State & /*state*/, const Policy &policy,
                    const History::Replica &replica, double idle) {
  auto use = knowledge.Uses.find(replica.Model);
  static const GapHistogram none;
  Weights weights = gapWeights(
      use == knowledge.Uses.end() ? none : use->second.Gaps, knowledge.AllGaps);
  double soon = 0;
  double later = 0;
  for (int i = 0; i <= GapHistogram::Bins; ++i) {
    double gap = GapHistogram::middle(i);
    if (gap > idle)
      (gap <= idle + EvictionHorizonSeconds ? soon : later) +=
          weights[static_cast<size_t>(i)];
  }
  double probability = soon / std::max(soon + later, 1e-9);
  return probability * coldSeconds(knowledge, policy, replica.Model) +
         LeastLoss / (idle + 1);
}

} // namespace

Retention expectedCostRetention() { return {worthKeeping, expectedLoss}; }

} // namespace Placement
