#include "faultproxy/link.h"

#include <map>

namespace FaultProxy::Internal {

namespace {

using asio::ip::udp;

constexpr size_t MaxDatagramBytes = 65536;

/// Client of the link, with the socket that exchanges datagrams with the target
/// on its behalf.
struct Flow {
  explicit Flow(asio::io_context &io)
      : Socket(io, udp::endpoint(asio::ip::address_v4::loopback(), 0)) {}
  udp::socket Socket;
  std::array<char, MaxDatagramBytes> Buffer{};
};

class UdpLink : public Link {
public:
  UdpLink(asio::io_context &io, uint16_t targetPort, uint16_t listenPort,
          uint64_t seed)
      : Shared(io, targetPort, seed),
        Socket(io, udp::endpoint(asio::ip::address_v4::loopback(), listenPort)),
        Target(asio::ip::address_v4::loopback(), targetPort) {
    receiveFromClients();
  }

  uint16_t port() const override { return Socket.local_endpoint().port(); }
  LinkState &state() override { return Shared; }
  void cut() override { Flows.clear(); }
  void faultsChanged() override {}

private:
  void receiveFromClients() {
    Socket.async_receive_from(
        asio::buffer(Buffer), Sender, [this](std::error_code ec, size_t n) {
          if (ec == asio::error::operation_aborted)
            return;
          if (!ec) {
            auto flow = flowFor(Sender);
            forwardDatagram(Direction::ToTarget, std::string(Buffer.data(), n),
                            [this, flow](const std::string &bytes) {
                              std::error_code ignored;
                              flow->Socket.send_to(asio::buffer(bytes), Target,
                                                   0, ignored);
                            });
          }
          receiveFromClients();
        });
  }

  std::shared_ptr<Flow> flowFor(const udp::endpoint &client) {
    auto &flow = Flows[client];
    if (!flow) {
      flow = std::make_shared<Flow>(Shared.Io);
      receiveFromTarget(client, flow);
    }
    return flow;
  }

  void receiveFromTarget(const udp::endpoint &client,
                         const std::shared_ptr<Flow> &flow) {
    flow->Socket.async_receive(
        asio::buffer(flow->Buffer),
        [this, client, flow](std::error_code ec, size_t n) {
          if (ec == asio::error::operation_aborted)
            return;
          if (!ec)
            forwardDatagram(
                Direction::ToClient, std::string(flow->Buffer.data(), n),
                [this, client](const std::string &bytes) {
                  std::error_code ignored;
                  Socket.send_to(asio::buffer(bytes), client, 0, ignored);
                });
          receiveFromTarget(client, flow);
        });
  }

  /// Sends the datagram subject to the faults of the direction: it may be
  /// delayed, duplicated or dropped.
  template <typename F>
  void forwardDatagram(Direction direction, const std::string &bytes, F send) {
    DirectionState &current = Shared.stateOf(direction);
    const Faults &faults = current.ActiveFaults;
    if (faults.Stalled || faults.Discard || faults.Refuse ||
        Shared.draw(faults.Loss))
      return;
    current.Bytes += bytes.size();
    int copies = Shared.draw(faults.Duplicate) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      auto timer = std::make_shared<asio::steady_timer>(Shared.Io);
      timer->expires_after(Shared.drawDelay(faults));
      timer->async_wait([timer, bytes, send](std::error_code) { send(bytes); });
    }
  }

  LinkState Shared;
  udp::socket Socket;
  udp::endpoint Target;
  udp::endpoint Sender;
  std::array<char, MaxDatagramBytes> Buffer{};
  std::map<udp::endpoint, std::shared_ptr<Flow>> Flows;
};

} // namespace

std::unique_ptr<Link> makeUdpLink(asio::io_context &io, uint16_t targetPort,
                                  uint16_t listenPort, uint64_t seed) {
  return std::make_unique<UdpLink>(io, targetPort, listenPort, seed);
}

} // namespace FaultProxy::Internal
