#ifndef PEERS_GOSSIPCORE_H
#define PEERS_GOSSIPCORE_H

#include "peers/gossip.h"
#include "peers/membership.h"
#include "peers/outagevector.h"
#include "peers/seal.h"

#include <unordered_map>

namespace Peers {

namespace Internal {

/// A probe that waits for its Ack.
struct Probe {
  /// Empty when only the address was known.
  std::string Target;
  Address Where;
  Utils::TimePoint SentAt;
  Utils::TimePoint IndirectAt;
  Utils::TimePoint Deadline;
  bool Indirect = false;
};

/// A probe made for another daemon.
struct Relay {
  std::string Requester;
  Address Where;
  uint64_t ProbeId = 0;
  std::string Target;
  Utils::TimePoint Deadline;
};

} // namespace Internal

/// State and steps of the gossip machine.
struct Gossip::Content {
  explicit Content(const GossipOptions &options);

  std::vector<Datagram> probeNext(Utils::TimePoint now, int64_t wallMs);
  void checkProbes(Utils::TimePoint now, int64_t wallMs,
                   std::vector<Datagram> &out);
  void askOthers(uint64_t id, const Internal::Probe &probe,
                 Utils::TimePoint now, int64_t wallMs,
                 std::vector<Datagram> &out);
  std::optional<std::string> nextTarget();
  /// Lets a suspect know soon, so that it can refute.
  void probeSuspect(Utils::TimePoint now, int64_t wallMs,
                    std::vector<Datagram> &out);
  void probeStranger(Utils::TimePoint now, int64_t wallMs,
                     std::vector<Datagram> &out);
  Datagram ping(const std::string &name, const Address &where,
                Utils::TimePoint now, int64_t wallMs);

  std::optional<Internal::GossipMessage> admit(std::string_view bytes,
                                               int64_t wallMs);
  std::vector<Datagram> answer(const Internal::GossipMessage &in,
                               Utils::TimePoint now, int64_t wallMs);
  void takeEvidence(const Internal::GossipMessage &in,
                    const Internal::Probe &probe, Utils::TimePoint now);
  std::vector<Datagram> onAck(const Internal::GossipMessage &in,
                              Utils::TimePoint now, int64_t wallMs);
  Datagram compose(Internal::GossipMessage message, const Address &where,
                   Utils::TimePoint now, int64_t wallMs);
  void addEvidence(Internal::GossipMessage &message, Utils::TimePoint now);
  const std::vector<std::string> &roster();
  Utils::Milliseconds scaled(Utils::Milliseconds time) const {
    return time * (1 + LocalHealth);
  }

  GossipOptions Options;
  Internal::Key Key;
  Internal::Membership Members;
  std::mt19937_64 Random;
  uint64_t Boot = 0;
  uint64_t Sequence = 0;
  uint64_t LastProbeId = 0;
  uint64_t Periods = 0;
  /// Grows while own probes fail, so that a slow daemon accuses later.
  uint32_t LocalHealth = 0;
  Utils::TimePoint NextProbe;
  std::vector<std::string> Round;
  std::unordered_map<uint64_t, Internal::Probe> Probes;
  std::unordered_map<uint64_t, Internal::Relay> Relays;
  std::unordered_map<std::string, Internal::ReplayWindow> Windows;
  std::map<std::string, Address> Roster;
  /// Sorted names of the roster and all reachable daemons, this one included;
  /// made again when the members have changed since RosterOf.
  std::vector<std::string> AllNames;
  uint64_t AllNamesDigest = 0;
  uint64_t RosterOf = 0;
  std::optional<LogReading> Newest;
  Internal::OutageVector Outages;
  GossipCounters Counters;
};

} // namespace Peers

#endif // PEERS_GOSSIPCORE_H
