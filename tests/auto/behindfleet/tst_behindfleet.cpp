#include "olderdatafixture.h"

#include <doctest/doctest.h>

// Guards against a gateway that forgets the unreadable version it has read as
// soon as another gateway relays the version before.
TEST_CASE_FIXTURE(OlderDataFixture,
                  "newest record cannot be read, gateway that starts gets the "
                  "version before from the fleet, an added route is not "
                  "answered 404") {
  startTwo();
  copyThenConfigure();
  writeUnreadable();
  EraGateway &late = startServing("b", "/new/");
  // Beyond the time in which a gateway that has started denies nothing.
  constexpr int reads = 6;
  for (int i = 0; i < reads; ++i)
    awaitReads(Operators);
  CHECK(statusOf(late, "/added/") == 503);
  CHECK(metric(late, "hickory_gateway_configuration_behind") == 1);
}

// Guards against a gateway that forgets the unreadable version when it reads
// the version in force again.
TEST_CASE_FIXTURE(OlderDataFixture,
                  "newest record cannot be read, store comes back from a copy "
                  "without it, an added route is not answered 404") {
  EraGateway &gateway = startServing("a", "/old/");
  awaitStatus(gateway, "/never/", 404);
  copyThenConfigure();
  Copy = Store.copy();
  writeUnreadable();
  REQUIRE(statusOf(gateway, "/added/") == 503);
  Store.comeBackFrom(Copy);
  awaitMetric(gateway, "hickory_gateway_store_era", 2);
  awaitReads(Operators);
  CHECK(statusOf(gateway, "/added/") == 503);
}

// Guards against a gateway that denies by data which is older than the bound
// on the configuration, and by its own metric known to be.
TEST_CASE_FIXTURE(OlderDataFixture,
                  "gateway that reaches neither the store nor a holder, route "
                  "added meanwhile, it is not answered 404") {
  EraGateway &gateway = startServing("a", "/old/");
  awaitStatus(gateway, "/never/", 404);
  gateway.Door->Rejected = {Operators, Servers, Duty};
  double bound =
      std::chrono::duration<double>(gateway.Settings.ConfigurationApply)
          .count();
  runUntil([&] {
    return metric(gateway, "hickory_gateway_configuration_age_seconds") >
           2 * bound;
  });
  writeConfiguration(2, {"/old/", "/added/"});
  CHECK(statusOf(gateway, "/added/") == 503);
}

// Guards against gateways that ignore all heartbeats of a holder whose token is
// lower than one before the store's return, and so get no relay.
TEST_CASE_FIXTURE(OlderDataFixture,
                  "copy of the store lacks the terms of the duty, gateway that "
                  "the store rejects, it gets an added route from the holder") {
  Copy = Store.copy();
  startServing("a", "/old/");
  awaitHolder("a");
  startServing("b", "/old/");
  awaitMetric(Gateways.at("a"), "hickory_gateway_members", 2);
  kill("a");
  awaitHolder("b");
  startServing("c", "/old/");
  awaitMetric(Gateways.at("b"), "hickory_gateway_members", 2);
  Store.comeBackFrom(Copy);
  std::string holder;
  runUntil([&] {
    for (auto &[name, it] : Gateways)
      if (Store.endOf(Duty) > 0 &&
          metric(it, "hickory_gateway_store_era") == 2 &&
          metric(it, "hickory_gateway_holds_duty") == 1)
        holder = name;
    return !holder.empty();
  });
  EraGateway &member = Gateways.at(holder == "b" ? "c" : "b");
  awaitReads(Operators);
  member.Door->Rejected = {Operators};
  writeConfiguration(3, {"/old/", "/added/"});
  awaitStatus(Gateways.at(holder), "/added/", 200);
  awaitStatus(member, "/added/", 200);
}
