#ifndef PEERS_ADDRESS_H
#define PEERS_ADDRESS_H

#include <cstdint>
#include <string>

namespace Peers {

/// Where a daemon listens for others, TCP and UDP.
struct Address {
  std::string Host;
  uint16_t Port = 0;

  bool operator==(const Address &) const = default;
  template <class A> void serialize(A &a) { a(Host, Port); }
};

} // namespace Peers

#endif // PEERS_ADDRESS_H
