#include "residency/plan.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <tuple>

namespace Residency {

namespace {

/// Seconds of waiting that unloading a model with calls under way adds: it
/// waits for them to end.
constexpr double RunsToWaitFor = 0.4;
/// Seconds ahead in which a call of an unloaded model counts as a loss. Places
/// of the sites change their models about that often.
constexpr double LossHorizon = 10;
/// Weight of the loss of one of several replicas against that of the last.
constexpr double SpareReplicaWeight = 0.1;
/// that the loss of one leaves no gap.
constexpr double SpareReplicaRate = 2.0;
/// Wait for a busy engine from which another replica of a model is loaded for
/// its adapters: longer than a load from disk.
constexpr Milliseconds LongWait{1500};
/// Part of a model's calls that need an adapter which may not be there.
constexpr double AdapterPart = 0.2;
/// Loads from the store that are left to models that calls wait for.
constexpr uint32_t KeptForNeeds = 2;
/// An adapter used within this time is not unloaded for another.
constexpr Milliseconds AdapterInUse{1000};

class Planner {
public:
  explicit Planner(const Situation &situation)
      : It(situation), StoreLoads(situation.StoreLoadsLeft) {}

  std::vector<Task> run() {
    std::vector<Need> needs = It.Needs;
    std::sort(needs.begin(), needs.end(), [](const Need &a, const Need &b) {
      return a.EarliestDeadline < b.EarliestDeadline;
    });
    for (const Need &need : needs)
      serve(need);
    for (const auto &[id, place] : It.All)
      fill(place);
    return std::move(Tasks);
  }

private:
  struct Option {
    const Place *At = nullptr;
    CopySource From = CopySource::Store;
    std::vector<std::string> Victims;
    double Cost = 0;
  };

  bool isFree(const Place &place) const {
    return place.Usable && place.Confirmed && !isBusy(place) &&
           Taken.count(place.Id) == 0;
  }

  /// An engine carries out one change of its models at a time.
  bool isBusy(const Place &place) const {
    return place.Busy || std::any_of(place.Models.begin(), place.Models.end(),
                                     [&](const HeldModel &it) {
                                       return it.ReadyAt > It.Now;
                                     });
  }

  void serve(const Need &need) {
    const Fleet::Engine *engine = It.EngineOf(need.Key.Service);
    const Fleet::Model *model =
        engine ? engine->findModel(need.Key.Model) : nullptr;
    if (!model)
      return;
    if (holders(It.All, need.Key) > 0 || Planned.count(need.Key) > 0) {
      if (!need.Adapter.empty())
        serveAdapter(need, *engine);
      return;
    }
    if (auto option = bestOption(need.Key, *engine, *model, need.Calls))
      take(need.Key, *option);
  }

  std::optional<Option> bestOption(const ModelKey &key,
                                   const Fleet::Engine &engine,
                                   const Fleet::Model &model,
                                   uint32_t calls) const {
    std::optional<Option> best;
    for (const auto &[id, place] : It.All) {
      if (place.Service != key.Service || !isFree(place) ||
          place.find(key.Model))
        continue;
      auto option = optionAt(place, engine, model, calls);
      if (option && (!best || option->Cost < best->Cost))
        best = std::move(option);
    }
    return best;
  }

  std::optional<Option> optionAt(const Place &place,
                                 const Fleet::Engine &engine,
                                 const Fleet::Model &model,
                                 uint32_t calls) const {
    Option out;
    out.At = &place;
    out.From = sourceOf(place, model.Name);
    if (out.From == CopySource::Store &&
        (StoreLoads == 0 || hasCopy({place.Service, model.Name})))
      return std::nullopt;
    double seconds = secondsOf(loadTime(model, out.From));
    out.Cost = std::max(1U, calls) * seconds + blocked(place, engine, seconds);
    double room = freeMb(place, engine);
    std::vector<std::pair<double, const HeldModel *>> victims;
    for (const HeldModel &it : place.Models)
      if (!it.isLeaving() && it.ReadyAt <= It.Now)
        victims.emplace_back(loss(place, engine, it), &it);
    std::sort(victims.begin(), victims.end());
    for (const auto &[cost, victim] : victims) {
      if (room >= model.SizeMb)
        break;
      const Fleet::Model *known = engine.findModel(victim->Name);
      room += known ? known->SizeMb : 0;
      out.Cost += cost;
      out.Victims.push_back(victim->Name);
    }
    if (room < model.SizeMb)
      return std::nullopt;
    return out;
  }

