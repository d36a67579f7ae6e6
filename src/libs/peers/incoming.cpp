#include "peers/incoming.h"

namespace Peers::Internal {

namespace C = Constants;

namespace {

Envelope failedReply(uint64_t id, Utils::Errc code, std::string why) {
  Envelope reply;
  reply.Kind = EnvelopeKind::Reply;
  reply.Id = id;
  reply.Code = static_cast<int32_t>(code);
  reply.Payload = std::move(why);
  return reply;
}

Envelope replyOf(uint64_t id, Utils::Outcome<std::string> outcome) {
  if (!outcome)
    return failedReply(id,
                       static_cast<Utils::Errc>(outcome.error().Code.value()),
                       outcome.error().What);
  if (outcome->size() > C::MaxPayloadBytes)
    return failedReply(id, Utils::Errc::ResourceExhausted,
                       "peer: answer too large");
  Envelope reply;
  reply.Kind = EnvelopeKind::Reply;
  reply.Id = id;
  reply.Payload = std::move(outcome.value());
  return reply;
}

} // namespace

Incoming::Incoming(Transport &transport, Utils::Clock clock)
    : Shared(transport), Clock(std::move(clock)), Acceptor(transport.Io),
      Ring(C::WorkerRingCapacity) {}

Incoming::~Incoming() { stopWorkers(); }

void Incoming::handle(const std::string &method, Handler handler) {
  handleLater(method, [handler = std::move(handler)](const std::string &from,
                                                     std::string_view payload,
                                                     const Answer &answer) {
    answer(handler(from, payload));
  });
}

void Incoming::handleLater(const std::string &method, LaterHandler handler) {
  Handlers[method] = std::move(handler);
}

Utils::Status Incoming::listen(const Address &address) {
  std::error_code ec;
  auto host = asio::ip::make_address(address.Host, ec);
  asio::ip::tcp::endpoint endpoint(host, address.Port);
  if (!ec)
    Acceptor.open(endpoint.protocol(), ec);
  if (!ec)
    Acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec)
    Acceptor.bind(endpoint, ec);
  if (!ec)
    Acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec)
    return Utils::failure(Utils::Errc::Unavailable,
                          "peer port cannot be bound: " + ec.message());
  Port = Acceptor.local_endpoint().port();
  asio::co_spawn(
      Shared.Io, [this] { return accept(); }, asio::detached);
  for (size_t i = 0; i < C::WorkerCount; ++i)
    Workers.emplace_back([this] { work(); });
  return Utils::success();
}

void Incoming::stopWorkers() {
  Ring.close();
  for (std::thread &it : Workers)
    it.join();
  Workers.clear();
}

void Incoming::close() {
  std::error_code ec;
  Acceptor.close(ec);
  std::set<ChannelPtr> channels = Channels;
  for (const ChannelPtr &it : channels)
    it->close();
}

asio::awaitable<void> Incoming::accept() {
  while (Acceptor.is_open()) {
    std::error_code ec;
    asio::ip::tcp::socket socket = co_await Acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, ec));
    if (!ec) {
      admit(std::move(socket));
      continue;
    }
    asio::steady_timer pause(Shared.Io, C::AcceptRetry);
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
}

void Incoming::admit(asio::ip::tcp::socket socket) {
  if (Channels.size() >= C::MaxInboundChannels) {
    Shared.Metrics.add(C::FrameMetric, "reason=\"too_many_connections\"");
    return;
  }
  ChannelEvents events = Shared.countingEvents();
  events.Received = [this](const ChannelPtr &it, Envelope in) {
    onRequest(it, std::move(in));
  };
  events.Closed = [this](const ChannelPtr &it) { Channels.erase(it); };
  auto channel =
      std::make_shared<Channel>(std::move(socket), ChannelRole::Server,
                                Shared.Name, Shared.TcpKey, std::move(events));
  Channels.insert(channel);
  channel->start();
}

void Incoming::onRequest(const ChannelPtr &channel, Envelope request) {
  if (request.Kind != EnvelopeKind::Request)
    return;
  uint64_t id = request.Id;
  Utils::TimePoint deadline = Clock.Now() + Utils::Milliseconds(request.LeftMs);
  if (!Ring.tryPush({channel, std::move(request), deadline}))
    channel->send(
        failedReply(id, Utils::Errc::Unavailable, "peer: workers are busy"));
}

void Incoming::work() {
  while (std::optional<Job> job = Ring.pop())
    answer(*job);
}

void Incoming::answer(const Job &job) {
  using Utils::Errc;
  auto give = [this, channel = job.Channel,
               id = job.Request.Id](Utils::Outcome<std::string> outcome) {
    asio::post(Shared.Io, [channel, reply = replyOf(id, std::move(outcome))] {
      channel->send(reply);
    });
  };
  if (Clock.Now() >= job.Deadline)
    return give(Utils::failure(Errc::Unavailable,
                               "peer: deadline passed before the handler ran"));
  auto it = Handlers.find(job.Request.Method);
  if (it == Handlers.end())
    return give(Utils::failure(Errc::NotFound,
                               "peer: no method " + job.Request.Method));
  it->second(job.Channel->peer(), job.Request.Payload, give);
}

} // namespace Peers::Internal
