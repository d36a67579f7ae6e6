#include "duty/duty.h"

#include <algorithm>

namespace Duty {

namespace {

bool isHolder(const Watch &watch) { return watch.HeldToken > 0; }

TimePoint leaseEnd(const Watch &watch, const Policy &policy) {
  return watch.RenewedBy + policy.Lease;
}

/// Nobody holds the duty.
bool isFree(const Watch &watch) {
  return !watch.Newest || watch.Newest->Released;
}

/// An earlier process of this VM holds it, which is dead.
bool isOwnFormer(const Watch &watch) {
  return watch.Newest && !watch.Newest->Released &&
         watch.Newest->Holder == watch.Self;
}

/// From when this VM may claim the duty.
TimePoint claimFrom(const Watch &watch, const Policy &policy) {
  return (isFree(watch) ? watch.RenewedBy : leaseEnd(watch, policy)) +
         watch.ClaimDelay;
}

bool isHolderSilent(const Watch &watch, const Policy &policy, TimePoint now) {
  return now >= watch.HeardAt + policy.HolderSilence;
}

Step holderStep(const Watch &watch, const Policy &policy, TimePoint now) {
  if (!watch.Known)
    return Step::Read;
  if (watch.GivingUp || watch.HandingOver)
    return Step::Release;
  return now >= watch.RenewedBy + policy.RenewEvery ? Step::Renew : Step::Wait;
}

} // namespace

namespace {

Step seekerStep(const Watch &watch, const Policy &policy, TimePoint now) {
  if (watch.GivingUp)
    return Step::Wait;
  if (!watch.Known)
    return Step::Read;
  if (isOwnFormer(watch))
    return Step::Claim;
  if (now < claimFrom(watch, policy))
    return isHolderSilent(watch, policy, now) && !isFree(watch) ? Step::Read
                                                                : Step::Wait;
  // Perhaps it was renewed or claimed unheard.
  bool news = watch.ReadAt < claimFrom(watch, policy) - watch.ClaimDelay;
  return news ? Step::Read : Step::Claim;
}

} // namespace

Step nextStep(const Watch &watch, const Policy &policy, TimePoint now) {
  if (watch.Calling)
    return Step::Wait;
  Step step = isHolder(watch) ? holderStep(watch, policy, now)
                              : seekerStep(watch, policy, now);
  TimePoint from = step == Step::Read ? watch.NextReadAt : watch.NextAppendAt;
  return now < from ? Step::Wait : step;
}

TimePoint nextStepAt(const Watch &watch, const Policy &policy) {
  if (watch.Calling)
    return TimePoint::max();
  if (isHolder(watch))
    return std::max(watch.NextAppendAt, watch.RenewedBy + policy.RenewEvery);
  if (watch.Known && isOwnFormer(watch))
    return watch.NextAppendAt;
  TimePoint next =
      std::min(watch.HeardAt + policy.HolderSilence, claimFrom(watch, policy));
  return std::max(next, std::min(watch.NextReadAt, watch.NextAppendAt));
}

void begin(Watch &watch, const Policy &policy, Step step, TimePoint now) {
  watch.Calling = true;
  (step == Step::Read ? watch.NextReadAt : watch.NextAppendAt) =
      now + policy.CallEvery;
}

Record recordFor(const Watch &watch, Step step) {
  Record record;
  record.Holder = watch.Self;
  record.Address = watch.Address;
  record.Members = watch.Members;
  record.Released = step == Step::Release;
  record.Token = step == Step::Claim
                     ? (watch.Newest ? watch.Newest->Token : 0) + 1
                     : watch.HeldToken;
  return record;
}

namespace {

/// Takes a record that stands in the store.
void take(Watch &watch, std::optional<Record> newest, uint64_t end,
          TimePoint renewedBy) {
  bool moved = !watch.Known || end != watch.End;
  watch.Known = true;
  watch.End = end;
  if (moved)
    watch.RenewedBy = watch.HeardAt = renewedBy;
  watch.Newest = std::move(newest);
  bool own = watch.Newest && watch.Newest->Holder == watch.Self &&
             watch.Newest->Token == watch.HeldToken && !watch.Newest->Released;
  if (!own)
    watch.HeldToken = 0;
}

} // namespace

void noteRead(Watch &watch, std::optional<Record> newest, uint64_t end,
              TimePoint sentAt) {
  watch.Calling = false;
  watch.ReadAt = sentAt;
  TimePoint renewed = watch.RenewedBy;
  // The age of a record that is new to this VM is not known; it was written
  // before the answer came, so that its lease counts from then at worst.
  take(watch, std::move(newest), end, sentAt);
  if (watch.HeldToken > 0)
    watch.RenewedBy = renewed; // Its own, whose answer was lost.
}

void noteAccepted(Watch &watch, const Policy &policy, const Record &record,
                  uint64_t end, TimePoint sentAt) {
  watch.Calling = false;
  watch.Known = true;
  watch.Newest = record;
  watch.End = end;
  watch.RenewedBy = watch.ReadAt = watch.HeardAt = sentAt;
  watch.HeldToken = record.Released ? 0 : record.Token;
  watch.HandingOver = false;
  watch.HeldUntil = sentAt + policy.Lease - policy.Margin;
}

void noteFailed(Watch &watch, const Policy &policy, TimePoint now) {
  watch.Calling = false;
  watch.Known = false;
  watch.NextReadAt = watch.NextAppendAt = now + policy.RetryAfter;
}

void noteHeard(Watch &watch, const Record &record, uint64_t end,
               Milliseconds age, TimePoint now) {
  bool older = watch.Newest && record.Token < watch.Newest->Token;
  if (older || (isHolder(watch) && record.Token <= watch.HeldToken))
    return;
  watch.HeardAt = now;
  watch.ReadAt = std::max(watch.ReadAt, now - age);
  if (watch.Known && watch.Newest && end < watch.End)
    return;
  take(watch, record, end, now - age);
  watch.RenewedBy = std::max(watch.RenewedBy, now - age);
}

bool holds(const Watch &watch, TimePoint now) {
  return isHolder(watch) && now < watch.HeldUntil;
}

} // namespace Duty
