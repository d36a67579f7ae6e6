#include "limits/bucket.h"

namespace Limits {

using namespace Internal;

Handover handOver(Holder &holder, Utils::TimePoint now) {
  advance(holder, now);
  Handover state;
  state.First = holder.First;
  if (now < holder.OpensAt)
    state.RemainingMs = static_cast<uint32_t>(
        nanosBetween(now, holder.OpensAt) / NanosPerMs + 1);
  for (const auto &[team, bucket] : holder.Buckets) {
    Handover::BucketState out{team,
                              bucket.Allowed.RateTokensPerS,
                              bucket.Allowed.BurstTokens,
                              bucket.LevelNano,
                              {}};
    for (const auto &[key, it] : bucket.Accounts)
      out.Accounts.push_back({key.first, key.second, it.Granted, it.Delivered,
                              it.Returned, it.Sequence});
    state.Buckets.push_back(std::move(out));
  }
  return state;
}

Holder takeOver(const Policy &policy, uint64_t fence, const Handover &state,
                Utils::TimePoint now) {
  Holder holder;
  holder.Agreed = policy;
  holder.Fence = fence;
  holder.First = state.First;
  Policy remaining = policy;
  remaining.GrantMs = state.RemainingMs;
  holder.OpensAt = state.RemainingMs == 0 ? now : lapseDeadline(now, remaining);
  holder.SettledAt = holder.OpensAt;
  for (const Handover::BucketState &from : state.Buckets) {
    Bucket &bucket = holder.Buckets[from.Team];
    bucket.Allowed = {from.RateTokensPerS, from.BurstTokens};
    bucket.LevelNano = from.LevelNano;
    bucket.FilledAt = holder.OpensAt;
    bucket.NextLapse = lapseDeadline(now, policy);
    for (const Handover::AccountState &it : from.Accounts) {
      Account account{it.Granted, it.Delivered,    it.Returned, it.Sequence,
                      0,          bucket.NextLapse};
      bucket.Outstanding += account.outstanding();
      bucket.Accounts[{it.Daemon, it.Generation}] = account;
    }
  }
  return holder;
}

} // namespace Limits
