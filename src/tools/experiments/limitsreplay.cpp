#include "experiments/limitsreplay.h"
#include "experiments/percentile.h"

#include "admission/admission.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

/// Replays seeded arrivals at eight daemons through the real token grants and
/// the real fair queue, beside 1/N shares and a first-come queue. Prints one
/// JSON line for each run.

namespace Experiments {

namespace {

using Json = nlohmann::json;

constexpr int64_t RunMs = 120'000;
constexpr int64_t BurstBeginMs = 30'000;
constexpr int64_t BurstEndMs = 50'000;
constexpr int64_t ChunkMs = 100;
constexpr uint64_t ChunkTokens = 5;
constexpr double GreedyFactor = 4;
constexpr int Seeds = 5;

/// Teams of a deployment: rate, burst and usual demand as a part of the rate.
struct Deployment {
  const char *Name;
  std::map<std::string, Limits::Limit> Teams;
  double Usual;
  double Morning;
  uint64_t MeanTokens;
};

const Deployment Deployments[] = {{"cedarbrook",
                                   {{"menus", {3000, 40000}},
                                    {"allergies", {1500, 20000}},
                                    {"families", {1000, 15000}},
                                    {"kitchens", {500, 10000}},
                                    {"greedy", {1000, 15000}}},
                                   0.5,
                                   1.5,
                                   300},
                                  {"agency",
                                   {{"fes", {3000, 40000}},
                                    {"meknes", {2000, 30000}},
                                    {"catalogue", {800, 12000}},
                                    {"archive", {400, 8000}},
                                    {"greedy", {1000, 15000}}},
                                   0.6,
                                   1.3,
                                   400}};

/// Central bucket with perfect knowledge, charged as the policy under test
/// admits and delivers.
struct Ideal {
  double Rate = 0;
  double Burst = 0;
  double Level = 0;
  double Out = 0;
  /// Charged at delivery only; below zero is over-admission.
  double Delivery = 0;
  double Over = 0;

  void step() {
    Level = std::min(Level + Rate * 1e-3, Burst - Out);
    Delivery = std::min(Delivery + Rate * 1e-3, Burst);
  }
  void admit(double n) {
    Level -= n;
    Out += n;
  }
  void deliver(double n) {
    Out -= n;
    Delivery -= n;
    Over = std::max(Over, -Delivery);
  }
  void refund(double n) {
    Out -= n;
    Level = std::min(Level + n, Burst - Out);
  }
};

struct Call {
  uint64_t Id = 0;
  Demand What;
  uint64_t Left = 0;
  uint64_t Reserved = 0;
  int64_t ArrivedMs = 0;
  int64_t NextMs = 0;
};

struct TeamCount {
  uint64_t Requests = 0;
  uint64_t Refused = 0;
  uint64_t Wrongful = 0;
  uint64_t Tokens = 0;
  std::vector<double> WaitMs;
};

/// One run of a rate policy.
class RateReplay {
public:
  RateReplay(const Deployment &deployment, uint64_t seed, Limiter &limiter)
      : Where(deployment), Random(seed), Policy(limiter) {
    for (const auto &[team, limit] : deployment.Teams)
      Ideals[team] = {double(limit.RateTokensPerS), double(limit.BurstTokens),
                      double(limit.BurstTokens),    0,
                      double(limit.BurstTokens),    0};
  }

  void run() {
    for (NowMs = 0; NowMs < RunMs; ++NowMs) {
      for (auto &[team, ideal] : Ideals)
        ideal.step();
      Policy.step(NowMs);
      settle();
      serve();
      for (const auto &[team, limit] : Where.Teams)
        arrive(team, limit);
    }
  }

