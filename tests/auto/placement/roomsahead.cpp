#include "placementfixture.h"

using namespace PlacementTest;

namespace {

/// The morning: every engine holds idle models, and first requests for others
/// arrive together.
struct FullFleet : PlacementFixture {
  static constexpr int Engines = 3;

  FullFleet() {
    for (int i = 0; i < Engines; ++i)
      addEngine("e" + std::to_string(i), "a");
    for (int i = 0; i < 2 * Engines; ++i) {
      addModel("idle" + std::to_string(i));
      demand("idle" + std::to_string(i));
    }
    for (int i = 0; i < 2 * Engines; ++i) {
      Now += Rules.LoadInterval;
      round();
    }
    REQUIRE(State.Replicas.size() == 2 * Engines);
    Now += std::chrono::seconds(5);
    report();
    for (int i = 0; i < 2 * Engines; ++i)
      addModel("wanted" + std::to_string(i));
  }
  size_t unloadsFor(int wanted) {
    for (int i = 0; i < wanted; ++i)
      demand("wanted" + std::to_string(i));
    size_t n = 0;
    for (const Decision &it : plan())
      n += it.Kind == DecisionKind::Unload ? 1 : 0;
    return n;
  }
  /// Decides, and orders the unloads without their end.
  void beginUnloads() {
    for (const Decision &it : plan())
      if (it.Kind == DecisionKind::Unload)
        REQUIRE(change(ReplicaAction::DecideUnload, it).Accepted);
  }
};

/// The same in logical time: a decided load or unload ends after a while.
struct TimedFleet : FullFleet {
  static constexpr Utils::Milliseconds Tick{20};
  /// As the engine stand-ins take, with the drain before an unload.
  static constexpr Utils::Milliseconds LoadTime{1000};
  static constexpr Utils::Milliseconds UnloadTime{550};

  struct UnderWay {
    Utils::TimePoint EndsAt;
    Decision What;
  };

  void begin(const Decision &it) {
    bool load = it.Kind == DecisionKind::Load;
    REQUIRE(
        change(load ? ReplicaAction::DecideLoad : ReplicaAction::DecideUnload,
               it)
            .Accepted);
    if (load)
      noteLoadStart(Known, State, it, Now);
    Orders.push_back({Now + (load ? LoadTime : UnloadTime), it});
  }
  void endDue() {
    bool any = false;
    for (const UnderWay &it : Orders) {
      if (it.EndsAt > Now)
        continue;
      any = true;
      change(it.What.Kind == DecisionKind::Load ? ReplicaAction::Ready
                                                : ReplicaAction::Gone,
             it.What);
      if (it.What.Kind == DecisionKind::Load)
        ++Loaded;
    }
    std::erase_if(Orders, [&](const auto &it) { return it.EndsAt <= Now; });
    if (any)
      report();
  }
  /// Time until first requests for so many models have their replicas.
  Utils::Milliseconds timeToLoad(int wanted) {
    Utils::TimePoint begun = Now;
    for (int i = 0; i < wanted; ++i)
      demand("wanted" + std::to_string(i));
    while (Loaded < wanted && Now < begun + std::chrono::minutes(1)) {
      for (const Decision &it : plan())
        begin(it);
      Now += Tick;
      endDue();
    }
    return std::chrono::duration_cast<Utils::Milliseconds>(Now - begun);
  }

  std::vector<UnderWay> Orders;
  int Loaded = 0;
};

} // namespace

TEST_CASE_FIXTURE(TimedFleet, "full memory, first requests for several models, "
                              "are loaded as fast as the weight store allows") {
  Utils::Milliseconds bound =
      UnloadTime + 5 * Rules.LoadInterval + LoadTime + 6 * Tick;
  CHECK(timeToLoad(6) <= bound);
}

TEST_CASE_FIXTURE(TimedFleet, "full memory, room for one model at a time, is "
                              "slower than the weight store") {
  Rules.RoomsAhead = 1;
  Utils::Milliseconds bound =
      UnloadTime + 5 * Rules.LoadInterval + LoadTime + 6 * Tick;
  CHECK(timeToLoad(6) > bound);
}

TEST_CASE_FIXTURE(FullFleet, "full memory, first requests for several models, "
                             "room is made for as many as load at once") {
  CHECK(unloadsFor(1) == 1);
  CHECK(unloadsFor(3) == 3);
  CHECK(unloadsFor(6) == Rules.RoomsAhead);
}

TEST_CASE_FIXTURE(FullFleet, "full memory, room that is coming already, is "
                             "not made again") {
  REQUIRE(unloadsFor(3) == 3);
  beginUnloads();
  CHECK(plan().empty());
  CHECK(unloadsFor(6) == 1);
}

TEST_CASE_FIXTURE(FullFleet, "free memory held for the most urgent model, is "
                             "not taken by a smaller one") {
  State.Table.Models["wanted1"].MemoryMb = EngineMb - 2 * ModelMb - 2000;
  State.Table.Models["wanted0"].MemoryMb = ModelMb;
  demand("wanted0");
  demand("wanted1");
  Known.WaitingFor["wanted0"] = {1, Now + std::chrono::seconds(1), "t"};
  Known.WaitingFor["wanted1"] = {1, Now + std::chrono::seconds(9), "t"};
  std::string held;
  for (const Decision &it : plan())
    if (it.Kind == DecisionKind::Unload)
      held = it.Endpoint;
  REQUIRE(!held.empty());
  for (const Decision &it : plan())
    if (it.Kind == DecisionKind::Load) {
      CHECK(it.Model == "wanted1");
      CHECK(it.Endpoint != held);
    }
}

TEST_CASE_FIXTURE(FullFleet, "model whose load waits for the weight store, "
                             "keeps its room while others seek theirs") {
  change(
      ReplicaAction::DecideUnload,
      {DecisionKind::Unload, State.Replicas.begin()->first, "", "e0", false});
  change(ReplicaAction::Gone, {DecisionKind::Unload,
                               State.Replicas.begin()->first, "", "e0", false});
  REQUIRE(State.Replicas.size() == 2 * Engines - 1);
  report();
  Known.LastStoreLoad = Now;
  CHECK(unloadsFor(1) == 0);
  CHECK(unloadsFor(2) == 1);
}
