#include <doctest/doctest.h>

#include "fleet.h"

#include <random>
#include <rapidcheck.h>

namespace {

using namespace LimitsTest;

constexpr Policy ShortGrants{2000, 10000};
constexpr size_t NodeCount = 4;
constexpr const char *Seed = "seed=20261203 max_success=2000 max_size=400";

/// What may happen, with the weight of each; see apply().
struct Mix {
  bool Takeovers = true;
  bool Edits = false;
};

double anyRate(uint32_t x) {
  return x % 3 == 0 ? 1 + 99e-4 : 1 + (double(x % 199) - 99) * 1e-4;
}

const std::vector<uint64_t> Everything = {64, 32, 16, 8, 4, 2, 1};

void apply(Fleet &fleet, const Mix &mix, uint32_t what, uint32_t x) {
  size_t node = x % NodeCount;
  uint32_t y = x / NodeCount;
  switch (what % 16) {
  case 0:
    return fleet.pass(y % 1200);
  case 1:
    return fleet.pass(y % 40);
  case 2:
    return fleet.send(node, {1 + y % 60});
  case 3:
    return fleet.send(node, {});
  case 4:
    return fleet.arrive(y, y % 5 == 0);
  case 5:
    return fleet.answer(node, y);
  case 6:
    fleet.hoard(node);
    return;
  case 7:
    return fleet.serve(node, 1 + y % 60);
  case 8:
    return fleet.finish(node);
  case 9:
    giveBack(fleet.Nodes[node].Own, Team);
    return fleet.exchange(node, {});
  case 10:
  case 11:
    fleet.exchange(node, Everything);
    return fleet.hoard(node);
  case 12:
    for (size_t i = 0; i < NodeCount; ++i)
      fleet.drain(i);
    return;
  case 13:
    return fleet.drain(node);
  case 14:
    if (y % 2 == 0 && mix.Takeovers)
      return y % 4 == 0 ? fleet.crash(anyRate(x), y % 3 != 0)
                        : fleet.plannedStop(1);
    return fleet.pass(1900 + y % 200);
  default:
    if (y % 3 == 0)
      return fleet.replace(node);
    if (y % 3 == 1 && mix.Edits)
      return fleet.edit({10 + y % 200, 20 + y % 150});
    return fleet.pass(1500 + y % 1500);
  }
}

using Steps = std::vector<std::pair<uint32_t, uint32_t>>;

void checkBound(const Mix &mix, const Steps &steps, uint32_t rates) {
  Fleet fleet(NodeCount, {100, 120}, ShortGrants);
  for (size_t i = 0; i < NodeCount; ++i)
    fleet.Nodes[i].Rate = anyRate(rates / uint32_t(i + 1));
  for (const auto &[what, x] : steps) {
    apply(fleet, mix, what, x);
    RC_ASSERT(fleet.True.Level >= 0);
  }
  RC_CLASSIFY(fleet.Delivered > 0, "delivered");
  RC_CLASSIFY(fleet.Fence > 1, "taken over");
}

auto anySteps() {
  return rc::gen::container<Steps>(
      rc::gen::pair(rc::gen::inRange<uint32_t>(0, 16),
                    rc::gen::inRange<uint32_t>(0, 1U << 24)));
}

struct LimitsFixture {
  /// Nothing is granted just before the old grants lapse, the refill after it.
  void checkOpensOnceLapsed() {
    Two.pass(2019);
    Two.exchange(1, {1});
    CHECK(!Two.take(1, 1));
    Two.pass(1000);
    Two.exchange(1, {90});
    CHECK(Two.take(1, 90));
  }

  Fleet Two{2, {100, 120}, ShortGrants};
};

} // namespace

TEST_CASE("tokens delivered, any faults and takeovers, no window over rate and "
          "burst") {
  setenv("RC_PARAMS", Seed, 0);
  CHECK(rc::check("any faults", [] {
    checkBound({}, *anySteps(), *rc::gen::inRange<uint32_t>(0, 1U << 24));
  }));
}

TEST_CASE("tokens delivered, limits edited meanwhile, no window over the "
          "larger burst") {
  setenv("RC_PARAMS", Seed, 0);
  CHECK(rc::check("edits", [] {
    checkBound({true, true}, *anySteps(),
               *rc::gen::inRange<uint32_t>(0, 1U << 24));
  }));
}

