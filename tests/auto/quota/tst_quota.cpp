#include "quota/quota.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using namespace Quota;

namespace {

/// One gateway connected directly to the duty holder.
struct GatewayAndHolder {
  Limit TeamLimit{1000, 2000};
  double MaxOverdraft = 500;
  TimePoint Now{1h};
  TokenAllocator Allocator{TeamLimit, TeamLimit.Burst, MaxOverdraft, Now};
  GatewayLimiter Limiter{TeamLimit, TeamLimit.Burst, 8, Now};
  std::mt19937_64 Random{1};
  uint64_t Sequence = 0;
  uint64_t Calls = 0;

  /// Sends the gateway's counters to the holder and returns its answer.
  HolderAnswer sendReport() {
    TokenCounters counters = Limiter.prepareReport(++Sequence);
    int64_t granted = Allocator.reconcile("a", 1, counters, Now);
    return {Allocator.level(Now), Allocator.demandRate(Now), granted};
  }
  std::vector<Decision> exchange() {
    HolderAnswer answer = sendReport();
    return Limiter.applyAnswer(answer, Sequence, Now);
  }
  /// Submits a call and returns the decision, after the holder's answer if
  /// needed.
  Decision submit(double tokens) {
    if (auto decision = Limiter.acquire(++Calls, tokens, true, Now, Random))
      return *decision;
    auto decisions = exchange();
    REQUIRE(decisions.size() == 1);
    return decisions[0];
  }
  int64_t countAdmitted(int calls, double tokens) {
    int64_t out = 0;
    for (int i = 0; i < calls; ++i)
      out += submit(tokens).isAdmitted();
    return out;
  }
};

/// The holder answers once and is lost then.
struct HolderLost : GatewayAndHolder {
  HolderLost() { exchange(); }
  bool admitsLocally(double tokens) {
    return Limiter.acquire(++Calls, tokens, false, Now, Random)->isAdmitted();
  }
};

} // namespace

TEST_CASE_FIXTURE(
    GatewayAndHolder,
    "call within the limit waits for the holder's grant and is then admitted") {
  CHECK_FALSE(Limiter.acquire(1, 300, true, Now, Random));
  auto decisions = exchange();
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].isAdmitted());
  CHECK(Allocator.level(Now) == doctest::Approx(1700));
}

TEST_CASE_FIXTURE(
    GatewayAndHolder,
    "team can spend its burst and the allowed overdraft, then its rate") {
  CHECK(countAdmitted(3, 700) == 3); // The last overdraws it by 100.
  CHECK_FALSE(submit(1).isAdmitted());
  Now += 600ms;
  CHECK(countAdmitted(100, 100) == 5);
}

TEST_CASE_FIXTURE(
    GatewayAndHolder,
    "call over the limit is rejected and admitted after its retry delay") {
  countAdmitted(100, 100);
  auto rejected = submit(100);
  REQUIRE(rejected.RetryAfter);
  CHECK(*rejected.RetryAfter >= 100ms);
  Now += *rejected.RetryAfter;
  CHECK(submit(100).isAdmitted());
}

TEST_CASE_FIXTURE(
    GatewayAndHolder,
    "retry delay grows with the demand of a team far over its limit") {
  submit(2000);
  Milliseconds lowDemand = *submit(100).RetryAfter;
  CHECK(lowDemand < 150ms);
  countAdmitted(80, 100);
  Milliseconds highDemand = *submit(100).RetryAfter;
  CHECK(highDemand >= 3 * lowDemand);
  CHECK(highDemand <= 10s);
}

TEST_CASE_FIXTURE(
    GatewayAndHolder,
    "lowered limit applies at once and calls over it get a retry delay") {
  Allocator.setLimit({100, 200}, Now);
  Limiter.setLimit({100, 200}, Now);
  CHECK(submit(700).isAdmitted()); // Burst plus allowed overdraft.
  auto rejected = submit(50);
  REQUIRE(rejected.RetryAfter);
  CHECK(*rejected.RetryAfter == 5500ms);
}

TEST_CASE_FIXTURE(
    GatewayAndHolder,
    "call larger than the burst is admitted only when the bucket is full") {
  CHECK(submit(9000).isAdmitted());
  CHECK_FALSE(submit(9000).isAdmitted());
  CHECK_FALSE(submit(1).isAdmitted());
}

TEST_CASE_FIXTURE(GatewayAndHolder, "simultaneous calls at a full bucket are "
                                    "admitted up to burst and overdraft only") {
  for (uint64_t i = 1; i <= 50; ++i)
    CHECK_FALSE(Limiter.acquire(i, 1000, true, Now, Random));
  int admitted = 0;
  for (const Decision &it : exchange())
    admitted += it.isAdmitted();
  CHECK(admitted == 2);
}

TEST_CASE_FIXTURE(
    GatewayAndHolder,
    "tokens of a call that did not run are refunded exactly once") {
  CHECK(submit(2000).isAdmitted());
  CHECK(Allocator.level(Now) == 0);
  Limiter.refund(2000);
  exchange();
  exchange();
  CHECK(Allocator.level(Now) == 2000);
  CHECK(Limiter.counters().Spent == 0);
}

