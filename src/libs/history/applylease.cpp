#include "history/applyrecord.h"

#include <algorithm>

namespace History::Internal {

namespace {

Verdict claim(State &state, Position at, const LeaseChange &record) {
  Lease &lease = state.Leases[record.Duty];
  if (lease.Fence != record.ExpectedFence ||
      lease.Renewal != record.ExpectedRenewal)
    return rejected(at, "the lease has moved on");
  AuditEntry entry{at,
                   0,
                   record.Holder,
                   "lease " + record.Duty,
                   lease.Holder,
                   record.Holder,
                   true,
                   ""};
  if (lease.Holder.empty()) {
    lease.Known = at;
    lease.Actors.clear();
  }
  lease.Holder = record.Holder;
  lease.Fence = at;
  lease.Renewal = at;
  lease.DurationMs = record.DurationMs;
  lease.Actors[record.Holder] = at;
  audit(state, std::move(entry));
  return accepted(at);
}

Verdict renew(State &state, Position at, const LeaseChange &record) {
  auto it = state.Leases.find(record.Duty);
  if (it == state.Leases.end() || it->second.Holder != record.Holder ||
      it->second.Fence != record.ExpectedFence)
    return rejected(at, "not the holder");
  it->second.Renewal = at;
  if (record.ExpectedRenewal == 0)
    return accepted(at);
  it->second.Known = std::max(it->second.Known, record.ExpectedRenewal);
  it->second.Actors = {{record.Holder, at}};
  return accepted(at);
}

Verdict release(State &state, Position at, const LeaseChange &record) {
  auto it = state.Leases.find(record.Duty);
  if (it == state.Leases.end() || it->second.Holder != record.Holder ||
      it->second.Fence != record.ExpectedFence)
    return rejected(at, "not the holder");
  it->second.Holder.clear();
  it->second.Renewal = at;
  audit(state, {at, 0, record.Holder, "lease " + record.Duty, record.Holder, "",
                true, ""});
  return accepted(at);
}

} // namespace

Verdict applyRecord(State &state, Position at, const LeaseChange &record) {
  switch (record.Action) {
  case LeaseAction::Claim:
    return claim(state, at, record);
  case LeaseAction::Renew:
    return renew(state, at, record);
  case LeaseAction::Release:
    return release(state, at, record);
  }
  return rejected(at, "unknown lease action");
}

} // namespace History::Internal
