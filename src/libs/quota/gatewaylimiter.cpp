#include "quota/gatewaylimiter.h"

#include <algorithm>
#include <cmath>

namespace Quota {

namespace {

/// Shortest time after which a refused call may come back: a round trip of a
/// caller.
constexpr Milliseconds LeastComeBack{20};
/// Longest: nothing tells what the demand will be later.
constexpr Milliseconds MostComeBack{10'000};

/// Weight of the newest call in the mean size.
constexpr double NewestWeight = 0.1;

/// Time in which another holder is likely to answer: a lease, a claim and the
/// word of it.
constexpr double TakeOverSeconds = 2.5;

int64_t wholeTokens(double tokens) {
  return std::max<int64_t>(1, std::llround(tokens));
}

} // namespace

Purse::Purse(const Limit &limit, double level, uint32_t members, TimePoint now)
    : Allowed(limit), Members(std::max(1U, members)), Fleet(limit, level, now),
      Own(limit, 0, now) {
  divide(level, now);
}

void Purse::setLimit(const Limit &limit, TimePoint now) {
  if (limit == Allowed)
    return;
  Allowed = limit;
  Fleet.setLimit(limit, now);
  Own.setLimit({limit.Rate / Members, limit.Burst / Members}, now);
}

void Purse::setMembers(uint32_t members, TimePoint now) {
  if (members == Members || members == 0)
    return;
  Members = members;
  Own.setLimit({Allowed.Rate / Members, Allowed.Burst / Members}, now);
}

/// Sets what this gateway may use by itself of a level; of a debt it pays its
/// part.
void Purse::divide(double level, TimePoint now) {
  Own.setLimit({Allowed.Rate / Members, Allowed.Burst / Members}, now);
  Own.setLevel(level / Members, now);
}

void Purse::recount() {
  Counts.Asked = Counts.Spent;
  for (const Wait &it : Waiting)
    Counts.Asked += it.Tokens;
  Counts.First = Waiting.empty() ? 0 : Waiting.front().Tokens;
  if (!isLimited())
    Counts.Granted = std::max(Counts.Granted, Counts.Spent);
}

void Purse::spend(int64_t tokens) {
  Counts.Spent += tokens;
  recount();
}

std::optional<Decision> Purse::want(uint64_t call, double tokens, bool led,
                                    TimePoint now, std::mt19937_64 &random) {
  int64_t whole = wholeTokens(tokens);
  Counts.Wanted += whole;
  MeanCall +=
      MeanCall == 0 ? double(whole) : (double(whole) - MeanCall) * NewestWeight;
  if (!isLimited()) {
    spend(whole);
    return Decision{call, std::nullopt};
  }
  if (Waiting.empty() && Counts.Granted - Counts.Spent >= whole) {
    spend(whole);
    return Decision{call, std::nullopt};
  }
  if (!led && wasTold())
    return decideAlone(call, whole, now, random);
  Waiting.push_back(
      {call, whole, now + (wasTold() ? Patience : FirstPatience), 0});
  recount();
  return std::nullopt;
}

void Purse::forget(uint64_t call) {
  std::erase_if(Waiting, [&](const Wait &it) { return it.Call == call; });
  recount();
}

void Purse::giveBack(double tokens) { spend(-wholeTokens(tokens)); }

Account Purse::report(uint64_t sequence) {
  for (Wait &it : Waiting)
    if (it.AskedBy == 0)
      it.AskedBy = sequence;
  if (Counts.Asked < LastAsked || Counts.Asked < Counts.Granted)
    GrantsFrom = sequence;
  Counts.Granted = std::min(Counts.Granted, Counts.Asked);
  LastAsked = Counts.Asked;
  return Counts;
}

/// Of a call that finds the bucket in debt, or with too little for its size.
/// Where callers want several times the rate, that many compete for the room
/// that comes, so that the time grows as much.
Milliseconds Purse::comeBack(double level, int64_t tokens) const {
  double missing = std::min(double(tokens), Allowed.Burst) - level;
  double competing = std::max(1.0, Demand / Allowed.Rate);
  double ms = std::ceil(missing * competing * 1000 / Allowed.Rate);
  return std::clamp(Milliseconds(int64_t(ms)), LeastComeBack, MostComeBack);
}

std::vector<Decision> Purse::hear(const Told &told, uint64_t sequence,
                                  TimePoint now) {
  std::vector<Decision> out;
  ToldAt = now;
  ToldLevel = told.Level;
  Demand = told.Demand;
  WantedAlone = 0;
  Fleet.setLevel(told.Level, now);
  divide(told.Level, now);
  if (sequence >= GrantsFrom)
    Counts.Granted = std::max(Counts.Granted, told.Granted);
  std::erase_if(Waiting, [&](const Wait &it) {
    if (it.AskedBy == 0 || it.AskedBy > sequence)
      return false;
    bool fits = !isLimited() || Counts.Granted - Counts.Spent >= it.Tokens;
    if (fits)
      Counts.Spent += it.Tokens;
    out.push_back(
        {it.Call,
         fits ? std::nullopt : std::optional(comeBack(told.Level, it.Tokens))});
    return true;
  });
  recount();
  return out;
}

std::vector<Decision> Purse::expire(TimePoint now, std::mt19937_64 &random) {
  std::vector<Wait> late;
  std::erase_if(Waiting, [&](const Wait &it) {
    if (now < it.Until)
      return false;
    late.push_back(it);
    return true;
  });
  std::vector<Decision> out;
  out.reserve(late.size());
  for (const Wait &it : late)
    out.push_back(decideAlone(it.Call, it.Tokens, now, random));
  recount();
  return out;
}

/// Tokens a second that callers are likely to want of all gateways, from what
/// the holder told and what came here since. The more calls have come here,
/// the more they say.
double Purse::demandAlone(double seconds) const {
  constexpr double callsKnown = 2;
  constexpr double mostSeconds = 60;
  double told = std::max(Demand, Allowed.Rate / 2) / Members;
  double weight = std::min(mostSeconds, callsKnown * MeanCall / told);
  return Members * (told * weight + WantedAlone) / (weight + seconds);
}

/// Chance of a call that is decided without the holder, so that all gateways
/// together admit on average what the limit allows. This gateway's part of it
/// is often smaller than one call; while another holder is likely to come, the
/// parts of gateways without calls are counted on.
double Purse::chanceAlone(double tokens, TimePoint now) {
  double level = std::max(0.0, Own.level(now));
  double alone = std::chrono::duration<double>(now - ToldAt).count();
  if (wasTold() && level < tokens && alone < TakeOverSeconds) {
    double room = std::max(0.0, ToldLevel + Allowed.Rate * TakeOverSeconds);
    double chance = room / (demandAlone(alone) * TakeOverSeconds);
    Own.take(std::min(chance, 1.0) * tokens, now);
    return chance;
  }
  double used = std::min(level, tokens);
  Own.take(used, now);
  return used / tokens;
}

Decision Purse::decideAlone(uint64_t call, int64_t tokens, TimePoint now,
                            std::mt19937_64 &random) {
  if (!isLimited()) { // It was lifted while the call waited.
    spend(tokens);
    return {call, std::nullopt};
  }
  WantedAlone += double(tokens);
  double chance = chanceAlone(double(tokens), now);
  if (chance < std::uniform_real_distribution<double>(0, 1)(random)) {
    double ms = double(tokens) * 1000 / Own.limit().Rate;
    constexpr double most = 1000;
    return {call,
            std::max(LeastComeBack, Milliseconds(int64_t(std::min(ms, most))))};
  }
  spend(tokens);
  return {call, std::nullopt};
}

std::optional<double> Purse::toldLevel(TimePoint now) {
  return wasTold() ? std::optional(Fleet.level(now)) : std::nullopt;
}

} // namespace Quota
