#include "experiments/limitsreplay.h"

#include <algorithm>

namespace Experiments {

namespace {

using Verdict = Limiter::Verdict;

constexpr int64_t CrashAtMs = 60'000;
constexpr int64_t LeaseLapseMs = 4'100;
constexpr int64_t PlannedGapMs = 100;
constexpr int64_t AskAgainMs = 5;
constexpr int64_t ReportMs = 2;
constexpr int MaxRounds = 12;
constexpr size_t MaxWaitingForHolder = 16;
constexpr int64_t DeadlineMs = 15'000;

Utils::TimePoint timeOf(int64_t ms) {
  return Utils::TimePoint(std::chrono::hours(1) + Utils::Milliseconds(ms));
}

class LeasedLimiter : public Limiter {
public:
  LeasedLimiter(const TeamLimits &limits, Takeover takeover)
      : Teams(limits), Change(takeover) {
    Holder = Limits::makeHolder(Agreed, Fence, true, timeOf(0));
    applyTeams();
    for (size_t i = 0; i < DaemonCount; ++i) {
      Nodes[i].Own.Agreed = Agreed;
      Nodes[i].Own.Daemon = std::to_string(i);
      All.insert(Nodes[i].Own.Daemon);
    }
  }

  void step(int64_t nowMs) override {
    NowMs = nowMs;
    changeHolder();
    for (Node &node : Nodes)
      receive(node);
    for (Node &node : Nodes)
      send(node);
  }

  Verdict take(uint64_t id, const Demand &demand) override {
    Node &node = Nodes[demand.Daemon];
    if (tryReserve(id, demand))
      return Verdict::Granted;
    node.Waiting.push_back({id, demand, 0, NowMs, NowMs + DeadlineMs});
    return Verdict::Waiting;
  }

  Verdict poll(uint64_t id) override {
    auto it = Decided.find(id);
    if (it == Decided.end())
      return Verdict::Waiting;
    Verdict verdict = it->second;
    Decided.erase(it);
    return verdict;
  }

  bool deliver(uint64_t id, uint64_t n) override {
    auto &[daemon, tokens] = Held.at(id);
    Limits::Wallets &own = Nodes[daemon].Own;
    if (Limits::deliver(own, tokens, n, timeOf(NowMs)))
      return true;
    uint64_t lacking = Limits::mayDeliver(own, tokens, 0, timeOf(NowMs))
                           ? n - std::min(n, tokens.Tokens)
                           : n;
    if (Limits::extend(own, tokens, lacking, timeOf(NowMs)))
      return Limits::deliver(own, tokens, n, timeOf(NowMs));
    Nodes[daemon].Starved[tokens.Team] += lacking;
    return false;
  }

  void release(uint64_t id) override {
    auto it = Held.find(id);
    Limits::release(Nodes[it->second.first].Own, it->second.second);
    Held.erase(it);
  }

private:
  struct Waiter {
    uint64_t Id = 0;
    Demand What;
    int Rounds = 0;
    int64_t AskAtMs = 0;
    int64_t DeadlineMs = 0;
  };
  struct Node {
    Limits::Wallets Own;
    std::deque<Waiter> Waiting;
    std::map<std::string, uint64_t> Starved;
    std::optional<Limits::GrantRequest> Request;
    int64_t SentMs = -1000;
    /// Fence under which a holder last answered.
    uint64_t Fence = 0;
  };

  void applyTeams() {
    for (const auto &[team, limit] : Teams)
      Limits::setLimit(Holder, team, limit, timeOf(NowMs));
  }

  void changeHolder() {
    if (Change == Takeover::None || NowMs < CrashAtMs)
      return;
    bool planned = Change == Takeover::Planned;
    if (NowMs == CrashAtMs) {
      IsUp = false;
      State = Limits::handOver(Holder, timeOf(NowMs));
    }
    if (NowMs != CrashAtMs + (planned ? PlannedGapMs : LeaseLapseMs))
      return;
    IsUp = true;
    ++Fence;
    Holder = planned ? Limits::takeOver(Agreed, Fence, State, timeOf(NowMs))
                     : Limits::makeHolder(Agreed, Fence, false, timeOf(NowMs));
    if (!planned)
      Limits::awaitAccounts(Holder, All);
    applyTeams();
  }

  bool tryReserve(uint64_t id, const Demand &demand) {
    auto tokens = Limits::reserve(Nodes[demand.Daemon].Own, demand.Team,
                                  demand.Tokens, timeOf(NowMs));
    if (tokens)
      Held[id] = {demand.Daemon, *tokens};
    return tokens.has_value();
  }

  void send(Node &node) {
    if (node.Request)
      return;
    Limits::Needs needs;
    for (const Waiter &it : node.Waiting)
      if (NowMs >= it.AskAtMs)
        needs[it.What.Team].push_back(it.What.Tokens);
    for (const auto &[team, tokens] : std::exchange(node.Starved, {}))
      needs[team].push_back(tokens);
    bool isDue =
        NowMs >= node.SentMs + ReportMs &&
        (node.Fence != Fence || Limits::wantsExchange(node.Own, timeOf(NowMs)));
    if (needs.empty() && !isDue)
      return;
    node.SentMs = NowMs;
    node.Request = Limits::makeRequest(node.Own, Fence, needs, timeOf(NowMs));
  }

