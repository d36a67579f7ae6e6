#include "balance/healthtracker.h"

#include <algorithm>

namespace Balance {

namespace {

/// Consecutive failures after which an endpoint is avoided. One failure in 250
/// calls is normal; two in a row are not.
constexpr uint32_t FailuresToAvoid = 2;
/// Initial avoidance time, longer than the restart of a process. Doubles with
/// each further failure.
constexpr std::chrono::milliseconds MinAvoidance{1000};
constexpr std::chrono::milliseconds MaxAvoidance{8000};
/// Weight of the newest sample in moving averages.
constexpr double NewSampleWeight = 0.2;

/// How long an endpoint is taken to refuse without naming the call after it
/// did.
constexpr std::chrono::seconds UnnamedRefusalMemory{60};

bool isFailure(AttemptResult result) {
  return result == AttemptResult::Failed ||
         result == AttemptResult::ConnectionFailed ||
         result == AttemptResult::TimedOut;
}

std::chrono::milliseconds avoidanceTime(uint32_t failures) {
  uint32_t doublings = std::min(failures - FailuresToAvoid, 3U);
  return std::min(MinAvoidance * (1 << doublings), MaxAvoidance);
}

} // namespace

std::string_view attemptResultName(AttemptResult result) {
  static constexpr std::string_view names[] = {
      "answered", "refused", "failed", "broken", "silent", "withdrawn"};
  return names[static_cast<size_t>(result)];
}

void HealthTracker::onSent(const std::string &id) {
  ++HealthById[id].InFlight;
  RemovedInCoolDown.erase(id);
}

void HealthTracker::onFirstByte(const std::string &id, double firstByteMs) {
  EndpointHealth &health = HealthById[id];
  health.FirstByteMs = health.FirstByteMs == 0
                           ? firstByteMs
                           : health.FirstByteMs * (1 - NewSampleWeight) +
                                 firstByteMs * NewSampleWeight;
}

void HealthTracker::onEnded(const std::string &id, AttemptResult result,
                            TimePoint now) {
  EndpointHealth &health = HealthById[id];
  if (health.InFlight > 0)
    --health.InFlight;
  if (result == AttemptResult::Answered)
    health.ConsecutiveFailures = 0;
  if (!isFailure(result))
    return;
  ++health.ConsecutiveFailures;
  // A failed connection is the endpoint's fault; an error may be caused by the
  // call itself.
  if (result == AttemptResult::ConnectionFailed)
    health.ConsecutiveFailures =
        std::max(health.ConsecutiveFailures, FailuresToAvoid);
  if (health.ConsecutiveFailures >= FailuresToAvoid)
    health.AvoidUntil = now + avoidanceTime(health.ConsecutiveFailures);
}

void HealthTracker::coolDown(const std::string &id, TimePoint until) {
  EndpointHealth &health = HealthById[id];
  health.CoolDownUntil = std::max(health.CoolDownUntil, until);
}

void HealthTracker::setOverLimit(const std::string &id, TimePoint until,
                                 TimePoint withinLimitAt) {
  EndpointHealth &health = HealthById[id];
  health.OverLimitUntil = until;
  health.WithinLimitAt = withinLimitAt;
}

void HealthTracker::noteUnnamedRefusal(const std::string &id, TimePoint now) {
  HealthById[id].UnnamedRefusalsUntil = now + UnnamedRefusalMemory;
}

const EndpointHealth &HealthTracker::health(const std::string &id) const {
  static const EndpointHealth unknown;
  auto it = HealthById.find(id);
  return it == HealthById.end() ? unknown : it->second;
}

void HealthTracker::remove(const std::string &id, TimePoint now) {
  std::erase_if(RemovedInCoolDown, [&](const std::string &it) {
    bool over = now >= health(it).CoolDownUntil;
    if (over)
      HealthById.erase(it);
    return over;
  });
  TimePoint coolDownUntil = health(id).CoolDownUntil;
  HealthById.erase(id);
  if (now >= coolDownUntil)
    return;
  HealthById[id].CoolDownUntil = coolDownUntil;
  RemovedInCoolDown.insert(id);
}

} // namespace Balance
