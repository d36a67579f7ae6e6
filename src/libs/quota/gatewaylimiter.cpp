#include "quota/gatewaylimiter.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace Quota {

namespace {

/// Shortest delay before a rejected call may retry: one round trip of the
/// caller.
constexpr Milliseconds MinRetryAfter{20};
/// Longest delay: the demand cannot be predicted further ahead.
constexpr Milliseconds MaxRetryAfter{10'000};

/// Weight of the newest call in MeanCallTokens.
constexpr double MeanCallWeight = 0.1;

/// Time until another holder is likely to answer: the lease expires, a gateway
/// claims the duty and announces it.
constexpr double TakeoverSeconds = 2.5;

/// Rounds to at least one token.
int64_t wholeTokens(double tokens) {
  return std::max<int64_t>(1, std::llround(tokens));
}

} // namespace

GatewayLimiter::GatewayLimiter(const Limit &limit, double level,
                               uint32_t gateways, TimePoint now)
    : CurrentLimit(limit), GatewayCount(std::max(1U, gateways)),
      FleetBucket(limit, level, now), ShareBucket(limit, 0, now) {
  resetShare(level, now);
}

void GatewayLimiter::setLimit(const Limit &limit, TimePoint now) {
  if (limit == CurrentLimit)
    return;
  CurrentLimit = limit;
  FleetBucket.setLimit(limit, now);
  ShareBucket.setLimit(shareOf(limit, GatewayCount), now);
}

void GatewayLimiter::setGatewayCount(uint32_t gateways, TimePoint now) {
  if (gateways == GatewayCount || gateways == 0)
    return;
  GatewayCount = gateways;
  ShareBucket.setLimit(shareOf(CurrentLimit, GatewayCount), now);
}

/// Sets this gateway's share of the rate, the burst and the level. A negative
/// level is shared as well.
void GatewayLimiter::resetShare(double level, TimePoint now) {
  ShareBucket.setLimit(shareOf(CurrentLimit, GatewayCount), now);
  ShareBucket.setLevel(level / GatewayCount, now);
}

void GatewayLimiter::updateCounters() {
  Counters.Requested = Counters.Spent;
  for (const WaitingCall &it : Waiting)
    Counters.Requested += it.Tokens;
  Counters.FirstRequest = Waiting.empty() ? 0 : Waiting.front().Tokens;
  if (!isLimited())
    Counters.Granted = std::max(Counters.Granted, Counters.Spent);
}

void GatewayLimiter::spend(int64_t tokens) {
  Counters.Spent += tokens;
  updateCounters();
}

std::optional<Decision> GatewayLimiter::acquire(uint64_t call, double tokens,
                                                bool hasHolder, TimePoint now,
                                                std::mt19937_64 &random,
                                                const QueueTicket &ticket) {
  int64_t needed = wholeTokens(tokens);
  Counters.Demanded += needed;
  MeanCallTokens += MeanCallTokens == 0
                        ? double(needed)
                        : (double(needed) - MeanCallTokens) * MeanCallWeight;
  if (!isLimited()) {
    spend(needed);
    return Decision{call, std::nullopt};
  }
  if (Waiting.empty() && Counters.Granted - Counters.Spent >= needed) {
    spend(needed);
    return Decision{call, std::nullopt};
  }
  if (!hasHolder && hasAnswer())
    return decideLocally(call, needed, now, random);
  Waiting.push_back({call, needed,
                     now + (hasAnswer() ? HolderTimeout : FirstHolderTimeout),
                     0, ticket});
  updateCounters();
  return std::nullopt;
}

bool GatewayLimiter::hasUnrequestedCalls() const {
  return std::any_of(Waiting.begin(), Waiting.end(),
                     [](const WaitingCall &it) { return it.RequestedIn == 0; });
}

void GatewayLimiter::cancel(uint64_t call) {
  std::erase_if(Waiting,
                [&](const WaitingCall &it) { return it.Call == call; });
  updateCounters();
}

void GatewayLimiter::refund(double tokens) { spend(-wholeTokens(tokens)); }

TokenCounters GatewayLimiter::prepareReport(uint64_t sequence) {
  for (size_t i = 0; i < std::min(Waiting.size(), MaxListedCalls); ++i)
    if (Waiting[i].RequestedIn == 0)
      Waiting[i].RequestedIn = sequence;
  if (Counters.Requested < LastRequested ||
      Counters.Requested < Counters.Granted)
    MinGrantSequence = sequence;
  Counters.Granted = std::min(Counters.Granted, Counters.Requested);
  LastRequested = Counters.Requested;
  return Counters;
}

std::vector<QueuedCall> GatewayLimiter::queuedCalls() const {
  std::vector<QueuedCall> out;
  for (size_t i = 0; i < std::min(Waiting.size(), MaxListedCalls); ++i)
    if (const WaitingCall &it = Waiting[i]; it.Ticket.Hash != 0)
      out.push_back({it.Call, it.Ticket.Hash, it.Tokens, it.Ticket.Patience});
  return out;
}

/// Retry delay of a call for which the bucket has too few tokens or is
/// overdrawn. Grows in proportion to the demand once that exceeds the rate,
/// because so many callers compete for each refilled token.
Milliseconds GatewayLimiter::retryAfter(double level, int64_t tokens) const {
  double deficit = std::min(double(tokens), CurrentLimit.Burst) - level;
  double contention = std::max(1.0, FleetDemand / CurrentLimit.Rate);
  double ms = std::ceil(deficit * contention * 1000 / CurrentLimit.Rate);
  return std::clamp(Milliseconds(int64_t(ms)), MinRetryAfter, MaxRetryAfter);
}

std::vector<Decision> GatewayLimiter::applyAnswer(const HolderAnswer &answer,
                                                  uint64_t sequence,
                                                  TimePoint now) {
  std::vector<Decision> out;
  AnsweredAt = now;
  AnsweredLevel = answer.Level;
  FleetDemand = answer.Demand;
  LocalDemand = 0;
  FleetBucket.setLevel(answer.Level, now);
  resetShare(answer.Level, now);
  if (sequence >= MinGrantSequence)
    Counters.Granted = std::max(Counters.Granted, answer.Granted);
  std::unordered_map<uint64_t, Milliseconds> delays;
  for (const CallDelay &it : answer.Delays)
    delays[it.Call] = it.RetryAfter;
  std::erase_if(Waiting, [&](const WaitingCall &it) {
    if (it.RequestedIn == 0 || it.RequestedIn > sequence)
      return false;
    auto delay = delays.find(it.Call);
    if (isLimited() && delay != delays.end()) {
      out.push_back({it.Call, delay->second, answer.QueueLength});
      return true;
    }
    bool admitted =
        !isLimited() || Counters.Granted - Counters.Spent >= it.Tokens;
    if (admitted)
      Counters.Spent += it.Tokens;
    out.push_back({it.Call, admitted ? std::nullopt
                                     : std::optional(retryAfter(answer.Level,
                                                                it.Tokens))});
    return true;
  });
  updateCounters();
  return out;
}

std::vector<Decision> GatewayLimiter::expireWaiting(TimePoint now,
                                                    std::mt19937_64 &random) {
  std::vector<WaitingCall> expired;
  std::erase_if(Waiting, [&](const WaitingCall &it) {
    if (now < it.Deadline)
      return false;
    expired.push_back(it);
    return true;
  });
  std::vector<Decision> out;
  out.reserve(expired.size());
  for (const WaitingCall &it : expired)
    out.push_back(decideLocally(it.Call, it.Tokens, now, random));
  updateCounters();
  return out;
}

/// Estimates the demand at all gateways together, in tokens per second, from
/// the demand that the holder announced and from the calls received here in the
/// `seconds` since. The announced demand weighs as much as `priorCalls` calls,
/// so that local calls prevail as they accumulate.
double GatewayLimiter::estimatedDemand(double seconds) const {
  constexpr double priorCalls = 2;
  constexpr double maxPriorSeconds = 60;
  double prior = std::max(FleetDemand, CurrentLimit.Rate / 2) / GatewayCount;
  double weight =
      std::min(maxPriorSeconds, priorCalls * MeanCallTokens / prior);
  return GatewayCount * (prior * weight + LocalDemand) / (weight + seconds);
}

/// Probability of admitting a call without the holder, such that all gateways
/// together admit on average what the limit allows. This gateway's share is
/// often smaller than one call; while another holder is likely to take over
/// soon, the shares of gateways without calls are used as well, unless the
/// limit holds in every second: the demand is estimated too late for that.
double GatewayLimiter::admitProbability(double tokens, TimePoint now) {
  double level = std::max(0.0, ShareBucket.level(now));
  double sinceAnswer = std::chrono::duration<double>(now - AnsweredAt).count();
  if (!CurrentLimit.isStrict() && hasAnswer() && level < tokens &&
      sinceAnswer < TakeoverSeconds) {
    double available =
        std::max(0.0, AnsweredLevel + CurrentLimit.Rate * TakeoverSeconds);
    double probability =
        available / (estimatedDemand(sinceAnswer) * TakeoverSeconds);
    ShareBucket.take(std::min(probability, 1.0) * tokens, now);
    return probability;
  }
  double used = std::min(level, tokens);
  ShareBucket.take(used, now);
  return used / tokens;
}

Decision GatewayLimiter::decideLocally(uint64_t call, int64_t tokens,
                                       TimePoint now, std::mt19937_64 &random) {
  if (!isLimited()) { // The limit was lifted while the call waited.
    spend(tokens);
    return {call, std::nullopt};
  }
  LocalDemand += double(tokens);
  double probability = admitProbability(double(tokens), now);
  if (probability < std::uniform_real_distribution<double>(0, 1)(random)) {
    double ms = double(tokens) * 1000 / ShareBucket.limit().Rate;
    constexpr double maxMs = 1000;
    return {call, std::max(MinRetryAfter,
                           Milliseconds(int64_t(std::min(ms, maxMs))))};
  }
  spend(tokens);
  return {call, std::nullopt};
}

std::optional<double> GatewayLimiter::estimatedLevel(TimePoint now) {
  return hasAnswer() ? std::optional(FleetBucket.level(now)) : std::nullopt;
}

} // namespace Quota
