#ifndef ADMISSION_FORECAST_H
#define ADMISSION_FORECAST_H

#include "utils/clock.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace Admission {

/// What a daemon knows of the way of a request to a model.
struct LoadView {
  /// When a replica that is loading is expected to be ready, milliseconds from
  /// now; 0 when one is ready, nothing when it is not known.
  std::optional<uint32_t> ReadyInMs;
  /// Calls to the model under way, the most that run at once, and those queued
  /// that would start before this one.
  uint32_t Running = 0;
  uint32_t Capacity = 1;
  uint32_t QueuedAhead = 0;
  /// Moving average of a whole call, milliseconds; 0 when none was seen.
  double ServiceMs = 0;
  /// Shortest of the recent whole calls, milliseconds; 0 when none was seen.
  double ShortestMs = 0;
};

/// Estimated time until a request could start, milliseconds.
uint32_t startInMs(const LoadView &view);

/// Time after which the caller may come back, milliseconds, when even a short
/// call could not end before the deadline; nothing when it can.
std::optional<uint32_t> tooLate(const LoadView &view, Utils::TimePoint deadline,
                                Utils::TimePoint now);

/// The same for a request that waits already: only when the forecast misses by
/// so much that its error does not explain it.
std::optional<uint32_t> missesDeadline(const LoadView &view,
                                       Utils::TimePoint deadline,
                                       Utils::TimePoint now);

/// Latest time at which a call may start. Durations of earlier calls count only
/// while others are under way, since only then new ones are observed soon.
Utils::TimePoint latestStart(const LoadView &view, Utils::TimePoint deadline);

/// Durations of the recent whole calls to a model, milliseconds.
struct ServiceHistory {
  double AverageMs = 0;
  std::deque<double> RecentMs;

  /// Shortest of the recent calls; 0 when none was seen.
  double shortestMs() const;
};

/// Folds one observed call into the history.
void observe(ServiceHistory &history, double observedMs);

} // namespace Admission

#endif // ADMISSION_FORECAST_H
