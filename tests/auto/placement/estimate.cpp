#include "placementfixture.h"

using namespace PlacementTest;

TEST_CASE_FIXTURE(PlacementFixture,
                  "estimate is nothing where no engine is large enough") {
  addEngine("e0", "a");
  addModel("m");
  CHECK(estimateReadyMs(State, Known, Rules, "m", Now) ==
        static_cast<uint32_t>(Rules.LoadTime.count()));
  State.Table.Models["m"].MemoryMb = EngineMb + 1;
  CHECK_FALSE(estimateReadyMs(State, Known, Rules, "m", Now));
}

TEST_CASE_FIXTURE(
    PlacementFixture,
    "estimate, a load is overdue, grows for it and for loads that "
    "come after it") {
  for (const char *name : {"e0", "e1", "e2"})
    addEngine(name, "a");
  for (const char *name : {"known", "slow", "next"})
    addModel(name);
  Known.LoadTimes["known"] = Utils::Milliseconds(300);
  CHECK(estimateReadyMs(State, Known, Rules, "slow", Now) == 300);
  demand("slow");
  change(ReplicaAction::DecideLoad, plan().at(0));
  noteLoads(Known, State, Now);
  Now += std::chrono::milliseconds(100);
  CHECK(estimateReadyMs(State, Known, Rules, "slow", Now) == 200);
  Now += std::chrono::milliseconds(2900);
  CHECK(estimateReadyMs(State, Known, Rules, "slow", Now) == 2700);
  CHECK(estimateReadyMs(State, Known, Rules, "next", Now) == 3000);
  auto [id, replica] = *State.Replicas.begin();
  change(ReplicaAction::Ready,
         {DecisionKind::Load, id, "slow", replica.Endpoint, false});
  noteLoads(Known, State, Now);
  CHECK(Known.LoadTimes.at("slow") == Utils::Milliseconds(3000));
  CHECK(estimateReadyMs(State, Known, Rules, "slow", Now) == 0);
}

TEST_CASE_FIXTURE(
    PlacementFixture,
    "estimate, loads wait, counts their waves through the store") {
  for (int i = 0; i < 12; ++i) {
    addEngine("e" + std::to_string(i), "a");
    addModel("m" + std::to_string(i));
    if (i < 9)
      demand("m" + std::to_string(i));
  }
  Known.LoadTimes["m11"] = Utils::Milliseconds(8000);
  CHECK(estimateReadyMs(State, Known, Rules, "m10", Now) == 8000 * (1 + 9 / 4));
}
