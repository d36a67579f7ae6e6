#include "faultproxy/faultproxy.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

ABSL_FLAG(std::string, schedule, "",
          "fault schedule file (JSON with comments)");
ABSL_FLAG(int, run_ms, 60000, "run time of the proxy in milliseconds");

namespace {

FaultProxy::Schedule loadSchedule() {
  std::ifstream in(absl::GetFlag(FLAGS_schedule));
  std::ostringstream text;
  text << in.rdbuf();
  auto schedule = FaultProxy::parseSchedule(text.str());
  if (schedule)
    return *schedule;
  std::cerr << absl::GetFlag(FLAGS_schedule) << ": " << schedule.error().What
            << '\n';
  std::exit(2);
}

} // namespace

int main(int argc, char **argv) {
  absl::ParseCommandLine(argc, argv);
  FaultProxy::Schedule schedule = loadSchedule();
  FaultProxy::Proxy proxy(schedule.Seed);
  for (const FaultProxy::LinkSpec &link : schedule.Links)
    std::cout << link.Name << ' '
              << proxy.addLink(link.Name, link.Kind, link.TargetPort)
              << std::endl;
  std::sort(schedule.Steps.begin(), schedule.Steps.end(),
            [](const auto &a, const auto &b) { return a.AtMs < b.AtMs; });
  auto begin = std::chrono::steady_clock::now();
  for (const FaultProxy::ScheduledFault &step : schedule.Steps) {
    std::this_thread::sleep_until(begin + Utils::Milliseconds(step.AtMs));
    proxy.setFaults(step.Link, step.FaultDirection, step.NewFaults);
    if (step.Cut)
      proxy.cut(step.Link);
    std::cout << step.AtMs << " ms " << step.Link << std::endl;
  }
  std::this_thread::sleep_until(
      begin + Utils::Milliseconds(absl::GetFlag(FLAGS_run_ms)));
  return 0;
}
