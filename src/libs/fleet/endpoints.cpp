#include "fleet/endpoints.h"

#include <algorithm>
#include <tuple>

namespace Fleet {

namespace {

/// How long the tombstone of a removed endpoint prevents delayed reports from
/// adding it again. The platform documents delays of up to 12 s for a lost
/// write.
constexpr std::chrono::seconds TombstoneLifetime{60};

/// Whether a list that was read up to `position` has all records before
/// `other`. Nothing is missed before an unknown position.
bool reaches(const StoreEra::Position &position,
             const StoreEra::Position &other) {
  if (other.Offset == 0)
    return true;
  if (position.InEra != other.InEra)
    return position.InEra > other.InEra;
  return position.Offset >= other.Offset;
}

StoreEra::Position later(const StoreEra::Position &left,
                         const StoreEra::Position &right) {
  return reaches(left, right) ? left : right;
}

} // namespace

bool Endpoint::hasModel(const std::string &model) const {
  return std::any_of(Report.Models.begin(), Report.Models.end(),
                     [&](const ResidentModel &m) { return m.Name == model; });
}

bool Endpoint::hasAdapter(const std::string &model,
                          const std::string &adapter) const {
  for (const ResidentModel &it : Report.Models)
    if (it.Name == model)
      return std::find(it.Adapters.begin(), it.Adapters.end(), adapter) !=
             it.Adapters.end();
  return false;
}

bool EndpointTable::isStale(const EndpointReport &report) const {
  auto version = std::tie(report.StartedUnixMs, report.Sequence);
  if (auto it = Endpoints.find(report.Id); it != Endpoints.end()) {
    const EndpointReport &latest = it->second.Report;
    return version <= std::tie(latest.StartedUnixMs, latest.Sequence);
  }
  auto it = Tombstones.find(report.Id);
  return it != Tombstones.end() &&
         version <= std::tie(it->second.StartedUnixMs, it->second.Sequence);
}

bool EndpointTable::mayMissRemoval(const std::string &id,
                                   const Listing &listing) const {
  auto it = Tombstones.find(id);
  return it != Tombstones.end() && !reaches(listing.From, it->second.KnownAt);
}

bool EndpointTable::update(EndpointReport report, TimePoint now,
                           const Listing &listing) {
  auto known = Endpoints.find(report.Id);
  StoreEra::Position listedAt = listing.From;
  if (known != Endpoints.end()) {
    const EndpointReport &latest = known->second.Report;
    listedAt = later(listedAt, known->second.ListedAt);
    if (std::tie(report.StartedUnixMs, report.Sequence) ==
        std::tie(latest.StartedUnixMs, latest.Sequence))
      known->second.ListedAt = listedAt;
  }
  if (isStale(report))
    return false;
  if (mayMissRemoval(report.Id, listing)) {
    Withheld[report.Id] = std::move(report);
    return false;
  }
  bool leaving = isLeaving(report);
  std::string id = report.Id;
  auto cold = report.ColdRemaining;
  TimePoint coldUntil = cold.count() > 0 ? now + cold : TimePoint{};
  Tombstones.erase(id);
  Withheld.erase(id);
  Endpoints[id] =
      Endpoint{std::move(report), now, leaving, coldUntil, listedAt};
  ++Revision;
  return true;
}

/// Whether the process that sent the report has announced its shutdown.
bool EndpointTable::isLeaving(const EndpointReport &report) const {
  if (auto it = Endpoints.find(report.Id); it != Endpoints.end())
    return it->second.Leaving &&
           it->second.Report.StartedUnixMs == report.StartedUnixMs;
  auto it = Tombstones.find(report.Id);
  return it != Tombstones.end() && it->second.Leaving &&
         it->second.StartedUnixMs == report.StartedUnixMs;
}

bool EndpointTable::markLeaving(const std::string &id, int64_t startedUnixMs) {
  auto it = Endpoints.find(id);
  if (it == Endpoints.end() || it->second.Leaving ||
      it->second.Report.StartedUnixMs != startedUnixMs)
    return false;
  it->second.Leaving = true;
  ++Revision;
  return true;
}

bool EndpointTable::remove(const std::string &id, TimePoint now,
                           const Listing &listing) {
  auto it = Endpoints.find(id);
  if (it == Endpoints.end()) {
    if (mayMissRemoval(id, listing))
      return false;
    Withheld.erase(id);
    if (auto tombstone = Tombstones.find(id); tombstone != Tombstones.end())
      tombstone->second.KnownAt = later(listing.To, tombstone->second.KnownAt);
    return false;
  }
  bool isListedLater =
      listing.From.Offset > 0 && !reaches(listing.From, it->second.ListedAt);
  if (isListedLater)
    return false;
  const EndpointReport &report = it->second.Report;
  Tombstones[id] = Tombstone{report.StartedUnixMs, report.Sequence, now,
                             it->second.Leaving, listing.To};
  Endpoints.erase(it);
  ++Revision;
  expireTombstones(now);
  return true;
}

const Endpoint *EndpointTable::find(const std::string &id) const {
  auto it = Endpoints.find(id);
  return it == Endpoints.end() ? nullptr : &it->second;
}

void EndpointTable::expireTombstones(TimePoint now) {
  std::erase_if(Tombstones, [&](const auto &it) {
    return now - it.second.RemovedAt > TombstoneLifetime;
  });
}

} // namespace Fleet
