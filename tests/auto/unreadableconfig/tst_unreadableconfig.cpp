#include "gatewayprocesses/gatewayfleet.h"
#include "support/cluster.h"

#include <doctest/doctest.h>

using namespace Support;

// Issue 50: one entry that a build cannot read cost all others of its version,
// and the gateways answered calls of its added routes with 404.

namespace {

using nlohmann::json;

/// Gateways with desk(1) in force.
struct UnreadableFixture {
  GatewayFleet Fleet{3};

  UnreadableFixture() {
    REQUIRE(Fleet.awaitReady());
    REQUIRE(Fleet.awaitStatus(200));
  }
  /// Waits until all gateways refuse the call with 503 and a Retry-After.
  void checkRefused(const ClientCall &call) {
    CHECK(Fleet.awaitStatus(503, call, std::chrono::seconds(6)));
    for (int i = 0; i < Fleet.size(); ++i) {
      ClientAnswer answer = Fleet.call(i, call);
      CHECK(answer.Status == 503);
      CHECK_FALSE(answer.RetryAfter.empty());
    }
  }
  void checkServed(const ClientCall &call) {
    CHECK(Fleet.awaitStatus(200, call, std::chrono::seconds(6)));
  }
  void checkMetric(const std::string &line) {
    CHECK(eventually([&] {
      return ("\n" + Fleet.metricsOf(0)).find("\n" + line + "\n") !=
             std::string::npos;
    }));
  }
};

ClientCall callOf(const std::string &path,
                  const std::string &key = "key-of-the-club") {
  return {path, "desk.example", key};
}

/// desk() and a public route /open/.
json deskWithOpenRoute(int version) {
  json out = GatewayFleet::desk(version);
  json open = GatewayFleet::route("open");
  open["public"] = true;
  out["routes"].push_back(open);
  return out;
}

} // namespace

// Guards against one unreadable route that costs all others of its version.
TEST_CASE_FIXTURE(UnreadableFixture,
                  "route cannot be read, the others of its version are served "
                  "and its calls are refused as not run") {
  json configuration = GatewayFleet::deskWithRoute(2);
  json odd = GatewayFleet::route("odd");
  odd["timeout_ms"] = "soon";
  configuration["routes"].push_back(odd);
  Fleet.configure(configuration);
  checkServed(callOf("/added/x"));
  checkServed(callOf("/old/x"));
  checkRefused(callOf("/odd/x"));
  CHECK(Fleet.awaitStatus(404, callOf("/never/x")));
  CHECK(Fleet.awaitStatus(401, callOf("/added/x", "unknown")));
  checkMetric("hickory_gateway_configuration_version 2");
  checkMetric("hickory_gateway_configuration_entries_unreadable 1");
  // The next version is readable.
  Fleet.configure(GatewayFleet::desk(3));
  CHECK(Fleet.awaitStatus(404, callOf("/odd/x")));
  checkMetric("hickory_gateway_configuration_entries_unreadable 0");
}

// Guards against 404 for calls of a route whose prefix cannot be read.
TEST_CASE_FIXTURE(UnreadableFixture,
                  "prefix of a route cannot be read, calls of its host that no "
                  "other route takes are refused as not run") {
  json configuration = GatewayFleet::deskWithRoute(2);
  json odd = GatewayFleet::route("odd");
  odd["path_prefix"] = 7;
  configuration["routes"].push_back(odd);
  Fleet.configure(configuration);
  checkServed(callOf("/added/x"));
  checkRefused(callOf("/odd/x"));
  CHECK(Fleet.awaitStatus(404, {"/odd/x", "other.example"}));
}

