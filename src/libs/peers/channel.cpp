#include "peers/channel.h"
#include "peers/peersconstants.h"

namespace Peers::Internal {

namespace C = Constants;

namespace {

constexpr size_t LengthBytes = 4;
constexpr std::string_view ToServer = "client to server";
constexpr std::string_view ToClient = "server to client";

std::string encodeLength(size_t n) {
  std::string bytes;
  for (size_t i = 0; i < LengthBytes; ++i)
    bytes.push_back(static_cast<char>(n >> (8 * i)));
  return bytes;
}

size_t decodeLength(const std::array<uint8_t, LengthBytes> &bytes) {
  size_t n = 0;
  for (size_t i = 0; i < LengthBytes; ++i)
    n |= static_cast<size_t>(bytes[i]) << (8 * i);
  return n;
}

} // namespace

Channel::Channel(asio::ip::tcp::socket socket, ChannelRole role,
                 std::string self, Key cluster, ChannelEvents events)
    : Socket(std::move(socket)), HandshakeTimer(Socket.get_executor()),
      Role(role), Self(std::move(self)), Cluster(cluster),
      Events(std::move(events)) {}

void Channel::connect(const asio::ip::tcp::endpoint &address) {
  asio::co_spawn(
      Socket.get_executor(),
      [self = shared_from_this(), address] { return self->run(true, address); },
      asio::detached);
}

void Channel::start() {
  asio::co_spawn(
      Socket.get_executor(),
      [self = shared_from_this()] { return self->run(false, {}); },
      asio::detached);
}

asio::awaitable<void> Channel::run(bool connectFirst,
                                   asio::ip::tcp::endpoint address) {
  ChannelPtr self = shared_from_this();
  HandshakeTimer.expires_after(C::HandshakeTimeout);
  HandshakeTimer.async_wait([self](std::error_code ec) {
    if (!ec && !self->Ready)
      self->close();
  });
  std::error_code ec;
  if (connectFirst)
    co_await Socket.async_connect(
        address, asio::redirect_error(asio::use_awaitable, ec));
  if (!ec && !Closed && co_await shakeHands()) {
    Ready = true;
    HandshakeTimer.cancel();
    Events.Ready(self);
    while (true) {
      std::optional<Envelope> envelope = co_await readEnvelope();
      if (!envelope)
        break;
      Events.Received(self, std::move(*envelope));
    }
  }
  close();
}

asio::awaitable<bool> Channel::shakeHands() {
  std::error_code ec;
  Socket.set_option(asio::ip::tcp::no_delay(true), ec);
  Challenge mine = randomChallenge();
  queue(std::string(reinterpret_cast<const char *>(mine.data()), mine.size()));
  Challenge theirs;
  if (!co_await readInto(reinterpret_cast<char *>(theirs.data()),
                         theirs.size()))
    co_return false;
  bool isClient = Role == ChannelRole::Client;
  const Challenge &client = isClient ? mine : theirs;
  const Challenge &server = isClient ? theirs : mine;
  Key up = deriveStreamKey(Cluster, ToServer, client, server);
  Key down = deriveStreamKey(Cluster, ToClient, client, server);
  queue(Sealer.start(isClient ? up : down));
  Envelope identity;
  identity.Payload = Self;
  std::string sealed = Sealer.seal(Codec::encode(identity));
  queue(encodeLength(sealed.size()) + sealed);
  std::string header(StreamHeaderBytes, '\0');
  if (!co_await readInto(header.data(), header.size()))
    co_return false;
  if (!Opener.start(isClient ? down : up, header))
    co_return false;
  std::optional<Envelope> other = co_await readEnvelope();
  if (!other || other->Kind != EnvelopeKind::Identity ||
      other->Payload.empty() || other->Payload.size() > C::MaxNameBytes)
    co_return false;
  Peer = other->Payload;
  co_return true;
}

asio::awaitable<bool> Channel::readInto(char *data, size_t n) {
  std::error_code ec;
  size_t got =
      co_await asio::async_read(Socket, asio::buffer(data, n),
                                asio::redirect_error(asio::use_awaitable, ec));
  Events.Bytes("in", got);
  if (ec && got > 0)
    drop("truncated");
  co_return !ec;
}

asio::awaitable<std::optional<Envelope>> Channel::readEnvelope() {
  std::array<uint8_t, LengthBytes> prefix;
  if (!co_await readInto(reinterpret_cast<char *>(prefix.data()),
                         prefix.size()))
    co_return std::nullopt;
  size_t n = decodeLength(prefix);
  if (n > (Ready ? C::MaxFrameBytes : C::MaxIdentityFrameBytes)) {
    drop("oversized");
    co_return std::nullopt;
  }
  std::string sealed(n, '\0');
  if (!co_await readInto(sealed.data(), n))
    co_return std::nullopt;
  std::optional<std::string> plain = Opener.open(sealed);
  if (!plain) {
    drop("forged");
    co_return std::nullopt;
  }
  Utils::Outcome<Envelope> envelope = Codec::decode<Envelope>(*plain);
  if (!envelope) {
    drop("malformed");
    co_return std::nullopt;
  }
  LastReceived = std::chrono::steady_clock::now();
  co_return std::move(envelope.value());
}

bool Channel::send(const Envelope &envelope) {
  if (!Ready || Closed)
    return false;
  std::string plain = Codec::encode(envelope);
  size_t n = plain.size() + StreamOverheadBytes;
  if (n > C::MaxFrameBytes || OutBytes + n > C::MaxQueuedBytes)
    return false;
  queue(encodeLength(n) + Sealer.seal(plain));
  return true;
}

void Channel::queue(std::string &&bytes) {
  OutBytes += bytes.size();
  Out.push_back(std::move(bytes));
  if (Writing)
    return;
  Writing = true;
  asio::co_spawn(
      Socket.get_executor(),
      [self = shared_from_this()] { return self->write(); }, asio::detached);
}

asio::awaitable<void> Channel::write() {
  std::error_code ec;
  while (!Out.empty() && !Closed && !ec) {
    size_t n = co_await asio::async_write(
        Socket, asio::buffer(Out.front()),
        asio::redirect_error(asio::use_awaitable, ec));
    Events.Bytes("out", n);
    OutBytes -= Out.front().size();
    Out.pop_front();
  }
  Writing = false;
  if (ec)
    close();
}

void Channel::close() {
  if (Closed)
    return;
  Closed = true;
  HandshakeTimer.cancel();
  std::error_code ec;
  Socket.close(ec);
  Events.Closed(shared_from_this());
}

} // namespace Peers::Internal
