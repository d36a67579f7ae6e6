#include "twoendpointfixture.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

/// A gateway that stops with two endpoints that do not answer unless the test
/// lets them.
struct PlannedStopFixture : GatewayFixture {
  explicit PlannedStopFixture(Utils::Milliseconds grace = 60s) {
    Settings.StopGrace = grace;
    addRoute("/unsafe/", "s", Fleet::RouteKind::Unsafe);
    addRoute("/stream/", "s", Fleet::RouteKind::Streaming);
    for (int i = 0; i < 2; ++i)
      addEndpoint("s");
    start();
  }
  size_t arrivals() const {
    size_t n = 0;
    for (const ScriptedEndpoint &it : Endpoints)
      n += it.Requests.size();
    return n;
  }
  bool acceptsConnections() {
    std::error_code ec;
    auto address = HttpIo::parseEndpoint(Settings.CallerAddress, ec);
    HttpIo::Tcp::socket socket(Loop);
    socket.connect(address, ec);
    return !ec;
  }
  /// Begins to stop and waits until new callers are no longer accepted.
  void stopAccepting() {
    Process->shutDown();
    Utils::TimePoint nextProbe{};
    runUntil([&] {
      if (Utils::BootClock::now() < nextProbe)
        return false;
      nextProbe = Utils::BootClock::now() + 20ms;
      return !acceptsConnections();
    });
  }
  /// Waits until the caller has an answer or the process has ended.
  unsigned statusAtEnd(RawCaller &caller) {
    runUntil([&] { return Loop.stopped() || !caller.Received.empty(); });
    Loop.restart();
    Loop.poll(); // Receives what was sent just before the end.
    return caller.Received.empty() ? 0 : statusOf(caller);
  }
  static constexpr std::string_view Refused = "HTTP/1.1 503 ";
};

/// One whose grace period ends within the test.
struct ShortStopFixture : PlannedStopFixture {
  ShortStopFixture() : PlannedStopFixture(4s) {}
};

} // namespace

// Issue 41, other operators, LOST: calls that came late in a planned stop were
// sent on, and cut without an answer when the process ended.
TEST_CASE_FIXTURE(PlannedStopFixture,
                  "call whose last byte comes after the balancer has drained "
                  "is refused as not run and sent to no endpoint") {
  std::string text = requestText("/unsafe/", "q1", "", "POST");
  RawCaller &caller = connect();
  caller.send(text.substr(0, text.size() / 2));
  runUntil([elapsed = 0]() mutable { return ++elapsed > 10; });
  stopAccepting();
  caller.send(text.substr(text.size() / 2));
  CHECK(statusAtEnd(caller) == 503);
  CHECK(caller.Received.find("Retry-After: 0.020") != std::string::npos);
  CHECK(arrivals() == 0);
}

TEST_CASE_FIXTURE(PlannedStopFixture,
                  "call behind a stream that ends after the balancer has "
                  "drained is refused as not run and sent to no endpoint") {
  Scripts = {{StreamHead + chunk(event(1))}};
  RawCaller &caller = connect();
  caller.send(requestText("/stream/", "q1", "", "GET"));
  runUntil([&] { return caller.Received.find("id: 1") != std::string::npos; });
  stopAccepting();
  caller.send(requestText("/unsafe/", "q2", "", "POST"));
  for (ScriptedEndpoint &it : Endpoints)
    it.sendToAll(chunk(event(2)) + "0\r\n\r\n");
  runUntil([&] {
    return Loop.stopped() || caller.Ended ||
           caller.Received.find(Refused) != std::string::npos;
  });
  CHECK(caller.Received.find("id: 2") != std::string::npos);
  CHECK(caller.Received.find(Refused) != std::string::npos);
  CHECK(arrivals() == 1);
}

TEST_CASE_FIXTURE(ShortStopFixture,
                  "call that arrives during the stop is sent on with no more "
                  "time than the process has left") {
  Process->shutDown();
  call("/unsafe/", "Content-Length: 0\r\n", "POST");
  runUntil([&] { return arrivals() == 1; });
  const ScriptedEndpoint &reached =
      Endpoints.front().Requests.empty() ? Endpoints.back() : Endpoints.front();
  const std::string *left =
      reached.Requests.front().Headers.find("Deadline-Milliseconds");
  REQUIRE(left);
  CHECK(std::stoll(*left) <= Settings.StopGrace.count());
}

TEST_CASE_FIXTURE(ShortStopFixture,
                  "call that is still at work when the grace period ends gets "
                  "an answer that does not say it was not run") {
  RawCaller &caller = call("/unsafe/", "Content-Length: 0\r\n", "POST");
  runUntil([&] { return arrivals() == 1; });
  Process->shutDown();
  CHECK(statusAtEnd(caller) == 504);
}
