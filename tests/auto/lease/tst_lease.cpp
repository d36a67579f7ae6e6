#include "leaseworld.h"

#include <doctest/doctest.h>

#include <deque>
#include <random>
#include <unordered_set>
#include <vector>

using namespace LeaseWorld;

namespace {

constexpr Utils::Milliseconds LongTick(330);
constexpr Utils::Milliseconds ShortTick(110);
constexpr size_t MaxWorlds = 60000;
constexpr int RandomRuns = 6000;
constexpr int RandomSteps = 1500;
/// Below this the seeded search hardly reaches the states it is meant for.
constexpr uint32_t FewestUnloads = 300;
constexpr uint64_t FirstSeed = 20261;

struct Found {
  std::string Broken;
  size_t Worlds = 0;
  size_t Depth = 0;
};

struct Run {
  std::string Broken;
  uint32_t Unloads = 0;
};

void require(World &world, std::initializer_list<std::pair<Act, int>> acts) {
  for (auto [act, daemon] : acts)
    REQUIRE(perform(world, act, daemon, LongTick));
}

/// d0 holds the duty and d1 has seen its lease.
World makeHeldWorld(bool checksFencing) {
  World world = makeWorld(checksFencing);
  require(world, {{Act::StepLease, 0},
                  {Act::AppendLease, 0},
                  {Act::AnswerLease, 0},
                  {Act::ReadLog, 1},
                  {Act::StepLease, 1}});
  return world;
}

/// d0 has decided a load and is paused before it sends the order, while d1 has
/// taken the duty over.
World makeTakenOverWorld(bool checksFencing) {
  World world = makeHeldWorld(checksFencing);
  require(world, {{Act::Decide, 0},
                  {Act::AppendDuty, 0},
                  {Act::AnswerDuty, 0},
                  {Act::StepDuty, 0},
                  {Act::Tick, 0},
                  {Act::Tick, 0},
                  {Act::ReadLog, 1},
                  {Act::StepLease, 1},
                  {Act::AppendLease, 1},
                  {Act::AnswerLease, 1}});
  return world;
}

/// The same, and d1 has adopted the replica and decided to unload it.
World makeReversedWorld(bool checksFencing) {
  World world = makeTakenOverWorld(checksFencing);
  require(world, {{Act::StepDuty, 1},
                  {Act::AppendDuty, 1},
                  {Act::AnswerDuty, 1},
                  {Act::Decide, 1},
                  {Act::AppendDuty, 1},
                  {Act::AnswerDuty, 1}});
  return world;
}

/// Visits every world that can be reached, nearest first, until enough.
Found searchAll(World first, const std::vector<Act> &acts) {
  Found found;
  std::unordered_set<uint64_t> seen = {fingerprint(first)};
  std::deque<std::pair<World, size_t>> queue;
  queue.emplace_back(std::move(first), 0);
  while (!queue.empty() && seen.size() < MaxWorlds) {
    auto [world, depth] = std::move(queue.front());
    queue.pop_front();
    found.Depth = depth;
    for (Act act : acts)
      for (int daemon = 0; daemon < 2; ++daemon) {
        World next = world;
        if (!perform(next, act, daemon, ShortTick) ||
            !seen.insert(fingerprint(next)).second)
          continue;
        found.Broken = brokenInvariant(next);
        found.Worlds = seen.size();
        if (!found.Broken.empty())
          return found;
        queue.emplace_back(std::move(next), depth + 1);
      }
  }
  return found;
}

/// Weight of each act at each daemon, drawn anew for each run, so that some
/// runs hardly know one act and others little else (swarm testing, Groce et
/// al.).
std::vector<double> drawWeights(std::mt19937_64 &random) {
  constexpr double choices[] = {0.05, 1, 1, 1, 1, 2, 4, 8};
  std::vector<double> weights;
  for (int act = 0; act < static_cast<int>(Act::Count); ++act)
    for (int daemon = 0; daemon < 2; ++daemon) {
      auto it = static_cast<Act>(act);
      bool kills = it == Act::KillDaemon || it == Act::KillEngine;
      double scale = kills ? 0.01 : it == Act::Tick ? 0.2 : 1;
      weights.push_back(choices[random() % 8] * scale);
    }
  return weights;
}

Run searchRandom(uint64_t seed, World world) {
  std::mt19937_64 random(seed);
  std::vector<double> weights = drawWeights(random);
  std::discrete_distribution<int> pick(weights.begin(), weights.end());
  constexpr int ticks[] = {400, 60, 20, 10, 5};
  Run run;
  for (int i = 0; i < RandomSteps && run.Broken.empty(); ++i) {
    int it = pick(random);
    int tick = ticks[std::min<uint64_t>(random() % 24, 4)];
    if (perform(world, static_cast<Act>(it / 2), it % 2,
                Utils::Milliseconds(tick)))
      run.Broken = brokenInvariant(world);
  }
  run.Unloads = world.Unloads;
  return run;
}

const std::vector<Act> LeaseActs = {
    Act::Tick,        Act::ReadLog,      Act::StepLease, Act::AppendLease,
    Act::AnswerLease, Act::AbandonLease, Act::AppendLate};
const std::vector<Act> OrderActs = {
    Act::ReadLog,    Act::StepDuty,         Act::Decide,      Act::AppendDuty,
    Act::AnswerDuty, Act::SendOrder,        Act::HandleOrder, Act::LoseAnswer,
    Act::ReadReport, Act::ReadLaggingReport};
const std::vector<Act> LateActs = {
    Act::StepDuty,    Act::Decide,     Act::AppendDuty, Act::AnswerDuty,
    Act::AbandonDuty, Act::AppendLate, Act::SendOrder,  Act::HandleOrder};

void checkAll(World first, const std::vector<Act> &acts) {
  Found found = searchAll(std::move(first), acts);
  MESSAGE("worlds " << found.Worlds << ", whole to depth " << found.Depth);
  CHECK(found.Broken == "");
}

void checkRandom(bool checksFencing) {
  uint32_t unloads = 0;
  for (uint64_t i = 0; i < RandomRuns; ++i) {
    uint64_t seed = FirstSeed + i;
    Run run = searchRandom(seed, i % 2 ? makeWorld(checksFencing)
                                       : makeReversedWorld(checksFencing));
    INFO("seed " << seed);
    REQUIRE(run.Broken == "");
    unloads += run.Unloads;
  }
  MESSAGE("replicas unloaded " << unloads);
  CHECK(unloads > FewestUnloads);
}

} // namespace

