#include "peers/gossipcarrier.h"

namespace Peers::Internal {

namespace C = Constants;

GossipCarrier::GossipCarrier(Transport &transport, const NodeOptions &options,
                             Utils::Clock clock)
    : Shared(transport), Options(options), Clock(std::move(clock)),
      Socket(transport.Io) {}

Utils::Status GossipCarrier::listen(const Address &address) {
  std::error_code ec;
  auto host = asio::ip::make_address(address.Host, ec);
  asio::ip::udp::endpoint endpoint(host, address.Port);
  if (!ec)
    Socket.open(endpoint.protocol(), ec);
  if (!ec)
    Socket.bind(endpoint, ec);
  if (ec)
    return Utils::failure(Utils::Errc::Unavailable,
                          "peer port cannot be bound for UDP: " + ec.message());
  Socket.non_blocking(true, ec);
  GossipOptions gossip;
  gossip.Name = Options.Name;
  gossip.Where = Options.Advertise.Port == 0 ? address : Options.Advertise;
  gossip.FailureDomain = Options.FailureDomain;
  gossip.ClusterSecret = Options.ClusterSecret;
  gossip.Seeds = Options.Seeds;
  gossip.FirstIncarnation = static_cast<uint64_t>(Clock.WallMs());
  randombytes_buf(&gossip.RandomSeed, sizeof(gossip.RandomSeed));
  Machine = std::make_unique<Gossip>(gossip);
  asio::co_spawn(
      Shared.Io, [this] { return receive(); }, asio::detached);
  asio::co_spawn(
      Shared.Io, [this] { return tick(); }, asio::detached);
  return Utils::success();
}

void GossipCarrier::prepare(Utils::TimePoint now) {
  if (Options.Report)
    Machine->setReport(Options.Report(now));
  if (!Options.Roster || now < NextRoster)
    return;
  NextRoster = now + C::RosterPeriod;
  Machine->setRoster(Options.Roster());
}

asio::awaitable<void> GossipCarrier::tick() {
  asio::steady_timer timer(Shared.Io);
  while (Socket.is_open()) {
    std::vector<Datagram> out;
    Utils::TimePoint now = Clock.Now();
    Utils::TimePoint next;
    {
      std::lock_guard lock(Mutex);
      prepare(now);
      out = Machine->onTick(now, Clock.WallMs());
      next = Machine->nextTick();
    }
    send(out);
    timer.expires_after(std::clamp<Utils::TimePoint::duration>(
        next - now, C::TickPeriod, C::LongestTick));
    std::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
}

asio::awaitable<void> GossipCarrier::receive() {
  std::array<char, C::MaxDatagramBytes + 1> buffer;
  while (Socket.is_open()) {
    std::error_code ec;
    asio::ip::udp::endpoint from;
    size_t n = co_await Socket.async_receive_from(
        asio::buffer(buffer), from,
        asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
      continue;
    Shared.countBytes("udp", "in", n);
    Shared.Metrics.add(C::SentMetric, "way=\"in\"");
    std::vector<Datagram> out;
    {
      std::lock_guard lock(Mutex);
      Utils::TimePoint now = Clock.Now();
      // A report that is older than `now` may be of before a reading.
      if (Options.Report)
        Machine->setReport(Options.Report(now));
      out = Machine->onDatagram({buffer.data(), n}, now, Clock.WallMs());
      // What came with statements is known no later than these.
      if (Machine->newestReading() && Options.OnReading)
        Options.OnReading(*Machine->newestReading());
    }
    report();
    send(out);
  }
}

void GossipCarrier::report() {
  GossipCounters now;
  {
    std::lock_guard lock(Mutex);
    now = Machine->counters();
  }
  auto count = [this](const char *why, uint64_t &counted, uint64_t current) {
    if (current > counted)
      Shared.Metrics.add(C::DatagramMetric,
                         std::string("reason=\"") + why + "\"",
                         current - counted);
    counted = current;
  };
  count("forged", Counted.Forged, now.Forged);
  count("malformed", Counted.Malformed, now.Malformed);
  count("replayed", Counted.Replayed, now.Replayed);
  count("oversized", Counted.Oversized, now.Oversized);
}

void GossipCarrier::send(const std::vector<Datagram> &datagrams) {
  for (const Datagram &it : datagrams) {
    std::error_code ec;
    auto host = asio::ip::make_address(it.To.Host, ec);
    if (ec)
      continue;
    Socket.send_to(asio::buffer(it.Bytes), {host, it.To.Port}, 0, ec);
    if (ec)
      continue;
    Shared.countBytes("udp", "out", it.Bytes.size());
    Shared.Metrics.add(C::SentMetric, "way=\"out\"");
  }
}

void GossipCarrier::close() {
  std::vector<Datagram> out = with([this](Gossip &machine) {
    return machine.leave(Clock.Now(), Clock.WallMs());
  });
  send(out);
  std::error_code ec;
  Socket.close(ec);
}

} // namespace Peers::Internal
