#include "outageworld.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace {

using namespace LimitsTest;

constexpr const char *Duty = "limits";
constexpr const char *Seed = "seed=20261203 max_success=3000 max_size=100";

using Steps = std::vector<std::pair<uint32_t, uint64_t>>;

void buryAll(OutageWorld &world, size_t by) {
  for (size_t n = 0; n < OutageWorld::Names; ++n)
    if (n != by)
      world.bury(by, n);
}

/// One step of a history: a fault, its end, or a while in which all do what
/// they do. Weights are such that outages outlast leases and grants.
void apply(OutageWorld &world, uint32_t what, uint64_t x) {
  size_t i = x % OutageWorld::Names;
  size_t k = (i + 1 + x / 4 % 3) % OutageWorld::Names;
  uint64_t y = x / 64;
  switch (what) {
  case 0:
  case 1:
    return world.setLog(false);
  case 2:
    return y % 2 == 0 ? world.setLog(true) : world.heal();
  case 3:
    return world.setReach(i, y % 2 == 0);
  case 4:
    return world.setLink(i, k, y % 2 == 0);
  case 5:
    return world.pause(i, uint32_t(y % 3000));
  case 6:
    return y % 2 == 0 ? world.kill(i) : world.start(i);
  case 7:
    for (size_t n = 0; n < OutageWorld::Names; ++n)
      if (n != i)
        world.setLink(i, n, y % 2 == 0);
    return;
  case 8:
    for (size_t n = 0; n < OutageWorld::Names; ++n)
      if (n != i)
        world.setReach(n, false);
    world.setLog(true);
    return world.setReach(i, true);
  case 9:
    return y % 2 == 0 ? world.start(i) : world.leave(i);
  case 10:
    if (y % 2 == 0)
      return buryAll(world, i);
    world.kill(i);
    world.start(i);
    for (size_t n = 0; n < OutageWorld::Names; ++n)
      if (n != i) {
        world.setLink(i, n, false);
        world.setReach(n, false);
      }
    world.setLog(true);
    return world.setReach(i, true);
  default:
    for (uint64_t n = 0; n < 4 + y % 28; ++n) {
      world.round(x + n);
      world.pass(uint32_t((y + n * 37) % 160));
      RC_ASSERT(world.acting() <= 1U);
      RC_ASSERT(world.True.Level >= 0);
    }
  }
}

auto anySteps() {
  auto step = rc::gen::pair(rc::gen::inRange<uint32_t>(0, 21),
                            rc::gen::inRange<uint64_t>(0, 1U << 30));
  return rc::gen::resize(rc::kNominalSize,
                         rc::gen::container<Steps>(40, std::move(step)));
}

/// Three daemons after the first of them has taken up the limits.
struct OutageFixture {
  OutageFixture() { run(20); }

  void run(int rounds) {
    for (int i = 0; i < rounds; ++i) {
      World.round(++Rounds);
      World.pass(100);
      REQUIRE(World.acting() <= 1);
      REQUIRE(World.True.Level >= 0);
    }
  }
  size_t holder() const {
    for (size_t i = 0; i < OutageWorld::Names; ++i)
      if (World.acts(i))
        return i;
    return OutageWorld::Names;
  }

  OutageWorld World{0};
  uint64_t Rounds = 0;
};

} // namespace

TEST_CASE("holder and tokens, any log outages, partitions, pauses and deaths, "
          "one acts and no window over rate and burst") {
  setenv("RC_PARAMS", Seed, 0);
  int hasContinued = 0;
  int succeeded = 0;
  int buried = 0;
  CHECK(rc::check("outages", [&] {
    OutageWorld world(*rc::gen::inRange<uint64_t>(0, 1ULL << 32));
    for (int i = 0; i < 15; ++i) {
      world.round(uint64_t(i));
      world.pass(100);
    }
    world.RacingClaims = true;
    for (const auto &[what, x] : *anySteps())
      apply(world, what, x);
    hasContinued += world.HasContinued ? 1 : 0;
    succeeded += world.Successions > 0 ? 1 : 0;
    buried += world.Burials > 0 ? 1 : 0;
    RC_CLASSIFY(world.HasContinued, "went on");
    RC_CLASSIFY(world.Successions > 0, "succession");
  }));
  CHECK(hasContinued > 200);
  CHECK(succeeded > 200);
  CHECK(buried > 100);
}

