#include "residency/storeloadlimiter.h"

#include <algorithm>
#include <cmath>

namespace Residency {

namespace {

/// Time against that of a load alone from which loads slow each other down;
/// less is the time in which an end is noticed.
constexpr double SlowedDown = 1.25;
/// Loads at once that are tried more after one that was not slowed down.
constexpr double Growth = 0.5;
/// How long an order that no engine has taken counts.
constexpr Milliseconds OrderLifetime{2000};

} // namespace

void StorePace::setLimit(double perSecond, Milliseconds window) {
  PerSecond = perSecond;
  Window = window;
}

uint32_t StorePace::left(TimePoint now) const {
  auto begun = std::count_if(Begun.begin(), Begun.end(),
                             [&](TimePoint at) { return now - at <= Window; });
  double inWindow =
      PerSecond * std::chrono::duration<double>(Window).count() - double(begun);
  auto underWay =
      std::count_if(UnderWay.begin(), UnderWay.end(), [&](const auto &it) {
        return it.second.Taken || now < it.second.StartedAt + OrderLifetime;
      });
  double free = std::floor(AtOnce) - double(underWay);
  return uint32_t(std::max(0.0, std::min(inWindow, free)));
}

void StorePace::begin(const std::string &place, Milliseconds expected,
                      TimePoint now) {
  Begun.push_back(now);
  while (!Begun.empty() && now - Begun.front() > Window)
    Begun.pop_front();
  UnderWay[place] = {expected, now, false, uint32_t(UnderWay.size())};
}

void StorePace::taken(const std::string &place, TimePoint now) {
  if (auto it = UnderWay.find(place); it != UnderWay.end()) {
    it->second.Taken = true;
    it->second.StartedAt = now;
  }
}

void StorePace::end(const std::string &place, TimePoint now) {
  auto it = UnderWay.find(place);
  if (it == UnderWay.end())
    return;
  Load load = it->second;
  double among = double(std::max<size_t>(load.Among, UnderWay.size()));
  UnderWay.erase(it);
  if (!load.Taken || now < load.StartedAt + load.Expected / 2)
    return; // It was not carried out, or the engine had a copy.
  double took = std::chrono::duration<double>(now - load.StartedAt) /
                std::chrono::duration<double>(load.Expected);
  if (took > SlowedDown) {
    Slowed = true;
    AtOnce = std::max(1.0, std::min(AtOnce, among / took));
    return;
  }
  // Half as many again with every round of loads, until that was too many.
  double growth = Slowed ? Growth / AtOnce : Growth;
  AtOnce = std::min(AtOnce + growth, std::max(1.0, std::ceil(PerSecond)));
}

std::vector<std::string> StorePace::overdue(TimePoint now) const {
  std::vector<std::string> out;
  for (const auto &[place, load] : UnderWay)
    if (load.Taken && now >= load.StartedAt + load.Expected)
      out.push_back(place);
  return out;
}

} // namespace Residency
