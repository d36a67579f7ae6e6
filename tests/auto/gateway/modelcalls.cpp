#include "gatewayfixture.h"

#include "gateway/fleetholder.h"

#include <doctest/doctest.h>
#include <utility>

using namespace std::chrono_literals;
using Fleet::RouteKind;
using Residency::Change;

namespace {

/// A gateway, not started yet, with one model engine that holds m0 and m1 and
/// has no memory for a third model.
struct EngineFixture : GatewayFixture {
  EngineFixture() {
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

struct StartedEngineFixture : EngineFixture {
  StartedEngineFixture() { start(); }
};

/// A gateway on a VM whose previous process was the holder and replaced m1 by
/// m2; the engine's report does not show that yet.
struct SuccessorFixture : EngineFixture {
  SuccessorFixture() {
    StartedEngineFixture before;
    before.runUntil([&] { return before.DutyRecord.has_value(); });
    DutyRecord = before.DutyRecord;
    DutyEnd = before.DutyEnd;
    engine().StaleReport.emplace();
    engine().StaleReport->Models = {{"m0", 1, {}}, {"m1", 1, {}}};
    engine().Models = {"m0", "m2"};
    engine().Orders = 2;
    OnDutyAppended = [this] {
      if (!std::exchange(Claimed, true))
        runAfter(200ms, [this] { engine().StaleReport.reset(); });
    };
    start();
  }
  bool Claimed = false;
};

} // namespace

TEST_CASE_FIXTURE(StartedEngineFixture,
                  "call of a model that no engine holds waits until the model "
                  "is loaded in place of another") {
  CHECK(statusOf(callModel("m2")) == 200);
  REQUIRE(engine().AcceptedOrders.size() == 2);
  CHECK(engine().AcceptedOrders[0].What == Change::UnloadModel);
  CHECK(engine().AcceptedOrders[1].What == Change::LoadModel);
  CHECK(engine().AcceptedOrders[1].Model == "m2");
}

TEST_CASE_FIXTURE(StartedEngineFixture,
                  "concurrent calls of one model load it once") {
  std::vector<RawCaller *> callers;
  callers.reserve(5);
  for (int i = 0; i < 5; ++i)
    callers.push_back(&callModel("m2"));
  for (RawCaller *it : callers)
    CHECK(statusOf(*it) == 200);
  CHECK(engine().AcceptedOrders.size() == 2);
}

TEST_CASE_FIXTURE(
    StartedEngineFixture,
    "call of an adapter of a loaded model waits for the adapter only") {
  CHECK(statusOf(callModel("m0/a1")) == 200);
  REQUIRE(engine().AcceptedOrders.size() == 1);
  CHECK(engine().AcceptedOrders[0].What == Change::LoadAdapter);
  CHECK(engine().AcceptedOrders[0].Adapter == "a1");
}

TEST_CASE_FIXTURE(
    StartedEngineFixture,
    "order whose reply is lost is detected as executed and not sent twice") {
  engine().LostReplies = 1;
  CHECK(statusOf(callModel("m2")) == 200);
  int loads = 0;
  for (const Residency::Order &it : engine().AcceptedOrders)
    loads += it.What == Change::LoadModel && it.Model == "m2";
  CHECK(loads == 1);
  CHECK(engine().Models.size() == 2);
}

TEST_CASE_FIXTURE(StartedEngineFixture,
                  "engine is never ordered to hold more models than fit its "
                  "memory when replies are lost") {
  for (int i = 0; i < 12; ++i) {
    engine().LostReplies = i % 3;
    CHECK(statusOf(callModel("m" + std::to_string(i % 4))) == 200);
    REQUIRE(engine().Models.size() <= 2);
  }
}

TEST_CASE_FIXTURE(StartedEngineFixture,
                  "queued call at a gateway that shuts down is refused with a "
                  "short Retry-After") {
  engine().Busy = true; // Rejects orders.
  RawCaller &caller = callModel("m2");
  Process->shutDown();
  CHECK(statusOf(caller) == 503);
  CHECK(caller.Received.find("Retry-After: 0.020") != std::string::npos);
}

TEST_CASE_FIXTURE(StartedEngineFixture,
                  "queued call whose caller disconnects is dropped") {
  engine().Busy = true; // Rejects orders.
  RawCaller &caller = callModel("m2");
  caller.disconnect();
  engine().Busy = false;
  Scripts.clear();
  CHECK(statusOf(callModel("m0")) == 200);
  CHECK(Endpoints.front().Requests.size() == 1);
}

TEST_CASE_FIXTURE(StartedEngineFixture,
                  "engine that asks to back off receives neither orders nor "
                  "report requests until then") {
  runUntil([&] { return engine().ReportReads > 0; });
  engine().Notice.emplace();
  engine().Notice->Backoff = 300ms;
  engine().LostReplies = 1; // The order is retried.
  CHECK(statusOf(callModel("m2")) == 200);
  CHECK(engine().RequestsDuringBackoff == 0);
  CHECK(Utils::BootClock::now() >= engine().BackoffUntil);
}

TEST_CASE_FIXTURE(StartedEngineFixture,
                  "engine that announces its shutdown in an order reply "
                  "receives no further order") {
  runUntil([&] { return engine().ReportReads > 0; });
  engine().Notice.emplace();
  engine().Notice->Leaving = true;
  RawCaller &caller =
      call("/model/", "Model: m2\r\nDeadline-Milliseconds: 1500\r\n");
  runUntil([&] { return !engine().AcceptedOrders.empty(); });
  CHECK(statusOf(caller) == 503);
  CHECK(engine().AcceptedOrders.size() == 1);
}

TEST_CASE_FIXTURE(SuccessorFixture,
                  "new holder sends no order based on a report that lags "
                  "behind the orders of its predecessor") {
  CHECK(statusOf(callModel("m3")) == 200);
  CHECK(engine().StaleOrders == 0);
  CHECK(engine().AcceptedOrders.size() == 2);
}

TEST_CASE("update interval of the holder grows with the fleet so that a burst "
          "of orders causes a bounded message rate") {
  constexpr double maxPerMs = 2; // Four times the rate of their reports.
  for (uint32_t gateways : {8, 81, 195, 420}) {
    CAPTURE(gateways);
    double pause = double(Gateway::broadcastDelay(gateways).count());
    CHECK(gateways <= maxPerMs * (pause + 1));
    CHECK(pause <= 250);
  }
  CHECK(Gateway::broadcastDelay(8) <= 5ms);
}
