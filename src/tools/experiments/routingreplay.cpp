/// Replays seeded arrivals through the routing decision against a small queue
/// model of replicas, for ours with and without reported loads and two
/// baselines, at both deployments' sizes. Writes JSON lines.
///
/// Model: each replica serves Slots requests at once, first come first served,
/// and caches the newest CachedPrefixes prefixes; a miss costs PrefillS. Each
/// daemon knows its own outstanding calls at once, and readings of the load
/// whose age is drawn anew for each daemon, replica and period.
#include "experiments/percentile.h"
#include "routing/routing.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <list>
#include <nlohmann/json.hpp>

namespace {

constexpr size_t Replicas = 12;
constexpr size_t Slots = 4;
constexpr size_t CachedPrefixes = 24;
constexpr size_t Prefixes = 200;
constexpr int Requests = 40000;
constexpr double PrefillS = 0.4;
constexpr double DecodeS = 0.6;
constexpr double ReportPeriodS = 0.5;
/// Greatest age of a reading when a daemon gets it.
constexpr double MaxReadingAgeS = 2.0;
/// Arrivals over what the replicas serve without any hit.
constexpr double Utilization = 0.75;
/// Rate of a burst over the mean rate, and the share of time it takes.
constexpr double BurstFactor = 1.4;
constexpr double BurstPeriodS = 60;
constexpr double BurstShare = 0.25;

enum class Policy { Ours, OwnCallsOnly, Random, RoundRobin };
constexpr const char *PolicyNames[] = {"ours", "own_calls_only", "random",
                                       "round_robin"};

struct Deployment {
  const char *Name;
  size_t Domains;
  size_t Daemons;
};
constexpr Deployment Deployments[] = {{"cedarbrook", 3, 7}, {"agency", 4, 8}};

struct Call {
  double BeginS;
  double EndS;
  size_t Daemon;
};

struct Replica {
  std::vector<double> SlotFreeS = std::vector<double>(Slots, 0.0);
  std::list<size_t> Cached;
  std::vector<Call> Running;
};

Utils::TimePoint timePoint(double s) {
  return Utils::TimePoint(
      std::chrono::duration_cast<Utils::TimePoint::duration>(
          std::chrono::duration<double>(s)));
}

struct Arrival {
  double AtS;
  size_t Daemon;
  size_t Prefix;
  double DecodeS;
};

std::vector<Arrival> arrivals(size_t daemons, uint64_t seed) {
  std::mt19937_64 random(seed);
  double meanRate = Utilization * Replicas * Slots / (PrefillS + DecodeS);
  double quiet = (1 - BurstShare * BurstFactor) / (1 - BurstShare);
  std::exponential_distribution<double> gap(1.0);
  std::exponential_distribution<double> decode(1.0 / DecodeS);
  std::vector<double> weights;
  for (size_t i = 1; i <= Prefixes; ++i)
    weights.push_back(1.0 / static_cast<double>(i));
  std::discrete_distribution<size_t> prefix(weights.begin(), weights.end());
  std::vector<Arrival> all;
  double nowS = 0;
  for (int i = 0; i < Requests; ++i) {
    bool burst = std::fmod(nowS, BurstPeriodS) < BurstShare * BurstPeriodS;
    nowS += gap(random) / (meanRate * (burst ? BurstFactor : quiet));
    all.push_back({nowS, random() % daemons, prefix(random), decode(random)});
  }
  return all;
}

class Model {
public:
  Model(Policy policy, const Deployment &deployment, uint64_t seed)
      : Chosen(policy), Site(deployment), Random(seed),
        Readings(deployment.Daemons * Replicas), Next(deployment.Daemons) {}

  void run(const std::vector<Arrival> &all) {
    for (const Arrival &arrival : all) {
      report(arrival.AtS);
      serve(arrival, Fleet[pick(arrival)]);
    }
  }

