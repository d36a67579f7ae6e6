/// Runs a deployment end to end, real daemons before stand-ins, with a morning
/// burst and one team over its rate, and reports the brief's four measures.
#include "experiments/endtoendreference.h"
#include "experiments/measuredcluster.h"
#include "experiments/percentile.h"
#include "load/loadrun.h"
#include "load/summary.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

ABSL_FLAG(std::string, deployment, "", "cedarbrook, agency, or empty for both");
ABSL_FLAG(uint64_t, seed, 1, "first seed of the arrivals");
ABSL_FLAG(int, seeds, 1, "number of seeds");
ABSL_FLAG(int, seconds, 40, "length of a run");
ABSL_FLAG(std::string, traces, "",
          "folder for each run's outcomes and daemon logs; empty for none");

namespace {

using Support::Cluster;
using Support::Json;

struct Deployment {
  const char *Name;
  int Domains;
  int Desks;
  int Models;
  int Adapters;
  uint32_t WeightIdleHours;
  uint32_t WeightColdStart;
};

constexpr Deployment Deployments[] = {
    {"cedarbrook", 3, 3, 70, 60, 4, 5},
    {"agency", 4, 4, 65, 80, 1, 80},
};

constexpr int Daemons = 8;
constexpr int Engines = 12;
constexpr int Teams = 5;
constexpr int LoadMs = 1000;
constexpr int EngineMb = 24'000;
constexpr int ModelMb = 6000;
constexpr int KvCacheMb = 1000;
constexpr uint32_t Workers = 512;
/// Most models sit idle.
constexpr double ZipfExponent = 1.5;
constexpr int TokenMs = 5;
constexpr uint32_t MaxTokens = 16;
constexpr uint32_t DeadlineMs = 10'000;
constexpr double ArrivalsPerS = 6;
constexpr double MorningFactor = 4;
/// The last team sends some four times its rate.
constexpr int Greedy = Teams - 1;
constexpr double GreedyArrivalsPerS = 30;
constexpr uint64_t Rate = 2000;
constexpr uint64_t GreedyRate = 190;
constexpr int HttpOk = 200;
constexpr std::chrono::milliseconds SamplePeriod(200);

std::string teamName(int i) { return "team" + std::to_string(i); }
bool isGreedy(const std::string &team) { return team == teamName(Greedy); }
uint64_t rateOf(int team) { return team == Greedy ? GreedyRate : Rate; }

std::string baseOf(int adapter) {
  return "model-" + std::to_string(adapter % Teams);
}

/// The model that an engine has to hold for a request.
std::string heldFor(const std::string &model) {
  constexpr std::string_view adapter = "adapter-";
  return model.starts_with(adapter)
             ? baseOf(std::stoi(model.substr(adapter.size())))
             : model;
}

/// Models that a team uses; each model and adapter has one team.
std::vector<std::string> modelsOf(const Deployment &what, int team) {
  std::vector<std::string> names;
  for (int i = team; i < what.Models; i += Teams)
    names.push_back("model-" + std::to_string(i));
  for (int i = team; i < what.Adapters; i += Teams)
    names.push_back("adapter-" + std::to_string(i));
  return names;
}

std::string tableOf(const Deployment &what,
                    const std::vector<std::string> &keys) {
  std::ostringstream csv;
  csv << "kind,name,teams,weights,memory_mb,kv_cache_mb,max_replicas,base,"
         "rate_tokens_per_s,burst_tokens,prefix,idempotent,team,key_hash\n";
  for (int i = 0; i < Teams; ++i) {
    csv << "team," << teamName(i) << ",,,,,,," << rateOf(i) << ','
        << 2 * rateOf(i) << ",,,,\n"
        << "key,key-" << i << ",,,,,,,,,,," << teamName(i) << ','
        << Cluster::hashOf(keys[static_cast<size_t>(i)]) << '\n';
  }
  csv << "service,desk,*,,,,,,,,/desk,no,,\n";
  for (int i = 0; i < what.Models; ++i)
    csv << "model,model-" << i << ',' << teamName(i % Teams) << ",store/model-"
        << i << ',' << ModelMb << ',' << KvCacheMb << ",2,,,,,,,\n";
  for (int i = 0; i < what.Adapters; ++i)
    csv << "adapter,adapter-" << i << ',' << teamName(i % Teams)
        << ",store/adapter-" << i << ",100,,," << baseOf(i) << ",,,,,,\n";
  return csv.str();
}

Support::ClusterOptions optionsOf(const Deployment &what) {
  Support::ClusterOptions options;
  options.Daemons = Daemons;
  options.Engines = Engines;
  options.Services = what.Desks;
  options.StandinFlags = {"--memory_mb=" + std::to_string(EngineMb),
                          "--domains=" + std::to_string(what.Domains),
                          "--load_ms=" + std::to_string(LoadMs),
                          "--token_ms=" + std::to_string(TokenMs)};
  options.Settings = {{"placement",
                       {{"weight_idle_hours", what.WeightIdleHours},
                        {"weight_cold_start", what.WeightColdStart}}}};
  return options;
}

Load::Plan planOf(const Deployment &what, const Cluster &cluster,
                  const std::vector<std::string> &keys, uint64_t seed) {
  Load::Plan plan;
  plan.Seed = seed;
  plan.Workers = Workers;
  plan.DurationS = absl::GetFlag(FLAGS_seconds);
  for (int i = 0; i < Daemons; ++i)
    plan.Targets.push_back("127.0.0.1:" + std::to_string(cluster.httpPort(i)));
  for (int i = 0; i < Teams; ++i) {
    Load::TeamLoad team;
    team.Name = teamName(i);
    team.Key = keys[static_cast<size_t>(i)];
    team.Models = modelsOf(what, i);
    team.ZipfExponent = ZipfExponent;
    team.DeadlineMs = DeadlineMs;
    team.MaxTokens = MaxTokens;
    team.RateTokensPerS = rateOf(i);
    team.BurstTokens = 2 * rateOf(i);
    team.ArrivalsPerS = i == Greedy ? GreedyArrivalsPerS : ArrivalsPerS;
    if (i != Greedy)
      team.Bursts = {{plan.DurationS / 4, plan.DurationS / 4, MorningFactor}};
    plan.Teams.push_back(std::move(team));
  }
  return plan;
}

/// Counts the time in which engines hold a model and run nothing.
class IdleSampler {
public:
  explicit IdleSampler(const Cluster &cluster)
      : All(cluster), Thread([this] { run(); }) {}
  ~IdleSampler() { stop(); }

