#include "quarantine/quarantinelist.h"

#include "utils/digest.h"

#include <algorithm>

namespace Quarantine {

std::string textOf(const Parts &parts) {
  std::string out;
  for (Part it : parts)
    out += (out.empty() ? "" : ",") + Utils::toHex(it);
  return out;
}

bool matches(const Entry &entry, const Parts &parts) {
  return std::all_of(
      entry.Matching.begin(), entry.Matching.end(), [&](Part it) {
        return std::find(parts.begin(), parts.end(), it) != parts.end();
      });
}

bool matches(const Entry &entry, const Crash &crash) {
  return std::any_of(
      crash.Suspects.begin(), crash.Suspects.end(),
      [&](const Suspect &it) { return matches(entry, it.Shared); });
}

bool renewLapsed(std::vector<Entry> &list, const Crash &crash, TimePoint now) {
  bool renewed = false;
  for (Entry &it : list) {
    if (now < it.Until || crash.At <= it.Until || !matches(it, crash))
      continue;
    it.Period = std::clamp<Milliseconds>(2 * it.Period, FirstPeriod, MaxPeriod);
    it.Until = now + it.Period;
    renewed = true;
  }
  return renewed;
}

size_t countInForce(const std::vector<Entry> &list, TimePoint now) {
  return size_t(std::count_if(list.begin(), list.end(),
                              [&](const Entry &it) { return now < it.Until; }));
}

void merge(std::vector<Entry> &list, const std::vector<Entry> &added) {
  for (const Entry &entry : added) {
    auto known = std::find_if(list.begin(), list.end(), [&](const Entry &it) {
      return it.Matching == entry.Matching;
    });
    if (known == list.end()) {
      if (list.size() < MaxEntries)
        list.push_back(entry);
      continue;
    }
    known->Until = std::max(known->Until, entry.Until);
    known->Period = std::max(known->Period, entry.Period);
  }
}

std::optional<TimePoint> quarantinedUntil(const std::vector<Entry> &list,
                                          const Parts &parts, TimePoint now) {
  std::optional<TimePoint> out;
  if (parts.empty())
    return out;
  for (const Entry &it : list)
    if (now < it.Until && matches(it, parts))
      out = std::max(out.value_or(it.Until), it.Until);
  return out;
}

} // namespace Quarantine
