#include "gatewayprocesses/gatewayfleet.h"

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
