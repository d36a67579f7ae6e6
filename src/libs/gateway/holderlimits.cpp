#include "gateway/fleetholder.h"

#include "utils/utils.h"

namespace Gateway {

void FleetHolder::mergeEndpointLimit(const EndpointLimit &limit,
                                     Utils::TimePoint now) {
  if (!LimitsOfEndpoints.merge(limit))
    return;
  ++LimitsRevision;
  applyEndpointLimit(limit.Endpoint, now);
  // The gateways learn of it with the answers to their next reports. Many
  // endpoints change their limits at once.
  schedulePlan();
}

void FleetHolder::applyEndpointLimit(uint32_t endpoint, Utils::TimePoint now) {
  Limits.setEndpointLimit(endpoint,
                          LimitsOfEndpoints.grantLimitOf(endpoint, now), now);
}

/// Takes in until when the endpoint is cold. A warm one gets its bucket too:
/// other gateways may know sooner that it is cold.
void FleetHolder::noteColdTime(const Fleet::Endpoint &endpoint) {
  Utils::TimePoint now = Utils::BootClock::now();
  uint32_t key = FleetLink::hashName(endpoint.Report.Id);
  Quota::Limit limit =
      coldLimitOf(endpoint, Ctx.FleetView.configuration().get(), Ctx.Settings);
  bool changed = LimitsOfEndpoints.setCold(key, limit, endpoint.ColdUntil, now);
  if (changed || limit.Rate > 0)
    applyEndpointLimit(key, now);
  if (changed)
    schedulePlan();
}

void FleetHolder::endColdLimits(Utils::TimePoint now) {
  for (uint32_t endpoint : LimitsOfEndpoints.takeWarmed(now)) {
    applyEndpointLimit(endpoint, now);
    schedulePlan();
  }
}

void FleetHolder::noteEndpointLimit(const std::string &endpoint, double rate) {
  Utils::TimePoint now = Utils::BootClock::now();
  mergeEndpointLimit({FleetLink::hashName(endpoint), rate, now}, now);
}

FleetLink::Grant
FleetHolder::handleGrantRequest(const FleetLink::GrantRequest &request) {
  Utils::TimePoint now = Utils::BootClock::now();
  endColdLimits(now);
  Limits.capLevels(request.Levels, now);
  Limits.applyUsage(request.Member, request.Incarnation, request.Sequence,
                    request.Teams, now);
  return {Token, request.Incarnation, request.Sequence,
          Limits.grants(request.Member, request.Teams, now)};
}

} // namespace Gateway
