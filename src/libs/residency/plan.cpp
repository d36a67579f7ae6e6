#include "residency/plan.h"

#include "residency/evacuated.h"
#include "residency/scaleout.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

namespace Residency {

namespace {

/// Estimated wait in seconds until a model's in-flight calls have ended and it
/// can be unloaded.
constexpr double DrainWaitSeconds = 0.4;
/// Seconds of waiting that another replica saves if all slots are in use.
constexpr double ScaleOutGainSeconds = 1.5;
/// Maximum number of replicas loaded at once for a model that calls wait for.
constexpr uint32_t MaxReplicasAtOnce = 4;
/// Time in seconds within which a call to an evicted model counts as a cost;
/// about the interval at which engines at the sites change their models.
constexpr double EvictionHorizonSeconds = 10;
/// Cost of evicting one of several replicas relative to that of the last one.
constexpr double SpareReplicaWeight = 0.1;
/// Calls per second from which a model gets a spare replica, so that the loss
/// of one leaves no gap.
constexpr double SpareReplicaRate = 2.0;
/// Remaining time of a load above which another replica of a model is loaded
/// for an adapter instead; longer than a load from disk.
constexpr Milliseconds LongBusyWait{1500};
/// Assumed fraction of a model's calls whose adapter is not loaded.
constexpr double AdapterCallShare = 0.2;
/// Loads from the store that are reserved for models which calls wait for.
constexpr uint32_t LoadsReservedForPending = 1;
/// An adapter is evicted for another only if it was idle for this time. A model
/// used within this time is taken to have in-flight calls.
constexpr Milliseconds AdapterIdleTime{1000};

/// Expected seconds of waiting of callers if no engine holds a model that is
/// called `rate` times a second and takes `reload` seconds to load.
double absenceCost(double rate, double reload) {
  double callProbability = 1 - std::exp(-rate * EvictionHorizonSeconds);
  return callProbability * reload * (1 + rate * reload / 2);
}

class Planner {
public:
  explicit Planner(const PlanInput &input)
      : Input(input), StoreLoads(input.StoreLoadsLeft),
        RatesByEngine(input.Replicas, input.Usage, input.Now),
        Overloaded(overloadedModels(RatesByEngine, input.EngineOf)) {
    for (const auto &[id, replica] : Input.Replicas)
      for (const HeldModel &it : replica.Models)
        if (replica.Usable && !it.isUnloading())
          ++ReplicaCounts[{replica.Service, it.Name}];
  }

  std::vector<Task> run() {
    std::vector<PendingCalls> pending = Input.Pending;
    std::sort(pending.begin(), pending.end(),
              [](const PendingCalls &a, const PendingCalls &b) {
                return a.EarliestDeadline < b.EarliestDeadline;
              });
    replaceEvacuated();
    for (const PendingCalls &calls : pending)
      loadPending(calls);
    scaleOut();
    for (const auto &[id, replica] : Input.Replicas)
      fillFreeMemory(replica);
    return std::move(Tasks);
  }

private:
  struct LoadOption {
    const EngineReplica *Target = nullptr;
    CopySource From = CopySource::Store;
    std::vector<std::string> Victims;
    /// Expected seconds of waiting caused by evicting the victims.
    double EvictionCost = 0;
    /// Total expected seconds of waiting.
    double Cost = 0;
  };

  /// Number of usable engines that have loaded the model or are about to.
  uint32_t replicaCount(const ModelKey &key) const {
    auto it = ReplicaCounts.find(key);
    return it == ReplicaCounts.end() ? 0 : it->second;
  }

  double callRate(const ModelKey &key) const {
    auto [it, added] = Rates.try_emplace(key, 0);
    if (added)
      it->second = Input.Usage.rate(key, Input.Now);
    return it->second;
  }

  bool canChangeModels(const EngineReplica &replica) const {
    return replica.Usable && replica.Confirmed && !isBusy(replica) &&
           ScheduledReplicas.count(replica.Id) == 0;
  }

  /// Whether a load or unload is in progress; an engine runs one at a time.
  bool isBusy(const EngineReplica &replica) const {
    return replica.Busy ||
           std::any_of(
               replica.Models.begin(), replica.Models.end(),
               [&](const HeldModel &it) { return it.ReadyAt > Input.Now; });
  }

