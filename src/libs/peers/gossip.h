#ifndef PEERS_GOSSIP_H
#define PEERS_GOSSIP_H

#include "peers/address.h"
#include "utils/clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Peers {

enum class MemberStatus : uint8_t { Alive, Suspect, Dead, Left };

std::string_view memberStatusName(MemberStatus status);

/// A daemon read the whole log up to End (offset of the next append) not
/// before At.
struct LogReading {
  Utils::TimePoint At;
  uint64_t End = 0;
};

/// Merges two readings as the newest time and the greatest end: whoever relies
/// on it must hold all that any reading saw.
LogReading mergeReadings(const std::optional<LogReading> &old,
                         const LogReading &added);

/// What this daemon says of its own log contact.
struct LogReport {
  /// Offset of the next append that it has not applied.
  uint64_t Applied = 0;
  /// Newest reading that it knows of, its own or told by others.
  std::optional<LogReading> Newest;
  /// Since when the log does not answer it; nothing while it does.
  std::optional<Utils::TimePoint> LostSince;
};

/// What is known of another daemon.
struct MemberView {
  std::string Name;
  Address Where;
  std::string FailureDomain;
  MemberStatus Status = MemberStatus::Alive;
  uint64_t Incarnation = 0;
  uint64_t Applied = 0;
  std::optional<Utils::TimePoint> LogLostSince;
};

/// A datagram to be sent.
struct Datagram {
  Address To;
  std::string Bytes;
};

struct GossipOptions {
  std::string Name;
  Address Where;
  std::string FailureDomain;
  std::string ClusterSecret;
  std::vector<Address> Seeds;
  /// Greater at each start of the same daemon: wall clock, milliseconds.
  uint64_t FirstIncarnation = 0;
  uint64_t RandomSeed = 0;
  /// Time between two probes.
  Utils::Milliseconds Period{1000};
  /// Time between two probes while this daemon's log is unavailable.
  Utils::Milliseconds OutagePeriod{150};
};

/// Why datagrams were dropped.
struct GossipCounters {
  uint64_t Forged = 0;
  uint64_t Malformed = 0;
  uint64_t Replayed = 0;
  uint64_t Oversized = 0;
};

/// Membership after SWIM (Das, Gupta, Motivala 2002) with parts of Lifeguard
/// (Dadgar, Phillips, Currey 2018): probes, indirect probes, suspicion,
/// incarnation numbers, bounded piggyback. A state machine without threads,
/// sockets or clocks; time comes in as arguments. Not thread-safe.
class Gossip {
public:
  explicit Gossip(const GossipOptions &options);
  ~Gossip();

  /// Sets what is said of the own log contact from now on.
  void setReport(const LogReport &report);
  /// Daemons that the state names: they are expected to speak, and are probed
  /// now and then until they answer.
  void setRoster(std::map<std::string, Address> daemons);

  /// Advances time; yields the datagrams to send.
  std::vector<Datagram> onTick(Utils::TimePoint now, int64_t wallMs);
  /// When onTick() next has something to do, as far as is known by now.
  Utils::TimePoint nextTick() const;
  /// Takes a datagram in; yields the datagrams to send.
  std::vector<Datagram> onDatagram(std::string_view bytes, Utils::TimePoint now,
                                   int64_t wallMs);
  /// Says farewell to some members.
  std::vector<Datagram> leave(Utils::TimePoint now, int64_t wallMs);

  /// All known daemons but this one.
  std::vector<MemberView> members() const;
  /// Number of other daemons that are alive or only suspected.
  size_t reachableCount() const;
  /// Their names, sorted.
  std::vector<std::string> reachable() const;
  /// Where a daemon that is alive or only suspected listens; else nothing.
  std::optional<Address> addressOf(const std::string &name) const;
  /// All that is known of members, for an exchange over TCP: at the start,
  /// and now and then to mend what lost datagrams left out.
  std::string everything(Utils::TimePoint now);
  /// Takes in what everything() gave; false when it is malformed.
  bool takeEverything(std::string_view bytes, Utils::TimePoint now);
  uint64_t incarnation() const;
  /// Newest reading of the log told in answer to a probe.
  const std::optional<LogReading> &newestReading() const;
  /// When each daemon was last known, at the latest, to find the log
  /// unavailable; one entry for each daemon of the roster or alive, nothing if
  /// never.
  std::map<std::string, std::optional<Utils::TimePoint>> outageReports();
  const GossipCounters &counters() const;

private:
  struct Content;
  std::unique_ptr<Content> Data;
};

} // namespace Peers

#endif // PEERS_GOSSIP_H
