#include "limitsfleet.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace {

using namespace std::chrono_literals;

constexpr Milliseconds Tick{5};
constexpr size_t WindowTicks = 8000 / 5;
constexpr Milliseconds GrantRequestTick{20};
/// Interval at which the holder writes the duty's record.
constexpr Milliseconds RecordInterval{600};
constexpr Milliseconds GrantRequestTimeout{40};
/// Share of the slack by which grants may overdraw the bucket.
constexpr double OverdraftShare = 0.2;
const std::string Team = "kitchen";

const Balance::HealthTracker NoHealthData;
const Fleet::EndpointTable NoEndpoints;

} // namespace

LimitsFleet::LimitsFleet(Setup setup, uint64_t seed)
    : Settings(setup), Random(seed), Nodes(Settings.Gateways),
      ReferenceBucket({Settings.Rate, Settings.Burst}, Settings.Burst, Now) {
  Fleet::Team team;
  team.Name = Team;
  team.RatePerSecond = Settings.Rate;
  team.Burst = Settings.Burst;
  Config.Teams = {team};
  for (size_t i = 0; i < Nodes.size(); ++i)
    startGateway(i, true);
  electHolder();
}

size_t LimitsFleet::randomBetween(size_t from, size_t to) {
  return std::uniform_int_distribution<size_t>(from, to)(Random);
}

void LimitsFleet::schedule(Milliseconds delay, std::function<void()> action) {
  Events.push_back({Now + delay, std::move(action)});
}

void LimitsFleet::startGateway(size_t i, bool first) {
  Node &node = Nodes[i];
  TimePoint partitionedUntil = node.PartitionedUntil;
  node = {};
  node.PartitionedUntil = partitionedUntil;
  node.Incarnation = ++Incarnations;
  node.Self.emplace("vm" + std::to_string(i), "", node.Incarnation, first);
  node.Self->setLimits(Config, Now);
  if (!first)
    node.Self->setRecordedMembers(uint32_t(Nodes.size()), Now);
  node.NextReportAt = Now + Milliseconds(randomBetween(5, 250));
  node.KnownHolder = Holder;
  node.KnownToken = Token;
}

bool LimitsFleet::isUp(size_t i) const {
  return Now >= Nodes[i].DownUntil && Now >= Nodes[i].PausedUntil;
}

bool LimitsFleet::reachesHolder(size_t i) const {
  return HolderLimiter && isUp(Holder) &&
         (i == Holder || (Now >= Nodes[i].PartitionedUntil &&
                          Now >= Nodes[Holder].PartitionedUntil));
}

/// Runs `action` at the gateway after a network delay, and not before the end
/// of its pause.
void LimitsFleet::deliver(size_t to, uint64_t incarnation,
                          std::function<void()> action) {
  schedule(Milliseconds(randomBetween(1, 8)),
           [this, to, incarnation, action = std::move(action)] {
             if (Nodes[to].Incarnation != incarnation || !Nodes[to].Self)
               return;
             if (Now < Nodes[to].PausedUntil)
               return deliver(to, incarnation, action);
             action();
           });
}

void LimitsFleet::send(size_t to, std::function<void()> action) {
  if (std::uniform_real_distribution<double>(0, 1)(Random) >= Settings.LossRate)
    deliver(to, Nodes[to].Incarnation, std::move(action));
}

void LimitsFleet::electHolder() {
  std::vector<size_t> up;
  for (size_t i = 0; i < Nodes.size(); ++i)
    if (isUp(i) && Nodes[i].Self && Now >= Nodes[i].PartitionedUntil)
      up.push_back(i);
  if (up.empty()) {
    ElectionAt = Now + 300ms;
    return;
  }
  Holder = up[randomBetween(0, up.size() - 1)];
  ++Token;
  ElectionAt = TimePoint::max();
  Gateway::FleetLimiter::InitialState start{
      Nodes[Holder].Self->takeoverState({}, Now).Levels, RecordedLevels,
      Token == 1,
      Nodes[Holder].Self->members() > 0 ? Nodes[Holder].Self->members()
                                        : uint32_t(Nodes.size()),
      Settings.Slack * OverdraftShare};
  HolderLimiter.emplace(start, Now);
  HolderLimiter->setLimits(Config, Now);
  for (size_t i = 0; i < Nodes.size(); ++i)
    schedule(Milliseconds(i == Holder ? 0 : randomBetween(5, 500)),
             [this, i, token = Token, holder = Holder] {
               if (Nodes[i].KnownToken >= token)
                 return;
               Nodes[i].KnownToken = token;
               Nodes[i].KnownHolder = holder;
             });
}