  void loadPending(const PendingCalls &pending) {
    const Fleet::Engine *engine = Input.EngineOf(pending.Key.Service);
    const Fleet::Model *model =
        engine ? engine->findModel(pending.Key.Model) : nullptr;
    if (!model)
      return;
    if (replicaCount(pending.Key) > 0 ||
        ScheduledModels.count(pending.Key) > 0) {
      if (!pending.Adapter.empty())
        loadPendingAdapter(pending, *engine);
      return;
    }
    uint32_t extra = engine->Slots > 0 ? pending.Calls / engine->Slots : 0;
    uint32_t replicas = std::min(1 + extra, MaxReplicasAtOnce);
    for (uint32_t n = 0; n < replicas; ++n) {
      auto option = bestOption(pending.Key, *engine, *model, pending.Calls);
      if (!option)
        return;
      schedule(pending.Key, *option);
    }
  }

  /// Loads the models that are called and that only evacuated engines hold at
  /// other engines, the most called first. Their calls need not wait yet.
  void replaceEvacuated() {
    for (const ModelKey &key : modelsToReplace(Input)) {
      const Fleet::Engine *engine = Input.EngineOf(key.Service);
      const Fleet::Model *model =
          engine ? engine->findModel(key.Model) : nullptr;
      auto option = model ? bestOption(key, *engine, *model, 1) : std::nullopt;
      if (option && isWorthReplacing(key, *model, *option))
        schedule(key, *option);
    }
  }

  /// Whether the load saves more waiting than the eviction of its victims
  /// causes, and leaves a load from the store to models that calls wait for.
  bool isWorthReplacing(const ModelKey &key, const Fleet::Model &model,
                        const LoadOption &option) const {
    auto waitsFor = [&](const PendingCalls &it) { return it.Key == key; };
    if (std::any_of(Input.Pending.begin(), Input.Pending.end(), waitsFor))
      return true;
    uint32_t reserved = Input.Pending.empty() ? 0 : LoadsReservedForPending;
    if (option.From == CopySource::Store && StoreLoads <= reserved)
      return false;
    return option.EvictionCost <=
           absenceCost(callRate(key), toSeconds(loadTime(model, option.From)));
  }

  /// Adds replicas of models whose engines are overloaded: calls queue there
  /// and are rejected once the queues are full, while other engines are idle.
  void scaleOut() {
    for (const OverloadedModel &it : Overloaded)
      addReplicas(it.Key, it.Utilization);
  }

  void addReplicas(const ModelKey &key, double utilization) {
    const Fleet::Engine &engine = *Input.EngineOf(key.Service);
    const Fleet::Model *model = engine.findModel(key.Model);
    if (!model || ScheduledModels.count(key) > 0)
      return;
    uint32_t held = replicaCount(key);
    uint32_t targetReplicas =
        uint32_t(std::ceil(held * utilization / ScaleOutUtilization));
    for (uint32_t n = held; n < std::min(targetReplicas, 2 * held); ++n) {
      // Engines without a free slot are not expected to have one within the
      // time of a load from the store either.
      auto option = bestOption(key, engine, *model, 1, utilization >= 1);
      if (!option || option->EvictionCost >= utilization * ScaleOutGainSeconds)
        return;
      schedule(key, *option);
    }
  }

  std::optional<LoadOption> bestOption(const ModelKey &key,
                                       const Fleet::Engine &engine,
                                       const Fleet::Model &model,
                                       uint32_t calls,
                                       bool allowStore = false) const {
    std::optional<LoadOption> best;
    for (const auto &[id, replica] : Input.Replicas) {
      if (replica.Service != key.Service || !canChangeModels(replica) ||
          RatesByEngine.isOverLimit(replica) || replica.find(key.Model))
        continue;
      auto option = optionAt(replica, engine, model, calls, allowStore);
      if (option && (!best || option->Cost < best->Cost))
        best = std::move(option);
    }
    return best;
  }

  std::optional<LoadOption> optionAt(const EngineReplica &replica,
                                     const Fleet::Engine &engine,
                                     const Fleet::Model &model, uint32_t calls,
                                     bool allowStore) const {
    LoadOption out;
    out.Target = &replica;
    out.From = sourceOf(replica, model.Name);
    if (out.From == CopySource::Store &&
        (StoreLoads == 0 ||
         (!allowStore && hasCopy({replica.Service, model.Name}))))
      return std::nullopt;
    double seconds = toSeconds(loadTime(model, out.From));
    out.Cost =
        std::max(1U, calls) * seconds + adapterDelay(replica, engine, seconds);
    double availableMb = freeMb(replica, engine);
    std::vector<std::pair<double, const HeldModel *>> victims;
    for (const HeldModel &it : replica.Models)
      if (!it.isUnloading() && it.ReadyAt <= Input.Now)
        victims.emplace_back(evictionCost(replica, engine, it), &it);
    std::sort(victims.begin(), victims.end());
    for (const auto &[cost, victim] : victims) {
      if (availableMb >= model.SizeMb)
        break;
      const Fleet::Model *known = engine.findModel(victim->Name);
      availableMb += known ? known->SizeMb : 0;
      out.EvictionCost += cost;
      out.Victims.push_back(victim->Name);
    }
    if (availableMb < model.SizeMb)
      return std::nullopt;
    double utilization =
        engine.Slots > 0 ? double(replica.Load) / engine.Slots : 0;
    out.Cost += out.EvictionCost + utilization;
    return out;
  }