TEST_CASE_FIXTURE(
    GatewayAndHolder,
    "grant whose answer was lost is repeated and debited only once") {
  CHECK_FALSE(Limiter.acquire(1, 300, true, Now, Random));
  sendReport(); // The answer is lost.
  auto decisions = exchange();
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].isAdmitted());
  CHECK(Allocator.level(Now) == doctest::Approx(1700));
}

TEST_CASE_FIXTURE(GatewayAndHolder,
                  "delayed answer does not restore a grant given up since") {
  CHECK_FALSE(Limiter.acquire(1, 300, true, Now, Random));
  HolderAnswer delayed = sendReport();
  Limiter.cancel(1);
  exchange(); // Gives up the granted 300 tokens.
  CHECK(Allocator.level(Now) == doctest::Approx(2000));
  Limiter.applyAnswer(delayed, 1, Now);
  CHECK(Limiter.counters().Granted == 0);
}

TEST_CASE_FIXTURE(GatewayAndHolder, "first report of a restarted gateway "
                                    "inherits nothing from the old process") {
  CHECK(submit(500).isAdmitted());
  GatewayLimiter restarted(TeamLimit, 0, 8, Now);
  CHECK(Allocator.reconcile("a", 2, restarted.prepareReport(1), Now) == 0);
  CHECK(Allocator.level(Now) == doctest::Approx(1500));
}

TEST_CASE("allocator of a new holder starts at the announced level less "
          "ungranted spending") {
  TimePoint now{1h};
  TokenAllocator allocator({1000, 2000}, 1500, 500, now);
  allocator.capLevel(1200, now);
  CHECK(allocator.level(now) == doctest::Approx(1200));
  // The old holder granted 400 tokens, 700 were spent.
  CHECK(allocator.reconcile("a", 1, {700, 400, 700, 0, 700}, now) == 700);
  CHECK(allocator.level(now) == doctest::Approx(900));
  allocator.capLevel(1300, now); // Announced before the 300 were spent.
  CHECK(allocator.level(now) == doctest::Approx(900));
  allocator.capLevel(1100, now);
  CHECK(allocator.level(now) == doctest::Approx(800));
}

TEST_CASE(
    "allocator refills only by the fraction not reserved for silent gateways") {
  TimePoint now{1h};
  TokenAllocator allocator({1000, 2000}, 0, 0, now);
  allocator.setGrantableFraction(0.5, now);
  CHECK(allocator.level(now + 1s) == doctest::Approx(500));
  allocator.setGrantableFraction(1, now + 1s);
  CHECK(allocator.level(now + 2s) == doctest::Approx(1500));
}

TEST_CASE(
    "tokens returned with an earlier time do not refill the bucket twice") {
  TimePoint now{1h};
  TokenBucket bucket({100, 1000}, 1000, now);
  bucket.take(1000, now);
  now += 2s;
  CHECK(bucket.level(now) == doctest::Approx(200));
  bucket.take(-10, now - 2s);
  CHECK(bucket.level(now) == doctest::Approx(210));
}

TEST_CASE_FIXTURE(GatewayAndHolder, "team without a limit is never rejected "
                                    "and is not overdrawn when it gets one") {
  Limiter = GatewayLimiter({0, 0}, 0, 8, Now);
  Allocator = TokenAllocator({0, 0}, 0, MaxOverdraft, Now);
  for (int i = 0; i < 100; ++i)
    CHECK(submit(1e6).isAdmitted());
  exchange();
  Limiter.setLimit(TeamLimit, Now);
  Allocator.setLimit(TeamLimit, Now);
  CHECK(submit(1000).isAdmitted());
}

TEST_CASE_FIXTURE(
    GatewayAndHolder,
    "waiting call is admitted by any answer after the limit is lifted") {
  CHECK(countAdmitted(3, 700) == 3);
  CHECK_FALSE(Limiter.acquire(++Calls, 300, true, Now, Random));
  Limiter.setLimit({0, 0}, Now);
  auto decisions = exchange();
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].isAdmitted());
}

TEST_CASE_FIXTURE(
    GatewayAndHolder,
    "waiting call is admitted on timeout after the limit is lifted") {
  CHECK(countAdmitted(3, 700) == 3);
  CHECK_FALSE(Limiter.acquire(++Calls, 300, true, Now, Random));
  Limiter.setLimit({0, 0}, Now);
  auto decisions =
      Limiter.expireWaiting(Now + GatewayLimiter::HolderTimeout, Random);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].isAdmitted());
}

TEST_CASE_FIXTURE(HolderLost,
                  "call is decided immediately when there is no holder") {
  CHECK(admitsLocally(100));
  CHECK_FALSE(Limiter.hasWaitingCalls());
}

