#include "placementfixture.h"

using namespace PlacementTest;

namespace {

/// Two engines; e0 unloads the model and keeps its checkpoint in memory.
struct UnloadingModel : PlacementFixture {
  std::string Id;

  UnloadingModel() {
    addEngine("e0", "a");
    addModel("m");
    demand("m");
    round();
    Id = State.Replicas.begin()->first;
    noteReady(Known, "m", Now);
    Known.StoreLoadTimes.clear();
    Now += Rules.LoadInterval;
    Known.Reports["e0"].Content.CachedInMemory = {"w/m"};
    addEngine("e1", "a");
    report();
    change(ReplicaAction::DecideUnload, {{}, Id, "m", "e0", false});
    noteDrains(Known, State, std::chrono::milliseconds(300),
               std::chrono::seconds(30), Now);
    demand("m");
  }
  bool waits() { return plan().empty(); }
};

} // namespace

TEST_CASE_FIXTURE(UnloadingModel,
                  "model called while it is unloaded waits for that unload and "
                  "goes back to the engine that keeps the checkpoint") {
  CHECK(waits());
  Now += std::chrono::milliseconds(400);
  noteUnloadSent(Known, Id, Now);
  Now += std::chrono::milliseconds(100);
  CHECK(waits());
  Known.Reports["e0"].Content.MemoryUsedMb = EngineMb;
  History::Replica gone = State.Replicas.at(Id);
  change(ReplicaAction::Gone, {{}, Id, "m", "e0", false});
  noteGone(Known, Id, gone, Now);
  CHECK(plan().at(0).Endpoint == "e0");
  CHECK(Known.UnloadTime == std::chrono::milliseconds(100));
}

TEST_CASE_FIXTURE(UnloadingModel, "model called while it is unloaded is loaded "
                                  "elsewhere where it must not wait") {
  REQUIRE(waits());
  SUBCASE("expected end is past") {
    noteUnloadSent(Known, Id, Now);
    Now += Rules.UnloadPatience;
  }
  SUBCASE("order was never sent") { Now += std::chrono::seconds(32); }
  SUBCASE("outcome is unknown") { Known.Orders[Id].OutcomeUnknown = true; }
  SUBCASE("another daemon may send orders") {
    State.Replicas[Id].Senders["d1"] = 1;
  }
  SUBCASE("engine leaves") {
    addEngine("e0", "a", History::EndpointLife::Leaving);
  }
  SUBCASE("engine does not keep the checkpoint") {
    Known.Reports["e0"].Content.CachedInMemory.clear();
  }
  SUBCASE("requests run for longer than a load from the store takes") {
    report(1);
  }
  SUBCASE("load from the store is faster") {
    Known.StoreLoadTimes["m"] = std::chrono::milliseconds(100);
  }
  SUBCASE("engine will have no room") {
    Known.Reports["e0"].Content.MemoryUsedMb = EngineMb;
    State.Table.Models["m"].MemoryMb += 1;
  }
  auto decisions = plan();
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].Kind == DecisionKind::Load);
  CHECK(decisions[0].Endpoint == "e1");
}

TEST_CASE_FIXTURE(UnloadingModel, "load from the store under way, far slower "
                                  "than the measured ones, is not faster") {
  addModel("slow");
  Known.StoreLoadTimes["m"] = std::chrono::milliseconds(50);
  noteLoadStart(Known, State, {{}, "s", "slow", "e1", true}, Now);
  Now += Rules.LoadInterval;
  CHECK(waits());
}
