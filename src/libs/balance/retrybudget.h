#ifndef BALANCE_RETRYBUDGET_H
#define BALANCE_RETRYBUDGET_H

#include "utils/clock.h"

#include <cstdint>

namespace Balance {

/// This VM's part of the fleet's budget for sends beyond the first of a call
/// to one service. Earned by first sends, so that it holds however calls are
/// spread over the VMs.
class RetryBudget {
public:
  struct Policy {
    /// Repeats earned by a first send.
    double Ratio = 0.1;
    /// Most repeats that may be saved up.
    double MostAtHand = 1;
    /// Repeats that this VM gets beyond what it earns, in one window.
    double Slack = 1;
    Utils::Milliseconds Window{10000};
  };

  explicit RetryBudget(Policy policy);

  void setPolicy(const Policy &policy) { Limits = policy; }
  void firstSend(Utils::TimePoint now);
  /// Takes one repeat out of the budget; false when it is used up.
  bool takeRepeat(Utils::TimePoint now);

private:
  void refill(Utils::TimePoint now);
  void add(double repeats);

  Policy Limits;
  double Tokens;
  Utils::TimePoint RefilledAt{};
};

} // namespace Balance

#endif // BALANCE_RETRYBUDGET_H
