#include "gateway/answertimes.h"

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

/// As long as crashes are kept, so that a time is known at least that long.
constexpr std::chrono::seconds GenerationLifetime{60};

} // namespace

void AnswerTimes::add(Quarantine::Part part, TimePoint at) {
  if (Current.size() >= MaxParts || CurrentSince + GenerationLifetime < at) {
    Previous = std::exchange(Current, {});
    CurrentSince = at;
  }
  TimePoint &known = Current[part];
  known = std::max(known, at);
}

std::optional<TimePoint> AnswerTimes::find(Quarantine::Part part) const {
  if (auto it = Current.find(part); it != Current.end())
    return it->second;
  if (auto it = Previous.find(part); it != Previous.end())
    return it->second;
  return std::nullopt;
}

} // namespace Gateway
