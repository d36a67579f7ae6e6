#include "storeerafixture.h"

#include "codec/codec.h"
#include "duty/serialize.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

constexpr const char *Operators = "keyed.op";
constexpr const char *Servers = "keyed.servers";

/// Some gateways that know version 2 of the configuration, whose topic ends at
/// 3, and the copy of the store that has version 1 only.
struct DrillFixture : StoreEraFixture {
  DrillFixture() {
    addEndpoint("i-1");
    Store.write(Operators, "other", "{}");
    writeConfiguration(1, {"/old/"});
    Copy = Store.copy();
    writeConfiguration(2, {"/old/", "/new/"});
  }
  EraGateway &startReady(const std::string &name) {
    EraGateway &it = start(name);
    awaitStatus(it, "/new/", 200);
    return it;
  }
  /// Starts the holder of the fleet's duty, and another gateway.
  void startTwo() {
    startReady("a");
    awaitMetric(Gateways.at("a"), "hickory_gateway_holds_duty", 1);
    startReady("b");
    awaitMetric(Gateways.at("b"), "hickory_gateway_members", 2);
  }
  EraGateway &holder() { return Gateways.at("a"); }
  EraGateway &member() { return Gateways.at("b"); }

  StoreStandIn::Topics Copy;
};

/// Holders of the duty by token, as the store has them.
std::map<int64_t, std::set<std::string>>
holdersByToken(const StoreStandIn::Topics &topics) {
  std::map<int64_t, std::set<std::string>> out;
  if (auto topic = topics.find("keyed.duty"); topic != topics.end())
    for (const auto &it : topic->second)
      if (auto record = Codec::decode<Duty::Record>(it.Value.value_or("")))
        out[record->Token].insert(record->Holder);
  return out;
}

bool contains(const std::vector<unsigned> &statuses, unsigned status) {
  return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

} // namespace

// Issue 50: a version that took an offset which the gateway had read in the era
// before was never read, and its route was answered 404.
TEST_CASE_FIXTURE(DrillFixture,
                  "store that comes back older, version with an offset that "
                  "the gateway has read before, its route is served") {
  EraGateway &gateway = startReady("a");
  uint64_t end = Store.endOf(Operators);
  Store.comeBackFrom(Copy);
  writeConfiguration(3, {"/old/", "/new/", "/added/"});
  REQUIRE(Store.endOf(Operators) == end);
  awaitStatus(gateway, "/added/", 200);
}

// The gateway has read beyond the end, so that one more record is missed at
// each offset that is given out again.
TEST_CASE_FIXTURE(DrillFixture,
                  "store that comes back older twice in a row, version with "
                  "an offset of both eras before, its route is served") {
  EraGateway &gateway = startReady("a");
  Store.comeBackFrom(Copy);
  Store.comeBackFrom(Copy);
  writeConfiguration(3, {"/old/", "/new/", "/added/"});
  awaitStatus(gateway, "/added/", 200);
}

// The offset of a gateway that has not read the new era compares as newer.
TEST_CASE_FIXTURE(DrillFixture,
                  "store that comes back older, holder has read the new era "
                  "and another gateway has a higher offset of the old one, "
                  "both serve an added route") {
  startTwo();
  uint64_t end = Store.endOf(Operators);
  member().Door->Rejected = {Operators};
  Store.comeBackFrom(Copy);
  awaitReads(Operators);
  writeConfiguration(3, {"/old/", "/new/", "/added/"});
  REQUIRE(Store.endOf(Operators) == end);
  awaitStatus(holder(), "/added/", 200);
  member().Door->Rejected.clear();
  awaitStatus(member(), "/added/", 200);
}

TEST_CASE_FIXTURE(DrillFixture,
                  "store that comes back older, another gateway has read the "
                  "new era and the holder has a higher offset of the old one, "
                  "both serve an added route") {
  startTwo();
  uint64_t end = Store.endOf(Operators);
  holder().Door->Rejected = {Operators};
  Store.comeBackFrom(Copy);
  awaitReads(Operators);
  writeConfiguration(3, {"/old/", "/new/", "/added/"});
  REQUIRE(Store.endOf(Operators) == end);
  awaitStatus(member(), "/added/", 200);
  holder().Door->Rejected.clear();
  awaitStatus(holder(), "/added/", 200);
}

// Without it no log line tells a lost record from a topic without news.
TEST_CASE_FIXTURE(DrillFixture,
                  "store that comes back older, its era is in the metrics, "
                  "also while it rejects all reads") {
  EraGateway &gateway = startReady("a");
  awaitMetric(gateway, "hickory_gateway_store_era", 1);
  gateway.Door->Rejected = {Operators, Servers, "keyed.duty"};
  Store.comeBackFrom(Copy);
  awaitMetric(gateway, "hickory_gateway_store_era", 2);
  CHECK(metric(gateway, "hickory_gateway_store_era_changes_total") == 1);
}

