#ifndef PEERS_OUTGOING_H
#define PEERS_OUTGOING_H

#include "peers/node.h"
#include "peers/pendingcall.h"
#include "peers/transport.h"

#include <map>
#include <unordered_map>

namespace Peers::Internal {

/// Requests of this daemon to others: one persistent connection to each daemon
/// that was called. State lives on the network thread.
class Outgoing {
public:
  Outgoing(Transport &transport, Utils::Clock clock);

  /// Calls and waits; on any thread but the network thread.
  Utils::Outcome<std::string> call(const std::string &daemon,
                                   const std::optional<Address> &address,
                                   const std::string &method,
                                   const std::string &payload,
                                   Utils::TimePoint deadline);

  /// Ends all calls; on the network thread.
  void close();

private:
  struct Request {
    PendingCallPtr Call;
    std::string Method;
    std::string Payload;
    Utils::TimePoint Deadline;
  };
  struct Link {
    ChannelPtr Channel;
    Address Where;
    /// Requests that wait for the handshake.
    std::deque<Request> Waiting;
    std::unordered_map<uint64_t, PendingCallPtr> Sent;
  };

  void submit(const std::string &daemon, const Address &address,
              Request request);
  void open(const std::string &daemon, Link &link);
  void send(Link &link, const Request &request);
  void onReady(const std::string &daemon, const ChannelPtr &channel);
  void onReply(const std::string &daemon, const ChannelPtr &channel,
               const Envelope &envelope);
  void onClosed(const std::string &daemon, const ChannelPtr &channel);
  /// Forgets calls given up, and a connection that answers nothing any more.
  void onGivenUp(const std::string &daemon, const PendingCallPtr &call,
                 Utils::TimePoint asked);
  Link *linkOf(const std::string &daemon, const ChannelPtr &channel);

  Transport &Shared;
  Utils::Clock Clock;
  std::map<std::string, Link> Links;
  uint64_t LastId = 0;
  std::atomic<size_t> Pending = 0;
  bool Closing = false;
};

} // namespace Peers::Internal

#endif // PEERS_OUTGOING_H
