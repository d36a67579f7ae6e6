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

int64_t TokenAllocator::reconcile(const std::string &gateway,
                                  uint64_t incarnation,
                                  const TokenCounters &counters,
                                  TimePoint now) {
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
  if (counters.Requested > accounted) {
    int64_t granted =
        grantable(counters.Requested - accounted, counters.FirstRequest, now);
    debit(double(granted), now);
    state.Granted += granted;
  }
  return state.Granted;
}

} // namespace Quota
