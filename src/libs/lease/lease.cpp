#include "lease/lease.h"

#include "utils/digest.h"

namespace Lease {

namespace {

constexpr int RenewalsPerDuration = 3;

Utils::TimePoint scaled(Utils::TimePoint from, uint32_t durationMs,
                        double factor) {
  return from +
         std::chrono::duration_cast<Utils::TimePoint::duration>(
             std::chrono::duration<double, std::milli>(durationMs) * factor);
}

History::LeaseChange makeChange(Watch &watch, History::LeaseAction action,
                                const std::string &duty,
                                const std::string &self, const Policy &policy,
                                Utils::TimePoint now) {
  History::LeaseChange change;
  change.ChangeId = Utils::randomId();
  change.Action = action;
  change.Duty = duty;
  change.Holder = self;
  change.ExpectedFence = watch.Seen.Fence;
  // A renewal names it to say that no earlier holder can act any more.
  if (action == History::LeaseAction::Claim || now >= watch.ActsFrom)
    change.ExpectedRenewal = watch.Seen.Renewal;
  if (change.ExpectedRenewal != 0 && action == History::LeaseAction::Renew)
    change.ExpectedRenewal =
        std::max(change.ExpectedRenewal, watch.NewestMember);
  change.DurationMs = static_cast<uint32_t>(policy.Duration.count());
  watch.PendingId = change.ChangeId;
  watch.PendingSince = now;
  return change;
}

} // namespace

void observe(Watch &watch, const History::Lease &lease, Utils::TimePoint now) {
  if (watch.SeenAt == Utils::TimePoint() ||
      lease.Renewal != watch.Seen.Renewal || lease.Fence != watch.Seen.Fence)
    watch.SeenAt = now;
  watch.Seen = lease;
  if (watch.HeldFence != lease.Fence)
    watch.HeldFence = 0;
}

bool owns(const Watch &watch, Utils::TimePoint now) {
  return watch.HeldFence != 0 && now < watch.HeldUntil;
}

bool holds(const Watch &watch, Utils::TimePoint now) {
  return owns(watch, now) && now >= watch.ActsFrom;
}

Utils::TimePoint claimableAt(const Watch &watch, const Policy &policy) {
  if (watch.Seen.Holder.empty())
    return watch.SeenAt;
  return std::max(watch.ClaimsFrom, scaled(watch.SeenAt, watch.Seen.DurationMs,
                                           1 + policy.ClockRateError));
}

Utils::TimePoint idleUntil(const Watch &watch, const Policy &policy) {
  if (watch.HeldFence != 0 || !watch.PendingId.empty())
    return {};
  return claimableAt(watch, policy);
}

Utils::TimePoint holderDeadline(Utils::TimePoint sentAt, uint32_t durationMs,
                                const Policy &policy) {
  return scaled(sentAt, durationMs, 1 - policy.ClockRateError);
}

std::optional<History::LeaseChange>
nextChange(Watch &watch, const std::string &duty, const std::string &self,
           const Policy &policy, Utils::TimePoint now) {
  if (!watch.PendingId.empty())
    return std::nullopt;
  if (owns(watch, now) || (policy.RenewsLate && watch.HeldFence != 0)) {
    auto renewAt = watch.HeldUntil - policy.Duration +
                   policy.Duration / RenewalsPerDuration;
    bool isNews = holds(watch, now) && watch.NewestMember > watch.Seen.Known;
    if (now < renewAt && !isNews)
      return std::nullopt;
    return makeChange(watch, History::LeaseAction::Renew, duty, self, policy,
                      now);
  }
  if (watch.SeenAt == Utils::TimePoint() || now < claimableAt(watch, policy))
    return std::nullopt;
  return makeChange(watch, History::LeaseAction::Claim, duty, self, policy,
                    now);
}

void settle(Watch &watch, const History::LeaseChange &change,
            const History::Verdict &verdict, const Policy &policy) {
  if (change.ChangeId != watch.PendingId)
    return;
  watch.PendingId.clear();
  if (!verdict.Accepted)
    return;
  if (change.Action == History::LeaseAction::Claim) {
    watch.HeldFence = verdict.At;
    watch.ActsFrom = Utils::TimePoint();
  }
  watch.HeldUntil =
      holderDeadline(watch.PendingSince, change.DurationMs, policy);
}

void abandon(Watch &watch) { watch.PendingId.clear(); }

} // namespace Lease