TEST_CASE_FIXTURE(LimitsFixture, "grant, past its deadline, is not delivered") {
  Two.exchange(0, {100});
  REQUIRE(Two.take(0, 100));
  Two.pass(1979);
  Two.serve(0, 10);
  CHECK(Two.Delivered == 10);
  Two.pass(2);
  Two.serve(0, 10);
  CHECK(Two.Delivered == 10);
}

TEST_CASE_FIXTURE(LimitsFixture,
                  "grant, renewed while the stream goes on, is delivered") {
  Two.exchange(0, {100});
  REQUIRE(Two.take(0, 100));
  for (int i = 0; i < 10; ++i) {
    Two.pass(1000);
    REQUIRE(wantsExchange(Two.Nodes[0].Own, Two.localNow(0)));
    Two.exchange(0, {});
    Two.serve(0, 10);
  }
  CHECK(Two.Delivered == 100);
}

TEST_CASE_FIXTURE(LimitsFixture, "holder, grant never reported, counts it as "
                                 "delivered after the deadline") {
  Two.exchange(0, {120});
  Two.replace(0);
  Two.pass(2000);
  advance(Two.Keeper, Two.holderNow());
  CHECK(available(Two.Keeper.Buckets[Team]) == 0);
  Two.pass(1100);
  advance(Two.Keeper, Two.holderNow());
  uint64_t level = available(Two.Keeper.Buckets[Team]);
  CHECK(level > 100);
  CHECK(level < 110);
}

TEST_CASE_FIXTURE(LimitsFixture, "settled grant, part used, credits only what "
                                 "was not delivered") {
  Two.exchange(0, {100});
  REQUIRE(Two.take(0, 100));
  Two.serve(0, 30);
  Two.finish(0);
  giveBack(Two.Nodes[0].Own, Team);
  Two.exchange(0, {});
  CHECK(available(Two.Keeper.Buckets[Team]) == 90);
  Two.exchange(0, {});
  CHECK(available(Two.Keeper.Buckets[Team]) == 90);
}

TEST_CASE_FIXTURE(LimitsFixture, "new holder, after a crash, grants nothing "
                                 "until old grants have lapsed") {
  Two.exchange(0, {20});
  Two.crash(1);
  Two.exchange(1, {1});
  CHECK(!Two.take(1, 1));
  checkOpensOnceLapsed();
}

TEST_CASE_FIXTURE(LimitsFixture, "new holder, all daemons have presented their "
                                 "tokens, grants the refill from then on") {
  Two.exchange(0, {20});
  REQUIRE(Two.take(0, 20));
  Two.crash(1, true);
  Two.pass(500);
  Two.exchange(1, {1});
  CHECK(!Two.take(1, 1));
  Two.exchange(0, {});
  Two.exchange(1, {1});
  CHECK(!Two.take(1, 1));
  Two.pass(1000);
  Two.exchange(1, {90});
  CHECK(Two.take(1, 90));
  CHECK(available(Two.Keeper.Buckets[Team]) < 10);
}

TEST_CASE_FIXTURE(LimitsFixture, "new holder, one daemon's tokens not "
                                 "presented, waits for their deadline") {
  Two.exchange(0, {20});
  Two.crash(1, true);
  Two.exchange(1, {});
  checkOpensOnceLapsed();
}

TEST_CASE("new holder, tokens of a team that it does not know yet, does not "
          "open for their report") {
  Utils::TimePoint at(std::chrono::hours(1));
  Holder holder = makeHolder(ShortGrants, 2, false, at);
  awaitAccounts(holder, {"d0"});
  Utils::TimePoint opensAt = holder.OpensAt;
  GrantRequest request{"d0/1", 2, 1, std::vector<AccountReport>(1)};
  request.Accounts[0].Team = Team;
  request.Accounts[0].Generation = 1;
  request.Accounts[0].Granted = 120;
  CHECK(grant(holder, request, at).Accounts.at(0).Status ==
        AccountStatus::Unknown);
  CHECK(holder.OpensAt == opensAt);
  setLimit(holder, Team, {100, 120}, at);
  ++request.Sequence;
  CHECK(grant(holder, request, at).Accounts.at(0).Status ==
        AccountStatus::Renewed);
  CHECK(holder.OpensAt == at);
  CHECK(holder.Buckets[Team].Outstanding == 120);
}

