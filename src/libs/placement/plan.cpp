#include "placement/plan.h"

#include <algorithm>

namespace Placement::Internal {

using History::ReplicaPhase;

namespace {

/// What the engine has free by the log and by its own word, whichever is less:
/// it may hold what nobody decided, as after its VM left and came back.
uint64_t freeMb(const History::Endpoint &endpoint, const SeenReport *report) {
  uint64_t used = endpoint.ChargedMb;
  if (report)
    used = std::max(used, report->Content.MemoryUsedMb);
  return endpoint.MemoryMb > used ? endpoint.MemoryMb - used : 0;
}

bool contains(const std::vector<std::string> &names, const std::string &name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

const SeenReport *reportOf(const Knowledge &knowledge,
                           const std::string &endpoint) {
  auto it = knowledge.Reports.find(endpoint);
  return it == knowledge.Reports.end() ? nullptr : &it->second;
}

} // namespace

const std::string *baseOf(const History::State &state,
                          const std::string &model) {
  auto it = state.Table.Adapters.find(model);
  return it == state.Table.Adapters.end() ? nullptr : &it->second.Base;
}

const std::string &weightsOf(const History::State &state,
                             const std::string &model) {
  static const std::string none;
  if (auto it = state.Table.Models.find(model); it != state.Table.Models.end())
    return it->second.Weights;
  auto it = state.Table.Adapters.find(model);
  return it == state.Table.Adapters.end() ? none : it->second.Weights;
}

bool isLiveEngine(const History::State &state, const std::string &endpoint) {
  auto it = state.Endpoints.find(endpoint);
  return it != state.Endpoints.end() &&
         it->second.Kind == History::EndpointKind::Engine &&
         it->second.Life == History::EndpointLife::Live;
}

const std::vector<const ReplicaEntry *> &replicasOf(const Plan &plan,
                                                    const std::string &model) {
  static const std::vector<const ReplicaEntry *> none;
  auto it = plan.ByModel.find(model);
  return it == plan.ByModel.end() ? none : it->second;
}

const EndpointView &endpointOf(const Plan &plan,
                               const History::Replica &replica) {
  return plan.Endpoints.at(replica.Endpoint);
}

const Engine::HeldModel *heldOf(const Plan &plan, const std::string &id) {
  auto it = plan.Held.find(id);
  return it == plan.Held.end() ? nullptr : it->second;
}

Locality localityOf(const EndpointView &endpoint, const std::string &weights) {
  if (!endpoint.Report)
    return Locality::Remote;
  const Engine::Report &report = endpoint.Report->Content;
  if (contains(report.CachedInMemory, weights))
    return Locality::Memory;
  return contains(report.CachedOnDisk, weights) ? Locality::Disk
                                                : Locality::Remote;
}

double idleSeconds(const Plan &plan, const std::string &id) {
  const Engine::HeldModel *held = heldOf(plan, id);
  if (held && held->Running > 0)
    return 0;
  auto use = plan.Known.ReplicaUses.find(id);
  if (use == plan.Known.ReplicaUses.end())
    return 0;
  // Reports are seconds apart; what an engine served since is not known.
  Utils::TimePoint seen = plan.Now;
  if (auto it = plan.State.Replicas.find(id); it != plan.State.Replicas.end())
    if (const SeenReport *report = endpointOf(plan, it->second).Report;
        report && plan.Now - report->At < plan.Rules.ReportLifetime)
      seen = report->At;
  return std::max(
      0.0, std::chrono::duration<double>(seen - use->second.LastUsed).count());
}

namespace {

void addEndpoints(Plan &plan) {
  std::set<std::string> silent =
      silentEngines(plan.State, plan.Known, plan.Rules, plan.Now);
  plan.Endpoints.reserve(plan.State.Endpoints.size());
  for (const auto &[name, endpoint] : plan.State.Endpoints) {
    EndpointView &view = plan.Endpoints[name];
    view.Name = name;
    view.Content = &endpoint;
    view.Report = reportOf(plan.Known, name);
    view.IsLiveEngine = isLiveEngine(plan.State, name);
    if (!view.IsLiveEngine)
      continue;
    view.FreeMb = view.ComingMb = freeMb(endpoint, view.Report);
    view.IsSilent = silent.count(name) > 0;
    if (!view.IsSilent)
      plan.Engines.push_back(&view);
  }
}

void addReplica(Plan &plan, const ReplicaEntry &entry) {
  const History::Replica &replica = entry.second;
  EndpointView &view = plan.Endpoints[replica.Endpoint];
  view.Name = replica.Endpoint;
  view.Replicas.push_back(&entry);
  plan.ByModel[replica.Model].push_back(&entry);
  const std::string *base = baseOf(plan.State, replica.Model);
  if (base)
    view.BasesInUse.insert(*base);
  if (replica.Phase == ReplicaPhase::Unloading)
    view.ComingMb += replica.MemoryMb;
  if (replica.Phase != ReplicaPhase::Loading)
    return;
  if (base)
    ++plan.AdapterLoads;
  else if (localityOf(view, weightsOf(plan.State, replica.Model)) ==
           Locality::Remote)
    ++plan.StoreLoads;
}

/// Only what the endpoint of a replica reports counts for it.
void addHeld(Plan &plan) {
  plan.Held.reserve(plan.State.Replicas.size());
  for (const auto &[name, report] : plan.Known.Reports)
    for (const Engine::HeldModel &held : report.Content.Models)
      if (auto it = plan.State.Replicas.find(held.ReplicaId);
          it != plan.State.Replicas.end() && it->second.Endpoint == name)
        plan.Held[it->first] = &held;
}

} // namespace

Plan makePlan(const History::State &state, const Knowledge &knowledge,
              const Policy &policy, Utils::TimePoint now) {
  Plan plan{state, knowledge, policy, now,  {}, {}, {}, {},
            {},    0,         0,      true, 0,  {}, {}};
  plan.MayStartStoreLoad = now - knowledge.LastStoreLoad >= policy.LoadInterval;
  addEndpoints(plan);
  for (const ReplicaEntry &entry : state.Replicas)
    addReplica(plan, entry);
  addHeld(plan);
  return plan;
}

} // namespace Placement::Internal
