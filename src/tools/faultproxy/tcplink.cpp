#include "faultproxy/link.h"

#include <deque>
#include <set>

namespace FaultProxy::Internal {

namespace {

using asio::ip::tcp;

constexpr size_t ChunkBytes = 16384;
constexpr size_t MaxQueuedChunks = 64;
constexpr Utils::Milliseconds StallPollInterval(5);

class Connection;

struct TcpState : LinkState {
  using LinkState::LinkState;
  std::set<std::shared_ptr<Connection>> Open;
};

/// Forwards one direction of a connection: reads chunks, delays them and writes
/// them in order.
struct Pump {
  Pump(asio::io_context &io, Direction direction)
      : Timer(io), PumpDirection(direction) {}
  asio::steady_timer Timer;
  Direction PumpDirection;
  std::array<char, ChunkBytes> Buffer{};
  std::deque<std::pair<Utils::TimePoint, std::string>> Queue;
  bool Writing = false;
  bool ReadEnded = false;
  bool ReadPaused = false;
  uint64_t Bytes = 0;
};

class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(TcpState &state, tcp::socket client)
      : State(state), Client(std::move(client)), Target(state.Io),
        Up(state.Io, Direction::ToTarget), Down(state.Io, Direction::ToClient) {
  }

  void start() {
    tcp::endpoint target(asio::ip::address_v4::loopback(), State.TargetPort);
    auto self = shared_from_this();
    Target.async_connect(target, [this, self](std::error_code ec) {
      if (ec)
        return close();
      std::error_code ignored;
      Client.set_option(tcp::no_delay(true), ignored);
      Target.set_option(tcp::no_delay(true), ignored);
      read(Up);
      read(Down);
    });
  }

  void close() {
    std::error_code ec;
    Client.close(ec);
    Target.close(ec);
    Up.Timer.cancel();
    Down.Timer.cancel();
    State.Open.erase(shared_from_this());
  }

private:
  tcp::socket &source(const Pump &pump) {
    return pump.PumpDirection == Direction::ToTarget ? Client : Target;
  }
  tcp::socket &sink(const Pump &pump) {
    return pump.PumpDirection == Direction::ToTarget ? Target : Client;
  }
  const Faults &faults(const Pump &pump) {
    return State.stateOf(pump.PumpDirection).ActiveFaults;
  }

  void read(Pump &pump) {
    auto self = shared_from_this();
    if (faults(pump).Stalled || pump.Queue.size() >= MaxQueuedChunks) {
      pump.Timer.expires_after(StallPollInterval);
      pump.Timer.async_wait([this, self, &pump](std::error_code ec) {
        if (!ec)
          read(pump);
      });
      return;
    }
    source(pump).async_read_some(
        asio::buffer(pump.Buffer),
        [this, self, &pump](std::error_code ec, size_t n) {
          if (ec)
            return readEnded(pump, ec);
          received(pump, n);
        });
  }

  void readEnded(Pump &pump, std::error_code ec) {
    if (ec != asio::error::eof)
      return close();
    pump.ReadEnded = true;
    shutDownIfDrained(pump);
  }

  void received(Pump &pump, size_t n) {
    DirectionState &direction = State.stateOf(pump.PumpDirection);
    if (direction.ActiveFaults.SwallowNext > 0) {
      --direction.ActiveFaults.SwallowNext;
      return close();
    }
    pump.Bytes += n;
    bool overLimit = direction.ActiveFaults.CutAfterBytes > 0 &&
                     pump.Bytes > direction.ActiveFaults.CutAfterBytes;
    if (overLimit || State.draw(direction.ActiveFaults.Loss))
      return close();
    if (!direction.ActiveFaults.Discard) {
      direction.Bytes += n;
      pump.Queue.emplace_back(std::chrono::steady_clock::now() +
                                  State.drawDelay(direction.ActiveFaults),
                              std::string(pump.Buffer.data(), n));
      write(pump);
    }
    read(pump);
  }

  void write(Pump &pump) {
    if (pump.Writing || pump.Queue.empty())
      return;
    pump.Writing = true;
    auto self = shared_from_this();
    auto timer = std::make_shared<asio::steady_timer>(State.Io);
    timer->expires_at(pump.Queue.front().first);
    timer->async_wait([this, self, timer, &pump](std::error_code) {
      asio::async_write(sink(pump), asio::buffer(pump.Queue.front().second),
                        [this, self, &pump](std::error_code ec, size_t) {
                          pump.Writing = false;
                          pump.Queue.pop_front();
                          if (ec)
                            return close();
                          write(pump);
                          shutDownIfDrained(pump);
                        });
    });
  }

  /// Passes on the end of the stream once everything before it is written.
  void shutDownIfDrained(Pump &pump) {
    if (!pump.ReadEnded || pump.Writing || !pump.Queue.empty())
      return;
    std::error_code ec;
    sink(pump).shutdown(tcp::socket::shutdown_send, ec);
    if (Up.ReadEnded && Down.ReadEnded)
      close();
  }

  TcpState &State;
  tcp::socket Client;
  tcp::socket Target;
  Pump Up;
  Pump Down;
};

class TcpLink : public Link {
public:
  TcpLink(asio::io_context &io, uint16_t targetPort, uint16_t listenPort,
          uint64_t seed)
      : Shared(io, targetPort, seed),
        Acceptor(io,
                 tcp::endpoint(asio::ip::address_v4::loopback(), listenPort)) {
    accept();
  }

  uint16_t port() const override { return Acceptor.local_endpoint().port(); }
  LinkState &state() override { return Shared; }

  void cut() override {
    auto open = Shared.Open;
    for (const auto &it : open)
      it->close();
  }

  void faultsChanged() override {
    if (refusesConnections())
      cut();
  }

private:
  bool refusesConnections() {
    return Shared.stateOf(Direction::ToTarget).ActiveFaults.Refuse ||
           Shared.stateOf(Direction::ToClient).ActiveFaults.Refuse;
  }

  void accept() {
    Acceptor.async_accept([this](std::error_code ec, tcp::socket socket) {
      if (ec == asio::error::operation_aborted)
        return;
      if (!ec && !refusesConnections()) {
        auto connection =
            std::make_shared<Connection>(Shared, std::move(socket));
        Shared.Open.insert(connection);
        connection->start();
      }
      accept();
    });
  }

  TcpState Shared;
  tcp::acceptor Acceptor;
};

} // namespace

std::unique_ptr<Link> makeTcpLink(asio::io_context &io, uint16_t targetPort,
                                  uint16_t listenPort, uint64_t seed) {
  return std::make_unique<TcpLink>(io, targetPort, listenPort, seed);
}

} // namespace FaultProxy::Internal
