#include "balance/balance.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>

using namespace std::chrono_literals;
using namespace Balance;
using Fleet::RouteKind;
using Utils::Milliseconds;

namespace {

/// A slow call whose second copy may be sent to the second candidate.
struct SlowCallFixture {
  SlowCallFixture() {
    Call.Kind = RouteKind::Safe;
    Call.MaxRuns = 2;
    Call.HedgeEarned = Call.RetryPermitted = true;
    Call.Candidates = {{{2, 10, false, true, true, {}}, false, true},
                       {{0, 10, false, true, false, {}}, false, false}};
  }
  HedgeDecision decide() { return decideHedge(Call, Now, Random); }
  Candidate &current() { return Call.Candidates[0].Endpoint; }
  Candidate &other() { return Call.Candidates[1].Endpoint; }

  std::mt19937_64 Random{7};
  Utils::TimePoint Now{1h};
  SlowCall Call;
};

struct Times {
  Utils::TimePoint Now{1h};
  FirstByteTimes Recent;
  void add(int count, double ms) {
    for (int i = 0; i < count; ++i)
      Recent.add(ms, Now);
  }
};

/// Traffic to a service, and how its endpoints answer.
struct Traffic {
  int Gateways = 8;
  double HedgeShare = 0.05;
  int Endpoints = 20;
  uint32_t Slots = 12;
  double CallsPerSecond = 1000;
  /// Factor on the times to first byte of the first endpoint.
  double FirstSlowdown = 1;
  /// Factor on those of all endpoints from half of the time on.
  double LaterSlowdown = 1;
};

struct TrafficResult {
  int Sends = 0;
  int Hedges = 0;
  int HedgesWon = 0;
  /// Share of the slots in use, averaged over the first sends.
  double MeanLoad = 0;
  std::map<std::string, int> Reasons;
  std::vector<double> Ms;

  double hedgeShare() const { return double(Hedges) / Sends; }
  double quantileMs(double share) const {
    std::vector<double> sorted = Ms;
    std::sort(sorted.begin(), sorted.end());
    return sorted[size_t(share * double(sorted.size() - 1))];
  }
};

/// Runs 20 s of traffic without a network. An endpoint answers in 20 ms and an
/// exponential time of 20 ms on average; above its slots, it slows down in
/// proportion to its load. Gateways know the load of all endpoints.
class Simulation {
public:
  explicit Simulation(const Traffic &traffic)
      : Load(traffic),
        Gateways(traffic.Gateways, {{}, HedgeBudget(traffic.HedgeShare)}),
        InFlight(traffic.Endpoints) {}

  TrafficResult run() {
    at(0ms, [this] { arrive(); });
    while (!Events.empty() && Events.top().At < Start + Duration) {
      Event next = Events.top();
      Events.pop();
      Now = next.At;
      next.Run();
    }
    Result.MeanLoad /= std::max(1, Result.Sends);
    return Result;
  }

private:
  using Time = std::chrono::duration<double, std::milli>;
  struct Event {
    Utils::TimePoint At;
    std::function<void()> Run;
    bool operator<(const Event &other) const { return At > other.At; }
  };
  struct Gateway {
    FirstByteTimes Times;
    HedgeBudget Budget;
  };
  struct Copy {
    size_t Endpoint;
    Utils::TimePoint SentAt;
  };
  struct Call {
    Gateway *Sender;
    std::vector<Copy> Copies;
    bool Done = false;
  };
  using CallRef = std::shared_ptr<Call>;

