#include "peers/outgoing.h"

namespace Peers::Internal {

namespace C = Constants;

Outgoing::Outgoing(Transport &transport, Utils::Clock clock)
    : Shared(transport), Clock(std::move(clock)) {}

Utils::Outcome<std::string>
Outgoing::call(const std::string &daemon, const std::optional<Address> &address,
               const std::string &method, const std::string &payload,
               Utils::TimePoint deadline) {
  if (!address)
    return Utils::failure(Utils::Errc::Unavailable,
                          "peer: no address of " + daemon);
  if (payload.size() > C::MaxPayloadBytes)
    return Utils::failure(Utils::Errc::Unavailable, "peer: payload too large");
  auto counted = std::shared_ptr<void>(nullptr, [this](void *) { --Pending; });
  if (++Pending > C::MaxPendingCalls)
    return Utils::failure(Utils::Errc::Unavailable,
                          "peer: too many calls under way");
  auto call = std::make_shared<PendingCall>();
  Utils::TimePoint asked = Clock.Now();
  asio::post(Shared.Io, [this, daemon, where = *address,
                         request = Request{call, method, payload, deadline}] {
    submit(daemon, where, request);
  });
  Utils::Outcome<std::string> outcome = call->wait(deadline);
  if (!outcome && outcome.error().Code == Utils::Errc::UnknownResult)
    asio::post(Shared.Io,
               [this, daemon, call, asked] { onGivenUp(daemon, call, asked); });
  return outcome;
}

void Outgoing::submit(const std::string &daemon, const Address &address,
                      Request request) {
  if (Closing)
    return request.Call->fail("stopping");
  Link &link = Links[daemon];
  if (!link.Channel) {
    link.Where = address;
    link.Waiting.push_back(std::move(request));
    return open(daemon, link);
  }
  if (link.Channel->ready())
    return send(link, request);
  link.Waiting.push_back(std::move(request));
}

void Outgoing::open(const std::string &daemon, Link &link) {
  ChannelEvents events = Shared.countingEvents();
  events.Ready = [this, daemon](const ChannelPtr &it) { onReady(daemon, it); };
  events.Received = [this, daemon](const ChannelPtr &it, const Envelope &in) {
    onReply(daemon, it, in);
  };
  events.Closed = [this, daemon](const ChannelPtr &it) {
    onClosed(daemon, it);
  };
  link.Channel = std::make_shared<Channel>(asio::ip::tcp::socket(Shared.Io),
                                           ChannelRole::Client, Shared.Name,
                                           Shared.TcpKey, std::move(events));
  std::error_code ec;
  auto host = asio::ip::make_address(link.Where.Host, ec);
  if (ec)
    return link.Channel->close();
  link.Channel->connect({host, link.Where.Port});
}

void Outgoing::send(Link &link, const Request &request) {
  if (!request.Call->markSent())
    return;
  auto left = std::chrono::duration_cast<Utils::Milliseconds>(request.Deadline -
                                                              Clock.Now());
  Envelope envelope;
  envelope.Kind = EnvelopeKind::Request;
  envelope.Id = ++LastId;
  envelope.LeftMs = static_cast<uint32_t>(
      std::clamp<Utils::Milliseconds::rep>(left.count(), 0, UINT32_MAX));
  envelope.Method = request.Method;
  envelope.Payload = request.Payload;
  if (!link.Channel->send(envelope))
    return request.Call->finish(Utils::failure(
        Utils::Errc::Unavailable, "peer: the connection's queue is full"));
  link.Sent.emplace(envelope.Id, request.Call);
}

Outgoing::Link *Outgoing::linkOf(const std::string &daemon,
                                 const ChannelPtr &channel) {
  auto it = Links.find(daemon);
  return it != Links.end() && it->second.Channel == channel ? &it->second
                                                            : nullptr;
}

void Outgoing::onReady(const std::string &daemon, const ChannelPtr &channel) {
  Link *link = linkOf(daemon, channel);
  if (!link)
    return;
  if (channel->peer() != daemon) {
    Shared.Metrics.add(C::FrameMetric, "reason=\"wrong_peer\"");
    return channel->close();
  }
  for (const Request &it : std::exchange(link->Waiting, {}))
    send(*link, it);
}

void Outgoing::onReply(const std::string &daemon, const ChannelPtr &channel,
                       const Envelope &envelope) {
  Link *link = linkOf(daemon, channel);
  if (!link || envelope.Kind != EnvelopeKind::Reply)
    return;
  auto it = link->Sent.find(envelope.Id);
  if (it == link->Sent.end())
    return;
  if (envelope.Code == 0)
    it->second->finish(envelope.Payload);
  else
    it->second->finish(Utils::failure(static_cast<Utils::Errc>(envelope.Code),
                                      envelope.Payload));
  link->Sent.erase(it);
}

void Outgoing::onClosed(const std::string &daemon, const ChannelPtr &channel) {
  Link *link = linkOf(daemon, channel);
  if (!link)
    return;
  Link gone = std::move(*link);
  Links.erase(daemon);
  for (const Request &it : gone.Waiting)
    it.Call->fail("no connection to " + daemon);
  for (const auto &[id, call] : gone.Sent)
    call->fail("the connection to " + daemon + " was lost");
}

void Outgoing::onGivenUp(const std::string &daemon, const PendingCallPtr &call,
                         Utils::TimePoint asked) {
  auto it = Links.find(daemon);
  if (it == Links.end())
    return;
  std::erase_if(it->second.Sent,
                [&](const auto &entry) { return entry.second == call; });
  ChannelPtr channel = it->second.Channel;
  if (channel->ready() && channel->lastReceived() < asked)
    channel->close();
}

void Outgoing::close() {
  Closing = true;
  std::vector<ChannelPtr> channels;
  for (const auto &[daemon, link] : Links)
    channels.push_back(link.Channel);
  for (const ChannelPtr &it : channels)
    it->close();
}

} // namespace Peers::Internal
