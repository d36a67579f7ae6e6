#include "placementfixture.h"
#include "plainplan.h"

#include <random>

using namespace PlacementTest;

TEST_CASE_FIXTURE(PlacementFixture,
                  "round is due at a change, at news of an engine and at a "
                  "deadline, not otherwise") {
  addEngine("e0", "a");
  addModel("m", 2);
  uint64_t mark = changeMark(State);
  demand("m");
  CHECK(changeMark(State) != mark);
  round();
  mark = changeMark(State);
  append(History::LeaseChange());
  CHECK(changeMark(State) == mark);
  const std::string &id = State.Replicas.begin()->first;
  Engine::Report next = Known.Reports["e0"].Content;
  auto news = [&] { return isNews(Known, State, Rules, "e0", next); };
  next.Models[0].Running = Rules.BusyRequests - 1;
  next.Models[0].Served = 5;
  CHECK_FALSE(news());
  SUBCASE("busy") { next.Models[0].Running = Rules.BusyRequests; }
  SUBCASE("lost") { next.Models.clear(); }
  SUBCASE("phase") { next.Models[0].Phase = Engine::HeldPhase::Loading; }
  SUBCASE("memory") { next.MemoryUsedMb = 1; }
  SUBCASE("checkpoint") { next.CachedOnDisk = {"w/m"}; }
  SUBCASE("first report") { Known.Reports.clear(); }
  SUBCASE("drained") { Known.Drains[id] = {}; }
  SUBCASE("outcome to settle") { Known.Orders[id].OutcomeUnknown = true; }
  CHECK(news());
  auto due = [&] { return nextDue(State, Known, Rules, Now) - Now; };
  Now += Rules.LoadInterval;
  CHECK(due() == Rules.LookPeriod);
  Known.Drains[id] = {Now + std::chrono::milliseconds(300),
                      Now + std::chrono::milliseconds(900),
                      {}};
  CHECK(due() == std::chrono::milliseconds(300));
  Known.Orders[id].RetryAt = Now + std::chrono::milliseconds(200);
  CHECK(due() == std::chrono::milliseconds(200));
  Known.LastStoreLoad =
      Now + std::chrono::milliseconds(100) - Rules.LoadInterval;
  CHECK(due() == std::chrono::milliseconds(200));
  State.Demands["m"] = 1;
  CHECK(due() == std::chrono::milliseconds(100));
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "random demands, any seed, never overcommit an engine") {
  for (int i = 0; i < 3; ++i)
    addEngine("e" + std::to_string(i), std::to_string(i));
  for (int i = 0; i < 12; ++i) {
    addModel("m" + std::to_string(i));
    addAdapter("a" + std::to_string(i), "m" + std::to_string(i));
  }
  for (uint32_t seed = 1; seed <= 5; ++seed) {
    std::mt19937 random(seed);
    CAPTURE(seed);
    for (int i = 0; i < 300; ++i) {
      demand((random() % 2 ? "m" : "a") + std::to_string(random() % 12));
      round();
      Now += std::chrono::milliseconds(random() % 20000);
      for (const auto &[name, endpoint] : State.Endpoints)
        REQUIRE(endpoint.ChargedMb <= endpoint.MemoryMb);
    }
  }
  CHECK(Known.AllGaps.total() > 100);
}

namespace {

/// A fleet that is driven at random through all that a round decides on.
struct RandomFleet : PlacementFixture {
  static constexpr uint32_t Engines = 6;
  static constexpr uint32_t Models = 10;
  std::mt19937 Random;

