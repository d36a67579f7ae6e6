#ifndef DAEMON_REFUSEBY_H
#define DAEMON_REFUSEBY_H

#include "utils/clock.h"

#include <algorithm>

namespace Daemon::Internal {

/// Latest time to refuse a request that waits for what it needs before it can
/// be sent, so that the refusal reaches the caller in time to ask elsewhere.
inline Utils::TimePoint refuseBy(Utils::TimePoint now,
                                 Utils::TimePoint deadline) {
  constexpr Utils::TimePoint::duration maxReserve = Utils::Milliseconds(250);
  constexpr int reservedPart = 8;
  auto left = std::max(deadline - now, Utils::TimePoint::duration::zero());
  return deadline - std::min(maxReserve, left / reservedPart);
}

} // namespace Daemon::Internal

#endif // DAEMON_REFUSEBY_H
