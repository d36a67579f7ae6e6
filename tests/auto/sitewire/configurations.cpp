#include "samples.h"

#include "platform/endpointentry.h"
#include "platform/operatorconfig.h"

#include <doctest/doctest.h>

using namespace Platform;
using namespace std::chrono_literals;
using nlohmann::json;

TEST_CASE("configuration is decoded with its routes, limits and models") {
  auto config = decodeConfiguration(configuration().dump());
  REQUIRE(config);
  const Fleet::Configuration &it = **config;
  CHECK(it.Version == 7);
  const Fleet::Route *route = it.findRoute("h", "/p/x");
  REQUIRE(route);
  CHECK(route->Kind == Fleet::RouteKind::Streaming);
  CHECK(route->Timeout == 17s);
  CHECK(route->Resumable);
  CHECK(route->Attempts == 2);
  CHECK(it.findRoute("h", "/q/")->Services.size() == 2);
  CHECK(it.findRoute("h", "/q/")->Public);
  CHECK(it.findTeamByKey("k")->CountsTokens);
  const Fleet::Model *model = it.Services[0].ModelEngine->findModel("m");
  REQUIRE(model);
  CHECK(model->StoreLoadTime == 6s);
  CHECK(model->DiskLoadTime == 1200ms);
  CHECK(model->MemoryLoadTime == 400ms);
}

// Guards against calls that leave their region although the configuration
// forbids it.
TEST_CASE("configuration that keeps a route in a region is an error that names "
          "it if there are several regions") {
  json text = configuration();
  text["routes"][0]["allowed_regions"] = {"r"};
  CHECK(decodeConfiguration(text.dump()));
  auto config = decodeConfiguration(text.dump(), true);
  REQUIRE_FALSE(config);
  std::string name = text["routes"][0]["name"];
  CHECK(config.error().What.find("route \"" + name + "\"") !=
        std::string::npos);
  text["routes"][0]["allowed_regions"] = nullptr;
  CHECK(decodeConfiguration(text.dump(), true));
  text["tenants"][0]["allowed_regions"] = {"r"};
  CHECK_FALSE(decodeConfiguration(text.dump(), true));
}

// Issue 50: a version with null in an optional member was rejected.
TEST_CASE("optional member of the configuration that is null counts as "
          "missing") {
  json text = configuration();
  for (json::json_pointer member :
       {"/routes/0/target_latency_ms"_json_pointer,
        "/routes/0/target_gap_ms"_json_pointer,
        "/services/0/engine/models/0/disk_load_s"_json_pointer,
        "/services/0/engine/models/0/warm_s"_json_pointer,
        "/limits/max_header_bytes"_json_pointer,
        "/limits/header_timeout_ms"_json_pointer,
        "/tenants/0/unit"_json_pointer}) {
    CAPTURE(member.to_string());
    text.at(member) = nullptr;
    CHECK(decodeConfiguration(text.dump()));
  }
  auto config = decodeConfiguration(text.dump());
  REQUIRE(config);
  const Fleet::Configuration &it = **config;
  CHECK(it.Routes[0].LatencyObjective == 0ms);
  CHECK(it.Routes[0].GapObjective == 0ms);
  CHECK(it.Services[0].ModelEngine->Models[0].MemoryLoadTime == 6s);
  CHECK(it.Limits.HeaderBytes == Fleet::ClientLimits().HeaderBytes);
  CHECK(it.Limits.HeaderTimeout == Fleet::ClientLimits().HeaderTimeout);
  CHECK_FALSE(it.Teams[0].CountsTokens);
  text["limits"] = nullptr;
  CHECK(decodeConfiguration(text.dump()));
  // A required member that is null is missing too.
  text["version"] = nullptr;
  CHECK_FALSE(decodeConfiguration(text.dump()));
}

TEST_CASE("configuration without a required member is an error that names it") {
  for (const char *member : {"version", "routes", "services"}) {
    json text = configuration();
    text.erase(member);
    auto config = decodeConfiguration(text.dump());
    REQUIRE_FALSE(config);
    CHECK(config.error().What.find(member) != std::string::npos);
    text[member] = "x";
    CHECK_FALSE(decodeConfiguration(text.dump()));
  }
  json text = configuration();
  text["tenants"] = json::object();
  CHECK_FALSE(decodeConfiguration(text.dump()));
  CHECK_FALSE(decodeConfiguration("{"));
}

