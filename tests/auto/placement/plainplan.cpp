#include "plainplan.h"

#include <algorithm>
#include <tuple>

using namespace Placement;
using History::Replica;
using History::ReplicaPhase;

namespace {

using Entries = std::vector<std::pair<std::string, Replica>>;

struct PlainPlan {
  std::vector<Decision> Decisions;
  std::set<std::string> Victims;
  size_t NewStoreLoads = 0;
  size_t NewAdapterLoads = 0;
  size_t RoomsHeld = 0;
  std::map<std::string, uint64_t> TakenMb;
  std::map<std::string, uint64_t> SpokenForMb;
  Utils::TimePoint Now;
  const Policy &Rules;
  const Knowledge &Known;
  const History::State &State;

  Entries replicas(const std::function<bool(const Replica &)> &wanted) const {
    Entries found;
    for (const auto &entry : State.Replicas)
      if (wanted(entry.second))
        found.push_back(entry);
    return found;
  }
  std::string baseOf(const std::string &model) const {
    auto it = State.Table.Adapters.find(model);
    return it == State.Table.Adapters.end() ? "" : it->second.Base;
  }
  bool isLive(const std::string &endpoint) const {
    auto it = State.Endpoints.find(endpoint);
    return it != State.Endpoints.end() &&
           it->second.Kind == History::EndpointKind::Engine &&
           it->second.Life == History::EndpointLife::Live;
  }
  bool answers(const std::string &endpoint) const {
    return isLive(endpoint) &&
           silentEngines(State, Known, Rules, Now).count(endpoint) == 0;
  }
  bool mayAdd(const std::string &model) const {
    auto spec = State.Table.Models.find(model);
    return spec == State.Table.Models.end() ||
           replicas([&](const Replica &it) {
             return it.Model == model && it.Phase != ReplicaPhase::Unloading &&
                    isLive(it.Endpoint);
           }).size() < spec->second.MaxReplicas;
  }
  const Engine::Report *reportOf(const std::string &endpoint) const {
    auto it = Known.Reports.find(endpoint);
    return it == Known.Reports.end() ? nullptr : &it->second.Content;
  }
  const Engine::HeldModel *heldOf(const std::string &id,
                                  const Replica &replica) const {
    if (const Engine::Report *report = reportOf(replica.Endpoint))
      for (const Engine::HeldModel &it : report->Models)
        if (it.ReplicaId == id)
          return &it;
    return nullptr;
  }
  /// 0 in memory, 1 on disk, 2 in the weight store only.
  int distance(const std::string &endpoint, const std::string &model) const {
    std::string weights;
    if (auto it = State.Table.Models.find(model);
        it != State.Table.Models.end())
      weights = it->second.Weights;
    else if (auto adapter = State.Table.Adapters.find(model);
             adapter != State.Table.Adapters.end())
      weights = adapter->second.Weights;
    const Engine::Report *report = reportOf(endpoint);
    auto keeps = [&](const std::vector<std::string> &names) {
      return std::find(names.begin(), names.end(), weights) != names.end();
    };
    if (!report)
      return 2;
    return keeps(report->CachedInMemory) ? 0
           : keeps(report->CachedOnDisk) ? 1
                                         : 2;
  }
  double idle(const std::string &id, const Replica &replica) const {
    const Engine::HeldModel *held = heldOf(id, replica);
    auto use = Known.ReplicaUses.find(id);
    if ((held && held->Running > 0) || use == Known.ReplicaUses.end())
      return 0;
    auto report = Known.Reports.find(replica.Endpoint);
    bool fresh = report != Known.Reports.end() &&
                 Now - report->second.At < Rules.ReportLifetime;
    Utils::TimePoint seen = fresh ? report->second.At : Now;
    return std::max(
        0.0,
        std::chrono::duration<double>(seen - use->second.LastUsed).count());
  }
  uint64_t freeMb(const std::string &name) const {
    const History::Endpoint &endpoint = State.Endpoints.at(name);
    uint64_t used = endpoint.ChargedMb;
    if (const Engine::Report *report = reportOf(name))
      used = std::max(used, report->MemoryUsedMb);
    uint64_t mb = endpoint.MemoryMb > used ? endpoint.MemoryMb - used : 0;
    auto taken = TakenMb.find(name);
    return taken == TakenMb.end() ? mb : mb - taken->second;
  }
  Entries serving(const std::string &model) const {
    return replicas([&](const Replica &it) {
      return it.Model == model && it.Phase != ReplicaPhase::Unloading &&
             answers(it.Endpoint);
    });
  }
  bool carriesAdapters(const Replica &base) const {
    return !replicas([&](const Replica &it) {
              return it.Endpoint == base.Endpoint &&
                     baseOf(it.Model) == base.Model;
            }).empty();
  }

