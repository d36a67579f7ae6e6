#ifndef DAEMON_RETRYBUDGET_H
#define DAEMON_RETRYBUDGET_H

#include <algorithm>
#include <mutex>

namespace Daemon::Internal {

/// Bounds retries to a share of the requests (Beyer et al., "Site Reliability
/// Engineering", chapter 21). Thread-safe.
class RetryBudget {
public:
  /// Counts a first attempt.
  void deposit() {
    std::lock_guard lock(Mutex);
    Tokens = std::min(MaxTokens, Tokens + RetryShare);
  }
  /// Takes one retry; false when the budget is spent.
  bool withdraw() {
    std::lock_guard lock(Mutex);
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  static constexpr double RetryShare = 0.1;
  static constexpr double MaxTokens = 10;

  std::mutex Mutex;
  double Tokens = MaxTokens;
};

} // namespace Daemon::Internal

#endif // DAEMON_RETRYBUDGET_H
