#include "placement/plan.h"

#include <algorithm>
#include <tuple>

namespace Placement {

namespace {

using History::Replica;
using History::ReplicaPhase;
using History::State;
using Internal::Plan;
using Internal::ReplicaEntry;

/// Refusals after which a load is tried elsewhere.
constexpr uint32_t MostRefusals = 3;
/// The requests that a replica was loaded for reach it within this time.
constexpr double LeastIdleSeconds = 2;

bool isServing(const Plan &plan, const Replica &replica) {
  const Internal::EndpointView &endpoint = Internal::endpointOf(plan, replica);
  return replica.Phase != ReplicaPhase::Unloading && endpoint.IsLiveEngine &&
         !endpoint.IsSilent;
}

/// Whether one more replica keeps within the model's row, counting those on
/// engines that do not answer: they may be back at any time.
bool mayAdd(const Plan &plan, const std::string &model) {
  auto spec = plan.State.Table.Models.find(model);
  if (spec == plan.State.Table.Models.end())
    return true;
  uint32_t n = 0;
  for (const ReplicaEntry *it : Internal::replicasOf(plan, model))
    n += it->second.Phase != ReplicaPhase::Unloading &&
                 Internal::endpointOf(plan, it->second).IsLiveEngine
             ? 1
             : 0;
  return n < spec->second.MaxReplicas;
}

uint32_t servingReplicas(const Plan &plan, const std::string &model) {
  uint32_t n = 0;
  for (const ReplicaEntry *it : Internal::replicasOf(plan, model))
    n += isServing(plan, it->second) ? 1 : 0;
  return n;
}

/// Models to load, most urgent first: by the earliest deadline that is not yet
/// past, then for the team that had fewest loads, then where most wait.
std::vector<std::string> rankedDemands(const Plan &plan) {
  using Rank = std::tuple<bool, Utils::TimePoint, double, int64_t,
                          History::Position, std::string>;
  std::vector<Rank> ranks;
  auto add = [&](const std::string &model, History::Position since) {
    Waiting waiting;
    if (auto it = plan.Known.WaitingFor.find(model);
        it != plan.Known.WaitingFor.end())
      waiting = it->second;
    auto team = plan.Known.Teams.find(waiting.Team);
    double loads = team == plan.Known.Teams.end() ? 0 : team->second.Decayed;
    ranks.emplace_back(waiting.EarliestDeadline < plan.Now,
                       waiting.EarliestDeadline, loads,
                       -static_cast<int64_t>(waiting.Requests), since, model);
  };
  for (const auto &[model, since] : plan.State.Demands)
    add(model, since);
  for (const std::string &model : plan.Known.Replace)
    if (!plan.State.Demands.count(model))
      add(model, plan.State.Applied);
  std::sort(ranks.begin(), ranks.end());
  std::vector<std::string> models;
  models.reserve(ranks.size());
  for (Rank &it : ranks)
    models.push_back(std::move(std::get<std::string>(it)));
  return models;
}

/// An adapter whose base model is on no live engine waits for its base.
std::string modelToLoad(const Plan &plan, const std::string &wanted) {
  const std::string *base = Internal::baseOf(plan.State, wanted);
  return base && servingReplicas(plan, *base) == 0 ? *base : wanted;
}

void planDemands(Plan &plan) {
  std::set<std::string> planned;
  for (const std::string &wanted : rankedDemands(plan)) {
    std::string model = modelToLoad(plan, wanted);
    if (servingReplicas(plan, model) == 0 && mayAdd(plan, model) &&
        planned.insert(model).second)
      Internal::planLoad(plan, model);
  }
}

/// Requests that run on the busy replica of the model that has fewest.
void planBusy(Plan &plan) {
  for (const auto &[model, spec] : plan.State.Table.Models) {
    uint32_t n = servingReplicas(plan, model);
    bool busy = n > 0 && mayAdd(plan, model);
    for (const ReplicaEntry *it : Internal::replicasOf(plan, model)) {
      if (!busy || !isServing(plan, it->second))
        continue;
      const Engine::HeldModel *held = Internal::heldOf(plan, it->first);
      busy = held && held->Running >= plan.Rules.BusyRequests;
    }
    if (busy || (n < spec.MinReplicas && mayAdd(plan, model)))
      Internal::planLoad(plan, model);
  }
}

/// Whether the engine has reported since the replica was seen ready and does
/// not hold it, as after a restart of the engine.
bool isLost(const Plan &plan, const std::string &id, const Replica &replica) {
  return replica.Phase == ReplicaPhase::Ready &&
         Internal::endpointOf(plan, replica).Report &&
         !Internal::heldOf(plan, id);
}

bool isRefused(const Plan &plan, const std::string &id,
               const Replica &replica) {
  auto trace = plan.Known.Orders.find(id);
  return replica.Phase == ReplicaPhase::Loading &&
         trace != plan.Known.Orders.end() &&
         trace->second.Decision == replica.Decision &&
         trace->second.Refusals >= MostRefusals;
}

bool isPastUse(const Plan &plan, const std::string &id,
               const Replica &replica) {
  if (replica.Phase != ReplicaPhase::Ready ||
      plan.State.Demands.count(replica.Model))
    return false;
  double idle = Internal::idleSeconds(plan, id);
  uint32_t n = servingReplicas(plan, replica.Model);
  auto model = plan.State.Table.Models.find(replica.Model);
  if (model != plan.State.Table.Models.end() && n <= model->second.MinReplicas)
    return false;
  if (n > 1 &&
      idle > std::chrono::duration<double>(plan.Rules.ExtraKeepAlive).count())
    return true;
  return idle > LeastIdleSeconds &&
         plan.Rules.Idle.KeepUntil(plan.Known, plan.State, plan.Rules, replica,
                                   idle) <= idle;
}

/// Whether the table has no such row any more.
bool isDropped(const Plan &plan, const Replica &replica) {
  return History::replicaMemoryMb(plan.State.Table, replica.Model) == 0;
}

void planUnloads(Plan &plan) {
  std::set<std::string> idleModels;
  for (const auto &[id, replica] : plan.State.Replicas) {
    if (replica.Phase == ReplicaPhase::Unloading)
      continue;
    bool leaves = !Internal::endpointOf(plan, replica).IsLiveEngine;
    if (leaves || isLost(plan, id, replica) || isRefused(plan, id, replica) ||
        isDropped(plan, replica))
      Internal::planUnload(plan, id);
    else if (idleModels.count(replica.Model) == 0 &&
             isPastUse(plan, id, replica)) {
      idleModels.insert(replica.Model);
      Internal::planUnload(plan, id);
    }
  }
}

} // namespace

void noteReplacements(Knowledge &knowledge, const State &state,
                      const Policy &policy, Utils::TimePoint now) {
  forgetSilence(knowledge, state);
  Plan plan = Internal::makePlan(state, knowledge, policy, now);
  for (const auto &[id, replica] : state.Replicas) {
    const Internal::EndpointView &endpoint =
        Internal::endpointOf(plan, replica);
    if (replica.Phase != ReplicaPhase::Ready ||
        (endpoint.IsLiveEngine && !endpoint.IsSilent &&
         !isLost(plan, id, replica)))
      continue;
    double idle = Internal::idleSeconds(plan, id);
    if (policy.Idle.KeepUntil(knowledge, state, policy, replica, idle) > idle)
      knowledge.Replace.insert(replica.Model);
  }
  auto isServed = [&](const std::string &model) {
    const auto &replicas = Internal::replicasOf(plan, model);
    return std::any_of(replicas.begin(), replicas.end(), [&](const auto *it) {
      return isServing(plan, it->second) &&
             !isLost(plan, it->first, it->second);
    });
  };
  std::erase_if(knowledge.Replace, [&](const std::string &model) {
    return isServed(model) || History::replicaMemoryMb(state.Table, model) == 0;
  });
}

std::vector<Decision> planRound(const State &state, const Knowledge &knowledge,
                                const Policy &policy, Utils::TimePoint now) {
  Plan plan = Internal::makePlan(state, knowledge, policy, now);
  planUnloads(plan);
  planDemands(plan);
  planBusy(plan);
  return std::move(plan.Decisions);
}

} // namespace Placement
