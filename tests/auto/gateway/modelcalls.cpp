#include "gatewayworld.h"

#include "gateway/fleetholder.h"

#include <doctest/doctest.h>
#include <utility>

using namespace std::chrono_literals;
using Fleet::RouteKind;
using Residency::Change;

namespace {

/// A gateway, not started yet, before one model engine that holds m0 and m1 and
/// has room for no third model.
struct EngineWorld : GatewayWorld {
  EngineWorld() {
    addEngine("s", 4);
    addRoute("/model/", "s", RouteKind::Streaming);
    addEndpoint("s", {"m0", "m1"});
    Reports[0].OnDisk = {"m0", "m1", "m2", "m3"};
  }
  FakeEngine &engine() { return Engines["i-1"]; }
  RawCaller &callModel(const std::string &model) {
    Scripts.push_back({answer(200, "id: 1\n\n")});
    return call("/model/", "Model: " + model + "\r\n");
  }
};

struct OneEngine : EngineWorld {
  OneEngine() { start(); }
};

/// A gateway on a VM whose earlier process held the duty and exchanged m1 for
/// m2; the engine's report does not show that yet.
struct Successor : EngineWorld {
  Successor() {
    OneEngine before;
    before.runUntil([&] { return before.DutyRecord.has_value(); });
    DutyRecord = before.DutyRecord;
    DutyEnd = before.DutyEnd;
    engine().OldReport.emplace();
    engine().OldReport->Models = {{"m0", 1, {}}, {"m1", 1, {}}};
    engine().Models = {"m0", "m2"};
    engine().Orders = 2;
    OnDutyAppended = [this] {
      if (!std::exchange(Claimed, true))
        after(200ms, [this] { engine().OldReport.reset(); });
    };
    start();
  }
  bool Claimed = false;
};

} // namespace

TEST_CASE_FIXTURE(OneEngine, "call of a model that no engine holds waits until "
                             "it is loaded in place of another") {
  CHECK(statusOf(callModel("m2")) == 200);
  REQUIRE(engine().Taken.size() == 2);
  CHECK(engine().Taken[0].What == Change::UnloadModel);
  CHECK(engine().Taken[1].What == Change::LoadModel);
  CHECK(engine().Taken[1].Model == "m2");
}

TEST_CASE_FIXTURE(OneEngine, "calls of one model that come together load it "
                             "once") {
  std::vector<RawCaller *> callers;
  callers.reserve(5);
  for (int i = 0; i < 5; ++i)
    callers.push_back(&callModel("m2"));
  for (RawCaller *it : callers)
    CHECK(statusOf(*it) == 200);
  CHECK(engine().Taken.size() == 2);
}

TEST_CASE_FIXTURE(OneEngine, "call of an adapter waits for the adapter only") {
  CHECK(statusOf(callModel("m0/a1")) == 200);
  REQUIRE(engine().Taken.size() == 1);
  CHECK(engine().Taken[0].What == Change::LoadAdapter);
  CHECK(engine().Taken[0].Adapter == "a1");
}

TEST_CASE_FIXTURE(OneEngine, "order whose answer is lost is found carried out "
                             "and not given twice") {
  engine().LostAnswers = 1;
  CHECK(statusOf(callModel("m2")) == 200);
  int loads = 0;
  for (const Residency::Order &it : engine().Taken)
    loads += it.What == Change::LoadModel && it.Model == "m2";
  CHECK(loads == 1);
  CHECK(engine().Models.size() == 2);
}

TEST_CASE_FIXTURE(OneEngine, "engine is never ordered to hold more than its "
                             "memory, whatever answers are lost") {
  for (int i = 0; i < 12; ++i) {
    engine().LostAnswers = i % 3;
    CHECK(statusOf(callModel("m" + std::to_string(i % 4))) == 200);
    REQUIRE(engine().Models.size() <= 2);
  }
}

TEST_CASE_FIXTURE(OneEngine, "call that waits at a gateway that leaves is sent "
                             "to another one") {
  engine().Busy = true; // Takes no order.
  RawCaller &caller = callModel("m2");
  Process->leave();
  CHECK(statusOf(caller) == 503);
  CHECK(caller.Received.find("Retry-After: 0.020") != std::string::npos);
}

TEST_CASE_FIXTURE(OneEngine, "waiting call whose caller leaves is forgotten") {
  engine().Busy = true; // Takes no order.
  RawCaller &caller = callModel("m2");
  caller.leave();
  engine().Busy = false;
  Scripts.clear();
  CHECK(statusOf(callModel("m0")) == 200);
  CHECK(Endpoints.front().Requests.size() == 1);
}

TEST_CASE_FIXTURE(OneEngine,
                  "engine that wants nothing for a while gets neither "
                  "orders nor questions until then") {
  runUntil([&] { return engine().Reported > 0; });
  engine().Notice.emplace();
  engine().Notice->Rest = 300ms;
  engine().LostAnswers = 1; // The order is tried again.
  CHECK(statusOf(callModel("m2")) == 200);
  CHECK(engine().Disturbed == 0);
  CHECK(Utils::BootClock::now() >= engine().RestsUntil);
}

TEST_CASE_FIXTURE(OneEngine,
                  "engine that says in the answer to an order that it "
                  "leaves gets no further order") {
  runUntil([&] { return engine().Reported > 0; });
  engine().Notice.emplace();
  engine().Notice->Leaving = true;
  RawCaller &caller =
      call("/model/", "Model: m2\r\nDeadline-Milliseconds: 1500\r\n");
  runUntil([&] { return !engine().Taken.empty(); });
  CHECK(statusOf(caller) == 503);
  CHECK(engine().Taken.size() == 1);
}

TEST_CASE_FIXTURE(Successor,
                  "holder that takes over gives no order by a report "
                  "that lags behind its predecessor's orders") {
  CHECK(statusOf(callModel("m3")) == 200);
  CHECK(engine().StaleOrders == 0);
  CHECK(engine().Taken.size() == 2);
}

TEST_CASE(
    "holder under a wave of orders tells the gateways of a large fleet so "
    "seldom that most of its time is left, and few of them at once") {
  constexpr double mostPerMs = 2; // Four times what their reports bring.
  for (uint32_t gateways : {8, 81, 195, 420}) {
    CAPTURE(gateways);
    double pause = double(Gateway::broadcastDelay(gateways).count());
    CHECK(gateways <= mostPerMs * (pause + 1));
    CHECK(pause <= 250);
  }
  CHECK(Gateway::broadcastDelay(8) <= 5ms);
}
