#ifndef FAULTPROXY_LINK_H
#define FAULTPROXY_LINK_H

#include "faultproxy/faultproxy.h"

#include <array>
#include <asio.hpp>
#include <random>

namespace FaultProxy::Internal {

/// State of one direction of a link; used on the proxy thread only.
struct DirectionState {
  Faults ActiveFaults;
  uint64_t Bytes = 0;
};

/// State shared by a link and its connections; used on the proxy thread only.
struct LinkState {
  LinkState(asio::io_context &io, uint16_t targetPort, uint64_t seed)
      : Io(io), TargetPort(targetPort), Random(seed) {}

  DirectionState &stateOf(Direction direction) {
    return Directions[static_cast<size_t>(direction)];
  }
  /// Returns true with the given probability.
  bool draw(double probability) {
    return probability > 0 && std::bernoulli_distribution(probability)(Random);
  }
  /// Delay of a chunk or datagram, with random jitter.
  Utils::Milliseconds drawDelay(const Faults &faults) {
    std::uniform_int_distribution<uint32_t> jitter(0, faults.JitterMs);
    return Utils::Milliseconds(faults.DelayMs + jitter(Random));
  }

  asio::io_context &Io;
  uint16_t TargetPort;
  std::mt19937_64 Random;
  std::array<DirectionState, 2> Directions;
};

/// Link of either transport; used on the proxy thread only.
class Link {
public:
  virtual ~Link() = default;
  virtual uint16_t port() const = 0;
  /// Cuts all open connections.
  virtual void cut() = 0;
  /// Called after the faults of a direction have changed.
  virtual void faultsChanged() = 0;
  virtual LinkState &state() = 0;
};

std::unique_ptr<Link> makeTcpLink(asio::io_context &io, uint16_t targetPort,
                                  uint16_t listenPort, uint64_t seed);
std::unique_ptr<Link> makeUdpLink(asio::io_context &io, uint16_t targetPort,
                                  uint16_t listenPort, uint64_t seed);

} // namespace FaultProxy::Internal

#endif // FAULTPROXY_LINK_H
