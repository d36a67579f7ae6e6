#include "limitsfleet.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace {

using namespace std::chrono_literals;

constexpr Milliseconds Tick{5};
constexpr size_t WindowTicks = 8000 / 5;
constexpr Milliseconds WantsTick{20};
/// How often the holder writes the duty's record.
constexpr Milliseconds RenewEvery{600};
constexpr Milliseconds AskAgainAfter{40};
/// Part of the slack by which grants may overdraw the bucket.
constexpr double DebtPart = 0.2;
const std::string Team = "kitchen";

const Balance::EndpointBoard NoBoard;
const Fleet::EndpointTable NoEndpoints;

} // namespace

LimitsFleet::LimitsFleet(Setup setup, uint64_t seed)
    : It(setup), Random(seed), Nodes(It.Gateways),
      One({It.Rate, It.Burst}, It.Burst, Now) {
  Fleet::Team team;
  team.Name = Team;
  team.RatePerSecond = It.Rate;
  team.Burst = It.Burst;
  Config.Teams = {team};
  for (size_t i = 0; i < Nodes.size(); ++i)
    begin(i, true);
  elect();
}

size_t LimitsFleet::draw(size_t from, size_t to) {
  return std::uniform_int_distribution<size_t>(from, to)(Random);
}

void LimitsFleet::later(Milliseconds pause, std::function<void()> what) {
  Events.push_back({Now + pause, std::move(what)});
}

void LimitsFleet::begin(size_t i, bool first) {
  Node &node = Nodes[i];
  TimePoint cutUntil = node.CutUntil;
  node = {};
  node.CutUntil = cutUntil;
  node.Incarnation = ++Incarnations;
  node.Self.emplace("vm" + std::to_string(i), "", node.Incarnation, first);
  node.Self->setLimits(Config, Now);
  if (!first)
    node.Self->setRecordedMembers(uint32_t(Nodes.size()), Now);
  node.ReportAt = Now + Milliseconds(draw(5, 250));
  node.KnownHolder = Holder;
  node.KnownToken = Token;
}

bool LimitsFleet::isUp(size_t i) const {
  return Now >= Nodes[i].DownUntil && Now >= Nodes[i].PausedUntil;
}

bool LimitsFleet::reaches(size_t i) const {
  return Book && isUp(Holder) &&
         (i == Holder ||
          (Now >= Nodes[i].CutUntil && Now >= Nodes[Holder].CutUntil));
}

/// Runs `what` at the gateway, later if it stands still.
void LimitsFleet::deliver(size_t to, uint64_t incarnation,
                          std::function<void()> what) {
  later(Milliseconds(draw(1, 8)),
        [this, to, incarnation, what = std::move(what)] {
          if (Nodes[to].Incarnation != incarnation || !Nodes[to].Self)
            return;
          if (Now < Nodes[to].PausedUntil)
            return deliver(to, incarnation, what);
          what();
        });
}

void LimitsFleet::send(size_t to, std::function<void()> what) {
  if (std::uniform_real_distribution<double>(0, 1)(Random) >= It.Loss)
    deliver(to, Nodes[to].Incarnation, std::move(what));
}

void LimitsFleet::elect() {
  std::vector<size_t> up;
  for (size_t i = 0; i < Nodes.size(); ++i)
    if (isUp(i) && Nodes[i].Self && Now >= Nodes[i].CutUntil)
      up.push_back(i);
  if (up.empty()) {
    ElectAt = Now + 300ms;
    return;
  }
  Holder = up[draw(0, up.size() - 1)];
  ++Token;
  ElectAt = TimePoint::max();
  Gateway::LimitsBook::Start start{
      Nodes[Holder].Self->takeoverState(Now).Levels, Noted, Token == 1,
      Nodes[Holder].Self->members() > 0 ? Nodes[Holder].Self->members()
                                        : uint32_t(Nodes.size()),
      It.Slack * DebtPart};
  Book.emplace(start, Now);
  Book->setLimits(Config, Now);
  for (size_t i = 0; i < Nodes.size(); ++i)
    later(Milliseconds(i == Holder ? 0 : draw(5, 500)),
          [this, i, token = Token, holder = Holder] {
            if (Nodes[i].KnownToken >= token)
              return;
            Nodes[i].KnownToken = token;
            Nodes[i].KnownHolder = holder;
          });
}

