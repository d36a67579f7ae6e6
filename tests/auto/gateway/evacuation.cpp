#include "gatewayfixture.h"

#include <doctest/doctest.h>
#include <utility>

using namespace std::chrono_literals;
using Fleet::RouteKind;

namespace {

/// A gateway, not started yet, with an endpoint in failure domain a and one in
/// b. Both answer at once.
struct TwoDomainFixture : GatewayFixture {
  TwoDomainFixture() {
    Settings.EvacuationBound = 60s; // The grace period outlasts the test.
    addRoute("/safe/", "s", RouteKind::Safe);
    for (const char *domain : {"a", "b"}) {
      addEndpoint("s").Respond = [](const Http::Request &) {
        return Script{answer(200, "ok")};
      };
      Reports.back().FailureDomain = domain;
    }
  }
  void evacuate(const std::string &domain) {
    OperatorRecords.push_back({"evacuate/" + domain, "{}"});
    awaitOperatorReads();
  }
  void withdraw(const std::string &domain) {
    OperatorRecords = {{"evacuate/" + domain, std::nullopt}};
    awaitOperatorReads();
  }
  size_t arrivalsAt(const std::string &domain) {
    return (domain == "a" ? Endpoints.front() : Endpoints.back())
        .Requests.size();
  }
  void callTimes(int n) {
    for (int i = 0; i < n; ++i)
      CHECK(statusOf(call("/safe/")) == 200);
  }
};

} // namespace

// Guards against calls to a closed domain at a gateway that starts during the
// evacuation and does not know its age.
TEST_CASE_FIXTURE(TwoDomainFixture,
                  "gateway that starts during an evacuation sends nothing to "
                  "the domain") {
  OperatorRecords = {{"evacuate/a", "{}"}};
  start();
  callTimes(20);
  CHECK(arrivalsAt("a") == 0);
  CHECK(arrivalsAt("b") == 20);
  CHECK(metrics().find("hickory_gateway_evacuated_domains 1") !=
        std::string::npos);
}

// Guards against calls that wait or fail slowly when no endpoint is left.
TEST_CASE_FIXTURE(TwoDomainFixture,
                  "call when all domains are closed is refused at once as not "
                  "run, and answered after the withdrawal") {
  Settings.EvacuationBound.reset();
  start();
  evacuate("a");
  evacuate("b");
  RawCaller &caller = call("/safe/");
  CHECK(statusOf(caller) == 503);
  CHECK(caller.Received.find("Retry-After: ") != std::string::npos);
  CHECK(arrivalsAt("a") + arrivalsAt("b") == 0);
  withdraw("b");
  OperatorRecords.push_back({"evacuate/a", "{}"});
  callTimes(5);
  CHECK(arrivalsAt("b") == 5);
}

TEST_CASE_FIXTURE(TwoDomainFixture,
                  "domain in its grace period gets calls only when no other "
                  "endpoint can run them") {
  start();
  evacuate("a");
  callTimes(20);
  CHECK(arrivalsAt("a") == 0);
  drainEndpoint("i-2");
  callTimes(3);
  CHECK(arrivalsAt("a") == 3);
}

// Guards against a grace period that ends only when something else changes.
TEST_CASE_FIXTURE(TwoDomainFixture,
                  "domain gets its last call before the bound while calls "
                  "come") {
  Settings.EvacuationBound = 2s;
  start();
  drainEndpoint("i-2");
  Utils::TimePoint bound = Utils::BootClock::now() + *Settings.EvacuationBound;
  evacuate("a");
  constexpr unsigned refused = 503;
  unsigned status = 0;
  while (Utils::BootClock::now() < bound + 200ms) {
    unsigned previous = std::exchange(status, statusOf(call("/safe/")));
    CHECK((status == refused || status == 200));
    CHECK((status == refused || previous != refused)); // It stays closed.
    runUntil([&, until = Utils::BootClock::now() + 5ms] {
      return Utils::BootClock::now() >= until;
    });
  }
  CHECK(status == refused);
  REQUIRE(arrivalsAt("a") > 0);
  CHECK(Endpoints.front().ArrivalTimes.back() < bound);
}

TEST_CASE_FIXTURE(TwoDomainFixture,
                  "domain whose evacuation is withdrawn gets calls again") {
  Settings.EvacuationBound.reset();
  start();
  evacuate("a");
  callTimes(3);
  CHECK(arrivalsAt("a") == 0);
  withdraw("a");
  drainEndpoint("i-2");
  callTimes(3);
  CHECK(arrivalsAt("a") == 3);
}

namespace {

struct ViewFixture {
  ViewFixture() {
    Source.EvacuatedDomain = [](const std::string &key) {
      return std::optional(key);
    };
  }
  Gateway::Store Source;
  Gateway::View View{Source, 5000ms};
  Utils::TimePoint Now{1h};
};

} // namespace

// Guards against a domain that stays closed after a withdrawal that was deleted
// from the store before this gateway read it.
TEST_CASE_FIXTURE(ViewFixture,
                  "snapshot withdraws evacuations that it does not hold and "
                  "keeps the others with their times") {
  View.applyOperators({{"a", "{}"}, {"b", "{}"}}, false, Now - 1s, Now);
  CHECK(View.evacuations().isInGracePeriod("b", Now));
  View.applyOperators({{"b", "{}"}}, true, std::nullopt, Now + 1s);
  CHECK_FALSE(View.evacuations().isEvacuated("a"));
  CHECK(View.evacuations().isInGracePeriod("b", Now + 1s));
  CHECK(View.evacuations().isClosed("b", Now + 3s));
}

// Guards against a value of another writer that hides an evacuation.
TEST_CASE_FIXTURE(ViewFixture,
                  "evacuation whose value cannot be read is in force") {
  Source.CheckEvacuation = [](const std::string &) {
    return Utils::Status(Utils::failure(Utils::Errc::Corrupt, "value"));
  };
  View.applyOperators({{"a", "?"}}, true, std::nullopt, Now);
  CHECK(View.evacuations().isClosed("a", Now));
}
