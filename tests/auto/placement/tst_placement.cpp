#include "placementfixture.h"

#include <algorithm>

using namespace PlacementTest;

TEST_CASE_FIXTURE(PlacementFixture,
                  "demand of many daemons for one model is one decision") {
  addEngine("e0", "a");
  addEngine("e1", "b");
  addModel("m", 4);
  for (int i = 0; i < 5; ++i)
    demand("m");
  CHECK(plan().size() == 1);
  round();
  demand("m");
  CHECK(State.Demands.empty());
  CHECK(plan().empty());
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "gone, former holder not settled, is refused where endpoints "
                  "ignore fencing") {
  addEngine("e0", "a");
  addModel("m");
  demand("m");
  Decision load = plan().at(0);
  History::Position decided = change(ReplicaAction::DecideLoad, load).At;
  History::LeaseChange claim;
  claim.ChangeId = "takeover";
  claim.Duty = History::Constants::PlacementDuty;
  claim.Holder = "d1";
  claim.ExpectedFence = claim.ExpectedRenewal = fence();
  REQUIRE(append(claim).Accepted);

  History::ReplicaChange step;
  step.Fence = fence();
  step.Actor = "d1";
  step.ReplicaId = load.ReplicaId;
  auto record = [&](ReplicaAction action) {
    step.ChangeId = "s" + std::to_string(NextId++);
    step.Action = action;
    return append(step).Accepted;
  };
  CHECK(record(ReplicaAction::DecideUnload));
  CHECK_FALSE(record(ReplicaAction::Gone));
  CHECK(State.Endpoints.at("e0").ChargedMb == ModelMb);
  step.Actor = Self;
  step.Settles = decided;
  CHECK(record(ReplicaAction::Settled));
  step.Actor = "d1";
  CHECK(record(ReplicaAction::Gone));
  CHECK(State.Endpoints.at("e0").ChargedMb == 0);
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "load goes to the engine that keeps the checkpoint") {
  for (const char *name : {"e0", "e1", "e2"})
    addEngine(name, "a");
  addModel("m");
  Known.Reports["e1"].Content.CachedOnDisk = {"w/m"};
  Known.Reports["e2"].Content.CachedInMemory = {"w/m"};
  demand("m");
  CHECK(plan().at(0).Endpoint == "e2");
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "second replica goes to another failure domain") {
  addEngine("e0", "a");
  addEngine("e1", "a");
  addEngine("e2", "b");
  addModel("m", 2);
  demand("m");
  round();
  std::string first = endpointOf("m");
  report(Rules.BusyRequests);
  Now += std::chrono::seconds(1);
  auto decisions = plan();
  REQUIRE(decisions.size() == 1);
  CHECK(State.Endpoints.at(decisions[0].Endpoint).FailureDomain !=
        State.Endpoints.at(first).FailureDomain);
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "adapter without its base loads the base, then beside it") {
  addEngine("e0", "a");
  addEngine("e1", "b");
  addModel("base");
  addAdapter("lora", "base");
  demand("lora");
  CHECK(round().at(0).Model == "base");
  CHECK(round().at(0).Model == "lora");
  CHECK(endpointOf("lora") == endpointOf("base"));
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "weight store, many first requests, keeps its limits") {
  for (int i = 0; i < 10; ++i)
    addEngine("e" + std::to_string(i), "a");
  for (int i = 0; i < 10; ++i) {
    addModel("m" + std::to_string(i));
    demand("m" + std::to_string(i));
  }
  Known.WaitingFor["m7"] = {1, Now + std::chrono::seconds(3), "t"};
  size_t loads = 0;
  for (int i = 0; i < 20; ++i) {
    auto decisions = plan();
    CHECK(decisions.size() <= 1);
    for (const Decision &it : decisions) {
      CHECK((loads > 0 || it.Model == "m7"));
      ++loads;
      change(ReplicaAction::DecideLoad, it);
      noteLoadStart(Known, State, it, Now);
    }
    Now += std::chrono::milliseconds(100);
  }
  CHECK(loads == Rules.ModelLoadsAtOnce);
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "leaving engine, replica in use, is left and replaced") {
  addEngine("e0", "a");
  addModel("m", 2);
  demand("m");
  round();
  addEngine("e1", "b");
  addEngine("e0", "a", History::EndpointLife::Leaving);
  Now += std::chrono::seconds(1);
  auto decisions = round();
  CHECK(decisions.size() == 2);
  CHECK(endpointOf("m") == "e1");
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "restarted engine, replica not reported, is loaded again") {
  addEngine("e0", "a");
  addModel("m");
  demand("m");
  round();
  Known.Reports["e0"].Content.Models.clear();
  Now += std::chrono::seconds(1);
  CHECK(round().at(0).Kind == DecisionKind::Unload);
  CHECK(round().at(0).Kind == DecisionKind::Load);
}
