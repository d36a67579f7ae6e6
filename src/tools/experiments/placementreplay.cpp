#include "experiments/percentile.h"
#include "experiments/replayfleet.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <numeric>

ABSL_FLAG(int, seeds, 5, "number of seeds");
ABSL_FLAG(int, first_seed, 1, "first seed");
ABSL_FLAG(double, hours, 6, "length of the replay, hours");
ABSL_FLAG(double, warmup_hours, 1, "hours at its start that are not measured");

namespace {

using Placement::Policy;
using Replay::Deployment;

constexpr double FixedKeepAliveSeconds = 600;

struct Contender {
  std::string Name;
  Policy Rules;
};

double leastRecentlyUsed(const Placement::Knowledge &, const History::State &,
                         const Policy &, const History::Replica &,
                         double idle) {
  return 1 / (idle + 1);
}

Contender fixedKeepAlive() {
  Contender it{"fixed_keep_alive", {}};
  it.Rules.Idle.KeepUntil = [](const auto &, const auto &, const auto &,
                               const auto &, double idle) {
    return idle < FixedKeepAliveSeconds ? FixedKeepAliveSeconds : idle;
  };
  it.Rules.Idle.Loss = leastRecentlyUsed;
  return it;
}

Contender evictionOnly() {
  Contender it{"lru_eviction", {}};
  it.Rules.Idle.KeepUntil = [](const auto &, const auto &, const auto &,
                               const auto &, double idle) { return idle + 1; };
  it.Rules.Idle.Loss = leastRecentlyUsed;
  return it;
}

Contender ours(const Deployment &deployment) {
  Contender it{"hickoryspring", {}};
  it.Rules.WeightIdle = deployment.WeightIdle;
  it.Rules.WeightColdStart = deployment.WeightColdStart;
  return it;
}

void print(const Deployment &deployment, const Contender &contender, int seed,
           Replay::Result result) {
  std::vector<double> &cold = result.ColdWaits;
  std::sort(cold.begin(), cold.end());
  std::vector<double> all(result.Requests -
                          std::min(result.Requests, cold.size()));
  all.insert(all.end(), cold.begin(), cold.end());
  double sum = std::accumulate(cold.begin(), cold.end(), 0.0);
  nlohmann::json line = {{"deployment", deployment.Name},
                         {"policy", contender.Name},
                         {"seed", seed},
                         {"requests", result.Requests},
                         {"unserved", result.Unserved},
                         {"loads", result.Loads},
                         {"cold_requests", cold.size()},
                         {"cold_p50_s", Experiments::percentile(cold, 0.5)},
                         {"cold_p95_s", Experiments::percentile(cold, 0.95)},
                         {"cold_p99_s", Experiments::percentile(cold, 0.99)},
                         {"wait_p99_s", Experiments::percentile(all, 0.99)},
                         {"cold_wait_s", sum},
                         {"idle_engine_hours", result.IdleEngineHours}};
  std::cout << line.dump() << std::endl;
}

} // namespace

int main(int argc, char **argv) {
  absl::ParseCommandLine(argc, argv);
  double hours = absl::GetFlag(FLAGS_hours);
  int first = absl::GetFlag(FLAGS_first_seed);
  for (const Deployment &deployment : {Replay::cedarbrook(), Replay::agency()})
    for (int seed = first; seed < first + absl::GetFlag(FLAGS_seeds); ++seed) {
      auto arrivals =
          Replay::makeArrivals(deployment, static_cast<uint64_t>(seed), hours);
      for (const Contender &it :
           {ours(deployment), fixedKeepAlive(), evictionOnly()})
        print(deployment, it, seed,
              Replay::Fleet(deployment, it.Rules,
                            absl::GetFlag(FLAGS_warmup_hours))
                  .run(arrivals, hours));
    }
  return 0;
}
