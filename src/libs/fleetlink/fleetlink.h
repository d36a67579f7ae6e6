#ifndef FLEETLINK_FLEETLINK_H
#define FLEETLINK_FLEETLINK_H

/// Public header of the fleetlink library: the datagrams between the gateways
/// and the holder of the fleet's duty. Each may be lost, late or doubled.
#include "duty/duty.h"
#include "utils/outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace FleetLink {

/// Longest datagram that is sent; fits into one UDP packet.
constexpr size_t MaxDatagramBytes = 60000;

/// Revisions that are kept free below the one up to which a table is as the
/// store lists it; gateways that have read it themselves number its entries by
/// them.
constexpr uint64_t ListedRevisions = 1 << 20;

/// Short for a name, in messages that go often.
uint32_t keyOf(std::string_view name);

/// A gateway's account of a team's tokens, counted since its process started.
/// See Quota::TokenCounters.
struct TeamUse {
  /// Key of its name.
  uint32_t Team = 0;
  int64_t Spent = 0;
  int64_t Granted = 0;
  int64_t Asked = 0;
  int64_t First = 0;
  int64_t Wanted = 0;
};

/// Level of a team's bucket.
struct TeamLevel {
  /// Key of its name.
  uint32_t Team = 0;
  int32_t Level = 0;
};

/// Calls that wait at a gateway for a model or an adapter.
struct WaitingCalls {
  std::string Service;
  std::string Model;
  /// Empty for the model itself.
  std::string Adapter;
  uint32_t Calls = 0;
  uint32_t EarliestDeadlineMs = 0;
};

/// Calls of a model since the report before; in the first report to a holder,
/// of the last seconds, those long ago counted as part of one.
struct ModelCalls {
  std::string Service;
  std::string Model;
  /// Empty for the model itself.
  std::string Adapter;
  double Calls = 0;
};

/// Calls under way at an endpoint.
struct EndpointCalls {
  /// Key of its id.
  uint32_t Endpoint = 0;
  uint16_t Calls = 0;
};

/// An endpoint said that it does not hold what it was thought to hold.
struct Misplaced {
  std::string Endpoint;
  std::string Model;
  std::string Adapter;
};

/// An endpoint that was started then has said that it leaves.
struct LeavingEndpoint {
  std::string Endpoint;
  int64_t StartedUnixMs = 0;
};

/// A gateway to the holder.
struct Report {
  std::string Member;
  /// IP:PORT to answer to.
  std::string Address;
  /// Tells two processes of one VM apart.
  uint64_t Incarnation = 0;
  uint64_t Sequence = 0;
  /// Highest token of the duty that the gateway knows of.
  int64_t Token = 0;
  /// Line of the table that it knows, and the revision up to which.
  uint64_t Lineage = 0;
  uint64_t TableRevision = 0;
  bool TableComplete = false;
  /// Offset up to which it has read all of the endpoints' topic by itself; 0
  /// if it has not.
  uint64_t EndpointsNext = 0;
  /// How much of the holder's work the VM could bear, against others.
  uint8_t Strength = 0;
  /// Its newest call to the store has failed.
  bool StoreMissed = false;
  /// Stamp of the newest beat of the holder that it has, 0 for none, and how
  /// long ago that came: the report is no older.
  uint64_t BeatStampMs = 0;
  uint32_t BeatAgeMs = 0;
  bool Leaving = false;
  /// Those that changed since the newest report that was answered.
  std::vector<TeamUse> Teams;
  /// What the holder before has told, as of now; none once the present holder
  /// has answered.
  std::vector<TeamLevel> Levels;
  std::vector<WaitingCalls> Waiting;
  std::vector<ModelCalls> Calls;
  std::vector<EndpointCalls> Loads;
  std::vector<Misplaced> Bounces;
  /// Those that the holder has not told of.
  std::vector<LeavingEndpoint> LeavingEndpoints;
  /// Endpoints whose entries an earlier holder told and the present one may
  /// never have known.
  std::vector<std::string> Doubts;
};

/// A gateway asks the holder for tokens of teams, between its reports.
struct Ask {
  std::string Member;
  /// IP:PORT to answer to.
  std::string Address;
  uint64_t Incarnation = 0;
  /// Reports and asks are numbered together.
  uint64_t Sequence = 0;
  std::vector<TeamUse> Teams;
  /// As in reports.
  std::vector<TeamLevel> Levels;
};

