#ifndef EXPERIMENTS_LIMITSREPLAY_H
#define EXPERIMENTS_LIMITSREPLAY_H

#include "limits/limits.h"

#include <deque>
#include <memory>

namespace Experiments {

inline constexpr size_t DaemonCount = 8;

/// What happens to the holder of the limits during a replay.
enum class Takeover { None, Planned, Crash };

/// A request as far as its tokens go.
struct Demand {
  size_t Daemon = 0;
  std::string Team;
  uint64_t Tokens = 0;
};

/// A way to enforce rates, driven a millisecond at a time.
struct Limiter {
  enum class Verdict { Granted, Refused, Waiting };

  virtual ~Limiter() = default;
  virtual void step(int64_t nowMs) = 0;
  /// Asks for a request's tokens; the id names it until it is decided.
  virtual Verdict take(uint64_t id, const Demand &demand) = 0;
  /// Verdict on a request that was waiting.
  virtual Verdict poll(uint64_t id) = 0;
  /// Whether n tokens of a granted request may be delivered now; counts them.
  virtual bool deliver(uint64_t id, uint64_t n) = 0;
  virtual void release(uint64_t id) = 0;
};

using TeamLimits = std::map<std::string, Limits::Limit>;

/// The real holder and wallets, with a millisecond each way between daemons.
std::unique_ptr<Limiter> makeLeasedLimiter(const TeamLimits &limits,
                                           Takeover takeover);

/// A bucket of 1/N of the rate and burst at each daemon.
std::unique_ptr<Limiter> makeShareLimiter(const TeamLimits &limits);

} // namespace Experiments

#endif // EXPERIMENTS_LIMITSREPLAY_H