TEST_CASE_FIXTURE(OutageFixture, "holder, log away for all longer than lease "
                                 "and grants, goes on, and after it too") {
  size_t before = holder();
  REQUIRE(before < OutageWorld::Names);
  World.setLog(false);
  run(10);
  uint64_t delivered = World.Delivered;
  run(100);
  CHECK(holder() == before);
  CHECK(World.Delivered > delivered + 900);
  World.setLog(true);
  run(100);
  CHECK(World.Delivered > delivered + 1800);
}

TEST_CASE_FIXTURE(OutageFixture, "holder that alone has lost the log, stops, "
                                 "and another acts") {
  size_t before = holder();
  World.setReach(before, false);
  run(60);
  CHECK(holder() != before);
  CHECK(holder() < OutageWorld::Names);
}

TEST_CASE_FIXTURE(OutageFixture, "daemons that run without the log, all silent "
                                 "to one that none of them knows, are not "
                                 "recorded as gone by it") {
  size_t before = holder();
  for (size_t i = 0; i < 3; ++i) {
    World.setReach(i, false);
    World.setLink(i, 3, false);
  }
  World.start(3);
  for (int i = 0; i < 100; ++i) {
    buryAll(World, 3);
    run(1);
  }
  CHECK(holder() == before);
  World.heal();
  run(60);
  CHECK(holder() < OutageWorld::Names);
}

namespace {

const Utils::TimePoint At{std::chrono::hours(1)};
constexpr Utils::Milliseconds Window(1000);
constexpr Utils::Milliseconds Stretched(1010);
const Lease::Policy OnePercent{Utils::Milliseconds(1000), 0.01, true};

/// d1 has claimed after d0, whose lease the process of d0 has kept until now.
struct SuccessionFixture {
  SuccessionFixture() {
    It.Self = "d1";
    It.Replaced = {"d0", 50, 80, 1000, 70, {{"d0", 80}}};
    It.Claim = History::positionOf(9, 0);
    It.Members["d0"].Joined = 10;
    It.Members["d1"].Joined = 20;
    It.ContactSince = At - std::chrono::seconds(10);
  }
  std::optional<Utils::TimePoint> from() const {
    return Lease::actsFrom(It, Window, OnePercent, At);
  }

  Lease::Succession It;
};

} // namespace

TEST_CASE_FIXTURE(SuccessionFixture, "successor that the holder knows, contact "
                                     "unbroken, acts at once") {
  CHECK(from() == At);
}

TEST_CASE_FIXTURE(SuccessionFixture, "successor that the holder knows, contact "
                                     "new or lost, waits for a window") {
  It.ContactSince = At - std::chrono::milliseconds(300);
  CHECK(from() == At - std::chrono::milliseconds(300) + Stretched);
  It.ContactSince.reset();
  CHECK(from() == At + Stretched);
}

TEST_CASE_FIXTURE(SuccessionFixture, "successor that the holder may not know, "
                                     "waits until a known one has the claim") {
  It.Members["d1"].Joined = 75;
  CHECK_FALSE(from());
  It.Members["d2"].Joined = 30;
  It.Applied["d2"] = 9;
  CHECK_FALSE(from());
  It.Applied["d2"] = 10;
  CHECK(from() == At + Stretched);
  It.Members["d2"].Joined = 75;
  CHECK_FALSE(from());
}

TEST_CASE_FIXTURE(SuccessionFixture, "successor that the holder may not know, "
                                     "holder's process ended, acts at once") {
  It.Members["d1"].Joined = 75;
  It.Members["d0"].Joined = 90;
  CHECK(from() == At);
  It.Members.erase("d0");
  CHECK(from() == At);
  It.Replaced.Actors["d2"] = 60;
  It.Members["d2"].Joined = 5;
  It.Replaced.Known = 3;
  CHECK_FALSE(from());
}

