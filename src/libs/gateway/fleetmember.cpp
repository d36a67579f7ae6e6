#include "gateway/fleetmember.h"

#include "gateway/gatewayconstants.h"

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

/// Age from which the holder's table is not relied on.
constexpr milliseconds TableLifetime{1500};
/// How long an endpoint that bounced a call is not asked for the same again;
/// the holder has looked at it by then.
constexpr milliseconds BounceRest{150};
/// Bounces that one report tells of; more say nothing new.
constexpr size_t MostBounces = 16;
/// Leaving endpoints that one report tells of; the others follow.
constexpr size_t MostLeaving = 32;
/// Reports that a beat may still answer.
constexpr size_t ReportsRemembered = 32;

/// Gateways that are assumed to share a limit while nothing tells how many
/// there are: as many as the largest fleet in use.
constexpr uint32_t UnknownMembers = 200;

Quota::Limit limitOf(const Fleet::Team &team) {
  return {team.RatePerSecond, team.Burst};
}

FleetLink::TeamUse useOf(uint32_t team, const Quota::Account &it) {
  return {team, it.Spent, it.Granted, it.Asked, it.First, it.Wanted};
}

} // namespace

FleetMember::FleetMember(std::string name, std::string address,
                         uint64_t incarnation, bool firstStart)
    : Name(std::move(name)), Address(std::move(address)),
      Incarnation(incarnation), BeginFull(firstStart), Random(incarnation) {}

uint32_t FleetMember::sharers() const {
  if (Members > 0)
    return Members;
  return MembersBefore > 0 ? MembersBefore : UnknownMembers;
}

void FleetMember::setLimits(const Fleet::Configuration &config, TimePoint now) {
  std::map<std::string, Quota::Purse> purses;
  for (const Fleet::Team &team : config.Teams) {
    Quota::Limit limit = limitOf(team);
    auto it = Purses.find(team.Name);
    auto added =
        it == Purses.end()
            ? purses.try_emplace(team.Name, limit, BeginFull ? limit.Burst : 0,
                                 sharers(), now)
            : purses.emplace(team.Name, it->second);
    added.first->second.setLimit(limit, now);
  }
  BeginFull = true;
  Purses = std::move(purses);
}

void FleetMember::setMembersBefore(uint32_t members, TimePoint now) {
  MembersBefore = members;
  for (auto &[team, purse] : Purses)
    purse.setMembers(sharers(), now);
}

bool FleetMember::holderAnswers(TimePoint now) const {
  return !HolderMissed && isLed(now);
}

std::optional<Quota::Decision> FleetMember::want(const std::string &team,
                                                 uint64_t call, double tokens,
                                                 TimePoint now) {
  auto it = Purses.find(team);
  if (it == Purses.end())
    return Quota::Decision{call, std::nullopt};
  return it->second.want(call, tokens, holderAnswers(now), now, Random);
}

void FleetMember::forgetWant(const std::string &team, uint64_t call) {
  if (auto it = Purses.find(team); it != Purses.end())
    it->second.forget(call);
}

void FleetMember::giveBack(const std::string &team, double tokens) {
  if (auto it = Purses.find(team); it != Purses.end())
    it->second.giveBack(tokens);
}

bool FleetMember::wantsTokens() const {
  return std::any_of(Purses.begin(), Purses.end(),
                     [](const auto &it) { return it.second.isWaiting(); });
}

std::vector<Quota::Decision> FleetMember::expireWants(TimePoint now) {
  std::vector<Quota::Decision> out;
  for (auto &[team, purse] : Purses)
    for (const Quota::Decision &it : purse.expire(now, Random))
      out.push_back(it);
  HolderMissed = HolderMissed || !out.empty();
  return out;
}

/// What holders granted before is not known to another one.
void FleetMember::addressHolder(int64_t token) {
  if (std::exchange(AddressedToken, token) == token)
    return;
  Answered.clear();
  for (auto &[team, purse] : Purses)
    purse.addressHolder(Sequence);
}

