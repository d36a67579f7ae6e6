#ifndef PEERS_AGE_H
#define PEERS_AGE_H

#include "utils/clock.h"

#include <cstdint>
#include <optional>

namespace Peers {

/// Age of something that never was.
inline constexpr uint32_t NoAge = UINT32_MAX;

/// Age of a point in the past in milliseconds, rounded up; NoAge when there is
/// none.
uint32_t ageOf(const std::optional<Utils::TimePoint> &since,
               Utils::TimePoint now);

/// An age told by another daemon as it may be by this daemon's clock when the
/// other's clock is slow by up to one part in 64.
inline Utils::Milliseconds slowestClock(uint32_t ageMs) {
  return Utils::Milliseconds(uint64_t{ageMs} + ageMs / 64 + 1);
}

} // namespace Peers

#endif // PEERS_AGE_H
