#include "daemon/leasekeeper.h"

#include "daemon/peerduty.h"

namespace Daemon::Internal {

namespace {

constexpr Utils::Milliseconds StepPause(50);
constexpr Utils::Milliseconds LongestAppend(2000);
constexpr Utils::Milliseconds ReleaseTimeout(1000);

} // namespace

LeaseKeeper::LeaseKeeper(Context &context, std::string duty,
                         OnLogOutage behaviour)
    : Shared(context), Duty(std::move(duty)), Behaviour(behaviour) {
  const Settings::DaemonSettings &settings = context.Settings;
  Policy.Duration = Utils::Milliseconds(settings.LeaseDurationMs);
  Policy.ClockRateError = settings.ClockRateErrorPpm / 1e6;
  Policy.RenewsLate = behaviour == OnLogOutage::Continues;
}

LeaseKeeper::~LeaseKeeper() { stop(); }

void LeaseKeeper::start() {
  Steps.start(StepPause, [this] {
    awaitNews();
    if (Shared.Follower->caughtUp())
      step();
  });
}

void LeaseKeeper::stop() {
  Stopping = true;
  Shared.Store.wake();
  if (Steps.stop())
    release();
}

History::Position LeaseKeeper::fence() const {
  Utils::TimePoint now = Shared.Clock.Now();
  {
    std::lock_guard lock(Mutex);
    if (Lease::holds(Watch, now))
      return Watch.HeldFence;
    if (Watch.HeldFence == 0 || Behaviour == OnLogOutage::Stops)
      return 0;
  }
  Utils::Milliseconds window(Shared.Settings.CurrencyMs);
  auto lease =
      leaseDuringOutage(Shared, Duty, Lease::holderWindow(window, Policy));
  std::lock_guard lock(Mutex);
  if (!lease || !Lease::mayContinue(Watch, *lease, true, now))
    return 0;
  return Watch.HeldFence;
}

History::Position LeaseKeeper::replacedFence() const {
  std::lock_guard lock(Mutex);
  return Replaced.Fence;
}

void LeaseKeeper::step() {
  awaitPredecessor();
  auto change = nextChange();
  if (!change)
    return;
  auto timeout = std::min(LongestAppend, Policy.Duration / 2);
  finish(*change,
         Shared.Appender->submitAndWait(*change, Shared.Clock.Now() + timeout));
}

void LeaseKeeper::awaitNews() {
  History::Lease seen;
  Utils::TimePoint until;
  {
    std::lock_guard lock(Mutex);
    until = Lease::idleUntil(Watch, Policy);
    seen = Watch.Seen;
  }
  if (until <= Shared.Clock.Now())
    return;
  Shared.Store.waitUntil(
      [&](const History::State &state) {
        auto it = state.Leases.find(Duty);
        return Stopping || it == state.Leases.end() ||
               it->second.Fence != seen.Fence ||
               it->second.Renewal != seen.Renewal;
      },
      until);
}

/// Finds out from when this daemon may act on a lease that it has claimed.
void LeaseKeeper::awaitPredecessor() {
  Lease::Succession succession;
  {
    std::lock_guard lock(Mutex);
    if (Watch.HeldFence == 0 || Watch.ActsFrom != Utils::TimePoint::max())
      return;
    succession.Replaced = Replaced;
    succession.Claim = Watch.HeldFence;
  }
  succession.Self = Shared.Settings.Name;
  succession.ContactSince = Shared.Contact->contactSince();
  Shared.Store.read([&](const History::State &state) {
    succession.Members = state.Members;
    return 0;
  });
  for (const Peers::MemberView &it : Shared.Node->members())
    succession.Applied[it.Name] = it.Applied;
  Utils::Milliseconds window(Shared.Settings.CurrencyMs);
  Utils::TimePoint now = Shared.Clock.Now();
  auto from = Lease::actsFrom(succession, window, Policy, now);
  std::lock_guard lock(Mutex);
  if (from && Watch.HeldFence == succession.Claim)
    Watch.ActsFrom = *from;
}

std::optional<History::LeaseChange> LeaseKeeper::nextChange() {
  History::Position newest = 0;
  History::Lease lease = Shared.Store.read([&](const History::State &state) {
    for (const auto &[name, member] : state.Members)
      newest = std::max(newest, member.Joined);
    auto it = state.Leases.find(Duty);
    return it == state.Leases.end() ? History::Lease() : it->second;
  });
  // Successors tell by the order of the two whether the process still runs.
  if (Behaviour == OnLogOutage::Continues && !Shared.IsMember)
    return std::nullopt;
  auto contactSince = Shared.Contact->contactSince();
  Utils::TimePoint now = Shared.Clock.Now();
  std::lock_guard lock(Mutex);
  Lease::observe(Watch, lease, now);
  if (Behaviour == OnLogOutage::Continues) {
    Watch.NewestMember = newest;
    Watch.ClaimsFrom = Lease::claimsFrom(contactSince.value_or(now), Policy);
  }
  return Lease::nextChange(Watch, Duty, Shared.Settings.Name, Policy, now);
}

void LeaseKeeper::finish(const History::LeaseChange &change,
                         const Utils::Outcome<History::Verdict> &verdict) {
  std::unique_lock lock(Mutex);
  if (!verdict) {
    Lease::abandon(Watch);
    return;
  }
  Lease::settle(Watch, change, *verdict, Policy);
  if (change.Action != History::LeaseAction::Claim || !verdict->Accepted)
    return;
  Replaced = Watch.Seen;
  if (Behaviour == OnLogOutage::Continues)
    Watch.ActsFrom = Utils::TimePoint::max();
  lock.unlock();
  awaitPredecessor();
  Utils::Event("lease_claimed")
      .with("duty", Duty)
      .with("fence", verdict->At)
      .info();
}

void LeaseKeeper::release() {
  History::LeaseChange change;
  {
    std::lock_guard lock(Mutex);
    if (!Lease::holds(Watch, Shared.Clock.Now()))
      return;
    change.ExpectedFence = Watch.HeldFence;
    Watch.HeldFence = 0;
  }
  change.ChangeId = Utils::randomId();
  change.Action = History::LeaseAction::Release;
  change.Duty = Duty;
  change.Holder = Shared.Settings.Name;
  appendRecord(Shared, change, ReleaseTimeout);
}

} // namespace Daemon::Internal
