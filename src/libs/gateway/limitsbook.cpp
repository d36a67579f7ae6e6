#include "gateway/limitsbook.h"

#include "utils/utils.h"

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

using Utils::Milliseconds;

/// A gateway that was not heard of for so long goes on by itself: two reports
/// of a large fleet.
constexpr Milliseconds SilentAfter{1000};
/// Time for which the part of a silent gateway is kept for it. One that is cut
/// off from the store as well refuses calls with keys by then.
constexpr Milliseconds SilenceCounts{6000};
/// Time from a holder's start in which it takes in what its predecessor told
/// others: a report of each gateway.
constexpr Milliseconds LevelsCount{1500};
/// How often the parts are counted.
constexpr Milliseconds DivideEvery{100};

int32_t rounded(double level) {
  constexpr double most = 2e9;
  return int32_t(std::clamp(level, -most, most));
}

} // namespace

LimitsBook::LimitsBook(Start start, TimePoint now)
    : Begun(std::move(start)), StartedAt(now) {}

double LimitsBook::startLevel(const Fleet::Team &team) const {
  // A team that comes later has used nothing.
  if (HasLimits || Begun.IsFirst)
    return team.Burst;
  if (auto it = Begun.Levels.find(team.Name); it != Begun.Levels.end())
    return it->second;
  if (!Begun.Noted)
    return 0;
  auto noted = Begun.Noted->find(FleetLink::hashName(team.Name));
  return noted == Begun.Noted->end() ? team.Burst : noted->second;
}

std::vector<FleetLink::TeamLevel> LimitsBook::notes(TimePoint now) {
  std::vector<FleetLink::TeamLevel> out;
  for (auto &[key, team] : Teams)
    if (double level = team.Book.level(now); level < team.Book.limit().Burst)
      out.push_back({key, rounded(level)});
  return out;
}

void LimitsBook::setLimits(const Fleet::Configuration &config, TimePoint now) {
  for (const Fleet::Team &team : config.Teams) {
    Quota::Limit limit{team.RatePerSecond, team.Burst};
    auto added = Teams.try_emplace(
        FleetLink::hashName(team.Name),
        Team{team.Name, {limit, startLevel(team), Begun.MostDebt, now}});
    added.first->second.Book.setLimit(limit, now);
  }
  HasLimits = true;
  DividedAt = {};
}

void LimitsBook::noteHeard(const std::string &member, bool leaving,
                           TimePoint now) {
  Member &it = Members[member];
  it.HeardAt = now;
  it.Leaving = leaving;
  dividePart(now);
}

/// Leaves to gateways that are not heard of their parts of the rates.
void LimitsBook::dividePart(TimePoint now) {
  if (now < DividedAt + DivideEvery)
    return;
  DividedAt = now;
  uint32_t live = 0;
  uint32_t silent = 0;
  for (const auto &[name, it] : Members) {
    if (it.Leaving || now >= it.HeardAt + SilenceCounts)
      continue;
    ++(now < it.HeardAt + SilentAfter ? live : silent);
  }
  uint32_t all = live + silent;
  if (now < StartedAt + SilenceCounts)
    all = std::max(all, Begun.Members);
  for (auto &[key, team] : Teams)
    team.Book.setPart(all == 0 ? 1 : double(live) / all, now);
}

void LimitsBook::settle(const std::string &member, uint64_t incarnation,
                        uint64_t sequence,
                        const std::vector<FleetLink::TeamUsage> &uses,
                        TimePoint now) {
  Member &it = Members[member];
  if (it.Incarnation != incarnation) {
    it.Incarnation = incarnation;
    it.Sequence = 0;
    it.Granted.clear();
  }
  if (sequence <= it.Sequence)
    return;
  it.Sequence = sequence;
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
          .with("level", int64_t(team->second.Book.level(now)))
          .info();
    granted = team->second.Book.settle(
        member, incarnation,
        {use.Spent, use.Granted, use.Asked, use.First, use.Wanted}, now);
  }
}

void LimitsBook::lowerTo(const std::vector<FleetLink::TeamLevel> &levels,
                         TimePoint now) {
  // Later, what came in since is more than a level can hold.
  if (now >= StartedAt + LevelsCount)
    return;
  for (const FleetLink::TeamLevel &it : levels)
    if (auto team = Teams.find(it.Team); team != Teams.end())
      team->second.Book.lowerTo(it.Level, now);
}

std::vector<FleetLink::TeamGrant>
LimitsBook::totals(const std::string &member,
                   const std::vector<FleetLink::TeamUsage> *teams,
                   TimePoint now) {
  std::vector<FleetLink::TeamGrant> out;
  auto known = Members.find(member);
  auto grantedOf = [&](uint32_t key) -> int64_t {
    if (known == Members.end())
      return 0;
    auto it = known->second.Granted.find(key);
    return it == known->second.Granted.end() ? 0 : it->second;
  };
  auto add = [&](uint32_t key, Team &team) {
    out.push_back({key, rounded(team.Book.level(now)),
                   uint32_t(rounded(team.Book.demand(now))), grantedOf(key)});
  };
  if (!teams) {
    for (auto &[key, team] : Teams)
      add(key, team);
    return out;
  }
  for (const FleetLink::TeamUsage &use : *teams)
    if (auto team = Teams.find(use.Team); team != Teams.end())
      add(use.Team, team->second);
  return out;
}

} // namespace Gateway
