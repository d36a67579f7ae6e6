#ifndef FAULTPROXY_FAULTPROXY_H
#define FAULTPROXY_FAULTPROXY_H

/// Public header of the fault proxy: TCP and UDP links that delay, lose, cut
/// and hold back traffic by direction.
#include "utils/clock.h"
#include "utils/outcome.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace FaultProxy {

enum class Transport : uint8_t { Tcp, Udp };

/// ToTarget carries what the client sends, ToClient what comes back.
enum class Direction : uint8_t { ToTarget, ToClient };

/// Faults of one direction of one link. The default passes everything.
struct Faults {
  /// Added to each piece or datagram, milliseconds.
  uint32_t DelayMs = 0;
  /// Further delay drawn evenly from 0 to this, milliseconds; reorders
  /// datagrams.
  uint32_t JitterMs = 0;
  /// Share of datagrams lost, 0 to 1. For TCP: of connections cut at a piece.
  double Loss = 0;
  /// Share of datagrams sent twice, 0 to 1.
  double Duplicate = 0;
  /// Nothing is read any more; both sides stay connected.
  bool Stalled = false;
  /// Everything is read and thrown away; both sides stay connected.
  bool Discard = false;
  /// TCP: the connection is cut after so many bytes; 0 for never.
  uint64_t CutAfterBytes = 0;
  /// TCP: so many connections are cut at the first byte in this direction.
  uint32_t SwallowNext = 0;
  /// New connections are refused and open ones cut.
  bool Refuse = false;
};

/// A set of links run by one thread. Thread-safe.
class Proxy {
public:
  explicit Proxy(uint64_t seed);
  ~Proxy();

  /// Adds a link to a loopback port and returns the port it listens on; port 0
  /// takes a free one.
  uint16_t addLink(const std::string &name, Transport transport,
                   uint16_t targetPort, uint16_t listenPort = 0);

  /// Adds a TCP and a UDP link to a loopback port that listen on the same
  /// number, and returns it.
  uint16_t addTwinLinks(const std::string &tcpName, const std::string &udpName,
                        uint16_t targetPort);

  /// Replaces the faults of one direction; open connections are affected.
  void setFaults(const std::string &name, Direction direction,
                 const Faults &faults);

  /// Cuts every open connection of the link.
  void cut(const std::string &name);

  /// Removes all faults of all links.
  void heal();

  /// Bytes that passed in a direction since the start.
  uint64_t bytesPassed(const std::string &name, Direction direction) const;

private:
  struct Content;
  std::unique_ptr<Content> Data;
};

/// One step of a schedule.
struct ScheduledFault {
  uint32_t AtMs = 0;
  std::string Link;
  Direction Way = Direction::ToTarget;
  Faults Value;
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

/// Reads a schedule in JSON with comments; names the faulty member on failure.
Utils::Outcome<Schedule> parseSchedule(std::string_view text);

} // namespace FaultProxy

#endif // FAULTPROXY_FAULTPROXY_H