TEST_CASE("need refused, holder's empty bucket still fills, is told to wait "
          "with the holder, later to come back") {
  auto at = [](uint32_t ms) {
    return Utils::TimePoint(std::chrono::hours(1)) + Utils::Milliseconds(ms);
  };
  Holder holder = makeHolder(ShortGrants, 2, false, at(0));
  setLimit(holder, Team, {100, 120}, at(0));
  GrantRequest request{"d0/1", 2, 1, std::vector<AccountReport>(1)};
  request.Accounts[0].Team = Team;
  request.Accounts[0].Generation = 1;
  auto isOpening = [&](uint32_t ms) {
    ++request.Sequence;
    request.Accounts[0].Needs = {121};
    return grant(holder, request, at(ms)).Accounts.at(0).Opening;
  };
  CHECK(isOpening(1000));
  CHECK(isOpening(2100));
  CHECK(isOpening(4000));
  CHECK_FALSE(isOpening(4100));
}

TEST_CASE_FIXTURE(LimitsFixture, "live grant, holder crashed, is adopted and "
                                 "the stream goes on") {
  Two.exchange(0, {100});
  REQUIRE(Two.take(0, 100));
  Two.serve(0, 10);
  Two.crash(1);
  for (int i = 0; i < 6; ++i) {
    Two.pass(900);
    Two.exchange(0, {});
    Two.serve(0, 15);
  }
  CHECK(Two.Delivered == 100);
}

TEST_CASE_FIXTURE(LimitsFixture,
                  "planned handover, successor grants without a wait") {
  Two.exchange(0, {20});
  Two.plannedStop(1);
  Two.exchange(1, {100});
  CHECK(Two.take(1, 100));
  Two.exchange(1, {1});
  CHECK(!Two.take(1, 1));
}

TEST_CASE_FIXTURE(LimitsFixture, "lost answer, next exchange, brings the "
                                 "tokens of both") {
  Two.send(0, {50});
  Two.arrive(0, false);
  Two.Nodes[0].Inbox.clear();
  Two.exchange(0, {50});
  CHECK(Two.take(0, 100));
}

TEST_CASE_FIXTURE(LimitsFixture, "request within the rate, share held "
                                 "elsewhere, runs once it is called back") {
  Two.exchange(0, {120});
  Two.exchange(0, {10});
  Two.exchange(1, {100});
  REQUIRE(!Two.take(1, 100));
  REQUIRE(daemonsWithFree(Two.Keeper, Team) ==
          std::vector<std::string>{Two.Nodes[0].Own.Daemon});
  giveBack(Two.Nodes[0].Own, Team);
  Two.exchange(0, {});
  Two.exchange(1, {100});
  CHECK(Two.take(1, 100));
}

TEST_CASE_FIXTURE(LimitsFixture,
                  "need over the level, retry after, is then granted") {
  Two.exchange(0, {120});
  REQUIRE(Two.take(0, 120));
  Two.serve(0, 120);
  Two.exchange(0, {});
  Two.send(1, {50});
  Two.arrive(0, false);
  uint32_t wait = Two.Nodes[1].Inbox.back().Accounts[0].RetryAfterMs;
  CHECK(wait == 505);
  Two.pass(wait - 6);
  Two.exchange(1, {50});
  CHECK(!Two.take(1, 50));
  Two.pass(6);
  Two.exchange(1, {50});
  CHECK(Two.take(1, 50));
}

TEST_CASE_FIXTURE(LimitsFixture, "need over the burst, is said to be so") {
  Two.send(0, {121});
  Two.arrive(0, false);
  CHECK(Two.Nodes[0].Inbox.back().Accounts[0].OverBurst);
}

TEST_CASE_FIXTURE(LimitsFixture, "team row, deleted and made again, brings no "
                                 "second burst") {
  Two.exchange(0, {100});
  REQUIRE(Two.take(0, 100));
  Two.serve(0, 100);
  Two.exchange(0, {});
  Two.edit({0, 0});
  Two.edit({100, 120});
  CHECK(available(Two.Keeper.Buckets[Team]) == 0);
}