/// Tokens of a team as the holder has counted them, with those of the report
/// or ask that is answered.
struct TeamTotal {
  /// Key of its name.
  uint32_t Team = 0;
  /// Level of the team's bucket.
  int32_t Level = 0;
  /// Tokens a second that callers want.
  uint32_t Demand = 0;
  /// What the gateway may spend, counted since its process started.
  int64_t Granted = 0;
};

/// The holder's answer to an ask.
struct Grant {
  int64_t Token = 0;
  uint64_t Incarnation = 0;
  uint64_t Sequence = 0;
  std::vector<TeamTotal> Teams;
};

struct AdapterEntry {
  std::string Name;
  /// 0: ready.
  uint32_t ReadyInMs = 0;
};

struct ModelEntry {
  std::string Name;
  /// 0: ready.
  uint32_t ReadyInMs = 0;
  std::vector<AdapterEntry> Adapters;
};

/// An endpoint as the holder knows it.
struct EndpointEntry {
  std::string Endpoint;
  /// Revision of the table at which it changed last.
  uint64_t Revision = 0;
  /// It is not listed any more; nothing else is said.
  bool Gone = false;
  bool Draining = false;
  std::string Service;
  /// IP:PORT.
  std::string Address;
  std::string FailureDomain;
  uint32_t Slots = 0;
  /// Start of the endpoint and count of its own reports, which tell old news.
  int64_t StartedUnixMs = 0;
  int64_t Sequence = 0;
  /// What an engine holds or is about to hold.
  std::vector<ModelEntry> Models;
};

/// The holder to a gateway.
struct Beat {
  std::string Holder;
  std::string Address;
  int64_t Token = 0;
  /// End of the duty's topic behind the holder's record, and the record's age.
  uint64_t RecordEnd = 0;
  uint32_t RecordAgeMs = 0;
  bool Released = false;
  /// Former holders as of now.
  std::vector<Duty::FormerHolder> Former;
  /// The holder's lease has run out and it goes on, as the store is away.
  bool ActsBeyondLease = false;
  /// The holder's newest call to the store has failed.
  bool StoreMissed = false;
  /// When the beat was made, by the holder's clock.
  uint64_t StampMs = 0;
  uint32_t Members = 0;
  /// Greatest strength among the gateways.
  uint8_t Strongest = 0;
  /// Incarnation and sequence of the newest report taken from the gateway.
  uint64_t Incarnation = 0;
  uint64_t Sequence = 0;
  std::vector<TeamTotal> Teams;
  /// Offset up to which the holder has read the operators' topic, and how long
  /// ago that was all.
  uint64_t OperatorsNext = 0;
  uint32_t OperatorsAgeMs = 0;
  /// How long ago the entries were all that the store lists.
  uint32_t EndpointsAgeMs = 0;
  /// Entries that changed since one revision of the table up to another, and
  /// whether that is its newest. Revisions of one lineage go on from holder to
  /// holder.
  uint64_t Lineage = 0;
  /// Revision of the table with which the holder took over.
  uint64_t TableTakenOver = 0;
  /// Of endpoints that were gone by this revision the table may say nothing.
  uint64_t TableFloor = 0;
  uint64_t TableSince = 0;
  uint64_t TableRevision = 0;
  bool TableComplete = false;
  /// Up to TableSince the table is what the gateway has read from the store.
  bool TableSinceListed = false;
  std::vector<EndpointEntry> Entries;
  /// The entries as they are sent; the same bytes go to many gateways. Entries
  /// is filled from them by openEntries().
  std::vector<std::string> SealedEntries;
  std::vector<EndpointCalls> Loads;
};

/// An entry as it is sent.
std::string sealEntry(const EndpointEntry &entry);
/// Decodes the entries of a beat; Corrupt if one is none.
Utils::Status openEntries(Beat &beat);

std::string encode(const Report &report);
std::string encode(const Beat &beat);
std::string encode(const Ask &ask);
std::string encode(const Grant &grant);

/// Levels as a holder notes them for its successors.
std::string encodeLevels(const std::vector<TeamLevel> &levels);
/// Corrupt if the bytes are none.
Utils::Outcome<std::vector<TeamLevel>> decodeLevels(std::string_view bytes);

using Datagram = std::variant<Report, Beat, Ask, Grant>;
/// Corrupt if the bytes are none.
Utils::Outcome<Datagram> decode(std::string_view bytes);

} // namespace FleetLink

#endif // FLEETLINK_FLEETLINK_H