  void unload(const std::string &id) {
    const Replica &replica = State.Replicas.at(id);
    for (const auto &[other, it] : State.Replicas)
      if (it.Endpoint == replica.Endpoint &&
          baseOf(it.Model) == replica.Model &&
          it.Phase != ReplicaPhase::Unloading)
        unload(other);
    if (!carriesAdapters(replica) && Victims.insert(id).second)
      Decisions.push_back(
          {DecisionKind::Unload, id, replica.Model, replica.Endpoint, false});
  }
  bool mayHost(const std::string &engine, const std::string &model,
               bool unlessVictim) const {
    std::string base = baseOf(model);
    bool hasBase = base.empty();
    for (const auto &[id, it] : State.Replicas) {
      if (it.Endpoint != engine)
        continue;
      if (it.Model == model)
        return false;
      hasBase |= it.Model == base && it.Phase == ReplicaPhase::Ready &&
                 !(unlessVictim && Victims.count(id));
    }
    return hasBase;
  }
  std::string chooseEngine(const std::string &model, uint64_t mb) const {
    std::optional<std::tuple<size_t, int, uint64_t, std::string>> best;
    for (const auto &[name, endpoint] : State.Endpoints) {
      const std::string &domain = endpoint.FailureDomain;
      if (!answers(name) || freeMb(name) < mb || comingMb(name) < mb ||
          !mayHost(name, model, true))
        continue;
      size_t n =
          replicas([&](const Replica &it) {
            return it.Model == model && State.Endpoints.count(it.Endpoint) &&
                   State.Endpoints.at(it.Endpoint).FailureDomain == domain;
          }).size();
      std::tuple<size_t, int, uint64_t, std::string> rank = {
          n, distance(name, model), freeMb(name), name};
      if (!best || rank < *best)
        best = rank;
    }
    return best ? std::get<3>(*best) : "";
  }
  void load(const std::string &model) {
    uint64_t mb = History::replicaMemoryMb(State.Table, model);
    std::string engine = chooseEngine(model, mb);
    bool adapter = !baseOf(model).empty();
    bool fromStore = engine.empty() || distance(engine, model) == 2;
    if (!adapter && fromStore && awaitsUnload(model, mb))
      return;
    if (engine.empty())
      return makeRoom(model, mb);
    auto loading = [&](bool adapters) {
      return replicas([&](const Replica &it) {
               return it.Phase == ReplicaPhase::Loading &&
                      baseOf(it.Model).empty() != adapters &&
                      (adapters || distance(it.Endpoint, it.Model) == 2);
             })
          .size();
    };
    if (adapter && loading(true) + NewAdapterLoads >= Rules.AdapterLoadsAtOnce)
      return;
    if (!adapter && fromStore &&
        (NewStoreLoads > 0 || loading(false) >= Rules.ModelLoadsAtOnce ||
         Now - Known.LastStoreLoad < Rules.LoadInterval)) {
      if (RoomsHeld < Rules.RoomsAhead) {
        ++RoomsHeld;
        TakenMb[engine] += mb;
      }
      return;
    }
    NewAdapterLoads += adapter ? 1 : 0;
    NewStoreLoads += !adapter && fromStore ? 1 : 0;
    TakenMb[engine] += mb;
    Decisions.push_back({DecisionKind::Load, "", model, engine, fromStore});
  }
  /// Free memory, and what unloads will free.
  uint64_t comingMb(const std::string &name) const {
    uint64_t mb = freeMb(name);
    for (const auto &[id, it] : State.Replicas)
      if (it.Endpoint == name &&
          (it.Phase == ReplicaPhase::Unloading || Victims.count(id)))
        mb += it.MemoryMb;
    auto taken = SpokenForMb.find(name);
    return taken == SpokenForMb.end() ? mb : mb - taken->second;
  }
  bool awaitsUnload(const std::string &model, uint64_t mb) {
    for (const auto &[id, it] : State.Replicas)
      if (it.Model == model && isLive(it.Endpoint) &&
          comingMb(it.Endpoint) >= mb &&
          isWorthAwaiting(State, Known, Rules, id, Now)) {
        SpokenForMb[it.Endpoint] += std::min(mb, it.MemoryMb);
        return true;
      }
    return false;
  }
  void makeRoom(const std::string &model, uint64_t mb) {
    if (RoomsHeld >= Rules.RoomsAhead)
      return;
    std::string host;
    using Candidate = std::tuple<double, std::string, uint64_t>;
    std::vector<Candidate> best;
    double bestLoss = 0;
    for (const auto &[name, endpoint] : State.Endpoints) {
      if (!answers(name) || !mayHost(name, model, false))
        continue;
      uint64_t coming = comingMb(name);
      std::vector<Candidate> idles;
      for (const auto &[id, it] : State.Replicas) {
        if (it.Endpoint != name)
          continue;
        if (it.Phase == ReplicaPhase::Ready && !Victims.count(id) &&
            it.Model != baseOf(model) && !State.Demands.count(it.Model) &&
            idle(id, it) > 0 && !carriesAdapters(it))
          idles.emplace_back(
              Rules.Idle.Loss(Known, State, Rules, it, idle(id, it)), id,
              it.MemoryMb);
      }
      if (coming >= mb) {
        host = name;
        best.clear();
        break;
      }
      std::sort(idles.begin(), idles.end());
      std::vector<Candidate> chosen;
      double loss = 0;
      for (size_t i = 0; i < idles.size() && coming < mb; ++i) {
        coming += std::get<2>(idles[i]);
        loss += std::get<0>(idles[i]);
        chosen.push_back(idles[i]);
      }
      if (coming >= mb && (host.empty() || loss < bestLoss)) {
        host = name;
        best = chosen;
        bestLoss = loss;
      }
    }
    for (const Candidate &it : best)
      unload(std::get<1>(it));
    if (host.empty())
      return;
    SpokenForMb[host] += mb;
    ++RoomsHeld;
  }

