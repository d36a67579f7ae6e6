#include "faultproxy/link.h"

#include <map>

namespace FaultProxy::Internal {

namespace {

using asio::ip::udp;

constexpr size_t MaxDatagramBytes = 65536;

/// One client of the link with the socket that speaks to the target for it.
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
    receive();
  }

  uint16_t port() const override { return Socket.local_endpoint().port(); }
  LinkState &state() override { return Shared; }
  void cut() override { Flows.clear(); }
  void faultsChanged() override {}

private:
  void receive() {
    Socket.async_receive_from(
        asio::buffer(Buffer), From, [this](std::error_code ec, size_t n) {
          if (ec == asio::error::operation_aborted)
            return;
          if (!ec) {
            auto flow = flowOf(From);
            pass(Direction::ToTarget, std::string(Buffer.data(), n),
                 [this, flow](const std::string &bytes) {
                   std::error_code ignored;
                   flow->Socket.send_to(asio::buffer(bytes), Target, 0,
                                        ignored);
                 });
          }
          receive();
        });
  }

  std::shared_ptr<Flow> flowOf(const udp::endpoint &client) {
    auto &flow = Flows[client];
    if (!flow) {
      flow = std::make_shared<Flow>(Shared.Io);
      receiveBack(client, flow);
    }
    return flow;
  }

  void receiveBack(const udp::endpoint &client,
                   const std::shared_ptr<Flow> &flow) {
    flow->Socket.async_receive(
        asio::buffer(flow->Buffer),
        [this, client, flow](std::error_code ec, size_t n) {
          if (ec == asio::error::operation_aborted)
            return;
          if (!ec)
            pass(Direction::ToClient, std::string(flow->Buffer.data(), n),
                 [this, client](const std::string &bytes) {
                   std::error_code ignored;
                   Socket.send_to(asio::buffer(bytes), client, 0, ignored);
                 });
          receiveBack(client, flow);
        });
  }

  /// Sends the datagram once, twice, later or not at all.
  template <typename F>
  void pass(Direction direction, const std::string &bytes, F send) {
    Way &way = Shared.way(direction);
    const Faults &faults = way.Value;
    if (faults.Stalled || faults.Discard || faults.Refuse ||
        Shared.draw(faults.Loss))
      return;
    way.Bytes += bytes.size();
    int copies = Shared.draw(faults.Duplicate) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      auto timer = std::make_shared<asio::steady_timer>(Shared.Io);
      timer->expires_after(Shared.delay(faults));
      timer->async_wait([timer, bytes, send](std::error_code) { send(bytes); });
    }
  }

  LinkState Shared;
  udp::socket Socket;
  udp::endpoint Target;
  udp::endpoint From;
  std::array<char, MaxDatagramBytes> Buffer{};
  std::map<udp::endpoint, std::shared_ptr<Flow>> Flows;
};

} // namespace

std::unique_ptr<Link> makeUdpLink(asio::io_context &io, uint16_t targetPort,
                                  uint16_t listenPort, uint64_t seed) {
  return std::make_unique<UdpLink>(io, targetPort, listenPort, seed);
}

} // namespace FaultProxy::Internal
