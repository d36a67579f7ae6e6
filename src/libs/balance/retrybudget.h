#ifndef BALANCE_RETRYBUDGET_H
#define BALANCE_RETRYBUDGET_H

#include "utils/clock.h"

#include <cstdint>

namespace Balance {

/// This VM's share of the fleet's retry budget for one service. Retries are
/// earned by first attempts, so that the fleet's budget holds however calls are
/// spread over the VMs.
class RetryBudget {
public:
  struct Policy {
    /// Retries earned by each first attempt.
    double Ratio = 0.1;
    /// Most retries that can accumulate.
    double MaxTokens = 1;
    /// Retries added in each window in addition to those earned.
    double Slack = 1;
    Utils::Milliseconds Window{10000};
  };

  explicit RetryBudget(Policy policy);

  void setPolicy(const Policy &policy) { CurrentPolicy = policy; }
  void onFirstAttempt(Utils::TimePoint now);
  /// Whether takeRetry() would succeed.
  bool hasRetry(Utils::TimePoint now);
  /// Takes one retry from the budget; false when it is exhausted.
  bool takeRetry(Utils::TimePoint now);

private:
  void refill(Utils::TimePoint now);
  void add(double retries);

  Policy CurrentPolicy;
  double Tokens;
  Utils::TimePoint RefilledAt{};
};

} // namespace Balance

#endif // BALANCE_RETRYBUDGET_H