  void at(Time delay, std::function<void()> run) {
    Events.push(
        {Now + std::chrono::duration_cast<Utils::TimePoint::duration>(delay),
         std::move(run)});
  }
  std::vector<HedgeCandidate> candidates(const Call &call) const {
    std::vector<HedgeCandidate> out;
    for (size_t i = 0; i < InFlight.size(); ++i) {
      bool tried = !call.Copies.empty() && call.Copies.front().Endpoint == i;
      out.push_back(
          {{InFlight[i], Load.Slots, false, true, tried, {}}, false, tried});
    }
    return out;
  }
  void arrive() {
    std::exponential_distribution<double> pause(Load.CallsPerSecond / 1000);
    at(Time(pause(Random)), [this] { arrive(); });
    auto call = std::make_shared<Call>();
    call->Sender = &Gateways[Random() % Gateways.size()];
    std::vector<Candidate> endpoints;
    double used = 0;
    for (const HedgeCandidate &it : candidates(*call)) {
      endpoints.push_back(it.Endpoint);
      used += it.Endpoint.Load;
    }
    Result.MeanLoad += used / (Load.Endpoints * Load.Slots);
    ++Result.Sends;
    call->Sender->Budget.onFirstSend();
    send(call, *choose(endpoints, Now, Random));
    if (auto slow = call->Sender->Times.slowAfter(Now))
      at(*slow, [this, call] { onSlow(call); });
  }
  void send(const CallRef &call, size_t endpoint) {
    double overload = double(++InFlight[endpoint]) / Load.Slots;
    std::exponential_distribution<double> varying(1.0 / 20);
    double ms = (20 + varying(Random)) * std::max(1.0, overload);
    if (endpoint == 0)
      ms *= Load.FirstSlowdown;
    if (Now >= Start + Duration / 2)
      ms *= Load.LaterSlowdown;
    size_t index = call->Copies.size();
    call->Copies.push_back({endpoint, Now});
    at(Time(ms), [this, call, index] { onAnswer(call, index); });
  }
  void onSlow(const CallRef &call) {
    if (call->Done)
      return;
    SlowCall slow;
    slow.Kind = RouteKind::Safe;
    slow.MaxRuns = 2;
    slow.HedgeEarned = call->Sender->Budget.hasHedge();
    slow.RetryPermitted = true;
    slow.Candidates = candidates(*call);
    HedgeDecision decision = decideHedge(slow, Now, Random);
    ++Result.Reasons[std::string(hedgeReasonName(decision.Reason))];
    if (decision.Reason != HedgeReason::Send)
      return;
    call->Sender->Budget.takeHedge();
    ++Result.Hedges;
    send(call, decision.Target);
  }
  void onAnswer(const CallRef &call, size_t winner) {
    if (std::exchange(call->Done, true))
      return;
    Result.HedgesWon += winner > 0;
    for (const Copy &it : call->Copies) {
      --InFlight[it.Endpoint];
      call->Sender->Times.add(Time(Now - it.SentAt).count(), Now);
    }
    Result.Ms.push_back(Time(Now - call->Copies.front().SentAt).count());
  }

  static constexpr std::chrono::seconds Duration{20};
  const Utils::TimePoint Start{1h};
  Utils::TimePoint Now = Start;
  Traffic Load;
  std::mt19937_64 Random{7};
  std::vector<Gateway> Gateways;
  std::vector<uint32_t> InFlight;
  std::priority_queue<Event> Events;
  TrafficResult Result;
};

TrafficResult run(const Traffic &traffic) { return Simulation(traffic).run(); }

} // namespace

TEST_CASE_FIXTURE(Times, "route with fewer than 40 recent answers has no slow "
                         "time") {
  add(39, 10);
  CHECK_FALSE(Recent.slowAfter(Now));
  add(1, 10);
  CHECK(Recent.slowAfter(Now) == 10ms);
}

TEST_CASE_FIXTURE(Times, "slow time is the time that one answer in twenty "
                         "exceeds, not the slowest") {
  add(190, 10);
  add(9, 100);
  CHECK(Recent.slowAfter(Now) == 10ms);
  add(2, 100);
  CHECK(Recent.slowAfter(Now) == 100ms);
}

TEST_CASE_FIXTURE(Times, "answers older than 30 s do not set the slow time") {
  add(200, 500);
  Now += 31s;
  CHECK_FALSE(Recent.slowAfter(Now));
  add(40, 10);
  CHECK(Recent.slowAfter(Now) == 10ms);
}

TEST_CASE("hedges are earned by first sends, and only one is kept") {
  HedgeBudget budget(0.2);
  for (int i = 0; i < 4; ++i)
    budget.onFirstSend();
  CHECK_FALSE(budget.hasHedge());
  for (int i = 0; i < 100; ++i)
    budget.onFirstSend();
  REQUIRE(budget.hasHedge());
  budget.takeHedge();
  CHECK_FALSE(budget.hasHedge());
}

TEST_CASE("share of 0 never earns a hedge") {
  HedgeBudget budget(0);
  for (int i = 0; i < 1000; ++i)
    budget.onFirstSend();
  CHECK_FALSE(budget.hasHedge());
}

TEST_CASE_FIXTURE(SlowCallFixture,
                  "second copy goes to the less loaded endpoint") {
  CHECK(decide().Reason == HedgeReason::Send);
  CHECK(decide().Target == 1);
}

TEST_CASE_FIXTURE(SlowCallFixture,
                  "call that may run once and stream that cannot be resumed "
                  "are never sent twice") {
  Call.Kind = RouteKind::Unsafe;
  CHECK(decide().Reason == HedgeReason::NotRepeatable);
  Call.Kind = RouteKind::Streaming;
  CHECK(decide().Reason == HedgeReason::NotRepeatable);
  Call.Resumable = true;
  CHECK(decide().Reason == HedgeReason::Send);
  Call.AnswerStarted = true;
  CHECK(decide().Reason == HedgeReason::AnswerStarted);
}

TEST_CASE_FIXTURE(SlowCallFixture, "copies stay within the route's attempts") {
  Call.RunsStarted = 2;
  CHECK(decide().Reason == HedgeReason::AttemptsUsed);
}

