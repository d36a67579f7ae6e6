#ifndef FLEETLINK_FLEETLINK_H
#define FLEETLINK_FLEETLINK_H

/// Public header of the fleetlink library: the datagrams between the gateways
/// and the holder of the fleet's duty. Each may be lost, delayed or duplicated.
#include "duty/duty.h"
#include "storeera/storeera.h"
#include "utils/outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace FleetLink {

/// Maximum size of a datagram; fits into one UDP packet.
constexpr size_t MaxDatagramBytes = 60000;

/// Revisions reserved below the one up to which a table matches the store;
/// gateways that have read the store themselves assign them to its entries.
constexpr uint64_t ReservedRevisions = 1 << 20;

/// Hash that stands for a name in messages that are sent often.
uint32_t hashName(std::string_view name);

/// Name of the rate limit on the calls to an endpoint. It is enforced like a
/// team's, with one token for each call.
std::string endpointLimitName(uint32_t endpoint);

/// A call that waits for tokens of a team. See Quota::QueuedCall.
struct TeamCall {
  uint64_t Call = 0;
  uint64_t Hash = 0;
  int64_t Tokens = 0;
  uint32_t PatienceMs = 0;
};

/// Delay after which a rejected call may be repeated.
struct TeamDelay {
  uint64_t Call = 0;
  uint32_t RetryAfterMs = 0;
};

/// A gateway's counters of a team's tokens since its process started. See
/// Quota::TokenCounters.
struct TeamUsage {
  /// Hash of its name.
  uint32_t Team = 0;
  int64_t Spent = 0;
  int64_t Granted = 0;
  int64_t Requested = 0;
  int64_t FirstRequest = 0;
  int64_t Demanded = 0;
  /// Calls that wait for the tokens.
  std::vector<TeamCall> Calls{};
};

/// Level of a team's token bucket.
struct TeamLevel {
  /// Hash of its name.
  uint32_t Team = 0;
  int32_t Level = 0;
};

/// Calls queued at a gateway for a model or an adapter.
struct WaitingCalls {
  std::string Service;
  std::string Model;
  /// Empty for the model itself.
  std::string Adapter;
  uint32_t Calls = 0;
  uint32_t EarliestDeadlineMs = 0;
};

/// Calls of a model since the previous report. In the first report to a holder:
/// calls of the last seconds, weighted less the older they are.
struct ModelCalls {
  std::string Service;
  std::string Model;
  /// Empty for the model itself.
  std::string Adapter;
  double Calls = 0;
};

/// Calls in flight at an endpoint.
struct EndpointCalls {
  /// Hash of its id.
  uint32_t Endpoint = 0;
  uint16_t Calls = 0;
};

/// An endpoint has rejected a call because it does not hold the model or
/// adapter that the table says it holds.
struct ModelMiss {
  std::string Endpoint;
  std::string Model;
  std::string Adapter;
};

/// An endpoint, identified also by its start time, that has announced that it
/// leaves.
struct LeavingEndpoint {
  std::string Endpoint;
  int64_t StartedUnixMs = 0;
};

/// A limit on the calls that an endpoint takes from all gateways together.
struct EndpointLimit {
  /// Hash of its id.
  uint32_t Endpoint = 0;
  /// Calls per second; 0 if the endpoint has stopped naming a limit.
  double Rate = 0;
  /// Time since an answer of the endpoint said so.
  uint32_t AgeMs = 0;
};

/// A call that an endpoint had not begun to answer when it crashed.
struct SuspectCall {
  /// Time since it was sent.
  uint32_t SentAgeMs = 0;
  /// Hashes of the prompt parts that it shares with other calls.
  std::vector<uint64_t> Parts;
};

/// A crash of an endpoint.
struct EndpointCrash {
  /// Hash of its id.
  uint32_t Endpoint = 0;
  uint32_t AgeMs = 0;
  std::vector<SuspectCall> Suspects;
};

