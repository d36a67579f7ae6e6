#include "experiments/replayfleet.h"

#include "history/historyconstants.h"

#include <algorithm>

namespace Replay {

namespace {

using History::ReplicaAction;
using History::ReplicaPhase;
using Placement::DecisionKind;

constexpr double TickSeconds = 0.25;
constexpr double PlanSeconds = 1;
constexpr double StoreLoadSeconds = 8;
constexpr double DiskLoadSeconds = 2;
constexpr double MemoryLoadSeconds = 0.4;
constexpr double AdapterLoadSeconds = 0.006;
constexpr double SecondsPerHour = 3600;
constexpr Utils::Milliseconds UnloadGrace(300);
constexpr Utils::Milliseconds LongestDrain(30000);
constexpr uint64_t EngineMb = 24000;
constexpr uint64_t AdapterMb = 150;
constexpr size_t CheckpointsInMemory = 3;
constexpr const char *Self = "d0";

Utils::TimePoint pointOf(double time) {
  return Utils::TimePoint() + std::chrono::hours(24) +
         std::chrono::duration_cast<Utils::TimePoint::duration>(
             std::chrono::duration<double>(time));
}

} // namespace

Fleet::Fleet(const Deployment &deployment, Placement::Policy policy,
             double warmupHours)
    : Policy(std::move(policy)), WarmupHours(warmupHours) {
  Policy.LoadTime = Utils::Milliseconds(8000);
  History::LeaseChange claim;
  claim.ChangeId = "claim";
  claim.Duty = History::Constants::PlacementDuty;
  claim.Holder = Self;
  append(claim);
  addRows(deployment);
  addEngines(deployment);
}

void Fleet::addRows(const Deployment &deployment) {
  for (int i = 0; i < deployment.Models; ++i) {
    Table::ModelSpec spec;
    spec.Weights = "w" + std::to_string(i);
    spec.MemoryMb = 4000 + static_cast<uint64_t>(i * 37 % 5) * 1000;
    spec.KvCacheMb = 1500;
    spec.MaxReplicas = 2;
    State.Table.Models[modelName(deployment, i)] = spec;
  }
  for (int i = 0; i < deployment.Adapters; ++i) {
    Table::AdapterSpec spec;
    spec.Base = modelName(deployment, i % 8);
    spec.Weights = "x" + std::to_string(i);
    spec.MemoryMb = AdapterMb;
    State.Table.Adapters[modelName(deployment, deployment.Models + i)] = spec;
  }
}

void Fleet::addEngines(const Deployment &deployment) {
  for (int i = 0; i < deployment.Engines; ++i) {
    History::EndpointChange change;
    change.ChangeId = "engine" + std::to_string(i);
    change.Fence = History::fenceOf(State, History::Constants::PlacementDuty);
    change.Endpoint = change.ChangeId;
    change.FailureDomain = std::to_string(i % deployment.Domains);
    change.MemoryMb = EngineMb;
    append(change);
  }
}

bool Fleet::measures() const { return Time >= WarmupHours * SecondsPerHour; }

bool Fleet::append(const History::Record &record) {
  return History::apply(State, History::positionOf(Offset++, 0), record)
      .Accepted;
}

bool Fleet::change(ReplicaAction action, const Placement::Decision &decision) {
  History::ReplicaChange change;
  change.ChangeId = std::to_string(Offset);
  change.Action = action;
  change.Fence = History::fenceOf(State, History::Constants::PlacementDuty);
  change.Actor = Self;
  change.ReplicaId = decision.ReplicaId;
  change.Model = decision.Model;
  change.Endpoint = decision.Endpoint;
  return append(change);
}

bool Fleet::startOnReplica(const Arrival &arrival) {
  std::string best;
  for (const auto &[id, replica] : State.Replicas)
    if (replica.Model == arrival.Model &&
        replica.Phase == ReplicaPhase::Ready &&
        (best.empty() || Uses[id].Running < Uses[best].Running))
      best = id;
  if (best.empty())
    return false;
  ++Uses[best].Running;
  ++Uses[best].Served;
  Requests.push_back({best, Time + arrival.Seconds});
  return true;
}

void Fleet::arrive(const Arrival &arrival) {
  Measured.Requests += measures() ? 1 : 0;
  if (startOnReplica(arrival))
    return;
  Waiting[arrival.Model].push_back(arrival);
  if (!State.Demands.count(arrival.Model))
    append(
        History::Demand{"q" + std::to_string(Offset), Self, arrival.Model, 1});
}

void Fleet::startWaiting(const std::string &model) {
  std::deque<Arrival> &queue = Waiting[model];
  while (!queue.empty() && startOnReplica(queue.front())) {
    if (measures())
      Measured.ColdWaits.push_back(Time - queue.front().At);
    queue.pop_front();
  }
}

void Fleet::finishRequests() {
  std::erase_if(Requests, [this](const Running &it) {
    if (it.Until > Time)
      return false;
    --Uses[it.ReplicaId].Running;
    return true;
  });
}

void Fleet::finishLoads() {
  std::vector<Load> done;
  std::erase_if(Loads, [&](const Load &it) {
    if (it.Until > Time)
      return false;
    done.push_back(it);
    return true;
  });
  for (const Load &it : done) {
    if (!change(ReplicaAction::Ready, it.What))
      continue;
    Placement::noteReady(Known, it.What.Model, pointOf(Time));
    auto spec = State.Table.Models.find(it.What.Model);
    if (spec != State.Table.Models.end()) {
      const std::string &weights = spec->second.Weights;
      auto &disk = OnDisk[it.What.Endpoint];
      if (std::find(disk.begin(), disk.end(), weights) == disk.end())
        disk.push_back(weights);
      auto &memory = InMemory[it.What.Endpoint];
      std::erase(memory, weights);
      memory.push_back(weights);
      if (memory.size() > CheckpointsInMemory)
        memory.pop_front();
    }
    startWaiting(it.What.Model);
  }
}

void Fleet::finishUnloads() {
  std::erase_if(Unloads, [this](const auto &it) {
    History::Replica gone = State.Replicas.at(it.first);
    if (Uses[it.first].Running > 0 || !change(ReplicaAction::Gone, it.second))
      return false;
    Uses.erase(it.first);
    Placement::noteGone(Known, it.first, gone, pointOf(Time));
    return true;
  });
}

double Fleet::loadSeconds(const Placement::Decision &decision) const {
  auto spec = State.Table.Models.find(decision.Model);
  if (spec == State.Table.Models.end())
    return AdapterLoadSeconds;
  auto contains = [&](const auto &all) {
    auto it = all.find(decision.Endpoint);
    return it != all.end() &&
           std::find(it->second.begin(), it->second.end(),
                     spec->second.Weights) != it->second.end();
  };
  if (contains(InMemory))
    return MemoryLoadSeconds;
  return contains(OnDisk) ? DiskLoadSeconds : StoreLoadSeconds;
}

void Fleet::report() {
  for (const auto &[name, endpoint] : State.Endpoints) {
    Engine::Report content;
    content.CachedOnDisk = OnDisk[name];
    content.CachedInMemory.assign(InMemory[name].begin(), InMemory[name].end());
    for (const auto &[id, replica] : State.Replicas)
      if (replica.Endpoint == name)
        content.Models.push_back({replica.Model, id,
                                  replica.Phase == ReplicaPhase::Loading
                                      ? Engine::HeldPhase::Loading
                                      : Engine::HeldPhase::Ready,
                                  0, Uses[id].Running, Uses[id].Served});
    Known.Reports[name] = {std::move(content), pointOf(Time)};
  }
}

void Fleet::plan() {
  Utils::TimePoint now = pointOf(Time);
  report();
  Placement::noteUse(Known, State, now);
  Placement::noteReplacements(Known, State, Policy, now);
  for (const Placement::Decision &it :
       Placement::planRound(State, Known, Policy, now)) {
    bool load = it.Kind == DecisionKind::Load;
    double seconds = load ? loadSeconds(it) : 0;
    if (!change(load ? ReplicaAction::DecideLoad : ReplicaAction::DecideUnload,
                it))
      continue;
    if (!load) {
      Unloads[it.ReplicaId] = it;
      continue;
    }
    Measured.Loads += measures() ? 1 : 0;
    Placement::noteLoadStart(Known, State, it, now);
    Loads.push_back({it, Time + seconds});
  }
  Placement::noteDrains(Known, State, UnloadGrace, LongestDrain, now);
}

void Fleet::countIdle(double seconds) {
  for (const auto &[id, replica] : State.Replicas)
    if (replica.Phase == ReplicaPhase::Ready && Uses[id].Running == 0)
      Measured.IdleEngineHours += seconds / SecondsPerHour *
                                  static_cast<double>(replica.MemoryMb) /
                                  static_cast<double>(EngineMb);
}

Result Fleet::run(const std::vector<Arrival> &arrivals, double hours) {
  size_t next = 0;
  double planned = -PlanSeconds;
  for (; Time < hours * SecondsPerHour; Time += TickSeconds) {
    finishRequests();
    finishLoads();
    finishUnloads();
    while (next < arrivals.size() && arrivals[next].At <= Time)
      arrive(arrivals[next++]);
    if (!State.Demands.empty() || Time - planned >= PlanSeconds) {
      plan();
      planned = Time;
    }
    // Requests whose model became ready or was demanded again meanwhile.
    for (auto &[model, queue] : Waiting)
      if (!queue.empty())
        startWaiting(model);
    if (measures())
      countIdle(TickSeconds);
  }
  for (const auto &[model, queue] : Waiting)
    Measured.Unserved += queue.size();
  return Measured;
}

} // namespace Replay
