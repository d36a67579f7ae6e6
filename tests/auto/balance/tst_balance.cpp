#include "balance/balance.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using namespace Balance;
using Fleet::RouteKind;

namespace {

struct EndpointChoice {
  std::mt19937_64 Random{7};
  Utils::TimePoint Now{1h};
  std::vector<Candidate> Candidates;

  Candidate &add(uint32_t load) {
    Candidates.push_back({load, 10, false, true, false, {}});
    return Candidates.back();
  }
  std::vector<int> countChoices() {
    std::vector<int> counts(Candidates.size());
    for (int i = 0; i < 1000; ++i)
      ++counts[*choose(Candidates, Now, Random)];
    return counts;
  }
};

struct TrackedEndpoint {
  HealthTracker Tracker;
  Utils::TimePoint Now{1h};

  void endAttempt(AttemptResult result) {
    Tracker.onSent("e");
    Tracker.onEnded("e", result, Now);
  }
  bool isAvoided() const { return Tracker.health("e").AvoidUntil > Now; }
};

CallProgress failedAttempt(RouteKind kind) {
  CallProgress out;
  out.Kind = kind;
  out.RunsStarted = 1;
  out.MaxRuns = 2;
  return out;
}

} // namespace

TEST_CASE_FIXTURE(EndpointChoice, "choice without candidates returns nothing") {
  CHECK_FALSE(choose(Candidates, Now, Random));
}

TEST_CASE_FIXTURE(
    EndpointChoice,
    "most loaded of three candidates is chosen only if drawn twice") {
  add(0);
  add(0);
  add(9);
  auto counts = countChoices();
  CHECK(counts[2] < 200);
  CHECK(counts[0] > 300);
}

TEST_CASE_FIXTURE(EndpointChoice, "endpoint that failed recently or was tried "
                                  "is used only without alternatives") {
  add(9);
  add(0).Avoided = true;
  add(0).Tried = true;
  CHECK(countChoices()[0] == 1000);
  Candidates.erase(Candidates.begin());
  CHECK(countChoices()[0] == 1000);
}

// A cold endpoint is slow and crashes under many calls.
TEST_CASE_FIXTURE(EndpointChoice,
                  "cold endpoint is chosen only if the warm ones are full") {
  add(0).Cold = true;
  add(9);
  CHECK(countChoices()[1] == 1000);
  Candidates[1].Load = 10;
  CHECK(countChoices()[0] > 500);
  Candidates[1].Load = 9;
  Candidates[1].Avoided = true;
  CHECK(countChoices()[0] == 1000);
}

TEST_CASE_FIXTURE(
    TrackedEndpoint,
    "endpoint is avoided after one failed connection or two errors in a row") {
  endAttempt(AttemptResult::Failed);
  CHECK_FALSE(isAvoided());
  endAttempt(AttemptResult::Failed);
  CHECK(isAvoided());
  Now += 10s;
  CHECK_FALSE(isAvoided());
  endAttempt(AttemptResult::Answered);
  endAttempt(AttemptResult::ConnectionFailed);
  CHECK(isAvoided());
  CHECK(Tracker.health("e").InFlight == 0);
}

TEST_CASE_FIXTURE(
    TrackedEndpoint,
    "refused and cancelled attempts do not count as endpoint failures") {
  for (int i = 0; i < 5; ++i) {
    endAttempt(AttemptResult::Refused);
    endAttempt(AttemptResult::Cancelled);
  }
  CHECK_FALSE(isAvoided());
}

// Issue 38: the endpoint got calls again before the time that it had named.
TEST_CASE_FIXTURE(TrackedEndpoint,
                  "cool-down of an endpoint outlasts its removal from the list "
                  "and ends at its time") {
  Tracker.coolDown("e", Now + 10s);
  endAttempt(AttemptResult::ConnectionFailed);
  Tracker.remove("e", Now);
  CHECK(Tracker.health("e").CoolDownUntil == Now + 10s);
  CHECK_FALSE(isAvoided());
  Tracker.remove("other", Now + 10s);
  CHECK(Tracker.health("e").CoolDownUntil == Utils::TimePoint{});
}

TEST_CASE_FIXTURE(TrackedEndpoint,
                  "cool-down of an endpoint that was removed and is in use "
                  "again stays with it") {
  Tracker.coolDown("e", Now + 10s);
  Tracker.remove("e", Now);
  Tracker.onSent("e");
  Tracker.remove("other", Now + 10s);
  CHECK(Tracker.health("e").InFlight == 1);
}

