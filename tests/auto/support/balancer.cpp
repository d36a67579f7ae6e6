#include "support/balancer.h"

#include <stdexcept>

namespace Support {

namespace {
constexpr int UnhealthyThreshold = 2;
} // namespace

Balancer::Balancer(const Cluster &cluster, int daemons)
    : TestCluster(cluster), FailedChecks(static_cast<size_t>(daemons), 0),
      InFlight(static_cast<size_t>(daemons), 0) {
  HealthChecks.start(Interval, [this] { checkHealth(); });
}

void Balancer::checkHealth() {
  for (size_t i = 0; i < FailedChecks.size(); ++i) {
    int daemon = static_cast<int>(i);
    bool healthy =
        TestCluster.send(daemon, "GET", "/readyz", "", {}).Status == 200;
    std::lock_guard lock(Mutex);
    FailedChecks[i] = healthy ? 0 : FailedChecks[i] + 1;
    if (healthy)
      InRotation.insert(daemon);
    else if (FailedChecks[i] >= UnhealthyThreshold)
      InRotation.erase(daemon);
  }
}

int Balancer::pick() {
  int daemon = -1;
  bool found = eventually([&] {
    std::lock_guard lock(Mutex);
    if (InRotation.empty())
      return false;
    auto next = InRotation.upper_bound(LastPicked);
    daemon = LastPicked =
        next == InRotation.end() ? *InRotation.begin() : *next;
    ++InFlight[static_cast<size_t>(daemon)];
    return true;
  });
  if (!found)
    throw std::runtime_error("no daemon became ready for the load balancer");
  return daemon;
}

void Balancer::finish(int daemon) {
  std::lock_guard lock(Mutex);
  --InFlight[static_cast<size_t>(daemon)];
}

int Balancer::inFlight(int daemon) const {
  std::lock_guard lock(Mutex);
  return InFlight[static_cast<size_t>(daemon)];
}

bool Balancer::isInRotation(int daemon) const {
  std::lock_guard lock(Mutex);
  return InRotation.count(daemon) > 0;
}

} // namespace Support
