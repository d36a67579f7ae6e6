#include "gateway/tablebook.h"

#include <random>

namespace Gateway {

namespace {

/// Revisions of a holder begin at its token, shifted so far: above all that
/// holders between may have numbered.
constexpr int TokenShift = 32;

} // namespace

uint64_t TableBook::firstRevision(int64_t token) {
  return uint64_t(token) << TokenShift;
}

TableBook::TableBook(int64_t token, const KnownTable &before)
    : Token(token), TakenOver(before.Revision), Floor(before.Floor),
      Lineage(before.Revision > 0
                  ? before.Lineage
                  : std::random_device{}() | firstRevision(token)),
      Revision(firstRevision(token)) {}

void TableBook::setRevision(const std::string &id, uint64_t revision) {
  auto [it, isNew] = Revisions.try_emplace(id, revision);
  if (!isNew) {
    Changes.erase({it->second, id});
    it->second = revision;
  }
  Changes.emplace(revision, id);
}

void TableBook::note(const std::string &id, std::string content, bool anew) {
  std::string &known = Contents[id];
  if (known == content && !anew)
    return;
  known = std::move(content);
  setRevision(id, ++Revision);
}

void TableBook::goOn(const KnownTable &before) {
  for (const auto &[id, revision] : before.Revisions)
    setRevision(id, revision);
}

void TableBook::noteListed(uint64_t next,
                           const std::vector<std::string> &others) {
  ListedNext = next;
  // Gateways number the listed entries below this.
  Revision += FleetLink::ListedRevisions;
  ListedRevision = Revision;
  for (const std::string &id : others)
    setRevision(id, ++Revision);
}

/// Whether the gateway has read what the listed entries are made of.
bool TableBook::hasListed(const FleetLink::Report &report) const {
  return ListedNext > 0 && report.EndpointsNext >= ListedNext;
}

/// Revision up to which the gateway knows the table. What another holder told
/// it in part does not count, since that one numbered the rest in its own way;
/// nor what is older than all that is known here of endpoints that are gone.
uint64_t TableBook::knownTo(const FleetLink::Report &report) const {
  if (report.Lineage != Lineage)
    return 0;
  bool goesOn = report.Token == Token ||
                (report.TableComplete && report.TableRevision >= Floor);
  return goesOn ? report.TableRevision : 0;
}

void TableBook::tell(FleetLink::Beat &beat, const FleetLink::Report &report,
                     const Room &room, const EntryOf &entryOf) const {
  beat.Lineage = Lineage;
  beat.TableTakenOver = TakenOver;
  beat.TableFloor = Floor;
  beat.TableSince = knownTo(report);
  beat.TableSinceListed = beat.TableSince < ListedRevision && hasListed(report);
  if (beat.TableSinceListed)
    beat.TableSince = ListedRevision;
  beat.TableRevision = Revision;
  beat.TableComplete = true;
  uint64_t told = beat.TableSince;
  size_t bytes = 0;
  for (auto it = Changes.upper_bound({beat.TableSince, "\xff"});
       it != Changes.end(); ++it) {
    std::string entry = entryOf(it->second, it->first);
    bool fits = beat.SealedEntries.size() < room.Entries &&
                bytes + entry.size() <= room.Bytes;
    if (!fits && !beat.SealedEntries.empty()) {
      beat.TableComplete = false;
      beat.TableRevision = told;
      return;
    }
    bytes += entry.size();
    beat.SealedEntries.push_back(std::move(entry));
    told = it->first;
  }
}

} // namespace Gateway