  Json result() const {
    TeamCount all;
    double worst = 1;
    double over = 0;
    for (const auto &[team, it] : Counts) {
      over = std::max(over, Ideals.at(team).Over);
      if (team == "greedy")
        continue;
      all.Requests += it.Requests;
      all.Refused += it.Refused;
      all.Wrongful += it.Wrongful;
      worst = std::min(worst, 1 - double(it.Refused) / double(it.Requests));
      all.WaitMs.insert(all.WaitMs.end(), it.WaitMs.begin(), it.WaitMs.end());
    }
    std::sort(all.WaitMs.begin(), all.WaitMs.end());
    const TeamCount &greedy = Counts.at("greedy");
    return {
        {"requests", all.Requests},
        {"refused", all.Refused},
        {"wrongful", all.Wrongful},
        {"wrongful_percent", 100 * double(all.Wrongful) / double(all.Requests)},
        {"worst_team_served", worst},
        {"wait_ms_p50", percentile(all.WaitMs, 0.5)},
        {"wait_ms_p99", percentile(all.WaitMs, 0.99)},
        {"over_admitted_tokens", std::max(over, 0.0)},
        {"greedy_tokens_per_rate",
         double(greedy.Tokens) /
             (double(Where.Teams.at("greedy").RateTokensPerS) * RunMs / 1000)}};
  }

private:
  double demandOf(const std::string &team) const {
    if (team == "greedy")
      return GreedyFactor;
    bool morning = NowMs >= BurstBeginMs && NowMs < BurstEndMs;
    return morning ? Where.Morning : Where.Usual;
  }

  void arrive(const std::string &team, const Limits::Limit &limit) {
    double perMs = double(limit.RateTokensPerS) * demandOf(team) / 1000 /
                   double(Where.MeanTokens);
    std::poisson_distribution<int> count(perMs);
    for (int n = count(Random); n > 0; --n)
      request(team);
  }

  /// Callers of a team reach few of the daemons most of the time.
  size_t daemonFor(const std::string &team) {
    std::geometric_distribution<size_t> skew(0.35);
    size_t home = std::hash<std::string>()(team) % DaemonCount;
    return (home + skew(Random)) % DaemonCount;
  }

  void request(const std::string &team) {
    std::uniform_int_distribution<uint64_t> size(Where.MeanTokens / 2,
                                                 Where.MeanTokens * 3 / 2);
    std::uniform_real_distribution<double> used(0.4, 1);
    Call call;
    call.Id = ++LastId;
    uint64_t tokens = size(Random);
    call.What = {daemonFor(team), team, tokens};
    call.Left = std::max<uint64_t>(1, uint64_t(double(tokens) * used(Random)));
    call.Reserved = tokens;
    call.ArrivedMs = NowMs;
    ++Counts[team].Requests;
    decide(call, Policy.take(call.Id, call.What));
  }

  void decide(const Call &call, Limiter::Verdict verdict) {
    TeamCount &count = Counts[call.What.Team];
    Ideal &ideal = Ideals[call.What.Team];
    if (verdict == Limiter::Verdict::Waiting) {
      Waiting.push_back(call);
      return;
    }
    if (verdict == Limiter::Verdict::Refused) {
      ++count.Refused;
      count.Wrongful += ideal.Level >= double(call.Reserved) ? 1 : 0;
      return;
    }
    ideal.admit(double(call.Reserved));
    count.WaitMs.push_back(double(NowMs - call.ArrivedMs));
    Running.push_back(call);
    Running.back().NextMs = NowMs + ChunkMs;
  }

  void settle() {
    std::vector<Call> waiting = std::exchange(Waiting, {});
    for (const Call &it : waiting)
      decide(it, Policy.poll(it.Id));
  }

  void serve() {
    std::erase_if(Running, [this](Call &it) {
      if (NowMs < it.NextMs)
        return false;
      it.NextMs += ChunkMs;
      uint64_t n = std::min(it.Left, ChunkTokens);
      if (!Policy.deliver(it.Id, n))
        return false;
      Ideals[it.What.Team].deliver(double(n));
      Counts[it.What.Team].Tokens += n;
      it.Left -= n;
      it.Reserved -= n;
      if (it.Left > 0)
        return false;
      Policy.release(it.Id);
      Ideals[it.What.Team].refund(double(it.Reserved));
      return true;
    });
  }

