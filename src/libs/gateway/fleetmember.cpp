#include "gateway/fleetmember.h"

#include "gateway/gatewayconstants.h"
#include "utils/utils.h"

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

/// The holder counts as failed, and its table is not used, after this time
/// without a message.
constexpr milliseconds TableLifetime{1500};
/// Cool-down of a model at an endpoint that has rejected a call for it; the
/// holder has queried the endpoint by then.
constexpr milliseconds ModelMissCooldown{150};
/// Most model misses that one report lists. More are of no use: the holder
/// reads the report of each endpoint that one names.
constexpr size_t MaxModelMisses = 16;
/// Most leaving endpoints that one report lists; the next reports list the
/// others.
constexpr size_t MaxLeavingEndpoints = 32;
/// Number of recent reports and grant requests that an answer can still match.
constexpr size_t MaxUnansweredReports = 32;

/// Number of gateways that are assumed to share a limit while it is unknown:
/// the size of the largest fleet in use.
constexpr uint32_t DefaultMembers = 200;

Quota::Limit limitOf(const Fleet::Team &team) {
  return {team.RatePerSecond, team.Burst};
}

FleetLink::TeamUsage usageOf(uint32_t team, const Quota::TokenCounters &it) {
  return {team,        it.Spent, it.Granted, it.Requested, it.FirstRequest,
          it.Demanded, {}};
}

} // namespace

FleetMember::FleetMember(std::string name, std::string address,
                         uint64_t incarnation, bool firstStart)
    : Name(std::move(name)), Address(std::move(address)),
      Incarnation(incarnation), StartFull(firstStart), Random(incarnation) {}

uint32_t FleetMember::assumedMembers() const {
  if (Members > 0)
    return Members;
  return RecordedMembers > 0 ? RecordedMembers : DefaultMembers;
}

void FleetMember::setLimits(const Fleet::Configuration &config, TimePoint now) {
  std::map<std::string, Quota::GatewayLimiter> limiters;
  for (const Fleet::Team &team : config.Teams) {
    Quota::Limit limit = limitOf(team);
    auto it = Limiters.find(team.Name);
    auto added = it == Limiters.end()
                     ? limiters.try_emplace(team.Name, limit,
                                            StartFull ? limit.Burst : 0,
                                            assumedMembers(), now)
                     : limiters.emplace(team.Name, it->second);
    added.first->second.setLimit(limit, now);
  }
  StartFull = true;
  for (uint32_t endpoint : LimitsOfEndpoints.endpoints())
    limiters.insert(Limiters.extract(FleetLink::endpointLimitName(endpoint)));
  Limiters = std::move(limiters);
}

void FleetMember::setRecordedMembers(uint32_t members, TimePoint now) {
  RecordedMembers = members;
  for (auto &[team, limiter] : Limiters)
    limiter.setGatewayCount(assumedMembers(), now);
}

bool FleetMember::isHolderResponsive(TimePoint now) const {
  return !HolderTimedOut && hasLiveHolder(now);
}

std::optional<Quota::Decision>
FleetMember::acquireTokens(const std::string &limit, uint64_t call,
                           double tokens, TimePoint now,
                           const Quota::QueueTicket &ticket) {
  endColdLimits(now);
  auto it = Limiters.find(limit);
  if (it == Limiters.end())
    return Quota::Decision{call, std::nullopt};
  return it->second.acquire(call, tokens, isHolderResponsive(now), now, Random,
                            ticket);
}

void FleetMember::cancelAcquire(const std::string &limit, uint64_t call) {
  if (auto it = Limiters.find(limit); it != Limiters.end())
    it->second.cancel(call);
}

void FleetMember::refundTokens(const std::string &limit, double tokens) {
  if (auto it = Limiters.find(limit); it != Limiters.end())
    it->second.refund(tokens);
}

bool FleetMember::hasPendingAcquires() const {
  return std::any_of(Limiters.begin(), Limiters.end(), [](const auto &it) {
    return it.second.hasWaitingCalls();
  });
}

bool FleetMember::hasUnrequestedAcquires() const {
  return std::any_of(Limiters.begin(), Limiters.end(), [](const auto &it) {
    return it.second.hasUnrequestedCalls();
  });
}

std::vector<Quota::Decision> FleetMember::expireAcquires(TimePoint now) {
  endColdLimits(now);
  std::vector<Quota::Decision> out;
  for (auto &[team, limiter] : Limiters)
    for (const Quota::Decision &it : limiter.expireWaiting(now, Random))
      out.push_back(it);
  HolderTimedOut = HolderTimedOut || !out.empty();
  return out;
}

