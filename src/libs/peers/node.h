#ifndef PEERS_NODE_H
#define PEERS_NODE_H

#include "metrics/metrics.h"
#include "peers/gossip.h"
#include "peers/rpc.h"

#include <map>
#include <memory>
#include <optional>

namespace Peers {

/// What a node needs to know.
struct NodeOptions {
  std::string Name;
  std::string FailureDomain;
  /// Bound for TCP and UDP; port 0 takes a free one.
  Address Listen;
  /// Told to the others as the place to reach this node; port 0 tells them
  /// the bound address.
  Address Advertise;
  std::string ClusterSecret;
  /// Daemons asked first.
  std::vector<Address> Seeds;
  /// Daemons that the state names; may be empty.
  std::function<std::map<std::string, Address>()> Roster;
  /// What gossip says of the own log contact; may be empty.
  std::function<LogReport(Utils::TimePoint now)> Report;
  /// Told of the newest reading of the log by any daemon; may be empty.
  std::function<void(const LogReading &)> OnReading;
};

/// This daemon among the others: one network thread and a few workers that run
/// the handlers.
class Node {
public:
  Node(NodeOptions options, Metrics::Registry &metrics, Utils::Clock clock);
  ~Node();

  /// Functions that call through this node; valid as long as it lives.
  Rpc rpc();

  /// Binds the port and starts the threads.
  Utils::Status start();
  /// Ends all calls and joins the threads.
  void stop();

  /// All other daemons known, whatever their status.
  std::vector<MemberView> members() const;
  uint64_t incarnation() const;
  /// See Gossip::outageReports().
  std::map<std::string, std::optional<Utils::TimePoint>> outageReports() const;
  /// Exchanges all members with some other daemon; false when none answered.
  bool exchangeMembers(Utils::TimePoint deadline);

  /// Where others reach it.
  Address where() const;
  /// Port that it listens on.
  uint16_t port() const;

private:
  struct Content;
  std::unique_ptr<Content> Data;
};

} // namespace Peers

#endif // PEERS_NODE_H
