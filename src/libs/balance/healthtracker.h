#ifndef BALANCE_HEALTHTRACKER_H
#define BALANCE_HEALTHTRACKER_H

#include "utils/clock.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Balance {

using Utils::TimePoint;

/// How an attempt to run a call at an endpoint ended.
enum class AttemptResult : uint8_t {
  Answered,
  Refused,          ///< Not executed: overloaded, or the endpoint lacks what
                    ///< the call needs.
  Failed,           ///< The endpoint returned an error.
  ConnectionFailed, ///< Connection refused, reset or closed early.
  TimedOut,         ///< No answer before the deadline.
  Cancelled,        ///< The caller disconnected or another attempt finished
                    ///< first; says nothing about the endpoint.
};

std::string_view attemptResultName(AttemptResult result);

/// Health of one endpoint as observed by this VM.
struct EndpointHealth {
  /// Calls of this VM in flight at the endpoint.
  uint32_t InFlight = 0;
  uint32_t ConsecutiveFailures = 0;
  /// Until then the endpoint gets calls only if no other can take them.
  TimePoint AvoidUntil{};
  /// The endpoint asked this VM to send no calls before this time.
  TimePoint CoolDownUntil{};
  /// No call of this VM asks for a place in the endpoint's limit before this
  /// time.
  TimePoint OverLimitUntil{};
  /// When such a call is expected to get one, as many ask for it.
  TimePoint WithinLimitAt{};
  /// Until then the endpoint's refusals may name no call.
  TimePoint UnnamedRefusalsUntil{};
  /// Moving average of the time to first byte of answered calls, in
  /// milliseconds; 0 before the first.
  double FirstByteMs = 0;
};

/// Tracks the health of all endpoints by id, from this VM's own calls.
class HealthTracker {
public:
  void onSent(const std::string &id);
  void onFirstByte(const std::string &id, double firstByteMs);
  void onEnded(const std::string &id, AttemptResult result, TimePoint now);
  /// Starts or extends the endpoint's cool-down.
  void coolDown(const std::string &id, TimePoint until);
  /// The endpoint's limit has rejected a call: see
  /// EndpointHealth::OverLimitUntil and WithinLimitAt.
  void setOverLimit(const std::string &id, TimePoint until,
                    TimePoint withinLimitAt);
  void noteUnnamedRefusal(const std::string &id, TimePoint now);
  const EndpointHealth &health(const std::string &id) const;
  /// Forgets an endpoint that is no longer listed, but for its cool-down: the
  /// same endpoint may be listed again before that ends.
  void remove(const std::string &id, TimePoint now);

private:
  std::unordered_map<std::string, EndpointHealth> HealthById;
  /// Endpoints that were removed before the end of their cool-down.
  std::set<std::string> RemovedInCoolDown;
};

} // namespace Balance

#endif // BALANCE_HEALTHTRACKER_H
