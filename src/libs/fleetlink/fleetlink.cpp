#include "fleetlink/fleetlink.h"

#include "codec/codec.h"
#include "duty/serialize.h"
#include "utils/digest.h"

namespace FleetLink {

template <class Archive> void serialize(Archive &archive, TeamUse &it) {
  archive(it.Team, it.Tokens);
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
template <class Archive> void serialize(Archive &archive, Misplaced &it) {
  archive(it.Endpoint, it.Model, it.Adapter);
}
template <class Archive> void serialize(Archive &archive, Report &it) {
  archive(it.Member, it.Address, it.Incarnation, it.Sequence, it.Token,
          it.Lineage, it.TableRevision, it.TableComplete, it.EndpointsNext,
          it.Strength, it.StoreMissed, it.BeatStampMs, it.BeatAgeMs, it.Leaving,
          it.Teams, it.Waiting, it.Calls, it.Loads, it.Bounces, it.Doubts);
}
template <class Archive> void serialize(Archive &archive, TeamTotal &it) {
  archive(it.Team, it.Level, it.Share);
}
template <class Archive> void serialize(Archive &archive, AdapterEntry &it) {
  archive(it.Name, it.ReadyInMs);
}
template <class Archive> void serialize(Archive &archive, ModelEntry &it) {
  archive(it.Name, it.ReadyInMs, it.Adapters);
}
template <class Archive> void serialize(Archive &archive, EndpointEntry &it) {
  archive(it.Endpoint, it.Revision, it.Gone, it.Draining, it.Service,
          it.Address, it.FailureDomain, it.Slots, it.StartedUnixMs, it.Sequence,
          it.Models);
}
template <class Archive> void serialize(Archive &archive, Beat &it) {
  archive(it.Holder, it.Address, it.Token, it.RecordEnd, it.RecordAgeMs,
          it.Released, it.Former, it.ActsBeyondLease, it.StoreMissed,
          it.StampMs, it.Members, it.Strongest, it.Incarnation, it.Sequence,
          it.Teams, it.OperatorsNext, it.OperatorsAgeMs, it.EndpointsAgeMs,
          it.Lineage, it.TableTakenOver, it.TableFloor, it.TableSince,
          it.TableRevision, it.TableComplete, it.TableSinceListed,
          it.SealedEntries, it.Loads);
}

namespace {

/// First byte of a datagram. Raised with each change of the messages, so that
/// gateways of two versions do not misread each other.
enum class Kind : char { Report = 4, Beat = 6 };

template <typename T> std::string encodeAs(Kind kind, const T &message) {
  return std::string(1, char(kind)) + Codec::encode(message);
}

} // namespace

uint32_t keyOf(std::string_view name) {
  return uint32_t(Utils::fastHash(name));
}

std::string sealEntry(const EndpointEntry &entry) {
  return Codec::encode(entry);
}

Utils::Status openEntries(Beat &beat) {
  beat.Entries.reserve(beat.SealedEntries.size());
  for (const std::string &it : beat.SealedEntries) {
    auto entry = Codec::decode<EndpointEntry>(it);
    if (!entry)
      return entry.error();
    beat.Entries.push_back(std::move(entry.value()));
  }
  beat.SealedEntries.clear();
  return Utils::success();
}

std::string encode(const Report &report) {
  return encodeAs(Kind::Report, report);
}

std::string encode(const Beat &beat) { return encodeAs(Kind::Beat, beat); }

Utils::Outcome<Datagram> decode(std::string_view bytes) {
  Datagram out;
  if (bytes.empty())
    return Utils::failure(Utils::Errc::Corrupt, "datagram: no bytes");
  std::string_view content = bytes.substr(1);
  if (bytes[0] == char(Kind::Report)) {
    auto report = Codec::decode<Report>(content);
    if (!report)
      return report.error();
    out.FromMember = std::move(report.value());
    return out;
  }
  if (bytes[0] != char(Kind::Beat))
    return Utils::failure(Utils::Errc::Corrupt, "datagram: unknown kind");
  auto beat = Codec::decode<Beat>(content);
  if (!beat)
    return beat.error();
  if (auto status = openEntries(beat.value()); !status)
    return status.error();
  out.FromHolder = std::move(beat.value());
  return out;
}

} // namespace FleetLink
