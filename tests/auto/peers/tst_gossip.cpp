#include "gossipworld/gossipworld.h"
#include "peers/replaywindow.h"

#include <doctest/doctest.h>

using namespace GossipWorld;
using namespace std::chrono_literals;
using Peers::MemberStatus;

namespace {

constexpr uint64_t Seed = 20260101;

/// Lets every daemon report the log as away since now, but for some.
void loseLog(World &world, const std::function<bool(size_t)> &reads) {
  TimePoint since = world.Now;
  world.BeforeTick = [&world, since, reads](size_t i) {
    Peers::LogReport report;
    if (reads(i))
      report.Newest = Peers::LogReading{world.Now, 7};
    else
      report.LostSince = since;
    world.Daemons[i].Machine->setReport(report);
  };
}

/// Age of the oldest statement that daemon i holds; nothing when one misses.
std::optional<Milliseconds> oldestReport(World &world, size_t i) {
  Milliseconds oldest(0);
  for (const auto &[name, at] : world.Daemons[i].Machine->outageReports()) {
    if (!at)
      return std::nullopt;
    oldest = std::max(
        oldest, std::chrono::duration_cast<Milliseconds>(world.Now - *at));
  }
  return oldest;
}

bool allKnowOutage(World &world, Milliseconds within) {
  for (size_t i = 0; i < world.Daemons.size(); ++i) {
    auto oldest = oldestReport(world, i);
    if (!oldest || *oldest > within)
      return false;
  }
  return true;
}

} // namespace

TEST_CASE("daemons that know two seeds all find each other") {
  for (size_t n : {8, 64, 420}) {
    CAPTURE(n);
    World world(n, Seed);
    CHECK(world.runUntil([&] { return world.allSee(n - 1); }, 120s));
    CHECK(world.Largest <= Peers::Constants::MaxDatagramBytes);
  }
}

TEST_CASE("daemon that stops without farewell is dead everywhere, under loss") {
  for (double loss : {0.0, 0.05, 0.2}) {
    CAPTURE(loss);
    World world(32, Seed);
    REQUIRE(world.runUntil([&] { return world.allSee(31); }, 60s));
    world.Loss = loss;
    world.Daemons[5].Up = false;
    auto allKnow = [&] {
      for (const Daemon &it : world.Daemons)
        if (it.Up)
          for (const Peers::MemberView &view : it.Machine->members())
            if (view.Name == world.Daemons[5].Name &&
                view.Status == MemberStatus::Alive)
              return false;
      return true;
    };
    CHECK(world.runUntil(allKnow, 30s));
  }
}

TEST_CASE("live daemons stay members while a fifth of datagrams is lost") {
  World world(32, Seed);
  REQUIRE(world.runUntil([&] { return world.allSee(31); }, 60s));
  world.Loss = 0.2;
  size_t dead = 0;
  for (int i = 0; i < 60; ++i) {
    world.run(2s);
    for (size_t k = 0; k < world.Daemons.size(); ++k)
      dead += world.count(k, MemberStatus::Dead);
  }
  CHECK(dead == 0);
}

TEST_CASE("daemon that is suspected wrongly refutes it with an incarnation") {
  World world(8, Seed);
  REQUIRE(world.runUntil([&] { return world.allSee(7); }, 60s));
  uint64_t before = world.Daemons[3].Machine->incarnation();
  world.Cut = [](size_t from, size_t to) { return from == 3 || to == 3; };
  auto suspected = [&] { return world.count(0, MemberStatus::Suspect) == 1; };
  REQUIRE(world.runUntil(suspected, 30s));
  world.Cut = nullptr;
  CHECK(world.runUntil([&] { return world.allSee(7); }, 30s));
  CHECK(world.Daemons[3].Machine->incarnation() > before);
}

TEST_CASE("daemon that one other cannot reach is kept by indirect probes") {
  World world(8, Seed);
  REQUIRE(world.runUntil([&] { return world.allSee(7); }, 60s));
  uint64_t before = world.Daemons[3].Machine->incarnation();
  world.Cut = [](size_t from, size_t to) { return from == 0 && to == 3; };
  world.run(60s);
  CHECK(world.allSee(7));
  CHECK(world.Daemons[3].Machine->incarnation() == before);
}

TEST_CASE("halves that were parted find each other again") {
  World world(16, Seed);
  REQUIRE(world.runUntil([&] { return world.allSee(15); }, 60s));
  world.Cut = [](size_t from, size_t to) { return (from < 8) != (to < 8); };
  REQUIRE(world.runUntil([&] { return world.allSee(7); }, 60s));
  world.Cut = nullptr;
  CHECK(world.runUntil([&] { return world.allSee(15); }, 60s));
}

TEST_CASE("daemon that says farewell has left at once, and may come back") {
  World world(8, Seed);
  REQUIRE(world.runUntil([&] { return world.allSee(7); }, 60s));
  world.send(2, world.Daemons[2].Machine->leave(world.Now, world.wallMs()));
  world.Daemons[2].Up = false;
  world.run(1s);
  for (size_t i = 0; i < 8; ++i)
    if (i != 2)
      CHECK(world.count(i, MemberStatus::Left) == 1);
  world.restart(2);
  CHECK(world.runUntil([&] { return world.allSee(7); }, 30s));
}

