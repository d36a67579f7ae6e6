#ifndef BALANCE_CHOOSE_H
#define BALANCE_CHOOSE_H

#include "balance/healthtracker.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace Balance {

/// An endpoint that can serve the call.
struct Candidate {
  /// Calls in flight at the endpoint, from all VMs as far as known.
  uint32_t Load = 0;
  /// Calls that the endpoint runs concurrently; 0 if not known.
  uint32_t Slots = 0;
  /// The endpoint failed recently, see EndpointHealth::AvoidUntil.
  bool Avoided = false;
  /// The endpoint is in the failure domain of this VM.
  bool SameDomain = false;
  /// The call was sent to the endpoint before.
  bool Tried = false;
  /// The endpoint accepts no calls from this VM before this time, or its limit
  /// allows none.
  TimePoint CoolDownUntil{};
  /// The endpoint is cold and takes few calls, slowly.
  bool Cold = false;
  /// The failure domain of the endpoint is being evacuated.
  bool Evacuating = false;
};

/// Returns the index of the candidate that gets the call; nothing if there is
/// none. Takes the less loaded of two random candidates (Mitzenmacher, "The
/// Power of Two Choices", 2001). Endpoints that failed recently, were tried
/// before or are being evacuated are used only if there are no others, and
/// endpoints in cool-down never. Cold endpoints are used if the others have no
/// free slot.
std::optional<size_t> choose(const std::vector<Candidate> &candidates,
                             TimePoint now, std::mt19937_64 &random);

/// Earliest time at which a cool-down of a candidate ends; nothing if none is
/// in cool-down.
std::optional<TimePoint>
earliestCoolDownEnd(const std::vector<Candidate> &candidates, TimePoint now);

} // namespace Balance

#endif // BALANCE_CHOOSE_H
