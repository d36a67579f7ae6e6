#include "gatewayprocesses/gatewayfleet.h"

#include <doctest/doctest.h>

using namespace Support;

namespace {

using nlohmann::json;

/// An optional member, as a JSON pointer into fullConfiguration(). The added
/// route is the second one.
constexpr const char *OptionalMembers[] = {
    "/routes/1/target_latency_ms",
    "/routes/1/target_gap_ms",
    "/routes/1/priority",
    "/routes/1/public",
    "/routes/1/resumable",
    "/routes/1/attempts",
    "/routes/1/traffic_split",
    "/routes/1/sticky_sessions",
    "/routes/1/allowed_regions",
    "/services/1/health_path",
    "/services/1/connection_limit",
    "/services/1/protocol",
    "/services/1/tls",
    "/services/1/cold_start_s",
    "/services/1/cold_per_s",
    "/services/1/engine",
    "/services/1/engine/slots",
    "/services/1/engine/cache_tokens",
    "/services/1/engine/weights_mb",
    "/services/1/engine/host_memory_mb",
    "/services/1/engine/disk_mb",
    "/services/1/engine/adapter_slots",
    "/services/1/engine/loads_per_s",
    "/services/1/engine/models",
    "/services/1/engine/models/0/disk_load_s",
    "/services/1/engine/models/0/warm_s",
    "/services/1/engine/models/0/adapters",
    "/services/1/engine/models/0/adapter_size_mb",
    "/tenants/0/priority",
    "/tenants/0/unit",
    "/tenants/0/rate_per_s",
    "/tenants/0/burst",
    "/tenants/0/uncached_tokens",
    "/limits/max_header_bytes",
    "/limits/max_body_bytes",
    "/limits/header_timeout_ms",
    "/limits/idle_timeout_ms",
    "/limits",
    "/tenants",
};

/// A configuration with all optional members, and an added route.
json fullConfiguration(int version, const std::string &routeName) {
  json out = GatewayFleet::desk(version);
  json added = GatewayFleet::route(routeName);
  added["target_gap_ms"] = 200;
  added["traffic_split"] = json::array({{{"service", "desk"}, {"weight", 1}}});
  added["allowed_regions"] = json::array();
  out["routes"].push_back(added);
  json model = {{"name", "menu"},       {"weights_mb", 1000}, {"load_s", 4},
                {"disk_load_s", 2},     {"warm_s", 1},        {"adapters", 2},
                {"adapter_size_mb", 10}};
  json engine = {{"slots", 4},         {"cache_tokens", 90000},
                 {"weights_mb", 8000}, {"host_memory_mb", 9000},
                 {"disk_mb", 20000},   {"adapter_slots", 4},
                 {"loads_per_s", 2},   {"models", json::array({model})}};
  out["services"].push_back({{"name", "brain"},
                             {"health_path", "/health"},
                             {"connection_limit", 110},
                             {"protocol", "h1"},
                             {"tls", false},
                             {"cold_start_s", 1},
                             {"cold_per_s", 5},
                             {"engine", engine}});
  out["tenants"][0].update({{"priority", 1},
                            {"unit", "requests"},
                            {"rate_per_s", 0},
                            {"burst", 0},
                            {"uncached_tokens", 10}});
  return out;
}

} // namespace

// Guards against a version that is not applied since an optional member of one
// entry is null: every gateway answered its added route with 404.
TEST_CASE("added route, an optional member is null, all gateways serve it") {
  GatewayFleet fleet(5);
  REQUIRE(fleet.awaitReady());
  REQUIRE(fleet.awaitStatus(200));
  int version = 1;
  for (const std::string member : OptionalMembers) {
    CAPTURE(member);
    std::string name = "added" + std::to_string(++version);
    json configuration = fullConfiguration(version, name);
    configuration.at(json::json_pointer(member)) = nullptr;
    fleet.configure(configuration);
    CHECK(fleet.awaitStatus(200, {"/" + name + "/x"}, std::chrono::seconds(6)));
    CHECK(fleet.awaitStatus(200));
  }
}

// Guards against null that is taken for a value, such as the key of no caller.
TEST_CASE("tenants, the member is null, keys are not required") {
  GatewayFleet fleet(1);
  REQUIRE(fleet.awaitReady());
  ClientCall call{"/old/x", "desk.example", "unknown"};
  REQUIRE(fleet.awaitStatus(401, call));
  json configuration = GatewayFleet::desk(2);
  configuration["tenants"] = nullptr;
  fleet.configure(configuration);
  CHECK(fleet.awaitStatus(200, call, std::chrono::seconds(6)));
}
