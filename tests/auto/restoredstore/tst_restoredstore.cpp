#include "gatewayprocesses/gatewayfleet.h"
#include "support/cluster.h"

#include <doctest/doctest.h>

using namespace Support;

namespace {

nlohmann::json withRoutes(int version, const std::vector<std::string> &names) {
  auto out = GatewayFleet::desk(version);
  for (const std::string &it : names)
    out["routes"].push_back(GatewayFleet::route(it));
  return out;
}

} // namespace

// Guards against a version that is never read since the store, come back from
// an older copy, has given it an offset that the gateways had read already:
// every gateway answered its added route with 404.
TEST_CASE("added route, its record has an offset that was given out before, "
          "all gateways serve it") {
  GatewayFleet fleet(5);
  REQUIRE(fleet.awaitReady());
  REQUIRE(fleet.awaitStatus(200));
  auto copy = fleet.store().point();
  fleet.configure(withRoutes(2, {"second"}));
  fleet.configure(withRoutes(3, {"second", "third"}));
  REQUIRE(fleet.awaitStatus(200, {"/third/x"}));

  fleet.store().restoreCopy(copy, StoreStandin::Absence::Reset);
  // The operator writes its newest version again, and then the next one.
  fleet.configure(withRoutes(3, {"second", "third"}));
  fleet.configure(withRoutes(4, {"second", "third", "added"}));
  for (auto &it : fleet.endpoints())
    it->writeEntry();
  fleet.store().comeBack();
  CHECK(fleet.awaitStatus(200, {"/added/x"}));
  CHECK(fleet.awaitStatus(200, {"/third/x"}));
}

// Guards against gateways that ignore all heartbeats of a holder, as its token
// is lower than one that was in the records which the store has lost.
TEST_CASE("holder that started again twice since the copy, the other gateways "
          "still follow the holder") {
  GatewayFleet fleet(3);
  auto awaitMetric = [&](int gateway, const std::string &line) {
    return eventually(
        [&] {
          return fleet.metricsOf(gateway).find("\n" + line + "\n") !=
                 std::string::npos;
        },
        std::chrono::seconds(20));
  };
  REQUIRE(fleet.awaitReady());
  int holder = -1;
  REQUIRE(eventually([&] {
    for (int i = 0; i < fleet.size() && holder < 0; ++i)
      if (fleet.metricsOf(i).find("\nhickory_gateway_holds_duty 1\n") !=
          std::string::npos)
        holder = i;
    return holder >= 0;
  }));
  auto copy = fleet.store().point();
  for (int i = 0; i < 2; ++i) {
    fleet.kill(holder);
    fleet.start(holder);
    REQUIRE(awaitMetric(holder, "hickory_gateway_holds_duty 1"));
    for (int k = 0; k < fleet.size(); ++k)
      REQUIRE(awaitMetric(k, "hickory_gateway_members 3"));
  }
  fleet.store().restoreCopy(copy);
  int other = (holder + 1) % fleet.size();
  REQUIRE(awaitMetric(holder, "hickory_gateway_store_era 2"));
  REQUIRE(awaitMetric(other, "hickory_gateway_store_era 2"));
  REQUIRE(awaitMetric(holder, "hickory_gateway_holds_duty 1"));
  fleet.kill((holder + 2) % fleet.size());
  CHECK(awaitMetric(holder, "hickory_gateway_members 2"));
  CHECK(awaitMetric(other, "hickory_gateway_members 2"));
}
