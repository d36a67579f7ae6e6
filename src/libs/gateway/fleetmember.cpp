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
/// Reports that a beat may still answer.
constexpr size_t ReportsRemembered = 32;

Quota::Limit limitOf(const Fleet::Team &team, double tolerance) {
  return {team.RatePerSecond, team.Burst, tolerance};
}

} // namespace

FleetMember::FleetMember(std::string name, std::string address,
                         uint64_t incarnation, bool firstStart)
    : Name(std::move(name)), Address(std::move(address)),
      Incarnation(incarnation), BeginFull(firstStart) {}

void FleetMember::setLimits(const Fleet::Configuration &config,
                            double tolerance, TimePoint now) {
  std::map<std::string, Quota::Meter> meters;
  for (const Fleet::Team &team : config.Teams) {
    Quota::Limit limit = limitOf(team, tolerance);
    auto it = Meters.find(team.Name);
    auto added = it == Meters.end()
                     ? meters.try_emplace(team.Name, limit,
                                          BeginFull ? limit.Burst : 0, now)
                     : meters.emplace(team.Name, it->second);
    added.first->second.setLimit(limit, now);
  }
  BeginFull = true;
  Meters = std::move(meters);
}

std::optional<Utils::Milliseconds>
FleetMember::refusal(const std::string &team, double tokens, TimePoint now) {
  auto it = Meters.find(team);
  return it == Meters.end() ? std::nullopt : it->second.refusal(tokens, now);
}

void FleetMember::giveBack(const std::string &team, double tokens,
                           TimePoint now) {
  if (auto it = Meters.find(team); it != Meters.end())
    it->second.giveBack(tokens, now);
}

Inheritance FleetMember::inheritance(TimePoint now) {
  Inheritance out;
  for (auto &[team, meter] : Meters)
    out.Levels[team] = meter.level(now);
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

/// Adds the teams of which the holder does not know the newest count.
void FleetMember::addTeams(FleetLink::Report &report) {
  auto &told = Told[Sequence];
  for (const auto &[team, meter] : Meters) {
    uint32_t key = FleetLink::keyOf(team);
    told[key] = meter.admitted();
    auto known = Answered.find(key);
    if (known == Answered.end() || known->second != meter.admitted())
      report.Teams.push_back({key, meter.admitted()});
  }
  if (Told.size() > ReportsRemembered)
    Told.erase(Told.begin());
}

FleetLink::Report FleetMember::makeReport(const Balance::EndpointBoard &board,
                                          const Fleet::EndpointTable &endpoints,
                                          TimePoint now) {
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
  addTeams(out);
  addCalls(out, now);
  OwnLoads.clear();
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
  if (beat.Token > Token)
    Answered.clear(); // A new holder is told of every team.
  Token = beat.Token;
  HeardSequence = beat.Sequence;
  HeardAt = now;
  Members = beat.Members;
  takeTeams(beat, now);
  Table.take(beat, endpoints, now);
  OtherLoads.clear();
  for (const FleetLink::EndpointCalls &it : beat.Loads) {
    auto own = OwnLoads.find(it.Endpoint);
    uint32_t mine = own == OwnLoads.end() ? 0 : own->second;
    OtherLoads[it.Endpoint] = it.Calls > mine ? it.Calls - mine : 0;
  }
  return true;
}

void FleetMember::takeTeams(const FleetLink::Beat &beat, TimePoint now) {
  auto told = Told.find(beat.Sequence);
  if (told == Told.end())
    return;
  Answered = told->second;
  std::map<uint32_t, const FleetLink::TeamTotal *> totals;
  for (const FleetLink::TeamTotal &it : beat.Teams)
    totals[it.Team] = &it;
  constexpr double shares = 255;
  for (auto &[team, meter] : Meters) {
    uint32_t key = FleetLink::keyOf(team);
    auto total = totals.find(key);
    auto own = Answered.find(key);
    if (total != totals.end() && own != Answered.end())
      meter.hear({double(total->second->Level), own->second,
                  total->second->Share / shares},
                 now);
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
  bool holds = adapter.empty() ? endpoint.holds(model)
                               : endpoint.holdsAdapter(model, adapter);
  return holds ? std::optional(TimePoint{}) : std::nullopt;
}

uint32_t FleetMember::loadOfOthers(const std::string &endpoint) const {
  auto it = OtherLoads.find(FleetLink::keyOf(endpoint));
  return it == OtherLoads.end() ? 0 : it->second;
}

} // namespace Gateway
