#include "gatewayfixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace std::chrono_literals;
using Utils::BootClock;

namespace {

/// Several gateways before one store. Endpoint i-1 is in failure domain a, and
/// i-2, if there is one, in b.
struct FleetFixture : GatewayFixture {
  explicit FleetFixture(std::chrono::milliseconds bound) {
    Settings.EvacuationBound = bound;
  }
  void addDomain(const std::string &domain, std::vector<std::string> models) {
    addEndpoint("s", std::move(models)).Respond = [](const Http::Request &) {
      return Script{answer(200, "id: 1\n\n")};
    };
    Reports.back().FailureDomain = domain;
  }
  void startHolder() {
    startMember("holder");
    runUntil([&] { return DutyRecord.has_value(); });
  }
  void startMember(const std::string &name) {
    Gateway::GatewaySettings settings = makeSettings(name);
    settings.EvacuationBound = Settings.EvacuationBound;
    CallerAddresses.push_back(settings.CallerAddress);
    startOther(name, settings);
  }
  /// Writes the record of domain a and returns the time of the write.
  Utils::TimePoint write(std::optional<std::string> value) {
    OperatorRecords = {{"evacuate/a", std::move(value)}};
    ++OperatorsEnd;
    return BootClock::now();
  }
  void waitUntil(Utils::TimePoint at) {
    runUntil([&] { return BootClock::now() >= at; });
  }
  Utils::TimePoint lastArrival(const std::string &id) {
    const auto &endpoint = id == "i-1" ? Endpoints.front() : Endpoints.back();
    REQUIRE_FALSE(endpoint.ArrivalTimes.empty());
    return endpoint.ArrivalTimes.back();
  }
  bool metricsContain(const std::string &line) {
    return metrics().find("\n" + line + "\n") != std::string::npos;
  }

  std::vector<std::string> CallerAddresses;
};

/// Three gateways; only the engine in domain a holds model m0, and the one in b
/// has no free memory.
struct DyingHolderFixture : FleetFixture {
  DyingHolderFixture() : FleetFixture(4s) {
    addEngine("s", 4);
    addRoute("/model/", "s", Fleet::RouteKind::Streaming);
    addDomain("a", {"m0", "m1"});
    addDomain("b", {"m2", "m3"});
    for (Fleet::EndpointReport &it : Reports)
      it.OnDisk = {"m0", "m1", "m2", "m3"};
    startHolder();
    startMember("next");
    start();
    while (callBoth() != std::vector<unsigned>{200, 200})
      waitUntil(BootClock::now() + 20ms); // The other one is not ready yet.
  }
  /// Calls m0 at the two gateways that survive.
  std::vector<unsigned> callBoth() {
    std::vector<unsigned> out;
    const std::string own = Settings.CallerAddress;
    for (const std::string &it : {own, CallerAddresses.back()}) {
      Settings.CallerAddress = it;
      out.push_back(statusOf(call("/model/", "Model: m0\r\n")));
    }
    Settings.CallerAddress = own;
    return out;
  }
  /// Ends the holder when it has read the evacuation, before it plans by it.
  void killHolderAfterRead() {
    OtherGateway &holder = Others.at("holder");
    bool read = false;
    OnStoreRead = [&](const auto &loop, Gateway::Topic topic) {
      if (&loop != &holder.Loop || topic != Gateway::Topic::Operators)
        return;
      holder.Loop.stop();
      read = true;
    };
    runUntil([&] { return read; });
    OnStoreRead = {};
    killOther("holder");
  }
  bool hasLoaded(const std::string &id, const std::string &model) {
    const auto &orders = Engines[id].AcceptedOrders;
    return std::any_of(orders.begin(), orders.end(), [&](const auto &it) {
      return it.What == Residency::Change::LoadModel && it.Model == model;
    });
  }
};

/// A gateway that the store rejects beside a holder that reads the store. The
/// only endpoint is in domain a.
struct RejectedFixture : FleetFixture {
  RejectedFixture() : FleetFixture(3s) {
    addRoute("/safe/", "s", Fleet::RouteKind::Safe);
    addDomain("a", {});
    startHolder();
    start();
    CHECK(status() == 200);
    StoreAnswers = false;
  }
  unsigned status() { return statusOf(call("/safe/")); }
};

} // namespace

// Guards against an evacuation that ends, or whose models are loaded nowhere
// else, when the holder of the duty dies before it has planned by it.
TEST_CASE_FIXTURE(DyingHolderFixture,
                  "evacuation goes on at the next holder when the holder dies "
                  "midway") {
  uint64_t dutyEnd = DutyEnd;
  Utils::TimePoint writtenAt = write("{}");
  killHolderAfterRead();
  Utils::TimePoint bound = writtenAt + *Settings.EvacuationBound;
  while (BootClock::now() < bound + 2s) {
    CHECK(callBoth() == std::vector<unsigned>{200, 200});
    waitUntil(BootClock::now() + 10ms);
  }
  CHECK(DutyEnd > dutyEnd);
  CHECK(lastArrival("i-1") > writtenAt);
  CHECK(lastArrival("i-1") < bound);
  CHECK(lastArrival("i-2") > bound);
  CHECK(hasLoaded("i-2", "m0"));
  CHECK(Engines["i-1"].AcceptedOrders.empty());
}

// Guards against calls to the domain at a gateway that hears of the evacuation
// from the holder only.
TEST_CASE_FIXTURE(RejectedFixture,
                  "gateway that the store rejects closes a domain by the "
                  "records that the holder relays, and opens it again") {
  Utils::TimePoint writtenAt = write("{}");
  Utils::TimePoint bound = writtenAt + *Settings.EvacuationBound;
  while (BootClock::now() < bound + 500ms) {
    unsigned got = status();
    CHECK((got == 200 || got == 503));
    waitUntil(BootClock::now() + 10ms);
  }
  CHECK(lastArrival("i-1") > writtenAt);
  CHECK(lastArrival("i-1") < bound);
  CHECK(status() == 503);
  CHECK(metricsContain("hickory_gateway_evacuated_domains 1"));
  CHECK(metricsContain("hickory_gateway_relayed_reads_total 1"));
  write(std::nullopt);
  runUntil(
      [&] { return metricsContain("hickory_gateway_evacuated_domains 0"); });
  CHECK(status() == 200);
}