  /// Seconds of waiting for calls of adapters, which the engine does not load
  /// while it loads a model.
  double blocked(const Place &place, const Fleet::Engine &engine,
                 double seconds) const {
    double rate = 0;
    for (const HeldModel &it : place.Models) {
      const Fleet::Model *model = engine.findModel(it.Name);
      if (model && model->Adapters > 0)
        rate += It.Use.rate({place.Service, it.Name}, It.Now);
    }
    return rate * AdapterPart * seconds * seconds / 2;
  }

  /// Whether a usable engine has the weights, though it may be busy now: it is
  /// free again before a load from the store would be done.
  bool hasCopy(const ModelKey &key) const {
    return std::any_of(It.All.begin(), It.All.end(), [&](const auto &it) {
      const Place &place = it.second;
      return place.Service == key.Service && place.Usable &&
             sourceOf(place, key.Model) != CopySource::Store;
    });
  }

  static double secondsOf(Milliseconds time) {
    return std::chrono::duration<double>(time).count();
  }

  /// Seconds of waiting that callers are likely to see if the place holds the
  /// model no longer.
  double loss(const Place &place, const Fleet::Engine &engine,
              const HeldModel &held) const {
    const Fleet::Model *model = engine.findModel(held.Name);
    if (!model)
      return 0;
    ModelKey key{place.Service, held.Name};
    double rate = It.Use.rate(key, It.Now);
    double reload = secondsOf(loadTime(*model, CopySource::Disk));
    double calledSoon = 1 - std::exp(-rate * LossHorizon);
    double cost = calledSoon * reload * (1 + rate * reload / 2);
    if (holders(It.All, key) > 1)
      cost *= SpareReplicaWeight;
    if (It.Now - It.Use.lastUsed(key) < AdapterInUse && place.Load > 0)
      cost += RunsToWaitFor;
    return cost;
  }

  void take(const ModelKey &key, const Option &option) {
    Task task{option.At->Id, {}};
    for (const std::string &it : option.Victims)
      task.Orders.push_back({Change::UnloadModel, it, "", option.From});
    task.Orders.push_back({Change::LoadModel, key.Model, "", option.From});
    if (option.From == CopySource::Store)
      --StoreLoads;
    Taken.insert(option.At->Id);
    Planned.insert(key);
    Tasks.push_back(std::move(task));
  }

  void serveAdapter(const Need &need, const Fleet::Engine &engine) {
    const Place *best = nullptr;
    for (const auto &[id, place] : It.All) {
      const HeldModel *held = place.Service == need.Key.Service
                                  ? place.find(need.Key.Model)
                                  : nullptr;
      if (!place.Usable || !place.Confirmed || !held || held->ReadyAt > It.Now)
        continue;
      if (held->findAdapter(need.Adapter))
        return; // It is there or on its way.
      if (!best || adapterRank(place, engine) < adapterRank(*best, engine))
        best = &place;
    }
    if (!best || freeAt(*best) > It.Now + LongWait) {
      // Another replica is there sooner than the end of a long load.
      const Fleet::Model *model = engine.findModel(need.Key.Model);
      auto option = bestOption(need.Key, engine, *model, need.Calls);
      if (option && option->From != CopySource::Store)
        return take(need.Key, *option);
    }
    if (best)
      loadAdapter(*best, need, engine);
  }

