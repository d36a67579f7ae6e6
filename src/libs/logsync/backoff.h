#ifndef LOGSYNC_BACKOFF_H
#define LOGSYNC_BACKOFF_H

#include "utils/clock.h"

#include <random>

namespace LogSync::Internal {

/// Delays that double up to a bound, each drawn evenly from its upper half so
/// that daemons do not return together.
class Backoff {
public:
  Backoff(Utils::Milliseconds min, Utils::Milliseconds max, uint64_t seed)
      : Min(min), Max(max), Current(min), Random(seed) {}

  Utils::Milliseconds next() {
    Utils::Milliseconds::rep full = Current.count();
    Current = std::min(Max, Current * 2);
    return Utils::Milliseconds(
        std::uniform_int_distribution<Utils::Milliseconds::rep>(full / 2,
                                                                full)(Random));
  }

  void reset() { Current = Min; }

private:
  Utils::Milliseconds Min;
  Utils::Milliseconds Max;
  Utils::Milliseconds Current;
  std::mt19937_64 Random;
};

} // namespace LogSync::Internal

#endif // LOGSYNC_BACKOFF_H