void LimitsFleet::killHolder(Milliseconds untilNext) {
  if (!Book)
    return;
  kill(Holder, untilNext / 2);
  Book.reset();
  ElectAt = Now + untilNext;
}

void LimitsFleet::kill(size_t gateway, Milliseconds downtime) {
  if (Book && gateway == Holder) {
    Book.reset();
    ElectAt = Now + 2500ms;
  }
  Nodes[gateway].DownUntil = Now + downtime;
  Nodes[gateway].Incarnation = ++Incarnations;
  Nodes[gateway].Self.reset();
  Nodes[gateway].Waiting.clear();
}

void LimitsFleet::killAll(Milliseconds downtime) {
  for (size_t i = 0; i < Nodes.size(); ++i)
    kill(i, downtime + Milliseconds(draw(0, 300)));
}

void LimitsFleet::pause(size_t gateway, Milliseconds time) {
  Nodes[gateway].PausedUntil = Now + time;
  if (Book && gateway == Holder && time > 2s) {
    Book.reset(); // Its lease runs out meanwhile.
    ElectAt = Now + 2500ms;
  }
}

void LimitsFleet::cut(size_t gateway, Milliseconds time) {
  Nodes[gateway].CutUntil = Now + time;
}

void LimitsFleet::setLimit(double rate, double burst) {
  It.Rate = rate;
  It.Burst = burst;
  Config.Teams[0].RatePerSecond = rate;
  Config.Teams[0].Burst = burst;
  One.setLimit({rate, burst}, Now);
  for (size_t i = 0; i < Nodes.size(); ++i)
    later(Milliseconds(draw(5, 800)), [this, i] {
      if (Nodes[i].Self)
        Nodes[i].Self->setLimits(Config, Now);
      if (i == Holder && Book)
        Book->setLimits(Config, Now);
    });
}

void LimitsFleet::run(Milliseconds time) {
  for (TimePoint end = Now + time; Now < end;)
    tick();
}

void LimitsFleet::tick() {
  Now += Tick;
  Runs.push_back(0);
  Limits.push_back({It.Rate, It.Burst});
  std::vector<Event> due;
  std::erase_if(Events, [&](Event &it) {
    if (it.At > Now)
      return false;
    due.push_back(std::move(it));
    return true;
  });
  for (Event &it : due)
    it.Do();
  if (!Book && Now >= ElectAt)
    elect();
  for (size_t i = 0; i < Nodes.size(); ++i) {
    if (!isUp(i))
      continue;
    if (!Nodes[i].Self)
      begin(i, false);
    takeTurn(Nodes[i], i);
  }
  Due += It.Offered * 0.005;
  if (Now < CallsFrom)
    Due = 0;
  while (Due > 0)
    callComes();
}

void LimitsFleet::takeTurn(Node &node, size_t i) {
  if (Now >= node.ReportAt)
    report(node, i);
  if (Book && i == Holder && (Now - Start) % RenewEvery == Milliseconds(0)) {
    Noted.emplace();
    for (const FleetLink::TeamLevel &it : Book->notes(Now))
      (*Noted)[it.Team] = it.Level;
  }
  if (node.Waiting.empty() || (Now - Start) % WantsTick != Milliseconds(0))
    return;
  decide(node, node.Self->expireAcquires(Now));
  if (node.Self->hasPendingAcquires() && Now >= node.AskedAt + AskAgainAfter)
    ask(node, i);
}

