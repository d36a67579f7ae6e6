#include "gateway/fleetmember.h"

#include "gateway/gatewayconstants.h"

#include <algorithm>

namespace Gateway {

namespace {

/// Age from which the holder's table is not relied on.
constexpr milliseconds TableLifetime{1500};
/// How long an endpoint that bounced a call is not asked for the same again;
/// the holder has looked at it by then.
constexpr milliseconds BounceRest{150};
/// Bounces that one report tells of; more say nothing new.
constexpr size_t MostBounces = 16;

Quota::Limit limitOf(const Fleet::Team &team, double tolerance) {
  return {team.RatePerSecond, team.Burst, tolerance};
}

TimePoint pointIn(uint32_t ms, TimePoint now) {
  return ms == 0 ? TimePoint{} : now + milliseconds(ms);
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

std::map<std::string, double> FleetMember::levels(TimePoint now) {
  std::map<std::string, double> out;
  for (auto &[team, meter] : Meters)
    out[team] = meter.level(now);
  return out;
}

void FleetMember::noteCall(const std::string &service, const std::string &model,
                           const std::string &adapter) {
  ++Calls[{service, model, adapter}];
}

void FleetMember::noteBounce(const std::string &endpoint,
                             const std::string &model,
                             const std::string &adapter, TimePoint now) {
  if (Bounces.size() < MostBounces)
    Bounces.push_back({endpoint, model, adapter});
  auto held = Table.find(endpoint);
  if (held == Table.end() || held->second.count(model) == 0)
    return;
  Held &entry = held->second[model];
  TimePoint &ready = adapter.empty() ? entry.ReadyAt : entry.Adapters[adapter];
  ready = std::max(ready, now + BounceRest);
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
  out.TableRevision = isLed(now) ? TableRevision : 0;
  for (const auto &[team, meter] : Meters)
    out.Teams.push_back({team, meter.admitted()});
  for (const auto &[key, n] : Calls)
    out.Calls.push_back(
        {std::get<0>(key), std::get<1>(key), std::get<2>(key), n});
  Calls.clear();
  OwnLoads.clear();
  for (const auto &[id, endpoint] : endpoints.all())
    if (uint32_t n = board.health(id).InFlight; n > 0) {
      out.Loads.push_back({id, n});
      OwnLoads[id] = n;
    }
  out.Bounces = std::move(Bounces);
  Bounces.clear();
  return out;
}

bool FleetMember::take(const FleetLink::Beat &beat, TimePoint now) {
  if (beat.Token < Token || beat.Incarnation != Incarnation)
    return false;
  if (beat.Token == Token && beat.Sequence < HeardSequence)
    return false;
  if (beat.Token > Token) {
    Table.clear();
    TableRevision = 0;
  }
  Token = beat.Token;
  HeardSequence = beat.Sequence;
  HeardAt = now;
  Members = beat.Members;
  for (const FleetLink::TeamTotal &it : beat.Teams)
    if (auto meter = Meters.find(it.Team); meter != Meters.end())
      meter->second.hear({double(it.Level), it.Fleet, it.Own, beat.Members},
                         now);
  takeTable(beat, now);
  OtherLoads.clear();
  for (const FleetLink::EndpointCalls &it : beat.Loads) {
    auto own = OwnLoads.find(it.Endpoint);
    uint32_t mine = own == OwnLoads.end() ? 0 : own->second;
    OtherLoads[it.Endpoint] = it.Calls > mine ? it.Calls - mine : 0;
  }
  return true;
}

void FleetMember::takeTable(const FleetLink::Beat &beat, TimePoint now) {
  TableRevision = std::max(TableRevision, beat.TableRevision);
  if (beat.Whole)
    Table.clear();
  for (const FleetLink::EndpointEntry &entry : beat.Entries) {
    if (entry.Gone) {
      Table.erase(entry.Endpoint);
      continue;
    }
    auto &held = Table[entry.Endpoint];
    held.clear();
    for (const FleetLink::ModelEntry &model : entry.Models) {
      Held &it = held[model.Name];
      it.ReadyAt = pointIn(model.ReadyInMs, now);
      for (const FleetLink::AdapterEntry &adapter : model.Adapters)
        it.Adapters[adapter.Name] = pointIn(adapter.ReadyInMs, now);
    }
  }
}

bool FleetMember::isLed(TimePoint now) const {
  return now < HeardAt + TableLifetime;
}

std::optional<TimePoint> FleetMember::readyAt(const Fleet::Endpoint &endpoint,
                                              const std::string &model,
                                              const std::string &adapter,
                                              TimePoint now) const {
  auto entry = Table.find(endpoint.Report.Id);
  if (!isLed(now) || entry == Table.end()) {
    bool holds = adapter.empty() ? endpoint.holds(model)
                                 : endpoint.holdsAdapter(model, adapter);
    return holds ? std::optional(TimePoint{}) : std::nullopt;
  }
  auto held = entry->second.find(model);
  if (held == entry->second.end())
    return std::nullopt;
  if (adapter.empty())
    return held->second.ReadyAt;
  auto it = held->second.Adapters.find(adapter);
  if (it == held->second.Adapters.end())
    return std::nullopt;
  return std::max(held->second.ReadyAt, it->second);
}

uint32_t FleetMember::loadOfOthers(const std::string &endpoint) const {
  auto it = OtherLoads.find(endpoint);
  return it == OtherLoads.end() ? 0 : it->second;
}

} // namespace Gateway
