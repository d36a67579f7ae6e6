/// Measures the time from an accepted edit, and from a key withdrawal, to in
/// force on every daemon, with real daemons behind the fault proxy.
#include "experiments/measuredcluster.h"
#include "experiments/percentile.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <httplib.h>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

ABSL_FLAG(int, daemons, 8, "number of daemons");
ABSL_FLAG(int, trials, 20, "edits, and withdrawals, of each case");
ABSL_FLAG(uint64_t, seed, 1, "seed of the proxy's losses and delays");
ABSL_FLAG(std::string, only, "", "name of the only case to run");

namespace {

using Experiments::linkName;
using Experiments::percentile;
using Experiments::setBothWays;
using FaultProxy::Faults;
using std::chrono::steady_clock;
using Support::Cluster;
using Support::Json;

constexpr std::chrono::milliseconds AskAgain(10);
constexpr std::chrono::seconds GiveUp(30);
constexpr int TargetMs = 5000;
constexpr int HttpOk = 200;
constexpr int HttpUnauthorized = 401;
constexpr int HttpUnavailable = 503;

enum class LogCut : uint8_t { None, Refused, Silent };

struct Case {
  const char *Name;
  double PeerLoss;
  bool SlowLog;
  LogCut Cut;
};

constexpr Case Cases[] = {
    {"none", 0, false, LogCut::None},
    {"loss 5%", 0.05, false, LogCut::None},
    {"loss 20%", 0.2, false, LogCut::None},
    {"log slow", 0, true, LogCut::None},
    {"one cut off, refused", 0, false, LogCut::Refused},
    {"one cut off, silent", 0, false, LogCut::Silent},
    {"one cut off, loss 5%", 0.05, false, LogCut::Silent},
    {"one cut off, loss 20%", 0.2, false, LogCut::Silent},
    {"one cut off, log slow", 0, true, LogCut::Silent},
};

/// Delay of each piece on a slow log's links, to and fro, and of its appends.
constexpr uint32_t SlowDelayMs = 300;
constexpr uint32_t SlowJitterMs = 400;
constexpr uint32_t SlowAppendMs = 500;

double msBetween(steady_clock::time_point from, steady_clock::time_point to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

struct Answer {
  int Status = 0;
  std::string Body;
};
using Holds = std::function<bool(const Answer &)>;

/// Asks one daemon for its models until the predicate holds.
struct Watch {
  std::optional<steady_clock::time_point> HeldAt;
  size_t NotCurrent = 0;

  void run(uint16_t port, const std::string &key, const Holds &holds) {
    httplib::Client client("127.0.0.1", port);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    httplib::Headers headers = {{"Authorization", "Bearer " + key}};
    auto end = steady_clock::now() + GiveUp;
    while (steady_clock::now() < end) {
      auto result = client.Get("/v1/models", headers);
      if (result && result->status == HttpUnavailable)
        ++NotCurrent;
      if (result && holds({result->status, result->body})) {
        HeldAt = steady_clock::now();
        return;
      }
      std::this_thread::sleep_for(AskAgain);
    }
  }
};

/// Times in ms, a value for each daemon and trial.
struct Times {
  std::vector<double> FromAccepted;
  std::vector<double> FromCommand;
  size_t Never = 0;
  size_t NotCurrent = 0;
};

class Run {
public:
  Run(const Case &what, int daemons, int trials, uint64_t seed)
      : What(what), Daemons(daemons), Trials(trials),
        All(Experiments::measuredOptions(daemons + 1, 2, {true, false}, seed)) {
    Reader = All.newKey();
    for (int i = 0; i < trials; ++i)
      Withdrawn.push_back(All.newKey());
    All.importTable(table());
    Experiments::startAcquainted(All, First, Daemons);
    applyFaults();
  }

  void measure() {
    Times edits;
    Times withdrawals;
    for (int i = 0; i < Trials; ++i) {
      std::string model = "new-" + std::to_string(i);
      trial(
          {"table", "edit", "model", model, "teams=kitchen",
           "weights=store/" + model, "memory_mb=1000", "kv_cache_mb=100",
           "max_replicas=1"},
          Reader,
          [&](const Answer &it) {
            return it.Body.find('"' + model + '"') != std::string::npos;
          },
          edits);
      trial(
          {"table", "delete", "key", "key-" + std::to_string(i)},
          Withdrawn[static_cast<size_t>(i)],
          [](const Answer &it) { return it.Status == HttpUnauthorized; },
          withdrawals);
    }
    print("edit", edits);
    print("withdrawal", withdrawals);
    if (size_t n = reverted(); n > 0)
      std::cout << What.Name << ": " << n << " REVERTED\n";
  }

private:
  /// The settings of daemon 0 are the operator's, whose way to the log has no
  /// fault; no daemon is started with them.
  static constexpr int First = 1;

  std::string table() const {
    std::ostringstream csv;
    csv << Support::basicTable(Cluster::hashOf(Reader));
    for (size_t i = 0; i < Withdrawn.size(); ++i)
      csv << "key,key-" << i << ",,,,,,,,,,kitchen,"
          << Cluster::hashOf(Withdrawn[i]) << '\n';
    return csv.str();
  }

  void applyFaults() {
    Faults loss;
    loss.Loss = What.PeerLoss;
    Faults slow;
    slow.DelayMs = SlowDelayMs;
    slow.JitterMs = SlowJitterMs;
    for (int i = First; i <= Daemons; ++i) {
      setBothWays(All, linkName("peer", i), loss);
      setBothWays(All, linkName("gossip", i), loss);
      if (What.SlowLog)
        setBothWays(All, linkName("log", i), slow);
    }
    if (What.SlowLog)
      All.control("log", {{"append_delay_ms", SlowAppendMs}});
    if (What.Cut != LogCut::None)
      cutLastFromLog();
  }

  void cutLastFromLog() {
    Faults cut;
    cut.Refuse = What.Cut == LogCut::Refused;
    cut.Discard = What.Cut == LogCut::Silent;
    setBothWays(All, linkName("log", Daemons), cut);
    bool lost = Support::eventually([this] {
      Json status = All.status(Daemons);
      return !status["history"]["log_lost_ms"].is_null();
    });
    if (!lost)
      throw std::runtime_error("the daemon has not noticed that it is cut off");
  }

  void trial(const std::vector<std::string> &words, const std::string &key,
             const Holds &holds, Times &times) {
    std::vector<Watch> watches(static_cast<size_t>(Daemons));
    std::vector<std::thread> threads;
    auto begun = steady_clock::now();
    for (int i = First; i <= Daemons; ++i)
      threads.emplace_back([&, i] {
        watches[static_cast<size_t>(i - First)].run(All.httpPort(i), key,
                                                    holds);
      });
    Support::RunResult command = All.command(words);
    auto accepted = steady_clock::now();
    for (std::thread &it : threads)
      it.join();
    if (command.ExitCode != 0)
      throw std::runtime_error("the edit failed: " + command.Output);
    for (const Watch &it : watches) {
      times.NotCurrent += it.NotCurrent;
      if (!it.HeldAt) {
        ++times.Never;
        continue;
      }
      times.FromAccepted.push_back(
          std::max(0.0, msBetween(accepted, *it.HeldAt)));
      times.FromCommand.push_back(msBetween(begun, *it.HeldAt));
    }
  }

  /// Daemons and edits that are in force no more at the end.
  size_t reverted() {
    size_t n = 0;
    for (int i = First; i <= Daemons; ++i) {
      auto models = All.send(i, "GET", "/v1/models", "",
                             {{"Authorization", "Bearer " + Reader}});
      for (int k = 0; k < Trials && models.Status == HttpOk; ++k)
        n += models.Body.find("\"new-" + std::to_string(k) + '"') ==
             std::string::npos;
      for (const std::string &key : Withdrawn)
        n += All.send(i, "GET", "/v1/models", "",
                      {{"Authorization", "Bearer " + key}})
                 .Status == HttpOk;
    }
    return n;
  }

  void print(const char *kind, Times &times) const {
    auto &accepted = times.FromAccepted;
    auto &begun = times.FromCommand;
    std::sort(accepted.begin(), accepted.end());
    std::sort(begun.begin(), begun.end());
    bool met = times.Never == 0 && percentile(begun, 1) <= TargetMs;
    std::cout << std::left << std::setw(24) << What.Name << std::setw(12)
              << kind << std::right << std::fixed << std::setprecision(0)
              << std::setw(6) << accepted.size() << std::setw(8)
              << percentile(accepted, 0.5) << std::setw(8)
              << percentile(accepted, 0.99) << std::setw(8)
              << percentile(accepted, 1) << std::setw(10)
              << percentile(begun, 0.5) << std::setw(8)
              << percentile(begun, 0.99) << std::setw(8) << percentile(begun, 1)
              << std::setw(7) << times.Never << std::setw(13)
              << times.NotCurrent << "  " << (met ? "met" : "NOT MET")
              << std::endl;
  }

  Case What;
  int Daemons;
  int Trials;
  Cluster All;
  std::string Reader;
  std::vector<std::string> Withdrawn;
};

} // namespace

int main(int argc, char **argv) {
  absl::ParseCommandLine(argc, argv);
  std::cout << absl::GetFlag(FLAGS_daemons) << " daemons, seed "
            << absl::GetFlag(FLAGS_seed)
            << "; ms from the command's end, then from its start; target "
            << TargetMs << " from its start\n"
            << std::left << std::setw(36) << "case" << std::right
            << std::setw(6) << "n" << std::setw(8) << "p50" << std::setw(8)
            << "p99" << std::setw(8) << "max" << std::setw(10) << "p50"
            << std::setw(8) << "p99" << std::setw(8) << "max" << std::setw(7)
            << "never" << std::setw(13) << "not current" << std::endl;
  for (const Case &it : Cases) {
    std::string only = absl::GetFlag(FLAGS_only);
    if (!only.empty() && only != it.Name)
      continue;
    Run run(it, absl::GetFlag(FLAGS_daemons), absl::GetFlag(FLAGS_trials),
            absl::GetFlag(FLAGS_seed));
    run.measure();
  }
  return 0;
}
