#include "gateway/call.h"

#include "utils/utils.h"

namespace Gateway {

namespace {

/// An answer that breaks off within this time of its head counts as not begun:
/// the endpoint's crash may follow its first bytes.
constexpr std::chrono::milliseconds MinAnswerTime{100};

} // namespace

bool Call::isAnswering() const {
  return AnsweredAt && Utils::BootClock::now() >= *AnsweredAt + MinAnswerTime;
}

void Call::recordAnswer() {
  State.Coordination.member().recordAnswer(SharedParts, *AnsweredAt);
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

void Call::onBrokenOff() {
  // Without shared parts, the crash says nothing about other calls.
  if (SharedParts.empty() || isAnswering())
    return;
  const Fleet::Endpoint *endpoint =
      State.FleetView.endpoints().find(EndpointId);
  if (endpoint)
    State.Crashes.onBrokenOff(EndpointId, endpoint->Report.Address,
                              {SharedParts, SentAt});
}

} // namespace Gateway
