#include "placement/plan.h"

#include "utils/digest.h"

#include <algorithm>
#include <tuple>

namespace Placement::Internal {

using History::ReplicaPhase;

namespace {

using Rank = std::tuple<uint32_t, Locality, uint64_t, std::string_view>;

/// Search for the engine of a new replica.
struct Search {
  const std::string &Model;
  const std::string &Weights;
  uint64_t NeededMb = 0;
  std::map<std::string_view, uint32_t> ReplicasByDomain;
  std::set<std::string_view> Holding;
  std::optional<Rank> Best;
};

Search makeSearch(const Plan &plan, const std::string &model) {
  Search search{model,
                weightsOf(plan.State, model),
                History::replicaMemoryMb(plan.State.Table, model),
                {},
                {},
                {}};
  for (const ReplicaEntry *it : replicasOf(plan, model)) {
    const EndpointView &endpoint = endpointOf(plan, it->second);
    search.Holding.insert(endpoint.Name);
    if (endpoint.Content)
      ++search.ReplicasByDomain[endpoint.Content->FailureDomain];
  }
  return search;
}

/// Memory that is free may be held for a model of higher rank.
bool canTake(const Search &search, const EndpointView &engine) {
  return engine.IsLiveEngine && !engine.IsSilent &&
         std::min(engine.FreeMb, engine.ComingMb) >= search.NeededMb &&
         search.Holding.count(engine.Name) == 0;
}

/// The fullest engine with room keeps large gaps for large models.
void consider(Search &search, const EndpointView &engine) {
  if (!canTake(search, engine))
    return;
  auto domain = search.ReplicasByDomain.find(engine.Content->FailureDomain);
  uint32_t n = domain == search.ReplicasByDomain.end() ? 0 : domain->second;
  Rank rank = {n, localityOf(engine, search.Weights), engine.FreeMb,
               engine.Name};
  if (!search.Best || rank < *search.Best)
    search.Best = rank;
}

void considerEnginesOfBase(const Plan &plan, Search &search,
                           const std::string &base) {
  for (const ReplicaEntry *it : replicasOf(plan, base))
    if (it->second.Phase == ReplicaPhase::Ready &&
        !plan.Victims.count(it->first))
      consider(search, endpointOf(plan, it->second));
}

/// Of the engines that keep no copy, only the fullest of each domain can be
/// best.
void considerAllEngines(const Plan &plan, Search &search) {
  if (auto it = plan.Index->Keeping.find(search.Weights);
      it != plan.Index->Keeping.end())
    for (const EndpointView *engine : it->second)
      consider(search, *engine);
  for (const auto &[domain, engines] : plan.Index->FreeByDomain)
    for (auto it = engines.lower_bound({search.NeededMb, {}});
         it != engines.end(); ++it) {
      const EndpointView &engine = plan.Endpoints.at(it->second);
      consider(search, engine);
      if (canTake(search, engine))
        break;
    }
}

EngineIndex makeIndex(const Plan &plan) {
  EngineIndex index;
  for (EndpointView *it : plan.Engines) {
    index.FreeByDomain[it->Content->FailureDomain].insert(
        {it->FreeMb, it->Name});
    if (!it->Report)
      continue;
    for (const std::string &weights : it->Report->Content.CachedInMemory)
      index.Keeping[weights].push_back(it);
    for (const std::string &weights : it->Report->Content.CachedOnDisk)
      index.Keeping[weights].push_back(it);
  }
  return index;
}

void takeMemory(Plan &plan, const std::string &name, uint64_t neededMb) {
  EndpointView &engine = plan.Endpoints.at(name);
  auto &engines = plan.Index->FreeByDomain[engine.Content->FailureDomain];
  engines.erase({engine.FreeMb, engine.Name});
  engine.FreeMb -= neededMb;
  engine.ComingMb -= neededMb;
  engines.insert({engine.FreeMb, engine.Name});
}

/// Whether the load waits for an unload of the model on an engine that keeps
/// the checkpoint and will have room. That room is spoken for from then on.
bool awaitsUnload(Plan &plan, const std::string &model) {
  uint64_t neededMb = History::replicaMemoryMb(plan.State.Table, model);
  for (const ReplicaEntry *it : replicasOf(plan, model)) {
    EndpointView &engine = plan.Endpoints.at(it->second.Endpoint);
    if (engine.ComingMb < neededMb ||
        !isWorthAwaiting(plan.State, plan.Known, plan.Rules, it->first,
                         plan.Now))
      continue;
    engine.ComingMb -= std::min(neededMb, it->second.MemoryMb);
    return true;
  }
  return false;
}

} // namespace

std::string chooseEngine(Plan &plan, const std::string &model) {
  if (!plan.Index)
    plan.Index = makeIndex(plan);
  Search search = makeSearch(plan, model);
  if (const std::string *base = baseOf(plan.State, model))
    considerEnginesOfBase(plan, search, *base);
  else
    considerAllEngines(plan, search);
  return search.Best ? std::string(std::get<std::string_view>(*search.Best))
                     : std::string();
}

void planLoad(Plan &plan, const std::string &model) {
  std::string engine = chooseEngine(plan, model);
  bool adapter = baseOf(plan.State, model) != nullptr;
  bool fromStore = engine.empty() ||
                   localityOf(plan.Endpoints.at(engine),
                              weightsOf(plan.State, model)) == Locality::Remote;
  if (!adapter && fromStore && awaitsUnload(plan, model))
    return;
  if (engine.empty()) {
    planRoom(plan, model);
    return;
  }
  if (adapter && plan.AdapterLoads >= plan.Rules.AdapterLoadsAtOnce)
    return;
  if (!adapter && fromStore &&
      (plan.StoreLoads >= plan.Rules.ModelLoadsAtOnce ||
       !plan.MayStartStoreLoad)) {
    // The next model finds its room elsewhere, while this one waits its turn.
    if (plan.RoomsHeld < plan.Rules.RoomsAhead) {
      ++plan.RoomsHeld;
      takeMemory(plan, engine,
                 History::replicaMemoryMb(plan.State.Table, model));
    }
    return;
  }
  if (adapter) {
    ++plan.AdapterLoads;
  } else if (fromStore) {
    ++plan.StoreLoads;
    plan.MayStartStoreLoad = false;
  }
  takeMemory(plan, engine, History::replicaMemoryMb(plan.State.Table, model));
  plan.Decisions.push_back(
      {DecisionKind::Load, Utils::randomId(), model, engine, fromStore});
}

} // namespace Placement::Internal
