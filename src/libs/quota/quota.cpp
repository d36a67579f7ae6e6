#include "quota/quota.h"

#include <algorithm>
#include <cmath>

namespace Quota {

namespace {

/// Weight of a gateway's part in the demand against an equal part, in its share
/// of the limit.
constexpr double DemandWeight = 0.5;
/// Time in which the weight of a token in the demand falls to 1/e.
constexpr double DemandSeconds = 2;
/// Times its share of the level that a gateway may take until the next beat:
/// demand moves between gateways.
constexpr double ShareAhead = 2;

/// Age of the newest beat from which the next one is late.
constexpr Milliseconds BeatsLate{500};

} // namespace

Bucket::Bucket(const Limit &limit, TimePoint now)
    : Allowed(limit), Level(limit.Burst), FilledAt(now) {}

void Bucket::setLimit(const Limit &limit, TimePoint now) {
  Level = std::min(level(now), limit.Burst);
  Allowed = limit;
}

double Bucket::level(TimePoint now) {
  if (now <= FilledAt)
    return Level;
  double passed = std::chrono::duration<double>(now - FilledAt).count();
  Level = std::min(Allowed.Burst, Level + Allowed.Rate * passed);
  FilledAt = now;
  return Level;
}

void Bucket::setLevel(double value, TimePoint now) {
  Level = std::min(value, Allowed.Burst);
  FilledAt = now;
}

void Bucket::take(double tokens, TimePoint now) {
  level(now);
  Level -= tokens;
}

Milliseconds Bucket::timeUntil(double tokens, TimePoint now) {
  double missing =
      std::min(tokens, Allowed.Burst) - Allowed.Tolerance - level(now);
  if (missing <= 0)
    return Milliseconds(0);
  return Milliseconds(int64_t(std::ceil(missing * 1000 / Allowed.Rate)));
}

Meter::Meter(const Limit &limit, double level, TimePoint now)
    : Fleet(limit, now), Own(limit, now), Share(1.0 / MembersAtStart) {
  Fleet.setLevel(level, now);
  divide(Fleet.level(now), now);
}

void Meter::setLimit(const Limit &limit, TimePoint now) {
  if (limit == Fleet.limit())
    return;
  Fleet.setLimit(limit, now);
  divide(Fleet.level(now), now);
}

/// Sets what this gateway may take by itself of a level.
void Meter::divide(double level, TimePoint now) {
  const Limit &limit = Fleet.limit();
  bool heard = HeardAt != TimePoint{};
  double ahead = std::min(1.0, Share * (heard ? ShareAhead : 1));
  Own.setLimit(
      {limit.Rate * Share, limit.Burst * ahead, limit.Tolerance * Share}, now);
  // A debt is paid at the share of the rate.
  Own.setLevel(level * (level > 0 ? ahead : Share), now);
}

std::optional<Milliseconds> Meter::refusal(double tokens, TimePoint now) {
  if (Fleet.limit().Rate > 0) {
    constexpr double any = 1;
    Milliseconds wait = Fleet.timeUntil(tokens, now);
    Milliseconds own = Own.timeUntil(any, now);
    // The next beat divides the level anew.
    if (now < HeardAt + BeatsLate)
      own = std::min(own, BeatsLate);
    wait = std::max(wait, own);
    if (wait.count() > 0)
      return wait;
  }
  Fleet.take(tokens, now);
  Own.take(tokens, now);
  Admitted += int64_t(tokens);
  return std::nullopt;
}

void Meter::giveBack(double tokens, TimePoint now) {
  Fleet.take(-tokens, now);
  Own.take(-tokens, now);
  Admitted -= int64_t(tokens);
}

void Meter::hear(const Told &told, TimePoint now) {
  Share = told.Share;
  HeardAt = now;
  // What the holder has not counted yet is taken off its level.
  Fleet.setLevel(told.Level - double(Admitted - told.Own), now);
  divide(Fleet.level(now), now);
}

Ledger::Ledger(const Limit &limit, TimePoint now) : Fleet(limit, now) {}

void Ledger::setLimit(const Limit &limit, TimePoint now) {
  Fleet.setLimit(limit, now);
}

void Ledger::setLevel(double level, TimePoint now) {
  Fleet.setLevel(level, now);
}

double Ledger::Recent::add(double tokens, TimePoint now) {
  double passed = std::chrono::duration<double>(now - At).count();
  Tokens = std::max(0.0, Tokens * std::exp(-passed / DemandSeconds) + tokens);
  At = now;
  return Tokens;
}

void Ledger::count(const std::string &gateway, double tokens, TimePoint now) {
  Fleet.take(tokens, now);
  All.add(tokens, now);
  Gateways[gateway].add(tokens, now);
}

double Ledger::shareOf(const std::string &gateway, uint32_t gateways,
                       TimePoint now) {
  double equal = 1.0 / std::max(1U, gateways);
  auto it = Gateways.find(gateway);
  double own = it == Gateways.end() ? 0 : it->second.add(0, now);
  double all = All.add(0, now);
  double part = all < 1 ? equal : std::min(1.0, own / all);
  return DemandWeight * part + (1 - DemandWeight) * equal;
}

} // namespace Quota
