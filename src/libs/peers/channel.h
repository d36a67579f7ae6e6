#ifndef PEERS_CHANNEL_H
#define PEERS_CHANNEL_H

#include "peers/envelope.h"
#include "peers/seal.h"
#include "utils/clock.h"

#include <asio.hpp>
#include <deque>
#include <functional>
#include <memory>

namespace Peers::Internal {

enum class ChannelRole : uint8_t { Client, Server };

class Channel;
using ChannelPtr = std::shared_ptr<Channel>;

/// What a channel reports; called on the network thread.
struct ChannelEvents {
  std::function<void(const ChannelPtr &)> Ready;
  std::function<void(const ChannelPtr &, Envelope)> Received;
  std::function<void(const ChannelPtr &)> Closed;
  /// A frame was dropped, and why.
  std::function<void(const char *why)> Dropped;
  /// Bytes that passed the socket.
  std::function<void(const char *way, size_t n)> Bytes;
};

/// One authenticated TCP connection. Both ends send a random challenge; the
/// keys come from the cluster key and both challenges. Everything that follows
/// is sealed frames, checked before they are decoded. Used on the network
/// thread only.
class Channel : public std::enable_shared_from_this<Channel> {
public:
  Channel(asio::ip::tcp::socket socket, ChannelRole role, std::string self,
          Key cluster, ChannelEvents events);

  /// Connects first; for clients.
  void connect(const asio::ip::tcp::endpoint &address);
  /// Begins the handshake; for servers.
  void start();
  /// Queues a message; false when the channel is not ready or its queue full.
  bool send(const Envelope &envelope);
  void close();

  bool ready() const { return Ready; }
  /// Name that the other end gave; empty until ready.
  const std::string &peer() const { return Peer; }
  /// When the last frame came in.
  Utils::TimePoint lastReceived() const { return LastReceived; }

private:
  asio::awaitable<void> run(bool connectFirst, asio::ip::tcp::endpoint address);
  asio::awaitable<bool> shakeHands();
  asio::awaitable<bool> readInto(char *data, size_t n);
  asio::awaitable<std::optional<Envelope>> readEnvelope();
  asio::awaitable<void> write();
  void queue(std::string &&bytes);
  void drop(const char *why) { Events.Dropped(why); }

  asio::ip::tcp::socket Socket;
  asio::steady_timer HandshakeTimer;
  ChannelRole Role;
  std::string Self;
  Key Cluster;
  ChannelEvents Events;
  StreamSealer Sealer;
  StreamOpener Opener;
  std::string Peer;
  std::deque<std::string> Out;
  size_t OutBytes = 0;
  bool Writing = false;
  bool Ready = false;
  bool Closed = false;
  Utils::TimePoint LastReceived;
};

} // namespace Peers::Internal

#endif // PEERS_CHANNEL_H
