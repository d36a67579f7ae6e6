#include "gatewayprocesses/gatewayfleet.h"
#include "support/cluster.h"

#include <doctest/doctest.h>

using namespace Support;

// Known failures, see KNOWN-RED.txt.

// Guards against a key that runs for ever, as the record that withdraws it has
// a part that cannot be read.
TEST_CASE("withdrawn key, the routes of its record cannot be read and its "
          "tenants can, the key is no longer admitted") {
  GatewayFleet fleet(2);
  REQUIRE(fleet.awaitReady());
  REQUIRE(fleet.awaitStatus(200));
  nlohmann::json record = GatewayFleet::desk(2);
  record["routes"] = nlohmann::json::object();
  record["tenants"][0]["access_keys"] = nlohmann::json::array({"another-key"});
  fleet.configure(record);
  REQUIRE(fleet.awaitStatus(503, {"/added/x"}));
  auto isAdmitted = [&] {
    for (int i = 0; i < fleet.size(); ++i)
      if (fleet.call(i, {}).Status == 200)
        return true;
    return false;
  };
  CHECK(eventually([&] { return !isAdmitted(); }, std::chrono::seconds(20)));
}