  nlohmann::json result() {
    std::sort(WaitsS.begin(), WaitsS.end());
    return {{"deployment", Site.Name},
            {"policy", PolicyNames[static_cast<size_t>(Chosen)]},
            {"wait_p50_s", Experiments::percentile(WaitsS, 0.5)},
            {"wait_p95_s", Experiments::percentile(WaitsS, 0.95)},
            {"wait_p99_s", Experiments::percentile(WaitsS, 0.99)},
            {"prefix_hits", static_cast<double>(Hits) / Requests}};
  }

private:
  /// Each daemon gets a reading of each replica.
  void report(double nowS) {
    if (nowS < NextReportS)
      return;
    NextReportS = nowS + ReportPeriodS;
    std::uniform_real_distribution<double> age(0, MaxReadingAgeS);
    for (Replica &it : Fleet)
      std::erase_if(it.Running, [&](const Call &call) {
        return call.EndS + MaxReadingAgeS <= nowS;
      });
    for (size_t i = 0; i < Readings.size(); ++i) {
      double atS = std::max(nowS - age(Random), 0.0);
      uint32_t load =
          under(Fleet[i % Replicas], atS, [](const Call &) { return true; });
      if (timePoint(atS) > Readings[i].At)
        Readings[i] = {load, timePoint(atS)};
    }
  }

  /// Calls under way at the time that satisfy the predicate.
  template <typename F>
  static uint32_t under(const Replica &replica, double atS, F predicate) {
    return static_cast<uint32_t>(std::count_if(
        replica.Running.begin(), replica.Running.end(), [&](const Call &it) {
          return it.BeginS <= atS && it.EndS > atS && predicate(it);
        }));
  }

  std::vector<uint32_t> reportedLoads(const Arrival &arrival) {
    std::vector<Routing::SeenLoad> seen;
    for (size_t i = 0; i < Replicas; ++i) {
      const auto &reading = Readings[arrival.Daemon * Replicas + i];
      uint32_t then = under(Fleet[i], arrival.AtS, [&](const Call &it) {
        return it.Daemon == arrival.Daemon && timePoint(it.BeginS) < reading.At;
      });
      seen.push_back({reading, then});
    }
    return Routing::loadsOfOthers(seen, timePoint(arrival.AtS));
  }

  size_t pick(const Arrival &arrival) {
    if (Chosen == Policy::Random)
      return Random() % Replicas;
    if (Chosen == Policy::RoundRobin)
      return Next[arrival.Daemon]++ % Replicas;
    std::vector<uint32_t> loads(Replicas);
    if (Chosen == Policy::Ours)
      loads = reportedLoads(arrival);
    std::vector<Routing::Candidate> candidates;
    for (size_t i = 0; i < Replicas; ++i) {
      uint32_t own = under(Fleet[i], arrival.AtS, [&](const Call &it) {
        return it.Daemon == arrival.Daemon;
      });
      candidates.push_back({"e" + std::to_string(i),
                            std::to_string(i % Site.Domains), loads[i], own});
    }
    Routing::Query query{std::to_string(arrival.Daemon % Site.Domains),
                         arrival.Prefix + 1};
    return *Routing::choose(candidates, query, Random);
  }

  void serve(const Arrival &arrival, Replica &replica) {
    auto slot =
        std::min_element(replica.SlotFreeS.begin(), replica.SlotFreeS.end());
    double startS = std::max(*slot, arrival.AtS);
    auto cached =
        std::find(replica.Cached.begin(), replica.Cached.end(), arrival.Prefix);
    bool hit = cached != replica.Cached.end();
    if (hit)
      replica.Cached.erase(cached);
    replica.Cached.push_front(arrival.Prefix);
    if (replica.Cached.size() > CachedPrefixes)
      replica.Cached.pop_back();
    *slot = startS + (hit ? 0 : PrefillS) + arrival.DecodeS;
    replica.Running.push_back({arrival.AtS, *slot, arrival.Daemon});
    WaitsS.push_back(startS - arrival.AtS);
    Hits += hit ? 1 : 0;
  }

  Policy Chosen;
  Deployment Site;
  std::mt19937_64 Random;
  std::vector<Replica> Fleet = std::vector<Replica>(Replicas);
  /// By daemon, then by replica.
  std::vector<Routing::LoadReading> Readings;
  std::vector<size_t> Next;
  std::vector<double> WaitsS;
  double NextReportS = 0;
  int Hits = 0;
};

} // namespace

int main() {
  for (const Deployment &site : Deployments)
    for (uint64_t seed = 1; seed <= 5; ++seed)
      for (Policy policy : {Policy::Ours, Policy::OwnCallsOnly, Policy::Random,
                            Policy::RoundRobin}) {
        Model model(policy, site, seed);
        model.run(arrivals(site.Daemons, seed));
        nlohmann::json line = model.result();
        line["seed"] = seed;
        std::puts(line.dump().c_str());
      }
  return 0;
}