TEST_CASE("lease, all interleavings of claims and renewals, has one holder") {
  checkAll(makeWorld(true), LeaseActs);
  checkAll(makeHeldWorld(true), LeaseActs);
}

TEST_CASE("order, all interleavings after a takeover, stays within decisions") {
  SUBCASE("endpoint checks fencing") {
    checkAll(makeReversedWorld(true), OrderActs);
  }
  SUBCASE("endpoint ignores fencing") {
    checkAll(makeReversedWorld(false), OrderActs);
  }
}

TEST_CASE(
    "order, all interleavings with late records, stays within decisions") {
  checkAll(makeHeldWorld(true), LateActs);
  checkAll(makeReversedWorld(false), LateActs);
}

TEST_CASE(
    "settled record that arrives late, after a new adoption, ends nothing") {
  World world = makeHeldWorld(false);
  // d0 sends its load, loses the duty, settles, and takes the duty up again
  // while the record is on its way.
  require(world, {{Act::Decide, 0},
                  {Act::AppendDuty, 0},
                  {Act::AnswerDuty, 0},
                  {Act::StepDuty, 0},
                  {Act::SendOrder, 0},
                  {Act::HandleOrder, 0},
                  {Act::Tick, 0},
                  {Act::Tick, 0},
                  {Act::StepDuty, 0},
                  {Act::AbandonDuty, 0},
                  {Act::StepLease, 0},
                  {Act::Tick, 0},
                  {Act::Tick, 0},
                  {Act::Tick, 0},
                  {Act::StepLease, 0},
                  {Act::AppendLease, 0},
                  {Act::AnswerLease, 0}});
  // Some of these steps are not due when others were done already.
  const std::pair<Act, int> rest[] = {
      {Act::StepDuty, 0},  {Act::AppendDuty, 0},  {Act::AnswerDuty, 0},
      {Act::StepDuty, 0},  {Act::AppendLate, 0},  {Act::ReadLog, 1},
      {Act::ReadLog, 1},   {Act::ReadLog, 1},     {Act::ReadLog, 1},
      {Act::StepLease, 1}, {Act::Tick, 1},        {Act::Tick, 1},
      {Act::StepLease, 1}, {Act::AppendLease, 1}, {Act::AnswerLease, 1},
      {Act::StepDuty, 1},  {Act::AppendDuty, 1},  {Act::AnswerDuty, 1},
      {Act::Decide, 1},    {Act::AppendDuty, 1},  {Act::AnswerDuty, 1},
      {Act::StepDuty, 1},  {Act::SendOrder, 1},   {Act::HandleOrder, 1},
      {Act::StepDuty, 1},  {Act::AppendDuty, 1},  {Act::AnswerDuty, 1},
      {Act::SendOrder, 0}, {Act::HandleOrder, 0}};
  for (auto [act, daemon] : rest) {
    perform(world, act, daemon, LongTick);
    REQUIRE(brokenInvariant(world) == "");
  }
}

TEST_CASE("lease, seeded interleavings of all acts, keeps the invariants") {
  SUBCASE("endpoint checks fencing") { checkRandom(true); }
  SUBCASE("endpoint ignores fencing") { checkRandom(false); }
}

TEST_CASE("holder killed right after a renewal, its successor acts within the "
          "duration at the slowest clock and a round") {
  const Lease::Policy policy{Utils::Milliseconds(4000), 0.01};
  constexpr Utils::Milliseconds round(50);
  const Utils::TimePoint killed{std::chrono::hours(1)};
  History::State state;
  History::LeaseChange claim;
  claim.ChangeId = "first";
  claim.Duty = "limits";
  claim.Holder = "d0";
  claim.DurationMs = 4000;
  REQUIRE(History::apply(state, History::positionOf(1, 0), claim).Accepted);
  Lease::Watch watch;
  Utils::TimePoint now = killed;
  for (; !Lease::holds(watch, now); now += round) {
    REQUIRE(now <= killed + std::chrono::seconds(10));
    Lease::observe(watch, state.Leases["limits"], now);
    auto change = Lease::nextChange(watch, "limits", "d1", policy, now);
    if (!change)
      continue;
    auto at = History::positionOf(2, 0);
    Lease::settle(watch, *change, History::apply(state, at, *change), policy);
  }
  CHECK(now - killed > Utils::Milliseconds(4000));
  CHECK(now - killed <= Utils::Milliseconds(4040) + 2 * round);
}
