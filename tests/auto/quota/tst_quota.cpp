#include "quota/quota.h"

#include <deque>
#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace std::chrono_literals;
using namespace Quota;

namespace {

/// Gateways that send a team's calls, and the holder that counts them, in
/// steps of 10 ms; beats go every 250 ms and arrive 10 ms later.
struct Gateways {
  Limit Allowed{1000, 2000, 0};
  TimePoint Now{1h};
  std::vector<Meter> Meters;
  std::vector<int64_t> Counted;
  std::vector<bool> Reachable;
  Ledger Book{Allowed, Now};
  /// Tokens admitted in each step.
  std::deque<double> Steps;
  double Refused = 0;
  double Admitted = 0;

  explicit Gateways(size_t n = 8)
      : Meters(n, Meter(Allowed, Allowed.Burst, Now)), Counted(n),
        Reachable(n, true) {}

  void beat() {
    uint32_t n = uint32_t(Meters.size());
    for (size_t i = 0; i < n; ++i) {
      if (!Reachable[i])
        continue;
      std::string name = std::to_string(i);
      Book.count(name, double(Meters[i].admitted() - Counted[i]), Now);
      Counted[i] = Meters[i].admitted();
      Meters[i].hear({Book.level(Now), Counted[i], Book.shareOf(name, n, Now)},
                     Now);
    }
  }
  /// Each gateway i is asked for perSecond[i] tokens a second, in calls of 10.
  void run(std::chrono::milliseconds time,
           const std::vector<double> &perSecond) {
    for (auto end = Now + time; Now < end; Now += 10ms) {
      if ((Now.time_since_epoch() / 10ms) % 25 == 0)
        beat();
      double step = 0;
      for (size_t i = 0; i < Meters.size(); ++i)
        step += ask(i, perSecond[i] / 100);
      Steps.push_back(step);
    }
  }
  double ask(size_t i, double tokens) {
    Due.resize(Meters.size());
    double admitted = 0;
    for (Due[i] += tokens; Due[i] >= 10; Due[i] -= 10)
      if (Meters[i].refusal(10, Now))
        Refused += 10;
      else
        admitted += 10;
    Admitted += admitted;
    return admitted;
  }
  double mostInWindow(size_t steps) const {
    double most = 0;
    for (size_t i = 0; i + steps <= Steps.size(); ++i) {
      double sum = 0;
      for (size_t j = i; j < i + steps; ++j)
        sum += Steps[j];
      most = std::max(most, sum);
    }
    return most;
  }
  std::vector<double> Due;
};

constexpr size_t EightSeconds = 800;

} // namespace

TEST_CASE_FIXTURE(Gateways,
                  "team within its rate is never refused, however its "
                  "calls are spread") {
  run(1s, std::vector<double>(8, 10));
  std::vector<double> uneven(8, 0);
  uneven[0] = 900;
  run(10s, uneven);
  std::vector<double> moved(8, 0);
  moved[5] = 900;
  run(10s, moved);
  CHECK(Refused == 0);
}

TEST_CASE_FIXTURE(Gateways, "team far over its rate gets its rate and burst, "
                            "and hardly more in any window") {
  run(20s, std::vector<double>(8, 1000));
  double allowed = 8 * Allowed.Rate + Allowed.Burst;
  // A beat comes every 250 ms, in which 8 gateways may each use up the level.
  CHECK(mostInWindow(EightSeconds) <= allowed * 1.1 + 2000);
  CHECK(Admitted >= 20 * Allowed.Rate);
}

TEST_CASE_FIXTURE(Gateways, "gateways that hear nothing stay within the limit "
                            "together") {
  run(3s, std::vector<double>(8, 1000));
  Reachable.assign(8, false);
  run(10s, std::vector<double>(8, 1000));
  CHECK(mostInWindow(EightSeconds) <=
        (8 * Allowed.Rate + Allowed.Burst) * 1.1 + 2000);
  double before = Admitted;
  run(10s, std::vector<double>(8, 1000));
  CHECK(Admitted - before >= 0.7 * 10 * Allowed.Rate);
}

TEST_CASE_FIXTURE(Gateways,
                  "half of the gateways cut off stay within the limit "
                  "with the other half") {
  run(5s, std::vector<double>(8, 1000));
  for (size_t i = 0; i < 4; ++i)
    Reachable[i] = false;
  run(16s, std::vector<double>(8, 1000));
  Reachable.assign(8, true);
  run(16s, std::vector<double>(8, 1000));
  CHECK(mostInWindow(EightSeconds) <=
        1.6 * (8 * Allowed.Rate + Allowed.Burst) + 2000);
}

TEST_CASE("lower limit holds at once, and what is over it is refused with the "
          "time to come back") {
  TimePoint now{1h};
  Meter meter({1000, 2000, 0}, 2000, now);
  meter.hear({2000, 0, 0.5}, now);
  meter.setLimit({100, 200, 0}, now);
  CHECK_FALSE(meter.refusal(200, now));
  auto comeBack = meter.refusal(50, now);
  REQUIRE(comeBack);
  CHECK(*comeBack == 500ms);
}

TEST_CASE("call larger than the burst is admitted when the bucket is full") {
  TimePoint now{1h};
  Meter meter({100, 200, 0}, 200, now);
  meter.hear({200, 0, 0.5}, now);
  CHECK_FALSE(meter.refusal(1000, now));
  CHECK(meter.refusal(1, now));
}

TEST_CASE("tokens of a call that did not run are there again") {
  TimePoint now{1h};
  Meter meter({100, 200, 0}, 200, now);
  meter.hear({200, 0, 0.5}, now);
  CHECK_FALSE(meter.refusal(200, now));
  CHECK(meter.refusal(200, now));
  meter.giveBack(200, now);
  CHECK_FALSE(meter.refusal(200, now));
  CHECK(meter.admitted() == 200);
}

TEST_CASE("tokens given back as of an earlier time do not fill the bucket "
          "twice") {
  TimePoint now{1h};
  Bucket bucket({100, 1000, 0}, now);
  bucket.take(1000, now);
  now += 2s;
  CHECK(bucket.level(now) == doctest::Approx(200));
  bucket.take(-10, now - 2s);
  CHECK(bucket.level(now) == doctest::Approx(210));
}

TEST_CASE("team without a limit is never refused") {
  TimePoint now{1h};
  Meter meter({0, 0, 0}, 0, now);
  for (int i = 0; i < 100; ++i)
    CHECK_FALSE(meter.refusal(1e6, now));
}

TEST_CASE_FIXTURE(Gateways, "gateways that are all killed in the middle of a "
                            "window stay within the limit with what they gave "
                            "before") {
  run(4s, std::vector<double>(8, 1000));
  // Nobody knows any longer what was given; the new holder neither.
  Meters.assign(8, Meter(Allowed, 0, Now));
  Counted.assign(8, 0);
  Book.setLevel(0, Now);
  run(8s, std::vector<double>(8, 1000));
  CHECK(mostInWindow(EightSeconds) <=
        (8 * Allowed.Rate + Allowed.Burst) * 1.1 + 2000);
}

TEST_CASE("gateway that has just started gives no more than its likely share") {
  TimePoint now{1h};
  Meter meter({1000, 2000, 0}, 2000, now);
  double admitted = 0;
  for (int i = 0; i < 100; ++i)
    admitted += meter.refusal(20, now) ? 0 : 20;
  CHECK(admitted <= 2000.0 / Meter::MembersAtStart + 20);
}