FleetLink::Ask FleetMember::makeAsk(int64_t holderToken, TimePoint now) {
  FleetLink::Ask out;
  out.Member = Name;
  out.Address = Address;
  out.Incarnation = Incarnation;
  out.Sequence = ++Sequence;
  addressHolder(holderToken);
  out.Teams = changedTeams();
  out.Levels = levelsFor(holderToken, now);
  return out;
}

std::vector<Quota::Decision> FleetMember::take(const FleetLink::Grant &grant,
                                               TimePoint now) {
  if (grant.Token < Token || grant.Incarnation != Incarnation)
    return {};
  takeTeams(grant.Teams, grant.Token, grant.Sequence, now);
  return takeDecisions();
}

std::vector<Quota::Decision> FleetMember::takeDecisions() {
  return std::exchange(Decided, {});
}

Inheritance FleetMember::inheritance(TimePoint now) {
  Inheritance out;
  for (auto &[team, purse] : Purses)
    if (auto level = purse.toldLevel(now))
      out.Levels[team] = *level;
  // A part of a table says nothing of the rest.
  if (Table.isComplete())
    out.Table = Table.known();
  return out;
}

void FleetMember::noteCall(const std::string &service, const std::string &model,
                           const std::string &adapter, TimePoint now) {
  ++Calls[{service, model, adapter}];
  Demand.note({service, model}, 1, now);
}

void FleetMember::addCalls(FleetLink::Report &report, TimePoint now) {
  if (std::exchange(ToldToken, Token) != Token) {
    for (const auto &[key, calls] : Demand.counts(now))
      report.Calls.push_back({key.Service, key.Model, "", calls});
  } else {
    for (const auto &[key, n] : Calls)
      report.Calls.push_back(
          {std::get<0>(key), std::get<1>(key), std::get<2>(key), double(n)});
  }
  Calls.clear();
}

void FleetMember::noteBounce(const std::string &endpoint,
                             const std::string &model,
                             const std::string &adapter, TimePoint now) {
  if (Bounces.size() < MostBounces)
    Bounces.push_back({endpoint, model, adapter});
  Table.noteAbsent(endpoint, model, adapter, now + BounceRest);
}

/// Accounts of the teams of which the holder does not know the newest.
std::vector<FleetLink::TeamUse> FleetMember::changedTeams() {
  std::vector<FleetLink::TeamUse> out;
  auto &told = Told[Sequence];
  for (auto &[team, purse] : Purses) {
    uint32_t key = FleetLink::keyOf(team);
    Quota::Account account = purse.report(Sequence);
    told[key] = account;
    auto known = Answered.find(key);
    if (known == Answered.end() || known->second != account)
      out.push_back(useOf(key, account));
  }
  if (Told.size() > ReportsRemembered)
    Told.erase(Told.begin());
  return out;
}

/// What earlier holders have told, for one that has told nothing yet.
std::vector<FleetLink::TeamLevel> FleetMember::levelsFor(int64_t holderToken,
                                                         TimePoint now) {
  std::vector<FleetLink::TeamLevel> out;
  if (holderToken <= LevelsToken)
    return out;
  for (auto &[team, purse] : Purses)
    if (auto level = purse.toldLevel(now))
      out.push_back({FleetLink::keyOf(team), int32_t(*level)});
  return out;
}

