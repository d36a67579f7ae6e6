#include "callers.h"
#include "experiments/measuredcluster.h"
#include "faults.h"
#include "utils/digest.h"

#include <doctest/doctest.h>
#include <iostream>
#include <set>

using namespace Nemesis;
using Support::Cluster;
using Support::Json;

namespace {

constexpr size_t CallerThreads = 6;
constexpr size_t Rounds = 25;
constexpr int DaemonCount = 3;
constexpr int EngineCount = 2;

/// Seeds that select two faults each and together cover every fault. If
/// HICKORY_SEED is set, only that seed runs.
std::vector<uint64_t> seeds() {
  if (const char *text = std::getenv("HICKORY_SEED"))
    return {std::strtoull(text, nullptr, 10)};
  return {1, 3, 8, 11, 14, 22, 29};
}

/// Everything recorded in one run that the checks need.
struct History {
  std::vector<Attempt> Attempts;
  std::set<int> BrokenDaemons;
  std::set<int> RefusingDaemons;
  std::set<int> StalledDaemons;
  Json Executions;
  std::vector<Json> Journals;
  Json Audit;
  std::string Key;
};

/// Runs callers against a cluster while two faults begin and end together.
History runUnderFaults(uint64_t seed) {
  std::mt19937_64 random(seed);
  Experiments::ProxiedWays ways;
  ways.Peers = true;
  Support::ClusterOptions options =
      Experiments::measuredOptions(DaemonCount, EngineCount, ways, seed);
  options.StandinFlags = {seed % 2 == 0 ? "--checks_fencing=false"
                                        : "--checks_fencing=true"};
  options.Settings = {{"lease", {{"duration_ms", 2000}}}};
  Cluster cluster(options);
  History history;
  history.Key = cluster.newKey();
  cluster.importTable(Support::basicTable(Cluster::hashOf(history.Key),
                                          {"menu-small", "menu-large"}));
  cluster.startAll();

  std::uniform_int_distribution<size_t> kind(0, faults().size() - 1);
  std::uniform_int_distribution<size_t> step(1, faults().size() - 1);
  std::uniform_int_distribution<int> anyDaemon(0, DaemonCount - 1);
  size_t firstKind = kind(random);
  const Fault &first = faults()[firstKind];
  const Fault &second = faults()[(firstKind + step(random)) % faults().size()];
  int firstVictim = anyDaemon(random);
  int secondVictim = (firstVictim + 1) % DaemonCount;
  std::cout << "seed " << seed << ": " << first.Name << " (d" << firstVictim
            << ") and " << second.Name << " (d" << secondVictim << ")\n";
  for (const auto &[fault, victim] :
       {std::pair(&first, firstVictim), std::pair(&second, secondVictim)}) {
    if (fault->BreaksCalls)
      history.BrokenDaemons.insert(victim);
    if (fault->RefusesCalls)
      history.RefusingDaemons.insert(victim);
    if (fault->StallsCalls)
      history.StalledDaemons.insert(victim);
  }

  Callers callers(cluster, history.Key, CallerThreads, Rounds);
  auto waitForProgress = [&](size_t tenths) {
    return Support::eventually(
        [&] {
          return callers.finishedRounds() * 10 >=
                 tenths * CallerThreads * Rounds;
        },
        std::chrono::seconds(8));
  };
  waitForProgress(2);
  first.Begin(cluster, random, firstVictim);
  second.Begin(cluster, random, secondVictim);
  waitForProgress(6);
  first.End(cluster, firstVictim);
  second.End(cluster, secondVictim);
  cluster.proxy().heal();
  history.Attempts = callers.join();
  for (int i = 0; i < DaemonCount; ++i)
    CHECK_MESSAGE(cluster.waitReady(i),
                  "d" << i << " is not ready after the faults ended");

  history.Executions = cluster.get("desk-0", "/control/executions");
  for (const char *it : {"engine-0", "engine-1"})
    history.Journals.push_back(cluster.get(it, "/admin/journal"));
  history.Journals.push_back(cluster.get("desk-0", "/control/journal"));
  history.Audit = cluster.audit(0);
  return history;
}

void checkOrders(const History &history) {
  for (const auto &it : history.Executions.items())
    CHECK_MESSAGE(it.value().get<uint64_t>() <= 1,
                  it.key() << " ran " << it.value());
  std::map<std::string, bool> notRunByKey;
  for (const Attempt &it : history.Attempts) {
    if (it.OrderKey.empty())
      continue;
    bool notRun = it.Response.error("run_state") == "not-run";
    auto [entry, isNew] = notRunByKey.emplace(it.OrderKey, notRun);
    entry->second = entry->second && notRun;
    if (it.Response.Status == 200)
      CHECK_MESSAGE(history.Executions.contains(it.OrderKey),
                    it.OrderKey << " was answered with 200 but never ran");
  }
  for (const auto &it : notRunByKey)
    if (it.second)
      CHECK_MESSAGE(
          !history.Executions.contains(it.first),
          it.first << " ran although every attempt was refused as not-run");
}

void checkResponses(const History &history) {
  for (const Attempt &it : history.Attempts) {
    bool mayRefuse =
        it.Response.Refused && history.RefusingDaemons.count(it.Daemon) > 0;
    if (!mayRefuse && !history.BrokenDaemons.count(it.Daemon))
      CHECK_MESSAGE(it.Response.Status != 0, "no response from d"
                                                 << it.Daemon << " "
                                                 << it.OrderKey << it.Prompt);
    if (it.Prompt.empty() || it.Response.Status != 200)
      continue;
    std::string text = it.Response.json()["choices"][0]["text"];
    std::string expected = "re:" + std::to_string(Utils::fastHash(it.Prompt));
    CHECK_MESSAGE(text.rfind(expected, 0) == 0,
                  "wrong completion text for " << it.Prompt);
  }
}

void checkEndpoints(const History &history) {
  std::map<std::string, std::set<std::string>> loaded;
  for (const Json &journal : history.Journals) {
    CHECK_MESSAGE(journal.dump().find(history.Key) == std::string::npos,
                  "an endpoint received the caller's key");
    for (const Json &it : journal) {
      CHECK_MESSAGE(it.value("fault", "") != "out of memory", it.dump());
      CHECK_MESSAGE(it.value("fault", "") != "unloaded while running",
                    it.dump());
      if (it.value("order", "") == "load")
        loaded[it.value("model", "")].insert(it.value("replica", ""));
    }
  }
  std::map<std::string, size_t> loadDecisions;
  for (const Json &it : history.Audit)
    if (it["what"].get<std::string>().rfind("replica ", 0) == 0 &&
        it["before"].get<std::string>().empty() && it["after"] == "loading") {
      std::string what = it["what"].get<std::string>().substr(8);
      ++loadDecisions[what.substr(0, what.find(' '))];
    }
  for (const auto &it : loaded)
    CHECK_MESSAGE(it.second.size() <= loadDecisions[it.first],
                  it.first << ": more load orders than decisions");
}

/// Reasons of refusals for which a later retry can succeed.
const std::set<std::string> TemporaryReasons = {
    "no_capacity", "history_unavailable", "deadline_too_short", "draining",
    "idempotency_key_in_use"};

/// Checks that every refusal names a reason and a run state, has a Retry-After
/// header if a later retry can succeed, and arrives before the deadline, while
/// the caller can still try another daemon. Timing is not checked for a daemon
/// that a fault stalled, nor without enforcesTimeLimits(); printRefusals()
/// prints it in any case.
void checkRefusals(const History &history) {
  for (const Attempt &it : history.Attempts) {
    if (it.Response.Status == 200 || it.Response.Status == 0)
      continue;
    std::string reason = it.Response.error("reason");
    std::string runState = it.Response.error("run_state");
    CHECK_MESSAGE(!reason.empty(), it.Response.Body);
    CHECK_MESSAGE(
        (runState == "not-run" || runState == "ran" || runState == "unknown"),
        it.Response.Body);
    bool temporary = TemporaryReasons.count(reason) > 0;
    if (temporary)
      CHECK_MESSAGE(it.Response.Headers.count("Retry-After") == 1,
                    it.Response.Body);
    if (Support::enforcesTimeLimits() &&
        !history.StalledDaemons.count(it.Daemon))
      CHECK_MESSAGE(it.remainingMs() > 0,
                    "refused " << -it.remainingMs() << " ms late by d"
                               << it.Daemon << ": " << it.Response.Body);
  }
}

/// Prints, for each reason of refusal, the count and the least time remaining
/// until the deadline.
void printRefusals(const History &history) {
  std::map<std::string, std::pair<size_t, int64_t>> reasons;
  for (const Attempt &it : history.Attempts) {
    if (it.Response.Status == 200)
      continue;
    std::string outcome = it.Response.Status == 0
                              ? "no response"
                              : it.Response.error("reason") + " " +
                                    it.Response.error("run_state");
    outcome.insert(0, it.OrderKey.empty() ? "completion, " : "reservation, ");
    auto &[n, least] =
        reasons.emplace(outcome, std::pair(0, INT64_MAX)).first->second;
    ++n;
    least = std::min(least, it.remainingMs());
  }
  for (const auto &it : reasons)
    std::cout << "  refused " << it.second.first << " times: " << it.first
              << ", least time to the deadline " << it.second.second << " ms\n";
}

} // namespace

TEST_CASE("guarantees hold while two faults selected by seed overlap") {
  for (uint64_t seed : seeds()) {
    std::string reproduce = "HICKORY_SEED=" + std::to_string(seed) +
                            " build/release/tests/auto/nemesis/tst_nemesis";
    CAPTURE(reproduce);
    History history = runUnderFaults(seed);
    CHECK(history.Attempts.size() >= 2 * CallerThreads * Rounds);
    checkOrders(history);
    checkResponses(history);
    checkEndpoints(history);
    checkRefusals(history);
    printRefusals(history);
    size_t served = 0;
    for (const Attempt &it : history.Attempts)
      served += it.Response.Status == 200;
    CHECK_MESSAGE(served > 0, "no call was served");
    std::cout << "  " << served << " of " << history.Attempts.size()
              << " calls served\n";
  }
}
