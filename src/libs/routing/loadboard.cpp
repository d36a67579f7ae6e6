#include "routing/loadboard.h"
#include "utils/digest.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Routing {

namespace {

uint32_t shortHash(const std::string &endpoint) {
  return static_cast<uint32_t>(Utils::fastHash(endpoint));
}

/// 1 for a reading of now, falling to 0 for a stale one.
double weightOf(const std::optional<LoadReading> &reading,
                Utils::TimePoint now) {
  if (!reading)
    return 0;
  using Seconds = std::chrono::duration<double>;
  double age = Seconds(now - reading->At) / Seconds(LoadBoard::StaleAfter);
  return std::clamp(1 - age, 0.0, 1.0);
}

double othersAt(const SeenLoad &seen) {
  return seen.Reading->Load > seen.OwnThen ? seen.Reading->Load - seen.OwnThen
                                           : 0;
}

} // namespace

std::vector<uint32_t> loadsOfOthers(const std::vector<SeenLoad> &seen,
                                    Utils::TimePoint now) {
  double sum = 0;
  double weights = 0;
  for (const SeenLoad &it : seen) {
    double weight = weightOf(it.Reading, now);
    if (weight > 0)
      sum += weight * othersAt(it);
    weights += weight;
  }
  double mean = weights > 0 ? sum / weights : 0;
  std::vector<uint32_t> loads;
  loads.reserve(seen.size());
  for (const SeenLoad &it : seen) {
    double weight = weightOf(it.Reading, now);
    double own = weight > 0 ? weight * othersAt(it) : 0;
    loads.push_back(
        static_cast<uint32_t>(std::lround(own + (1 - weight) * mean)));
  }
  return loads;
}

bool isWatcher(const std::string &endpoint, const std::string &self,
               const std::vector<std::string> &others, size_t n) {
  uint64_t seed = Utils::fastHash(endpoint);
  uint64_t own = Utils::fastHash(self, seed);
  size_t before = 0;
  for (const std::string &it : others) {
    uint64_t weight = Utils::fastHash(it, seed);
    before += weight > own || (weight == own && it < self) ? 1 : 0;
    if (before >= n)
      return false;
  }
  return true;
}

void LoadBoard::note(const std::string &endpoint, const LoadReading &reading) {
  std::lock_guard lock(Mutex);
  keep(shortHash(endpoint), reading);
}

void LoadBoard::take(const LoadDigest &digest, Utils::TimePoint askedAt) {
  std::lock_guard lock(Mutex);
  for (const LoadEntry &it : digest)
    keep(it.Endpoint, {it.Load, askedAt - it.Age * AgeUnit});
}

void LoadBoard::keep(uint32_t endpoint, const LoadReading &reading) {
  auto it = Readings.find(endpoint);
  if (it != Readings.end()) {
    if (it->second.At < reading.At)
      it->second = reading;
    return;
  }
  if (Readings.size() >= MaxEntries)
    std::erase_if(Readings, [&](const auto &old) {
      return reading.At - old.second.At > StaleAfter;
    });
  if (Readings.size() < MaxEntries)
    Readings[endpoint] = reading;
}

std::optional<LoadReading>
LoadBoard::reading(const std::string &endpoint) const {
  std::lock_guard lock(Mutex);
  auto it = Readings.find(shortHash(endpoint));
  if (it == Readings.end())
    return std::nullopt;
  return it->second;
}

LoadDigest LoadBoard::digest(Utils::TimePoint now) const {
  constexpr int64_t maxByte = std::numeric_limits<uint8_t>::max();
  std::lock_guard lock(Mutex);
  LoadDigest entries;
  entries.reserve(Readings.size());
  for (const auto &[endpoint, reading] : Readings) {
    auto age = std::chrono::ceil<Utils::Milliseconds>(now - reading.At);
    int64_t units = (std::max(age, Utils::Milliseconds(0)) + AgeUnit -
                     Utils::Milliseconds(1)) /
                    AgeUnit;
    if (age >= StaleAfter || units > maxByte)
      continue;
    auto load = std::min<uint32_t>(reading.Load, maxByte);
    entries.push_back(
        {endpoint, static_cast<uint8_t>(load), static_cast<uint8_t>(units)});
  }
  return entries;
}

} // namespace Routing