  /// When the load that keeps the place busy is done; the epoch if none does.
  TimePoint freeAt(const Place &place) const {
    TimePoint at{};
    for (const HeldModel &it : place.Models)
      if (!it.isLeaving())
        at = std::max(at, it.ReadyAt);
    return at;
  }

  /// The lower, the sooner a place takes one more adapter.
  std::tuple<bool, bool, uint32_t>
  adapterRank(const Place &place, const Fleet::Engine &engine) const {
    return {isBusy(place), adaptersAt(place) >= engine.AdapterSlots,
            place.Load};
  }

  uint32_t adaptersAt(const Place &place) const {
    auto added = AdaptersAdded.find(place.Id);
    return place.adapterCount() +
           (added == AdaptersAdded.end() ? 0 : added->second);
  }

  void loadAdapter(const Place &place, const Need &need,
                   const Fleet::Engine &engine) {
    if (!AdaptersPlanned.insert({need.Key, need.Adapter}).second)
      return;
    Task task{place.Id, {}};
    if (adaptersAt(place) >= engine.AdapterSlots) {
      auto victim = idleAdapter(place);
      if (!victim || !AdapterVictims.insert(place.Id).second)
        return;
      task.Orders.push_back(*victim);
    } else {
      ++AdaptersAdded[place.Id];
    }
    task.Orders.push_back(
        {Change::LoadAdapter, need.Key.Model, need.Adapter, CopySource::Store});
    Tasks.push_back(std::move(task));
  }

  /// Unloads the adapter that was not used for the longest time.
  std::optional<Order> idleAdapter(const Place &place) const {
    std::optional<Order> out;
    TimePoint oldest = It.Now - AdapterInUse;
    for (const HeldModel &model : place.Models)
      for (const HeldAdapter &it : model.Adapters)
        if (it.LastUsed < oldest && it.ReadyAt <= It.Now) {
          oldest = it.LastUsed;
          out = Order{Change::UnloadAdapter, model.Name, it.Name,
                      CopySource::Store};
        }
    return out;
  }

  /// Loads what is asked for most into memory that is free.
  void fill(const Place &place) {
    const Fleet::Engine *engine = It.EngineOf(place.Service);
    if (!engine || !isFree(place))
      return;
    double room = freeMb(place, *engine);
    const Fleet::Model *best = nullptr;
    double bestValue = 0;
    for (const Fleet::Model &it : engine->Models) {
      double value =
          it.SizeMb <= room && !place.find(it.Name) ? fillValue(place, it) : 0;
      if (value > bestValue) {
        best = &it;
        bestValue = value;
      }
    }
    if (best)
      take({place.Service, best->Name},
           {&place, sourceOf(place, best->Name), {}, 0});
  }

  double fillValue(const Place &place, const Fleet::Model &model) const {
    ModelKey key{place.Service, model.Name};
    if (Planned.count(key) > 0)
      return 0;
    CopySource source = sourceOf(place, model.Name);
    if (source == CopySource::Store && StoreLoads <= KeptForNeeds)
      return 0;
    uint32_t others = holders(It.All, key);
    double rate = It.Use.rate(key, It.Now);
    double value = 0;
    if (others == 0)
      value = rate;
    else if (others == 1 && rate >= SpareReplicaRate)
      value = rate * SpareReplicaWeight;
    return value / secondsOf(loadTime(model, source));
  }

  const Situation &It;
  uint32_t StoreLoads;
  std::vector<Task> Tasks;
  std::set<std::string> Taken;
  std::set<ModelKey> Planned;
  std::set<std::pair<ModelKey, std::string>> AdaptersPlanned;
  std::map<std::string, uint32_t> AdaptersAdded;
  std::set<std::string> AdapterVictims;
};

} // namespace

std::string_view changeName(Change change) {
  static constexpr std::string_view names[] = {
      "load_model", "unload_model", "load_adapter", "unload_adapter"};
  return names[static_cast<size_t>(change)];
}

std::vector<Task> plan(const Situation &situation) {
  return Planner(situation).run();
}

} // namespace Residency
