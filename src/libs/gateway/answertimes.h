#ifndef GATEWAY_ANSWERTIMES_H
#define GATEWAY_ANSWERTIMES_H

#include "quarantine/quarantine.h"

#include <optional>
#include <unordered_map>

namespace Gateway {

using Utils::TimePoint;

/// When calls with a part were last answered. Forgets the oldest times first,
/// at the latest after twice the time for which a crash decides anything, and
/// sooner if there are too many parts: each request is one.
class AnswerTimes {
public:
  /// Most parts in each of the two generations: at 300 different requests per
  /// second, the times of a minute.
  static constexpr size_t MaxParts = 20000;

  void add(Quarantine::Part part, TimePoint at);
  std::optional<TimePoint> find(Quarantine::Part part) const;
  size_t size() const { return Current.size() + Previous.size(); }

private:
  std::unordered_map<Quarantine::Part, TimePoint> Current;
  std::unordered_map<Quarantine::Part, TimePoint> Previous;
  TimePoint CurrentSince{};
};

} // namespace Gateway

#endif // GATEWAY_ANSWERTIMES_H