  /// The holder handles a request a millisecond after it was sent, the daemon
  /// the answer one later.
  void receive(Node &node) {
    if (!node.Request || NowMs < node.SentMs + 2)
      return;
    Limits::GrantRequest request = std::move(*node.Request);
    node.Request.reset();
    Limits::GrantReply reply;
    if (IsUp)
      reply = Limits::grant(Holder, request, timeOf(NowMs - 1));
    if (Limits::accept(node.Own, reply))
      node.Fence = reply.Fence;
    else
      Limits::abandon(node.Own);
    settleWaiters(node, reply);
    for (const Limits::AccountReply &it : reply.Accounts)
      if (it.HeldElsewhere)
        callBack(it.Team);
  }

  void callBack(const std::string &team) {
    for (const std::string &it : Limits::daemonsWithFree(Holder, team))
      Limits::giveBack(Nodes[std::stoul(it)].Own, team);
  }

  void settleWaiters(Node &node, const Limits::GrantReply &reply) {
    size_t kept = 0;
    std::erase_if(node.Waiting, [&](Waiter &it) {
      if (tryReserve(it.Id, it.What)) {
        Decided[it.Id] = Verdict::Granted;
        return true;
      }
      if (keeps(it, reply, kept)) {
        ++kept;
        return false;
      }
      Decided[it.Id] = Verdict::Refused;
      return true;
    });
  }

  bool keeps(Waiter &waiter, const Limits::GrantReply &reply, size_t kept) {
    if (NowMs >= waiter.DeadlineMs)
      return false;
    if (NowMs < waiter.AskAtMs)
      return true;
    ++waiter.Rounds;
    waiter.AskAtMs = NowMs + AskAgainMs;
    if (!reply.Holds)
      return kept < MaxWaitingForHolder;
    for (const Limits::AccountReply &it : reply.Accounts)
      if (it.Team == waiter.What.Team)
        return keepsFor(waiter, it, kept);
    return true;
  }

  bool keepsFor(Waiter &waiter, const Limits::AccountReply &reply,
                size_t kept) const {
    constexpr uint32_t shortWaitMs = 50;
    if (reply.OverBurst)
      return false;
    if (waiter.Rounds < MaxRounds &&
        (reply.HeldElsewhere || reply.RetryAfterMs <= shortWaitMs))
      return true;
    waiter.AskAtMs = NowMs + reply.RetryAfterMs;
    return reply.Opening && kept < MaxWaitingForHolder &&
           waiter.AskAtMs < waiter.DeadlineMs;
  }

  Limits::Policy Agreed;
  std::set<std::string> All;
  TeamLimits Teams;
  Takeover Change;
  int64_t NowMs = 0;
  uint64_t Fence = 1;
  bool IsUp = true;
  Limits::Holder Holder;
  Limits::Handover State;
  Node Nodes[DaemonCount];
  std::map<uint64_t, std::pair<size_t, Limits::Reservation>> Held;
  std::map<uint64_t, Verdict> Decided;
};

/// Plain buckets: each daemon has its part, and what is not used is put back.
class ShareLimiter : public Limiter {
public:
  explicit ShareLimiter(const TeamLimits &limits) {
    for (auto &node : Nodes)
      for (const auto &[team, limit] : limits)
        node[team] = {double(limit.RateTokensPerS) / DaemonCount,
                      double(limit.BurstTokens) / DaemonCount,
                      double(limit.BurstTokens) / DaemonCount, 0};
  }

  void step(int64_t) override {
    for (auto &node : Nodes)
      for (auto &[team, it] : node)
        it.Level = std::min(it.Level + it.Rate * 1e-3, it.Burst - it.Out);
  }
  Verdict take(uint64_t id, const Demand &demand) override {
    Share &share = Nodes[demand.Daemon][demand.Team];
    if (share.Level < double(demand.Tokens))
      return Verdict::Refused;
    share.Level -= double(demand.Tokens);
    share.Out += double(demand.Tokens);
    Held[id] = demand;
    return Verdict::Granted;
  }
  Verdict poll(uint64_t) override { return Verdict::Waiting; }
  bool deliver(uint64_t id, uint64_t n) override {
    Demand &held = Held.at(id);
    Nodes[held.Daemon][held.Team].Out -= double(n);
    held.Tokens -= n;
    return true;
  }
  void release(uint64_t id) override {
    const Demand &held = Held.at(id);
    Share &share = Nodes[held.Daemon][held.Team];
    share.Out -= double(held.Tokens);
    share.Level =
        std::min(share.Level + double(held.Tokens), share.Burst - share.Out);
    Held.erase(id);
  }

private:
  struct Share {
    double Rate = 0;
    double Burst = 0;
    double Level = 0;
    double Out = 0;
  };
  std::map<std::string, Share> Nodes[DaemonCount];
  std::map<uint64_t, Demand> Held;
};

} // namespace

std::unique_ptr<Limiter> makeLeasedLimiter(const TeamLimits &limits,
                                           Takeover takeover) {
  return std::make_unique<LeasedLimiter>(limits, takeover);
}

std::unique_ptr<Limiter> makeShareLimiter(const TeamLimits &limits) {
  return std::make_unique<ShareLimiter>(limits);
}

} // namespace Experiments
