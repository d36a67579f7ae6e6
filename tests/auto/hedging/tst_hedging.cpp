#include "gatewayfixture.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using Action = Script::Action;
using Fleet::RouteKind;

namespace {

/// Answers after the time.
Script after(std::chrono::milliseconds delay, const std::string &text) {
  Script script{"", Action::Repeat, "", delay};
  script.Parts = {text};
  return script;
}

const std::string NamedRefusal =
    "HTTP/1.1 503 Full\r\nRequest-Id: @ID@\r\nNot-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n";

const Script Silent{};
const Script Broken{"", Action::Reset};

/// A gateway with two endpoints that usually answer after 20 ms.
struct HedgingFixture : GatewayFixture {
  explicit HedgingFixture(double share = 0.2) {
    Settings.HedgeShare = share;
    Settings.StopGrace = 1500ms;
    addRoute("/safe/", "s", RouteKind::Safe);
    addRoute("/once/", "s", RouteKind::Unsafe);
    addRoute("/stream/", "s", RouteKind::Streaming);
    addEndpoint("s");
    addEndpoint("s");
    for (ScriptedEndpoint &it : Endpoints)
      it.Respond = [this](const Http::Request &) { return respond(); };
    start();
  }
  Script respond() {
    ++Arrivals;
    if (Responses.empty())
      return Usual;
    Script next = Responses.front();
    Responses.pop_front();
    return next;
  }
  RawCaller &callRoute(const std::string &prefix) {
    return prefix == "/once/" ? call(prefix, "Content-Length: 0\r\n", "POST")
                              : call(prefix);
  }
  /// Makes just enough calls that the gateway knows the usual time to first
  /// byte. They follow one another, so that no spare connection is left whose
  /// close would count as a cancelled copy.
  void learnUsualTime(const std::string &prefix = "/safe/") {
    constexpr int enough = 40;
    for (int i = 0; i < enough; ++i)
      CHECK(statusOf(callRoute(prefix)) == 200);
    Arrivals = 0;
  }
  bool frontCameFirst() {
    return Endpoints.front().ArrivalTimes.back() <
           Endpoints.back().ArrivalTimes.back();
  }
  /// The endpoints of the first and the second copy of the latest call.
  ScriptedEndpoint &firstReached() {
    return frontCameFirst() ? Endpoints.front() : Endpoints.back();
  }
  ScriptedEndpoint &secondReached() {
    return frontCameFirst() ? Endpoints.back() : Endpoints.front();
  }
  bool bothClosed() {
    return firstReached().Ended == 1 && secondReached().Ended == 1;
  }
  /// Whether the metrics have this line.
  bool counts(const std::string &line) {
    return metrics().find(line + "\n") != std::string::npos;
  }
  bool received(const RawCaller &caller, const std::string &text) {
    return caller.Received.find(text) != std::string::npos;
  }

  Script Usual = after(20ms, answer(200, "usual"));
  /// Responses to the next requests, whichever endpoint receives them.
  std::deque<Script> Responses;
  int Arrivals = 0;
};

struct UnhedgedFixture : HedgingFixture {
  UnhedgedFixture() : HedgingFixture(0) {}
};

} // namespace

TEST_CASE_FIXTURE(HedgingFixture,
                  "call whose first endpoint is silent is answered by the "
                  "second copy, and the first one is closed at once") {
  learnUsualTime();
  Responses = {Silent, {answer(200, "copy")}};
  RawCaller &caller = call("/safe/");
  CHECK(statusOf(caller) == 200);
  CHECK(received(caller, "copy"));
  runUntil([&] { return firstReached().Ended == 1; });
  CHECK(Arrivals == 2);
  CHECK(counts("hickory_gateway_hedges_sent_total 1"));
  CHECK(counts("hickory_gateway_hedges_won_total 1"));
}

TEST_CASE_FIXTURE(HedgingFixture, "cancelled copy does not make its endpoint "
                                  "count as failing") {
  learnUsualTime();
  Responses = {Silent, {answer(200, "copy")}};
  CHECK(statusOf(call("/safe/")) == 200);
  size_t first = Endpoints.front().Requests.size();
  size_t second = Endpoints.back().Requests.size();
  Usual = {answer(200, "usual")};
  for (int i = 0; i < 20; ++i)
    CHECK(statusOf(call("/once/", "Content-Length: 0\r\n", "POST")) == 200);
  CHECK(Endpoints.front().Requests.size() > first);
  CHECK(Endpoints.back().Requests.size() > second);
}

TEST_CASE_FIXTURE(HedgingFixture, "first copy that answers before the second "
                                  "one wins, and the second one is closed") {
  learnUsualTime();
  Responses = {after(400ms, answer(200, "first")), Silent};
  RawCaller &caller = call("/safe/");
  CHECK(statusOf(caller) == 200);
  CHECK(received(caller, "first"));
  runUntil([&] { return secondReached().Ended == 1; });
  CHECK(Arrivals == 2);
  CHECK_FALSE(counts("hickory_gateway_hedges_won_total 1"));
}

