#include "quota/tokenallocator.h"

#include <algorithm>
#include <cmath>

namespace Quota {

namespace {

/// Time constant of RecentDemand: the weight of a token falls to 1/e.
constexpr double DemandDecaySeconds = 2;

/// Seconds of the rate by which ungranted spending may overdraw the bucket, in
/// addition to MaxOverdraft. Anything beyond was spent too long ago to be
/// recovered from later calls.
constexpr double UngrantedOverdraftSeconds = 1;

/// Bound of UnusedTokens, in seconds of the rate: compliance with a limit is
/// assessed over 8 s.
constexpr double UnusedSeconds = 8;

/// Share of MaxOverdraft by which calls without a reservation may overdraw what
/// others have not reserved. The rest keeps the due times of those true.
constexpr double UnreservedOverdraft = 0.5;

} // namespace

TokenAllocator::TokenAllocator(const Limit &limit, double level,
                               double maxOverdraft, TimePoint now)
    : CurrentLimit(limit), MaxOverdraft(maxOverdraft),
      FleetBucket(limit, level, now), RefilledAt(now) {}

/// Refills the bucket up to `now` and records the tokens it did not receive.
void TokenAllocator::refill(TimePoint now) {
  double levelBefore = FleetBucket.level(RefilledAt);
  double accrued = CurrentLimit.Rate *
                   std::chrono::duration<double>(now - RefilledAt).count();
  RefilledAt = std::max(RefilledAt, now);
  double stored = FleetBucket.level(now) - levelBefore;
  UnusedTokens = std::clamp(UnusedTokens + accrued - stored, 0.0,
                            CurrentLimit.Rate * UnusedSeconds);
}

double TokenAllocator::level(TimePoint now) {
  refill(now);
  return FleetBucket.level(now);
}

void TokenAllocator::setLimit(const Limit &limit, TimePoint now) {
  refill(now);
  double fraction =
      CurrentLimit.Rate > 0 ? FleetBucket.limit().Rate / CurrentLimit.Rate : 1;
  bool wasLimited = CurrentLimit.Rate > 0;
  CurrentLimit = limit;
  FleetBucket.setLimit({limit.Rate * fraction, limit.Burst}, now);
  if (!wasLimited)
    FleetBucket.setLevel(limit.isStrict() ? 0 : limit.Burst, now);
}

void TokenAllocator::setGrantableFraction(double fraction, TimePoint now) {
  refill(now);
  FleetBucket.setLimit({CurrentLimit.Rate * fraction, CurrentLimit.Burst}, now);
}

void TokenAllocator::capLevel(double level, TimePoint now) {
  refill(now);
  FleetBucket.setLevel(std::min(FleetBucket.level(now), level - NetGranted),
                       now);
}

void TokenAllocator::debit(double tokens, TimePoint now) {
  if (CurrentLimit.Rate == 0)
    return;
  FleetBucket.take(tokens, now);
  NetGranted += tokens;
}

/// Debits tokens that were spent without a grant, while no holder answered.
/// Unused tokens cover them first.
void TokenAllocator::debitUngranted(double tokens, TimePoint now) {
  refill(now);
  double covered = std::min(UnusedTokens, tokens);
  UnusedTokens -= covered;
  debit(tokens - covered, now);
  double minLevel =
      -MaxOverdraft - UngrantedOverdraftSeconds * CurrentLimit.Rate;
  FleetBucket.setLevel(std::max(FleetBucket.level(now), minLevel), now);
}

/// How many of the requested tokens can be granted: none while the bucket is
/// empty. A full bucket suffices for one call of any size.
int64_t TokenAllocator::grantable(int64_t requested, int64_t first,
                                  TimePoint now) {
  if (CurrentLimit.Rate == 0)
    return requested;
  double level = FleetBucket.level(now);
  if (level <= 0)
    return 0;
  if (!Reserved.empty()) {
    Reserved.expire(now);
    level = Reserved.freeTokens(bucketState(now), now);
    if (level <= 0)
      return 0;
  }
  auto available = int64_t(level + MaxOverdraft);
  return std::min(requested, level >= CurrentLimit.Burst
                                 ? std::max(available, first)
                                 : available);
}

void TokenAllocator::addDemand(double tokens, TimePoint now) {
  double elapsed = std::chrono::duration<double>(now - DemandUpdatedAt).count();
  RecentDemand =
      RecentDemand * std::exp(-elapsed / DemandDecaySeconds) + tokens;
  DemandUpdatedAt = now;
}

double TokenAllocator::demandRate(TimePoint now) {
  addDemand(0, now);
  return RecentDemand / DemandDecaySeconds;
}

/// Applies the counters of a gateway process without granting more.
TokenAllocator::GatewayState &
TokenAllocator::account(const std::string &gateway, uint64_t incarnation,
                        const TokenCounters &counters, TimePoint now) {
  auto [it, isNew] = Gateways.try_emplace(gateway);
  GatewayState &state = it->second;
  // The level taken over from previous holders already includes their grants.
  // Granted tokens that a process had not spent when it ended are lost.
  if (isNew || state.Incarnation != incarnation)
    state = {incarnation, counters.Granted, counters.Demanded};
  addDemand(double(counters.Demanded - state.Demanded), now);
  state.Demanded = counters.Demanded;
  refill(now);
  int64_t accounted =
      std::max(counters.Spent, std::min(state.Granted, counters.Requested));
  if (accounted > state.Granted)
    debitUngranted(double(accounted - state.Granted), now);
  else // Refunded or given up.
    debit(double(accounted - state.Granted), now);
  state.Granted = accounted;
  return state;
}

int64_t TokenAllocator::reconcile(const std::string &gateway,
                                  uint64_t incarnation,
                                  const TokenCounters &counters,
                                  TimePoint now) {
  GatewayState &state = account(gateway, incarnation, counters, now);
  if (counters.Requested > state.Granted) {
    int64_t granted = grantable(counters.Requested - state.Granted,
                                counters.FirstRequest, now);
    debit(double(granted), now);
    state.Granted += granted;
  }
  return state.Granted;
}

BucketState TokenAllocator::bucketState(TimePoint now) {
  return {FleetBucket.level(now), FleetBucket.limit().Rate, CurrentLimit.Burst};
}

/// Whether the tokens that the call still needs can be granted. The bucket is
/// never overdrawn by more than MaxOverdraft, but for one call of any size
/// when it is full.
bool TokenAllocator::admits(const QueuedCall &call, double tokens,
                            TimePoint now) {
  BucketState bucket = bucketState(now);
  if (Reserved.isDue(call.Hash, now))
    return tokens <= bucket.Level + MaxOverdraft ||
           bucket.Level >= bucket.Burst;
  if (Reserved.contains(call.Hash))
    return false;
  if (bucket.Level <= 0)
    return false;
  if (Reserved.empty())
    return tokens <= bucket.Level + MaxOverdraft ||
           bucket.Level >= bucket.Burst;
  double available = Reserved.freeTokens(bucket, now);
  return available > 0 &&
         tokens <= available + MaxOverdraft * UnreservedOverdraft;
}

/// Retry delay of a call that is not admitted. Reserves its tokens.
Milliseconds TokenAllocator::delayOf(const QueuedCall &call, TimePoint now) {
  BucketState bucket = bucketState(now);
  if (!Reserved.contains(call.Hash) || bucket.Rate <= 0)
    return Reserved.reserve(call, bucket, now);
  constexpr Milliseconds minDelay{1};
  if (Reserved.isDue(call.Hash, now)) {
    // Others have overdrawn the bucket or the rate has fallen.
    double missing = std::min(double(call.Tokens), bucket.Burst) - bucket.Level;
    Reserved.postpone(call.Hash,
                      now + Milliseconds(int64_t(std::clamp(
                                missing * 1000 / bucket.Rate, 1.0, 10'000.0))));
  }
  return std::max(minDelay, std::chrono::ceil<Milliseconds>(
                                Reserved.dueAt(call.Hash) - now));
}

int64_t TokenAllocator::reconcile(const std::string &gateway,
                                  uint64_t incarnation,
                                  const TokenCounters &counters,
                                  const std::vector<QueuedCall> &calls,
                                  std::vector<CallDelay> &delays,
                                  TimePoint now) {
  if (calls.empty() || CurrentLimit.Rate == 0)
    return reconcile(gateway, incarnation, counters, now);
  GatewayState &state = account(gateway, incarnation, counters, now);
  Reserved.expire(now);
  // Granted before, but the answer was lost or is under way.
  int64_t unspent = state.Granted - counters.Spent;
  std::vector<QueuedCall> ordered = calls;
  std::stable_partition(
      ordered.begin(), ordered.end(),
      [&](const QueuedCall &it) { return Reserved.isDue(it.Hash, now); });
  for (const QueuedCall &it : ordered) {
    int64_t fromUnspent = std::clamp<int64_t>(unspent, 0, it.Tokens);
    int64_t needed = it.Tokens - fromUnspent;
    if (needed > 0 && !admits(it, double(needed), now)) {
      delays.push_back({it.Call, delayOf(it, now)});
      continue;
    }
    Reserved.erase(it.Hash);
    unspent -= fromUnspent;
    debit(double(needed), now);
    state.Granted += needed;
  }
  return state.Granted;
}

} // namespace Quota
