#include "gatewayfixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace std::chrono_literals;
using Residency::Change;

namespace {

/// A gateway with an engine in failure domain a, which has copies of all models
/// on disk, and one in b, which has none. Both hold two models, as many as fit.
struct EvacuatedEngineFixture : GatewayFixture {
  EvacuatedEngineFixture() {
    addEngine("s", 6);
    addRoute("/model/", "s", Fleet::RouteKind::Streaming);
    addDomain("a", {"m0", "m1"});
    addDomain("b", {"m2", "m3"});
    Reports[0].OnDisk = {"m0", "m1", "m2", "m3", "m4", "m5"};
    start();
    runUntil([&] {
      return Engines["i-1"].ReportReads > 0 && Engines["i-2"].ReportReads > 0;
    });
  }
  void addDomain(const std::string &domain, std::vector<std::string> models) {
    addEndpoint("s", std::move(models)).Respond = [](const Http::Request &) {
      return Script{answer(200, "id: 1\n\n")};
    };
    Reports.back().FailureDomain = domain;
  }
  void write(std::optional<std::string> value) {
    OperatorRecords = {{"evacuate/a", std::move(value)}};
    awaitOperatorReads();
  }
  RawCaller &callModel(const std::string &model) {
    return call("/model/", "Model: " + model + "\r\n");
  }
  bool isOrderedToLoad(const std::string &id, const std::string &model) {
    const auto &orders = Engines[id].AcceptedOrders;
    return std::any_of(orders.begin(), orders.end(), [&](const auto &it) {
      return it.What == Change::LoadModel && it.Model == model;
    });
  }
};

} // namespace

// Guards against loads at engines that get no calls.
TEST_CASE_FIXTURE(EvacuatedEngineFixture,
                  "engine of an evacuated domain gets no orders, and models "
                  "are loaded at the others") {
  write("{}");
  for (const char *model : {"m4", "m5", "m0"})
    CHECK(statusOf(callModel(model)) == 200);
  CHECK(isOrderedToLoad("i-2", "m0"));
  CHECK(Engines["i-1"].AcceptedOrders.empty());
  CHECK(Endpoints.front().Requests.empty());
}

// Guards against an order that was planned before the evacuation and is sent
// after it.
TEST_CASE_FIXTURE(EvacuatedEngineFixture,
                  "load that is queued at an engine is dropped when its domain "
                  "is evacuated, and is made elsewhere") {
  FakeEngine &engine = Engines["i-1"];
  engine.Busy = true; // Rejects orders.
  int before = engine.RejectedOrders;
  RawCaller &caller = callModel("m4");
  runUntil([&] { return engine.RejectedOrders > before; });
  write("{}");
  engine.Busy = false;
  CHECK(statusOf(caller) == 200);
  CHECK(isOrderedToLoad("i-2", "m4"));
  runUntil([&, until = Utils::BootClock::now() + 300ms] {
    return Utils::BootClock::now() >= until;
  });
  CHECK(engine.AcceptedOrders.empty());
}

// Guards against engines that stay unused after a withdrawal, and against loads
// of models that they have held all the time.
TEST_CASE_FIXTURE(EvacuatedEngineFixture,
                  "engine counts again after the withdrawal with what it "
                  "holds") {
  write("{}");
  write(std::nullopt);
  CHECK(statusOf(callModel("m0")) == 200);
  CHECK(Endpoints.front().Requests.size() == 1);
  CHECK_FALSE(isOrderedToLoad("i-2", "m0"));
  CHECK(statusOf(callModel("m4")) == 200);
  CHECK(isOrderedToLoad("i-1", "m4"));
  CHECK_FALSE(isOrderedToLoad("i-2", "m4"));
}
