#include "residency/residency.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <functional>
#include <map>

using namespace std::chrono_literals;
using namespace Residency;

namespace {

constexpr auto Tick = 10ms;
constexpr auto PlanInterval = 250ms;
/// Time for which a call occupies a slot.
constexpr auto CallTime = 250ms;
/// Wait for a slot or a model after which a call is late.
constexpr auto LatencyObjective = 400ms;
/// Loads from the store that run at full speed at once.
constexpr double FullSpeedStoreLoads = 2;

double toSeconds(TimePoint::duration time) {
  return std::chrono::duration<double>(time).count();
}

/// Engines with 12 slots and memory for two models. Each model has a call rate
/// that the test sets; a call goes to the engine with the fewest calls in
/// flight that holds its model, and waits there for a slot.
struct FleetSimulation {
  struct EngineState {
    /// Arrival times of calls that wait for a slot, and end times of others.
    std::deque<TimePoint> Queue;
    std::deque<TimePoint> Running;
    /// Seconds that the load from the store still takes at full speed.
    double StoreSecondsLeft = 0;
    std::string Loading;
  };
  struct ModelState {
    double CallsPerSecond = 0;
    double Fraction = 0;
    /// Arrival times of calls for which no engine has the model.
    std::deque<TimePoint> Waiting;
    uint32_t Calls = 0;
    uint32_t LateCalls = 0;
  };

  Fleet::Engine Engine;
  EngineReplicas Replicas;
  Demand Usage;
  StoreLoadLimiter StoreLoads;
  std::map<std::string, EngineState> Engines;
  std::map<std::string, ModelState> Models;
  TimePoint Now{1h};
  TimePoint NextPlanAt{1h};
  uint32_t LoadsFromStore = 0;
  uint32_t Loads = 0;
  uint32_t MaxStoreLoads = 0;

  FleetSimulation(int engines, int models) {
    Engine.Slots = 12;
    Engine.MemoryMb = 20;
    Engine.HostMemoryMb = 20;
    Engine.DiskMb = 180;
    for (int i = 0; i < models; ++i)
      Engine.Models.push_back(
          {"m" + std::to_string(i), 10, 7800ms, 800ms, 400ms, 0});
    Engine.index();
    StoreLoads.setLimit(28, 5s);
    for (int i = 0; i < engines; ++i) {
      std::string id = "e" + std::to_string(i);
      Replicas[id].Id = id;
      Replicas[id].Service = "s";
      Replicas[id].Confirmed = true;
      Engines[id];
    }
  }

  void hold(int engine, const std::string &model) {
    EngineReplica &it = Replicas["e" + std::to_string(engine)];
    it.Models.push_back({model, {}, {}, false});
    noteCachedCopy(it, Engine, model);
  }
  void putOnDisk(int engine, const std::string &model) {
    Replicas["e" + std::to_string(engine)].OnDisk.push_back(model);
  }
  uint32_t readyReplicas(const std::string &model) const {
    uint32_t n = 0;
    for (const auto &[id, replica] : Replicas)
      if (const HeldModel *it = replica.find(model))
        n += it->ReadyAt <= Now;
    return n;
  }
  void setRate(const std::string &model, double callsPerSecond) {
    Models[model].CallsPerSecond = callsPerSecond;
  }
  double lateShare(const std::string &model) const {
    const ModelState &it = Models.at(model);
    return it.Calls == 0 ? 0 : double(it.LateCalls) / it.Calls;
  }
  void resetCounts() {
    for (auto &[name, it] : Models)
      it.Calls = it.LateCalls = 0;
    Loads = LoadsFromStore = 0;
  }