/// A new holder does not know what earlier ones granted, so the next message
/// sends it all counters.
void FleetMember::setTargetHolder(int64_t token) {
  if (std::exchange(TargetToken, token) == token)
    return;
  AckedCounters.clear();
  for (const EndpointLimit &it : LimitsOfEndpoints.all())
    UnackedLimits[it.Endpoint] = 0;
  for (auto &[team, limiter] : Limiters)
    limiter.ignoreGrantsBefore(Sequence);
}

FleetLink::GrantRequest FleetMember::makeGrantRequest(int64_t holderToken,
                                                      TimePoint now) {
  FleetLink::GrantRequest out;
  out.Member = Name;
  out.Address = Address;
  out.Incarnation = Incarnation;
  out.Sequence = ++Sequence;
  setTargetHolder(holderToken);
  out.Teams = changedTeams();
  out.Levels = levelsFor(holderToken, now);
  return out;
}

std::vector<Quota::Decision> FleetMember::apply(const FleetLink::Grant &grant,
                                                TimePoint now) {
  if (grant.Token < Token || grant.Incarnation != Incarnation)
    return {};
  applyTeamGrants(grant.Teams, grant.Token, grant.Sequence, now);
  return takeDecisions();
}

std::vector<Quota::Decision> FleetMember::takeDecisions() {
  return std::exchange(Decided, {});
}

TakeoverState FleetMember::takeoverState(const Fleet::EndpointTable &endpoints,
                                         TimePoint now) {
  TakeoverState out;
  for (auto &[team, limiter] : Limiters)
    if (auto level = limiter.estimatedLevel(now))
      out.Levels[team] = *level;
  // A holder can't start from an incomplete table.
  if (Table.isComplete()) {
    out.Table = Table.known();
    out.DifferingEndpoints = Table.differing(endpoints);
  }
  out.Quarantines = Evidence.quarantines();
  return out;
}

void FleetMember::recordCall(const std::string &service,
                             const std::string &model,
                             const std::string &adapter, TimePoint now) {
  ++Calls[{service, model, adapter}];
  Demand.note({service, model}, 1, now);
}

void FleetMember::addCalls(FleetLink::Report &report, TimePoint now) {
  if (std::exchange(DemandSentToken, Token) != Token) {
    for (const auto &[key, calls] : Demand.counts(now))
      report.Calls.push_back({key.Service, key.Model, "", calls});
  } else {
    for (const auto &[key, n] : Calls)
      report.Calls.push_back(
          {std::get<0>(key), std::get<1>(key), std::get<2>(key), double(n)});
  }
  Calls.clear();
}

void FleetMember::recordModelMiss(const std::string &endpoint,
                                  const std::string &model,
                                  const std::string &adapter, TimePoint now) {
  if (ModelMisses.size() < MaxModelMisses)
    ModelMisses.push_back({endpoint, model, adapter});
  Table.markNotReady(endpoint, model, adapter, now + ModelMissCooldown);
}

bool FleetMember::noteEndpointLimit(const std::string &endpoint,
                                    std::optional<double> rate, TimePoint now) {
  uint32_t key = FleetLink::hashName(endpoint);
  bool changed = rate ? LimitsOfEndpoints.noteLimit(key, *rate, now)
                      : LimitsOfEndpoints.noteNoLimit(key, now);
  if (rate || changed)
    UnackedLimits[key] = 0;
  if (changed)
    applyEndpointLimit(key, now);
  return changed;
}

bool FleetMember::hasLimit(const std::string &endpoint, TimePoint now) const {
  return LimitsOfEndpoints.rateOf(FleetLink::hashName(endpoint), now) > 0;
}

bool FleetMember::noteCold(const std::string &endpoint,
                           const Quota::Limit &limit, TimePoint until,
                           TimePoint now) {
  uint32_t key = FleetLink::hashName(endpoint);
  bool changed = LimitsOfEndpoints.setCold(key, limit, until, now);
  if (changed)
    applyEndpointLimit(key, now);
  return changed;
}

bool FleetMember::isCold(const std::string &endpoint, TimePoint now) const {
  return LimitsOfEndpoints.isCold(FleetLink::hashName(endpoint), now);
}

std::optional<TimePoint> FleetMember::endOfLimit(const std::string &endpoint,
                                                 TimePoint now) const {
  return LimitsOfEndpoints.endOfLimit(FleetLink::hashName(endpoint), now);
}

/// Applies the limits that hold after the cold time of endpoints has ended.
void FleetMember::endColdLimits(TimePoint now) {
  for (uint32_t endpoint : LimitsOfEndpoints.takeWarmed(now))
    applyEndpointLimit(endpoint, now);
}

