#ifndef FLEET_ENDPOINTS_H
#define FLEET_ENDPOINTS_H

#include "storeera/storeera.h"
#include "utils/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Fleet {

using Utils::TimePoint;

/// State that an endpoint reports.
enum class EndpointState : uint8_t { Ready, Draining };

/// A model loaded by an endpoint, with its loaded adapters.
struct ResidentModel {
  std::string Name;
  int64_t Version = 0;
  std::vector<std::string> Adapters;
};

/// State report that an endpoint publishes about itself.
struct EndpointReport {
  std::string Id;
  std::string Service;
  /// IP:PORT.
  std::string Address;
  std::string FailureDomain;
  EndpointState State = EndpointState::Ready;
  uint32_t Slots = 0;
  /// Remaining warm-up time, during which the endpoint is slower.
  Utils::Milliseconds ColdRemaining{0};
  /// Start time of the process in Unix milliseconds; distinguishes restarts
  /// under the same id.
  int64_t StartedUnixMs = 0;
  /// Increases with every report of the same process.
  int64_t Sequence = 0;
  std::vector<ResidentModel> Models;
  /// Models whose weights are cached in host memory and on disk.
  std::vector<std::string> InMemory;
  std::vector<std::string> OnDisk;
};

/// What a list of the endpoints is based on: reads of their topic in the
/// platform's store that began at From and ended at To. It has all records
/// before From, and none from To on. Offset 0: not known.
struct Listing {
  StoreEra::Position From;
  StoreEra::Position To;
};

/// An endpoint with its latest report.
struct Endpoint {
  EndpointReport Report;
  /// When this VM received the report.
  TimePoint ReportedAt;
  /// The endpoint announced its shutdown in a response; overrides its reported
  /// state.
  bool Leaving = false;
  /// End of the warm-up by the report, counted from its receipt; the epoch if
  /// the endpoint is warm.
  TimePoint ColdUntil{};
  /// Newest position of the topic at which the report is known to be listed.
  StoreEra::Position ListedAt{};

  /// Whether the endpoint accepts new requests.
  bool isReady() const {
    return Report.State == EndpointState::Ready && !Leaving;
  }

  bool hasModel(const std::string &model) const;
  bool hasAdapter(const std::string &model, const std::string &adapter) const;
};

/// The endpoints that the platform lists, by id. Ignores stale and duplicate
/// reports. Reports and removals come by reads of the store and by other
/// gateways' lists, in any order: neither outvotes what a later position of the
/// topic shows.
class EndpointTable {
public:
  /// Applies a report unless it is stale, that is, not newer than the last one
  /// applied for the endpoint, which may have been removed since. A report in a
  /// list that may not know of the endpoint's removal is withheld. Returns
  /// whether it was applied.
  bool update(EndpointReport report, TimePoint now,
              const Listing &listing = {});
  /// Newest reports that were withheld, by id, unless a removal followed.
  const std::map<std::string, EndpointReport> &withheld() const {
    return Withheld;
  }
  /// Marks the endpoint as shutting down if it still is the process started at
  /// `startedUnixMs`. Returns whether that changed its state.
  bool markLeaving(const std::string &id, int64_t startedUnixMs);
  /// Removes an endpoint that the list no longer has, unless it is known to be
  /// listed later. Returns whether it was removed.
  bool remove(const std::string &id, TimePoint now,
              const Listing &listing = {});

  const Endpoint *find(const std::string &id) const;
  const std::map<std::string, Endpoint> &all() const { return Endpoints; }
  /// Increases with every change of the table.
  uint64_t revision() const { return Revision; }

private:
  /// Last known state of a removed endpoint.
  struct Tombstone {
    int64_t StartedUnixMs = 0;
    int64_t Sequence = 0;
    TimePoint RemovedAt;
    bool Leaving = false;
    /// Position of the topic at which the removal is known.
    StoreEra::Position KnownAt;
  };
  bool isStale(const EndpointReport &report) const;
  bool mayMissRemoval(const std::string &id, const Listing &listing) const;
  bool isLeaving(const EndpointReport &report) const;
  void expireTombstones(TimePoint now);

  std::map<std::string, Endpoint> Endpoints;
  std::unordered_map<std::string, Tombstone> Tombstones;
  std::map<std::string, EndpointReport> Withheld;
  uint64_t Revision = 0;
};

} // namespace Fleet

#endif // FLEET_ENDPOINTS_H
