#include "gateway/endpointlimits.h"

#include <algorithm>

namespace Gateway {

namespace {

/// A limit holds for this time after the last answer that named it. Answers
/// without it end it sooner; an endpoint that gets no calls gives none.
constexpr std::chrono::seconds LimitLifetime{60};
/// An answer without a limit ends one only this long after it was last named:
/// answers on several connections may overtake each other.
constexpr std::chrono::milliseconds MinSilence{500};
/// Most endpoints with a limit; the longest unnamed ones are forgotten first.
constexpr size_t MaxLimits = 1024;

} // namespace

FleetLink::EndpointLimit toLink(const EndpointLimit &limit, TimePoint now) {
  return {
      limit.Endpoint, limit.Rate,
      uint32_t(std::max<int64_t>(0, Utils::msBetween(limit.StatedAt, now)))};
}

EndpointLimit fromLink(const FleetLink::EndpointLimit &limit, TimePoint now) {
  return {limit.Endpoint, limit.Rate,
          now - std::chrono::milliseconds(limit.AgeMs)};
}

bool EndpointLimits::noteLimit(uint32_t endpoint, double rate, TimePoint now) {
  return merge({endpoint, rate, now});
}

bool EndpointLimits::noteNoLimit(uint32_t endpoint, TimePoint now) {
  auto it = Limits.find(endpoint);
  if (it == Limits.end() || it->second.Rate == 0 ||
      now < it->second.StatedAt + MinSilence)
    return false;
  return merge({endpoint, 0, now});
}

bool EndpointLimits::merge(const EndpointLimit &limit) {
  auto it = Limits.find(limit.Endpoint);
  if (it == Limits.end()) {
    if (Limits.size() >= MaxLimits)
      Limits.erase(std::min_element(
          Limits.begin(), Limits.end(), [](const auto &a, const auto &b) {
            return a.second.StatedAt < b.second.StatedAt;
          }));
    Limits[limit.Endpoint] = limit;
    return limit.Rate > 0;
  }
  if (limit.StatedAt <= it->second.StatedAt)
    return false;
  bool differs = limit.Rate != it->second.Rate;
  it->second = limit;
  return differs;
}

std::vector<EndpointLimit> EndpointLimits::statements(TimePoint now) const {
  std::vector<EndpointLimit> out;
  for (const auto &[endpoint, limit] : Limits)
    if (isCurrent(limit, now))
      out.push_back(limit);
  return out;
}

std::vector<EndpointLimit> EndpointLimits::all() const {
  std::vector<EndpointLimit> out;
  for (const auto &[endpoint, limit] : Limits)
    out.push_back(limit);
  return out;
}

double EndpointLimits::rateOf(uint32_t endpoint, TimePoint now) const {
  auto it = Limits.find(endpoint);
  return it != Limits.end() && isCurrent(it->second, now) ? it->second.Rate : 0;
}

bool EndpointLimits::isCurrent(const EndpointLimit &limit,
                               TimePoint now) const {
  return now < std::max(limit.StatedAt, ConfirmedAt) + LimitLifetime;
}

} // namespace Gateway
