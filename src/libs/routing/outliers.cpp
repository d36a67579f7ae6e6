#include "routing/outliers.h"

#include <algorithm>

namespace Routing {

namespace {

constexpr uint32_t FailuresToEject = 5;
constexpr Utils::Milliseconds BaseEjection(5000);
constexpr uint32_t MaxEjectionFactor = 12;
/// One in this many candidates at most is ejected.
constexpr size_t EjectedShare = 2;

} // namespace

void Outliers::record(const std::string &endpoint, bool failed,
                      Utils::TimePoint now) {
  std::lock_guard lock(Mutex);
  if (!failed) {
    Healths.erase(endpoint);
    return;
  }
  Health &health = Healths[endpoint];
  health.LastFailure = now;
  if (++health.FailuresInRow < FailuresToEject)
    return;
  health.FailuresInRow = 0;
  health.Ejections = std::min(health.Ejections + 1, MaxEjectionFactor);
  health.EjectedUntil = now + BaseEjection * health.Ejections;
}

std::optional<Utils::TimePoint>
Outliers::lastFailure(const std::string &endpoint) const {
  std::lock_guard lock(Mutex);
  auto it = Healths.find(endpoint);
  if (it == Healths.end())
    return std::nullopt;
  return it->second.LastFailure;
}

std::vector<std::string> Outliers::failedSince(Utils::TimePoint at) const {
  std::lock_guard lock(Mutex);
  std::vector<std::string> names;
  for (const auto &[name, health] : Healths)
    if (health.LastFailure > at)
      names.push_back(name);
  return names;
}

std::set<std::string>
Outliers::ejected(const std::vector<std::string> &endpoints,
                  Utils::TimePoint now) const {
  std::vector<std::pair<Utils::TimePoint, std::string>> out;
  {
    std::lock_guard lock(Mutex);
    if (Healths.empty())
      return {};
    for (const std::string &endpoint : endpoints)
      if (auto it = Healths.find(endpoint);
          it != Healths.end() && it->second.EjectedUntil > now)
        out.emplace_back(it->second.EjectedUntil, endpoint);
  }
  std::sort(out.rbegin(), out.rend());
  out.resize(std::min(out.size(), endpoints.size() / EjectedShare));
  std::set<std::string> names;
  for (auto &[until, endpoint] : out)
    names.insert(std::move(endpoint));
  return names;
}

} // namespace Routing