  /// Share of engine time held idle.
  double stop() {
    Stopping = true;
    if (Thread.joinable())
      Thread.join();
    return Samples == 0 ? 0 : Idle / Samples;
  }

private:
  void run() {
    while (!Stopping) {
      for (int i = 0; i < Engines; ++i)
        sample(All.get("engine-" + std::to_string(i), "/admin/state"));
      std::this_thread::sleep_for(SamplePeriod);
    }
  }
  void sample(const Json &state) {
    if (!state.is_object() || !state.contains("models"))
      return;
    ++Samples;
    uint64_t running = 0;
    for (const Json &it : state["models"])
      running += it.value("running", uint64_t{0});
    Idle += !state["models"].empty() && running == 0;
  }

  const Cluster &All;
  std::atomic<bool> Stopping = false;
  double Samples = 0;
  double Idle = 0;
  std::thread Thread;
};

struct Measures {
  double ColdP99Ms = 0;
  size_t Cold = 0;
  double FirstP95Ms = 0;
  double FirstP99Ms = 0;
  double IdleShare = 0;
  double WorstServed = 1;
  double RefusedPercent = 0;
  /// Of the refused, those that a policy at the rates of the stand-ins serves,
  /// and those that none can.
  double WrongfulPercent = 0;
  size_t Unservable = 0;
  double GreedyServed = 0;
  double OverRateTokens = 0;
  size_t Requests = 0;
  size_t Unanswered = 0;
  std::map<std::string, size_t> Refused;
};

/// Whether each request could have been served. Those of the greedy team count
/// as if none were over its rate, which makes it harder.
std::vector<Experiments::Servable>
servableOf(const std::vector<Load::Outcome> &outcomes) {
  Experiments::ReferenceRates rates;
  rates.LoadS = LoadMs / 1e3;
  rates.CallS = TokenMs * (MaxTokens + 1) / 1e3;
  rates.Engines = Engines;
  rates.ModelsPerEngine = EngineMb / (ModelMb + KvCacheMb);
  std::vector<Experiments::ReferenceRequest> requests;
  requests.reserve(outcomes.size());
  for (const Load::Outcome &it : outcomes)
    requests.push_back({it.AtS, it.AtS + DeadlineMs / 1e3, heldFor(it.Model)});
  return Experiments::servable(requests, rates);
}

void countRefused(const std::vector<Load::Outcome> &outcomes,
                  Measures &measures) {
  auto verdicts = servableOf(outcomes);
  size_t refused = 0;
  size_t wrongful = 0;
  for (size_t i = 0; i < outcomes.size(); ++i) {
    if (isGreedy(outcomes[i].Team) || outcomes[i].Status <= HttpOk)
      continue;
    ++refused;
    wrongful += verdicts[i] == Experiments::Servable::Yes;
    measures.Unservable += verdicts[i] == Experiments::Servable::No;
  }
  auto percent = [&](size_t n) {
    return 100.0 * static_cast<double>(n) /
           static_cast<double>(measures.Requests);
  };
  measures.RefusedPercent = percent(refused);
  measures.WrongfulPercent = percent(wrongful);
}

Measures measuresOf(const Load::Plan &plan,
                    const std::vector<Load::Outcome> &outcomes) {
  Measures measures;
  std::vector<double> first;
  std::vector<double> cold;
  for (const Load::Outcome &it : outcomes) {
    if (isGreedy(it.Team))
      continue;
    ++measures.Requests;
    if (it.Status == HttpOk)
      first.push_back(it.FirstMs);
    if (it.Status == HttpOk && it.FirstMs >= LoadMs)
      cold.push_back(it.FirstMs);
  }
  std::sort(first.begin(), first.end());
  std::sort(cold.begin(), cold.end());
  measures.Cold = cold.size();
  measures.ColdP99Ms = Experiments::percentile(cold, 0.99);
  measures.FirstP95Ms = Experiments::percentile(first, 0.95);
  measures.FirstP99Ms = Experiments::percentile(first, 0.99);
  countRefused(outcomes, measures);
  for (const auto &[team, it] : Load::summarize(plan, outcomes)) {
    double served =
        static_cast<double>(it.Served) / static_cast<double>(it.Requests);
    measures.OverRateTokens =
        std::max(measures.OverRateTokens, it.OverRateTokens);
    if (isGreedy(team))
      measures.GreedyServed = served;
    else if (team != "all") {
      measures.WorstServed = std::min(measures.WorstServed, served);
      measures.Unanswered += it.Unanswered;
      for (const auto &[reason, n] : it.Refused)
        measures.Refused[reason] += n;
    }
  }
  return measures;
}

void print(const Deployment &what, uint64_t seed, const Measures &it) {
  std::cout << std::fixed << std::setprecision(0) << std::left << std::setw(11)
            << what.Name << " seed " << seed << ": cold " << it.Cold << " of "
            << it.Requests << ", cold p99 " << it.ColdP99Ms
            << " ms, first byte p95 " << it.FirstP95Ms << " p99 "
            << it.FirstP99Ms << " ms; engine time idle " << std::setprecision(1)
            << 100 * it.IdleShare << "%; worst team served "
            << std::setprecision(4) << it.WorstServed
            << "; refused though in rate " << it.RefusedPercent
            << "%, wrongfully " << it.WrongfulPercent << "%, no policy serves "
            << it.Unservable << ';';
  for (const auto &[reason, n] : it.Refused)
    std::cout << ' ' << reason << '=' << n;
  std::cout << "; unanswered " << it.Unanswered << "; greedy team served "
            << std::setprecision(3) << it.GreedyServed << ", over rate "
            << std::setprecision(0) << it.OverRateTokens << " tokens"
            << std::endl;
}

/// Keeps what is needed to find the cause of a refusal.
void writeTraces(const Cluster &cluster, const std::string &run,
                 const std::vector<Load::Outcome> &outcomes) {
  std::string folder = absl::GetFlag(FLAGS_traces) + "/" + run;
  std::filesystem::create_directories(folder);
  std::ofstream out(folder + "/outcomes");
  Load::writeOutcomes(out, outcomes);
  for (int i = 0; i < Daemons; ++i)
    std::ofstream(folder + "/d" + std::to_string(i)) << cluster.daemonLog(i);
}

void run(const Deployment &what, uint64_t seed) {
  Cluster cluster(optionsOf(what));
  std::vector<std::string> keys;
  keys.reserve(Teams);
  for (int i = 0; i < Teams; ++i)
    keys.push_back(cluster.newKey());
  cluster.importTable(tableOf(what, keys));
  cluster.startAll();
  Load::Plan plan = planOf(what, cluster, keys, seed);
  IdleSampler sampler(cluster);
  auto outcomes = Load::run(plan, [](const Load::Progress &) {});
  double idle = sampler.stop();
  Measures measures = measuresOf(plan, outcomes);
  measures.IdleShare = idle;
  print(what, seed, measures);
  if (!absl::GetFlag(FLAGS_traces).empty())
    writeTraces(cluster, what.Name + std::to_string(seed), outcomes);
}

} // namespace

int main(int argc, char **argv) {
  absl::ParseCommandLine(argc, argv);
  std::string only = absl::GetFlag(FLAGS_deployment);
  uint64_t first = absl::GetFlag(FLAGS_seed);
  for (const Deployment &it : Deployments)
    for (int i = 0; i < absl::GetFlag(FLAGS_seeds); ++i)
      if (only.empty() || only == it.Name)
        run(it, first + static_cast<uint64_t>(i));
  return 0;
}
