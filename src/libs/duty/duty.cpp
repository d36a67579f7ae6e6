#include "duty/duty.h"

#include <algorithm>
#include <utility>

namespace Duty {

namespace {

bool isHolder(const LeaseState &state) { return state.HeldToken > 0; }

TimePoint leaseEnd(const LeaseState &state, const Policy &policy) {
  return state.RenewedBy + policy.Lease;
}

/// Whether there is no record, or the newest one is a release.
bool isUnheld(const LeaseState &state) {
  return !state.Newest || state.Newest->Released;
}

/// Whether the newest record was written before the store came back from an
/// older copy: a record that it lacks may have followed, whose holder may act
/// until its lease ends.
bool isOfEarlierEra(const LeaseState &state) {
  if (!state.InEra.isKnown())
    return false;
  return state.Newest ? state.Newest->InEra < state.InEra
                      : state.ExpectsRecord || state.HighestToken > 0;
}

/// Whether the holder of a record that the store has lost may still act.
bool mayLackRecords(const LeaseState &state) {
  return isOfEarlierEra(state) ||
         (state.Newest && state.Newest->Token < state.HighestToken);
}

/// Whether the holder is an earlier process of this VM, which has ended.
bool isHeldByPreviousProcess(const LeaseState &state) {
  return state.Newest && !state.Newest->Released &&
         state.Newest->Holder == state.Self;
}

/// When this VM may claim the duty at the earliest.
TimePoint earliestClaimTime(const LeaseState &state, const Policy &policy) {
  bool isFree = isUnheld(state) && !mayLackRecords(state);
  TimePoint from =
      isFree ? state.RenewedBy
             : std::max(leaseEnd(state, policy), state.HolderActiveUntil);
  return from + state.ClaimDelay;
}

bool isHolderSilent(const LeaseState &state, const Policy &policy,
                    TimePoint now) {
  return now >= state.HolderHeardAt + policy.HolderTimeout;
}

/// When the holder renews its lease: at once in a new era of the store.
TimePoint renewalTime(const LeaseState &state, const Policy &policy) {
  return std::min(state.RenewedBy + policy.RenewInterval, state.HeldUntil);
}

Step holderStep(const LeaseState &state, const Policy &policy, TimePoint now) {
  if (!state.RecordKnown)
    return Step::Read;
  if (state.Resigning || state.HandingOver)
    return Step::Release;
  return now >= renewalTime(state, policy) ? Step::Renew : Step::Wait;
}

} // namespace

namespace {

Step candidateStep(const LeaseState &state, const Policy &policy,
                   TimePoint now) {
  if (state.Resigning)
    return Step::Wait;
  if (!state.RecordKnown)
    return Step::Read;
  if (isHeldByPreviousProcess(state) && !mayLackRecords(state))
    return Step::Claim;
  if (now < earliestClaimTime(state, policy))
    return isHolderSilent(state, policy, now) && !isUnheld(state) ? Step::Read
                                                                  : Step::Wait;
  // The record may have been renewed or replaced without a heartbeat.
  bool mayHaveChanged =
      state.ReadAt < earliestClaimTime(state, policy) - state.ClaimDelay;
  return mayHaveChanged ? Step::Read : Step::Claim;
}

} // namespace

Step nextStep(const LeaseState &state, const Policy &policy, TimePoint now) {
  if (state.CallInFlight)
    return Step::Wait;
  Step step = isHolder(state) ? holderStep(state, policy, now)
                              : candidateStep(state, policy, now);
  TimePoint from = step == Step::Read ? state.NextReadAt : state.NextAppendAt;
  return now < from ? Step::Wait : step;
}

TimePoint nextStepAt(const LeaseState &state, const Policy &policy) {
  if (state.CallInFlight)
    return TimePoint::max();
  if (isHolder(state))
    return state.RecordKnown
               ? std::max(state.NextAppendAt, renewalTime(state, policy))
               : state.NextReadAt;
  if (state.RecordKnown && isHeldByPreviousProcess(state))
    return state.NextAppendAt;
  TimePoint next = std::min(state.HolderHeardAt + policy.HolderTimeout,
                            earliestClaimTime(state, policy));
  return std::max(next, std::min(state.NextReadAt, state.NextAppendAt));
}

void noteCallSent(LeaseState &state, const Policy &policy, Step step,
                  TimePoint now) {
  state.CallInFlight = true;
  (step == Step::Read ? state.NextReadAt : state.NextAppendAt) =
      now + policy.CallInterval;
  // The release may take effect even if its answer is lost.
  if (step == Step::Release)
    state.HeldUntil = std::min(state.HeldUntil, now);
}

std::vector<FormerHolder> formerHolders(const LeaseState &state,
                                        const Policy &policy, TimePoint now) {
  std::vector<FormerHolder> out;
  if (!state.Newest)
    return out;
  auto elapsed = std::max<int64_t>(0, Utils::msBetween(state.LearnedAt, now));
  for (const FormerHolder &it : state.Newest->Former)
    if (int64_t age = it.EndedMs + elapsed;
        age < policy.FormerHolderRetention.count())
      out.push_back({it.Name, uint32_t(age)});
  return out;
}

namespace {

std::vector<FormerHolder> formerHoldersAfterClaim(const LeaseState &state,
                                                  const Policy &policy,
                                                  TimePoint now) {
  auto out = formerHolders(state, policy, now);
  if (!state.Newest || state.Newest->Holder == state.Self)
    return out;
  std::erase_if(out, [&](const FormerHolder &it) {
    return it.Name == state.Newest->Holder;
  });
  out.push_back({state.Newest->Holder, 0});
  return out;
}

/// When a VM whose claim was sent at `sentAt` may give its first order.
TimePoint firstOrderTime(const LeaseState &state, const Record &claim,
                         const Policy &policy, TimePoint sentAt) {
  TimePoint from =
      std::max(sentAt, state.StoreRecoveredAt + policy.OutageCooldown);
  bool heldRecently = std::any_of(
      claim.Former.begin(), claim.Former.end(),
      [&](const FormerHolder &it) { return it.Name == state.Self; });
  // A copy may lack this VM's term, also one of an earlier process, and a
  // record that follows a copy lacks it too.
  bool isSuccessor = state.Newest && state.Newest->Holder != state.Self;
  bool actedRecently =
      state.ActedUntil &&
      sentAt < *state.ActedUntil + policy.FormerHolderRetention;
  heldRecently =
      heldRecently || isOfEarlierEra(state) || (isSuccessor && actedRecently);
  return heldRecently ? from + policy.ReacquirePause : from;
}

} // namespace

namespace {

/// Gateways that a claim lists: those of the record before, and its holder.
std::vector<std::string> peersAfterClaim(const LeaseState &state) {
  if (!state.Newest)
    return {};
  std::vector<std::string> out = state.Newest->Peers;
  std::erase(out, state.Address);
  if (state.Newest->Address != state.Address)
    out.push_back(state.Newest->Address);
  return out;
}

/// Token of a claim. A record of an earlier era may have been followed by
/// claims that this VM does not know of.
int64_t nextToken(const LeaseState &state, const Policy &policy) {
  int64_t highest =
      std::max(state.HighestToken, state.Newest ? state.Newest->Token : 0);
  return highest + (isOfEarlierEra(state) ? policy.TokenStepOfEra : 1);
}

} // namespace

Record recordFor(const LeaseState &state, const Policy &policy, Step step,
                 TimePoint now) {
  Record record;
  record.Holder = state.Self;
  record.Address = state.Address;
  record.Members = state.Members;
  record.Released = step == Step::Release;
  record.InEra = state.InEra;
  record.Token =
      step == Step::Claim ? nextToken(state, policy) : state.HeldToken;
  record.Notes = step != Step::Claim ? state.Notes
                 : state.Newest      ? state.Newest->Notes
                                     : std::string();
  record.Peers = step == Step::Claim ? peersAfterClaim(state) : state.Peers;
  record.Former = step == Step::Claim
                      ? formerHoldersAfterClaim(state, policy, now)
                      : formerHolders(state, policy, now);
  return record;
}

namespace {

/// Adopts the newest record of the store, and drops the lease if it belongs to
/// another term.
void adoptRecord(LeaseState &state, std::optional<Record> newest, uint64_t end,
                 TimePoint renewedBy) {
  bool changed = !state.RecordKnown || end != state.End;
  state.RecordKnown = true;
  state.End = end;
  if (changed)
    state.RenewedBy = state.HolderHeardAt = state.LearnedAt = renewedBy;
  if (newest)
    state.HighestToken = std::max(state.HighestToken, newest->Token);
  // The store has lost the holder's record, and the holder writes it again.
  bool isLost = isHolder(state) && (!newest || newest->InEra < state.InEra) &&
                state.HeldToken == state.HighestToken;
  if (isLost)
    return;
  state.Newest = std::move(newest);
  bool isOwnRecord = state.Newest && state.Newest->Holder == state.Self &&
                     state.Newest->Token == state.HeldToken &&
                     state.Newest->Token == state.HighestToken &&
                     !state.Newest->Released;
  if (!isOwnRecord)
    state.HeldToken = 0;
}

} // namespace

void noteStoreEra(LeaseState &state, const StoreEra::Era &era, TimePoint now) {
  if (era <= state.InEra)
    return;
  bool isFirst = !state.InEra.isKnown();
  state.InEra = era;
  if (isFirst)
    return;
  state.ExpectsRecord = true;
  state.CallInFlight = false;
  state.RecordKnown = false;
  // Within its lease nobody else can have claimed the duty, whatever was lost.
  if (now >= state.HeldUntil)
    state.HeldToken = 0;
  state.HeldUntil = std::min(state.HeldUntil, now);
  state.NextReadAt = std::min(state.NextReadAt, now);
}

void noteToken(LeaseState &state, int64_t token) {
  state.HighestToken = std::max(state.HighestToken, token);
  if (isHolder(state) && state.HeldToken < state.HighestToken) {
    state.HeldToken = 0;
    state.RecordKnown = false;
  }
}

void noteStoreCall(LeaseState &state, bool answered, TimePoint now) {
  bool wasUnreachable = std::exchange(state.StoreUnreachable, !answered);
  if (wasUnreachable && answered)
    state.StoreRecoveredAt = now;
}

void noteRead(LeaseState &state, std::optional<Record> newest, uint64_t end,
              TimePoint now) {
  state.CallInFlight = false;
  noteStoreCall(state, true, now);
  state.ReadAt = now;
  TimePoint renewedBefore = state.RenewedBy;
  // The age of a record that is new to this VM is unknown. It was written
  // before the answer arrived, so its lease is counted from the arrival.
  adoptRecord(state, std::move(newest), end, now);
  if (state.HeldToken > 0)
    state.RenewedBy = renewedBefore; // Own append whose answer was lost.
}

void noteAccepted(LeaseState &state, const Policy &policy, const Record &record,
                  uint64_t end, TimePoint sentAt, TimePoint now) {
  state.CallInFlight = false;
  noteStoreCall(state, true, now);
  if (!record.Released && record.Token != state.HeldToken)
    state.OrdersFrom = firstOrderTime(state, record, policy, sentAt);
  state.RecordKnown = true;
  state.Newest = record;
  state.HighestToken = std::max(state.HighestToken, record.Token);
  state.End = end;
  state.RenewedBy = state.ReadAt = state.HolderHeardAt = state.LearnedAt =
      sentAt;
  state.HeldToken = record.Released ? 0 : record.Token;
  state.HandingOver = false;
  state.HeldUntil = sentAt + policy.Lease - policy.Margin;
  state.ActedUntil = state.HeldUntil;
}

void noteFailed(LeaseState &state, const Policy &policy, TimePoint now) {
  state.CallInFlight = false;
  state.RecordKnown = false;
  noteStoreCall(state, false, now);
  state.NextReadAt = state.NextAppendAt = now + policy.RetryAfter;
}

void noteHeartbeat(LeaseState &state, const Record &record, uint64_t end,
                   Milliseconds age, TimePoint now) {
  bool older = record.Token < state.HighestToken;
  if (older || (isHolder(state) && record.Token <= state.HeldToken))
    return;
  state.HolderHeardAt = now;
  state.ReadAt = std::max(state.ReadAt, now - age);
  if (record.InEra < state.InEra ||
      (state.RecordKnown && state.Newest && end < state.End))
    return;
  adoptRecord(state, record, end, now - age);
  state.RenewedBy = std::max(state.RenewedBy, now - age);
}

void noteActingPastLease(LeaseState &state, const Policy &policy, int64_t token,
                         TimePoint now) {
  bool newest = !state.Newest || token >= state.Newest->Token;
  if (newest && !isHolder(state))
    state.HolderActiveUntil = now + policy.HolderTimeout;
}

bool holdsLease(const LeaseState &state, TimePoint now) {
  return isHolder(state) && now < state.HeldUntil;
}

bool isStoreUnreachableForAll(const std::vector<GatewayStatus> &fleet,
                              uint32_t members, Fencing fencing,
                              const Policy &policy, TimePoint now) {
  size_t total = 0;
  size_t unreachable = 0;
  for (const GatewayStatus &it : fleet) {
    if (it.Leaving || now > it.ReportedAt + policy.GatewayRetention)
      continue;
    ++total;
    if (now >= it.ReportedAt + policy.StatusLifetime)
      continue;
    if (!it.StoreUnreachable)
      return false;
    ++unreachable;
  }
  total = std::max<size_t>(total, members);
  return fencing == Fencing::Checked ? 2 * unreachable > total
                                     : total > 1 && unreachable == total;
}

bool mayOrder(const LeaseState &state, bool storeUnreachableForAll,
              TimePoint now) {
  if (!isHolder(state) || state.Resigning || state.HandingOver)
    return false;
  return now >= state.OrdersFrom &&
         (storeUnreachableForAll || holdsLease(state, now));
}

} // namespace Duty