/// The newest answer to a call with the prompt part.
struct PartAnswer {
  uint64_t Part = 0;
  /// Time since the answer began.
  uint32_t AgeMs = 0;
};

/// Calls with all of these prompt parts are not sent to endpoints.
struct QuarantinedParts {
  std::vector<uint64_t> Parts;
  uint32_t RemainingMs = 0;
  /// See Quarantine::Entry::Period.
  uint32_t PeriodMs = 0;
};

/// Periodic message of a gateway to the holder.
struct Report {
  std::string Member;
  /// IP:PORT for the answer.
  std::string Address;
  /// Distinguishes successive processes of one VM.
  uint64_t Incarnation = 0;
  uint64_t Sequence = 0;
  /// Highest token of the duty that the gateway knows of.
  int64_t Token = 0;
  /// Lineage of the table that the gateway knows, and the revision up to which
  /// it knows it.
  uint64_t Lineage = 0;
  uint64_t TableRevision = 0;
  bool TableComplete = false;
  /// Highest era of the store that the gateway knows, and the offset in it up
  /// to which it has itself read the whole endpoints' topic; 0 if it has not.
  StoreEra::Era StoreEra;
  uint64_t EndpointsNext = 0;
  /// Version of the configuration in force; 0 before the first.
  uint64_t ConfigurationVersion = 0;
  /// The gateway knows that the fleet had no newer one when it started.
  bool ConfigurationConfirmed = false;
  /// Capacity of the VM for the holder's work, relative to other VMs.
  uint8_t Strength = 0;
  /// The gateway's newest call to the store has failed.
  bool StoreCallFailed = false;
  /// StampMs of the newest heartbeat that the gateway has received, 0 for none,
  /// and the time since its arrival: a bound on the report's age.
  uint64_t HeartbeatStampMs = 0;
  uint32_t HeartbeatAgeMs = 0;
  bool Leaving = false;
  /// Those that changed since the newest acknowledged report.
  std::vector<TeamUsage> Teams;
  /// Levels that the previous holder has sent, extrapolated to now; none once
  /// the present holder has answered.
  std::vector<TeamLevel> Levels;
  std::vector<WaitingCalls> Waiting;
  std::vector<ModelCalls> Calls;
  std::vector<EndpointCalls> Loads;
  std::vector<ModelMiss> ModelMisses;
  /// Those that the holder has not yet listed as draining.
  std::vector<LeavingEndpoint> LeavingEndpoints;
  /// Endpoints whose entries an earlier holder sent and the present one may
  /// never have known.
  std::vector<std::string> UnconfirmedEndpoints;
  /// Those that the holder has not acknowledged.
  std::vector<EndpointCrash> Crashes;
  /// Of the parts that the holder watches.
  std::vector<PartAnswer> AnsweredParts;
  /// Quarantines that the gateway knows, for a new holder.
  std::vector<QuarantinedParts> Quarantined;
  /// Those that the holder may not know as this gateway does.
  std::vector<EndpointLimit> EndpointLimits;
  /// Heartbeat::LimitsRevision of the newest list that the gateway has
  /// received.
  uint64_t LimitsRevision = 0;
};

/// Request of a gateway to the holder for tokens of teams, between its reports.
struct GrantRequest {
  std::string Member;
  /// IP:PORT for the answer.
  std::string Address;
  uint64_t Incarnation = 0;
  /// Reports and grant requests share one sequence.
  uint64_t Sequence = 0;
  std::vector<TeamUsage> Teams;
  /// As in Report.
  std::vector<TeamLevel> Levels;
};

/// State of a team's token bucket at the holder, with what the answered report
/// or grant request has said.
struct TeamGrant {
  /// Hash of its name.
  uint32_t Team = 0;
  /// Level of the team's bucket.
  int32_t Level = 0;
  /// Tokens per second that callers request.
  uint32_t Demand = 0;
  /// Tokens granted to the gateway since its process started.
  int64_t Granted = 0;
  /// Of the listed calls that are rejected.
  std::vector<TeamDelay> Delays{};
  /// Reservations in the team's virtual queue.
  uint32_t QueueLength = 0;
};

