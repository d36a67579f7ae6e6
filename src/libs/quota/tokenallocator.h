#ifndef QUOTA_TOKENALLOCATOR_H
#define QUOTA_TOKENALLOCATOR_H

#include "quota/tokenbucket.h"
#include "quota/virtualqueue.h"

#include <cstdint>
#include <map>
#include <string>

namespace Quota {

/// Token counters of one team at one gateway, cumulative since the gateway's
/// process started. Totals are sent instead of increments because messages may
/// be lost, duplicated or reordered.
struct TokenCounters {
  /// Tokens of admitted calls, less refunds.
  int64_t Spent = 0;
  /// Total that the gateway may spend, as far as it knows.
  int64_t Granted = 0;
  /// Total that the gateway requests: spent plus the calls waiting for tokens.
  int64_t Requested = 0;
  /// Size of the first waiting call.
  int64_t FirstRequest = 0;
  /// Tokens of all calls received, admitted or not.
  int64_t Demanded = 0;
  bool operator==(const TokenCounters &) const = default;
};

/// The duty holder's token bucket of one team, from which it grants tokens to
/// the gateways.
class TokenAllocator {
public:
  /// `level`: best known initial level of the bucket. `maxOverdraft`: tokens by
  /// which grants may overdraw the bucket, so that large and small calls are
  /// admitted alike.
  TokenAllocator(const Limit &limit, double level, double maxOverdraft,
                 TimePoint now);
  void setLimit(const Limit &limit, TimePoint now);
  /// Sets the fraction of the rate that is granted. The rest is reserved for
  /// silent gateways, which admit calls on their own.
  void setGrantableFraction(double fraction, TimePoint now);
  /// Caps the level at what the previous holder announced, less what this
  /// allocator has granted since.
  void capLevel(double level, TimePoint now);
  /// Applies the counters reported by a gateway process. Returns the total
  /// that the process may spend now.
  int64_t reconcile(const std::string &gateway, uint64_t incarnation,
                    const TokenCounters &counters, TimePoint now);
  /// The same for counters with a list of the calls that wait for the tokens.
  /// Grants the tokens of whole calls only: first of those whose reservation is
  /// due, then of those without one. Sets the delays of the rejected calls.
  int64_t reconcile(const std::string &gateway, uint64_t incarnation,
                    const TokenCounters &counters,
                    const std::vector<QueuedCall> &calls,
                    std::vector<CallDelay> &delays, TimePoint now);
  /// Number of reservations in the virtual queue.
  size_t queueLength() const { return Reserved.size(); }
  double level(TimePoint now);
  const Limit &limit() const { return CurrentLimit; }
  /// Demand in tokens per second, averaged over the last seconds.
  double demandRate(TimePoint now);

private:
  struct GatewayState {
    uint64_t Incarnation = 0;
    int64_t Granted = 0;
    int64_t Demanded = 0;
  };
  GatewayState &account(const std::string &gateway, uint64_t incarnation,
                        const TokenCounters &counters, TimePoint now);
  BucketState bucketState(TimePoint now);
  bool admits(const QueuedCall &call, double tokens, TimePoint now);
  Milliseconds delayOf(const QueuedCall &call, TimePoint now);
  int64_t grantable(int64_t requested, int64_t first, TimePoint now);
  void debit(double tokens, TimePoint now);
  void debitUngranted(double tokens, TimePoint now);
  void refill(TimePoint now);
  void addDemand(double tokens, TimePoint now);

  Limit CurrentLimit;
  double MaxOverdraft;
  TokenBucket FleetBucket;
  /// Tokens of the last seconds that the rate allowed but the bucket did not
  /// receive, because it was full or a fraction was reserved for silent
  /// gateways.
  double UnusedTokens = 0;
  TimePoint RefilledAt;
  /// Exponentially decaying sum of the tokens demanded.
  double RecentDemand = 0;
  TimePoint DemandUpdatedAt{};
  /// Net tokens granted since this allocator was created.
  double NetGranted = 0;
  std::map<std::string, GatewayState> Gateways;
  VirtualQueue Reserved;
};

} // namespace Quota

#endif // QUOTA_TOKENALLOCATOR_H