/// Applies the newest limit of the endpoint. A limiter whose limit has ended
/// is kept: its counters are cumulative, also for the holder.
void FleetMember::applyEndpointLimit(uint32_t endpoint, TimePoint now) {
  Quota::Limit limit = LimitsOfEndpoints.limitOf(endpoint, now);
  double level = limit.isStrict() ? 0 : limit.Burst;
  std::string name = FleetLink::endpointLimitName(endpoint);
  auto it =
      Limiters.try_emplace(name, limit, level, assumedMembers(), now).first;
  it->second.setLimit(limit, now);
}

void FleetMember::applyEndpointLimits(const FleetLink::Heartbeat &heartbeat,
                                      TimePoint now) {
  if (heartbeat.LimitsRevision == LimitsRevision)
    return LimitsOfEndpoints.confirm(now);
  LimitsRevision = heartbeat.LimitsRevision;
  for (const FleetLink::EndpointLimit &it : heartbeat.EndpointLimits)
    if (LimitsOfEndpoints.merge(fromLink(it, now)))
      applyEndpointLimit(it.Endpoint, now);
}

void FleetMember::addEndpointLimits(FleetLink::Report &report, TimePoint now) {
  report.LimitsRevision = LimitsRevision;
  for (const EndpointLimit &it : LimitsOfEndpoints.statements(now)) {
    auto unacked = UnackedLimits.find(it.Endpoint);
    if (unacked == UnackedLimits.end())
      continue;
    report.EndpointLimits.push_back(toLink(it, now));
    if (unacked->second == 0)
      unacked->second = report.Sequence;
  }
}

void FleetMember::recordCrash(const Quarantine::Crash &crash, TimePoint now) {
  Evidence.addCrash(crash, hasLiveHolder(now), now);
}

void FleetMember::recordAnswer(const Quarantine::Parts &parts,
                               TimePoint beganAt) {
  Evidence.addAnswer(parts, beganAt);
}

std::optional<TimePoint>
FleetMember::quarantinedUntil(const Quarantine::Parts &parts,
                              TimePoint now) const {
  return Evidence.quarantinedUntil(parts, now);
}

/// Counters that differ from the newest ones that the holder has acknowledged.
std::vector<FleetLink::TeamUsage> FleetMember::changedTeams() {
  std::vector<FleetLink::TeamUsage> out;
  auto &sent = SentCounters[Sequence];
  for (auto &[team, limiter] : Limiters) {
    uint32_t key = FleetLink::hashName(team);
    Quota::TokenCounters counters = limiter.prepareReport(Sequence);
    sent[key] = counters;
    auto known = AckedCounters.find(key);
    if (known != AckedCounters.end() && known->second == counters &&
        !limiter.hasWaitingCalls())
      continue;
    out.push_back(usageOf(key, counters));
    for (const Quota::QueuedCall &it : limiter.queuedCalls())
      out.back().Calls.push_back(
          {it.Call, it.Hash, it.Tokens, uint32_t(it.Patience.count())});
  }
  if (SentCounters.size() > MaxUnansweredReports)
    SentCounters.erase(SentCounters.begin());
  return out;
}

/// Levels that an earlier holder has sent, for a new one that has not answered
/// yet.
std::vector<FleetLink::TeamLevel> FleetMember::levelsFor(int64_t holderToken,
                                                         TimePoint now) {
  std::vector<FleetLink::TeamLevel> out;
  if (holderToken <= LevelsToken)
    return out;
  for (auto &[team, limiter] : Limiters)
    if (auto level = limiter.estimatedLevel(now))
      out.push_back({FleetLink::hashName(team), int32_t(*level)});
  return out;
}

FleetLink::Report
FleetMember::makeReport(const Balance::HealthTracker &healthTracker,
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
  out.UnconfirmedEndpoints.assign(Table.unconfirmed().begin(),
                                  Table.unconfirmed().end());
  setTargetHolder(holderToken);
  out.Teams = changedTeams();
  out.Levels = levelsFor(holderToken, now);
  addCalls(out, now);
  OwnLoads.clear();
  for (const auto &[id, endpoint] : endpoints.all())
    if (endpoint.Leaving && !Table.isDraining(id) &&
        out.LeavingEndpoints.size() < MaxLeavingEndpoints)
      out.LeavingEndpoints.push_back({id, endpoint.Report.StartedUnixMs});
  for (const auto &[id, endpoint] : endpoints.all())
    if (uint32_t n = healthTracker.health(id).InFlight; n > 0) {
      uint32_t key = FleetLink::hashName(id);
      out.Loads.push_back({key, uint16_t(std::min(n, 65535U))});
      OwnLoads[key] = n;
    }
  out.ModelMisses = std::move(ModelMisses);
  ModelMisses.clear();
  Evidence.addTo(out, holderToken, now);
  addEndpointLimits(out, now);
  return out;
}

