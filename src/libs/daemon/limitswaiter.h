#ifndef DAEMON_LIMITSWAITER_H
#define DAEMON_LIMITSWAITER_H

#include "daemon/limitslink.h"
#include "limits/limits.h"

#include <condition_variable>
#include <memory>
#include <mutex>

namespace Daemon::Internal {

/// Outcome of asking for tokens.
struct TokenGrant {
  std::optional<Limits::Reservation> Tokens;
  /// Without tokens: when to come back; 0 when coming back does not help.
  uint32_t RetryAfterMs = 0;
  /// Without tokens: the request is larger than the team's burst.
  bool OverBurst = false;
  /// Without tokens: no holder could be asked, and why.
  bool NoHolder = false;
  LimitsLink Link = LimitsLink::Granting;
};

/// A request that waits for tokens.
struct Waiter {
  std::string Team;
  uint64_t Tokens = 0;
  Utils::TimePoint Deadline;
  Utils::TimePoint Since;
  /// Waits for a refill instead of being refused.
  bool Patient = false;
  /// The holder is not asked before.
  Utils::TimePoint AskAt;
  uint32_t Rounds = 0;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::optional<TokenGrant> Result;
};

using WaiterPtr = std::shared_ptr<Waiter>;

/// Gives the waiting thread its result.
void finish(Waiter &waiter, TokenGrant result);

/// Whether a waiter, one of so many, is refused while no holder answers.
bool givesUp(const Waiter &waiter, size_t waiting, const Limits::Policy &policy,
             Utils::TimePoint now);

/// Refuses a waiter, one of so many, at once unless tokens are expected within
/// moments; otherwise says when it asks again.
bool refuses(Waiter &waiter, const Limits::AccountReply &reply, size_t waiting,
             Utils::TimePoint now);

} // namespace Daemon::Internal

#endif // DAEMON_LIMITSWAITER_H
