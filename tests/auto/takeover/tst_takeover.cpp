#include "gatewayfixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

/// A gateway that follows another one, the holder of the fleet's duty, and two
/// endpoints that both of them know.
struct TakeoverFixture : GatewayFixture {
  TakeoverFixture() : HolderSettings(makeSettings("holder")) {
    addRoute("/unsafe/", "s", Fleet::RouteKind::Unsafe);
    for (int i = 0; i < 2; ++i)
      addEndpoint("s").Respond = [](const Http::Request &) {
        return Script{answer(200, "ok")};
      };
    startOther("holder", HolderSettings);
    runUntil([&] { return DutyRecord.has_value(); });
  }
  /// Starts the gateway and waits until it follows the holder.
  void startFollower() {
    start();
    runUntil([&] { return knownEndpoints() == Reports.size(); });
    awaitHeartbeats();
  }
  /// Waits until the holder has answered some more reports: the age of what
  /// this gateway knows of the endpoints goes down only with an answer.
  void awaitHeartbeats() {
    constexpr int enough = 3;
    double before = metric("hickory_gateway_endpoints_age_seconds");
    for (int answers = 0; answers < enough;) {
      runUntil([&, until = Utils::BootClock::now() + 20ms] {
        return Utils::BootClock::now() >= until;
      });
      double age = metric("hickory_gateway_endpoints_age_seconds");
      answers += age < before;
      before = age;
    }
  }
  size_t knownEndpoints() {
    return size_t(metric("hickory_gateway_endpoints"));
  }
  double metric(const std::string &name) {
    std::string text = metrics();
    size_t at = text.find("\n" + name + " ");
    return at == std::string::npos
               ? -1
               : std::stod(text.substr(at + name.size() + 2));
  }
  /// Sends calls and returns how many of them reached the endpoint.
  size_t callsTo(const ScriptedEndpoint &endpoint) {
    constexpr int calls = 20;
    size_t before = endpoint.Requests.size();
    for (int i = 0; i < calls; ++i)
      CHECK(statusOf(call("/unsafe/")) == 200);
    return endpoint.Requests.size() - before;
  }

  Gateway::GatewaySettings HolderSettings;
};

} // namespace

// review/2, DRAIN: a holder that was killed and started again within a second
// knew nothing of an endpoint that had gone meanwhile, so that no gateway heard
// of its removal, and all but the holder went on calling it.
TEST_CASE_FIXTURE(TakeoverFixture,
                  "endpoint whose entry is removed while the holder restarts "
                  "gets no calls from the other gateways") {
  startFollower();
  killOther("holder");
  removeEntry("i-2");
  startOther("holder", HolderSettings);
  runUntil([&] { return knownEndpoints() == 1; });
  CHECK(callsTo(Endpoints.back()) == 0);
}

TEST_CASE_FIXTURE(TakeoverFixture,
                  "endpoints stay known while a restarted holder has not read "
                  "the store") {
  startFollower();
  killOther("holder");
  uint64_t endBefore = DutyEnd;
  startOther("holder", HolderSettings).StoreAnswers = false;
  // The gateway takes the duty itself in the end, as the other one cannot.
  runUntil([&] { return DutyEnd > endBefore + 1; });
  CHECK(knownEndpoints() == 2);
  CHECK(callsTo(Endpoints.back()) > 0);
}

// review/4, DRAIN: the next holder had read an endpoint's new state between two
// holders and passed it on to nobody.
TEST_CASE_FIXTURE(TakeoverFixture,
                  "state of an endpoint that the next holder read before it "
                  "took the duty reaches a gateway that has not read it") {
  Gateway::GatewaySettings next = makeSettings("next");
  startOther("next", next);
  startFollower();
  StoreAnswers = false;
  killOther("holder");
  markDraining("i-2");
  uint64_t endBefore = DutyEnd;
  runUntil([&] { return DutyEnd > endBefore; });
  awaitHeartbeats();
  CHECK(callsTo(Endpoints.back()) == 0);
}