TEST_CASE_FIXTURE(HolderLost,
                  "waiting call is decided locally after the holder timeout") {
  CHECK_FALSE(Limiter.acquire(1, 100, true, Now, Random));
  CHECK(Limiter.expireWaiting(Now + GatewayLimiter::HolderTimeout - 1ms, Random)
            .empty());
  auto decisions =
      Limiter.expireWaiting(Now + GatewayLimiter::HolderTimeout, Random);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].isAdmitted());
}

TEST_CASE_FIXTURE(
    HolderLost,
    "gateway without a holder for long admits its share of the limit") {
  Now += 4s;
  double admitted = 0;
  for (int i = 0; i < 2000; ++i, Now += 10ms)
    admitted += admitsLocally(50) ? 50 : 0;
  // One eighth of the burst and of 20 s of the rate.
  CHECK(admitted >= 0.8 * (2000 + 20'000) / 8);
  CHECK(admitted <= 1.2 * (2000 + 20'000) / 8);
}

TEST_CASE(
    "gateway that has just started admits no more than its estimated share") {
  TimePoint now{1h};
  std::mt19937_64 random(1);
  GatewayLimiter limiter({1000, 2000}, 2000, 200, now);
  double admitted = 0;
  for (uint64_t i = 1; i <= 100; ++i) {
    CHECK_FALSE(limiter.acquire(i, 20, true, now, random));
    for (const Decision &it : limiter.expireWaiting(
             now + GatewayLimiter::FirstHolderTimeout, random))
      admitted += it.isAdmitted() ? 20 : 0;
  }
  CHECK(admitted <= 2000.0 / 200 + 20);
}

namespace {

/// A team of 1,000 tokens a second whose bucket is empty.
struct EmptyBucket {
  Limit TeamLimit{1000, 1000};
  TimePoint Now{1h};
  TokenAllocator Allocator{TeamLimit, 0, 0, Now};
  TokenCounters Counters;
  uint64_t Calls = 0;

  /// Delay of the call; nothing if it is admitted.
  std::optional<Milliseconds> submit(uint64_t hash, int64_t tokens,
                                     Milliseconds patience = 5s) {
    Counters.Requested = Counters.Spent + tokens;
    std::vector<CallDelay> delays;
    Counters.Granted = Allocator.reconcile(
        "a", 1, Counters, {{++Calls, hash, tokens, patience}}, delays, Now);
    if (!delays.empty())
      return delays[0].RetryAfter;
    CHECK(Counters.Granted - Counters.Spent == tokens);
    Counters.Spent += tokens;
    return std::nullopt;
  }
};

} // namespace

TEST_CASE_FIXTURE(
    EmptyBucket, "rejected calls are told successive times and are served then "
                 "before a call without a reservation") {
  CHECK(submit(1, 100) == 100ms);
  CHECK(submit(2, 200) == 300ms);
  CHECK(submit(3, 100) == 400ms);
  Now += 100ms;
  CHECK(submit(4, 50) == 350ms); // The tokens of call 1 are kept.
  CHECK_FALSE(submit(1, 100));
  Now += 200ms;
  CHECK_FALSE(submit(2, 200));
}

TEST_CASE_FIXTURE(EmptyBucket,
                  "call that is repeated early is told its old time again") {
  CHECK(submit(1, 100) == 100ms);
  CHECK(submit(2, 100) == 200ms);
  Now += 40ms;
  CHECK(submit(2, 100) == 160ms);
  CHECK(submit(1, 100) == 60ms);
  CHECK(Allocator.queueLength() == 2);
}

TEST_CASE_FIXTURE(EmptyBucket,
                  "tokens of a caller that does not return go to others") {
  CHECK(submit(1, 300) == 300ms);
  Now += 300ms;
  CHECK(submit(2, 100) == 100ms);
  Now += VirtualQueue::ReturnWindow;
  CHECK_FALSE(submit(3, 300));
  CHECK(Allocator.queueLength() == 1);
}

TEST_CASE_FIXTURE(EmptyBucket, "call whose caller will not wait that long is "
                               "told its time but reserves nothing") {
  CHECK(submit(1, 500) == 500ms);
  CHECK(submit(2, 500, 900ms) == 1000ms);
  CHECK(submit(3, 100) == 600ms);
  CHECK(Allocator.queueLength() == 2);
}

TEST_CASE_FIXTURE(EmptyBucket, "number of reservations is bounded") {
  for (uint64_t hash = 1; hash <= 2 * VirtualQueue::MaxReservations; ++hash)
    submit(hash, 1, 60s);
  CHECK(Allocator.queueLength() == VirtualQueue::MaxReservations);
}

TEST_CASE_FIXTURE(EmptyBucket,
                  "grant of a listed call whose answer was lost is "
                  "repeated and debited only once") {
  Now += 500ms;
  Counters.Requested = 100;
  for (int i = 0; i < 2; ++i) {
    std::vector<CallDelay> delays;
    CHECK(Allocator.reconcile("a", 1, Counters, {{1, 1, 100, 1s}}, delays,
                              Now) == 100);
    CHECK(delays.empty());
    Counters.Granted = 100; // The repeated request does not give it up.
    CHECK(Allocator.level(Now) == doctest::Approx(400));
  }
}
