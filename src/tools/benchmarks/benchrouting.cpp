/// Cost of a routing choice at two fleet sizes. The baseline is a random pick
/// from a list that is at hand.
#include "routing/routing.h"

#include <benchmark/benchmark.h>

namespace {

constexpr int ReplicasPerModel = 4;
constexpr char Model[] = "m0";

History::State fleet(int64_t replicas) {
  History::State state;
  state.Applied = 1;
  for (int64_t i = 0; i < replicas; ++i) {
    std::string name = "e" + std::to_string(i);
    state.Endpoints[name].FailureDomain = "z" + std::to_string(i % 4);
    History::Replica &replica = state.Replicas["r" + std::to_string(i)];
    replica.Model = "m" + std::to_string(i / ReplicasPerModel);
    replica.Endpoint = name;
    replica.Phase = History::ReplicaPhase::Ready;
  }
  return state;
}

void randomPick(benchmark::State &bench) {
  History::State state = fleet(bench.range(0));
  auto candidates = Routing::readyReplicas(state, Model);
  std::mt19937_64 random(1);
  for (auto _ : bench) {
    std::string endpoint = candidates[random() % candidates.size()].Endpoint;
    benchmark::DoNotOptimize(endpoint);
  }
}

void chooseByScan(benchmark::State &bench) {
  History::State state = fleet(bench.range(0));
  std::mt19937_64 random(1);
  uint64_t prefix = 0;
  for (auto _ : bench) {
    auto candidates = Routing::readyReplicas(state, Model);
    benchmark::DoNotOptimize(
        Routing::choose(candidates, {"z0", ++prefix}, random));
  }
}

void chooseByIndex(benchmark::State &bench) {
  History::State state = fleet(bench.range(0));
  Routing::ReplicaIndex index;
  std::mt19937_64 random(1);
  uint64_t prefix = 0;
  for (auto _ : bench) {
    auto candidates = index.ready(state, Model, Utils::TimePoint());
    benchmark::DoNotOptimize(
        Routing::choose(candidates, {"z0", ++prefix}, random));
  }
}

void rebuildIndex(benchmark::State &bench) {
  History::State state = fleet(bench.range(0));
  Routing::ReplicaIndex index;
  Utils::TimePoint now{};
  for (auto _ : bench) {
    ++state.Applied;
    now += Routing::ReplicaIndex::MaxLag;
    benchmark::DoNotOptimize(index.ready(state, Model, now));
  }
}

} // namespace

BENCHMARK(randomPick)->Arg(12)->Arg(600);
BENCHMARK(chooseByScan)->Arg(12)->Arg(600);
BENCHMARK(chooseByIndex)->Arg(12)->Arg(600);
BENCHMARK(rebuildIndex)->Arg(12)->Arg(600);
BENCHMARK_MAIN();