TEST_CASE("call with unsafe or non-resumable route is not retried after it may "
          "have run") {
  CallProgress progress = failedAttempt(RouteKind::Unsafe);
  CHECK(recoveryAction(progress) == RecoveryAction::Fail);
  progress = failedAttempt(RouteKind::Streaming);
  CHECK(recoveryAction(progress) == RecoveryAction::Fail);
  progress.AnswerStarted = true;
  CHECK(recoveryAction(progress) == RecoveryAction::Abort);
}

TEST_CASE(
    "call that was not executed is retried while permitted, then refused") {
  for (auto kind : {RouteKind::Unsafe, RouteKind::Safe, RouteKind::Streaming}) {
    CallProgress progress = failedAttempt(kind);
    progress.RunsStarted = 0;
    progress.NotExecuted = true;
    CHECK(recoveryAction(progress) == RecoveryAction::Retry);
    progress.RetryPermitted = false;
    CHECK(recoveryAction(progress) == RecoveryAction::Refuse);
  }
}

TEST_CASE("safe call is retried up to the maximum of its route, then fails") {
  CallProgress progress = failedAttempt(RouteKind::Safe);
  CHECK(recoveryAction(progress) == RecoveryAction::Retry);
  progress.RunsStarted = 2;
  CHECK(recoveryAction(progress) == RecoveryAction::Fail);
}

TEST_CASE("call refused after an earlier attempt that may have run fails") {
  CallProgress progress = failedAttempt(RouteKind::Safe);
  progress.NotExecuted = true; // Refused, after a broken attempt.
  progress.RetryPermitted = false;
  CHECK(recoveryAction(progress) == RecoveryAction::Fail);
}

TEST_CASE(
    "interrupted stream is resumed up to the maximum of a resumable route") {
  CallProgress progress = failedAttempt(RouteKind::Streaming);
  progress.AnswerStarted = true;
  progress.Resumable = true;
  CHECK(recoveryAction(progress) == RecoveryAction::Resume);
  progress.RunsStarted = 2;
  CHECK(recoveryAction(progress) == RecoveryAction::Abort);
}

TEST_CASE("retry budget allows the ratio plus the slack per window") {
  RetryBudget budget({0.2, 5, 5, 10s});
  Utils::TimePoint now{1h};
  int taken = 0;
  for (int i = 0; i < 1000; ++i) { // 100 calls per second, all failing.
    budget.onFirstAttempt(now);
    taken += budget.takeRetry(now);
    now += 10ms;
  }
  CHECK(taken <= 0.2 * 1000 + 2 * 5);
  CHECK(taken >= 0.2 * 1000);
}

TEST_CASE(
    "many gateways with few calls each stay within the fleet's retry budget") {
  constexpr int gateways = 91;
  constexpr double slack = 222;
  std::vector<RetryBudget> budgets(
      gateways,
      RetryBudget({0.16, slack / gateways / 2, slack / gateways / 4, 10s}));
  Utils::TimePoint now{1h};
  int taken = 0;
  int calls = 0;
  for (int i = 0; i < 1000; ++i) { // 10 s in which every attempt is refused.
    for (int n = 0; n < 4; ++n, ++calls) {
      RetryBudget &it = budgets[size_t(i * 4 + n) % gateways];
      it.onFirstAttempt(now);
      for (int attempt = 0; attempt < 3; ++attempt)
        taken += it.takeRetry(now);
    }
    now += 10ms;
  }
  CHECK(taken <= 0.2 * calls + slack);
  CHECK(taken > 0.1 * calls);
}

TEST_CASE_FIXTURE(
    EndpointChoice,
    "endpoint in cool-down gets no calls even if there is no other") {
  add(0).CoolDownUntil = Now + 300ms;
  add(9);
  CHECK(countChoices()[0] == 0);
  Candidates[1].CoolDownUntil = Now + 200ms;
  CHECK_FALSE(choose(Candidates, Now, Random));
  CHECK(earliestCoolDownEnd(Candidates, Now) == Now + 200ms);
  Now += 300ms;
  CHECK(countChoices()[0] > 0);
  CHECK_FALSE(earliestCoolDownEnd(Candidates, Now));
}

TEST_CASE_FIXTURE(TrackedEndpoint,
                  "cool-down is not shortened by a shorter one") {
  Tracker.coolDown("e", Now + 2s);
  Tracker.coolDown("e", Now + 1s);
  CHECK(Tracker.health("e").CoolDownUntil == Now + 2s);
}
