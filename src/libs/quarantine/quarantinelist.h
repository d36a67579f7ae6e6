#ifndef QUARANTINE_QUARANTINELIST_H
#define QUARANTINE_QUARANTINELIST_H

#include "utils/clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Quarantine {

using Utils::Milliseconds;
using Utils::TimePoint;

/// Hash of the id of a prompt part.
using Part = uint64_t;
using Parts = std::vector<Part>;

/// Calls that have all of these parts are not sent to endpoints.
struct Entry {
  /// Sorted.
  Parts Matching;
  TimePoint Until{};
  /// Length of the quarantine, doubled if the parts crash an endpoint again
  /// after it.
  Milliseconds Period{0};
};

/// Most quarantines at a time. Further crashes are recorded, but decide
/// nothing.
constexpr size_t MaxEntries = 32;

/// Whether a call with these parts is subject to the entry.
bool matches(const Entry &entry, const Parts &parts);

/// Adds the entries that the list lacks and extends those that it has.
void merge(std::vector<Entry> &list, const std::vector<Entry> &added);

/// When the quarantine of a call with these parts ends; nothing if it is not
/// under one.
std::optional<TimePoint> quarantinedUntil(const std::vector<Entry> &list,
                                          const Parts &parts, TimePoint now);

} // namespace Quarantine

#endif // QUARANTINE_QUARANTINELIST_H
