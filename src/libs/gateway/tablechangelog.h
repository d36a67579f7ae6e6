#ifndef GATEWAY_TABLECHANGELOG_H
#define GATEWAY_TABLECHANGELOG_H

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
  /// Identifies a series of revisions, which successive holders continue.
  uint64_t Lineage = 0;
  /// Revision up to which the entries are known; 0 for none.
  uint64_t Revision = 0;
  /// Removals up to this revision may be missing from Revisions.
  uint64_t TombstoneFloor = 0;
  /// Revision of each entry, also of removed endpoints. No two are equal.
  std::map<std::string, uint64_t> Revisions;
};

/// The holder's table of endpoints as a log of changes, from which each gateway
/// is sent those that it does not know. A gateway that has read the endpoints
/// from the store itself is sent only what has changed since the holder read
/// them: a large fleet that starts at once would otherwise wait for the
/// holder's link. Does no input or output.
class TableChangelog {
public:
  /// Returns the encoded entry of an endpoint with that revision.
  using EncodeEntry =
      std::function<std::string(const std::string &id, uint64_t revision)>;
  /// Limits on the entries of one heartbeat; the first one is always sent.
  struct HeartbeatLimits {
    size_t Entries = 0;
    size_t Bytes = 0;
  };

  TableChangelog(int64_t token, const KnownTable &before);

  /// Lower bound of the revisions that the holder with this token assigns.
  static uint64_t firstRevision(int64_t token);

  /// Sets the content of an endpoint's entry. `force`: assigns a new revision
  /// even if the content is the same, as some gateway has another one.
  void update(const std::string &id, std::string content, bool force = false);
  /// Gives the entries the revisions that this VM knew as a member.
  void adoptRevisions(const KnownTable &before);
  /// The entries match the store's records up to `next`, except those of
  /// `exceptions`.
  void markReadFromStore(const StoreEra::Position &next,
                         const std::vector<std::string> &exceptions);
  /// Adds the entries that the gateway does not know to the answer to its
  /// report, within the limits; the rest follows with the next heartbeats.
  void addChanges(FleetLink::Heartbeat &heartbeat,
                  const FleetLink::Report &report,
                  const HeartbeatLimits &limits,
                  const EncodeEntry &encodeEntry) const;

private:
  uint64_t knownRevision(const FleetLink::Report &report) const;
  bool hasReadStore(const FleetLink::Report &report) const;
  void setRevision(const std::string &id, uint64_t revision);

  int64_t Token;
  uint64_t TakeoverRevision;
  uint64_t TombstoneFloor;
  uint64_t Lineage = 0;
  uint64_t Revision = 0;
  /// Revision at which each endpoint's entry last changed, also of removed
  /// endpoints; and the same ordered by revision.
  std::map<std::string, uint64_t> Revisions;
  std::set<std::pair<uint64_t, std::string>> Changes;
  std::map<std::string, std::string> Contents;
  /// Position up to which the store was read for the entries up to
  /// StoreReadRevision; offset 0 if the holder has not read all records.
  StoreEra::Position StoreRead;
  uint64_t StoreReadRevision = 0;
};

} // namespace Gateway

#endif // GATEWAY_TABLECHANGELOG_H
