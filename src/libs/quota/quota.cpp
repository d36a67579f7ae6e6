#include "quota/quota.h"

#include <algorithm>
#include <cmath>

namespace Quota {

namespace {

/// Weight of a gateway's part in the demand against an equal part, in its share
/// of the limit.
constexpr double DemandWeight = 0.5;
constexpr double NewestWeight = 0.2;
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
  double passed = std::chrono::duration<double>(now - FilledAt).count();
  Level = std::min(Allowed.Burst, Level + Allowed.Rate * std::max(0.0, passed));
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
  double fleet = double(told.Fleet - Last.Fleet);
  double own = double(told.Own - Last.Own);
  double equal = 1.0 / std::max(1U, told.Members);
  double part = fleet > 0 && own >= 0 ? std::min(1.0, own / fleet) : equal;
  double share = DemandWeight * part + (1 - DemandWeight) * equal;
  Share = Share * (1 - NewestWeight) + share * NewestWeight;
  Last = told;
  HeardAt = now;
  // What the holder has not counted yet is taken off its level.
  Fleet.setLevel(told.Level - double(Admitted - told.Own), now);
  divide(Fleet.level(now), now);
}

} // namespace Quota