bool FleetMember::apply(const FleetLink::Heartbeat &heartbeat,
                        const Fleet::EndpointTable &endpoints, TimePoint now) {
  if (heartbeat.Token < Token || heartbeat.Incarnation != Incarnation)
    return false;
  if (heartbeat.Token == Token && heartbeat.Sequence < LastHeartbeatSequence)
    return false;
  Token = heartbeat.Token;
  LastHeartbeatSequence = heartbeat.Sequence;
  LastHolderMessageAt = now;
  if (std::exchange(Members, heartbeat.Members) != heartbeat.Members)
    for (auto &[team, limiter] : Limiters)
      limiter.setGatewayCount(assumedMembers(), now);
  applyTeamGrants(heartbeat.Teams, heartbeat.Token, heartbeat.Sequence, now);
  Table.apply(heartbeat, endpoints, now);
  if (heartbeat.Token == TargetToken)
    std::erase_if(UnackedLimits, [&](const auto &it) {
      return it.second > 0 && it.second <= heartbeat.Sequence;
    });
  applyEndpointLimits(heartbeat, now);
  if (Evidence.apply(heartbeat, now))
    Utils::Event("quarantine_changed")
        .with("entries", quarantineCount(now))
        .info();
  OtherLoads.clear();
  for (const FleetLink::EndpointCalls &it : heartbeat.Loads) {
    auto own = OwnLoads.find(it.Endpoint);
    uint32_t ownLoad = own == OwnLoads.end() ? 0 : own->second;
    OtherLoads[it.Endpoint] = it.Calls > ownLoad ? it.Calls - ownLoad : 0;
  }
  return true;
}

void FleetMember::applyTeamGrants(
    const std::vector<FleetLink::TeamGrant> &teams, int64_t holderToken,
    uint64_t sequence, TimePoint now) {
  auto sent = SentCounters.find(sequence);
  if (sent == SentCounters.end())
    return;
  LastHolderMessageAt = now;
  HolderTimedOut = false;
  LevelsToken = std::max(LevelsToken, holderToken);
  std::map<uint32_t, const FleetLink::TeamGrant *> grants;
  for (const FleetLink::TeamGrant &it : teams)
    grants[it.Team] = &it;
  for (auto &[team, limiter] : Limiters) {
    uint32_t key = FleetLink::hashName(team);
    auto teamGrant = grants.find(key);
    auto own = sent->second.find(key);
    if (teamGrant == grants.end() || own == sent->second.end())
      continue;
    AckedCounters[key] = own->second;
    Quota::HolderAnswer answer{double(teamGrant->second->Level),
                               double(teamGrant->second->Demand),
                               teamGrant->second->Granted,
                               {}};
    answer.QueueLength = teamGrant->second->QueueLength;
    for (const FleetLink::TeamDelay &it : teamGrant->second->Delays)
      answer.Delays.push_back({it.Call, Utils::Milliseconds(it.RetryAfterMs)});
    auto decided = limiter.applyAnswer(answer, sequence, now);
    Decided.insert(Decided.end(), decided.begin(), decided.end());
  }
}

const std::vector<std::string> *
FleetMember::endpointsWith(const std::string &model, TimePoint now) const {
  return hasLiveHolder(now) ? Table.endpointsWith(model) : nullptr;
}

bool FleetMember::hasLiveHolder(TimePoint now) const {
  return now < LastHolderMessageAt + TableLifetime;
}

std::optional<TimePoint> FleetMember::readyAt(const Fleet::Endpoint &endpoint,
                                              const std::string &model,
                                              const std::string &adapter,
                                              TimePoint now) const {
  if (hasLiveHolder(now))
    return Table.readyAt(endpoint, model, adapter);
  bool holds = adapter.empty() ? endpoint.hasModel(model)
                               : endpoint.hasAdapter(model, adapter);
  return holds ? std::optional(TimePoint{}) : std::nullopt;
}

uint32_t FleetMember::loadOfOtherGateways(const std::string &endpoint) const {
  auto it = OtherLoads.find(FleetLink::hashName(endpoint));
  return it == OtherLoads.end() ? 0 : it->second;
}

} // namespace Gateway
