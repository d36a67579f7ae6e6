#include "fleetlink/fleetlink.h"

#include "codec/codec.h"
#include "duty/serialize.h"
#include "storeera/serialize.h"
#include "utils/digest.h"

#include <type_traits>

namespace FleetLink {

template <class Archive> void serialize(Archive &archive, TeamCall &it) {
  archive(it.Call, it.Hash, it.Tokens, it.PatienceMs);
}
template <class Archive> void serialize(Archive &archive, TeamDelay &it) {
  archive(it.Call, it.RetryAfterMs);
}
template <class Archive> void serialize(Archive &archive, TeamUsage &it) {
  archive(it.Team, it.Spent, it.Granted, it.Requested, it.FirstRequest,
          it.Demanded, it.Calls);
}
template <class Archive> void serialize(Archive &archive, TeamLevel &it) {
  archive(it.Team, it.Level);
}
template <class Archive> void serialize(Archive &archive, WaitingCalls &it) {
  archive(it.Service, it.Model, it.Adapter, it.Calls, it.EarliestDeadlineMs);
}
template <class Archive> void serialize(Archive &archive, ModelCalls &it) {
  archive(it.Service, it.Model, it.Adapter, it.Calls);
}
template <class Archive> void serialize(Archive &archive, EndpointCalls &it) {
  archive(it.Endpoint, it.Calls);
}
template <class Archive> void serialize(Archive &archive, ModelMiss &it) {
  archive(it.Endpoint, it.Model, it.Adapter);
}
template <class Archive> void serialize(Archive &archive, LeavingEndpoint &it) {
  archive(it.Endpoint, it.StartedUnixMs);
}
template <class Archive> void serialize(Archive &archive, EndpointLimit &it) {
  archive(it.Endpoint, it.Rate, it.AgeMs);
}
template <class Archive> void serialize(Archive &archive, SuspectCall &it) {
  archive(it.SentAgeMs, it.Parts);
}
template <class Archive> void serialize(Archive &archive, EndpointCrash &it) {
  archive(it.Endpoint, it.AgeMs, it.Suspects);
}
template <class Archive> void serialize(Archive &archive, PartAnswer &it) {
  archive(it.Part, it.AgeMs);
}
template <class Archive>
void serialize(Archive &archive, QuarantinedParts &it) {
  archive(it.Parts, it.RemainingMs, it.PeriodMs);
}
template <class Archive> void serialize(Archive &archive, Report &it) {
  archive(it.Member, it.Address, it.Incarnation, it.Sequence, it.Token,
          it.Lineage, it.TableRevision, it.TableComplete, it.EndpointsNext,
          it.Strength, it.StoreCallFailed, it.HeartbeatStampMs,
          it.HeartbeatAgeMs, it.Leaving, it.Teams, it.Levels, it.Waiting,
          it.Calls, it.Loads, it.ModelMisses, it.LeavingEndpoints,
          it.UnconfirmedEndpoints, it.Crashes, it.AnsweredParts, it.Quarantined,
          it.EndpointLimits, it.StoreEra, it.ConfigurationVersion,
          it.ConfigurationConfirmed);
}
template <class Archive> void serialize(Archive &archive, TeamGrant &it) {
  archive(it.Team, it.Level, it.Demand, it.Granted, it.Delays, it.QueueLength);
}
template <class Archive> void serialize(Archive &archive, GrantRequest &it) {
  archive(it.Member, it.Address, it.Incarnation, it.Sequence, it.Teams,
          it.Levels);
}
template <class Archive> void serialize(Archive &archive, Grant &it) {
  archive(it.Token, it.Incarnation, it.Sequence, it.Teams);
}
template <class Archive> void serialize(Archive &archive, AdapterEntry &it) {
  archive(it.Name, it.ReadyInMs);
}
template <class Archive> void serialize(Archive &archive, ModelEntry &it) {
  archive(it.Name, it.ReadyInMs, it.Adapters);
}
template <class Archive> void serialize(Archive &archive, EndpointEntry &it) {
  archive(it.Endpoint, it.Revision, it.Removed, it.Draining, it.Service,
          it.Address, it.FailureDomain, it.Slots, it.StartedUnixMs, it.Sequence,
          it.Models, it.ColdInMs);
}
template <class Archive> void serialize(Archive &archive, Heartbeat &it) {
  archive(it.Holder, it.Address, it.Token, it.RecordEnd, it.RecordAgeMs,
          it.Released, it.Former, it.ActsBeyondLease, it.StoreCallFailed,
          it.StampMs, it.Members, it.MaxStrength, it.Incarnation, it.Sequence,
          it.Teams, it.OperatorsNext, it.OperatorsAgeMs, it.EndpointsAgeMs,
          it.Lineage, it.TableTakeoverRevision, it.TableTombstoneFloor,
          it.TableBaseRevision, it.TableRevision, it.TableComplete,
          it.TableBaseFromStore, it.EncodedEntries, it.Loads, it.Quarantined,
          it.WatchedParts, it.LimitsRevision, it.EndpointLimits, it.StoreEra,
          it.RecordEra, it.ConfigurationVersion, it.ConfigurationAddress,
          it.ConfigurationConfirmed, it.EndpointsNext);
}
template <class Archive>
void serialize(Archive &archive, ConfigurationQuestion &it) {
  archive(it.Address, it.Incarnation);
}
template <class Archive>
void serialize(Archive &archive, ConfigurationAnswer &it) {
  archive(it.Address, it.Incarnation, it.StoreEra, it.ConfigurationVersion,
          it.ConfigurationConfirmed);
}
template <class Archive> void serialize(Archive &archive, RecordState &it) {
  archive(it.Next, it.Digest, it.InEra);
}
template <class Archive> void serialize(Archive &archive, RecordRequest &it) {
  archive(it.Address, it.Incarnation, it.Transfer, it.State, it.Fragment);
}
template <class Archive> void serialize(Archive &archive, RecordFragment &it) {
  archive(it.Incarnation, it.Transfer, it.State, it.AgeMs, it.Fragment,
          it.Fragments, it.Bytes);
}

namespace {

/// First byte of a datagram. A message gets a new value with each change of its
/// format, so that gateways of two versions do not misread each other.
enum class Kind : char {
  RecordRequest = 11,
  RecordFragment = 12,
  GrantRequest = 13,
  Grant = 14,
  Report = 17,
  ConfigurationQuestion = 19,
  ConfigurationAnswer = 20,
  Heartbeat = 21
};

template <typename T> std::string encodeAs(Kind kind, const T &message) {
  return std::string(1, char(kind)) + Codec::encode(message);
}

} // namespace

uint32_t hashName(std::string_view name) {
  return uint32_t(Utils::fastHash(name));
}

std::string endpointLimitName(uint32_t endpoint) {
  return "endpoint/" + std::to_string(endpoint);
}

std::string encodeEntry(const EndpointEntry &entry) {
  return Codec::encode(entry);
}

Utils::Status decodeEntries(Heartbeat &heartbeat) {
  heartbeat.Entries.reserve(heartbeat.EncodedEntries.size());
  for (const std::string &it : heartbeat.EncodedEntries) {
    auto entry = Codec::decode<EndpointEntry>(it);
    if (!entry)
      return entry.error();
    heartbeat.Entries.push_back(std::move(entry.value()));
  }
  heartbeat.EncodedEntries.clear();
  return Utils::success();
}

std::string encode(const Report &report) {
  return encodeAs(Kind::Report, report);
}

std::string encode(const Heartbeat &heartbeat) {
  return encodeAs(Kind::Heartbeat, heartbeat);
}

std::string encodeLevels(const std::vector<TeamLevel> &levels) {
  return Codec::encode(levels);
}

Utils::Outcome<std::vector<TeamLevel>> decodeLevels(std::string_view bytes) {
  return Codec::decode<std::vector<TeamLevel>>(bytes);
}

std::string encode(const GrantRequest &request) {
  return encodeAs(Kind::GrantRequest, request);
}

std::string encode(const Grant &grant) { return encodeAs(Kind::Grant, grant); }

std::string encode(const RecordRequest &request) {
  return encodeAs(Kind::RecordRequest, request);
}

std::string encode(const RecordFragment &fragment) {
  return encodeAs(Kind::RecordFragment, fragment);
}

std::string encode(const ConfigurationQuestion &question) {
  return encodeAs(Kind::ConfigurationQuestion, question);
}

std::string encode(const ConfigurationAnswer &answer) {
  return encodeAs(Kind::ConfigurationAnswer, answer);
}

namespace {

template <typename T> Utils::Outcome<Datagram> decodeAs(std::string_view text) {
  auto message = Codec::decode<T>(text);
  if (!message)
    return message.error();
  if constexpr (std::is_same_v<T, Heartbeat>)
    if (auto status = decodeEntries(message.value()); !status)
      return status.error();
  return Datagram(std::move(message.value()));
}

} // namespace

Utils::Outcome<Datagram> decode(std::string_view bytes) {
  if (bytes.empty())
    return Utils::failure(Utils::Errc::Corrupt, "datagram: empty");
  std::string_view content = bytes.substr(1);
  switch (Kind(bytes[0])) {
  case Kind::Report:
    return decodeAs<Report>(content);
  case Kind::Heartbeat:
    return decodeAs<Heartbeat>(content);
  case Kind::GrantRequest:
    return decodeAs<GrantRequest>(content);
  case Kind::Grant:
    return decodeAs<Grant>(content);
  case Kind::RecordRequest:
    return decodeAs<RecordRequest>(content);
  case Kind::RecordFragment:
    return decodeAs<RecordFragment>(content);
  case Kind::ConfigurationQuestion:
    return decodeAs<ConfigurationQuestion>(content);
  case Kind::ConfigurationAnswer:
    return decodeAs<ConfigurationAnswer>(content);
  }
  return Utils::failure(Utils::Errc::Corrupt, "datagram: unknown message kind");
}

} // namespace FleetLink
