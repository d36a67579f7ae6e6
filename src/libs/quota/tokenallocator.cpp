#include "quota/tokenallocator.h"

#include <algorithm>
#include <cmath>

namespace Quota {

namespace {

/// Time in which the weight of a token in the demand falls to 1/e.
constexpr double DemandSeconds = 2;

/// Seconds of its rate by which a team may fall behind for what was spent
/// without leave; more of it was spent too long ago to be made up for.
constexpr double LateDebtSeconds = 1;

/// Seconds of the rate that spare tokens may cover; limits are judged over 8 s.
constexpr double SpareSeconds = 8;

} // namespace

Ledger::Ledger(const Limit &limit, double level, double mostDebt, TimePoint now)
    : Allowed(limit), MostDebt(mostDebt), Fleet(limit, level, now),
      FilledAt(now) {}

/// Brings the bucket up to date.
void Ledger::fill(TimePoint now) {
  double before = Fleet.level(FilledAt);
  double brought =
      Allowed.Rate * std::chrono::duration<double>(now - FilledAt).count();
  FilledAt = std::max(FilledAt, now);
  double taken = Fleet.level(now) - before;
  Spare = std::clamp(Spare + brought - taken, 0.0, Allowed.Rate * SpareSeconds);
}

double Ledger::level(TimePoint now) {
  fill(now);
  return Fleet.level(now);
}

void Ledger::setLimit(const Limit &limit, TimePoint now) {
  fill(now);
  double part = Allowed.Rate > 0 ? Fleet.limit().Rate / Allowed.Rate : 1;
  bool wasLimited = Allowed.Rate > 0;
  Allowed = limit;
  Fleet.setLimit({limit.Rate * part, limit.Burst}, now);
  if (!wasLimited)
    Fleet.setLevel(limit.Burst, now);
}

void Ledger::setPart(double part, TimePoint now) {
  fill(now);
  Fleet.setLimit({Allowed.Rate * part, Allowed.Burst}, now);
}

void Ledger::lowerTo(double level, TimePoint now) {
  fill(now);
  Fleet.setLevel(std::min(Fleet.level(now), level - NetGranted), now);
}

void Ledger::debit(double tokens, TimePoint now) {
  if (Allowed.Rate == 0)
    return;
  Fleet.take(tokens, now);
  NetGranted += tokens;
}

/// Of tokens that were spent while no holder answered.
void Ledger::debitLate(double tokens, TimePoint now) {
  fill(now);
  double spared = std::min(Spare, tokens);
  Spare -= spared;
  debit(tokens - spared, now);
  double least = -MostDebt - LateDebtSeconds * Allowed.Rate;
  Fleet.setLevel(std::max(Fleet.level(now), least), now);
}

/// Tokens granted of those that are wanted: none while the bucket is empty. A
/// full bucket is enough for one call of any size.
int64_t Ledger::grant(int64_t wanted, int64_t first, TimePoint now) {
  if (Allowed.Rate == 0)
    return wanted;
  double level = Fleet.level(now);
  if (level <= 0)
    return 0;
  auto room = int64_t(level + MostDebt);
  return std::min(wanted,
                  level >= Allowed.Burst ? std::max(room, first) : room);
}

void Ledger::noteDemand(double tokens, TimePoint now) {
  double passed = std::chrono::duration<double>(now - RecentAt).count();
  Recent = Recent * std::exp(-passed / DemandSeconds) + tokens;
  RecentAt = now;
}

double Ledger::demand(TimePoint now) {
  noteDemand(0, now);
  return Recent / DemandSeconds;
}

int64_t Ledger::settle(const std::string &gateway, uint64_t incarnation,
                       const Account &account, TimePoint now) {
  auto [it, isNew] = Shares.try_emplace(gateway);
  Share &share = it->second;
  // What holders before have granted is in the level that was taken over. What
  // a process left unspent at its end is lost.
  if (isNew || share.Incarnation != incarnation)
    share = {incarnation, account.Granted, account.Wanted};
  noteDemand(double(account.Wanted - share.Wanted), now);
  share.Wanted = account.Wanted;
  fill(now);
  int64_t settled =
      std::max(account.Spent, std::min(share.Granted, account.Asked));
  if (settled > share.Granted)
    debitLate(double(settled - share.Granted), now);
  else // Given back.
    debit(double(settled - share.Granted), now);
  share.Granted = settled;
  if (account.Asked > settled) {
    int64_t granted = grant(account.Asked - settled, account.First, now);
    debit(double(granted), now);
    share.Granted += granted;
  }
  return share.Granted;
}

} // namespace Quota
