#include "olderdatafixture.h"
#include "platform/callheaders.h"
#include "platform/storeclient.h"

#include <algorithm>
#include <asio/ip/udp.hpp>
#include <doctest/doctest.h>

// Gateways that answer by an older configuration although they, or the fleet,
// know of a newer one.

namespace {

bool contains(const std::vector<unsigned> &statuses, unsigned status) {
  return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

struct OlderBuildFixture : OlderDataFixture {
  /// Starts a gateway whose build cannot read version 3.
  EraGateway &startOlderBuild(const std::string &name);
};

EraGateway &OlderBuildFixture::startOlderBuild(const std::string &name) {
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
TEST_CASE_FIXTURE(OlderBuildFixture,
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
TEST_CASE_FIXTURE(OlderBuildFixture,
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