TEST_CASE_FIXTURE(HedgingFixture, "answer of a losing copy reaches no caller") {
  learnUsualTime();
  Responses = {after(300ms, answer(200, "late")),
               after(100ms, answer(200, "copy"))};
  RawCaller &caller = connect();
  caller.send(requestText("/safe/", "q98", "", "GET"));
  runUntil([&] { return received(caller, "copy"); });
  Responses = {after(500ms, answer(200, "next"))};
  caller.send(requestText("/once/", "q99", "Content-Length: 0\r\n", "POST"));
  runUntil([&] { return received(caller, "next"); });
  CHECK_FALSE(received(caller, "late"));
}

TEST_CASE_FIXTURE(HedgingFixture,
                  "call goes on with the first copy when the second breaks") {
  learnUsualTime();
  Responses = {after(400ms, answer(200, "first")), Broken};
  RawCaller &caller = call("/safe/");
  CHECK(statusOf(caller) == 200);
  CHECK(received(caller, "first"));
  CHECK(Arrivals == 2);
}

TEST_CASE_FIXTURE(HedgingFixture,
                  "call goes on with the second copy when the first breaks") {
  learnUsualTime();
  Responses = {Silent, after(300ms, answer(200, "copy"))};
  RawCaller &caller = call("/safe/");
  runUntil([&] { return Arrivals == 2; });
  firstReached().resetAll();
  CHECK(statusOf(caller) == 200);
  CHECK(received(caller, "copy"));
  CHECK(Arrivals == 2);
}

TEST_CASE_FIXTURE(HedgingFixture,
                  "error of one copy does not end a call whose other copy "
                  "brings a good answer") {
  learnUsualTime();
  Responses = {after(300ms, answer(200, "first")), {answer(500, "error")}};
  RawCaller &caller = call("/safe/");
  CHECK(statusOf(caller) == 200);
  CHECK(received(caller, "first"));
  CHECK(Arrivals == 2);
}

TEST_CASE_FIXTURE(HedgingFixture,
                  "call whose copies both break has used the route's two "
                  "attempts") {
  learnUsualTime();
  Responses = {Silent, Silent};
  RawCaller &caller = call("/safe/");
  runUntil([&] { return Arrivals == 2; });
  for (ScriptedEndpoint &it : Endpoints)
    it.resetAll();
  CHECK(statusOf(caller) == 502);
  CHECK(Arrivals == 2);
}

TEST_CASE_FIXTURE(HedgingFixture,
                  "copy that is refused leaves the call to the other one") {
  learnUsualTime();
  Responses = {after(400ms, answer(200, "first")), {NamedRefusal}};
  RawCaller &caller = call("/safe/");
  CHECK(statusOf(caller) == 200);
  CHECK(received(caller, "first"));
}

TEST_CASE_FIXTURE(HedgingFixture,
                  "both copies are cancelled when the caller leaves") {
  learnUsualTime();
  Responses = {Silent, Silent};
  RawCaller &caller = call("/safe/");
  runUntil([&] { return Arrivals == 2; });
  caller.disconnect();
  runUntil([&] { return bothClosed(); });
}

TEST_CASE_FIXTURE(HedgingFixture, "both copies are cancelled at the deadline") {
  Config.Routes[0].Timeout = 700ms;
  publish();
  learnUsualTime();
  Responses = {Silent, Silent};
  CHECK(statusOf(call("/safe/")) == 504);
  runUntil([&] { return bothClosed(); });
  CHECK(Arrivals == 2);
}

TEST_CASE_FIXTURE(HedgingFixture, "planned stop ends both copies") {
  learnUsualTime();
  Responses = {Silent, Silent};
  RawCaller &caller = call("/safe/");
  runUntil([&] { return Arrivals == 2; });
  Process->shutDown();
  CHECK(statusOf(caller) == 504);
  runUntil([&] { return bothClosed(); });
}

TEST_CASE_FIXTURE(HedgingFixture,
                  "call that may run once and stream get no second copy") {
  Config.Routes[1].Timeout = Config.Routes[2].Timeout = 700ms;
  publish();
  for (const char *prefix : {"/once/", "/stream/"}) {
    Usual =
        after(20ms, prefix == std::string("/once/") ? answer(200, "usual")
                                                    : answer(200, "id: 1\n\n"));
    learnUsualTime(prefix);
    Responses = {Silent};
    CHECK(statusOf(callRoute(prefix)) == 504);
    CHECK(Arrivals == 1);
  }
}

TEST_CASE_FIXTURE(HedgingFixture, "call gets no second copy before the usual "
                                  "time is known") {
  Config.Routes[0].Timeout = 700ms;
  publish();
  Responses = {Silent};
  CHECK(statusOf(call("/safe/")) == 504);
  CHECK(Arrivals == 1);
}

TEST_CASE_FIXTURE(HedgingFixture,
                  "second slow call gets no copy before five first sends have "
                  "earned one at a share of 0.2") {
  Config.Routes[0].Timeout = 700ms;
  publish();
  learnUsualTime();
  Responses = {Silent, {answer(200, "copy")}, Silent};
  CHECK(statusOf(call("/safe/")) == 200);
  CHECK(statusOf(call("/safe/")) == 504);
  CHECK(Arrivals == 3);
}

TEST_CASE_FIXTURE(UnhedgedFixture, "share of 0 sends no second copy") {
  Config.Routes[0].Timeout = 700ms;
  publish();
  learnUsualTime();
  Responses = {Silent};
  CHECK(statusOf(call("/safe/")) == 504);
  CHECK(Arrivals == 1);
}