void LimitsFleet::callComes() {
  // Most calls are short; one in a hundred is as long as a whole transcript.
  size_t kind = draw(1, 100);
  auto tokens = int64_t(kind <= 80   ? draw(300, 1200)
                        : kind < 100 ? draw(4000, 14'000)
                                     : draw(20'000, 45'000));
  Due -= double(tokens);
  size_t i = anyGateway();
  if (!isUp(i) || !Nodes[i].Self)
    return;
  ++Calls;
  Node &node = Nodes[i];
  bool within = One.level(Now) >= std::min(double(tokens), It.Burst);
  if (within)
    One.take(double(tokens), Now);
  uint64_t number = ++Number;
  node.Waiting[number] = {tokens, Now, within};
  auto decision = node.Self->acquireTokens(Team, number, double(tokens), Now);
  if (decision)
    return decide(node, {*decision});
  if (node.OpenAsk == 0)
    ask(node, i);
}

void LimitsFleet::decide(Node &node,
                         const std::vector<Quota::Decision> &decisions) {
  for (const Quota::Decision &it : decisions) {
    Wait wait = node.Waiting.at(it.Call);
    node.Waiting.erase(it.Call);
    LongestWait =
        std::max(LongestWait,
                 std::chrono::duration_cast<Milliseconds>(Now - wait.Since));
    if (it.isAdmitted()) {
      admit(size_t(&node - Nodes.data()), node.Incarnation, wait.Tokens);
      continue;
    }
    ++Refused;
    RefusedWithin += wait.Within;
  }
}

void LimitsFleet::admit(size_t i, uint64_t incarnation, int64_t tokens) {
  if (std::uniform_real_distribution<double>(0, 1)(Random) < It.NotRun) {
    later(50ms, [this, i, incarnation, tokens] {
      if (Nodes[i].Self && Nodes[i].Incarnation == incarnation)
        Nodes[i].Self->refundTokens(Team, double(tokens));
    });
    return;
  }
  Runs.back() += double(tokens);
  Ran += double(tokens);
}

void LimitsFleet::report(Node &node, size_t i) {
  node.ReportAt =
      Now + std::clamp(Milliseconds(2 * Nodes.size()), 250ms, 700ms);
  auto report =
      node.Self->makeReport(NoBoard, NoEndpoints, node.KnownToken, Now);
  if (!reaches(i) || node.KnownHolder != Holder)
    return;
  send(Holder, [this, i, report, incarnation = node.Incarnation] {
    if (!Book)
      return;
    Book->noteHeard(report.Member, false, Now);
    Book->lowerTo(report.Levels, Now);
    Book->settle(report.Member, report.Incarnation, report.Sequence,
                 report.Teams, Now);
    FleetLink::Heartbeat beat;
    beat.Token = Token;
    beat.Incarnation = report.Incarnation;
    beat.Sequence = report.Sequence;
    beat.Members = uint32_t(Nodes.size());
    beat.Teams = Book->totals(report.Member, nullptr, Now);
    if (!reaches(i) || Nodes[i].Incarnation != incarnation)
      return;
    send(i, [this, i, beat] {
      Nodes[i].Self->apply(beat, NoEndpoints, Now);
      decide(Nodes[i], Nodes[i].Self->takeDecisions());
    });
  });
}

void LimitsFleet::ask(Node &node, size_t i) {
  auto ask = node.Self->makeGrantRequest(node.KnownToken, Now);
  node.OpenAsk = ask.Sequence;
  node.AskedAt = Now;
  if (!reaches(i) || node.KnownHolder != Holder)
    return;
  send(Holder, [this, i, ask] {
    if (!Book)
      return;
    Book->lowerTo(ask.Levels, Now);
    Book->settle(ask.Member, ask.Incarnation, ask.Sequence, ask.Teams, Now);
    FleetLink::Grant grant{Token, ask.Incarnation, ask.Sequence,
                           Book->totals(ask.Member, &ask.Teams, Now)};
    if (reaches(i) && Nodes[i].Incarnation == ask.Incarnation)
      send(i, [this, i, grant] { takeGrant(i, grant); });
  });
}

void LimitsFleet::takeGrant(size_t i, const FleetLink::Grant &grant) {
  Node &node = Nodes[i];
  auto decisions = node.Self->apply(grant, Now);
  if (grant.Sequence >= node.OpenAsk)
    node.OpenAsk = 0;
  decide(node, decisions);
  if (node.OpenAsk == 0 && node.Self->hasPendingAcquires())
    ask(node, i);
}

double LimitsFleet::mostOverAllowed() const {
  double most = -1e18;
  double sum = 0;
  std::deque<std::pair<size_t, double>> allowed; // Falling, of two windows.
  for (size_t i = 0; i < Runs.size(); ++i) {
    sum += Runs[i];
    if (i >= WindowTicks)
      sum -= Runs[i - WindowTicks];
    double now =
        (8 * Limits[i].Rate + Limits[i].Burst) * (1 + It.Overshoot) + It.Slack;
    while (!allowed.empty() && allowed.back().second <= now)
      allowed.pop_back();
    allowed.emplace_back(i, now);
    while (allowed.front().first + 2 * WindowTicks + 400 < i)
      allowed.pop_front();
    most = std::max(most, sum - allowed.front().second);
  }
  return most;
}
