#ifndef PEERS_GOSSIPCARRIER_H
#define PEERS_GOSSIPCARRIER_H

#include "peers/node.h"
#include "peers/transport.h"

#include <mutex>

namespace Peers::Internal {

/// Carries the gossip machine's datagrams over UDP on the network thread.
class GossipCarrier {
public:
  GossipCarrier(Transport &transport, const NodeOptions &options,
                Utils::Clock clock);

  /// Binds the port and starts to probe.
  Utils::Status listen(const Address &address);
  /// Sends the farewell and closes; on the network thread.
  void close();

  /// Runs a function on the machine under its lock.
  template <typename F> auto with(F &&use) {
    std::lock_guard lock(Mutex);
    return use(*Machine);
  }

private:
  asio::awaitable<void> receive();
  asio::awaitable<void> tick();
  void send(const std::vector<Datagram> &datagrams);
  void prepare(Utils::TimePoint now);
  void report();

  Transport &Shared;
  const NodeOptions &Options;
  Utils::Clock Clock;
  asio::ip::udp::socket Socket;
  std::mutex Mutex;
  std::unique_ptr<Gossip> Machine;
  GossipCounters Counted;
  Utils::TimePoint NextRoster;
};

} // namespace Peers::Internal

#endif // PEERS_GOSSIPCARRIER_H
