#include "placementfixture.h"

using namespace PlacementTest;

namespace {

/// Three engines, of which one holds a model in use and then answers no more.
struct SilentFleet : PlacementFixture {
  const std::vector<std::string> Names = {"e0", "e1", "e2"};

  SilentFleet() {
    for (const std::string &it : Names)
      addEngine(it, "a");
    addModel("m", 2);
    demand("m");
    round();
    report(1);
    noteUse(Known, State, Now);
    Silent = endpointOf("m");
    noteNoReport(Known, Silent, Now);
  }
  std::vector<Decision> planAfter(Utils::Milliseconds time) {
    Now += time;
    return plan();
  }
  std::string Silent;
};

} // namespace

TEST_CASE_FIXTURE(SilentFleet, "engine that answers no reports, its model in "
                               "use is loaded elsewhere") {
  CHECK(planAfter(Rules.SilentAfter - Utils::Milliseconds(1)).empty());
  auto decisions = planAfter(Utils::Milliseconds(1));
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].Kind == DecisionKind::Load);
  CHECK(decisions[0].Endpoint != Silent);
}

TEST_CASE_FIXTURE(SilentFleet, "round is due when an engine counts as silent") {
  CHECK(nextDue(State, Known, Rules, Now) <= Now + Rules.LookPeriod);
  Now += Rules.SilentAfter - Utils::Milliseconds(300);
  CHECK(nextDue(State, Known, Rules, Now) == Now + Utils::Milliseconds(300));
}

TEST_CASE_FIXTURE(SilentFleet, "engine that answers again in time, nothing is "
                               "loaded elsewhere") {
  report(1);
  CHECK(planAfter(Rules.SilentAfter * 2).empty());
}

TEST_CASE_FIXTURE(SilentFleet, "engine that left while silent and is back, is "
                               "asked anew before it counts as silent") {
  addEngine(Silent, "a", History::EndpointLife::Gone);
  planAfter(Rules.SilentAfter);
  addEngine(Silent, "a");
  CHECK(silentEngines(State, Known, Rules, Now).empty());
}

TEST_CASE_FIXTURE(SilentFleet, "model of one replica at most, is not loaded "
                               "beside the one that may be back") {
  State.Table.Models["m"].MaxReplicas = 1;
  CHECK(planAfter(Rules.SilentAfter).empty());
}

TEST_CASE_FIXTURE(SilentFleet, "most engines answer no reports, nothing is "
                               "loaded: the holder is cut off") {
  std::string answering = Silent == "e2" ? "e0" : "e2";
  for (const std::string &it : Names)
    if (it != answering)
      noteNoReport(Known, it, Now);
  CHECK(planAfter(Rules.SilentAfter).empty());
}

TEST_CASE_FIXTURE(SilentFleet, "first request, no load goes to an engine that "
                               "answers no reports") {
  Now += Rules.SilentAfter;
  for (const char *model : {"n0", "n1", "n2", "n3", "n4"}) {
    addModel(model);
    demand(model);
    Now += Rules.LoadInterval;
    for (const Decision &it : round())
      CHECK(it.Endpoint != Silent);
    noteNoReport(Known, Silent, Now - Rules.SilentAfter);
  }
}
