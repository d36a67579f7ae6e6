/// Cost of a placement round at three fleet sizes: planning, and the steps due.
/// The baseline is one walk over all replicas.
#include "placement/placement.h"

#include <benchmark/benchmark.h>

namespace {

constexpr uint64_t EngineMemoryMb = 80000;
constexpr uint64_t ModelMemoryMb = 10000;

struct Fleet {
  History::State State;
  Placement::Knowledge Known;
  Utils::TimePoint Now = Utils::TimePoint(std::chrono::hours(1));
};

/// Engines that hold one replica each, and demands that wait for a load.
Fleet fleetOf(int64_t models, int64_t adapters, int64_t engines,
              int64_t demands) {
  Fleet fleet;
  for (int64_t i = 0; i < models; ++i) {
    Table::ModelSpec spec;
    spec.Weights = "w" + std::to_string(i);
    spec.MemoryMb = ModelMemoryMb;
    spec.MaxReplicas = static_cast<uint32_t>(engines);
    spec.Teams.All = true;
    fleet.State.Table.Models["m" + std::to_string(i)] = spec;
  }
  for (int64_t i = 0; i < adapters; ++i) {
    Table::AdapterSpec spec;
    spec.Base = "m" + std::to_string(i % models);
    spec.MemoryMb = 100;
    fleet.State.Table.Adapters["a" + std::to_string(i)] = spec;
  }
  for (int64_t i = 0; i < engines; ++i) {
    std::string name = "e" + std::to_string(i);
    History::Endpoint &engine = fleet.State.Endpoints[name];
    engine.FailureDomain = "z" + std::to_string(i % 5);
    engine.MemoryMb = EngineMemoryMb;
    engine.ChargedMb = ModelMemoryMb;
    std::string id = "r" + std::to_string(i);
    History::Replica &replica = fleet.State.Replicas[id];
    replica.Model = "m" + std::to_string(i % (models / 2));
    replica.Endpoint = name;
    replica.MemoryMb = ModelMemoryMb;
    replica.Phase = History::ReplicaPhase::Ready;
    fleet.Known.ReplicaUses[id].LastUsed = fleet.Now;
  }
  for (int64_t i = 0; i < demands; ++i)
    fleet.State.Demands["m" + std::to_string(models - 1 - i)] =
        static_cast<History::Position>(i + 1);
  return fleet;
}

Fleet fleetFor(const benchmark::State &bench) {
  switch (bench.range(0)) {
  case 0:
    return fleetOf(70, 60, 12, 3);
  case 1:
    return fleetOf(140, 5100, 600, 20);
  default:
    return fleetOf(280, 10200, 1200, 40);
  }
}

void walk(benchmark::State &bench) {
  Fleet fleet = fleetFor(bench);
  for (auto _ : bench) {
    uint64_t memoryMb = 0;
    for (const auto &[id, replica] : fleet.State.Replicas)
      memoryMb += replica.MemoryMb;
    benchmark::DoNotOptimize(memoryMb);
  }
}

void plan(benchmark::State &bench) {
  Fleet fleet = fleetFor(bench);
  Placement::Policy policy;
  for (auto _ : bench)
    benchmark::DoNotOptimize(
        Placement::planRound(fleet.State, fleet.Known, policy, fleet.Now));
}

void steps(benchmark::State &bench) {
  Fleet fleet = fleetFor(bench);
  for (auto _ : bench)
    benchmark::DoNotOptimize(
        Placement::nextSteps(fleet.State, fleet.Known, "d0", true, fleet.Now));
}

void use(benchmark::State &bench) {
  Fleet fleet = fleetFor(bench);
  for (auto _ : bench)
    Placement::noteUse(fleet.Known, fleet.State, fleet.Now);
}

BENCHMARK(walk)->DenseRange(0, 2);
BENCHMARK(plan)->DenseRange(0, 2);
BENCHMARK(steps)->DenseRange(0, 2);
BENCHMARK(use)->DenseRange(0, 2);

} // namespace

BENCHMARK_MAIN();