TEST_CASE_FIXTURE(LimitsFixture, "returned tokens, message to the old holder "
                                 "late, are credited once only") {
  Two.exchange(0, {100});
  Two.send(0, {100});
  giveBack(Two.Nodes[0].Own, Team);
  Two.exchange(0, {});
  Two.exchange(1, {100});
  REQUIRE(Two.take(1, 100));
  Two.crash(1);
  Two.arrive(0, false);
  Two.exchange(1, {});
  Two.exchange(0, {90});
  CHECK(!Two.take(0, 1));
  CHECK(Two.Keeper.Buckets[Team].Outstanding == 100);
  CHECK(available(Two.Keeper.Buckets[Team]) == 0);
}

TEST_CASE_FIXTURE(LimitsFixture, "account, lapsed at the holder, is unknown "
                                 "when a late message comes") {
  Two.exchange(0, {100});
  Two.send(0, {100});
  Two.pass(4100);
  Two.arrive(0, false);
  CHECK(Two.Nodes[0].Inbox.back().Accounts[0].Status == AccountStatus::Unknown);
  CHECK(Two.Keeper.Buckets[Team].Outstanding == 0);
}

TEST_CASE_FIXTURE(LimitsFixture, "wallet, lapsed before a takeover, is not "
                                 "adopted") {
  Two.exchange(0, {120});
  Two.pass(4100);
  Two.exchange(1, {100});
  REQUIRE(Two.take(1, 100));
  Two.crash(1);
  Two.exchange(0, {});
  CHECK(!Two.take(0, 1));
}

TEST_CASE_FIXTURE(LimitsFixture,
                  "late answer, newer request under way, is not accepted") {
  Two.exchange(0, {50});
  REQUIRE(Two.take(0, 50));
  Two.send(0, {});
  Two.arrive(0, false);
  Two.pass(500);
  Two.send(0, {});
  Two.answer(0, 0);
  Two.pass(1480);
  Two.serve(0, 50);
  CHECK(Two.Delivered == 0);
}

TEST_CASE_FIXTURE(LimitsFixture,
                  "reservation, used up, delivers no token more") {
  Two.exchange(0, {50});
  auto it = reserve(Two.Nodes[0].Own, Team, 30, Two.localNow(0));
  REQUIRE(it);
  CHECK(!deliver(Two.Nodes[0].Own, *it, 31, Two.localNow(0)));
  CHECK(deliver(Two.Nodes[0].Own, *it, 30, Two.localNow(0)));
  CHECK(!deliver(Two.Nodes[0].Own, *it, 1, Two.localNow(0)));
}

TEST_CASE_FIXTURE(LimitsFixture, "holder, clock as fast as allowed, exceeds "
                                 "the rate in no long window") {
  Two.HolderRate = 1.01;
  Two.exchange(0, Everything);
  Two.drain(0);
  for (int i = 0; i < 300; ++i) {
    Two.pass(1000);
    Two.exchange(0, Everything);
    Two.drain(0);
    Two.exchange(0, {});
    REQUIRE(Two.True.Level >= 0);
  }
  CHECK(Two.Delivered >= 30000);
}

TEST_CASE("request within the rate, spread over daemons, is hardly refused") {
  std::mt19937_64 random(20261203);
  Fleet fleet(8, {1000, 600}, Policy{6000, 0});
  Reference central = fleet.True;
  int refused = 0;
  for (int i = 0; i < 4000; ++i) {
    fleet.pass(uint32_t(random() % 100));
    size_t node = random() % 8;
    uint64_t n = 20 + random() % 50;
    central.advance(fleet.Now);
    if (central.Level < double(n))
      continue;
    central.Level -= double(n);
    for (int tries = 0; tries < 2 && !fleet.take(node, n); ++tries) {
      fleet.exchange(node, {n});
      if (fleet.take(node, n))
        break;
      for (size_t k = 0; k < 8; ++k) {
        giveBack(fleet.Nodes[k].Own, Team);
        fleet.exchange(k, {});
      }
    }
    refused += fleet.Nodes[node].Held.empty() ? 1 : 0;
    fleet.serve(node, n);
    fleet.finish(node);
    fleet.exchange(node, {});
    REQUIRE(fleet.True.Level >= 0);
  }
  CHECK(refused == 0);
}
