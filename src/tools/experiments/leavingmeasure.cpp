/// Measures the time from the VM list's notice that an engine leaves to the
/// last call sent to it, with real daemons under load behind the fault proxy.
#include "experiments/measuredcluster.h"
#include "experiments/percentile.h"
#include "support/leavingendpointcallers.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <iomanip>
#include <iostream>
#include <numeric>

ABSL_FLAG(int, daemons, 8, "number of daemons");
ABSL_FLAG(int, trials, 10, "departures of each case");
ABSL_FLAG(uint64_t, seed, 1, "seed of the proxy");
ABSL_FLAG(std::string, only, "", "name of the only case to run");

namespace {

using Experiments::percentile;
using std::chrono::steady_clock;
using Support::Cluster;
using Support::Json;

constexpr char Model[] = "menu-small";
constexpr char Leaving[] = "engine-0";
constexpr size_t CallsAfter = 5;
constexpr std::chrono::seconds Limit(60);

enum class Case : uint8_t { None, CutFromLog, SlowLog, HolderKilled };

constexpr std::pair<Case, const char *> Cases[] = {
    {Case::None, "none"},
    {Case::CutFromLog, "one cut off from the log"},
    {Case::SlowLog, "log slow"},
    {Case::HolderKilled, "placement holder killed"}};

/// Delay of each piece on a slow log's links, to and fro, and of its appends.
constexpr uint32_t SlowDelayMs = 300;
constexpr uint32_t SlowJitterMs = 400;
constexpr uint32_t SlowAppendMs = 500;

void require(bool holds, const char *what) {
  if (!holds)
    throw std::runtime_error(what);
}

class Run {
public:
  Run(Case what, int daemons, uint64_t seed)
      : What(what),
        All(Experiments::measuredOptions(daemons, 2, {true, false}, seed)) {
    Key = All.newKey();
    All.importTable("kind,name,teams,weights,memory_mb,min_replicas,"
                    "max_replicas,rate_tokens_per_s,burst_tokens,team,"
                    "key_hash\n"
                    "team,kitchen,,,,,,1000000,10000000,,\n"
                    "model,menu-small,kitchen,store/small,8000,2,2,,,,\n"
                    "key,kitchen-1,,,,,,,,kitchen," +
                    Cluster::hashOf(Key) + "\n");
    Experiments::startAcquainted(All, 0, daemons);
    applyFaults();
  }

  void trial() {
    require(Support::eventually([this] { return isHeldByBoth(); }, Limit),
            "the engines do not hold the model");
    std::vector<int> daemons(static_cast<size_t>(All.daemons()));
    std::iota(daemons.begin(), daemons.end(), 0);
    int killed = What == Case::HolderKilled ? placementHolder() : -1;
    std::erase(daemons, killed);
    std::set<std::string> earlier = Support::receivedPrompts(All, Leaving);
    Support::LeavingEndpointCallers callers(All, daemons, Key, Model, Leaving);
    require(Support::eventually(
                [&] {
                  return Support::receivedPrompts(All, Leaving).size() >
                         earlier.size() + daemons.size();
                },
                Limit),
            "the engine gets no calls");
    if (killed >= 0)
      All.daemon(killed).kill();
    auto notice = steady_clock::now();
    Support::markLeaving(All, Leaving);
    for (int it : daemons)
      require(Support::eventually(
                  [&] { return callers.callsAfterNotice(it) >= CallsAfter; },
                  Limit),
              "a daemon does not learn of it");
    callers.stop();
    note(callers.calls(), daemons, notice);
    if (killed >= 0)
      All.startDaemon(killed);
    Support::markLeaving(All, "");
    for (int it : daemons)
      require(Support::eventually(
                  [&] { return !Support::reportsLeaving(All, it, Leaving); },
                  Limit),
              "a daemon does not learn of its return");
  }

  void print(const char *name) {
    std::sort(LastMs.begin(), LastMs.end());
    std::cout << std::left << std::setw(28) << name << std::right << std::fixed
              << std::setprecision(0) << std::setw(6) << LastMs.size()
              << std::setw(8) << percentile(LastMs, 0.5) << std::setw(8)
              << percentile(LastMs, 0.99) << std::setw(8)
              << percentile(LastMs, 1) << std::setw(16) << Late << std::setw(8)
              << NotServed << std::endl;
  }

private:
  void applyFaults() {
    FaultProxy::Faults faults;
    faults.Discard = What == Case::CutFromLog;
    int first = All.daemons() - 1;
    if (What == Case::SlowLog) {
      faults.DelayMs = SlowDelayMs;
      faults.JitterMs = SlowJitterMs;
      All.control("log", {{"append_delay_ms", SlowAppendMs}});
      first = 0;
    }
    for (int i = first; i < All.daemons(); ++i)
      Experiments::setBothWays(All, Experiments::linkName("log", i), faults);
  }

  bool isHeldByBoth() const {
    return std::all_of(All.vms().begin(), All.vms().end(), [&](const Json &vm) {
      if (vm["kind"] != "engine")
        return true;
      Json state =
          All.get(vm["name"].get<std::string>(), "/admin/state")["models"];
      return state.size() == 1 && state[0]["state"] == "ready";
    });
  }

  int placementHolder() const {
    Json status = All.status(0);
    for (const Json &it : status["leases"])
      if (it["duty"] == "placement")
        return std::stoi(it["holder"].get<std::string>().substr(1));
    throw std::runtime_error("nobody holds the placement");
  }

  /// Notes, for each daemon, when the last call that came to the engine was
  /// sent.
  void note(const std::vector<Support::RecordedCall> &calls,
            const std::vector<int> &daemons, steady_clock::time_point notice) {
    std::set<std::string> seen = Support::receivedPrompts(All, Leaving);
    std::map<int, double> last;
    for (int it : daemons)
      last[it] = 0;
    for (const Support::RecordedCall &it : calls) {
      NotServed += it.Status != 200 ? 1 : 0;
      if (it.SentAt < notice || seen.count(it.Prompt) == 0)
        continue;
      Late += it.AfterNotice ? 1 : 0;
      std::chrono::duration<double, std::milli> after = it.SentAt - notice;
      last[it.Daemon] = std::max(last[it.Daemon], after.count());
    }
    for (const auto &[daemon, ms] : last)
      LastMs.push_back(ms);
  }

  Case What;
  Cluster All;
  std::string Key;
  std::vector<double> LastMs;
  size_t Late = 0;
  size_t NotServed = 0;
};

} // namespace

int main(int argc, char **argv) {
  absl::ParseCommandLine(argc, argv);
  std::cout << absl::GetFlag(FLAGS_daemons) << " daemons, seed "
            << absl::GetFlag(FLAGS_seed)
            << "; ms from the VM list's notice to the last call that a daemon "
               "sent to the leaving engine\n"
            << std::left << std::setw(28) << "case" << std::right
            << std::setw(6) << "n" << std::setw(8) << "p50" << std::setw(8)
            << "p99" << std::setw(8) << "max" << std::setw(16)
            << "sent knowingly" << std::setw(8) << "refused" << std::endl;
  for (const auto &[what, name] : Cases) {
    std::string only = absl::GetFlag(FLAGS_only);
    if (!only.empty() && only != name)
      continue;
    Run run(what, absl::GetFlag(FLAGS_daemons), absl::GetFlag(FLAGS_seed));
    for (int i = 0; i < absl::GetFlag(FLAGS_trials); ++i)
      run.trial();
    run.print(name);
  }
  return 0;
}
