#include "gateway/gatewayconstants.h"
#include "scriptedholder.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

/// A gateway that knows from its own read of the store that the entry of i-2
/// was removed, while its holder has read the topic to just before that.
struct StaleHolderFixture : ScriptedHolderFixture {
  static constexpr uint64_t BeforeRemoval = 10;

  StaleHolderFixture() {
    EndpointsEnd = EndpointsRead = BeforeRemoval;
    start();
    runUntil([&] { return knownEndpoints() == 2; });
  }
  void removeWhileHolderIsCutOff() {
    removeEntry("i-2");
    ++EndpointsEnd;
    EndpointsReadAt = Utils::BootClock::now() - Gateway::MaxRelayedAge;
    runUntil([&] { return knownEndpoints() == 1; });
  }
  /// The holder changes its entry of i-2, as after an order that was answered:
  /// by its newest read of the report, which the gateway has not seen.
  void sendEntryAgain() {
    FleetLink::EndpointEntry &entry = Entries.back();
    entry.Sequence += 3;
    entry.Revision = ++Revision;
    awaitAnswers();
  }
  /// The holder's table has the removal of i-2.
  void removeFromTable() {
    FleetLink::EndpointEntry &entry = Entries.back();
    entry = {};
    entry.Endpoint = "i-2";
    entry.Revision = ++Revision;
    entry.Removed = true;
  }
  /// Waits until the gateway has taken in some more answers of the holder.
  void awaitAnswers() {
    size_t before = Received.size();
    constexpr size_t enough = 3;
    runUntil([&] { return Received.size() >= before + enough; });
  }
};

} // namespace

// review/3, DRAIN: an order that a holder cut off from the store had sent was
// answered, and its entry brought back an endpoint that all others knew to be
// removed, as they had never got the newest sequence number.
TEST_CASE_FIXTURE(StaleHolderFixture,
                  "removed endpoint, a holder that has not read the removal "
                  "changes its entry, it gets no calls") {
  removeWhileHolderIsCutOff();
  sendEntryAgain();
  CHECK(knownEndpoints() == 1);
  CHECK(callsTo(Endpoints.back()) == 0);
}

// Guards against a gateway that takes the duty and sends orders to an endpoint
// that its predecessor brought back.
TEST_CASE_FIXTURE(StaleHolderFixture,
                  "removed endpoint, a stale holder changes its entry and "
                  "ends, the next holder does not list it") {
  removeWhileHolderIsCutOff();
  sendEntryAgain();
  Answers = false;
  runUntil([&] { return metric("hickory_gateway_holds_duty") == 1; });
  CHECK(knownEndpoints() == 1);
  CHECK(callsTo(Endpoints.back()) == 0);
}

// Guards against an endpoint that stays without calls after its entry is back:
// the holder sends it once, maybe before it has read as far as this gateway.
TEST_CASE_FIXTURE(StaleHolderFixture,
                  "removed endpoint, the holder that lists it reads on beyond "
                  "the removal, it gets calls again") {
  removeWhileHolderIsCutOff();
  sendEntryAgain();
  REQUIRE(knownEndpoints() == 1);
  EndpointsRead = ++EndpointsEnd;
  EndpointsReadAt = Utils::BootClock::now();
  runUntil([&] { return knownEndpoints() == 2; });
  CHECK(callsTo(Endpoints.back()) > 0);
}

// Guards against a report that was withheld and comes back with the next
// answer, though the holder has read the removal since.
TEST_CASE_FIXTURE(StaleHolderFixture,
                  "removed endpoint, the stale holder reads the removal, it "
                  "gets no calls") {
  removeWhileHolderIsCutOff();
  sendEntryAgain();
  removeFromTable();
  EndpointsRead = EndpointsEnd;
  awaitAnswers();
  CHECK(knownEndpoints() == 1);
  CHECK(callsTo(Endpoints.back()) == 0);
}

// Guards against a removal that outvotes the start of a new process with the
// same id.
TEST_CASE_FIXTURE(StaleHolderFixture,
                  "removed endpoint that starts again, its holder is in touch "
                  "with the store, it gets calls") {
  removeWhileHolderIsCutOff();
  FleetLink::EndpointEntry &entry = Entries.back();
  ++entry.StartedUnixMs;
  entry.Sequence = 1;
  entry.Revision = ++Revision;
  EndpointsRead = ++EndpointsEnd;
  EndpointsReadAt = Utils::BootClock::now();
  runUntil([&] { return knownEndpoints() == 2; });
  CHECK(callsTo(Endpoints.back()) > 0);
}

// Guards against a removal by a holder that is cut off before the endpoint
// started again, which this gateway has read itself.
TEST_CASE_FIXTURE(StaleHolderFixture,
                  "endpoint that started again, a holder that has read only "
                  "its removal sends that again, it keeps its calls") {
  Fleet::EndpointReport again = Reports.back();
  removeWhileHolderIsCutOff();
  EndpointsRead = EndpointsEnd;
  ++again.StartedUnixMs;
  Reports.push_back(again);
  RemovedEntries.clear();
  ++EndpointsEnd;
  runUntil([&] { return knownEndpoints() == 2; });
  removeFromTable();
  awaitAnswers();
  CHECK(knownEndpoints() == 2);
  CHECK(callsTo(Endpoints.back()) > 0);
}
