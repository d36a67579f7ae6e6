#include "lease/outage.h"

#include "lease/lease.h"

#include <algorithm>

namespace Lease {

namespace {

Utils::TimePoint afterWindow(Utils::TimePoint from, Utils::Milliseconds window,
                             const Policy &policy) {
  return from + std::chrono::duration_cast<Utils::TimePoint::duration>(
                    std::chrono::duration<double, std::milli>(window) *
                    (1 + policy.ClockRateError));
}

/// Whether a process that may have acted still runs: it has neither left nor
/// been followed by another one of its name.
bool mayAct(const Succession &succession, const std::string &name,
            History::Position since) {
  auto it = succession.Members.find(name);
  return name != succession.Self && it != succession.Members.end() &&
         it->second.Joined < since;
}

bool isKnown(const Succession &succession, const std::string &name) {
  auto it = succession.Members.find(name);
  return it != succession.Members.end() &&
         it->second.Joined <= succession.Replaced.Known;
}

} // namespace

std::optional<Utils::TimePoint> actsFrom(const Succession &succession,
                                         Utils::Milliseconds window,
                                         const Policy &policy,
                                         Utils::TimePoint now) {
  if (succession.Replaced.Holder.empty())
    return now;
  if (isKnown(succession, succession.Self)) {
    Utils::TimePoint from = succession.ContactSince.value_or(now);
    return std::max(now, afterWindow(from, window, policy));
  }
  for (const auto &[name, applied] : succession.Applied)
    if (applied > History::offsetOf(succession.Claim) &&
        isKnown(succession, name))
      return afterWindow(now, window, policy);
  const auto &actors = succession.Replaced.Actors;
  if (std::none_of(actors.begin(), actors.end(), [&](const auto &it) {
        return mayAct(succession, it.first, it.second);
      }))
    return now;
  return std::nullopt;
}

bool mayRecordGone(const Burial &burial, Utils::Milliseconds window,
                   const Policy &policy, Utils::TimePoint now) {
  auto self = burial.Members.find(burial.Self);
  auto isWordNeeded = [&](const auto &lease) {
    return self != burial.Members.end() &&
           self->second.Joined <= lease.second.Known;
  };
  auto mayActOn = [&](const auto &lease) {
    return !lease.second.Holder.empty() &&
           lease.second.Actors.count(burial.Silent) != 0;
  };
  bool mayAct =
      std::any_of(burial.Leases.begin(), burial.Leases.end(), mayActOn);
  if (!mayAct)
    return true;
  return burial.ContactSince &&
         now >= afterWindow(*burial.ContactSince, window, policy) &&
         std::all_of(
             burial.Leases.begin(), burial.Leases.end(),
             [&](const auto &it) { return !mayActOn(it) || isWordNeeded(it); });
}

Utils::TimePoint claimsFrom(Utils::TimePoint contactSince,
                            const Policy &policy) {
  return contactSince + policy.Duration;
}

Utils::Milliseconds holderWindow(Utils::Milliseconds window,
                                 const Policy &policy) {
  return std::chrono::floor<Utils::Milliseconds>(
      std::chrono::duration<double, std::milli>(window) *
      (1 - policy.ClockRateError));
}

bool mayContinue(const Watch &watch, const History::Lease &inState,
                 bool logOutage, Utils::TimePoint now) {
  return logOutage && watch.HeldFence != 0 &&
         watch.HeldFence == inState.Fence && !inState.Holder.empty() &&
         now >= watch.ActsFrom;
}

} // namespace Lease
