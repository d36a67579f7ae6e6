#include "fleet/evacuations.h"

#include <algorithm>

namespace Fleet {

bool Evacuations::request(const std::string &domain,
                          std::optional<TimePoint> absentAt, TimePoint now) {
  auto [it, added] = Domains.try_emplace(domain);
  if (!added)
    return false;
  Evacuation &evacuation = it->second;
  evacuation.ReceivedAt = evacuation.InForceAt = now;
  evacuation.AgeKnown = absentAt.has_value();
  if (absentAt && Bound)
    evacuation.InForceAt = std::max(now, *absentAt + *Bound - EvacuationMargin);
  return true;
}

bool Evacuations::withdraw(const std::string &domain) {
  return Domains.erase(domain) > 0;
}

std::vector<std::string>
Evacuations::missingFrom(const std::set<std::string> &requested) const {
  std::vector<std::string> out;
  for (const auto &[domain, evacuation] : Domains)
    if (requested.count(domain) == 0)
      out.push_back(domain);
  return out;
}

bool Evacuations::isEvacuated(std::string_view domain) const {
  return Domains.find(domain) != Domains.end();
}

bool Evacuations::isClosed(std::string_view domain, TimePoint now) const {
  auto it = Domains.find(domain);
  return it != Domains.end() && now >= it->second.InForceAt;
}

bool Evacuations::isInGracePeriod(std::string_view domain,
                                  TimePoint now) const {
  auto it = Domains.find(domain);
  return it != Domains.end() && now < it->second.InForceAt;
}

std::vector<std::string> Evacuations::takeInForce(TimePoint now) {
  std::vector<std::string> out;
  for (auto &[domain, evacuation] : Domains)
    if (now >= evacuation.InForceAt && !evacuation.Reported) {
      evacuation.Reported = true;
      out.push_back(domain);
    }
  return out;
}

std::optional<TimePoint> Evacuations::nextInForceAt() const {
  std::optional<TimePoint> out;
  for (const auto &[domain, evacuation] : Domains)
    if (!evacuation.Reported)
      out = std::min(out.value_or(evacuation.InForceAt), evacuation.InForceAt);
  return out;
}

} // namespace Fleet
