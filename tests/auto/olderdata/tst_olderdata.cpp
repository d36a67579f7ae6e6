#include "platform/callheaders.h"
#include "platform/operatorconfig.h"
#include "platform/storeclient.h"
#include "storeerafixture.h"

#include <algorithm>
#include <asio/ip/udp.hpp>
#include <doctest/doctest.h>

// Known failures, see KNOWN-RED.txt: gateways that answer by an older
// configuration although they, or the fleet, know of a newer one.

namespace {

constexpr const char *Operators = "keyed.op";
constexpr const char *Servers = "keyed.servers";
constexpr const char *Duty = "keyed.duty";

/// A version 3 whose routes cannot be read.
constexpr const char *Unreadable = R"({"version":3,"services":[]})";

bool contains(const std::vector<unsigned> &statuses, unsigned status) {
  return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

/// Gateways that know version 2 of the configuration, of which the copy of the
/// store has version 1 only.
struct OlderDataFixture : StoreEraFixture {
  OlderDataFixture() {
    addEndpoint("i-1");
    writeConfiguration(1, {"/old/"});
  }
  EraGateway &startServing(const std::string &name, const std::string &prefix) {
    EraGateway &it = start(name);
    awaitStatus(it, prefix, 200);
    return it;
  }
  /// Starts the holder `a` of the duty, and another gateway `c`.
  void startTwo() {
    startServing("a", "/old/");
    awaitHolder("a");
    startServing("c", "/old/");
    awaitMetric(Gateways.at("a"), "hickory_gateway_members", 2);
  }
  void awaitHolder(const std::string &name) {
    awaitMetric(Gateways.at(name), "hickory_gateway_holds_duty", 1);
  }
  /// Brings version 2, which the copy lacks, into force everywhere.
  void copyThenConfigure() {
    Copy = Store.copy();
    writeConfiguration(2, {"/old/", "/new/"});
    for (auto &[name, it] : Gateways)
      awaitStatus(it, "/new/", 200);
  }
  void writeUnreadable() {
    Store.write(Operators, "config", Unreadable);
    for (auto &[name, it] : Gateways)
      awaitMetric(it, "hickory_gateway_configuration_behind", 1);
  }
  /// Starts a gateway whose build cannot read version 3.
  EraGateway &startOlderBuild(const std::string &name);

  StoreStandIn::Topics Copy;
};

EraGateway &OlderDataFixture::startOlderBuild(const std::string &name) {
  auto freePort = [this] {
    HttpIo::Tcp::acceptor port(Loop, {asio::ip::address_v4::loopback(), 0});
    return port.local_endpoint().port();
  };
  EraGateway &it = Gateways[name];
  it.Door = &Store.openDoor();
  it.Settings.VmName = name;
  it.Settings.FailureDomain = "z";
  it.Settings.RetrySlack = 100;
  it.Settings.IpAddress = "127.0.0.1";
  it.Settings.CallerAddress = "127.0.0.1:" + std::to_string(freePort());
  it.Settings.ReadinessAddress = "127.0.0.1:" + std::to_string(freePort());
  it.Settings.MetricsPort = freePort();
  asio::ip::udp::socket port(Loop, {asio::ip::address_v4::loopback(), 0});
  it.Settings.FirstInternalPort = port.local_endpoint().port();
  port.close();
  it.StorePool = std::make_unique<HttpIo::ClientPool>(it.Loop);
  Gateway::Store store = Platform::makeStoreClient(*it.StorePool, it.Loop,
                                                   it.Door->Address, false);
  auto decode = store.DecodeConfiguration;
  store.DecodeConfiguration = [decode](const std::string &text) {
    auto decoded = decode(text);
    if (decoded && (*decoded)->Version == 3)
      return Utils::Outcome<Fleet::ConfigurationRef>(
          Utils::failure(Utils::Errc::Corrupt, "a newer format"));
    return decoded;
  };
  it.Process = std::make_unique<Gateway::Process>(
      it.Loop, it.Settings,
      Gateway::PlatformClients{Platform::makeCallWire(), store, {}});
  REQUIRE(it.Process->start());
  return it;
}

} // namespace

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

// Guards against a relay that puts the version in force in place of a newer
// record without a word that there is one.
TEST_CASE_FIXTURE(OlderDataFixture,
                  "newest record cannot be read, gateway that the store "
                  "rejects gets the holder's records, an added route is not "
                  "answered 404") {
  startTwo();
  copyThenConfigure();
  EraGateway &member = Gateways.at("c");
  member.Door->Rejected = {Operators};
  Store.write(Operators, "config", Unreadable);
  awaitMetric(Gateways.at("a"), "hickory_gateway_configuration_behind", 1);
  runUntil([&] {
    return metric(member, "hickory_gateway_relayed_reads_total") >= 1;
  });
  CHECK(statusOf(member, "/added/") == 503);
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

// Guards against a gateway that takes the silence of a fleet without a holder
// for its consent to the older version.
TEST_CASE_FIXTURE(OlderDataFixture,
                  "store that comes back older, holder dead, gateway that "
                  "starts does not deny what the others serve") {
  startTwo();
  copyThenConfigure();
  kill("a");
  Store.comeBackFrom(Copy);
  EraGateway &late = start("b");
  CHECK_FALSE(contains(awaitStatus(late, "/new/", 200), 404));
}

// Guards against a transfer that begins again with each heartbeat, as its
// records never bring the version into force.
TEST_CASE_FIXTURE(OlderDataFixture,
                  "gateway whose build cannot read the version in force, its "
                  "record is not relayed again and again") {
  startServing("a", "/old/");
  awaitHolder("a");
  EraGateway &older = startOlderBuild("b");
  awaitStatus(older, "/old/", 200);
  writeConfiguration(3, {"/old/", "/added/"});
  awaitStatus(Gateways.at("a"), "/added/", 200);
  awaitStatus(older, "/added/", 503);
  for (int i = 0; i < 5; ++i)
    awaitReads(Operators);
  CHECK(metric(older, "hickory_gateway_relayed_reads_total") <= 1);
  CHECK(metric(older, "hickory_gateway_configurations_rejected_total") <= 2);
}

// Guards against a gateway that refuses all calls for ever, as the fleet has a
// version in force that its build cannot read.
TEST_CASE_FIXTURE(OlderDataFixture,
                  "store that comes back older, gateway starts whose build "
                  "cannot read the version in force, it serves the routes that "
                  "it knows once that version is written again") {
  startServing("a", "/old/");
  awaitHolder("a");
  Copy = Store.copy();
  writeConfiguration(3, {"/old/", "/added/"});
  awaitStatus(Gateways.at("a"), "/added/", 200);
  Store.comeBackFrom(Copy);
  EraGateway &older = startOlderBuild("b");
  awaitMetric(older, "hickory_gateway_configuration_version", 1);
  writeConfiguration(3, {"/old/", "/added/"});
  awaitMetric(older, "hickory_gateway_configuration_behind", 1);
  awaitStatus(older, "/old/", 200);
}

// Guards against the withdrawal of an evacuation by a relay from a gateway that
// has read only the copy.
TEST_CASE_FIXTURE(OlderDataFixture,
                  "store that comes back older, holder that starts again "
                  "relays the copy, an evacuation that it lacks stays") {
  startTwo();
  Copy = Store.copy();
  writeEvacuation("z");
  EraGateway &member = Gateways.at("c");
  awaitMetric(member, "hickory_gateway_evacuated_domains", 1);
  kill("a");
  member.Door->Rejected = {Operators};
  Store.comeBackFrom(Copy);
  start("a");
  awaitHolder("a");
  runUntil([&] {
    return metric(member, "hickory_gateway_relayed_reads_total") >= 1;
  });
  CHECK(metric(member, "hickory_gateway_evacuated_domains") == 1);
}

// Guards against limits that all fall back to the built-in ones, as one of
// their members cannot be read, so that proper requests are answered 431 or
// 413.
TEST_CASE("limits have a member that cannot be read, the others of the same "
          "version hold") {
  auto decoded = Platform::decodeConfiguration(
      R"({"version":3,"routes":[],"services":[],"limits":)"
      R"({"max_header_bytes":65536,"max_body_bytes":9000000,)"
      R"("idle_timeout_ms":"soon"}})",
      false);
  REQUIRE(decoded);
  CHECK((*decoded)->Limits.HeaderBytes == 65536);
  CHECK((*decoded)->Limits.BodyBytes == 9000000);
}