FleetLink::Report FleetMember::makeReport(const Balance::EndpointBoard &board,
                                          const Fleet::EndpointTable &endpoints,
                                          int64_t holderToken, TimePoint now) {
  FleetLink::Report out;
  out.Member = Name;
  out.Address = Address;
  out.Incarnation = Incarnation;
  out.Sequence = ++Sequence;
  out.Token = Token;
  out.Lineage = Table.known().Lineage;
  out.TableRevision = Table.known().Revision;
  out.TableComplete = Table.isComplete();
  out.Doubts.assign(Table.doubts().begin(), Table.doubts().end());
  addressHolder(holderToken);
  out.Teams = changedTeams();
  out.Levels = levelsFor(holderToken, now);
  addCalls(out, now);
  OwnLoads.clear();
  for (const auto &[id, endpoint] : endpoints.all())
    if (endpoint.Leaving && !Table.isDraining(id) &&
        out.LeavingEndpoints.size() < MostLeaving)
      out.LeavingEndpoints.push_back({id, endpoint.Report.StartedUnixMs});
  for (const auto &[id, endpoint] : endpoints.all())
    if (uint32_t n = board.health(id).InFlight; n > 0) {
      uint32_t key = FleetLink::keyOf(id);
      out.Loads.push_back({key, uint16_t(std::min(n, 65535U))});
      OwnLoads[key] = n;
    }
  out.Bounces = std::move(Bounces);
  Bounces.clear();
  return out;
}

bool FleetMember::take(const FleetLink::Beat &beat,
                       const Fleet::EndpointTable &endpoints, TimePoint now) {
  if (beat.Token < Token || beat.Incarnation != Incarnation)
    return false;
  if (beat.Token == Token && beat.Sequence < HeardSequence)
    return false;
  Token = beat.Token;
  HeardSequence = beat.Sequence;
  HeardAt = now;
  if (std::exchange(Members, beat.Members) != beat.Members)
    for (auto &[team, purse] : Purses)
      purse.setMembers(sharers(), now);
  takeTeams(beat.Teams, beat.Token, beat.Sequence, now);
  Table.take(beat, endpoints, now);
  OtherLoads.clear();
  for (const FleetLink::EndpointCalls &it : beat.Loads) {
    auto own = OwnLoads.find(it.Endpoint);
    uint32_t mine = own == OwnLoads.end() ? 0 : own->second;
    OtherLoads[it.Endpoint] = it.Calls > mine ? it.Calls - mine : 0;
  }
  return true;
}

void FleetMember::takeTeams(const std::vector<FleetLink::TeamTotal> &teams,
                            int64_t holderToken, uint64_t sequence,
                            TimePoint now) {
  auto told = Told.find(sequence);
  if (told == Told.end())
    return;
  HeardAt = now;
  HolderMissed = false;
  LevelsToken = std::max(LevelsToken, holderToken);
  std::map<uint32_t, const FleetLink::TeamTotal *> totals;
  for (const FleetLink::TeamTotal &it : teams)
    totals[it.Team] = &it;
  for (auto &[team, purse] : Purses) {
    uint32_t key = FleetLink::keyOf(team);
    auto total = totals.find(key);
    auto own = told->second.find(key);
    if (total == totals.end() || own == told->second.end())
      continue;
    Answered[key] = own->second;
    auto decided =
        purse.hear({double(total->second->Level), double(total->second->Demand),
                    total->second->Granted},
                   sequence, now);
    Decided.insert(Decided.end(), decided.begin(), decided.end());
  }
}

const std::vector<std::string> *FleetMember::placesOf(const std::string &model,
                                                      TimePoint now) const {
  return isLed(now) ? Table.placesOf(model) : nullptr;
}

bool FleetMember::isLed(TimePoint now) const {
  return now < HeardAt + TableLifetime;
}

std::optional<TimePoint> FleetMember::readyAt(const Fleet::Endpoint &endpoint,
                                              const std::string &model,
                                              const std::string &adapter,
                                              TimePoint now) const {
  if (isLed(now))
    return Table.readyAt(endpoint, model, adapter);
  bool holds = adapter.empty() ? endpoint.hasModel(model)
                               : endpoint.hasAdapter(model, adapter);
  return holds ? std::optional(TimePoint{}) : std::nullopt;
}

uint32_t FleetMember::loadOfOthers(const std::string &endpoint) const {
  auto it = OtherLoads.find(FleetLink::keyOf(endpoint));
  return it == OtherLoads.end() ? 0 : it->second;
}

} // namespace Gateway
