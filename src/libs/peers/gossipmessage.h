#ifndef PEERS_GOSSIPMESSAGE_H
#define PEERS_GOSSIPMESSAGE_H

#include "codec/codec.h"
#include "peers/age.h"
#include "peers/gossip.h"
#include "peers/replaywindow.h"

namespace Peers::Internal {

enum class GossipKind : uint8_t { Ping, PingRequest, Ack, Farewell };

/// What one daemon tells of a member. Ages are milliseconds before sending.
struct Update {
  std::string Name;
  Address Where;
  std::string FailureDomain;
  MemberStatus Status = MemberStatus::Alive;
  uint64_t Incarnation = 0;
  /// Grows with each statement that the member makes of itself.
  uint64_t Version = 0;
  uint64_t Applied = 0;
  /// NoAge while the log answers.
  uint32_t LogLostAgeMs = NoAge;

  template <class A> void serialize(A &a) {
    a(Name, Where, FailureDomain, Status, Incarnation, Version, Applied,
      LogLostAgeMs);
  }
};

/// Content of one datagram, before sealing.
struct GossipMessage {
  GossipKind Kind = GossipKind::Ping;
  Stamp Mark;
  /// Receiver's name; empty when only its address is known.
  std::string To;
  /// Chosen by the prober, repeated in the Ack.
  uint64_t ProbeId = 0;
  /// For PingRequest: whom to probe.
  std::string TargetName;
  Address Target;
  /// Newest reading of the log that the sender knows of; NoAge: none.
  uint32_t ReadingAgeMs = NoAge;
  uint64_t ReadingEnd = 0;
  /// Ages of the statements that the log is unavailable, one byte for each
  /// daemon of the roster whose digest is given; empty when there are none.
  uint64_t RosterDigest = 0;
  std::string OutageAges;
  /// The sender itself.
  Update Self;
  std::vector<Update> Updates;

  template <class A> void serialize(A &a) {
    a(Kind, Mark, To, ProbeId, TargetName, Target, ReadingAgeMs, ReadingEnd,
      RosterDigest, OutageAges, Self, Updates);
  }
};

bool isWellFormed(const Update &update);
/// Whether enumerators and names of a decoded message are within bounds.
bool isWellFormed(const GossipMessage &message);

} // namespace Peers::Internal

#endif // PEERS_GOSSIPMESSAGE_H