void LimitsFleet::killHolder(Milliseconds untilElection) {
  if (!HolderLimiter)
    return;
  kill(Holder, untilElection / 2);
  HolderLimiter.reset();
  ElectionAt = Now + untilElection;
}

void LimitsFleet::kill(size_t gateway, Milliseconds downtime) {
  if (HolderLimiter && gateway == Holder) {
    HolderLimiter.reset();
    ElectionAt = Now + 2500ms;
  }
  Nodes[gateway].DownUntil = Now + downtime;
  Nodes[gateway].Incarnation = ++Incarnations;
  Nodes[gateway].Self.reset();
  Nodes[gateway].Waiting.clear();
}

void LimitsFleet::killAll(Milliseconds downtime) {
  for (size_t i = 0; i < Nodes.size(); ++i)
    kill(i, downtime + Milliseconds(randomBetween(0, 300)));
}

void LimitsFleet::pause(size_t gateway, Milliseconds time) {
  Nodes[gateway].PausedUntil = Now + time;
  if (HolderLimiter && gateway == Holder && time > 2s) {
    HolderLimiter.reset(); // Its lease expires meanwhile.
    ElectionAt = Now + 2500ms;
  }
}

void LimitsFleet::partition(size_t gateway, Milliseconds time) {
  Nodes[gateway].PartitionedUntil = Now + time;
}

void LimitsFleet::setLimit(double rate, double burst) {
  Settings.Rate = rate;
  Settings.Burst = burst;
  Config.Teams[0].RatePerSecond = rate;
  Config.Teams[0].Burst = burst;
  ReferenceBucket.setLimit({rate, burst}, Now);
  for (size_t i = 0; i < Nodes.size(); ++i)
    schedule(Milliseconds(randomBetween(5, 800)), [this, i] {
      if (Nodes[i].Self)
        Nodes[i].Self->setLimits(Config, Now);
      if (i == Holder && HolderLimiter)
        HolderLimiter->setLimits(Config, Now);
    });
}

void LimitsFleet::run(Milliseconds time) {
  for (TimePoint end = Now + time; Now < end;)
    tick();
}

void LimitsFleet::tick() {
  Now += Tick;
  RunPerTick.push_back(0);
  LimitPerTick.push_back({Settings.Rate, Settings.Burst});
  std::vector<Event> due;
  std::erase_if(Events, [&](Event &it) {
    if (it.At > Now)
      return false;
    due.push_back(std::move(it));
    return true;
  });
  for (Event &it : due)
    it.Action();
  if (!HolderLimiter && Now >= ElectionAt)
    electHolder();
  for (size_t i = 0; i < Nodes.size(); ++i) {
    if (!isUp(i))
      continue;
    if (!Nodes[i].Self)
      startGateway(i, false);
    stepGateway(Nodes[i], i);
  }
  PendingTokens += Settings.OfferedRate * 0.005;
  if (Now < CallsStartAt)
    PendingTokens = 0;
  while (PendingTokens > 0)
    addCall();
}

void LimitsFleet::stepGateway(Node &node, size_t i) {
  if (Now >= node.NextReportAt)
    sendReport(node, i);
  if (HolderLimiter && i == Holder &&
      (Now - Start) % RecordInterval == Milliseconds(0)) {
    RecordedLevels.emplace();
    for (const FleetLink::TeamLevel &it : HolderLimiter->levelsToRecord(Now))
      (*RecordedLevels)[it.Team] = it.Level;
  }
  if (node.Waiting.empty() ||
      (Now - Start) % GrantRequestTick != Milliseconds(0))
    return;
  applyDecisions(node, node.Self->expireAcquires(Now));
  if (node.Self->hasPendingAcquires() &&
      Now >= node.RequestSentAt + GrantRequestTimeout)
    sendGrantRequest(node, i);
}

