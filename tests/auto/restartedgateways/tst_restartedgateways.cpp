#include "gatewayprocesses/gatewayfleet.h"
#include "support/cluster.h"

#include <doctest/doctest.h>
#include <set>

using namespace Support;

// Gateways that start right after the store has come back from an older copy,
// which the operator has not yet written over.

namespace {

/// Gateways of which one holds the duty, with version 1 in force.
struct RestartFixture {
  GatewayFleet Fleet{3};
  StoreStandin::Point Copy;
  int Holder = -1;

  RestartFixture() {
    REQUIRE(Fleet.awaitReady());
    REQUIRE(Fleet.awaitStatus(200));
    REQUIRE(eventually([&] {
      for (int i = 0; i < Fleet.size() && Holder < 0; ++i)
        if (has(i, "hickory_gateway_holds_duty 1"))
          Holder = i;
      return Holder >= 0;
    }));
    Copy = Fleet.store().point();
  }
  /// Whether the metrics of the gateway have this line.
  bool has(int gateway, const std::string &line) const {
    return Fleet.metricsOf(gateway).find("\n" + line + "\n") !=
           std::string::npos;
  }
  bool awaitMetric(int gateway, const std::string &line) const {
    return eventually([&] { return has(gateway, line); },
                      std::chrono::seconds(20));
  }
  int other() const { return (Holder + 1) % Fleet.size(); }
  /// Withdraws the key of the calls with version 2, which the copy lacks.
  void withdrawKey() {
    nlohmann::json record = GatewayFleet::desk(2);
    record["tenants"][0]["access_keys"] =
        nlohmann::json::array({"another-key"});
    Fleet.configure(record);
    REQUIRE(Fleet.awaitStatus(401));
  }
  /// Calls the gateway until it answers with this status, and returns all
  /// statuses of before.
  std::set<int> statusesUntil(int status, int gateway, const ClientCall &call) {
    std::set<int> out;
    CHECK(eventually([&] {
      int it = Fleet.call(gateway, call).Status;
      if (it != status)
        out.insert(it);
      return it == status;
    }));
    return out;
  }
};

} // namespace

// Guards against a gateway that takes the silence of a fleet without a holder
// for its consent to the older version.
TEST_CASE_FIXTURE(RestartFixture,
                  "older copy and the holder dead, gateway that starts does "
                  "not deny the route that another one serves") {
  Fleet.configure(GatewayFleet::deskWithRoute(2));
  REQUIRE(Fleet.awaitStatus(200, {"/added/x"}));
  Fleet.kill(Holder);
  Fleet.kill(other());
  Fleet.store().restoreCopy(Copy);
  Fleet.start(other());
  auto before = statusesUntil(200, other(), {"/added/x"});
  CHECK(before.count(404) == 0);
}

// Guards against a withdrawn key that a restart admits again.
TEST_CASE_FIXTURE(RestartFixture,
                  "older copy and the holder dead, gateway that starts does "
                  "not admit the key that another one knows to be withdrawn") {
  withdrawKey();
  Fleet.kill(Holder);
  Fleet.kill(other());
  Fleet.store().restoreCopy(Copy);
  Fleet.start(other());
  auto before = statusesUntil(401, other(), {});
  CHECK(before.count(200) == 0);
}

// review/7, CONFIG: the holder itself was killed and started again, served the
// withdrawn key by the copy, and nobody told it of the newer version, as the
// others waited for its answers.
TEST_CASE_FIXTURE(RestartFixture,
                  "older copy, holder that is killed and starts again does not "
                  "admit the key that the others know to be withdrawn") {
  withdrawKey();
  Fleet.kill(Holder);
  Fleet.store().restoreCopy(Copy);
  Fleet.start(Holder);
  auto before = statusesUntil(401, Holder, {});
  CHECK(before.count(200) == 0);
}

// Guards against gateways that wait for each other, or for one that was running
// before.
TEST_CASE_FIXTURE(RestartFixture,
                  "older copy and all gateways killed, the fleet that starts "
                  "at once serves by the copy") {
  for (int i = 0; i < Fleet.size(); ++i)
    Fleet.kill(i);
  Fleet.store().restoreCopy(Copy);
  for (int i = 0; i < Fleet.size(); ++i)
    Fleet.start(i);
  CHECK(Fleet.awaitReady());
  CHECK(Fleet.awaitStatus(200));
}

// Guards against a gateway that waits for others which do not exist.
TEST_CASE("older copy, the only gateway is killed and starts again, it serves "
          "by the copy") {
  GatewayFleet fleet(1);
  REQUIRE(fleet.awaitReady());
  REQUIRE(fleet.awaitStatus(200));
  StoreStandin::Point copy = fleet.store().point();
  fleet.kill(0);
  fleet.store().restoreCopy(copy);
  fleet.start(0);
  CHECK(fleet.awaitReady());
  CHECK(fleet.awaitStatus(200));
}
