/// Measures how long a daemon that has nothing takes to become ready before a
/// log that holds a day of history.
#include "benchmarks/dayofhistory.h"
#include "experiments/measuredcluster.h"
#include "experiments/percentile.h"
#include "experiments/processusage.h"
#include "standins/logstandin.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <iomanip>
#include <iostream>

ABSL_FLAG(int, starts, 5, "starts at each size");

namespace {

using std::chrono::steady_clock;

struct Started {
  double Ms = 0;
  Experiments::ProcessUsage Usage;
};

Started startOnce(uint16_t logPort) {
  Support::ClusterOptions options;
  options.Daemons = 1;
  options.Engines = 1;
  options.AdjustSettings = [logPort](FaultProxy::Proxy &, int,
                                     Support::Json &settings) {
    settings["platform"]["log"] = "127.0.0.1:" + std::to_string(logPort);
  };
  Support::Cluster cluster(options);
  auto begin = steady_clock::now();
  cluster.startDaemon(0);
  if (!cluster.waitReady(0))
    throw std::runtime_error("daemon not ready: " + cluster.daemonLog(0));
  std::chrono::duration<double, std::milli> spent = steady_clock::now() - begin;
  return {spent.count(), Experiments::usageOf(cluster.daemon(0).id())};
}

void measure(Benchmarks::Size size) {
  Benchmarks::DayOfHistory day(size);
  std::vector<double> times;
  Started last;
  for (int i = 0; i < absl::GetFlag(FLAGS_starts); ++i) {
    Standins::LogStandin log;
    log.preload(day.Appends);
    last = startOnce(log.start());
    log.stop();
    times.push_back(last.Ms);
  }
  std::sort(times.begin(), times.end());
  std::cout << std::fixed << std::setprecision(0) << size.Models << " models, "
            << size.Adapters << " adapters, " << day.Appends.size()
            << " appends on the log: ready after " << times.front() << " to "
            << times.back() << " ms, median "
            << Experiments::percentile(times, 0.5) << "; "
            << last.Usage.CpuS * 1e3 << " ms of processor time, "
            << last.Usage.ResidentMb << " MB resident" << std::endl;
}

} // namespace

int main(int argc, char **argv) {
  absl::ParseCommandLine(argc, argv);
  for (Benchmarks::Size it : Benchmarks::Sizes)
    measure(it);
  return 0;
}
