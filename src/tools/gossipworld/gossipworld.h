#ifndef GOSSIPWORLD_GOSSIPWORLD_H
#define GOSSIPWORLD_GOSSIPWORLD_H

#include "peers/gossip.h"
#include "peers/peersconstants.h"

#include <functional>
#include <queue>
#include <random>

namespace GossipWorld {

using Peers::Address;
using Peers::Datagram;
using Peers::Gossip;
using Utils::Milliseconds;
using Utils::TimePoint;

/// One simulated daemon.
struct Daemon {
  std::string Name;
  Address Where;
  std::unique_ptr<Gossip> Machine;
  bool Up = true;
  TimePoint NextExchange;
  uint64_t TcpBytes = 0;
  uint64_t BytesOut = 0;
  uint64_t DatagramsOut = 0;
};

/// Daemons in one process under simulated time, with links that lose and
/// delay. Everything follows from the seed.
class World {
public:
  explicit World(size_t n, uint64_t seed) : Random(seed) {
    for (size_t i = 0; i < n; ++i)
      add();
  }

  size_t add() {
    size_t i = Daemons.size();
    Daemon it;
    it.Name = "daemon-" + std::to_string(1000 + i);
    it.Where = {"10.0.0.1", static_cast<uint16_t>(i + 1)};
    Daemons.push_back(std::move(it));
    restart(i);
    return i;
  }

  void restart(size_t i) {
    Peers::GossipOptions options;
    options.Name = Daemons[i].Name;
    options.Where = Daemons[i].Where;
    options.FailureDomain = "domain-" + std::to_string(i % 5);
    options.ClusterSecret = "a secret for the gossip world";
    options.Seeds = {{"10.0.0.1", 1}, {"10.0.0.1", 2}};
    options.FirstIncarnation = static_cast<uint64_t>(wallMs());
    options.RandomSeed = Random();
    Daemons[i].Machine = std::make_unique<Gossip>(options);
    Daemons[i].Up = true;
  }

  /// Runs for a while; onTick is called after each step.
  void run(Milliseconds time) {
    TimePoint end = Now + time;
    while (Now < end) {
      Now += Peers::Constants::TickPeriod;
      deliver();
      for (size_t i = 0; i < Daemons.size(); ++i)
        if (Daemons[i].Up && Now >= Daemons[i].Machine->nextTick()) {
          if (BeforeTick)
            BeforeTick(i);
          send(i, Daemons[i].Machine->onTick(Now, wallMs()));
          exchange(i);
        }
    }
  }

  void send(size_t from, const std::vector<Datagram> &datagrams) {
    for (const Datagram &it : datagrams) {
      Daemons[from].BytesOut += it.Bytes.size();
      ++Daemons[from].DatagramsOut;
      Largest = std::max(Largest, it.Bytes.size());
      size_t to = it.To.Port - size_t{1};
      bool lost = std::uniform_real_distribution<>(0, 1)(Random) < Loss;
      if (lost || (Cut && Cut(from, to)))
        continue;
      Milliseconds delay = Delay ? Delay(from, to) : Milliseconds(1);
      Flying.push({Now + delay, ++Serial, to, it.Bytes});
    }
  }

  int64_t wallMs() const {
    constexpr int64_t wallStartMs = 1'700'000'000'000;
    return wallStartMs +
           std::chrono::duration_cast<Milliseconds>(Now.time_since_epoch())
               .count();
  }

  /// Daemons that i holds in the status.
  size_t count(size_t i, Peers::MemberStatus status) const {
    size_t n = 0;
    for (const Peers::MemberView &it : Daemons[i].Machine->members())
      n += it.Status == status ? 1 : 0;
    return n;
  }

  /// Whether every daemon that is up sees n others as alive.
  bool allSee(size_t n) const {
    for (size_t i = 0; i < Daemons.size(); ++i)
      if (Daemons[i].Up && (Daemons[i].Machine->reachableCount() != n ||
                            count(i, Peers::MemberStatus::Alive) != n))
        return false;
    return true;
  }

  /// Runs until the condition holds; false when it does not within the time.
  bool runUntil(const std::function<bool()> &holds, Milliseconds atMost) {
    TimePoint end = Now + atMost;
    while (!holds() && Now < end)
      run(Milliseconds(200));
    return holds();
  }

  std::vector<Daemon> Daemons;
  TimePoint Now{std::chrono::hours(1)};
  double Loss = 0;
  std::function<bool(size_t from, size_t to)> Cut;
  std::function<Milliseconds(size_t from, size_t to)> Delay;
  std::function<void(size_t)> BeforeTick;
  size_t Largest = 0;

private:
  /// What the node does over TCP: exchanges all members with another daemon
  /// at first contact and now and then.
  void exchange(size_t i) {
    Daemon &it = Daemons[i];
    if (Now < it.NextExchange || it.Machine->reachableCount() == 0)
      return;
    auto members = it.Machine->members();
    const Peers::MemberView &other = members[Random() % members.size()];
    size_t to = other.Where.Port - size_t{1};
    if (!Daemons[to].Up || (Cut && (Cut(i, to) || Cut(to, i))))
      return;
    std::string mine = it.Machine->everything(Now);
    std::string theirs = Daemons[to].Machine->everything(Now);
    it.TcpBytes += mine.size() + theirs.size();
    Daemons[to].Machine->takeEverything(mine, Now);
    it.Machine->takeEverything(theirs, Now);
    it.NextExchange = Now + Peers::Constants::ExchangePeriod;
  }

  struct Flight {
    TimePoint Due;
    uint64_t Serial;
    size_t To;
    std::string Bytes;
    bool operator<(const Flight &other) const {
      return std::tie(other.Due, other.Serial) < std::tie(Due, Serial);
    }
  };

  void deliver() {
    while (!Flying.empty() && Flying.top().Due <= Now) {
      Flight it = Flying.top();
      Flying.pop();
      if (it.To < Daemons.size() && Daemons[it.To].Up)
        send(it.To,
             Daemons[it.To].Machine->onDatagram(it.Bytes, Now, wallMs()));
    }
  }

  std::mt19937_64 Random;
  std::priority_queue<Flight> Flying;
  uint64_t Serial = 0;
};

} // namespace GossipWorld

#endif // GOSSIPWORLD_GOSSIPWORLD_H
