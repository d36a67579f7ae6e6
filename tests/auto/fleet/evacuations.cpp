#include "fleet/evacuations.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using namespace Fleet;

namespace {

const TimePoint Now{1h};
constexpr Milliseconds Bound{5000};

/// The request was not there 700 ms before it was received.
Evacuations requested(const std::string &domain) {
  Evacuations out(Bound);
  CHECK(out.request(domain, Now - 700ms, Now));
  return out;
}

} // namespace

// Guards against a grace period that is counted from the receipt of the
// request, which may be later than its acknowledgement.
TEST_CASE("evacuation, age known, is in force a margin before the bound after "
          "the last read without it") {
  Evacuations evacuations = requested("z");
  TimePoint end = Now - 700ms + Bound - EvacuationMargin;
  CHECK(evacuations.isEvacuated("z"));
  CHECK(evacuations.isInGracePeriod("z", Now));
  CHECK_FALSE(evacuations.isClosed("z", end - 1ms));
  CHECK(evacuations.isClosed("z", end));
  CHECK_FALSE(evacuations.isInGracePeriod("z", end));
  CHECK_FALSE(evacuations.isEvacuated("y"));
  CHECK_FALSE(evacuations.isClosed("y", end));
}

// Guards against calls after the bound at a gateway that starts, or reads a
// snapshot after a loss, during an evacuation.
TEST_CASE("evacuation, age not known, is in force at once") {
  Evacuations evacuations(Bound);
  evacuations.request("z", std::nullopt, Now);
  CHECK(evacuations.isClosed("z", Now));
}

TEST_CASE("evacuation, deployment without a bound, is in force at once") {
  Evacuations evacuations;
  evacuations.request("z", Now, Now);
  CHECK(evacuations.isClosed("z", Now));
}

// Guards against a fresh grace period at a gateway that was cut off from the
// store when the evacuation was requested.
TEST_CASE("evacuation, read after a long outage of the store, is in force at "
          "once") {
  Evacuations evacuations(Bound);
  evacuations.request("z", Now - 1min, Now);
  CHECK(evacuations.isClosed("z", Now));
}

// Guards against an operator who repeats the request and so postpones it.
TEST_CASE("evacuation, requested again, keeps its time") {
  Evacuations evacuations = requested("z");
  TimePoint end = evacuations.all().find("z")->second.InForceAt;
  CHECK_FALSE(evacuations.request("z", Now + 2s, Now + 2s));
  CHECK(evacuations.all().find("z")->second.InForceAt == end);
}

TEST_CASE("evacuation, withdrawn within a second, leaves the domain open and "
          "never comes into force") {
  Evacuations evacuations = requested("z");
  CHECK(evacuations.withdraw("z"));
  CHECK_FALSE(evacuations.withdraw("z"));
  CHECK_FALSE(evacuations.isInGracePeriod("z", Now + 1s));
  CHECK_FALSE(evacuations.isClosed("z", Now + 1h));
  CHECK(evacuations.takeInForce(Now + 1h).empty());
  CHECK_FALSE(evacuations.nextInForceAt());
}

TEST_CASE("two domains evacuated in series come into force one by one, each "
          "reported once") {
  Evacuations evacuations = requested("a");
  TimePoint first = *evacuations.nextInForceAt();
  evacuations.request("b", Now + 1s, Now + 2s);
  TimePoint second = Now + 1s + Bound - EvacuationMargin;
  CHECK(evacuations.takeInForce(Now).empty());
  CHECK(evacuations.takeInForce(first) == std::vector<std::string>{"a"});
  CHECK_FALSE(evacuations.isClosed("b", first));
  CHECK(evacuations.nextInForceAt() == second);
  CHECK(evacuations.takeInForce(second) == std::vector<std::string>{"b"});
  CHECK(evacuations.isClosed("a", second));
  CHECK_FALSE(evacuations.nextInForceAt());
}

TEST_CASE("complete list of requests names the evacuations that it misses") {
  Evacuations evacuations = requested("a");
  evacuations.request("b", Now, Now);
  CHECK(evacuations.missingFrom({"b"}) == std::vector<std::string>{"a"});
}