  bool mustGo(const std::string &id, const Replica &it) const {
    auto trace = Known.Orders.find(id);
    bool refused =
        it.Phase == ReplicaPhase::Loading && trace != Known.Orders.end() &&
        trace->second.Decision == it.Decision && trace->second.Refusals >= 3;
    bool lost = it.Phase == ReplicaPhase::Ready && reportOf(it.Endpoint) &&
                !heldOf(id, it);
    return !isLive(it.Endpoint) || lost || refused ||
           History::replicaMemoryMb(State.Table, it.Model) == 0;
  }
  bool pastUse(const std::string &id, const Replica &it) const {
    size_t n = serving(it.Model).size();
    auto spec = State.Table.Models.find(it.Model);
    if (it.Phase != ReplicaPhase::Ready || State.Demands.count(it.Model) ||
        (spec != State.Table.Models.end() && n <= spec->second.MinReplicas))
      return false;
    double t = idle(id, it);
    if (n > 1 &&
        t > std::chrono::duration<double>(Rules.ExtraKeepAlive).count())
      return true;
    return t > 2 && Rules.Idle.KeepUntil(Known, State, Rules, it, t) <= t;
  }
  void planUnloads() {
    std::set<std::string> models;
    for (const auto &[id, it] : State.Replicas)
      if (it.Phase == ReplicaPhase::Unloading)
        continue;
      else if (mustGo(id, it))
        unload(id);
      else if (!models.count(it.Model) && pastUse(id, it)) {
        models.insert(it.Model);
        unload(id);
      }
  }
  void planDemands() {
    std::vector<std::tuple<bool, Utils::TimePoint, double, int64_t,
                           History::Position, std::string>>
        ranks;
    std::map<std::string, History::Position> wanted = State.Demands;
    for (const std::string &it : Known.Replace)
      wanted.try_emplace(it, State.Applied);
    for (const auto &[model, since] : wanted) {
      auto waiting = Known.WaitingFor.find(model);
      Waiting it =
          waiting == Known.WaitingFor.end() ? Waiting() : waiting->second;
      auto team = Known.Teams.find(it.Team);
      ranks.emplace_back(it.EarliestDeadline < Now, it.EarliestDeadline,
                         team == Known.Teams.end() ? 0 : team->second.Decayed,
                         -int64_t(it.Requests), since, model);
    }
    std::sort(ranks.begin(), ranks.end());
    std::set<std::string> planned;
    for (const auto &rank : ranks) {
      std::string model = std::get<5>(rank);
      if (std::string base = baseOf(model);
          !base.empty() && serving(base).empty())
        model = base;
      if (serving(model).empty() && mayAdd(model) &&
          planned.insert(model).second)
        load(model);
    }
  }
  void planBusy() {
    for (const auto &[model, spec] : State.Table.Models) {
      Entries all = serving(model);
      bool busy = !all.empty() && mayAdd(model);
      for (const auto &[id, it] : all) {
        const Engine::HeldModel *held = heldOf(id, it);
        busy &= held && held->Running >= Rules.BusyRequests;
      }
      if (busy || (all.size() < spec.MinReplicas && mayAdd(model)))
        load(model);
    }
  }
};

} // namespace

std::vector<Decision> planPlainly(const History::State &state,
                                  const Knowledge &known, const Policy &policy,
                                  Utils::TimePoint now) {
  PlainPlan plan{{}, {}, 0, 0, 0, {}, {}, now, policy, known, state};
  plan.planUnloads();
  plan.planDemands();
  plan.planBusy();
  return plan.Decisions;
}