TEST_CASE("silent daemon that may act, is recorded as gone only by one whose "
          "word it needs, a window after its contact") {
  Lease::Burial burial{"d1", "d0", {}, {}, At - Stretched};
  burial.Members["d0"].Joined = 10;
  burial.Members["d1"].Joined = 20;
  burial.Leases["limits"] = {"d0", 50, 80, 1000, 70, {{"d0", 80}}};
  auto may = [&] {
    return Lease::mayRecordGone(burial, Window, OnePercent, At);
  };
  CHECK(may());
  burial.ContactSince = At - Window;
  CHECK_FALSE(may());
  burial.ContactSince.reset();
  CHECK_FALSE(may());
  burial.ContactSince = At - Stretched;
  burial.Members["d1"].Joined = 75;
  CHECK_FALSE(may());
  burial.Leases["limits"].Actors = {{"d2", 80}};
  CHECK(may());
}

TEST_CASE("holder past its deadline, other claim in the state or not to act "
          "yet, does not go on") {
  Lease::Watch watch;
  watch.HeldFence = 50;
  History::Lease lease{"d0", 50, 80, 1000, 70, {}};
  CHECK(Lease::mayContinue(watch, lease, true, At));
  CHECK_FALSE(Lease::mayContinue(watch, lease, false, At));
  watch.ActsFrom = At + Window;
  CHECK_FALSE(Lease::mayContinue(watch, lease, true, At));
  watch.ActsFrom = At;
  lease.Fence = 90;
  CHECK_FALSE(Lease::mayContinue(watch, lease, true, At));
  CHECK(Lease::holderWindow(Window, OnePercent) == Utils::Milliseconds(990));
}

TEST_CASE("lapsed lease claimed, earlier holders are kept until the successor "
          "says that it acts") {
  History::State state;
  auto put = [&](History::LeaseAction action, const std::string &holder,
                 History::Position fence, History::Position renewal) {
    History::LeaseChange change{"", action, Duty, holder, fence, renewal, 1000};
    change.ChangeId = std::to_string(state.NextOffset);
    auto at = History::positionOf(++state.NextOffset, 0);
    REQUIRE(History::apply(state, at, change).Accepted);
    return at;
  };
  using History::LeaseAction;
  const History::Lease &lease = state.Leases[Duty];
  auto first = put(LeaseAction::Claim, "d0", 0, 0);
  CHECK(lease.Known == first);
  auto renewed = put(LeaseAction::Renew, "d0", first, first);
  auto second = put(LeaseAction::Claim, "d1", first, renewed);
  CHECK(lease.Known == first);
  CHECK(lease.Actors.size() == 2);
  auto waiting = put(LeaseAction::Renew, "d1", second, 0);
  CHECK(lease.Known == first);
  CHECK(lease.Actors.size() == 2);
  auto acting = put(LeaseAction::Renew, "d1", second, waiting);
  CHECK(lease.Known == waiting);
  CHECK(lease.Actors ==
        std::map<std::string, History::Position>{{"d1", acting}});
}

TEST_CASE(
    "acting holder, daemon joined that its lease does not name, renews at "
    "once and names the join") {
  Lease::Watch watch;
  watch.Seen = {"d1", 90, 100, 1000, 70, {}};
  watch.SeenAt = At;
  watch.HeldFence = 90;
  watch.HeldUntil = At + Window;
  watch.NewestMember = 70;
  CHECK_FALSE(Lease::nextChange(watch, Duty, "d1", OnePercent, At));
  watch.NewestMember = 120;
  auto change = Lease::nextChange(watch, Duty, "d1", OnePercent, At);
  REQUIRE(change);
  CHECK(change->ExpectedRenewal == 120);
}

TEST_CASE("daemon that has not acted yet, renewal, does not say that it acts") {
  Lease::Watch watch;
  watch.Seen = {"d1", 90, 90, 1000, 70, {}};
  watch.HeldFence = 90;
  watch.SeenAt = At;
  watch.ActsFrom = At + Window;
  auto change = Lease::nextChange(watch, Duty, "d1", OnePercent, At);
  REQUIRE(change);
  CHECK(change->Action == History::LeaseAction::Renew);
  CHECK(change->ExpectedRenewal == 0);
  Lease::abandon(watch);
  watch.ActsFrom = At;
  CHECK(Lease::nextChange(watch, Duty, "d1", OnePercent, At)->ExpectedRenewal ==
        90);
}
