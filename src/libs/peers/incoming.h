#ifndef PEERS_INCOMING_H
#define PEERS_INCOMING_H

#include "peers/node.h"
#include "peers/transport.h"
#include "utils/blockingqueue.h"

#include <atomic>
#include <map>
#include <set>
#include <thread>

namespace Peers::Internal {

/// Requests of other daemons: accepts connections on the network thread and
/// runs handlers on workers joined to it by a bounded ring.
class Incoming {
public:
  Incoming(Transport &transport, Utils::Clock clock);
  ~Incoming();

  void handle(const std::string &method, Handler handler);
  void handleLater(const std::string &method, LaterHandler handler);
  Utils::Status listen(const Address &address);
  uint16_t port() const { return Port; }
  /// Joins the workers; on any thread but theirs.
  void stopWorkers();
  /// Closes all connections; on the network thread.
  void close();

private:
  struct Job {
    ChannelPtr Channel;
    Envelope Request;
    Utils::TimePoint Deadline;
  };

  asio::awaitable<void> accept();
  void admit(asio::ip::tcp::socket socket);
  void onRequest(const ChannelPtr &channel, Envelope request);
  void work();
  void answer(const Job &job);

  Transport &Shared;
  Utils::Clock Clock;
  std::map<std::string, LaterHandler> Handlers;
  asio::ip::tcp::acceptor Acceptor;
  uint16_t Port = 0;
  std::set<ChannelPtr> Channels;
  Utils::BlockingQueue<Job> Ring;
  std::vector<std::thread> Workers;
};

} // namespace Peers::Internal

#endif // PEERS_INCOMING_H
