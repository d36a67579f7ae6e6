/// Measures what control costs a daemon, with real daemons as processes: idle,
/// under edits and with the log unavailable, at several numbers of daemons.
#include "experiments/measuredcluster.h"
#include "experiments/processusage.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <iomanip>
#include <iostream>
#include <set>
#include <thread>

ABSL_FLAG(std::vector<std::string>, daemons,
          std::vector<std::string>({"8", "16", "32", "64"}),
          "numbers of daemons, at most 64 each");
ABSL_FLAG(int, engines, 4, "number of engine stand-ins");
ABSL_FLAG(int, settle_s, 15, "time between the start and the first phase");
ABSL_FLAG(int, seconds, 20, "length of each phase");
ABSL_FLAG(uint64_t, seed, 1, "seed of the proxy");

namespace {

using Experiments::linkName;
using FaultProxy::Direction;
using std::chrono::steady_clock;
using Support::Cluster;
using Support::Json;

constexpr int MaxDaemons = 64;
constexpr int TargetDaemons = 420;
constexpr std::chrono::seconds EditPeriod(1);
constexpr double CpuLimitPercent = 2.4;
constexpr double MemoryLimitMb = 256;
constexpr double TrafficLimitKb = 22;
constexpr double BytesPerKb = 1000;

/// Counters of one daemon at one moment, or their change in a second.
struct Cost {
  double Cpu = 0;
  double ResidentMb = 0;
  double PeersIn = 0;
  double PeersOut = 0;
  double LogIn = 0;
  double LogOut = 0;
  double VmsIn = 0;

  double in() const { return PeersIn + LogIn + VmsIn; }
  double out() const { return PeersOut + LogOut; }
};

/// Use of what all daemons share.
struct LogUse {
  double Appends = 0;
  double Reads = 0;
  double EngineBytes = 0;
};

Cost rate(const Cost &before, const Cost &after, double seconds) {
  return {(after.Cpu - before.Cpu) / seconds,
          after.ResidentMb,
          (after.PeersIn - before.PeersIn) / seconds,
          (after.PeersOut - before.PeersOut) / seconds,
          (after.LogIn - before.LogIn) / seconds,
          (after.LogOut - before.LogOut) / seconds,
          (after.VmsIn - before.VmsIn) / seconds};
}

/// Mean over some daemons, a row of the table.
struct Row {
  Cost Mean;
  Cost Worst;
  size_t Count = 0;

  void add(const Cost &it) {
    auto grow = [&](double Cost::*member) {
      Mean.*member += it.*member;
      Worst.*member = std::max(Worst.*member, it.*member);
    };
    for (auto member :
         {&Cost::Cpu, &Cost::ResidentMb, &Cost::PeersIn, &Cost::PeersOut,
          &Cost::LogIn, &Cost::LogOut, &Cost::VmsIn})
      grow(member);
    ++Count;
  }
  double mean(double Cost::*member) const {
    return Count == 0 ? 0 : Mean.*member / static_cast<double>(Count);
  }
};

/// One line through points, by least squares.
struct Line {
  std::vector<std::pair<double, double>> Points;

  double at(double x) const {
    double n = static_cast<double>(Points.size());
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (const auto &[px, py] : Points) {
      sx += px;
      sy += py;
      sxx += px * px;
      sxy += px * py;
    }
    double spread = n * sxx - sx * sx;
    double slope = spread == 0 ? 0 : (n * sxy - sx * sy) / spread;
    return (sy - slope * sx) / n + slope * x;
  }
};

using Figures = std::map<std::string, std::map<std::string, Line>>;

class Run {
public:
  Run(int daemons, int engines, uint64_t seed)
      : Daemons(daemons), All(Experiments::measuredOptions(
                              daemons + 1, engines, {false, true}, seed)) {
    All.importTable(Support::basicTable(Cluster::hashOf(All.newKey())));
    Experiments::startAcquainted(All, First, Daemons);
    std::this_thread::sleep_for(
        std::chrono::seconds(absl::GetFlag(FLAGS_settle_s)));
  }

  void measure(Figures &figures) {
    phase("idle", false, figures);
    phase("edits", true, figures);
    All.control("log", {{"outage", true}});
    phase("log outage", false, figures);
    All.control("log", {{"outage", false}});
  }

private:
  /// The settings of daemon 0 are the operator's.
  static constexpr int First = 1;

  Cost costOf(int i) {
    auto usage = Experiments::usageOf(All.daemon(i).id());
    std::string metrics = All.send(i, "GET", "/metrics", "", {}).Body;
    auto peers = [&](const char *way) {
      return Experiments::metricSum(metrics, "hickory_peer_bytes_total", way);
    };
    auto passed = [&](const char *kind, Direction direction) {
      return static_cast<double>(
          All.proxy().bytesPassed(linkName(kind, i), direction));
    };
    return {usage.CpuS,
            usage.ResidentMb,
            peers("way=\"in\""),
            peers("way=\"out\""),
            passed("log", Direction::ToClient),
            passed("log", Direction::ToTarget),
            passed("vms", Direction::ToClient)};
  }

  std::vector<Cost> costs() {
    std::vector<Cost> all;
    for (int i = First; i <= Daemons; ++i)
      all.push_back(costOf(i));
    return all;
  }

  std::set<std::string> holders() const {
    std::set<std::string> names;
    Json status = All.status(First);
    for (const Json &it : status["leases"])
      names.insert(it["holder"].get<std::string>());
    return names;
  }

