#ifndef BALANCE_CHOOSE_H
#define BALANCE_CHOOSE_H

#include "balance/healthtracker.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace Balance {

/// A place that could take the call.
struct Candidate {
  /// Calls under way there, from all VMs as far as known.
  uint32_t Load = 0;
  /// Calls that run there at once; 0 if not known.
  uint32_t Slots = 0;
  bool Avoided = false;
  bool SameDomain = false;
  /// The call was sent there before.
  bool Tried = false;
  /// It wants nothing from this VM until then.
  TimePoint RestUntil{};
};

/// Index of the candidate that takes the call, or nothing when there is none.
/// Of two random ones the less loaded wins (Mitzenmacher, "The Power of Two
/// Choices", 2001); endpoints that failed lately or were tried are left to the
/// last, and those that rest are not taken at all.
std::optional<size_t> choose(const std::vector<Candidate> &candidates,
                             TimePoint now, std::mt19937_64 &random);

/// When the first of the candidates that rest takes calls again; nothing if
/// none rests.
std::optional<TimePoint> restEnd(const std::vector<Candidate> &candidates,
                                 TimePoint now);

} // namespace Balance

#endif // BALANCE_CHOOSE_H
