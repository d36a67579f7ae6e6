#include "placement/plan.h"

#include <algorithm>

namespace Placement {

using History::ReplicaPhase;
using Utils::Milliseconds;

namespace {

bool isAdapter(const History::State &state, const std::string &model) {
  return Internal::baseOf(state, model) != nullptr;
}

/// Load time of the model; where it is not known, the mean of its kind.
Milliseconds loadTimeOf(const History::State &state, const Knowledge &knowledge,
                        const Policy &policy, const std::string &model) {
  auto it = knowledge.LoadTimes.find(model);
  if (it != knowledge.LoadTimes.end())
    return it->second;
  Milliseconds sum(0);
  uint32_t n = 0;
  for (const auto &[other, time] : knowledge.LoadTimes)
    if (isAdapter(state, other) == isAdapter(state, model)) {
      sum += time;
      ++n;
    }
  return n > 0 ? sum / n : policy.LoadTime;
}

Milliseconds spentOn(Utils::TimePoint started, Utils::TimePoint now) {
  return std::chrono::duration_cast<Milliseconds>(now - started);
}

/// How many times as long as expected the slowest load under way has taken
/// already; at least 1.
double slowdown(const History::State &state, const Knowledge &knowledge,
                const Policy &policy, bool adapters, Utils::TimePoint now) {
  double most = 1;
  for (const auto &[model, started] : knowledge.LoadStarted) {
    if (isAdapter(state, model) != adapters)
      continue;
    Milliseconds whole = loadTimeOf(state, knowledge, policy, model);
    auto wholeMs = static_cast<double>(std::max<int64_t>(whole.count(), 1));
    auto spentMs = static_cast<double>(spentOn(started, now).count());
    most = std::max(most, spentMs / wholeMs);
  }
  return most;
}

/// Load time of the model at the pace of the loads under way.
Milliseconds pacedLoad(const History::State &state, const Knowledge &knowledge,
                       const Policy &policy, const std::string &model,
                       Utils::TimePoint now) {
  double slow =
      slowdown(state, knowledge, policy, isAdapter(state, model), now);
  Milliseconds whole = loadTimeOf(state, knowledge, policy, model);
  return Milliseconds(
      static_cast<int64_t>(slow * static_cast<double>(whole.count())));
}

/// Time left of the load under way.
Milliseconds timeLeft(const History::State &state, const Knowledge &knowledge,
                      const Policy &policy, const std::string &model,
                      Utils::TimePoint now) {
  Milliseconds paced = pacedLoad(state, knowledge, policy, model, now);
  auto started = knowledge.LoadStarted.find(model);
  if (started == knowledge.LoadStarted.end())
    return paced;
  Milliseconds spent = spentOn(started->second, now);
  Milliseconds overdue = spent - loadTimeOf(state, knowledge, policy, model);
  return std::max(paced - spent, overdue);
}

/// Demands of the same kind that came before the model.
uint32_t demandsAhead(const History::State &state, const std::string &model) {
  bool adapter = isAdapter(state, model);
  uint32_t n = 0;
  auto own = state.Demands.find(model);
  for (const auto &[other, since] : state.Demands)
    n += other != model && isAdapter(state, other) == adapter &&
                 (own == state.Demands.end() || since < own->second)
             ? 1
             : 0;
  return n;
}

uint32_t loadsUnderWay(const History::State &state, bool adapters) {
  uint32_t n = 0;
  for (const auto &[id, replica] : state.Replicas)
    n += replica.Phase == ReplicaPhase::Loading &&
                 isAdapter(state, replica.Model) == adapters
             ? 1
             : 0;
  return n;
}

/// Wait for a place in the fleet's queue, and the load itself.
Milliseconds queuedLoad(const History::State &state, const Knowledge &knowledge,
                        const Policy &policy, const std::string &model,
                        Utils::TimePoint now) {
  bool adapter = isAdapter(state, model);
  uint32_t atOnce =
      adapter ? policy.AdapterLoadsAtOnce : policy.ModelLoadsAtOnce;
  uint32_t demands = demandsAhead(state, model);
  uint32_t waves = (demands + loadsUnderWay(state, adapter)) / atOnce;
  Milliseconds load = pacedLoad(state, knowledge, policy, model, now);
  Milliseconds starts =
      adapter ? Milliseconds(0) : policy.LoadInterval * demands;
  return std::max(load * waves, starts) + load;
}

bool fitsSomewhere(const History::State &state, const std::string &model) {
  uint64_t neededMb = History::replicaMemoryMb(state.Table, model);
  for (const auto &[name, endpoint] : state.Endpoints)
    if (Internal::isLiveEngine(state, name) && endpoint.MemoryMb >= neededMb)
      return neededMb > 0;
  return false;
}

} // namespace

std::optional<uint32_t> estimateReadyMs(const History::State &state,
                                        const Knowledge &knowledge,
                                        const Policy &policy,
                                        const std::string &model,
                                        Utils::TimePoint now) {
  bool loading = false;
  for (const auto &[id, replica] : state.Replicas) {
    if (replica.Model != model ||
        !Internal::isLiveEngine(state, replica.Endpoint))
      continue;
    if (replica.Phase == ReplicaPhase::Ready)
      return 0;
    loading |= replica.Phase == ReplicaPhase::Loading;
  }
  if (loading)
    return static_cast<uint32_t>(
        timeLeft(state, knowledge, policy, model, now).count());
  if (!fitsSomewhere(state, model))
    return std::nullopt;
  Milliseconds total = queuedLoad(state, knowledge, policy, model, now);
  if (const std::string *base = Internal::baseOf(state, model))
    if (auto ready = estimateReadyMs(state, knowledge, policy, *base, now))
      total += Milliseconds(*ready);
  return static_cast<uint32_t>(total.count());
}

} // namespace Placement