  void run(Milliseconds time) {
    for (TimePoint end = Now + time; Now < end; Now += Tick) {
      for (auto &[name, model] : Models)
        arrive(name, model);
      for (auto &[id, engine] : Engines)
        serve(engine);
      progressStoreLoads();
      if (Now >= NextPlanAt)
        runPlan();
    }
  }

private:
  void arrive(const std::string &name, ModelState &model) {
    model.Fraction += model.CallsPerSecond * toSeconds(Tick);
    for (; model.Fraction >= 1; --model.Fraction) {
      Usage.note({"s", name}, 1, Now);
      ++model.Calls;
      model.Waiting.push_back(Now);
    }
    while (!model.Waiting.empty()) {
      EngineState *best = nullptr;
      for (auto &[id, replica] : Replicas)
        if (const HeldModel *held = replica.find(name);
            held && held->ReadyAt <= Now)
          if (EngineState &it = Engines[id];
              !best || inFlight(it) < inFlight(*best))
            best = &it;
      if (!best)
        return;
      best->Queue.push_back(model.Waiting.front());
      model.LateCalls += isLate(*best, model.Waiting.front());
      model.Waiting.pop_front();
    }
  }
  /// Whether the last call of the queue, which arrived at `arrival`, gets a
  /// slot later than the objective.
  bool isLate(const EngineState &engine, TimePoint arrival) const {
    double turns =
        std::max(0.0, double(inFlight(engine)) - Engine.Slots) / Engine.Slots;
    return toSeconds(Now - arrival) + turns * toSeconds(CallTime) >
           toSeconds(LatencyObjective);
  }
  static size_t inFlight(const EngineState &it) {
    return it.Queue.size() + it.Running.size();
  }
  void serve(EngineState &engine) {
    std::erase_if(engine.Running, [&](TimePoint end) { return end <= Now; });
    while (!engine.Queue.empty() && engine.Running.size() < Engine.Slots) {
      engine.Running.push_back(Now + CallTime);
      engine.Queue.pop_front();
    }
  }
  void progressStoreLoads() {
    uint32_t active = 0;
    for (const auto &[id, engine] : Engines)
      active += engine.StoreSecondsLeft > 0;
    MaxStoreLoads = std::max(MaxStoreLoads, active);
    for (auto &[id, engine] : Engines) {
      if (engine.StoreSecondsLeft <= 0)
        continue;
      engine.StoreSecondsLeft -=
          toSeconds(Tick) * std::min(1.0, FullSpeedStoreLoads / active);
      if (engine.StoreSecondsLeft > 0)
        continue;
      Replicas[id].find(engine.Loading)->ReadyAt = Now;
      StoreLoads.noteFinished(id, Now);
    }
  }
  void runPlan() {
    NextPlanAt = Now + PlanInterval;
    for (auto &[id, replica] : Replicas)
      replica.Load = uint32_t(inFlight(Engines[id]));
    std::vector<PendingCalls> pending;
    for (const auto &[name, model] : Models)
      if (!model.Waiting.empty())
        pending.push_back({{"s", name},
                           "",
                           uint32_t(model.Waiting.size()),
                           model.Waiting.front() + 20s});
    auto engineOf = [this](const std::string &) { return &Engine; };
    for (const Task &task : plan({Replicas, Usage, pending, engineOf,
                                  StoreLoads.available(Now), Now}))
      carryOut(task);
  }
  void carryOut(const Task &task) {
    EngineReplica &replica = Replicas[task.ReplicaId];
    for (const Order &it : task.Orders) {
      if (it.What == Change::UnloadModel) {
        std::erase_if(replica.Models, [&](const HeldModel &held) {
          return held.Name == it.Model;
        });
        continue;
      }
      ++Loads;
      const Fleet::Model &model = *Engine.findModel(it.Model);
      TimePoint readyAt = Now + loadTime(model, it.From);
      if (it.From == CopySource::Store) {
        ++LoadsFromStore;
        StoreLoads.noteOrdered(task.ReplicaId, model.StoreLoadTime, Now);
        StoreLoads.noteStarted(task.ReplicaId, Now);
        Engines[task.ReplicaId].StoreSecondsLeft =
            toSeconds(model.StoreLoadTime);
        Engines[task.ReplicaId].Loading = it.Model;
        readyAt = LoadOrdered;
      }
      replica.Models.push_back({it.Model, readyAt, {}, false});
      noteCachedCopy(replica, Engine, it.Model);
      REQUIRE(freeMb(replica, Engine) >= 0);
    }
  }
};

/// Calls per second that occupy half of the slots of an engine.
constexpr double RatePerEngine = 12 * 0.5 / 0.25;

} // namespace

