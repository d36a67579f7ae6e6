#include "quarantine/quarantinelist.h"

#include <algorithm>

namespace Quarantine {

bool matches(const Entry &entry, const Parts &parts) {
  return std::all_of(
      entry.Matching.begin(), entry.Matching.end(), [&](Part it) {
        return std::find(parts.begin(), parts.end(), it) != parts.end();
      });
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
