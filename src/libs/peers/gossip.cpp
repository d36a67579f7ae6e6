#include "peers/gossip.h"
#include "peers/gossipcore.h"
#include "peers/peersconstants.h"

#include <algorithm>
#include <array>

namespace Peers {

namespace C = Constants;

using Internal::GossipKind;
using Internal::GossipMessage;
using Internal::Probe;
using Utils::TimePoint;

namespace {

constexpr std::array<std::string_view, 4> StatusNames = {"alive", "suspect",
                                                         "dead", "left"};

} // namespace

std::string_view memberStatusName(MemberStatus status) {
  return StatusNames[static_cast<size_t>(status)];
}

Gossip::Content::Content(const GossipOptions &options)
    : Options(options),
      Key(Internal::deriveKey(options.ClusterSecret, "peer udp")),
      Members(options), Random(options.RandomSeed), Boot(Random()) {}

const std::vector<std::string> &Gossip::Content::roster() {
  if (RosterOf == Members.changes())
    return AllNames;
  RosterOf = Members.changes();
  std::vector<std::string> names = Members.reachable();
  for (const auto &[name, where] : Roster)
    names.push_back(name);
  names.push_back(Options.Name);
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  AllNamesDigest = Internal::rosterDigest(names);
  AllNames = std::move(names);
  return AllNames;
}

/// Only answers are believed, since their age counts from the question.
void Gossip::Content::addEvidence(GossipMessage &message, TimePoint now) {
  std::optional<LogReading> best = Members.Report.Newest;
  if (Newest)
    best = mergeReadings(best, *Newest);
  if (best) {
    message.ReadingAgeMs = ageOf(best->At, now);
    message.ReadingEnd = best->End;
  }
  if (Members.Report.LostSince)
    Outages.note(Options.Name, now);
  if (!Outages.isFresh(now))
    return;
  const std::vector<std::string> &names = roster();
  message.RosterDigest = AllNamesDigest;
  message.OutageAges = Outages.encode(names, now);
}

Datagram Gossip::Content::compose(GossipMessage message, const Address &where,
                                  TimePoint now, int64_t wallMs) {
  message.Mark = {Boot, ++Sequence, wallMs};
  if (message.Kind == GossipKind::Ack)
    addEvidence(message, now);
  message.Self = Members.self(now);
  size_t used = Internal::DatagramOverheadBytes + Codec::encode(message).size();
  if (used < C::MaxDatagramBytes)
    message.Updates =
        Members.piggyback(message.To, C::MaxDatagramBytes - used, now, Random);
  return {where, Internal::sealDatagram(Key, Codec::encode(message))};
}

std::optional<GossipMessage> Gossip::Content::admit(std::string_view bytes,
                                                    int64_t wallMs) {
  if (bytes.size() > C::MaxDatagramBytes) {
    ++Counters.Oversized;
    return std::nullopt;
  }
  std::optional<std::string> plain = Internal::openDatagram(Key, bytes);
  if (!plain) {
    ++Counters.Forged;
    return std::nullopt;
  }
  auto message = Codec::decode<GossipMessage>(*plain);
  if (!message || !Internal::isWellFormed(*message)) {
    ++Counters.Malformed;
    return std::nullopt;
  }
  const std::string &from = message->Self.Name;
  bool forMe = message->To.empty() || message->To == Options.Name;
  bool known = Windows.count(from) || Windows.size() < C::MaxKnownMembers;
  if (from == Options.Name || !forMe || !known ||
      !Windows[from].admit(message->Mark, wallMs)) {
    ++Counters.Replayed;
    return std::nullopt;
  }
  return std::move(message.value());
}

void Gossip::Content::takeEvidence(const GossipMessage &in, const Probe &probe,
                                   TimePoint now) {
  if (in.ReadingAgeMs != NoAge) {
    LogReading reading{probe.SentAt - slowestClock(in.ReadingAgeMs),
                       in.ReadingEnd};
    Newest = mergeReadings(Newest, reading);
  }
  if (in.Self.LogLostAgeMs != NoAge)
    Outages.note(in.Self.Name, probe.SentAt);
  if (in.OutageAges.empty())
    return;
  const std::vector<std::string> &names = roster();
  if (in.RosterDigest == AllNamesDigest && in.OutageAges.size() == names.size())
    Outages.merge(names, in.OutageAges, probe.SentAt);
  Outages.forget(now);
}

std::vector<Datagram> Gossip::Content::onAck(const GossipMessage &in,
                                             TimePoint now, int64_t wallMs) {
  auto relay = Relays.find(in.ProbeId);
  if (relay != Relays.end() && relay->second.Target == in.Self.Name) {
    GossipMessage message;
    message.Kind = GossipKind::Ack;
    message.To = relay->second.Requester;
    message.ProbeId = relay->second.ProbeId;
    message.TargetName = in.Self.Name;
    Address where = relay->second.Where;
    Relays.erase(relay);
    Probes.erase(in.ProbeId);
    return {compose(std::move(message), where, now, wallMs)};
  }
  auto it = Probes.find(in.ProbeId);
  if (it == Probes.end())
    return {};
  const std::string &target = it->second.Target;
  if (!target.empty() && target != in.Self.Name && target != in.TargetName)
    return {};
  takeEvidence(in, it->second, now);
  LocalHealth -= LocalHealth > 0 ? 1 : 0;
  Probes.erase(it);
  return {};
}

std::vector<Datagram> Gossip::Content::answer(const GossipMessage &in,
                                              TimePoint now, int64_t wallMs) {
  switch (in.Kind) {
  case GossipKind::Ping: {
    GossipMessage message;
    message.Kind = GossipKind::Ack;
    message.To = in.Self.Name;
    message.ProbeId = in.ProbeId;
    return {compose(std::move(message), in.Self.Where, now, wallMs)};
  }
  case GossipKind::PingRequest: {
    if (Relays.size() >= C::MaxPendingProbes)
      return {};
    Datagram out = ping(in.TargetName, in.Target, now, wallMs);
    Probes.erase(LastProbeId);
    Relays[LastProbeId] = {in.Self.Name, in.Self.Where, in.ProbeId,
                           in.TargetName, now + Options.Period};
    return {out};
  }
  case GossipKind::Ack:
    return onAck(in, now, wallMs);
  case GossipKind::Farewell:
    return {};
  }
  return {};
}

Gossip::Gossip(const GossipOptions &options)
    : Data(std::make_unique<Content>(options)) {}

Gossip::~Gossip() = default;

void Gossip::setReport(const LogReport &report) {
  Data->Members.Report = report;
}

void Gossip::setRoster(std::map<std::string, Address> daemons) {
  if (Data->Roster == daemons)
    return;
  Data->Roster = std::move(daemons);
  Data->RosterOf = 0;
}

std::vector<Datagram> Gossip::onTick(TimePoint now, int64_t wallMs) {
  Data->Members.expire(now);
  std::vector<Datagram> out;
  Data->checkProbes(now, wallMs, out);
  if (now < Data->NextProbe)
    return out;
  std::vector<Datagram> probes = Data->probeNext(now, wallMs);
  std::move(probes.begin(), probes.end(), std::back_inserter(out));
  return out;
}

TimePoint Gossip::nextTick() const {
  TimePoint next = std::min(Data->NextProbe, Data->Members.nextExpiry());
  for (const auto &[id, probe] : Data->Probes)
    next = std::min(next, probe.Indirect || probe.Target.empty()
                              ? probe.Deadline
                              : probe.IndirectAt);
  return next;
}

std::vector<Datagram> Gossip::onDatagram(std::string_view bytes, TimePoint now,
                                         int64_t wallMs) {
  std::optional<GossipMessage> in = Data->admit(bytes, wallMs);
  if (!in)
    return {};
  Data->Members.merge(in->Self, now);
  for (const Internal::Update &it : in->Updates)
    Data->Members.merge(it, now);
  return Data->answer(*in, now, wallMs);
}

std::vector<Datagram> Gossip::leave(TimePoint now, int64_t wallMs) {
  Data->Members.SelfStatus = MemberStatus::Left;
  std::vector<std::string> names = Data->Members.reachable();
  std::shuffle(names.begin(), names.end(), Data->Random);
  names.resize(std::min(names.size(), C::FarewellTargets));
  std::vector<Datagram> out;
  for (const std::string &it : names) {
    GossipMessage message;
    message.Kind = GossipKind::Farewell;
    message.To = it;
    out.push_back(Data->compose(
        std::move(message), Data->Members.find(it)->Said.Where, now, wallMs));
  }
  return out;
}

std::vector<MemberView> Gossip::members() const {
  return Data->Members.views();
}

size_t Gossip::reachableCount() const { return Data->Members.aliveCount(); }

std::vector<std::string> Gossip::reachable() const {
  return Data->Members.reachable();
}

std::optional<Address> Gossip::addressOf(const std::string &name) const {
  if (!Data->Members.isReachable(name))
    return std::nullopt;
  return Data->Members.find(name)->Said.Where;
}

std::string Gossip::everything(TimePoint now) {
  std::vector<Internal::Update> updates = Data->Members.all(now);
  updates.push_back(Data->Members.self(now));
  return Codec::encode(updates);
}

bool Gossip::takeEverything(std::string_view bytes, TimePoint now) {
  auto updates = Codec::decode<std::vector<Internal::Update>>(bytes);
  if (!updates)
    return false;
  for (const Internal::Update &it : *updates)
    if (Internal::isWellFormed(it))
      Data->Members.merge(it, now);
  return true;
}

uint64_t Gossip::incarnation() const { return Data->Members.Incarnation; }

const std::optional<LogReading> &Gossip::newestReading() const {
  return Data->Newest;
}

std::map<std::string, std::optional<TimePoint>> Gossip::outageReports() {
  std::map<std::string, std::optional<TimePoint>> reports;
  for (const std::string &it : Data->roster())
    if (it != Data->Options.Name)
      reports[it] = Data->Outages.find(it);
  return reports;
}

const GossipCounters &Gossip::counters() const { return Data->Counters; }

} // namespace Peers