  explicit RandomFleet(uint32_t seed) : Random(seed) {
    for (uint32_t i = 0; i < Engines; ++i)
      addEngine("e" + std::to_string(i), std::to_string(i % 3));
    for (uint32_t i = 0; i < Models; ++i) {
      addModel("m" + std::to_string(i), 1 + draw(3));
      State.Table.Models["m" + std::to_string(i)].MemoryMb += 1000ULL * draw(4);
      addAdapter("a" + std::to_string(i), "m" + std::to_string(i % 3));
    }
  }
  uint32_t draw(uint32_t n) { return static_cast<uint32_t>(Random() % n); }
  std::string anyModel() {
    return (draw(2) ? "m" : "a") + std::to_string(draw(Models));
  }
  void disturb() {
    std::string engine = "e" + std::to_string(draw(Engines));
    if (draw(8) == 0)
      addEngine(engine, std::to_string(draw(3)),
                draw(2) ? History::EndpointLife::Leaving
                        : History::EndpointLife::Live);
    Engine::Report &report = Known.Reports[engine].Content;
    for (Engine::HeldModel &it : report.Models)
      it.Running = draw(3) == 0 ? draw(2 * Rules.BusyRequests) : 0;
    if (draw(10) == 0)
      report.Models.clear();
    if (draw(6) == 0)
      noteNoReport(Known, "e" + std::to_string(draw(Engines)), Now);
    for (auto &[id, it] : Known.Drains) {
      Known.Orders[id].OutcomeUnknown = draw(4) == 0;
      if (draw(3) == 0)
        noteUnloadSent(Known, id, Now);
    }
    report.CachedInMemory = {"w/m" + std::to_string(draw(Models))};
    report.CachedOnDisk = {"w/" + anyModel(), "w/" + anyModel()};
    Known.WaitingFor[anyModel()] = {
        draw(5), Now + std::chrono::seconds(draw(9)) - std::chrono::seconds(2),
        "t" + std::to_string(draw(3))};
  }
  /// Carries out most decisions; loads and unloads end later or not at all.
  void carryOut(const std::vector<Decision> &decisions) {
    for (const Decision &it : decisions) {
      bool load = it.Kind == DecisionKind::Load;
      if (draw(6) == 0 || !change(load ? ReplicaAction::DecideLoad
                                       : ReplicaAction::DecideUnload,
                                  it)
                               .Accepted)
        continue;
      if (load)
        noteLoadStart(Known, State, it, Now);
    }
    std::map<std::string, History::Replica> replicas = State.Replicas;
    for (const auto &[id, it] : replicas)
      if (it.Phase != History::ReplicaPhase::Ready && draw(2))
        change(it.Phase == History::ReplicaPhase::Loading ? ReplicaAction::Ready
                                                          : ReplicaAction::Gone,
               {DecisionKind::Load, id, it.Model, it.Endpoint, false});
    noteDrains(Known, State, std::chrono::milliseconds(300),
               std::chrono::seconds(8), Now);
    if (draw(4))
      report();
    for (auto &[id, it] : Known.Drains)
      if (draw(2))
        keep(State.Replicas.at(id));
  }
  void keep(const History::Replica &replica) {
    Engine::Report &report = Known.Reports[replica.Endpoint].Content;
    report.CachedInMemory.push_back("w/" + replica.Model);
    demand(replica.Model);
  }
  size_t awaited() const {
    size_t n = 0;
    for (const auto &[id, it] : State.Replicas)
      n += State.Demands.count(it.Model) &&
                   isWorthAwaiting(State, Known, Rules, id, Now)
               ? 1
               : 0;
    return n;
  }
};

std::string textOf(const std::vector<Decision> &decisions) {
  std::string text;
  for (const Decision &it : decisions) {
    bool load = it.Kind == DecisionKind::Load;
    text += (load ? "load " : "unload " + it.ReplicaId + " ") + it.Model +
            " on " + it.Endpoint + (it.FromStore ? " from store" : "") + "; ";
  }
  return text;
}

} // namespace

TEST_CASE("round with indexes, any seed, decides as one without") {
  size_t loads = 0;
  size_t unloads = 0;
  size_t awaited = 0;
  for (uint32_t seed = 1; seed <= 40; ++seed) {
    RandomFleet fleet(seed);
    CAPTURE(seed);
    for (int i = 0; i < 150; ++i) {
      CAPTURE(i);
      fleet.demand(fleet.anyModel());
      fleet.disturb();
      auto decisions = fleet.plan();
      awaited += fleet.awaited();
      REQUIRE(textOf(decisions) == textOf(planPlainly(fleet.State, fleet.Known,
                                                      fleet.Rules, fleet.Now)));
      for (const Decision &it : decisions)
        ++(it.Kind == DecisionKind::Load ? loads : unloads);
      fleet.carryOut(decisions);
      fleet.Now += std::chrono::milliseconds(
          fleet.draw(fleet.draw(3) == 0 ? 400 : 20000));
    }
  }
  CHECK(loads > 1000);
  CHECK(unloads > 1000);
  CHECK(awaited > 100);
}
