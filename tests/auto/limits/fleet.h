#ifndef TESTS_LIMITS_FLEET_H
#define TESTS_LIMITS_FLEET_H

#include "limits/limits.h"

#include <algorithm>

namespace LimitsTest {

using namespace Limits;
using Nanos = std::chrono::nanoseconds;

inline const std::string Team = "menus";

/// A token bucket in true time that is charged at delivery: a negative level
/// means that some window held more than rate * window + burst.
struct Reference {
  Limit Allowed;
  uint64_t Cap = 0;
  int64_t CapFallsAt = INT64_MAX;
  double Level = 0;
  int64_t At = 0;

  void fill(int64_t to) {
    Level += double(Allowed.RateTokensPerS) * double(to - At) * 1e-9;
    Level = std::min(Level, double(Cap));
    At = to;
  }
  void advance(int64_t now) {
    if (now >= CapFallsAt) {
      fill(CapFallsAt);
      Cap = Allowed.BurstTokens;
      CapFallsAt = INT64_MAX;
    }
    fill(now);
  }
};

/// Daemons, a holder, and messages on their way, in true time.
class Fleet {
public:
  struct Node {
    Wallets Own;
    double Rate = 1;
    std::vector<Reservation> Held;
    std::vector<GrantReply> Inbox;
  };
  struct Sent {
    size_t From = 0;
    GrantRequest Request;
  };

  Fleet(size_t nodes, Limit limit, Policy policy)
      : Agreed(policy), Allowed(limit), Nodes(nodes) {
    for (size_t i = 0; i < nodes; ++i)
      replace(i);
    True.Allowed = limit;
    True.Cap = limit.BurstTokens;
    True.Level = double(limit.BurstTokens);
    Keeper = makeHolder(Agreed, Fence, true, holderNow());
    setLimit(Keeper, Team, Allowed, holderNow());
  }

  Utils::TimePoint localNow(size_t i) const {
    return Utils::TimePoint(
        Nanos(3600'000'000'000 + int64_t(double(Now) * Nodes[i].Rate)));
  }
  Utils::TimePoint holderNow() const {
    return Utils::TimePoint(
        Nanos(7200'000'000'000 + int64_t(double(Now) * HolderRate)));
  }

  void pass(uint32_t ms) {
    Now += int64_t(ms) * 1'000'000;
    True.advance(Now);
  }
  void send(size_t i, std::vector<uint64_t> needs) {
    Needs all;
    if (!needs.empty())
      all[Team] = std::move(needs);
    Wires.push_back({i, makeRequest(Nodes[i].Own, Fence, all, localNow(i))});
  }
  /// The holder handles a message that stays on the wire if `repeated`.
  void arrive(size_t k, bool repeated) {
    if (Wires.empty())
      return;
    auto it = Wires.begin() + long(k % Wires.size());
    GrantReply reply = grant(Keeper, it->Request, holderNow());
    Nodes[it->From].Inbox.push_back(std::move(reply));
    if (!repeated)
      Wires.erase(it);
  }
  void answer(size_t i, size_t k) {
    auto &inbox = Nodes[i].Inbox;
    if (inbox.empty())
      return;
    auto it = inbox.begin() + long(k % inbox.size());
    accept(Nodes[i].Own, *it);
    inbox.erase(it);
  }
  bool take(size_t i, uint64_t tokens) {
    auto it = reserve(Nodes[i].Own, Team, tokens, localNow(i));
    if (it)
      Nodes[i].Held.push_back(*it);
    return it.has_value();
  }
  /// Delivers on the node's oldest reservation.
  void serve(size_t i, uint64_t tokens) {
    auto &held = Nodes[i].Held;
    if (held.empty())
      return;
    uint64_t n = std::min(tokens, held.front().Tokens);
    if (deliver(Nodes[i].Own, held.front(), n, localNow(i))) {
      True.Level -= double(n);
      Delivered += n;
    }
  }
  void finish(size_t i) {
    auto &held = Nodes[i].Held;
    if (held.empty())
      return;
    release(Nodes[i].Own, held.front());
    held.erase(held.begin());
  }
  /// Takes all that the wallet holds.
  void hoard(size_t i) {
    auto it = Nodes[i].Own.Teams.find(Team);
    if (it != Nodes[i].Own.Teams.end() && it->second.free() > 0)
      take(i, it->second.free());
  }
  /// Delivers all that the node may deliver.
  void drain(size_t i) {
    hoard(i);
    while (!Nodes[i].Held.empty()) {
      serve(i, UINT32_MAX);
      finish(i);
    }
  }
  /// The holder dies; its lease ends and is claimed in the same instant.
  /// With `early`, the new holder opens once all daemons have presented.
  void crash(double rate, bool early = false) {
    ++Fence;
    HolderRate = rate;
    Keeper = makeHolder(Agreed, Fence, false, holderNow());
    std::set<std::string> daemons;
    for (const Node &it : Nodes)
      daemons.insert(daemonOfProcess(it.Own.Daemon));
    if (early)
      awaitAccounts(Keeper, std::move(daemons));
    setLimit(Keeper, Team, Allowed, holderNow());
  }
  void plannedStop(double rate) {
    Handover state = handOver(Keeper, holderNow());
    ++Fence;
    HolderRate = rate;
    Keeper = takeOver(Agreed, Fence, state, holderNow());
    setLimit(Keeper, Team, Allowed, holderNow());
  }
  void replace(size_t i) {
    double rate = Nodes[i].Rate;
    Nodes[i] = Node();
    Nodes[i].Rate = rate;
    Nodes[i].Own.Agreed = Agreed;
    Nodes[i].Own.Daemon =
        "d" + std::to_string(i) + "/" + std::to_string(++Started);
  }
  void edit(Limit limit) {
    True.advance(Now);
    if (limit.BurstTokens >= True.Cap) {
      True.Cap = limit.BurstTokens;
      True.CapFallsAt = INT64_MAX;
    } else {
      True.CapFallsAt = Now + int64_t(Agreed.GrantMs) * 1'030'000;
    }
    True.Allowed = Allowed = limit;
    setLimit(Keeper, Team, limit, holderNow());
  }
  /// One exchange without faults.
  void exchange(size_t i, std::vector<uint64_t> needs) {
    send(i, std::move(needs));
    arrive(Wires.size() - 1, false);
    answer(i, Nodes[i].Inbox.size() - 1);
  }

  Policy Agreed;
  Limit Allowed;
  Reference True;
  uint64_t Fence = 1;
  double HolderRate = 1;
  int64_t Now = 0;
  Holder Keeper;
  std::vector<Node> Nodes;
  std::vector<Sent> Wires;
  uint64_t Started = 0;
  uint64_t Delivered = 0;
};

} // namespace LimitsTest

#endif // TESTS_LIMITS_FLEET_H
