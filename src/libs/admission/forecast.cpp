#include "admission/forecast.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

constexpr double ServiceWeight = 0.1;
constexpr double MaxForecastMs = 3'600'000;
/// A waiting request is given up when this part of the forecast misses.
constexpr uint32_t ForecastErrorFactor = 2;
constexpr size_t RecentCalls = 32;

/// Calls that have to end before the request can start.
uint64_t endsBefore(const LoadView &view) {
  uint64_t before = uint64_t(view.Running) + view.QueuedAhead;
  uint32_t capacity = std::max(view.Capacity, 1U);
  return before < capacity ? 0 : before - capacity + 1;
}

} // namespace

uint32_t startInMs(const LoadView &view) {
  uint32_t capacity = std::max(view.Capacity, 1U);
  double queueMs = double(endsBefore(view)) / capacity * view.ServiceMs;
  double ms = std::max(queueMs, double(view.ReadyInMs.value_or(0)));
  return static_cast<uint32_t>(std::min(ms, MaxForecastMs));
}

std::optional<uint32_t> tooLate(const LoadView &view, Utils::TimePoint deadline,
                                Utils::TimePoint now) {
  uint32_t startMs = startInMs(view);
  if (now + Utils::Milliseconds(startMs) < latestStart(view, deadline))
    return std::nullopt;
  return std::max(startMs, 1U);
}

std::optional<uint32_t> missesDeadline(const LoadView &view,
                                       Utils::TimePoint deadline,
                                       Utils::TimePoint now) {
  uint32_t startMs = startInMs(view);
  if (now + Utils::Milliseconds(startMs / ForecastErrorFactor) <
      latestStart(view, deadline))
    return std::nullopt;
  return std::max(startMs, 1U);
}

Utils::TimePoint latestStart(const LoadView &view, Utils::TimePoint deadline) {
  if (endsBefore(view) == 0)
    return deadline;
  return deadline - Utils::Milliseconds(std::llround(view.ShortestMs));
}

double ServiceHistory::shortestMs() const {
  auto it = std::min_element(RecentMs.begin(), RecentMs.end());
  return it == RecentMs.end() ? 0 : *it;
}

void observe(ServiceHistory &history, double observedMs) {
  double change = observedMs - history.AverageMs;
  history.AverageMs +=
      history.RecentMs.empty() ? change : change * ServiceWeight;
  history.RecentMs.push_back(observedMs);
  if (history.RecentMs.size() > RecentCalls)
    history.RecentMs.pop_front();
}

} // namespace Admission