  /// Expected seconds of waiting of calls that need an adapter, which the
  /// engine cannot load while it loads a model.
  double adapterDelay(const EngineReplica &replica, const Fleet::Engine &engine,
                      double seconds) const {
    double rate = 0;
    for (const HeldModel &it : replica.Models) {
      const Fleet::Model *model = engine.findModel(it.Name);
      if (model && model->Adapters > 0)
        rate += callRate({replica.Service, it.Name});
    }
    return rate * AdapterCallShare * seconds * seconds / 2;
  }

  /// Whether a usable engine has a cached copy of the weights. It may be busy
  /// now, but finishes before a load from the store would.
  bool hasCopy(const ModelKey &key) const {
    return std::any_of(
        Input.Replicas.begin(), Input.Replicas.end(), [&](const auto &it) {
          const EngineReplica &replica = it.second;
          return replica.Service == key.Service && replica.Usable &&
                 sourceOf(replica, key.Model) != CopySource::Store;
        });
  }

  static double toSeconds(Milliseconds time) {
    return std::chrono::duration<double>(time).count();
  }

  double evictionCost(const EngineReplica &replica, const Fleet::Engine &engine,
                      const HeldModel &held) const {
    auto [it, added] = EvictionCosts.try_emplace(&held, 0);
    if (added)
      it->second = computeEvictionCost(replica, engine, held);
    return it->second;
  }

  /// Expected seconds of waiting of callers if the engine evicts the model.
  double computeEvictionCost(const EngineReplica &replica,
                             const Fleet::Engine &engine,
                             const HeldModel &held) const {
    const Fleet::Model *model = engine.findModel(held.Name);
    if (!model)
      return 0;
    ModelKey key{replica.Service, held.Name};
    double rate = callRate(key);
    double reload = toSeconds(loadTime(*model, CopySource::Disk));
    double cost = absenceCost(rate, reload);
    if (replicaCount(key) > 1)
      cost *= SpareReplicaWeight;
    if (Input.Now - Input.Usage.lastUsed(key) < AdapterIdleTime &&
        replica.Load > 0)
      cost += DrainWaitSeconds;
    return cost;
  }

  void schedule(const ModelKey &key, const LoadOption &option) {
    Task task{option.Target->Id, {}};
    for (const std::string &it : option.Victims) {
      ModelKey victim{key.Service, it};
      double rate = callRate(victim) / std::max(1U, replicaCount(victim));
      task.Orders.push_back({Change::UnloadModel, it, "", option.From, rate});
    }
    task.Orders.push_back({Change::LoadModel, key.Model, "", option.From, 0});
    if (option.From == CopySource::Store)
      --StoreLoads;
    ScheduledReplicas.insert(option.Target->Id);
    ScheduledModels.insert(key);
    Tasks.push_back(std::move(task));
  }

  void loadPendingAdapter(const PendingCalls &pending,
                          const Fleet::Engine &engine) {
    const EngineReplica *best = nullptr;
    for (const auto &[id, replica] : Input.Replicas) {
      const HeldModel *held = replica.Service == pending.Key.Service
                                  ? replica.find(pending.Key.Model)
                                  : nullptr;
      if (!replica.Usable || !replica.Confirmed || !held ||
          held->ReadyAt > Input.Now)
        continue;
      if (held->findAdapter(pending.Adapter))
        return; // Already loaded or loading.
      if (!best || adapterRank(replica, engine) < adapterRank(*best, engine))
        best = &replica;
    }
    if (!best || busyUntil(*best) > Input.Now + LongBusyWait) {
      // Another replica is ready before a long load ends.
      const Fleet::Model *model = engine.findModel(pending.Key.Model);
      auto option = bestOption(pending.Key, engine, *model, pending.Calls);
      if (option && option->From != CopySource::Store)
        return schedule(pending.Key, *option);
    }
    if (best)
      loadAdapter(*best, pending, engine);
  }

