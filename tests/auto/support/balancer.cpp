#include "support/balancer.h"

#include <stdexcept>

namespace Support {

namespace {
constexpr int BadAnswersToLeave = 2;
} // namespace

Balancer::Balancer(const Cluster &cluster, int daemons)
    : All(cluster), BadAnswers(static_cast<size_t>(daemons), 0),
      UnderWay(static_cast<size_t>(daemons), 0) {
  Rounds.start(Interval, [this] { round(); });
}

void Balancer::round() {
  for (size_t i = 0; i < BadAnswers.size(); ++i) {
    int daemon = static_cast<int>(i);
    bool good = All.send(daemon, "GET", "/readyz", "", {}).Status == 200;
    std::lock_guard lock(Mutex);
    BadAnswers[i] = good ? 0 : BadAnswers[i] + 1;
    if (good)
      In.insert(daemon);
    else if (BadAnswers[i] >= BadAnswersToLeave)
      In.erase(daemon);
  }
}

int Balancer::pick() {
  int daemon = -1;
  bool found = eventually([&] {
    std::lock_guard lock(Mutex);
    if (In.empty())
      return false;
    auto next = In.upper_bound(Last);
    daemon = Last = next == In.end() ? *In.begin() : *next;
    ++UnderWay[static_cast<size_t>(daemon)];
    return true;
  });
  if (!found)
    throw std::runtime_error("the balancer finds no daemon ready");
  return daemon;
}

void Balancer::finish(int daemon) {
  std::lock_guard lock(Mutex);
  --UnderWay[static_cast<size_t>(daemon)];
}

int Balancer::underWay(int daemon) const {
  std::lock_guard lock(Mutex);
  return UnderWay[static_cast<size_t>(daemon)];
}

bool Balancer::sendsTo(int daemon) const {
  std::lock_guard lock(Mutex);
  return In.count(daemon) > 0;
}

} // namespace Support
