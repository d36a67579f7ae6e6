#include "gossipworld/gossipworld.h"
#include "peers/peers.h"
#include "peers/peersconstants.h"

#include <atomic>
#include <cstdio>
#include <sstream>
#include <sys/resource.h>
#include <thread>

namespace {

using Utils::Milliseconds;

constexpr Milliseconds MeasureTime(8000);
constexpr Milliseconds ConvergeLimit(40'000);
constexpr Milliseconds SimulatedLimit(120'000);
constexpr Milliseconds SimulatedSettle(30'000);
constexpr Milliseconds SimulatedTime(30'000);
constexpr char Secret[] = "a secret for the gossip benchmark";

double cpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  auto seconds = [](const timeval &it) {
    return static_cast<double>(it.tv_sec) +
           static_cast<double>(it.tv_usec) * 1e-6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// Value of the metric line that begins so; 0 when there is none.
double metric(const Metrics::Registry &registry, const std::string &line) {
  std::istringstream text(registry.text());
  std::string it;
  while (std::getline(text, it))
    if (it.compare(0, line.size(), line) == 0)
      return std::strtod(it.c_str() + it.rfind(' '), nullptr);
  return 0;
}

/// Daemons' nodes in this process, over loopback, each with a port of its own.
class Fleet {
public:
  explicit Fleet(size_t n) {
    for (size_t i = 0; i < n; ++i)
      add(i);
  }
  ~Fleet() {
    for (auto &it : Nodes)
      it->stop();
  }

  bool converge() {
    auto end = std::chrono::steady_clock::now() + ConvergeLimit;
    while (std::chrono::steady_clock::now() < end) {
      bool all = true;
      for (auto &it : Nodes) {
        bool full = it->members().size() + 1 == Nodes.size();
        if (!full)
          it->exchangeMembers(std::chrono::steady_clock::now() +
                              Milliseconds(500));
        all = all && full;
      }
      if (all)
        return true;
      std::this_thread::sleep_for(Milliseconds(100));
    }
    return false;
  }

  /// Runs for the measuring time with the exchanges that fall into it.
  void run() {
    size_t exchanges =
        Nodes.size() * static_cast<size_t>(MeasureTime.count()) /
        static_cast<size_t>(Peers::Constants::ExchangePeriod.count());
    auto begin = std::chrono::steady_clock::now();
    for (size_t i = 0; i < exchanges; ++i) {
      std::this_thread::sleep_until(begin + MeasureTime * i / exchanges);
      Nodes[i]->exchangeMembers(std::chrono::steady_clock::now() +
                                Milliseconds(1000));
    }
    std::this_thread::sleep_until(begin + MeasureTime);
  }

  double total(const std::string &line) const {
    double sum = 0;
    for (const auto &it : Registries)
      sum += metric(*it, line);
    return sum;
  }

  std::atomic<bool> Outage = false;
  std::vector<std::unique_ptr<Peers::Node>> Nodes;

private:
  void add(size_t i) {
    Registries.push_back(std::make_unique<Metrics::Registry>());
    Peers::NodeOptions options;
    options.Name = "daemon-" + std::to_string(1000 + i);
    options.FailureDomain = "domain-" + std::to_string(i % 5);
    options.Listen = {"127.0.0.1", 0};
    options.ClusterSecret = Secret;
    if (i > 0)
      options.Seeds = {{"127.0.0.1", Nodes.front()->port()}};
    options.Report = [this](Utils::TimePoint now) {
      Peers::LogReport report;
      report.Applied = 1;
      if (Outage)
        report.LostSince = now;
      else
        report.Newest = Peers::LogReading{now, 1};
      return report;
    };
    Nodes.push_back(std::make_unique<Peers::Node>(options, *Registries.back(),
                                                  Utils::Clock()));
    if (!Nodes.back()->start())
      std::fprintf(stderr, "node %zu did not start\n", i);
  }

  std::vector<std::unique_ptr<Metrics::Registry>> Registries;
};

void measure(Fleet &fleet, const char *phase) {
  const char *lines[] = {
      "hickory_peer_bytes_total{transport=\"udp\",way=\"out\"}",
      "hickory_peer_bytes_total{transport=\"udp\",way=\"in\"}",
      "hickory_peer_bytes_total{transport=\"tcp\",way=\"out\"}",
      "hickory_peer_bytes_total{transport=\"tcp\",way=\"in\"}",
      "hickory_peer_datagrams_total{way=\"out\"}"};
  double before[std::size(lines)];
  for (size_t i = 0; i < std::size(lines); ++i)
    before[i] = fleet.total(lines[i]);
  double cpu = cpuSeconds();
  fleet.run();
  cpu = cpuSeconds() - cpu;
  double share = static_cast<double>(fleet.Nodes.size()) *
                 std::chrono::duration<double>(MeasureTime).count();
  std::printf("%5zu %-7s", fleet.Nodes.size(), phase);
  for (size_t i = 0; i < std::size(lines); ++i)
    std::printf(" %9.1f", (fleet.total(lines[i]) - before[i]) / share);
  std::printf(" %9.3f\n", 100 * cpu / share);
  std::fflush(stdout);
}

/// Bytes and datagrams by the simulated world, whose time is logical, so that
/// the machine's load does not matter.
struct Simulated {
  explicit Simulated(size_t n) : World(n, 1) {
    World.BeforeTick = [this](size_t i) {
      Peers::LogReport report;
      report.Applied = 1;
      if (Outage)
        report.LostSince = World.Now;
      else
        report.Newest = Peers::LogReading{World.Now, 1};
      World.Daemons[i].Machine->setReport(report);
    };
    World.runUntil([&] { return World.allSee(n - 1); }, SimulatedLimit);
  }

  void measure(const char *phase) {
    World.run(SimulatedSettle);
    for (GossipWorld::Daemon &it : World.Daemons)
      it.BytesOut = it.DatagramsOut = it.TcpBytes = 0;
    World.run(SimulatedTime);
    double bytes = 0;
    double tcp = 0;
    double datagrams = 0;
    for (const GossipWorld::Daemon &it : World.Daemons) {
      bytes += static_cast<double>(it.BytesOut);
      tcp += static_cast<double>(it.TcpBytes);
      datagrams += static_cast<double>(it.DatagramsOut);
    }
    double share = static_cast<double>(World.Daemons.size()) *
                   std::chrono::duration<double>(SimulatedTime).count();
    std::printf("%5zu %-7s %9.1f %9.1f %9.1f\n", World.Daemons.size(), phase,
                bytes / share, tcp / share, datagrams / share);
    std::fflush(stdout);
  }

  GossipWorld::World World;
  bool Outage = false;
};

int runSimulated(const std::vector<size_t> &sizes) {
  std::printf("simulated, per daemon and second, out\n%5s %-7s %9s %9s %9s\n",
              "nodes", "phase", "udp B", "tcp B", "datagrams");
  for (size_t n : sizes) {
    Simulated fleet(n);
    fleet.measure("normal");
    fleet.Outage = true;
    fleet.measure("outage");
  }
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  bool isSimulated = argc > 1 && std::string_view(argv[1]) == "simulated";
  std::vector<size_t> sizes;
  for (int i = isSimulated ? 2 : 1; i < argc; ++i)
    sizes.push_back(std::strtoul(argv[i], nullptr, 10));
  if (sizes.empty())
    sizes = {8, 16, 32, 64};
  if (isSimulated)
    return runSimulated(sizes);
  std::printf("per daemon and second; nodes in one process over loopback\n"
              "%5s %-7s %9s %9s %9s %9s %9s %9s\n",
              "nodes", "phase", "udp out B", "udp in B", "tcp out B",
              "tcp in B", "datagrams", "core %");
  for (size_t n : sizes) {
    Fleet fleet(n);
    if (!fleet.converge()) {
      std::printf("%5zu did not converge\n", n);
      continue;
    }
    measure(fleet, "normal");
    fleet.Outage = true;
    measure(fleet, "outage");
  }
  return 0;
}