// Guards against one unreadable service that costs the whole version.
TEST_CASE_FIXTURE(UnreadableFixture,
                  "service cannot be read, calls to it are refused as not run "
                  "and the others are served") {
  json configuration = GatewayFleet::deskWithRoute(2);
  json odd = GatewayFleet::route("odd");
  odd["service"] = "brain";
  configuration["routes"].push_back(odd);
  json model = {{"name", "menu"}, {"weights_mb", "large"}, {"load_s", 4}};
  configuration["services"].push_back(
      {{"name", "brain"},
       {"engine", {{"slots", 4}, {"models", json::array({model})}}}});
  Fleet.configure(configuration);
  checkServed(callOf("/added/x"));
  checkRefused(callOf("/odd/x"));
}

// The keys of such a team cannot be told from unknown ones, and the call must
// not be let in without a key either.
TEST_CASE_FIXTURE(UnreadableFixture,
                  "team cannot be read, calls with its keys and with unknown "
                  "ones are refused as not run") {
  json configuration = GatewayFleet::deskWithRoute(2);
  json open = GatewayFleet::route("open");
  open["public"] = true;
  configuration["routes"].push_back(open);
  configuration["tenants"][0]["rate_per_s"] = "fast";
  configuration["tenants"].push_back(
      {{"name", "guests"}, {"access_keys", json::array({"key-of-guests"})}});
  Fleet.configure(configuration);
  checkServed(callOf("/added/x", "key-of-guests"));
  checkRefused(callOf("/added/x"));
  checkRefused(callOf("/old/x", "unknown"));
  checkServed(callOf("/open/x", ""));
  configuration["version"] = 3;
  configuration["tenants"].erase(1);
  Fleet.configure(configuration);
  checkRefused(callOf("/added/x", "key-of-guests"));
  checkServed(callOf("/open/x", ""));
}

// Such a version may withdraw a key, and nobody can tell which.
TEST_CASE_FIXTURE(UnreadableFixture,
                  "record cannot be read, keys of the version before are "
                  "refused as not run once the bound on withdrawn keys ends") {
  json configuration = deskWithOpenRoute(2);
  Fleet.configure(configuration);
  checkServed(callOf("/open/x", ""));
  Fleet.configureText("{\"version\":3,\"rou");
  CHECK(Fleet.awaitStatus(503, callOf("/old/x"), std::chrono::seconds(20)));
  checkServed(callOf("/open/x", ""));
  configuration["version"] = 4;
  Fleet.configure(configuration);
  checkServed(callOf("/old/x"));
}

// Guards against 404 and 401 by a version that is known not to be the newest.
TEST_CASE_FIXTURE(UnreadableFixture,
                  "record cannot be read, the version before serves what it "
                  "has and answers neither 404 nor 401") {
  Fleet.configure(deskWithOpenRoute(2));
  checkServed(callOf("/open/x", ""));
  for (const std::string text :
       {"{\"version\":3,\"rou", "{\"routes\":[],\"services\":[]}",
        "{\"version\":3,\"services\":[]}"}) {
    CAPTURE(text);
    Fleet.configureText(text);
    checkRefused(callOf("/added/x"));
    checkRefused(callOf("/old/x", "unknown"));
    checkServed(callOf("/open/x", ""));
  }
  checkMetric("hickory_gateway_configuration_version 2");
  checkMetric("hickory_gateway_configuration_behind 1");
  // A gateway that starts now gets the version in force from the others, and
  // does not know which keys are withdrawn.
  Fleet.kill(2);
  Fleet.start(2);
  CHECK(eventually(
      [&] { return Fleet.call(2, callOf("/old/x")).Status == 503; }));
  checkServed(callOf("/open/x", ""));
  CHECK(Fleet.call(2, callOf("/added/x")).Status == 503);
  CHECK(Fleet.call(2, callOf("/old/x")).Status == 503);
  Fleet.configure(GatewayFleet::deskWithRoute(5));
  CHECK(Fleet.awaitReady());
  checkServed(callOf("/added/x"));
  CHECK(Fleet.awaitStatus(404, callOf("/never/x")));
  CHECK(Fleet.awaitStatus(401, callOf("/old/x", "unknown")));
  checkMetric("hickory_gateway_configuration_behind 0");
}
