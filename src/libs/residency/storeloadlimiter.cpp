#include "residency/storeloadlimiter.h"

#include <algorithm>
#include <cmath>

namespace Residency {

namespace {

/// Ratio of the duration of a load to that of a load on its own above which
/// loads slow each other down. The delay until an end is noticed accounts for
/// smaller ratios.
constexpr double SlowdownThreshold = 1.25;
/// Increase of the concurrency limit after a load that was not slowed down.
constexpr double Growth = 0.5;
/// How long an order counts that no engine has accepted.
constexpr Milliseconds OrderLifetime{2000};

} // namespace

void StoreLoadLimiter::setLimit(double perSecond, Milliseconds window) {
  PerSecond = perSecond;
  Window = window;
}

uint32_t StoreLoadLimiter::available(TimePoint now) const {
  auto started =
      std::count_if(StartTimes.begin(), StartTimes.end(),
                    [&](TimePoint at) { return now - at <= Window; });
  double inWindow = PerSecond * std::chrono::duration<double>(Window).count() -
                    double(started);
  auto inFlight =
      std::count_if(InFlight.begin(), InFlight.end(), [&](const auto &it) {
        return it.second.Started || now < it.second.StartedAt + OrderLifetime;
      });
  double free = std::floor(ConcurrencyLimit) - double(inFlight);
  return uint32_t(std::max(0.0, std::min(inWindow, free)));
}

void StoreLoadLimiter::noteOrdered(const std::string &replica,
                                   Milliseconds expected, TimePoint now) {
  StartTimes.push_back(now);
  while (!StartTimes.empty() && now - StartTimes.front() > Window)
    StartTimes.pop_front();
  InFlight[replica] = {expected, now, false, uint32_t(InFlight.size())};
}

void StoreLoadLimiter::noteStarted(const std::string &replica, TimePoint now) {
  if (auto it = InFlight.find(replica); it != InFlight.end()) {
    it->second.Started = true;
    it->second.StartedAt = now;
  }
}

void StoreLoadLimiter::noteFinished(const std::string &replica, TimePoint now) {
  auto it = InFlight.find(replica);
  if (it == InFlight.end())
    return;
  Load load = it->second;
  double concurrentLoads =
      double(std::max<size_t>(load.ConcurrentLoads, InFlight.size()));
  InFlight.erase(it);
  if (!load.Started || now < load.StartedAt + load.Expected / 2)
    return; // The order was dropped, or the engine had a cached copy.
  double slowdown = std::chrono::duration<double>(now - load.StartedAt) /
                    std::chrono::duration<double>(load.Expected);
  if (slowdown > SlowdownThreshold) {
    SlowdownSeen = true;
    ConcurrencyLimit =
        std::max(1.0, std::min(ConcurrencyLimit, concurrentLoads / slowdown));
    return;
  }
  // The limit grows by half with every round of loads until the first slowdown,
  // and by Growth per round after it.
  double growth = SlowdownSeen ? Growth / ConcurrencyLimit : Growth;
  ConcurrencyLimit =
      std::min(ConcurrencyLimit + growth, std::max(1.0, std::ceil(PerSecond)));
}

std::vector<std::string> StoreLoadLimiter::overdue(TimePoint now) const {
  std::vector<std::string> out;
  for (const auto &[replica, load] : InFlight)
    if (load.Started && now >= load.StartedAt + load.Expected)
      out.push_back(replica);
  return out;
}

} // namespace Residency