// Entries at offsets that were given out again were never read.
TEST_CASE_FIXTURE(DrillFixture,
                  "store that comes back older, endpoint that registers and "
                  "entry that is removed at offsets of the old era, both are "
                  "known") {
  Copy = Store.copy();
  addEndpoint("i-2");
  EraGateway &gateway = startReady("a");
  writeEntry("i-1");
  awaitMetric(gateway, "hickory_gateway_endpoints", 2);
  awaitReads(Servers);
  uint64_t end = Store.endOf(Servers);
  Store.comeBackFrom(Copy);
  Store.write(Servers, "i-1", std::nullopt);
  ScriptedEndpoint &added = addEndpoint("i-3");
  REQUIRE(Store.endOf(Servers) == end);
  runUntil([&] {
    statusOf(gateway, "/new/");
    return !added.Requests.empty();
  });
  // i-2 has not registered again.
  awaitMetric(gateway, "hickory_gateway_endpoints", 1);
}

// Version 2 was in force: nobody goes back to what the copy says.
TEST_CASE_FIXTURE(DrillFixture,
                  "store that comes back older, gateway that starts before "
                  "the operator has written again, no call is answered 404") {
  startReady("a");
  awaitMetric(holder(), "hickory_gateway_holds_duty", 1);
  Store.comeBackFrom(Copy);
  awaitReads(Operators);
  EraGateway &late = start("b");
  auto before = awaitStatus(late, "/new/", 200);
  CHECK_FALSE(contains(before, 404));
}

// An evacuation is in force until the operator withdraws it.
TEST_CASE_FIXTURE(DrillFixture,
                  "store that comes back older, evacuation that the copy lacks "
                  "stays, and ends when its record is deleted") {
  EraGateway &gateway = startReady("a");
  writeEvacuation("z");
  awaitMetric(gateway, "hickory_gateway_evacuated_domains", 1);
  Store.comeBackFrom(Copy);
  awaitMetric(gateway, "hickory_gateway_store_era", 2);
  awaitReads(Operators);
  CHECK(metric(gateway, "hickory_gateway_evacuated_domains") == 1);
  Store.write(Operators, "evacuate/z", std::nullopt);
  awaitMetric(gateway, "hickory_gateway_evacuated_domains", 0);
}

// The copy lists the endpoint as it was; the gateway knows of its removal.
TEST_CASE_FIXTURE(DrillFixture,
                  "store that comes back older, entry that was removed and is "
                  "in the copy again, the endpoint stays removed") {
  addEndpoint("i-2");
  Copy = Store.copy();
  EraGateway &gateway = startReady("a");
  awaitMetric(gateway, "hickory_gateway_endpoints", 2);
  Store.write(Servers, "i-2", std::nullopt);
  awaitMetric(gateway, "hickory_gateway_endpoints", 1);
  Store.comeBackFrom(Copy);
  awaitMetric(gateway, "hickory_gateway_store_era", 2);
  awaitReads(Servers);
  CHECK(metric(gateway, "hickory_gateway_endpoints") == 1);
  writeEntry("i-2");
  awaitMetric(gateway, "hickory_gateway_endpoints", 2);
}

// The copy lacks the first claim: the next one took its token again.
TEST_CASE_FIXTURE(DrillFixture,
                  "store that comes back older, gateway that starts then and "
                  "claims the duty, its token is above that of the holder") {
  startReady("a");
  awaitMetric(holder(), "hickory_gateway_holds_duty", 1);
  auto before = holdersByToken(Store.copy());
  REQUIRE_FALSE(before.empty());
  Store.comeBackFrom(Copy);
  kill("a");
  EraGateway &late = start("b");
  awaitMetric(late, "hickory_gateway_holds_duty", 1);
  auto after = holdersByToken(Store.copy());
  REQUIRE_FALSE(after.empty());
  CHECK(after.begin()->first > before.rbegin()->first);
}

TEST_CASE_FIXTURE(DrillFixture,
                  "store that comes back older, holder within its lease, it "
                  "writes its record again and keeps its token") {
  startReady("a");
  awaitMetric(holder(), "hickory_gateway_holds_duty", 1);
  auto before = holdersByToken(Store.copy());
  Store.comeBackFrom(Copy);
  runUntil([&] { return Store.endOf("keyed.duty") > 0; });
  CHECK(holdersByToken(Store.copy()) == before);
  CHECK(metric(holder(), "hickory_gateway_holds_duty") == 1);
}