TEST_CASE("model whose demand rises to that of six engines within two seconds "
          "gets them from copies on disk before calls are late") {
  FleetSimulation fleet(12, 24);
  for (int i = 0; i < 12; ++i) {
    fleet.hold(i, "m" + std::to_string(i));
    fleet.hold(i, "m" + std::to_string(12 + i));
    fleet.putOnDisk(i, "m0");
  }
  for (int step = 1; step <= 8; ++step) {
    fleet.setRate("m0", 6 * RatePerEngine * step / 8);
    fleet.run(250ms);
  }
  fleet.run(3s);
  CHECK(fleet.readyReplicas("m0") >= 6);
  fleet.resetCounts();
  fleet.run(5s);
  CHECK(fleet.lateShare("m0") == 0);
  CHECK(fleet.LoadsFromStore == 0);
}

// Page of changes 2026-12, part 6b: hasCopy() counted the copies of engines
// that held the model already, so that no load from the store was an option
// until all slots were in use.
TEST_CASE("model that is on the disk of its own engine only and whose demand "
          "rises slowly is loaded from the store before calls queue") {
  FleetSimulation fleet(4, 8);
  for (int i = 0; i < 4; ++i)
    fleet.hold(i, "m" + std::to_string(i));
  for (double utilization = 0.5; utilization < 1.4; utilization += 0.05) {
    fleet.setRate("m0", utilization * 2 * RatePerEngine);
    fleet.run(1s);
  }
  CHECK(fleet.readyReplicas("m0") >= 2);
  CHECK(fleet.lateShare("m0") < 0.01);
  CHECK(fleet.MaxStoreLoads <= 3);
}

// The model whose engines had 30 calls in flight for 12 slots got no load from
// the store, because each was taken by a model that one call waited for.
TEST_CASE("model with a long queue at its only engine gets a load from the "
          "store beside models that few calls wait for") {
  FleetSimulation fleet(24, 120);
  for (int i = 0; i < 24; ++i) {
    fleet.hold(i, "m" + std::to_string(i));
    fleet.hold(i, "m" + std::to_string(24 + i));
  }
  fleet.setRate("m0", 4 * RatePerEngine);
  for (int i = 48; i < 120; ++i)
    fleet.setRate("m" + std::to_string(i), 0.05);
  fleet.run(20s);
  CHECK(fleet.readyReplicas("m0") >= 3);
  CHECK(fleet.MaxStoreLoads <= 3);
}

TEST_CASE("demand that moves on every four seconds through a list of models is "
          "followed from copies on disk") {
  FleetSimulation fleet(12, 24);
  for (int i = 0; i < 12; ++i) {
    fleet.hold(i, "m" + std::to_string(i));
    fleet.hold(i, "m" + std::to_string(12 + i));
    for (int hot = 0; hot < 6; ++hot)
      fleet.putOnDisk(i, "m" + std::to_string(hot));
  }
  double late = 0;
  for (int round = 0; round < 12; ++round) {
    std::string hot = "m" + std::to_string(round % 6);
    fleet.setRate(hot, 4 * RatePerEngine);
    fleet.run(4s);
    fleet.setRate(hot, 0);
  }
  for (int hot = 0; hot < 6; ++hot)
    late += fleet.lateShare("m" + std::to_string(hot)) / 6;
  // Each move takes two planning runs and two loads from disk. Measured 0.37;
  // replicas kept for 5 s after a peak gave 0.40.
  CHECK(late < 0.39);
  CHECK(fleet.LoadsFromStore <= 4);
}

TEST_CASE("model that idles gives up its memory to one that is called") {
  FleetSimulation fleet(2, 6);
  for (int i = 0; i < 2; ++i) {
    fleet.hold(i, "m0");
    fleet.hold(i, "m1");
    fleet.putOnDisk(i, "m2");
  }
  fleet.setRate("m0", RatePerEngine);
  fleet.setRate("m1", 0.5 * RatePerEngine);
  fleet.run(3s);
  fleet.setRate("m0", 0);
  fleet.setRate("m2", 2.5 * RatePerEngine);
  fleet.run(10s);
  CHECK(fleet.readyReplicas("m2") == 2);
  CHECK(fleet.readyReplicas("m1") >= 1);
}

TEST_CASE("steady demand below half of the slots causes no load from the "
          "store") {
  FleetSimulation fleet(6, 12);
  for (int i = 0; i < 6; ++i) {
    fleet.hold(i, "m" + std::to_string(i));
    fleet.hold(i, "m" + std::to_string(6 + i));
  }
  for (int i = 0; i < 12; ++i)
    fleet.setRate("m" + std::to_string(i), 0.45 * RatePerEngine);
  fleet.run(30s);
  CHECK(fleet.Loads == 0);
}
