#ifndef GATEWAY_TABLEBOOK_H
#define GATEWAY_TABLEBOOK_H

#include "fleetlink/fleetlink.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Gateway {

/// What a gateway knows of the holder's table of endpoints.
struct KnownTable {
  /// Line of revisions; they go on from holder to holder.
  uint64_t Lineage = 0;
  /// Revision up to which the entries are known; 0 for none.
  uint64_t Revision = 0;
  /// Nothing may be known of endpoints that were gone by this revision.
  uint64_t Floor = 0;
  /// Revision of each entry, also of endpoints that are gone. No two have the
  /// same one.
  std::map<std::string, uint64_t> Revisions;
};

/// The holder's table of endpoints as a list of changes, from which each
/// gateway is told those that it does not know. A gateway that has read the
/// endpoints from the store itself is told only what changed since the holder
/// had read them: a large fleet that starts at once would otherwise wait for
/// the holder's link. Does no input or output.
class TableBook {
public:
  /// An endpoint's entry of that revision, sealed.
  using EntryOf =
      std::function<std::string(const std::string &id, uint64_t revision)>;
  /// What one beat may hold; it holds one entry at least.
  struct Room {
    size_t Entries = 0;
    size_t Bytes = 0;
  };

  TableBook(int64_t token, const KnownTable &before);

  /// Revisions of a holder are above this.
  static uint64_t firstRevision(int64_t token);

  /// Notes what an endpoint's entry says now; `anew`: some gateway does not
  /// know it as it is.
  void note(const std::string &id, std::string content, bool anew = false);
  /// Gives the entries that have been noted the revisions under which this VM
  /// knew them as a gateway.
  void goOn(const KnownTable &before);
  /// The entries are what the store's records up to `next` say, but for those
  /// of `others`.
  void noteListed(uint64_t next, const std::vector<std::string> &others);
  /// Adds to the answer to a report the entries that the gateway does not
  /// know: as many as there is room for, the others with the next beats.
  void tell(FleetLink::Beat &beat, const FleetLink::Report &report,
            const Room &room, const EntryOf &entryOf) const;

private:
  uint64_t knownTo(const FleetLink::Report &report) const;
  bool hasListed(const FleetLink::Report &report) const;
  void setRevision(const std::string &id, uint64_t revision);

  int64_t Token;
  uint64_t TakenOver;
  uint64_t Floor;
  uint64_t Lineage = 0;
  uint64_t Revision = 0;
  /// Revision at which the entry of an endpoint changed last, also of those
  /// that are gone; and the other way round.
  std::map<std::string, uint64_t> Revisions;
  std::set<std::pair<uint64_t, std::string>> Changes;
  std::map<std::string, std::string> Contents;
  /// End of the records of which the entries up to ListedRevision are made; 0
  /// if the holder has not read all.
  uint64_t ListedNext = 0;
  uint64_t ListedRevision = 0;
};

} // namespace Gateway

#endif // GATEWAY_TABLEBOOK_H