  /// When the load in progress ends; the epoch if there is none.
  TimePoint busyUntil(const EngineReplica &replica) const {
    TimePoint at{};
    for (const HeldModel &it : replica.Models)
      if (!it.isUnloading())
        at = std::max(at, it.ReadyAt);
    return at;
  }

  /// Sort key: engines with a lower rank are preferred for another adapter.
  std::tuple<bool, bool, uint32_t>
  adapterRank(const EngineReplica &replica, const Fleet::Engine &engine) const {
    return {isBusy(replica), adapterCountAt(replica) >= engine.AdapterSlots,
            replica.Load};
  }

  uint32_t adapterCountAt(const EngineReplica &replica) const {
    auto added = AdaptersAdded.find(replica.Id);
    return replica.adapterCount() +
           (added == AdaptersAdded.end() ? 0 : added->second);
  }

  void loadAdapter(const EngineReplica &replica, const PendingCalls &pending,
                   const Fleet::Engine &engine) {
    if (!ScheduledAdapters.insert({pending.Key, pending.Adapter}).second)
      return;
    Task task{replica.Id, {}};
    if (adapterCountAt(replica) >= engine.AdapterSlots) {
      auto victim = unloadIdleAdapter(replica);
      if (!victim || !AdapterVictims.insert(replica.Id).second)
        return;
      task.Orders.push_back(*victim);
    } else {
      ++AdaptersAdded[replica.Id];
    }
    task.Orders.push_back({Change::LoadAdapter, pending.Key.Model,
                           pending.Adapter, CopySource::Store});
    Tasks.push_back(std::move(task));
  }

  /// Order to unload the least recently used adapter, if one is idle.
  std::optional<Order> unloadIdleAdapter(const EngineReplica &replica) const {
    std::optional<Order> out;
    TimePoint oldest = Input.Now - AdapterIdleTime;
    for (const HeldModel &model : replica.Models)
      for (const HeldAdapter &it : model.Adapters)
        if (it.LastUsed < oldest && it.ReadyAt <= Input.Now) {
          oldest = it.LastUsed;
          out = Order{Change::UnloadAdapter, model.Name, it.Name,
                      CopySource::Store, 0};
        }
    return out;
  }

  /// Preloads the model with the highest expected demand into free memory.
  void fillFreeMemory(const EngineReplica &replica) {
    const Fleet::Engine *engine = Input.EngineOf(replica.Service);
    if (!engine || !canChangeModels(replica))
      return;
    double availableMb = freeMb(replica, *engine);
    const Fleet::Model *best = nullptr;
    double bestValue = 0;
    for (const Fleet::Model &it : engine->Models) {
      double value = it.SizeMb <= availableMb && !replica.find(it.Name)
                         ? preloadValue(replica, it)
                         : 0;
      if (value > bestValue) {
        best = &it;
        bestValue = value;
      }
    }
    if (best)
      schedule({replica.Service, best->Name},
               {&replica, sourceOf(replica, best->Name), {}, 0, 0});
  }

  double preloadValue(const EngineReplica &replica,
                      const Fleet::Model &model) const {
    ModelKey key{replica.Service, model.Name};
    if (ScheduledModels.count(key) > 0)
      return 0;
    CopySource source = sourceOf(replica, model.Name);
    if (source == CopySource::Store && StoreLoads <= LoadsReservedForPending)
      return 0;
    uint32_t others = replicaCount(key);
    double rate = callRate(key);
    double value = 0;
    if (others == 0)
      value = rate;
    else if (others == 1 && rate >= SpareReplicaRate)
      value = rate * SpareReplicaWeight;
    return value / toSeconds(loadTime(model, source));
  }

  const PlanInput &Input;
  std::map<ModelKey, uint32_t> ReplicaCounts;
  mutable std::map<ModelKey, double> Rates;
  mutable std::unordered_map<const HeldModel *, double> EvictionCosts;
  uint32_t StoreLoads;
  CallRates RatesByEngine;
  std::vector<OverloadedModel> Overloaded;
  std::vector<Task> Tasks;
  std::set<std::string> ScheduledReplicas;
  std::set<ModelKey> ScheduledModels;
  std::set<std::pair<ModelKey, std::string>> ScheduledAdapters;
  std::map<std::string, uint32_t> AdaptersAdded;
  std::set<std::string> AdapterVictims;
};

} // namespace

std::string_view changeName(Change change) {
  static constexpr std::string_view names[] = {
      "load_model", "unload_model", "load_adapter", "unload_adapter"};
  return names[static_cast<size_t>(change)];
}

std::vector<Task> plan(const PlanInput &input) { return Planner(input).run(); }

} // namespace Residency
