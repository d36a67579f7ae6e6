#include "placement/plan.h"

#include <algorithm>
#include <tuple>

namespace Placement::Internal {

using History::Replica;
using History::ReplicaPhase;

namespace {

bool carriesAdapters(const Plan &plan, const Replica &base) {
  return endpointOf(plan, base).BasesInUse.count(base.Model) != 0;
}

std::vector<Victim> idleOn(const Plan &plan, const EndpointView &engine) {
  std::vector<Victim> victims;
  for (const ReplicaEntry *it : engine.Replicas) {
    const auto &[id, replica] = *it;
    double idle = idleSeconds(plan, id);
    if (replica.Phase != ReplicaPhase::Ready || idle <= 0 ||
        plan.State.Demands.count(replica.Model) ||
        carriesAdapters(plan, replica))
      continue;
    victims.push_back({it, plan.Rules.Idle.Loss(plan.Known, plan.State,
                                                plan.Rules, replica, idle)});
  }
  std::sort(victims.begin(), victims.end(),
            [](const Victim &left, const Victim &right) {
              return std::tie(left.Loss, left.Entry->first) <
                     std::tie(right.Loss, right.Entry->first);
            });
  return victims;
}

/// What one engine would unload for a model.
struct Room {
  std::vector<const ReplicaEntry *> Replicas;
  double Loss = 0;
  uint64_t Mb = 0;
};

/// Idle replicas of least loss; those on which the wanted model itself depends
/// stay.
Room roomOn(const Plan &plan, EndpointView &engine, const std::string *base,
            uint64_t neededMb) {
  if (!engine.Idle)
    engine.Idle = idleOn(plan, engine);
  Room room;
  room.Mb = engine.ComingMb;
  for (const Victim &it : *engine.Idle) {
    if (room.Mb >= neededMb)
      break;
    const auto &[id, replica] = *it.Entry;
    if (plan.Victims.count(id) || (base && replica.Model == *base))
      continue;
    room.Mb += replica.MemoryMb;
    room.Loss += it.Loss;
    room.Replicas.push_back(it.Entry);
  }
  return room;
}

/// Live engines that may hold the model once there is room, by name.
std::vector<EndpointView *> possibleHosts(Plan &plan, const std::string &model,
                                          const std::string *base) {
  std::set<std::string_view> holding;
  for (const ReplicaEntry *it : replicasOf(plan, model))
    holding.insert(it->second.Endpoint);
  std::set<std::string_view> withBase;
  if (base)
    for (const ReplicaEntry *it : replicasOf(plan, *base))
      if (it->second.Phase == ReplicaPhase::Ready)
        withBase.insert(it->second.Endpoint);
  std::vector<EndpointView *> hosts;
  for (EndpointView *it : plan.Engines)
    if (!holding.count(it->Name) && (!base || withBase.count(it->Name)))
      hosts.push_back(it);
  return hosts;
}

} // namespace

void planUnload(Plan &plan, const std::string &id) {
  const Replica &replica = plan.State.Replicas.at(id);
  EndpointView &endpoint = plan.Endpoints.at(replica.Endpoint);
  bool carries = carriesAdapters(plan, replica);
  for (size_t i = 0; carries && i < endpoint.Replicas.size(); ++i) {
    const auto &[otherId, other] = *endpoint.Replicas[i];
    const std::string *base = baseOf(plan.State, other.Model);
    if (base && *base == replica.Model &&
        other.Phase != ReplicaPhase::Unloading)
      planUnload(plan, otherId);
  }
  // The fold refuses to unload a base model before its adapters are gone.
  if (carries || !plan.Victims.insert(id).second)
    return;
  endpoint.ComingMb += replica.MemoryMb;
  plan.Decisions.push_back(
      {DecisionKind::Unload, id, replica.Model, replica.Endpoint, false});
}

void planRoom(Plan &plan, const std::string &model) {
  if (plan.RoomsHeld >= plan.Rules.RoomsAhead)
    return;
  uint64_t neededMb = History::replicaMemoryMb(plan.State.Table, model);
  const std::string *base = baseOf(plan.State, model);
  Room best;
  EndpointView *host = nullptr;
  for (EndpointView *engine : possibleHosts(plan, model, base)) {
    if (engine->ComingMb >= neededMb) {
      host = engine;
      best = {};
      break;
    }
    Room room = roomOn(plan, *engine, base, neededMb);
    if (room.Mb < neededMb || (host && room.Loss >= best.Loss))
      continue;
    host = engine;
    best = std::move(room);
  }
  if (!host)
    return;
  for (const ReplicaEntry *it : best.Replicas)
    planUnload(plan, it->first);
  host->ComingMb -= std::min(host->ComingMb, neededMb);
  ++plan.RoomsHeld;
}

} // namespace Placement::Internal
