#include "gateway/call.h"

#include "utils/utils.h"

namespace Gateway {

namespace {

/// An answer that breaks off within this time of its head counts as not begun:
/// the endpoint's crash may follow its first bytes.
constexpr std::chrono::milliseconds MinAnswerTime{100};

} // namespace

bool Call::isAnswering(const Attempt &attempt) {
  return attempt.AnsweredAt &&
         Utils::BootClock::now() >= *attempt.AnsweredAt + MinAnswerTime;
}

void Call::recordAnswer(const Attempt &attempt) {
  State.Coordination.member().recordAnswer(SharedParts, *attempt.AnsweredAt);
}

bool Call::isQuarantined(Utils::TimePoint now) const {
  return State.Coordination.member()
      .quarantinedUntil(SharedParts, now)
      .has_value();
}

bool Call::refuseQuarantined() {
  Utils::TimePoint now = Utils::BootClock::now();
  auto until = State.Coordination.member().quarantinedUntil(SharedParts, now);
  if (!until)
    return false;
  endBetweenSends("part_quarantined",
                  std::chrono::ceil<Utils::Milliseconds>(*until - now));
  return true;
}

void Call::onBrokenOff(const Attempt &attempt) {
  // Without shared parts, the crash says nothing about other calls.
  if (SharedParts.empty() || isAnswering(attempt))
    return;
  const Fleet::Endpoint *endpoint =
      State.FleetView.endpoints().find(attempt.EndpointId);
  if (endpoint)
    State.Crashes.onBrokenOff(attempt.EndpointId, endpoint->Report.Address,
                              {SharedParts, attempt.SentAt});
}

} // namespace Gateway
