#ifndef FAULTPROXY_FAULTPROXY_H
#define FAULTPROXY_FAULTPROXY_H

/// Fault injection proxy: forwards TCP and UDP traffic over named links and
/// delays, drops, duplicates, stalls or cuts it separately by direction.
#include "utils/clock.h"
#include "utils/outcome.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace FaultProxy {

enum class Transport : uint8_t { Tcp, Udp };

/// Direction of traffic: from the client to the target, or back.
enum class Direction : uint8_t { ToTarget, ToClient };

/// Faults injected into one direction of a link. The default forwards all
/// traffic unchanged.
struct Faults {
  /// Delay added to each chunk or datagram, in milliseconds.
  uint32_t DelayMs = 0;
  /// Upper bound of a further, uniformly distributed delay in milliseconds;
  /// reorders datagrams.
  uint32_t JitterMs = 0;
  /// UDP: probability that a datagram is lost, 0 to 1. TCP: probability that
  /// the connection is cut when a chunk arrives.
  double Loss = 0;
  /// UDP: probability that a datagram is sent twice, 0 to 1.
  double Duplicate = 0;
  /// TCP: stops reading; both sides stay connected. UDP: drops all datagrams.
  bool Stalled = false;
  /// Reads and discards all data; both sides stay connected.
  bool Discard = false;
  /// TCP: cuts the connection after this number of bytes; 0 means never.
  uint64_t CutAfterBytes = 0;
  /// TCP: number of times that a connection is cut as soon as data arrives in
  /// this direction; the data is lost.
  uint32_t SwallowNext = 0;
  /// TCP: closes new connections at once and cuts open ones. UDP: drops all
  /// datagrams.
  bool Refuse = false;
};

/// Runs a set of links on one thread. Thread-safe.
class Proxy {
public:
  explicit Proxy(uint64_t seed);
  ~Proxy();

  /// Adds a link to a loopback port and returns its listening port. With
  /// listenPort 0 the system chooses a free port.
  uint16_t addLink(const std::string &name, Transport transport,
                   uint16_t targetPort, uint16_t listenPort = 0);

  /// Adds a TCP and a UDP link to a loopback port that both listen on the same
  /// port number, and returns that number.
  uint16_t addPairedLinks(const std::string &tcpName,
                          const std::string &udpName, uint16_t targetPort);

  /// Replaces the faults of one direction. Applies to open connections too.
  void setFaults(const std::string &name, Direction direction,
                 const Faults &faults);

  /// Cuts all open connections of the link.
  void cut(const std::string &name);

  /// Removes all faults of all links.
  void heal();

  /// Number of bytes forwarded in a direction since the start.
  uint64_t bytesPassed(const std::string &name, Direction direction) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

/// Step of a schedule: replaces the faults of one direction of a link.
struct ScheduledFault {
  uint32_t AtMs = 0;
  std::string Link;
  Direction FaultDirection = Direction::ToTarget;
  Faults NewFaults;
  /// Also cuts the open connections of the link.
  bool Cut = false;
};

struct LinkSpec {
  std::string Name;
  Transport Kind = Transport::Tcp;
  uint16_t TargetPort = 0;
};

struct Schedule {
  uint64_t Seed = 1;
  std::vector<LinkSpec> Links;
  std::vector<ScheduledFault> Steps;
};

/// Parses a schedule in JSON with comments. The error message names the invalid
/// member.
Utils::Outcome<Schedule> parseSchedule(std::string_view text);

} // namespace FaultProxy

#endif // FAULTPROXY_FAULTPROXY_H