  /// Appends and reads that the log has answered, bytes of engines' reports.
  LogUse logUse() {
    Json log = All.control("log", Json::object());
    LogUse use{log["next"].get<double>(), log["reads"].get<double>(), 0};
    for (const Json &it : All.vms()) {
      auto name = it["name"].get<std::string>();
      use.EngineBytes += static_cast<double>(
          All.proxy().bytesPassed(name, Direction::ToClient) +
          All.proxy().bytesPassed(name, Direction::ToTarget));
    }
    return use;
  }

  void edit() {
    std::string model = "new-" + std::to_string(++Edits);
    auto result = All.command({"table", "edit", "model", model, "teams=kitchen",
                               "weights=store/" + model, "memory_mb=1000",
                               "kv_cache_mb=100", "max_replicas=1"});
    if (result.ExitCode != 0)
      throw std::runtime_error("the edit failed: " + result.Output);
  }

  void phase(const char *name, bool edits, Figures &figures) {
    std::vector<Cost> before = costs();
    LogUse first = logUse();
    auto begin = steady_clock::now();
    auto end = begin + std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    for (auto next = begin; next < end; next += EditPeriod) {
      std::this_thread::sleep_until(next);
      if (edits)
        edit();
    }
    std::this_thread::sleep_until(end);
    std::vector<Cost> after = costs();
    double seconds =
        std::chrono::duration<double>(steady_clock::now() - begin).count();
    LogUse last = logUse();
    LogUse use{(last.Appends - first.Appends) / seconds,
               (last.Reads - first.Reads) / seconds,
               (last.EngineBytes - first.EngineBytes) / seconds};
    std::set<std::string> duty = holders();
    Row plain;
    Row holding;
    for (size_t i = 0; i < before.size(); ++i) {
      bool holds = duty.count("d" + std::to_string(i + First)) > 0;
      (holds ? holding : plain).add(rate(before[i], after[i], seconds));
    }
    print(name, "no duty", plain, use, &figures[name]);
    print(name, "holders", holding, use, nullptr);
  }

  void print(const char *phase, const char *who, const Row &row,
             const LogUse &use, std::map<std::string, Line> *lines) const {
    double in = row.mean(&Cost::PeersIn) + row.mean(&Cost::LogIn) +
                row.mean(&Cost::VmsIn);
    double out = row.mean(&Cost::PeersOut) + row.mean(&Cost::LogOut);
    double cpu = 100 * row.mean(&Cost::Cpu);
    auto kb = [&](double Cost::*member) {
      return row.mean(member) / BytesPerKb;
    };
    std::cout << std::fixed << std::setprecision(2) << std::setw(7) << Daemons
              << "  " << std::left << std::setw(10) << phase << std::setw(9)
              << who << std::right << std::setw(8) << cpu << std::setw(8)
              << 100 * row.Worst.Cpu << std::setw(8)
              << row.mean(&Cost::ResidentMb) << std::setw(8)
              << kb(&Cost::PeersIn) << std::setw(8) << kb(&Cost::PeersOut)
              << std::setw(8) << kb(&Cost::LogIn) << std::setw(8)
              << kb(&Cost::LogOut) << std::setw(8) << kb(&Cost::VmsIn)
              << std::setw(8) << in / BytesPerKb << std::setw(8)
              << out / BytesPerKb << std::setw(9) << use.Appends << std::setw(9)
              << use.Reads << std::setw(9) << use.EngineBytes / BytesPerKb
              << std::endl;
    if (!lines)
      return;
    (*lines)["cpu %"].Points.emplace_back(Daemons, cpu);
    (*lines)["resident MB"].Points.emplace_back(Daemons,
                                                row.mean(&Cost::ResidentMb));
    (*lines)["KB/s in"].Points.emplace_back(Daemons, in / BytesPerKb);
    (*lines)["KB/s out"].Points.emplace_back(Daemons, out / BytesPerKb);
  }

  int Daemons;
  Cluster All;
  int Edits = 0;
};

void printSlopes(const Figures &figures) {
  std::cout << "reckoned at " << TargetDaemons
            << " daemons, line through the rows without a duty; limits "
            << CpuLimitPercent << "% , " << MemoryLimitMb << " MB, "
            << TrafficLimitKb << " KB/s\n";
  for (const auto &[phase, lines] : figures)
    for (const auto &[what, line] : lines)
      std::cout << "  " << std::left << std::setw(10) << phase << std::setw(12)
                << what << std::right << std::setw(9) << line.at(TargetDaemons)
                << "  slope " << std::setprecision(4) << line.at(1) - line.at(0)
                << std::setprecision(2) << '\n';
}

} // namespace

int main(int argc, char **argv) {
  absl::ParseCommandLine(argc, argv);
  std::cout << "mean of a daemon; KB/s by way; edits: one a second\n"
            << "daemons  phase     who       cpu %   worst  res MB peers in "
               "    out  log in     out  vms in      in     out appends/s  "
               "reads/s engines KB/s"
            << std::endl;
  Figures figures;
  for (const std::string &it : absl::GetFlag(FLAGS_daemons)) {
    int daemons = std::min(std::stoi(it), MaxDaemons);
    Run(daemons, absl::GetFlag(FLAGS_engines), absl::GetFlag(FLAGS_seed))
        .measure(figures);
  }
  printSlopes(figures);
  return 0;
}
