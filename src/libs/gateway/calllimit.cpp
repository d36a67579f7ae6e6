#include "gateway/call.h"

#include "gateway/gatewayconstants.h"
#include "utils/utils.h"

#include <algorithm>

namespace Gateway {

namespace {

/// Longest time for which an endpoint is not chosen after its limit has
/// rejected a call. Others may leave tokens unused meanwhile.
constexpr std::chrono::milliseconds MaxOverLimitPause{500};

} // namespace

bool Call::sendWithinLimit(const std::string &endpoint) {
  if (!State.Coordination.member().hasLimit(endpoint, PickedAt)) {
    startSending(endpoint);
    return true;
  }
  constexpr double oneCall = 1;
  ReservedEndpoint = endpoint;
  auto decision = requestTokensOf(
      FleetLink::endpointLimitName(FleetLink::hashName(endpoint)), oneCall);
  if (!decision)
    return true;
  ReservedEndpoint.clear();
  if (decision->isAdmitted())
    startSending(endpoint);
  else
    pauseOverLimit(endpoint, *decision);
  return decision->isAdmitted();
}

void Call::onEndpointLimitDecided(const Quota::Decision &decision) {
  std::string id = std::exchange(ReservedEndpoint, {});
  PickedAt = Utils::BootClock::now();
  if (!decision.isAdmitted()) {
    pauseOverLimit(id, decision);
    return dispatch();
  }
  const Fleet::Endpoint *endpoint = State.FleetView.endpoints().find(id);
  if (endpoint && isEligible(*endpoint) && Deadline - PickedAt >= MinTimeToSend)
    return startSending(id);
  State.Coordination.member().refundTokens(
      FleetLink::endpointLimitName(FleetLink::hashName(id)), 1);
  dispatch();
}

/// Chooses the endpoint no more until its limit may allow another call, or
/// ends.
void Call::pauseOverLimit(const std::string &endpoint,
                          const Quota::Decision &decision) {
  Utils::TimePoint retryAt = PickedAt + *decision.RetryAfter;
  if (auto end = State.Coordination.member().endOfLimit(endpoint, PickedAt))
    retryAt = std::min(retryAt, *end);
  State.HealthTracker.setOverLimit(
      endpoint, std::min(retryAt, PickedAt + MaxOverLimitPause), retryAt);
}

} // namespace Gateway
