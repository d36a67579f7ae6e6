#include "balance/retrybudget.h"

#include <algorithm>

namespace Balance {

RetryBudget::RetryBudget(Policy policy)
    : Limits(policy), Tokens(policy.MostAtHand) {}

void RetryBudget::refill(Utils::TimePoint now) {
  double part = 0;
  if (RefilledAt != Utils::TimePoint{})
    part = std::chrono::duration<double>(now - RefilledAt) /
           std::chrono::duration<double>(Limits.Window);
  RefilledAt = now;
  add(Limits.Slack * part);
}

void RetryBudget::add(double repeats) {
  Tokens = std::min(Limits.MostAtHand, Tokens + repeats);
}

void RetryBudget::firstSend(Utils::TimePoint now) {
  refill(now);
  add(Limits.Ratio);
}

bool RetryBudget::takeRepeat(Utils::TimePoint now) {
  refill(now);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

} // namespace Balance
