#include "balance/retrybudget.h"

#include <algorithm>

namespace Balance {

RetryBudget::RetryBudget(Policy policy)
    : Limits(policy), Tokens(policy.Slack) {}

void RetryBudget::refill(Utils::TimePoint now) {
  // The slack comes back over a window, so that no window sees more than
  // twice of it.
  if (RefilledAt != Utils::TimePoint{}) {
    double part = std::chrono::duration<double>(now - RefilledAt) /
                  std::chrono::duration<double>(Limits.Window);
    Tokens = std::min(Limits.Slack, Tokens + Limits.Slack * part);
  }
  RefilledAt = now;
}

void RetryBudget::firstSend(Utils::TimePoint now) {
  refill(now);
  Tokens = std::min(Limits.Slack, Tokens + Limits.Ratio);
}

bool RetryBudget::takeRepeat(Utils::TimePoint now) {
  refill(now);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

} // namespace Balance
