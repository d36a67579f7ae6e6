#include "gateway/tablechangelog.h"

#include <random>

namespace Gateway {

namespace {

/// A holder's revisions start at its token shifted left by this: above all that
/// the holders before it can have assigned.
constexpr int RevisionBits = 32;

} // namespace

uint64_t TableChangelog::firstRevision(int64_t token) {
  return uint64_t(token) << RevisionBits;
}

TableChangelog::TableChangelog(int64_t token, const KnownTable &before)
    : Token(token), TakeoverRevision(before.Revision),
      TombstoneFloor(before.TombstoneFloor),
      Lineage(before.Revision > 0
                  ? before.Lineage
                  : std::random_device{}() | firstRevision(token)),
      Revision(firstRevision(token)) {}

void TableChangelog::setRevision(const std::string &id, uint64_t revision) {
  auto [it, isNew] = Revisions.try_emplace(id, revision);
  if (!isNew) {
    Changes.erase({it->second, id});
    it->second = revision;
  }
  Changes.emplace(revision, id);
}

void TableChangelog::update(const std::string &id, std::string content,
                            bool force) {
  std::string &known = Contents[id];
  if (known == content && !force)
    return;
  known = std::move(content);
  setRevision(id, ++Revision);
}

void TableChangelog::adoptRevisions(const KnownTable &before) {
  for (const auto &[id, revision] : before.Revisions)
    setRevision(id, revision);
}

void TableChangelog::markReadFromStore(
    const StoreEra::Position &next,
    const std::vector<std::string> &exceptions) {
  StoreRead = next;
  // Gateways assign the revisions below this to the entries that they read.
  Revision += FleetLink::ReservedRevisions;
  StoreReadRevision = Revision;
  for (const std::string &id : exceptions)
    setRevision(id, ++Revision);
}

/// Whether the gateway has itself read the records behind the entries up to
/// StoreReadRevision.
bool TableChangelog::hasReadStore(const FleetLink::Report &report) const {
  return StoreRead.Offset > 0 && report.StoreEra == StoreRead.InEra &&
         report.EndpointsNext >= StoreRead.Offset;
}

/// Revision up to which the gateway knows the table. An incomplete table of
/// another holder does not count, since that holder numbered the rest on its
/// own; nor does one below the tombstone floor, as removals since then may be
/// missing here.
uint64_t TableChangelog::knownRevision(const FleetLink::Report &report) const {
  if (report.Lineage != Lineage)
    return 0;
  bool isContinuous =
      report.Token == Token ||
      (report.TableComplete && report.TableRevision >= TombstoneFloor);
  return isContinuous ? report.TableRevision : 0;
}

void TableChangelog::addChanges(FleetLink::Heartbeat &heartbeat,
                                const FleetLink::Report &report,
                                const HeartbeatLimits &limits,
                                const EncodeEntry &encodeEntry) const {
  heartbeat.Lineage = Lineage;
  heartbeat.TableTakeoverRevision = TakeoverRevision;
  heartbeat.TableTombstoneFloor = TombstoneFloor;
  heartbeat.TableBaseRevision = knownRevision(report);
  heartbeat.TableBaseFromStore =
      heartbeat.TableBaseRevision < StoreReadRevision && hasReadStore(report);
  if (heartbeat.TableBaseFromStore)
    heartbeat.TableBaseRevision = StoreReadRevision;
  heartbeat.TableRevision = Revision;
  heartbeat.TableComplete = true;
  uint64_t sentTo = heartbeat.TableBaseRevision;
  size_t bytes = 0;
  for (auto it = Changes.upper_bound({heartbeat.TableBaseRevision, "\xff"});
       it != Changes.end(); ++it) {
    std::string entry = encodeEntry(it->second, it->first);
    bool fits = heartbeat.EncodedEntries.size() < limits.Entries &&
                bytes + entry.size() <= limits.Bytes;
    if (!fits && !heartbeat.EncodedEntries.empty()) {
      heartbeat.TableComplete = false;
      heartbeat.TableRevision = sentTo;
      return;
    }
    bytes += entry.size();
    heartbeat.EncodedEntries.push_back(std::move(entry));
    sentTo = it->first;
  }
}

} // namespace Gateway
