#include "limits/bucket.h"

#include <algorithm>

namespace Limits {

namespace Internal {

namespace {

constexpr int64_t Million = 1'000'000;

/// Fills as if this clock ran as fast as the bound allows.
void refill(Bucket &bucket, const Policy &policy, Utils::TimePoint now) {
  if (now <= bucket.FilledAt)
    return;
  Wide gained = Wide(nanosBetween(bucket.FilledAt, now)) *
                static_cast<int64_t>(bucket.Allowed.RateTokensPerS) * Million;
  gained += bucket.Remainder;
  int64_t slowed = Million + policy.ClockRateErrorPpm;
  bucket.Remainder = static_cast<int64_t>(gained % slowed);
  Wide room = roomNano(bucket);
  Wide level = std::min(room, bucket.LevelNano + gained / slowed);
  if (level == room)
    bucket.Remainder = 0;
  bucket.LevelNano = static_cast<int64_t>(level);
  bucket.FilledAt = now;
}

/// Ends the accounts past their deadline: their tokens are counted as
/// delivered, so the level gains nothing.
void lapse(Bucket &bucket, Utils::TimePoint now) {
  bucket.NextLapse = Utils::TimePoint::max();
  for (auto it = bucket.Accounts.begin(); it != bucket.Accounts.end();) {
    if (now < it->second.LapsesAt) {
      bucket.NextLapse = std::min(bucket.NextLapse, it->second.LapsesAt);
      ++it;
      continue;
    }
    bucket.Outstanding -= it->second.outstanding();
    it = bucket.Accounts.erase(it);
  }
}

} // namespace

int64_t nanosBetween(Utils::TimePoint from, Utils::TimePoint to) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(to - from)
      .count();
}

int64_t roomNano(const Bucket &bucket) {
  if (bucket.Outstanding >= bucket.Allowed.BurstTokens)
    return 0;
  uint64_t room = bucket.Allowed.BurstTokens - bucket.Outstanding;
  return static_cast<int64_t>(room) * NanoPerToken;
}

void advance(Bucket &bucket, const Policy &policy, Utils::TimePoint now) {
  while (bucket.NextLapse <= now) {
    Utils::TimePoint at = bucket.NextLapse;
    refill(bucket, policy, at);
    lapse(bucket, at);
  }
  refill(bucket, policy, now);
}

void renew(Bucket &bucket, Account &account, const Policy &policy,
           Utils::TimePoint now) {
  account.LapsesAt = lapseDeadline(now, policy);
  bucket.NextLapse = std::min(bucket.NextLapse, account.LapsesAt);
}

} // namespace Internal

using namespace Internal;

Utils::TimePoint grantDeadline(Utils::TimePoint sentAt, const Policy &policy) {
  int64_t nanos =
      int64_t(policy.GrantMs) * (Million - policy.ClockRateErrorPpm);
  return sentAt + std::chrono::nanoseconds(nanos);
}

Utils::TimePoint lapseDeadline(Utils::TimePoint givenAt, const Policy &policy) {
  int64_t nanos =
      int64_t(policy.GrantMs) * (Million + policy.ClockRateErrorPpm);
  return givenAt + std::chrono::nanoseconds(nanos);
}

uint64_t available(const Bucket &bucket) {
  return static_cast<uint64_t>(bucket.LevelNano / NanoPerToken);
}

std::optional<uint32_t> msUntil(const Holder &holder, const Bucket &bucket,
                                uint64_t tokens, Utils::TimePoint now) {
  if (tokens > bucket.Allowed.BurstTokens || bucket.Allowed.RateTokensPerS == 0)
    return std::nullopt;
  Wide missing = Wide(tokens) * NanoPerToken - bucket.LevelNano;
  if (missing <= 0)
    return 0;
  Wide rate = Wide(bucket.Allowed.RateTokensPerS) * Million;
  Wide nanos = missing * (Million + holder.Agreed.ClockRateErrorPpm);
  nanos = (nanos + rate - 1) / rate;
  if (bucket.FilledAt > now)
    nanos += nanosBetween(now, bucket.FilledAt);
  Wide ms = (nanos + NanosPerMs - 1) / NanosPerMs;
  return static_cast<uint32_t>(std::min(ms, Wide(UINT32_MAX)));
}

} // namespace Limits
