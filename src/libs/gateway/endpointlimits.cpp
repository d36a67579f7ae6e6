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
/// Most endpoints with a limit for their cold time, warm ones included; those
/// that were cold longest ago are forgotten first.
constexpr size_t MaxColdEndpoints = 4096;

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

Quota::Limit coldLimitOf(const Fleet::Endpoint &endpoint,
                         const Fleet::Configuration *config,
                         const GatewaySettings &settings) {
  const Fleet::Service *service =
      config ? config->findService(endpoint.Report.Service) : nullptr;
  if (!service)
    return {};
  double rate = service->ColdPerSecond;
  return Quota::coldLimit(rate,
                          rate * settings.ColdOvershoot + settings.ColdSlack);
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

std::vector<uint32_t> EndpointLimits::endpoints() const {
  std::vector<uint32_t> out;
  for (const auto &[endpoint, limit] : Limits)
    out.push_back(endpoint);
  for (const auto &[endpoint, it] : ColdEndpoints)
    if (Limits.count(endpoint) == 0)
      out.push_back(endpoint);
  return out;
}

double EndpointLimits::rateOf(uint32_t endpoint, TimePoint now) const {
  return limitOf(endpoint, now).Rate;
}

bool EndpointLimits::setCold(uint32_t endpoint, const Quota::Limit &limit,
                             TimePoint until, TimePoint now) {
  bool wasCold = isCold(endpoint, now);
  if (limit.Rate <= 0)
    return ColdEndpoints.erase(endpoint) > 0 && wasCold;
  if (ColdEndpoints.count(endpoint) == 0 &&
      ColdEndpoints.size() >= MaxColdEndpoints)
    ColdEndpoints.erase(
        std::min_element(ColdEndpoints.begin(), ColdEndpoints.end(),
                         [](const auto &a, const auto &b) {
                           return a.second.Until < b.second.Until;
                         }));
  ColdEndpoint &it = ColdEndpoints[endpoint];
  bool differs = wasCold && it.Limit != limit;
  it = {limit, until, now < until};
  if (it.Pending)
    NextWarmAt = std::min(NextWarmAt, until);
  return differs || wasCold != (now < until);
}

bool EndpointLimits::isCold(uint32_t endpoint, TimePoint now) const {
  auto it = ColdEndpoints.find(endpoint);
  return it != ColdEndpoints.end() && now < it->second.Until;
}

size_t EndpointLimits::coldCount(TimePoint now) const {
  return size_t(
      std::count_if(ColdEndpoints.begin(), ColdEndpoints.end(),
                    [&](const auto &it) { return now < it.second.Until; }));
}

std::vector<uint32_t> EndpointLimits::takeWarmed(TimePoint now) {
  std::vector<uint32_t> out;
  if (now < NextWarmAt)
    return out;
  NextWarmAt = TimePoint::max();
  for (auto &[endpoint, it] : ColdEndpoints) {
    if (!it.Pending)
      continue;
    if (now < it.Until) {
      NextWarmAt = std::min(NextWarmAt, it.Until);
      continue;
    }
    it.Pending = false;
    out.push_back(endpoint);
  }
  return out;
}

std::optional<TimePoint> EndpointLimits::endOfLimit(uint32_t endpoint,
                                                    TimePoint now) const {
  if (!isCold(endpoint, now) || namedRate(endpoint, now) > 0)
    return std::nullopt;
  return ColdEndpoints.find(endpoint)->second.Until;
}

Quota::Limit EndpointLimits::limitOf(uint32_t endpoint, TimePoint now) const {
  Quota::Limit named = Quota::endpointLimit(namedRate(endpoint, now));
  if (!isCold(endpoint, now))
    return named;
  return Quota::lowerLimit(named, ColdEndpoints.find(endpoint)->second.Limit);
}

Quota::Limit EndpointLimits::grantLimitOf(uint32_t endpoint,
                                          TimePoint now) const {
  Quota::Limit limit = limitOf(endpoint, now);
  auto cold = ColdEndpoints.find(endpoint);
  return limit.Rate > 0 || cold == ColdEndpoints.end() ? limit
                                                       : cold->second.Limit;
}

double EndpointLimits::namedRate(uint32_t endpoint, TimePoint now) const {
  auto it = Limits.find(endpoint);
  return it != Limits.end() && isCurrent(it->second, now) ? it->second.Rate : 0;
}

bool EndpointLimits::isCurrent(const EndpointLimit &limit,
                               TimePoint now) const {
  return now < std::max(limit.StatedAt, ConfirmedAt) + LimitLifetime;
}

} // namespace Gateway