void LimitsFleet::addCall() {
  // Most calls are short; one in a hundred carries a whole transcript.
  size_t kind = randomBetween(1, 100);
  auto tokens = int64_t(kind <= 80   ? randomBetween(300, 1200)
                        : kind < 100 ? randomBetween(4000, 14'000)
                                     : randomBetween(20'000, 45'000));
  PendingTokens -= double(tokens);
  Caller caller;
  caller.Tokens = tokens;
  caller.Hash = ++LastCallerHash;
  if (Settings.ReturningShare + Settings.HammeringShare > 0) {
    double kindOfCaller = std::uniform_real_distribution<double>(0, 1)(Random);
    if (kindOfCaller < Settings.ReturningShare)
      caller.Kind = CallerKind::Returning;
    else if (kindOfCaller < Settings.ReturningShare + Settings.HammeringShare)
      caller.Kind = CallerKind::Hammering;
    caller.Deadline = Now + Milliseconds(randomBetween(1000, 6000));
  }
  bool inLimit =
      ReferenceBucket.level(Now) >= std::min(double(tokens), Settings.Burst);
  if (inLimit)
    ReferenceBucket.take(double(tokens), Now);
  Hammering += caller.Kind == CallerKind::Hammering;
  Patient += caller.Kind == CallerKind::Returning;
  submit(caller, inLimit);
}

/// Callers wait for at most a third of the time that they have left.
Milliseconds LimitsFleet::patienceOf(const Caller &caller) const {
  if (caller.Deadline <= Now)
    return 0ms;
  return std::chrono::floor<Milliseconds>(caller.Deadline - Now) / 3;
}

void LimitsFleet::submit(const Caller &caller, bool inLimit) {
  size_t i = randomGateway();
  if (!isUp(i) || !Nodes[i].Self)
    return;
  ++Calls;
  Node &node = Nodes[i];
  uint64_t number = ++LastCallNumber;
  node.Waiting[number] = {caller.Tokens, Now, inLimit, caller};
  auto decision = node.Self->acquireTokens(
      Team, number, double(caller.Tokens), Now,
      {Settings.Queues ? caller.Hash : 0, patienceOf(caller)});
  if (decision)
    return applyDecisions(node, {*decision});
  if (node.InFlightRequest == 0)
    sendGrantRequest(node, i);
}

void LimitsFleet::applyDecisions(
    Node &node, const std::vector<Quota::Decision> &decisions) {
  for (const Quota::Decision &it : decisions) {
    WaitingCall waiting = node.Waiting.at(it.Call);
    node.Waiting.erase(it.Call);
    LongestWait =
        std::max(LongestWait,
                 std::chrono::duration_cast<Milliseconds>(Now - waiting.Since));
    if (it.isAdmitted()) {
      runOrRefund(size_t(&node - Nodes.data()), node.Incarnation,
                  waiting.Tokens);
      recordAdmitted(waiting.From);
      continue;
    }
    ++Refused;
    RefusedInLimit += waiting.InLimit;
    repeatRejected(waiting.From, *it.RetryAfter);
  }
}

void LimitsFleet::recordAdmitted(const Caller &caller) {
  if (caller.Kind == CallerKind::Hammering) {
    ++HammeringAdmitted;
    return;
  }
  PatientAdmitted += caller.Kind == CallerKind::Returning;
  ReturnedAdmitted += caller.Repeats > 0;
}

void LimitsFleet::repeatRejected(Caller caller, Milliseconds retryAfter) {
  constexpr uint32_t maxHammering = 5;
  uint32_t most = caller.Kind == CallerKind::Once        ? 0
                  : caller.Kind == CallerKind::Returning ? 1
                                                         : maxHammering;
  if (caller.Repeats++ >= most)
    return;
  bool returns = caller.Kind == CallerKind::Returning;
  if (returns && retryAfter > patienceOf(caller))
    return;
  // The answer and the repetition each take a few milliseconds.
  Milliseconds travel(randomBetween(2, 10));
  schedule(returns ? retryAfter + travel : travel, [this, caller, returns] {
    Returned += returns;
    submit(caller, false);
  });
}

void LimitsFleet::runOrRefund(size_t i, uint64_t incarnation, int64_t tokens) {
  if (std::uniform_real_distribution<double>(0, 1)(Random) <
      Settings.CancelledShare) {
    schedule(50ms, [this, i, incarnation, tokens] {
      if (Nodes[i].Self && Nodes[i].Incarnation == incarnation)
        Nodes[i].Self->refundTokens(Team, double(tokens));
    });
    return;
  }
  RunPerTick.back() += double(tokens);
  TokensRun += double(tokens);
}

void LimitsFleet::sendReport(Node &node, size_t i) {
  node.NextReportAt =
      Now + std::clamp(Milliseconds(2 * Nodes.size()), 250ms, 700ms);
  auto report =
      node.Self->makeReport(NoHealthData, NoEndpoints, node.KnownToken, Now);
  if (!reachesHolder(i) || node.KnownHolder != Holder)
    return;
  send(Holder, [this, i, report, incarnation = node.Incarnation] {
    if (!HolderLimiter)
      return;
    HolderLimiter->recordHeartbeat(report.Member, false, Now);
    HolderLimiter->capLevels(report.Levels, Now);
    HolderLimiter->applyUsage(report.Member, report.Incarnation,
                              report.Sequence, report.Teams, Now);
    FleetLink::Heartbeat heartbeat;
    heartbeat.Token = Token;
    heartbeat.Incarnation = report.Incarnation;
    heartbeat.Sequence = report.Sequence;
    heartbeat.Members = uint32_t(Nodes.size());
    heartbeat.Teams =
        HolderLimiter->allGrants(report.Member, report.Teams, Now);
    if (!reachesHolder(i) || Nodes[i].Incarnation != incarnation)
      return;
    send(i, [this, i, heartbeat] {
      Nodes[i].Self->apply(heartbeat, NoEndpoints, Now);
      applyDecisions(Nodes[i], Nodes[i].Self->takeDecisions());
    });
  });
}

void LimitsFleet::sendGrantRequest(Node &node, size_t i) {
  auto request = node.Self->makeGrantRequest(node.KnownToken, Now);
  node.InFlightRequest = request.Sequence;
  node.RequestSentAt = Now;
  if (!reachesHolder(i) || node.KnownHolder != Holder)
    return;
  send(Holder, [this, i, request] {
    if (!HolderLimiter)
      return;
    HolderLimiter->capLevels(request.Levels, Now);
    HolderLimiter->applyUsage(request.Member, request.Incarnation,
                              request.Sequence, request.Teams, Now);
    FleetLink::Grant grant{
        Token, request.Incarnation, request.Sequence,
        HolderLimiter->grants(request.Member, request.Teams, Now)};
    if (reachesHolder(i) && Nodes[i].Incarnation == request.Incarnation)
      send(i, [this, i, grant] { handleGrant(i, grant); });
  });
}

void LimitsFleet::handleGrant(size_t i, const FleetLink::Grant &grant) {
  Node &node = Nodes[i];
  auto decisions = node.Self->apply(grant, Now);
  if (grant.Sequence >= node.InFlightRequest)
    node.InFlightRequest = 0;
  applyDecisions(node, decisions);
  if (node.InFlightRequest == 0 && node.Self->hasUnrequestedAcquires())
    sendGrantRequest(node, i);
}

double LimitsFleet::maxExcess() const {
  double largest = -1e18;
  double sum = 0;
  std::deque<std::pair<size_t, double>> allowed; // Sliding maximum.
  for (size_t i = 0; i < RunPerTick.size(); ++i) {
    sum += RunPerTick[i];
    if (i >= WindowTicks)
      sum -= RunPerTick[i - WindowTicks];
    double allowance = (8 * LimitPerTick[i].Rate + LimitPerTick[i].Burst) *
                           (1 + Settings.Overshoot) +
                       Settings.Slack;
    while (!allowed.empty() && allowed.back().second <= allowance)
      allowed.pop_back();
    allowed.emplace_back(i, allowance);
    while (allowed.front().first + 2 * WindowTicks + 400 < i)
      allowed.pop_front();
    largest = std::max(largest, sum - allowed.front().second);
  }
  return largest;
}
