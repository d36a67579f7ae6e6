#include "gateway/call.h"

#include "utils/digest.h"
#include "utils/utils.h"

namespace Gateway {

namespace {

/// An answer that breaks off within this time of its head counts as not begun:
/// the endpoint's crash may follow its first bytes.
constexpr std::chrono::milliseconds MinAnswerTime{100};

} // namespace

void Call::identifyRequest() {
  const std::string *host = Request.Headers.find("Host");
  std::string text = (host ? *host : std::string()) + '\n' + Request.Target +
                     '\n' + (Team ? Team->Name : std::string());
  CrashParts.push_back(Quarantine::requestPart(
      Utils::fastHash(text, Utils::fastHash(Request.Body))));
}

bool Call::isAnswering(const Attempt &attempt) {
  return attempt.AnsweredAt &&
         Utils::BootClock::now() >= *attempt.AnsweredAt + MinAnswerTime;
}

void Call::recordAnswer(const Attempt &attempt) {
  State.Coordination.member().recordAnswer(CrashParts, *attempt.AnsweredAt);
}

bool Call::isQuarantined(Utils::TimePoint now) const {
  return State.Coordination.member()
      .quarantinedUntil(CrashParts, now)
      .has_value();
}

bool Call::isSuspectedRequest() const {
  return State.Coordination.member().isSuspected(CrashParts.back(),
                                                 Utils::BootClock::now());
}

bool Call::refuseQuarantined() {
  Utils::TimePoint now = Utils::BootClock::now();
  auto until = State.Coordination.member().quarantinedUntil(CrashParts, now);
  if (!until)
    return false;
  endBetweenSends("part_quarantined",
                  std::chrono::ceil<Utils::Milliseconds>(*until - now));
  return true;
}

void Call::onBrokenOff(Attempt &attempt) {
  if (isAnswering(attempt))
    return;
  attempt.BrokenOffUnanswered = true;
  const Fleet::Endpoint *endpoint =
      State.FleetView.endpoints().find(attempt.EndpointId);
  if (endpoint)
    State.Crashes.onBrokenOff(attempt.EndpointId, endpoint->Report.Address,
                              {CrashParts, attempt.SentAt});
}

} // namespace Gateway
