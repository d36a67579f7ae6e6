#include "gatewayprocesses/gatewayfleet.h"
#include "support/cluster.h"

#include <atomic>
#include <doctest/doctest.h>
#include <thread>

using namespace Support;

namespace {

nlohmann::json model(const std::string &name) {
  return {{"name", name},   {"weights_mb", 10}, {"load_s", 0.1},
          {"warm_s", 0.05}, {"adapters", 0},    {"adapter_size_mb", 1}};
}

constexpr int ModelCount = 8;

std::string modelName(int i) { return "m" + std::to_string(i % ModelCount); }

/// desk() with models, of which each endpoint holds one at a time.
std::string deskWithModels() {
  nlohmann::json out = GatewayFleet::desk(1);
  nlohmann::json models = nlohmann::json::array();
  for (int i = 0; i < ModelCount; ++i)
    models.push_back(model(modelName(i)));
  out["services"][0]["engine"] = {
      {"slots", 16},        {"cache_tokens", 100'000}, {"weights_mb", 10},
      {"adapter_slots", 8}, {"loads_per_s", 50.0},     {"models", models}};
  return out.dump();
}

/// Eight gateways and two engines, with calls of more models than these hold.
struct CutOffFixture {
  GatewayFleet Fleet{8, deskWithModels()};
  int Holder = -1;
  std::vector<std::thread> Callers;
  std::atomic<bool> Stopped = false;

  CutOffFixture() {
    addEngine("engine-1");
    addEngine("engine-2");
    REQUIRE(Fleet.awaitReady());
    REQUIRE(awaitEndpoints(4));
    REQUIRE(eventually([&] {
      for (int i = 0; i < Fleet.size() && Holder < 0; ++i)
        if (has(i, "hickory_gateway_holds_duty 1"))
          Holder = i;
      return Holder >= 0;
    }));
    for (int i = 0; i < Fleet.size(); ++i)
      if (i != Holder)
        Callers.emplace_back([this, i] { callAllModels(i); });
  }
  ~CutOffFixture() {
    Stopped = true;
    for (std::thread &it : Callers)
      it.join();
  }
  void callAllModels(int gateway) {
    for (int i = gateway; !Stopped; ++i)
      Fleet.call(gateway, {.Path = "/old/x", .Model = modelName(i)});
  }
  void addEngine(const std::string &id) {
    Fleet.endpoints().push_back(std::make_unique<EndpointStandin>(
        id, "desk", Fleet.store(), std::vector<std::string>{}));
  }
  EndpointStandin &removed() { return *Fleet.endpoints().back(); }
  bool has(int gateway, const std::string &line) const {
    return Fleet.metricsOf(gateway).find("\n" + line + "\n") !=
           std::string::npos;
  }
  /// Waits until each gateway but the holder knows so many endpoints.
  bool awaitEndpoints(int count) {
    std::string line = "hickory_gateway_endpoints " + std::to_string(count);
    return eventually([&] {
      for (int i = 0; i < Fleet.size(); ++i)
        if (i != Holder && !has(i, line))
          return false;
      return true;
    });
  }
  bool awaitNextHolder() {
    return eventually([&] {
      for (int i = 0; i < Fleet.size(); ++i)
        if (i != Holder && has(i, "hickory_gateway_holds_duty 1"))
          return true;
      return false;
    });
  }
  /// Removes the entry of engine-2, which the holder has ordered to load
  /// models, right after the store rejects the holder. Its sequence number is
  /// then higher than the gateways know by the holder's table.
  void removeBehindHolder() {
    REQUIRE(eventually([&] { return removed().orders() > 0; }));
    removed().writeEntry();
    size_t reads = Fleet.store().calls("/v1/log-read");
    REQUIRE(eventually(
        [&] { return Fleet.store().calls("/v1/log-read") >= reads + 8; }));
    Fleet.store().reject(GatewayFleet::nameOf(Holder), true);
    Fleet.store().put("keyed.servers", removed().id(), std::nullopt);
    REQUIRE(awaitEndpoints(3));
  }
  /// Sends a call without a model through each gateway but the holder, behind
  /// those that were sent before.
  void callAll() {
    for (int i = 0; i < Fleet.size(); ++i)
      if (i != Holder)
        Fleet.call(i, {.Path = "/old/x", .Model = ""});
  }
};

} // namespace

// review/3, DRAIN: calls reached an endpoint that all gateways but the holder
// knew to be removed. tst_removedendpoints shows the road that was at fault.
TEST_CASE_FIXTURE(CutOffFixture,
                  "endpoint whose entry is removed while the store rejects the "
                  "holder gets no call until and after the next one takes the "
                  "duty") {
  removeBehindHolder();
  callAll();
  int calls = removed().calls();
  REQUIRE(awaitNextHolder());
  constexpr int rounds = 5;
  for (int i = 0; i < rounds; ++i)
    callAll();
  CHECK(removed().calls() == calls);
  CHECK(awaitEndpoints(3));
}

// Guards against a removal that keeps calls from an endpoint that starts again.
TEST_CASE_FIXTURE(CutOffFixture,
                  "endpoint that starts again while the store rejects the "
                  "holder gets calls") {
  removeBehindHolder();
  std::string id = removed().id();
  Fleet.endpoints().pop_back();
  addEngine(id);
  CHECK(awaitEndpoints(4));
  CHECK(eventually([&] {
    callAll();
    return removed().calls() > 0;
  }));
}