TEST_CASE("forged, cut, replayed and oversized datagrams change nothing") {
  World world(2, Seed);
  Gossip &target = *world.Daemons[0].Machine;
  auto sent = world.Daemons[1].Machine->onTick(world.Now, world.wallMs());
  REQUIRE(sent.size() == 1);
  const std::string &good = sent[0].Bytes;
  auto feed = [&](const std::string &bytes) {
    return target.onDatagram(bytes, world.Now, world.wallMs()).size();
  };
  for (size_t i = 0; i < good.size(); ++i) {
    std::string bad = good;
    bad[i] = static_cast<char>(bad[i] ^ 1);
    CHECK(feed(bad) == 0);
    CHECK(feed(good.substr(0, i)) == 0);
  }
  CHECK(feed(good + std::string(1200, 'x')) == 0);
  CHECK(target.members().empty());
  CHECK(target.counters().Forged == 2 * good.size());
  CHECK(target.counters().Oversized == 1);
  CHECK(feed(good) == 1);
  CHECK(feed(good) == 0);
  CHECK(target.counters().Replayed == 1);
  CHECK(target.members().size() == 1);
}

TEST_CASE("datagram older than the allowed skew of wall clocks is refused") {
  World world(2, Seed);
  auto sent = world.Daemons[1].Machine->onTick(world.Now, world.wallMs());
  Gossip &target = *world.Daemons[0].Machine;
  target.onDatagram(sent[0].Bytes, world.Now,
                    world.wallMs() + Peers::Constants::MaxWallSkewMs + 1);
  CHECK(target.counters().Replayed == 1);
}

TEST_CASE("replay window refuses datagrams of an earlier start") {
  Peers::Internal::ReplayWindow window;
  CHECK(window.admit({1, 10, 1000}, 1000));
  CHECK(window.admit({1, 8, 990}, 1000));
  CHECK_FALSE(window.admit({1, 8, 990}, 1000));
  CHECK(window.admit({2, 1, 1500}, 1500));
  CHECK_FALSE(window.admit({1, 11, 1010}, 1500));
  CHECK(window.admit({2, 400, 1600}, 1600));
  CHECK_FALSE(window.admit({2, 2, 1510}, 1600));
}

TEST_CASE("reading of the log reaches daemons that do not read, with its age") {
  World world(64, Seed);
  REQUIRE(world.runUntil([&] { return world.allSee(63); }, 60s));
  loseLog(world, [](size_t i) { return i == 9; });
  world.run(10s);
  for (const Daemon &it : world.Daemons) {
    if (it.Name == world.Daemons[9].Name)
      continue;
    const auto &reading = it.Machine->newestReading();
    REQUIRE(reading);
    CHECK(reading->End == 7);
    CHECK(world.Now - reading->At < 4s);
  }
}

TEST_CASE("answer that was long under way does not make a reading look new") {
  World world(2, Seed);
  REQUIRE(world.runUntil([&] { return world.allSee(1); }, 20s));
  world.Delay = [](size_t from, size_t) { return from == 1 ? 900ms : 1ms; };
  loseLog(world, [](size_t i) { return i == 1; });
  TimePoint lastRead = world.Now;
  world.run(3s);
  world.BeforeTick = nullptr;
  lastRead = world.Now;
  world.run(10s);
  const auto &reading = world.Daemons[0].Machine->newestReading();
  REQUIRE(reading);
  CHECK(reading->At <= lastRead);
}

TEST_CASE("log unavailable to all is known to all soon, under loss") {
  struct Row {
    size_t N;
    double Loss;
  };
  for (Row row : {Row{8, 0}, Row{64, 0.2}, Row{420, 0}}) {
    CAPTURE(row.N);
    World world(row.N, Seed);
    REQUIRE(world.runUntil([&] { return world.allSee(row.N - 1); }, 120s));
    world.Loss = row.Loss;
    loseLog(world, [](size_t) { return false; });
    world.run(8s);
    CHECK(allKnowOutage(world, row.N == 8 ? 2500ms : 3500ms));
    CHECK(world.Largest <= Peers::Constants::MaxDatagramBytes);
  }
}

TEST_CASE(
    "statement that the log is unavailable ages when its daemon is silent") {
  World world(8, Seed);
  REQUIRE(world.runUntil([&] { return world.allSee(7); }, 60s));
  std::map<std::string, Address> roster;
  for (const Daemon &it : world.Daemons)
    roster[it.Name] = it.Where;
  for (Daemon &it : world.Daemons)
    it.Machine->setRoster(roster);
  loseLog(world, [](size_t) { return false; });
  REQUIRE(world.runUntil([&] { return allKnowOutage(world, 3000ms); }, 10s));
  TimePoint silentFrom = world.Now;
  world.Cut = [](size_t from, size_t to) { return from == 4 || to == 4; };
  world.run(40s);
  auto reports = world.Daemons[0].Machine->outageReports();
  REQUIRE(reports.count(world.Daemons[4].Name) == 1);
  auto at = reports.at(world.Daemons[4].Name);
  CHECK((!at || *at <= silentFrom));
}
