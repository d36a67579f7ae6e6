#ifndef PEERS_MEMBERSHIP_H
#define PEERS_MEMBERSHIP_H

#include "peers/gossipmessage.h"

#include <random>

namespace Peers::Internal {

/// One known daemon.
struct Entry {
  Update Said;
  std::optional<Utils::TimePoint> LogLostSince;
  /// Suspects die and dead ones are forgotten at this point.
  Utils::TimePoint Until;
  /// Datagrams that still carry the update.
  uint32_t Transmissions = 0;
};

/// The members as this daemon sees them, and the rules by which statements
/// override each other. Part of Gossip.
class Membership {
public:
  Membership(GossipOptions options);

  /// Takes a statement in; a false one on this daemon is refuted.
  void merge(const Update &update, Utils::TimePoint now);
  /// Declares a member suspect after a failed probe.
  void suspect(const std::string &name, Utils::TimePoint now);
  /// Lets suspicion and tombstones run out.
  void expire(Utils::TimePoint now);

  /// When expire() next has something to do.
  Utils::TimePoint nextExpiry() const { return NextExpiry; }

  /// Update on this daemon with its log contact as it is now.
  Update self(Utils::TimePoint now);
  /// Updates to piggyback on a datagram to `to`, at most maxBytes.
  std::vector<Update> piggyback(const std::string &to, size_t maxBytes,
                                Utils::TimePoint now, std::mt19937_64 &random);

  const Entry *find(const std::string &name) const;
  bool isReachable(const std::string &name) const;
  std::vector<std::string> reachable() const;
  std::vector<std::string> suspects() const;
  size_t aliveCount() const { return Alive; }
  std::vector<MemberView> views() const;
  /// Everything known of the others.
  std::vector<Update> all(Utils::TimePoint now) const;
  /// Grows whenever a daemon becomes reachable or ceases to be.
  uint64_t changes() const { return Changes; }

  LogReport Report;
  uint64_t Incarnation = 0;
  MemberStatus SelfStatus = MemberStatus::Alive;

private:
  bool overrides(const Update &update, const Entry &entry) const;
  void refute(const Update &update);
  Utils::Milliseconds suspicionTime() const;
  uint32_t transmissions() const;
  Update refreshed(const Entry &entry, Utils::TimePoint now) const;
  void setStatus(Entry &entry, MemberStatus status, Utils::TimePoint now);

  GossipOptions Options;
  std::map<std::string, Entry> Entries;
  void countChange(bool wasUp, bool isUpNow);

  size_t Alive = 0;
  uint64_t Changes = 1;
  Utils::TimePoint NextExpiry = Utils::TimePoint::max();
  uint64_t SelfVersion = 0;
};

} // namespace Peers::Internal

#endif // PEERS_MEMBERSHIP_H
