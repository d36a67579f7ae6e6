#include "gateway/fleetlimiter.h"

#include "utils/utils.h"

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

using Utils::Milliseconds;

/// Time without a heartbeat after which a gateway is assumed to admit calls on
/// its own: two report intervals of a large fleet.
constexpr Milliseconds HeartbeatTimeout{1000};
/// Time for which the rate share of a silent gateway stays reserved. A gateway
/// that has also lost the store refuses calls with keys by then.
constexpr Milliseconds SilentMemberRetention{6000};
/// Time after taking over during which a holder accepts levels that its
/// predecessor sent to other gateways: every gateway reports once within it.
constexpr Milliseconds LevelHandoverWindow{1500};
/// Minimum interval between updates of the granted share.
constexpr Milliseconds ShareUpdateInterval{100};

int32_t toLevel(double level) {
  constexpr double maxLevel = 2e9;
  return int32_t(std::clamp(level, -maxLevel, maxLevel));
}

} // namespace

FleetLimiter::FleetLimiter(InitialState initial, TimePoint now)
    : Initial(std::move(initial)), StartedAt(now) {}

double FleetLimiter::initialLevel(const Fleet::Team &team) const {
  // A team that is added later has not used any tokens.
  if (HasLimits || Initial.IsFirstStart)
    return team.Burst;
  if (auto it = Initial.Levels.find(team.Name); it != Initial.Levels.end())
    return it->second;
  if (!Initial.RecordedLevels)
    return 0;
  auto recorded = Initial.RecordedLevels->find(FleetLink::hashName(team.Name));
  return recorded == Initial.RecordedLevels->end() ? team.Burst
                                                   : recorded->second;
}

std::vector<FleetLink::TeamLevel> FleetLimiter::levelsToRecord(TimePoint now) {
  std::vector<FleetLink::TeamLevel> out;
  for (auto &[key, team] : Teams)
    if (double level = team.Bucket.level(now);
        level < team.Bucket.limit().Burst && !team.Bucket.limit().isStrict())
      out.push_back({key, toLevel(level)});
  return out;
}

void FleetLimiter::setLimits(const Fleet::Configuration &config,
                             TimePoint now) {
  for (const Fleet::Team &team : config.Teams) {
    Quota::Limit limit{team.RatePerSecond, team.Burst};
    auto added = Teams.try_emplace(
        FleetLink::hashName(team.Name),
        Team{team.Name,
             {limit, initialLevel(team), Initial.MaxOverdraft, now}});
    added.first->second.Bucket.setLimit(limit, now);
  }
  HasLimits = true;
  ShareUpdatedAt = {};
}

void FleetLimiter::setEndpointLimit(uint32_t endpoint, double rate,
                                    TimePoint now) {
  setEndpointLimit(endpoint, Quota::endpointLimit(rate), now);
}

void FleetLimiter::setEndpointLimit(uint32_t endpoint,
                                    const Quota::Limit &limit, TimePoint now) {
  std::string name = FleetLink::endpointLimitName(endpoint);
  uint32_t key = FleetLink::hashName(name);
  auto team = Teams.find(key);
  if (team != Teams.end() && team->second.Bucket.limit() == limit)
    return;
  // Gateways may have used the endpoint before it was known to be limited.
  double level = limit.isStrict() ? 0 : limit.Burst;
  if (auto it = Initial.Levels.find(name); it != Initial.Levels.end())
    level = limit.isStrict() ? std::min(level, it->second) : it->second;
  constexpr double noOverdraft = 0;
  auto added = Teams.try_emplace(
      key, Team{name, {limit, level, noOverdraft, now}, true});
  added.first->second.Bucket.setLimit(limit, now);
  ShareUpdatedAt = {};
}

void FleetLimiter::recordHeartbeat(const std::string &member, bool leaving,
                                   TimePoint now) {
  Member &it = Members[member];
  it.LastHeartbeat = now;
  it.Leaving = leaving;
  updateGrantedShare(now);
}

/// Updates the share of the rates that is granted centrally; silent gateways
/// keep their shares and use them on their own.
void FleetLimiter::updateGrantedShare(TimePoint now) {
  if (now < ShareUpdatedAt + ShareUpdateInterval)
    return;
  ShareUpdatedAt = now;
  uint32_t live = 0;
  uint32_t silent = 0;
  for (const auto &[name, it] : Members) {
    if (it.Leaving || now >= it.LastHeartbeat + SilentMemberRetention)
      continue;
    ++(now < it.LastHeartbeat + HeartbeatTimeout ? live : silent);
  }
  uint32_t all = live + silent;
  if (now < StartedAt + SilentMemberRetention)
    all = std::max(all, Initial.MemberCount);
  for (auto &[key, team] : Teams)
    team.Bucket.setGrantableFraction(all == 0 ? 1 : double(live) / all, now);
}

