#ifndef DAEMON_LIMITSDUTY_H
#define DAEMON_LIMITSDUTY_H

#include "daemon/limitsholder.h"
#include "daemon/limitswaiter.h"
#include "metrics/metrics.h"

#include <list>

namespace Daemon::Internal {

/// Daemon's side of the limits duty: takes tokens for requests out of this
/// daemon's wallets, and a thread that asks the holder for more, reports what
/// was delivered and gives back what is idle. Thread-safe.
class LimitsDuty {
public:
  LimitsDuty(LimitsPorts ports, Metrics::Registry &metrics);
  ~LimitsDuty();

  void start();
  /// Planned stop, first half: reports, gives back all tokens, ends granting.
  void end();
  /// Waits until the successor has fetched the final state, or for the
  /// deadline.
  void waitForSuccessor(Utils::TimePoint deadline);
  /// Ends the threads; who waits for tokens is refused.
  void stop();

  /// Takes tokens for a request. Asks the holder when the wallet holds too few,
  /// and waits for its answer, at most until the deadline.
  TokenGrant acquire(const std::string &team, uint64_t tokens,
                     Utils::TimePoint deadline);
  /// Makes a reservation hold at least so many tokens that may be delivered
  /// now, as for a stream that is longer than was reserved or whose grant has
  /// lapsed. Waits for a refill, at most until the deadline.
  bool ensure(Limits::Reservation &reservation, uint64_t tokens,
              Utils::TimePoint deadline);
  /// Whether the tokens may be handed to the caller now.
  bool mayDeliver(const Limits::Reservation &reservation,
                  uint64_t tokens) const;
  /// Counts tokens that have been handed over.
  void markDelivered(Limits::Reservation &reservation, uint64_t tokens);
  void release(Limits::Reservation &reservation);

  /// Whether this daemon gets tokens.
  LinkView link() const;

  /// One round of the thread: takes up the duty if it is ours, and exchanges
  /// with the holder when there is cause. Tests call it instead of start().
  void step();

private:
  TokenGrant wait(WaiterPtr waiter);
  void run();
  Utils::TimePoint nextRound() const;
  Utils::TimePoint earliestAsk(Utils::TimePoint now) const;
  Utils::TimePoint askBy(Utils::TimePoint now) const;
  void collect(std::optional<WaiterPtr> first);
  void satisfyWaiters();
  bool exchange();
  std::optional<Limits::GrantReply> ask(const LimitsLead &lead,
                                        const Limits::GrantRequest &request);
  void refuseWaiters(const Limits::GrantReply *reply);
  TokenGrant withoutHolder() const;
  void noteLink(const LimitsLead &lead);
  void callBack(const std::string &team);

  LimitsPorts Ports;
  Metrics::Registry &Metrics;
  LimitsHolder Holder;
  mutable std::mutex Mutex;
  Limits::Wallets Wallets;
  /// Fence under which this daemon granted its tokens to itself, or 0. Such
  /// tokens end with the lease, so that a successor need not wait for them.
  uint64_t OwnFence = 0;
  Utils::BlockingQueue<WaiterPtr> Ring;
  /// Used by the thread only.
  std::list<WaiterPtr> Waiting;
  Utils::TimePoint LastExchange;
  bool LastAccepted = true;
  /// Guarded by Mutex.
  LinkView Link;
  /// Fence under which a holder last answered.
  uint64_t LastFence = 0;
  std::thread Thread;
};

} // namespace Daemon::Internal

#endif // DAEMON_LIMITSDUTY_H