  const Deployment &Where;
  std::mt19937_64 Random;
  Limiter &Policy;
  int64_t NowMs = 0;
  uint64_t LastId = 0;
  std::map<std::string, Ideal> Ideals;
  std::map<std::string, TeamCount> Counts;
  std::vector<Call> Waiting;
  std::vector<Call> Running;
};

/// One run of a queue policy at one daemon: calls of five teams, one of them at
/// several times its part of the capacity.
Json replayQueue(uint64_t seed, bool fair, bool greedy) {
  constexpr size_t slots = 16;
  constexpr int teams = 5;
  constexpr int64_t serviceMs = 400;
  constexpr double usual = 0.7;
  std::mt19937_64 random(seed);
  Admission::FairQueue queue;
  queue.Limits = {400, 2000};
  std::map<uint64_t, std::pair<int64_t, std::string>> arrived;
  std::multimap<int64_t, std::string> running;
  std::map<std::string, TeamCount> counts;
  uint64_t id = 0;
  auto any = [](const std::string &) { return true; };
  for (int64_t now = 0; now < RunMs; ++now) {
    for (auto it = running.begin(); it != running.end() && it->first <= now;
         it = running.erase(it))
      Admission::finish(queue, it->second);
    for (int i = 0; i < teams; ++i) {
      double factor = i == 0 && greedy ? GreedyFactor : usual;
      std::poisson_distribution<int> count(factor * slots / serviceMs / teams);
      std::string team = i == 0 ? "greedy" : "team" + std::to_string(i);
      for (int n = count(random); n > 0; --n) {
        ++counts[team].Requests;
        std::string line = fair ? team : "all";
        if (!Admission::enqueue(queue, {++id, line, "m", {}}))
          ++counts[team].Refused;
        else
          arrived[id] = {now, team};
      }
    }
    while (running.size() < slots) {
      auto started = Admission::next(queue, any);
      if (!started)
        break;
      auto [since, team] = arrived.at(started->Id);
      arrived.erase(started->Id);
      counts[team].WaitMs.push_back(double(now - since));
      ++counts[team].Tokens;
      Admission::serve(queue, started->Team, 100);
      running.emplace(now + serviceMs, started->Team);
    }
  }
  double worstShare = 1;
  double worstP99 = 0;
  for (const auto &[team, it] : counts) {
    if (team == "greedy")
      continue;
    worstShare = std::min(worstShare, double(it.Tokens) / double(it.Requests));
    std::vector<double> waits = it.WaitMs;
    std::sort(waits.begin(), waits.end());
    worstP99 = std::max(worstP99, percentile(waits, 0.99));
  }
  return {{"worst_team_served", worstShare}, {"worst_wait_ms_p99", worstP99}};
}

void print(Json line, const char *name, uint64_t seed, const char *policy,
           const char *fault) {
  line["experiment"] = name;
  line["seed"] = seed;
  line["policy"] = policy;
  line["case"] = fault;
  std::cout << line.dump() << '\n';
}

void replayRates(const Deployment &where, uint64_t seed) {
  const std::pair<Takeover, const char *> faults[] = {
      {Takeover::None, "no fault"},
      {Takeover::Planned, "planned stop of the holder"},
      {Takeover::Crash, "holder crashes"}};
  for (const auto &[fault, name] : faults) {
    auto limiter = makeLeasedLimiter(where.Teams, fault);
    RateReplay replay(where, seed, *limiter);
    replay.run();
    print(replay.result(), where.Name, seed, "ours", name);
  }
  auto shares = makeShareLimiter(where.Teams);
  RateReplay replay(where, seed, *shares);
  replay.run();
  print(replay.result(), where.Name, seed, "1/N shares", "no fault");
}

} // namespace

} // namespace Experiments

int main() {
  using namespace Experiments;
  for (uint64_t seed = 1; seed <= Seeds; ++seed) {
    for (const Deployment &it : Deployments)
      replayRates(it, seed);
    for (bool greedy : {false, true}) {
      const char *name = greedy ? "one team at 4 times" : "no greedy team";
      print(replayQueue(seed, true, greedy), "queue", seed, "ours", name);
      print(replayQueue(seed, false, greedy), "queue", seed, "first come",
            name);
    }
  }
}