void FleetLimiter::applyUsage(const std::string &member, uint64_t incarnation,
                              uint64_t sequence,
                              const std::vector<FleetLink::TeamUsage> &uses,
                              TimePoint now) {
  Member &it = Members[member];
  if (it.Incarnation != incarnation) {
    it.Incarnation = incarnation;
    it.Sequence = 0;
    it.Granted.clear();
    it.Delays.clear();
  }
  if (sequence <= it.Sequence)
    return;
  it.Sequence = sequence;
  it.Delays.clear();
  for (const FleetLink::TeamUsage &use : uses) {
    auto team = Teams.find(use.Team);
    if (team == Teams.end())
      continue;
    int64_t &granted = it.Granted[use.Team];
    if (use.Spent > std::max(granted, use.Granted))
      Utils::Event("limit_spent_alone")
          .with("team", team->second.Name)
          .with("gateway", member)
          .with("tokens", use.Spent - std::max(granted, use.Granted))
          .with("level", int64_t(team->second.Bucket.level(now)))
          .info();
    std::vector<Quota::QueuedCall> calls;
    calls.reserve(use.Calls.size());
    for (const FleetLink::TeamCall &call : use.Calls)
      calls.push_back({call.Call, call.Hash, std::max<int64_t>(1, call.Tokens),
                       Milliseconds(call.PatienceMs)});
    std::vector<Quota::CallDelay> delays;
    granted = team->second.Bucket.reconcile(
        member, incarnation,
        {use.Spent, use.Granted, use.Requested, use.FirstRequest, use.Demanded},
        calls, delays, now);
    for (const Quota::CallDelay &delay : delays)
      it.Delays[use.Team].push_back(
          {delay.Call, uint32_t(delay.RetryAfter.count())});
  }
}

void FleetLimiter::capLevels(const std::vector<FleetLink::TeamLevel> &levels,
                             TimePoint now) {
  // After the window the level has been refilled by more than it can hold.
  if (now >= StartedAt + LevelHandoverWindow)
    return;
  for (const FleetLink::TeamLevel &it : levels)
    if (auto team = Teams.find(it.Team); team != Teams.end())
      team->second.Bucket.capLevel(it.Level, now);
}

FleetLink::TeamGrant FleetLimiter::grant(const std::string &member,
                                         uint32_t key, Team &team,
                                         TimePoint now) {
  FleetLink::TeamGrant out{key,
                           toLevel(team.Bucket.level(now)),
                           uint32_t(toLevel(team.Bucket.demandRate(now))),
                           0,
                           {}};
  auto it = Members.find(member);
  if (it == Members.end())
    return out;
  if (auto known = it->second.Granted.find(key);
      known != it->second.Granted.end())
    out.Granted = known->second;
  if (auto delays = it->second.Delays.find(key);
      delays != it->second.Delays.end())
    out.Delays = delays->second;
  out.QueueLength = uint32_t(team.Bucket.queueLength());
  return out;
}

std::vector<FleetLink::TeamGrant>
FleetLimiter::grants(const std::string &member,
                     const std::vector<FleetLink::TeamUsage> &uses,
                     TimePoint now) {
  std::vector<FleetLink::TeamGrant> out;
  for (const FleetLink::TeamUsage &use : uses)
    if (auto team = Teams.find(use.Team); team != Teams.end())
      out.push_back(grant(member, use.Team, team->second, now));
  return out;
}

std::vector<FleetLink::TeamGrant>
FleetLimiter::allGrants(const std::string &member,
                        const std::vector<FleetLink::TeamUsage> &uses,
                        TimePoint now) {
  std::vector<FleetLink::TeamGrant> out;
  for (auto &[key, team] : Teams)
    if (!team.IsEndpoint)
      out.push_back(grant(member, key, team, now));
  for (const FleetLink::TeamUsage &use : uses)
    if (auto team = Teams.find(use.Team);
        team != Teams.end() && team->second.IsEndpoint)
      out.push_back(grant(member, use.Team, team->second, now));
  return out;
}

} // namespace Gateway
