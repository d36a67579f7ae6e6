#include "history/applyrecord.h"
#include "history/historyconstants.h"

namespace History::Internal {

namespace {

void auditReplica(State &state, Position at, const ReplicaChange &record,
                  const std::string &before, const std::string &after) {
  audit(state, {at, 0, record.Actor,
                "replica " + record.Model + " on " + record.Endpoint, before,
                after, true, ""});
}

uint32_t replicaCount(const State &state, const std::string &model) {
  uint32_t n = 0;
  for (const auto &[id, replica] : state.Replicas)
    n += replica.Model == model ? 1 : 0;
  return n;
}

uint32_t replicaLimit(const TableState &table, const std::string &model) {
  if (auto it = table.Models.find(model); it != table.Models.end())
    return it->second.MaxReplicas;
  return UINT32_MAX;
}

bool isOnEndpoint(const State &state, const std::string &model,
                  const std::string &endpoint, ReplicaPhase phase) {
  for (const auto &[id, replica] : state.Replicas)
    if (replica.Model == model && replica.Endpoint == endpoint &&
        replica.Phase == phase)
      return true;
  return false;
}

/// Whether an adapter of this base is on the endpoint in any phase.
bool carriesAdapter(const State &state, const std::string &base,
                    const std::string &endpoint) {
  for (const auto &[id, replica] : state.Replicas) {
    auto adapter = state.Table.Adapters.find(replica.Model);
    if (replica.Endpoint == endpoint && adapter != state.Table.Adapters.end() &&
        adapter->second.Base == base)
      return true;
  }
  return false;
}

/// Whether another daemon than the actor may still send an order.
bool othersMaySend(const Replica &replica, const std::string &actor) {
  return replica.Senders.size() > replica.Senders.count(actor);
}

Verdict decideLoad(State &state, Position at, const ReplicaChange &record) {
  uint64_t memoryMb = replicaMemoryMb(state.Table, record.Model);
  auto it = state.Endpoints.find(record.Endpoint);
  if (!memoryMb)
    return rejected(at, "no such model");
  if (it == state.Endpoints.end() || it->second.Kind != EndpointKind::Engine ||
      it->second.Life != EndpointLife::Live)
    return rejected(at, "the endpoint is not a live engine");
  if (state.Replicas.count(record.ReplicaId))
    return rejected(at, "the replica exists");
  for (const auto &[id, replica] : state.Replicas)
    if (replica.Model == record.Model && replica.Endpoint == record.Endpoint)
      return rejected(at, "the endpoint has a replica of this model");
  if (replicaCount(state, record.Model) >=
      replicaLimit(state.Table, record.Model))
    return rejected(at, "the model has its most replicas");
  if (auto adapter = state.Table.Adapters.find(record.Model);
      adapter != state.Table.Adapters.end() &&
      !isOnEndpoint(state, adapter->second.Base, record.Endpoint,
                    ReplicaPhase::Ready))
    return rejected(at, "the base model is not ready on the endpoint");
  if (it->second.ChargedMb + memoryMb > it->second.MemoryMb)
    return rejected(at, "the endpoint lacks memory");
  it->second.ChargedMb += memoryMb;
  state.Replicas[record.ReplicaId] = {
      record.Model, record.Endpoint,     memoryMb, ReplicaPhase::Loading, at,
      record.Actor, {{record.Actor, at}}};
  state.Demands.erase(record.Model);
  auditReplica(state, at, record, "", "loading");
  return accepted(at);
}

Verdict setReady(State &state, Position at, const ReplicaChange &record) {
  auto it = state.Replicas.find(record.ReplicaId);
  if (it == state.Replicas.end() || it->second.Phase != ReplicaPhase::Loading)
    return rejected(at, "the replica is not loading");
  it->second.Phase = ReplicaPhase::Ready;
  auditReplica(state, at, record, "loading", "ready");
  return accepted(at);
}

Verdict decideUnload(State &state, Position at, const ReplicaChange &record) {
  auto it = state.Replicas.find(record.ReplicaId);
  if (it == state.Replicas.end() || it->second.Phase == ReplicaPhase::Unloading)
    return rejected(at, "no such replica to unload");
  if (carriesAdapter(state, it->second.Model, it->second.Endpoint))
    return rejected(at, "adapters are loaded on this base model");
  std::string before(replicaPhaseName(it->second.Phase));
  it->second.Phase = ReplicaPhase::Unloading;
  it->second.Decision = at;
  it->second.Actor = record.Actor;
  it->second.Senders[record.Actor] = at;
  auditReplica(state, at, record, before, "unloading");
  return accepted(at);
}

Verdict setGone(State &state, Position at, const ReplicaChange &record) {
  auto it = state.Replicas.find(record.ReplicaId);
  if (it == state.Replicas.end())
    return rejected(at, "no such replica");
  auto endpoint = state.Endpoints.find(it->second.Endpoint);
  bool endpointGone = endpoint == state.Endpoints.end() ||
                      endpoint->second.Life == EndpointLife::Gone;
  if (it->second.Phase != ReplicaPhase::Unloading && !endpointGone)
    return rejected(at, "the replica was not to be unloaded");
  if (!endpointGone && !endpoint->second.ChecksFencing &&
      othersMaySend(it->second, record.Actor))
    return rejected(at, "another daemon may still send an order");
  if (endpoint != state.Endpoints.end())
    endpoint->second.ChargedMb -= it->second.MemoryMb;
  auditReplica(state, at, record,
               std::string(replicaPhaseName(it->second.Phase)), "gone");
  state.Replicas.erase(it);
  if (endpointGone && endpoint != state.Endpoints.end() &&
      endpoint->second.ChargedMb == 0)
    state.Endpoints.erase(endpoint);
  return accepted(at);
}

Verdict adopt(State &state, Position at, const ReplicaChange &record) {
  auto it = state.Replicas.find(record.ReplicaId);
  if (it == state.Replicas.end())
    return rejected(at, "no such replica");
  it->second.Senders[record.Actor] = at;
  return accepted(at);
}

Verdict settled(State &state, Position at, const ReplicaChange &record) {
  auto it = state.Replicas.find(record.ReplicaId);
  if (it == state.Replicas.end())
    return rejected(at, "no such replica");
  auto sender = it->second.Senders.find(record.Actor);
  if (sender == it->second.Senders.end() || sender->second != record.Settles)
    return rejected(at, "the sender has moved on");
  it->second.Senders.erase(sender);
  return accepted(at);
}

} // namespace

Verdict applyRecord(State &state, Position at, const EndpointChange &record) {
  if (record.Fence == 0 ||
      record.Fence != fenceOf(state, Constants::PlacementDuty))
    return rejected(at, "not the holder of the placement duty");
  auto lifeName = [&](EndpointLife life) {
    return std::string(endpointLifeName(life));
  };
  auto [it, isNew] = state.Endpoints.try_emplace(record.Endpoint);
  Endpoint &endpoint = it->second;
  std::string before = isNew ? "" : lifeName(endpoint.Life);
  uint64_t chargedMb = endpoint.ChargedMb;
  endpoint = {record.Kind, record.Life,          record.Address,
              record.Port, record.FailureDomain, record.MemoryMb,
              chargedMb,   record.ChecksFencing, record.Service};
  audit(state, {at, 0, state.Leases.at(Constants::PlacementDuty).Holder,
                "endpoint " + record.Endpoint, before, lifeName(record.Life),
                true, ""});
  if (record.Life == EndpointLife::Gone && chargedMb == 0)
    state.Endpoints.erase(record.Endpoint);
  return accepted(at);
}

Verdict applyRecord(State &state, Position at, const ReplicaChange &record) {
  if (record.Action == ReplicaAction::Settled)
    return settled(state, at, record);
  if (record.Fence == 0 ||
      record.Fence != fenceOf(state, Constants::PlacementDuty))
    return rejected(at, "not the holder of the placement duty");
  switch (record.Action) {
  case ReplicaAction::DecideLoad:
    return decideLoad(state, at, record);
  case ReplicaAction::Ready:
    return setReady(state, at, record);
  case ReplicaAction::DecideUnload:
    return decideUnload(state, at, record);
  case ReplicaAction::Gone:
    return setGone(state, at, record);
  case ReplicaAction::Adopt:
    return adopt(state, at, record);
  case ReplicaAction::Settled:
    break;
  }
  return rejected(at, "unknown replica action");
}

} // namespace History::Internal

namespace History {

bool isServedOrLoading(const State &state, const std::string &model) {
  for (const auto &[id, replica] : state.Replicas) {
    auto endpoint = state.Endpoints.find(replica.Endpoint);
    if (replica.Model == model && replica.Phase != ReplicaPhase::Unloading &&
        endpoint != state.Endpoints.end() &&
        endpoint->second.Life == EndpointLife::Live)
      return true;
  }
  return false;
}

void settleSender(State &state, const std::string &daemon) {
  for (auto &[id, replica] : state.Replicas)
    replica.Senders.erase(daemon);
}

} // namespace History
