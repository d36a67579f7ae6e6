#include "balance/retrybudget.h"

#include <algorithm>

namespace Balance {

RetryBudget::RetryBudget(Policy policy)
    : CurrentPolicy(policy), Tokens(policy.MaxTokens) {}

void RetryBudget::refill(Utils::TimePoint now) {
  double windows = 0;
  if (RefilledAt != Utils::TimePoint{})
    windows = std::chrono::duration<double>(now - RefilledAt) /
              std::chrono::duration<double>(CurrentPolicy.Window);
  RefilledAt = now;
  add(CurrentPolicy.Slack * windows);
}

void RetryBudget::add(double retries) {
  Tokens = std::min(CurrentPolicy.MaxTokens, Tokens + retries);
}

void RetryBudget::onFirstAttempt(Utils::TimePoint now) {
  refill(now);
  add(CurrentPolicy.Ratio);
}

bool RetryBudget::hasRetry(Utils::TimePoint now) {
  refill(now);
  return Tokens >= 1;
}

bool RetryBudget::takeRetry(Utils::TimePoint now) {
  if (!hasRetry(now))
    return false;
  Tokens -= 1;
  return true;
}

} // namespace Balance
