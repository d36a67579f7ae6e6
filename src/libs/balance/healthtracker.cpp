#include "balance/healthtracker.h"

#include <algorithm>

namespace Balance {

namespace {

/// Failures in a row from which an endpoint is passed over. One failure in
/// 250 calls is ordinary; two in a row are not.
constexpr uint32_t FailuresToAvoid = 2;
/// First time for which it is passed over, doubled with each further failure:
/// longer than a restart of a process.
constexpr std::chrono::milliseconds FirstAvoidance{1000};
constexpr std::chrono::milliseconds LongestAvoidance{8000};
/// Weight of the newest sample in moving averages.
constexpr double NewestWeight = 0.2;

bool isFailure(SendEnd end) {
  return end == SendEnd::Failed || end == SendEnd::Broken ||
         end == SendEnd::Silent;
}

std::chrono::milliseconds avoidance(uint32_t failures) {
  uint32_t doublings = std::min(failures - FailuresToAvoid, 3U);
  return std::min(FirstAvoidance * (1 << doublings), LongestAvoidance);
}

} // namespace

std::string_view sendEndName(SendEnd end) {
  static constexpr std::string_view names[] = {
      "answered", "refused", "failed", "broken", "silent", "withdrawn"};
  return names[static_cast<size_t>(end)];
}

void EndpointBoard::sent(const std::string &id) { ++Healths[id].InFlight; }

void EndpointBoard::answering(const std::string &id, double firstByteMs) {
  EndpointHealth &health = Healths[id];
  health.FirstByteMs = health.FirstByteMs == 0
                           ? firstByteMs
                           : health.FirstByteMs * (1 - NewestWeight) +
                                 firstByteMs * NewestWeight;
}

void EndpointBoard::ended(const std::string &id, SendEnd end, TimePoint now) {
  EndpointHealth &health = Healths[id];
  if (health.InFlight > 0)
    --health.InFlight;
  if (end == SendEnd::Answered)
    health.FailuresInRow = 0;
  if (!isFailure(end))
    return;
  ++health.FailuresInRow;
  // A broken connection is a sure sign; an error may be the call's own.
  if (end == SendEnd::Broken)
    health.FailuresInRow = std::max(health.FailuresInRow, FailuresToAvoid);
  if (health.FailuresInRow >= FailuresToAvoid)
    health.AvoidUntil = now + avoidance(health.FailuresInRow);
}

void EndpointBoard::rest(const std::string &id, TimePoint until) {
  EndpointHealth &health = Healths[id];
  health.RestUntil = std::max(health.RestUntil, until);
}

const EndpointHealth &EndpointBoard::health(const std::string &id) const {
  static const EndpointHealth unknown;
  auto it = Healths.find(id);
  return it == Healths.end() ? unknown : it->second;
}

void EndpointBoard::forget(const std::string &id) { Healths.erase(id); }

} // namespace Balance