// Issue 50: one entry that a build cannot read cost all others of its version.
TEST_CASE("entry without a required member is left out, and an error that "
          "names the member is kept") {
  auto errorWithout = [](const json::json_pointer &entry, const char *member) {
    json text = configuration();
    text.at(entry).erase(member);
    auto config = decodeConfiguration(text.dump());
    REQUIRE(config);
    REQUIRE((*config)->Unreadable.size() == 1);
    CHECK((*config)->Unreadable[0].Error.find(member) != std::string::npos);
    return **config;
  };
  for (const char *member :
       {"name", "host", "path_prefix", "kind", "timeout_ms", "service"}) {
    auto config = errorWithout("/routes/0"_json_pointer, member);
    CHECK(config.Unreadable[0].Kind == Fleet::EntryKind::Route);
    REQUIRE(config.Routes.size() == 1);
    CHECK(config.Routes[0].Name == "q");
  }
  CHECK(errorWithout("/services/0"_json_pointer, "name").Services.empty());
  for (const char *member : {"name", "weights_mb", "load_s"})
    CHECK(errorWithout("/services/0/engine/models/0"_json_pointer, member)
              .Services.empty());
  for (const char *member : {"name", "access_keys"}) {
    auto config = errorWithout("/tenants/0"_json_pointer, member);
    CHECK(config.Teams.empty());
    CHECK_FALSE(config.findTeamByKey("k"));
    CHECK(config.requiresKeys());
  }
  json text = configuration();
  text["limits"]["max_body_bytes"] = "x";
  auto config = decodeConfiguration(text.dump());
  REQUIRE(config);
  CHECK((*config)->Unreadable[0].Kind == Fleet::EntryKind::Limits);
  CHECK((*config)->Limits.BodyBytes == Fleet::ClientLimits().BodyBytes);
}

TEST_CASE("request may belong to a route that cannot be decoded") {
  json text = configuration();
  json &odd = text["routes"][0];
  odd["timeout_ms"] = "soon";
  auto mayBelong = [&](const char *host, const char *path) {
    auto config = decodeConfiguration(text.dump());
    REQUIRE(config);
    return (*config)->mayBelongToUnreadable(host, path,
                                            (*config)->findRoute(host, path));
  };
  CHECK(mayBelong("h", "/p/x"));
  CHECK_FALSE(mayBelong("h", "/q/x"));
  CHECK_FALSE(mayBelong("h", "/r/x"));
  CHECK_FALSE(mayBelong("g", "/p/x"));
  odd["path_prefix"] = "/q/longer/";
  CHECK(mayBelong("h", "/q/longer/x"));
  CHECK_FALSE(mayBelong("h", "/q/x"));
  odd["path_prefix"] = "/"; // A shorter prefix than that of the other route.
  CHECK_FALSE(mayBelong("h", "/q/x"));
  CHECK(mayBelong("h", "/r/x"));
  odd["path_prefix"] = 7;
  CHECK_FALSE(mayBelong("h", "/q/x"));
  CHECK(mayBelong("h", "/r/x"));
  CHECK_FALSE(mayBelong("g", "/r/x"));
  odd["host"] = nullptr;
  CHECK_FALSE(mayBelong("h", "/q/x"));
  CHECK(mayBelong("g", "/r/x"));
  odd = 7;
  CHECK(mayBelong("g", "/r/x"));
}

TEST_CASE(
    "limit of cold endpoints is decoded from the configuration, the entry "
    "and the settings, and is none by default") {
  json text = configuration();
  CHECK((*decodeConfiguration(text.dump()))->Services[0].ColdPerSecond == 0);
  text["services"][0]["cold_start_s"] = 3.5;
  text["services"][0]["cold_per_s"] = 20.0;
  auto config = decodeConfiguration(text.dump());
  REQUIRE(config);
  CHECK((*config)->Services[0].ColdStart == 3500ms);
  CHECK((*config)->Services[0].ColdPerSecond == 20);
  json cold = entry();
  cold["cold_remaining_ms"] = 1250;
  CHECK(decodeEndpointEntry("i-1", cold.dump())->ColdRemaining == 1250ms);
}
