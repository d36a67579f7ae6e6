#include "daemon/limitswaiter.h"

namespace Daemon::Internal {

namespace {

/// Wait for tokens that are called back from other daemons.
constexpr Utils::Milliseconds CallBackPause(5);
constexpr uint32_t MaxRounds = 12;
/// A refill that comes this soon is waited for.
constexpr uint32_t ShortWaitMs = 50;
/// Requests that wait through a change of the holder; more are refused.
constexpr size_t MaxWaitingForHolder = 16;
/// Longest change of the holder, in durations of a grant: the old lease and the
/// old grants lapse one after the other.
constexpr uint32_t TakeoverGrants = 2;

} // namespace

bool givesUp(const Waiter &waiter, size_t waiting, const Limits::Policy &policy,
             Utils::TimePoint now) {
  if (now >= waiter.Deadline)
    return true;
  Utils::Milliseconds longest(policy.GrantMs * TakeoverGrants);
  return !waiter.Patient &&
         (waiting > MaxWaitingForHolder || now >= waiter.Since + longest);
}

bool refuses(Waiter &waiter, const Limits::AccountReply &reply, size_t waiting,
             Utils::TimePoint now) {
  bool soon = reply.RetryAfterMs <= ShortWaitMs || reply.HeldElsewhere;
  bool inTime =
      now + Utils::Milliseconds(std::min(reply.RetryAfterMs, ShortWaitMs)) <
      waiter.Deadline;
  if (now < waiter.AskAt)
    return false;
  waiter.AskAt = now + CallBackPause;
  if (soon && inTime && waiter.Rounds < MaxRounds && !reply.OverBurst)
    return false;
  Utils::Milliseconds retryAfter(reply.RetryAfterMs);
  bool waits =
      waiter.Patient || (reply.Opening && waiting <= MaxWaitingForHolder);
  if (waits && !reply.OverBurst && now + retryAfter < waiter.Deadline) {
    waiter.AskAt = now + std::max(retryAfter, CallBackPause);
    return false;
  }
  finish(waiter, {{}, reply.RetryAfterMs, reply.OverBurst, false, {}});
  return true;
}

void finish(Waiter &waiter, TokenGrant result) {
  {
    std::lock_guard lock(waiter.Mutex);
    waiter.Result = std::move(result);
  }
  waiter.Changed.notify_all();
}

} // namespace Daemon::Internal
