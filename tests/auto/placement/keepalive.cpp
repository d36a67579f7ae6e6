#include "placementfixture.h"

using namespace PlacementTest;

TEST_CASE_FIXTURE(PlacementFixture,
                  "keep-alive follows the model's own gaps and the weights") {
  addEngine("e0", "a");
  addModel("steady");
  addModel("rare");
  History::Replica steady{"steady", "e0", ModelMb, {}, 0, "", {}};
  History::Replica rare{"rare", "e0", ModelMb, {}, 0, "", {}};
  for (int i = 0; i < 50; ++i) {
    Known.Uses["steady"].Gaps.add(20);
    Known.Uses["rare"].Gaps.add(30000);
  }
  CHECK(Rules.Idle.KeepUntil(Known, State, Rules, steady, 12) > 20);
  CHECK(Rules.Idle.KeepUntil(Known, State, Rules, rare, 3) < 20);
  Rules.WeightColdStart = 0;
  CHECK(Rules.Idle.KeepUntil(Known, State, Rules, steady, 12) <= 12);
}

TEST_CASE_FIXTURE(
    PlacementFixture,
    "model after a steady stream, known gaps are all long, is kept "
    "for its share of a cold start and no longer") {
  addEngine("e0", "a");
  addModel("m");
  Rules.LoadTime = Utils::Milliseconds(8000);
  for (int i = 0; i < 50; ++i)
    Known.Uses["m"].Gaps.add(30000);
  demand("m");
  round();
  for (int i = 0; i < 20; ++i) {
    Now += std::chrono::milliseconds(500);
    report(1);
    CHECK(plan().empty());
  }
  Now += std::chrono::seconds(5);
  report();
  CHECK(plan().empty());
  Now += std::chrono::seconds(60);
  report();
  CHECK(plan().size() == 1);
}

TEST_CASE_FIXTURE(PlacementFixture, "model that loads in a moment, called now "
                                    "and then, is not unloaded between calls") {
  addEngine("e0", "a");
  addModel("m");
  Known.LoadTimes["m"] = Utils::Milliseconds(300);
  for (int i = 0; i < 50; ++i)
    Known.Uses["m"].Gaps.add(30000);
  demand("m");
  round();
  for (int i = 0; i < 5; ++i) {
    report(1);
    CHECK(plan().empty());
    Now += std::chrono::seconds(8);
    report();
    CHECK(plan().empty());
  }
  Now += std::chrono::seconds(60);
  report();
  CHECK(plan().size() == 1);
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "replica in steady use, reports seconds apart, is kept and "
                  "its stream is no gap") {
  addEngine("e0", "a");
  addModel("m");
  Known.LoadTimes["m"] = Utils::Milliseconds(1);
  Rules.KeepAlive = Utils::Milliseconds(1);
  demand("m");
  round();
  double gaps = Known.AllGaps.total();
  for (uint64_t served = 1; served < 5; ++served) {
    report();
    Known.Reports["e0"].Content.Models[0].Served = served;
    CHECK(plan().empty());
    CHECK(plan().empty());
    Now += std::chrono::seconds(4);
    CHECK(plan().empty());
  }
  CHECK(Known.AllGaps.total() == gaps);
  Now += Rules.ReportLifetime;
  CHECK(plan().size() == 1);
}