TEST_CASE_FIXTURE(SlowCallFixture, "no copy takes capacity from calls that "
                                   "wait for the model or for a limit") {
  Call.CallsWaiting = true;
  CHECK(decide().Reason == HedgeReason::CallsWaiting);
  Call.CallsWaiting = false;
  Call.EndpointOverLimit = true;
  CHECK(decide().Reason == HedgeReason::OverLimit);
}

TEST_CASE_FIXTURE(SlowCallFixture, "no copy is sent when the candidates use "
                                   "more than half of their slots") {
  current().Load = 10;
  CHECK(decide().Reason == HedgeReason::Send);
  other().Load = 1;
  CHECK(decide().Reason == HedgeReason::FleetBusy);
}

TEST_CASE_FIXTURE(
    SlowCallFixture,
    "endpoint that is cold or limited, avoided, tried before or in "
    "cool-down gets no copy") {
  Call.Candidates[1].Limited = true;
  CHECK(decide().Reason == HedgeReason::NoUsableEndpoint);
  Call.Candidates[1].Limited = false;
  other().Avoided = true;
  CHECK(decide().Reason == HedgeReason::NoUsableEndpoint);
  other().Avoided = false;
  other().Tried = true;
  CHECK(decide().Reason == HedgeReason::NoUsableEndpoint);
  other().Tried = false;
  other().CoolDownUntil = Now + 1ms;
  CHECK(decide().Reason == HedgeReason::NoUsableEndpoint);
}

TEST_CASE_FIXTURE(SlowCallFixture,
                  "endpoint that is not clearly less loaded gets no copy") {
  other().Load = 2;
  CHECK(decide().Reason == HedgeReason::NotLessLoaded);
  current().Load = 4;
  other().Load = 3;
  CHECK(decide().Reason == HedgeReason::Send);
  current().Load = 5;
  other().Load = 4;
  CHECK(decide().Reason == HedgeReason::NotLessLoaded);
}

TEST_CASE_FIXTURE(SlowCallFixture,
                  "copy needs a hedge and a retry of the service") {
  Call.HedgeEarned = false;
  CHECK(decide().Reason == HedgeReason::ShareSpent);
  Call.HedgeEarned = true;
  Call.RetryPermitted = false;
  CHECK(decide().Reason == HedgeReason::RetryBudgetSpent);
}

TEST_CASE("each reason has a name of its own") {
  CHECK(hedgeReasonName(HedgeReason::Send) == "send");
  CHECK(hedgeReasonName(HedgeReason::RetryBudgetSpent) == "retry_budget_spent");
}

TEST_CASE("one endpoint of 20 is ten times slower at a sixth of the slots: "
          "hedges shorten the slowest answers within the share") {
  Traffic traffic;
  traffic.FirstSlowdown = 10;
  TrafficResult hedged = run(traffic);
  traffic.HedgeShare = 0;
  TrafficResult plain = run(traffic);
  MESSAGE("p99 ", plain.quantileMs(0.99), " ms without hedges, ",
          hedged.quantileMs(0.99), " ms with; hedges ", hedged.hedgeShare(),
          ", won ", hedged.HedgesWon);
  CHECK(plain.Hedges == 0);
  CHECK(hedged.hedgeShare() <= 0.05);
  CHECK(hedged.HedgesWon > hedged.Hedges / 3);
  CHECK(hedged.quantileMs(0.99) < 0.8 * plain.quantileMs(0.99));
}

TEST_CASE("all endpoints become eight times slower at a tenth of the slots: "
          "extra work stays within the share at 8 and at 195 gateways") {
  for (int gateways : {8, 195})
    for (double share : {0.01, 0.05}) {
      Traffic traffic;
      traffic.Gateways = gateways;
      traffic.HedgeShare = share;
      traffic.Endpoints = gateways == 8 ? 20 : 195;
      traffic.CallsPerSecond = 30 * traffic.Endpoints;
      traffic.LaterSlowdown = 8;
      TrafficResult result = run(traffic);
      MESSAGE(gateways, " gateways, share ", share, ": hedges ",
              result.hedgeShare(), ", refused for the share ",
              result.Reasons["share_spent"]);
      CHECK(result.Hedges > 0);
      CHECK(result.Reasons["share_spent"] > 0);
      CHECK(result.hedgeShare() <= share);
    }
}

TEST_CASE("hedging turns itself off as the mean load passes half of the "
          "slots") {
  Traffic traffic;
  traffic.FirstSlowdown = 3;
  for (double rate : {600.0, 1800.0, 3000.0, 3600.0, 4200.0}) {
    traffic.CallsPerSecond = rate;
    TrafficResult result = run(traffic);
    MESSAGE(rate, " calls a second: load ", result.MeanLoad, ", hedges ",
            result.hedgeShare(), ", refused as busy ",
            result.Reasons["fleet_busy"]);
    if (result.MeanLoad < 0.35)
      CHECK(result.hedgeShare() > 0.01);
    if (result.MeanLoad > 0.6)
      CHECK(result.Hedges < result.Sends / 1000);
  }
}