/// The holder's answer to a grant request.
struct Grant {
  int64_t Token = 0;
  uint64_t Incarnation = 0;
  uint64_t Sequence = 0;
  std::vector<TeamGrant> Teams;
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

/// Entry of an endpoint in the holder's table.
struct EndpointEntry {
  std::string Endpoint;
  /// Revision of the table at which the entry last changed.
  uint64_t Revision = 0;
  /// The endpoint was removed; the other fields are not set.
  bool Removed = false;
  bool Draining = false;
  std::string Service;
  /// IP:PORT.
  std::string Address;
  std::string FailureDomain;
  uint32_t Slots = 0;
  /// Start time of the endpoint and sequence of its own report; they order the
  /// reports by age.
  int64_t StartedUnixMs = 0;
  int64_t Sequence = 0;
  /// Models that an engine holds or loads.
  std::vector<ModelEntry> Models;
  /// Remaining warm-up time of the endpoint; 0: warm.
  uint32_t ColdInMs = 0;
};

/// Heartbeat of the holder to a gateway; answers the gateway's report.
struct Heartbeat {
  std::string Holder;
  std::string Address;
  int64_t Token = 0;
  /// End of the duty's topic behind the holder's record, and the record's age.
  uint64_t RecordEnd = 0;
  /// Era of the store in which the record was written.
  StoreEra::Era RecordEra;
  uint32_t RecordAgeMs = 0;
  bool Released = false;
  /// Former holders, with their ages as of now.
  std::vector<Duty::FormerHolder> Former;
  /// The holder's lease has expired, and it continues because the store is
  /// unavailable.
  bool ActsBeyondLease = false;
  /// The holder's newest call to the store has failed.
  bool StoreCallFailed = false;
  /// Time at which the heartbeat was made, by the holder's clock.
  uint64_t StampMs = 0;
  uint32_t Members = 0;
  /// Greatest Report::Strength among the gateways.
  uint8_t MaxStrength = 0;
  /// Incarnation and sequence of the newest report received from the gateway.
  uint64_t Incarnation = 0;
  uint64_t Sequence = 0;
  std::vector<TeamGrant> Teams;
  /// Highest era of the store that the holder knows; the offsets are of it.
  StoreEra::Era StoreEra;
  /// Newest version of the configuration that is in force at any gateway, and
  /// the address of one where it is.
  uint64_t ConfigurationVersion = 0;
  std::string ConfigurationAddress;
  /// As in Report, of the holder's own version.
  bool ConfigurationConfirmed = false;
  /// Offset up to which the holder has read the operators' topic, and the time
  /// since that was the topic's end.
  uint64_t OperatorsNext = 0;
  uint32_t OperatorsAgeMs = 0;
  /// Offset up to which the holder has read the endpoints' topic, which the
  /// entries match; 0 if it has not read all of it.
  uint64_t EndpointsNext = 0;
  /// Time since the entries matched the store.
  uint32_t EndpointsAgeMs = 0;
  /// Entries holds the changes after TableBaseRevision up to TableRevision;
  /// TableComplete says whether that is the newest one. Successive holders
  /// continue the revisions of a lineage.
  uint64_t Lineage = 0;
  /// Revision of the table from which the holder started.
  uint64_t TableTakeoverRevision = 0;
  /// Removals up to this revision may be missing from the table.
  uint64_t TableTombstoneFloor = 0;
  uint64_t TableBaseRevision = 0;
  uint64_t TableRevision = 0;
  bool TableComplete = false;
  /// Up to TableBaseRevision the table is what the gateway has itself read from
  /// the store.
  bool TableBaseFromStore = false;
  std::vector<EndpointEntry> Entries;
  /// The entries as they are sent; the same bytes are sent to many gateways.
  /// decodeEntries() fills Entries from them.
  std::vector<std::string> EncodedEntries;
  std::vector<EndpointCalls> Loads;
  /// All quarantines in force.
  std::vector<QuarantinedParts> Quarantined;
  /// Parts about whose answers the holder asks.
  std::vector<uint64_t> WatchedParts;
  /// Number of the holder's list of endpoints' limits, which changes with the
  /// list and with the holder.
  uint64_t LimitsRevision = 0;
  /// The list, if the gateway has not received it yet: the newest limit of each
  /// endpoint.
  std::vector<EndpointLimit> EndpointLimits;
};

/// Question of a gateway that starts for the version of the configuration that
/// another one has in force.
struct ConfigurationQuestion {
  /// IP:PORT for the answer.
  std::string Address;
  uint64_t Incarnation = 0;
};

struct ConfigurationAnswer {
  /// IP:PORT of the gateway that answers.
  std::string Address;
  /// Of the gateway that has asked.
  uint64_t Incarnation = 0;
  /// Highest era of the store that the gateway knows.
  StoreEra::Era StoreEra;
  /// As in Report.
  uint64_t ConfigurationVersion = 0;
  bool ConfigurationConfirmed = false;
};

/// State of the operators' topic at a gateway.
struct RecordState {
  /// Offset up to which the topic was read.
  uint64_t Next = 0;
  /// Hash of the encoded records. Reads of a snapshot may differ at one offset,
  /// as its pages are not read at the same time.
  uint64_t Digest = 0;
  /// Era of the store to which Next belongs.
  StoreEra::Era InEra{};
  bool operator==(const RecordState &) const = default;
};

/// Request of a gateway to another one for a fragment of the operators'
/// records.
struct RecordRequest {
  /// IP:PORT for the answer.
  std::string Address;
  uint64_t Incarnation = 0;
  /// Number of the transfer in the gateway's process.
  uint64_t Transfer = 0;
  /// State to which the fragments received so far belong; not set before the
  /// first.
  RecordState State;
  uint32_t Fragment = 0;
};

/// Fragment of a gateway's operators' records.
struct RecordFragment {
  /// As in the request.
  uint64_t Incarnation = 0;
  uint64_t Transfer = 0;
  RecordState State;
  /// Time since the records were complete by a read of the store, when the
  /// answer was sent.
  uint32_t AgeMs = 0;
  uint32_t Fragment = 0;
  /// Number of fragments of this state.
  uint32_t Fragments = 0;
  std::string Bytes;
};

/// Encodes an entry as it is sent.
std::string encodeEntry(const EndpointEntry &entry);
/// Decodes the entries of a heartbeat; Corrupt if one is malformed.
Utils::Status decodeEntries(Heartbeat &heartbeat);

std::string encode(const Report &report);
std::string encode(const Heartbeat &heartbeat);
std::string encode(const GrantRequest &request);
std::string encode(const Grant &grant);
std::string encode(const RecordRequest &request);
std::string encode(const RecordFragment &fragment);
std::string encode(const ConfigurationQuestion &question);
std::string encode(const ConfigurationAnswer &answer);

/// Encodes levels as a holder stores them for its successors.
std::string encodeLevels(const std::vector<TeamLevel> &levels);
/// Corrupt if the bytes are malformed.
Utils::Outcome<std::vector<TeamLevel>> decodeLevels(std::string_view bytes);

using Datagram =
    std::variant<Report, Heartbeat, GrantRequest, Grant, RecordRequest,
                 RecordFragment, ConfigurationQuestion, ConfigurationAnswer>;
/// Corrupt if the bytes are malformed.
Utils::Outcome<Datagram> decode(std::string_view bytes);

} // namespace FleetLink

#endif // FLEETLINK_FLEETLINK_H
