#ifndef QUARANTINE_QUARANTINELIST_H
#define QUARANTINE_QUARANTINELIST_H

#include "utils/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Quarantine {

using Utils::Milliseconds;
using Utils::TimePoint;

/// What calls may have in common: hash of the id of a prompt part, or of a
/// whole request.
using Part = uint64_t;
using Parts = std::vector<Part>;

/// Set in the hashes of requests, and not in those of prompt parts.
constexpr Part RequestBit = Part(1) << 63;
constexpr Part promptPart(uint64_t hash) { return hash & ~RequestBit; }
constexpr Part requestPart(uint64_t hash) { return hash | RequestBit; }
constexpr bool isRequest(Part part) { return (part & RequestBit) != 0; }

/// The parts in hexadecimal, separated by commas, for the log.
std::string textOf(const Parts &parts);

/// Calls that have all of these parts are not sent to endpoints.
struct Entry {
  /// Sorted.
  Parts Matching;
  TimePoint Until{};
  /// Length of the quarantine, doubled if the parts crash an endpoint again
  /// after it.
  Milliseconds Period{0};
};

constexpr std::chrono::minutes FirstPeriod{5};
constexpr std::chrono::minutes MaxPeriod{60};

/// Most quarantines at a time, lapsed ones that are remembered included.
/// Further crashes are recorded, but decide nothing while all are in force.
constexpr size_t MaxEntries = 32;

/// Whether a call with these parts is subject to the entry.
bool matches(const Entry &entry, const Parts &parts);

/// A call that was at an endpoint, not yet answered, when that crashed.
struct Suspect {
  /// Prompt parts that other calls may share, and the hash of the request.
  Parts Shared;
  TimePoint SentAt{};
};

/// A crash of an endpoint as one gateway saw it.
struct Crash {
  /// Hash of the endpoint's id.
  uint32_t Endpoint = 0;
  TimePoint At{};
  std::vector<Suspect> Suspects;
};

/// Whether a call that was at the crash is subject to the entry.
bool matches(const Entry &entry, const Crash &crash);

/// Puts lapsed entries back in force, for twice as long, if a call that is
/// subject to them was at the crash since. Returns whether there are any.
bool renewLapsed(std::vector<Entry> &list, const Crash &crash, TimePoint now);

/// Number of entries that are in force.
size_t countInForce(const std::vector<Entry> &list, TimePoint now);

/// Adds the entries that the list lacks and extends those that it has.
void merge(std::vector<Entry> &list, const std::vector<Entry> &added);

/// When the quarantine of a call with these parts ends; nothing if it is not
/// under one.
std::optional<TimePoint> quarantinedUntil(const std::vector<Entry> &list,
                                          const Parts &parts, TimePoint now);

} // namespace Quarantine

#endif // QUARANTINE_QUARANTINELIST_H
