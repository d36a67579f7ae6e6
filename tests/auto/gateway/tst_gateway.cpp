#include "twoendpointfixture.h"

#include "gateway/gatewayconstants.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using Fleet::RouteKind;
using Action = Script::Action;

TEST_CASE("gateway without configuration is not ready and refuses calls as "
          "unavailable") {
  GatewayFixture fixture;
  fixture.StoreAnswers = false;
  fixture.launch();
  CHECK(fixture.readiness().find(" 503 ") != std::string::npos);
  RawCaller &caller = fixture.call("/nowhere/");
  CHECK(fixture.statusOf(caller) == 503);
}

TEST_CASE_FIXTURE(
    TwoEndpointFixture,
    "answer is forwarded with status, signature and body unchanged") {
  script({answer(200, "hello", "X-Own: 1\r\n")});
  RawCaller &caller = call("/safe/");
  CHECK(statusOf(caller) == 200);
  CHECK(caller.Received.find("Response-Seal: s") != std::string::npos);
  CHECK(caller.Received.find("X-Own: 1") != std::string::npos);
  CHECK(caller.Received.substr(caller.Received.size() - 5) == "hello");
}

// Issue 38: the caller's connection was closed instead.
TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "answer longer than the limit on unsent output is forwarded "
                  "completely") {
  std::string body(3 << 20, 'x');
  script({answer(200, body)});
  RawCaller &caller = call("/safe/");
  CHECK(statusOf(caller) == 200);
  CHECK(caller.Received.size() > body.size());
}

TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "call without a route gets 404, call without an endpoint "
                  "gets 503 with Retry-After") {
  CHECK(statusOf(call("/other/")) == 404);
  RawCaller &caller = call("/safe/", "Model: none\r\n");
  CHECK(statusOf(caller) == 503);
  CHECK(caller.Received.find("Retry-After: ") != std::string::npos);
  CHECK(arrivals() == 0);
}

TEST_CASE_FIXTURE(
    TwoEndpointFixture,
    "safe call whose answer is truncated is sent to another endpoint") {
  Scripts = {{"HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: "
              "9\r\n\r\nabc",
              Action::Close},
             {answer(200, "whole")}};
  RawCaller &caller = call("/safe/");
  CHECK(statusOf(caller) == 200);
  CHECK(caller.Received.find("abc") == std::string::npos);
  CHECK(arrivals() == 2);
}

TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "non-idempotent call whose answer is lost is not sent again "
                  "and not reported as not executed") {
  script({"", Action::Reset});
  CHECK(statusOf(call("/once/", "Content-Length: 0\r\n", "POST")) == 502);
  CHECK(arrivals() == 1);
}

TEST_CASE_FIXTURE(
    TwoEndpointFixture,
    "call that an endpoint states it has not executed is sent to another one") {
  Script full{"HTTP/1.1 503 Full\r\nRequest-Id: @ID@\r\nNot-Executed: "
              "1\r\nContent-Length: 0\r\n\r\n"};
  Scripts = {full, {answer(200, "ok")}};
  CHECK(statusOf(call("/once/", "Content-Length: 0\r\n", "POST")) == 200);
  CHECK(first().Requests.size() == 1);
  CHECK(second().Requests.size() == 1);
}

TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "503 of an endpoint without a not-executed header is not "
                  "forwarded as not executed") {
  script({"HTTP/1.1 503 Busy\r\nRequest-Id: @ID@\r\nContent-Length: "
          "0\r\n\r\n"});
  CHECK(statusOf(call("/once/", "Content-Length: 0\r\n", "POST")) == 502);
}

TEST_CASE_FIXTURE(
    TwoEndpointFixture,
    "late answer to an earlier call on the connection is discarded") {
  std::string late = "HTTP/1.1 200 OK\r\nRequest-Id: older\r\nResponse-Seal: "
                     "s\r\nContent-Length: 3\r\n\r\nold";
  script({late + answer(200, "mine")});
  RawCaller &caller = call("/once/", "Content-Length: 0\r\n", "POST");
  CHECK(statusOf(caller) == 200);
  CHECK(caller.Received.find("old") == std::string::npos);
  CHECK(caller.Received.find("mine") != std::string::npos);
}

TEST_CASE_FIXTURE(
    TwoEndpointFixture,
    "connection with extra bytes after the answer is not reused") {
  Scripts = {{answer(200, "one") + "HTTP/1.1 200 OK\r\n"},
             {answer(200, "two")}};
  CHECK(statusOf(call("/safe/")) == 200);
  CHECK(statusOf(call("/safe/")) == 200);
  CHECK(first().Accepted + second().Accepted == 2);
}

TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "successful answer without a signature is not forwarded") {
  script({"HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\nContent-Length: "
          "2\r\n\r\nno"});
  CHECK(statusOf(call("/once/", "Content-Length: 0\r\n", "POST")) == 502);
}

TEST_CASE_FIXTURE(
    TwoEndpointFixture,
    "signed error answer is forwarded if the call may not be sent again") {
  script({answer(500, "oops")});
  RawCaller &caller = call("/once/", "Content-Length: 0\r\n", "POST");
  CHECK(statusOf(caller) == 500);
  CHECK(caller.Received.find("Response-Seal: s") != std::string::npos);
}

TEST_CASE_FIXTURE(
    TwoEndpointFixture,
    "stream events are forwarded as they arrive and only when complete") {
  script({StreamHead + chunk(event(1) + "id: 2\nda")});
  RawCaller &caller = call("/stream/");
  runUntil([&] { return caller.Received.find(event(1)) != std::string::npos; });
  CHECK(caller.Received.find("id: 2") == std::string::npos);
}

TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "interrupted stream does not look complete") {
  script({StreamHead + chunk(event(1)), Action::Close});
  RawCaller &caller = call("/stream/");
  runUntil([&] { return caller.Ended; });
  CHECK(caller.Received.find(event(1)) != std::string::npos);
  CHECK(caller.Received.find("0\r\n\r\n") == std::string::npos);
  CHECK(arrivals() == 1);
}

TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "interrupted resumable stream continues at another endpoint "
                  "after the last complete event") {
  Script broken{StreamHead + chunk(event(1) + event(2) + "id: 3\nda"),
                Action::Close};
  Script rest{StreamHead + chunk(event(3)) + "0\r\n\r\n"};
  Scripts = {broken, rest};
  RawCaller &caller = call("/resume/");
  CHECK(statusOf(caller) == 200);
  CHECK(caller.Received.find("0\r\n\r\n") != std::string::npos);
  REQUIRE(first().Requests.size() == 1);
  REQUIRE(second().Requests.size() == 1);
  const std::string *a = first().Requests[0].Headers.find("Last-Event-Id");
  const std::string *b = second().Requests[0].Headers.find("Last-Event-Id");
  CHECK((a ? a : b) != nullptr);
  CHECK(*(a ? a : b) == "2");
  std::string events;
  std::string input = caller.Received;
  Http::ResponseParser parser;
  parser.feed(input, events);
  CHECK(events == event(1) + event(2) + event(3));
}

TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "interrupted stream that no other endpoint can resume ends "
                  "without further bytes") {
  drainEndpoint("i-2");
  script({StreamHead + chunk(event(1))});
  RawCaller &caller = call("/resume/");
  runUntil([&] { return !caller.Received.empty(); });
  size_t before = caller.Received.size();
  drainEndpoint("i-1");
  Endpoints.front().resetAll();
  runUntil([&] { return caller.Ended; });
  CHECK(caller.Received.size() == before);
}

TEST_CASE_FIXTURE(
    TwoEndpointFixture,
    "streaming call whose caller disconnects is cancelled at its endpoint") {
  script({StreamHead + chunk(event(1))});
  RawCaller &caller = call("/stream/");
  runUntil([&] { return !caller.Received.empty(); });
  caller.disconnect();
  runUntil([&] { return first().Ended + second().Ended == 1; });
}

TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "call that is not answered within the timeout of its route "
                  "gets 504 and its exchange is cancelled") {
  Config.Routes[1].Timeout = 50ms;
  publish();
  RawCaller &caller = call("/once/", "Content-Length: 0\r\n", "POST");
  CHECK(statusOf(caller) == 504);
  runUntil([&] { return first().Ended + second().Ended == 1; });
}

TEST_CASE_FIXTURE(TwoEndpointFixture, "draining endpoint receives no calls") {
  drainEndpoint("i-1");
  for (int i = 0; i < 20; ++i) {
    script({answer(200, "ok")});
    CHECK(statusOf(call("/safe/")) == 200);
  }
  CHECK(first().Requests.empty());
}

TEST_CASE_FIXTURE(
    TwoEndpointFixture,
    "key identifies the team, and a revoked or unknown key gets 401") {
  Fleet::Team team;
  team.Name = "kitchen";
  team.Keys = {"k"};
  Config.Teams = {team};
  publish();
  script({answer(200, "ok")});
  CHECK(statusOf(call("/safe/", "Credential: k\r\n")) == 200);
  CHECK(statusOf(call("/safe/", "Credential: other\r\n")) == 401);
  Config.Teams[0].Keys = {"k2"};
  publish();
  CHECK(statusOf(call("/safe/", "Credential: k\r\n")) == 401);
  CHECK(arrivals() == 1);
}

namespace {

struct QueueFixture : TwoEndpointFixture {
  QueueFixture() : TwoEndpointFixture(true) {}
};

} // namespace

TEST_CASE_FIXTURE(QueueFixture,
                  "calls over the limit of their team are told successive "
                  "times, and a repeated call its old time") {
  Fleet::Team team;
  team.Name = "kitchen";
  team.Keys = {"k"};
  team.RatePerSecond = 0.5;
  team.Burst = 1;
  Config.Teams = {team};
  publish();
  auto delayOf = [&](const std::string &route) {
    RawCaller &caller = call(route, "Credential: k\r\n");
    REQUIRE(statusOf(caller) == 429);
    size_t at = caller.Received.find("Retry-After: ");
    REQUIRE(at != std::string::npos);
    return std::stod(caller.Received.substr(at + 13));
  };
  script({answer(200, "ok")});
  CHECK(statusOf(call("/safe/", "Credential: k\r\n")) == 200);
  double first = delayOf("/safe/");
  double second = delayOf("/stream/");
  double repeated = delayOf("/safe/");
  CHECK(first <= 2);
  CHECK(second >= first + 1); // One call takes 2 s, less the time between.
  CHECK(repeated <= first);
  CHECK(metrics().find("hickory_gateway_limit_retry_after_seconds") !=
        std::string::npos);
}

TEST_CASE("key is not trusted once it may have been revoked unnoticed before "
          "the call reaches the endpoint") {
  GatewayFixture fixture;
  fixture.Settings.KeyRevocation = 900ms;
  Fleet::Team team;
  team.Name = "kitchen";
  team.Keys = {"k"};
  fixture.Config.Teams = {team};
  fixture.addRoute("/safe/", "s", RouteKind::Safe);
  fixture.addEndpoint("s");
  fixture.start();
  for (int i = 0; i < 2; ++i)
    fixture.Scripts.push_back({answer(200, "ok")});
  CHECK(fixture.statusOf(fixture.call("/safe/", "Credential: k\r\n")) == 200);
  fixture.StoreAnswers = false;
  bool elapsed = false;
  constexpr auto forwardingTime = 500ms; // Time from admission to the endpoint.
  fixture.runAfter(fixture.Settings.KeyRevocation - forwardingTime,
                   [&] { elapsed = true; });
  fixture.runUntil([&] { return elapsed; });
  CHECK(fixture.statusOf(fixture.call("/safe/", "Credential: k\r\n")) == 503);
  CHECK(fixture.Endpoints.front().Requests.size() == 1);
}

TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "gateway that shuts down is not ready, asks callers to close "
                  "their connections and still answers") {
  Process->shutDown();
  CHECK(readiness().find(" 503 ") != std::string::npos);
  script({answer(200, "ok")});
  RawCaller &caller = call("/safe/");
  CHECK(statusOf(caller) == 200);
  CHECK(caller.Received.find("Connection: close") != std::string::npos);
}

TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "metrics count calls by outcome and list the endpoints") {
  script({answer(200, "ok")});
  CHECK(statusOf(call("/safe/")) == 200);
  CHECK(statusOf(call("/other/")) == 404);
  std::string text = metrics();
  CHECK(text.find("hickory_gateway_calls_total{outcome=\"answered\"} 1") !=
        std::string::npos);
  CHECK(text.find("hickory_gateway_calls_total{outcome=\"no_route\"} 1") !=
        std::string::npos);
  CHECK(text.find("hickory_gateway_call_seconds_count 2") != std::string::npos);
  CHECK(text.find("hickory_gateway_endpoints 2") != std::string::npos);
}

TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "endpoint that announces its shutdown in an answer receives "
                  "no further call, whatever its reports say") {
  script({answer(200, "last", "Server-Leaving: 1\r\n")});
  RawCaller &caller = call("/safe/");
  CHECK(statusOf(caller) == 200);
  CHECK(caller.Received.find("Server-Leaving: 1") != std::string::npos);
  ScriptedEndpoint &left = first().Requests.empty() ? second() : first();
  for (Fleet::EndpointReport &it : Reports)
    ++it.Sequence; // The reports still say that they are ready.
  for (int i = 0; i < 20; ++i) {
    script({answer(200, "ok")});
    CHECK(statusOf(call("/safe/")) == 200);
  }
  CHECK(left.Requests.size() == 1);
}

TEST_CASE_FIXTURE(
    TwoEndpointFixture,
    "call that a draining endpoint rejects is sent to another one") {
  Scripts = {{answer(503, "", "Not-Executed: 1\r\nServer-Leaving: 1\r\n")},
             {answer(200, "ok")}};
  CHECK(statusOf(call("/once/")) == 200);
  CHECK(first().Requests.size() == 1);
  CHECK(second().Requests.size() == 1);
}

namespace {

/// Responses that never end.
const Script EndlessHead{"HTTP/1.1 200 OK\r\nX-A: ", Action::Repeat,
                         std::string(4096, 'a')};
const Script EndlessFields{"HTTP/1.1 200 OK\r\n", Action::Repeat, "X-A: b\r\n"};
const Script EndlessBody{"HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\n"
                         "Response-Seal: s\r\n\r\n",
                         Action::Repeat, std::string(65'536, 'b')};
const Script EndlessChunks{StreamHead, Action::Repeat,
                           chunk(std::string(65'536, 'c'))};
const Script EndlessChunkSize{StreamHead + "4;x=", Action::Repeat,
                              std::string(4096, 'd')};
const Script EndlessInterim{"", Action::Repeat,
                            "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"};

/// Maximum number of bytes of one answer that the gateway may read.
constexpr size_t MaxFloodBytes = 32 << 20;

} // namespace

TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "endless answer is aborted before it fills the memory, and "
                  "the caller gets no success") {
  for (const Script *it : {&EndlessHead, &EndlessFields, &EndlessBody,
                           &EndlessChunks, &EndlessChunkSize}) {
    CAPTURE(it->Text);
    script(*it);
    RawCaller &caller = call("/once/");
    CHECK(statusOf(caller) == 502);
    runUntil([&] { return first().Ended + second().Ended > 0; });
    CHECK(first().RepeatedBytes + second().RepeatedBytes < MaxFloodBytes);
    first().Ended = second().Ended = 0;
    first().RepeatedBytes = second().RepeatedBytes = 0;
  }
}

TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "stream with an endless event is aborted") {
  script({StreamHead + chunk(event(1)), Action::Repeat,
          chunk(std::string(65'536, 'e'))});
  RawCaller &caller = call("/stream/");
  runUntil([&] { return caller.Ended; });
  CHECK(caller.Received.find("id: 1") != std::string::npos);
  CHECK(caller.Received.find("\r\n0\r\n\r\n") == std::string::npos);
  runUntil([&] { return first().Ended + second().Ended > 0; });
  CHECK(first().RepeatedBytes + second().RepeatedBytes < MaxFloodBytes);
}

TEST_CASE_FIXTURE(
    TwoEndpointFixture,
    "endless answer that arrives slowly ends at the deadline of the call") {
  Script trickle = EndlessBody;
  trickle.RepeatedText = "x";
  trickle.Delay = 5ms;
  for (const Script &it : {trickle, Script{EndlessInterim.Text, Action::Repeat,
                                           EndlessInterim.RepeatedText, 5ms}}) {
    script(it);
    RawCaller &caller = call("/once/", "Deadline-Milliseconds: 200\r\n");
    CHECK(statusOf(caller) == 504);
    runUntil([&] { return first().Ended + second().Ended > 0; });
    first().Ended = second().Ended = 0;
  }
}

TEST_CASE_FIXTURE(
    TwoEndpointFixture,
    "endless answer ends at the deadline even if its caller has disconnected") {
  Script trickle = EndlessBody;
  trickle.RepeatedText = "x";
  trickle.Delay = 5ms;
  script(trickle);
  RawCaller &caller = call("/once/", "Deadline-Milliseconds: 300\r\n");
  runUntil([&] { return arrivals() == 1; });
  caller.disconnect();
  runUntil([&] { return first().Ended + second().Ended > 0; });
}

TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "endpoint that announced its shutdown to another gateway "
                  "receives no further call") {
  reportLeaving({{"i-1", 0}});
  for (int i = 0; i < 20; ++i) {
    script({answer(200, "ok")});
    CHECK(statusOf(call("/safe/")) == 200);
  }
  CHECK(first().Requests.empty());
}

TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "shutdown notice of an earlier process of an endpoint does "
                  "not affect the running one") {
  reportLeaving({{"i-1", -1}});
  for (int i = 0; i < 20; ++i) {
    script({answer(200, "ok")});
    CHECK(statusOf(call("/safe/")) == 200);
  }
  CHECK_FALSE(first().Requests.empty());
}

TEST_CASE_FIXTURE(TwoEndpointFixture, "endpoint that asks to back off receives "
                                      "nothing from this gateway until then") {
  Scripts = {{answer(503, "", "Not-Executed: 1\r\nRetry-After: 30\r\n")},
             {answer(200, "ok")}};
  CHECK(statusOf(call("/safe/")) == 200);
  for (int i = 0; i < 20; ++i) {
    script({answer(200, "ok")});
    CHECK(statusOf(call("/safe/")) == 200);
  }
  CHECK(std::min(first().Requests.size(), second().Requests.size()) == 1);
}

TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "call whose only endpoint asks to back off waits for it if "
                  "the deadline allows") {
  drainEndpoint("i-2");
  Scripts = {{answer(503, "", "Not-Executed: 1\r\nRetry-After: 0.3\r\n")},
             {answer(200, "ok")}};
  Utils::TimePoint before = Utils::BootClock::now();
  CHECK(statusOf(call("/safe/")) == 200);
  CHECK(Utils::BootClock::now() >= before + 300ms);
  CHECK(first().Requests.size() == 2);
}

TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "call whose only endpoint asks to back off is refused at "
                  "once if the deadline does not allow to wait") {
  drainEndpoint("i-2");
  script({answer(503, "", "Not-Executed: 1\r\nRetry-After: 30\r\n")});
  RawCaller &caller = call("/once/");
  CHECK(statusOf(caller) == 503);
  size_t at = caller.Received.find("Retry-After: ");
  REQUIRE(at != std::string::npos);
  double seconds = std::stod(caller.Received.substr(at + 13));
  CHECK(seconds > 20);
  CHECK(seconds <= 30);
  CHECK(first().Requests.size() == 1);
}

TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "long-poll timeout of the holder is short enough that others "
                  "may always use the configuration it has read") {
  runUntil([&] { return DutyRecord.has_value(); });
  publish();
  CHECK(ConfigurationPollTimeout > 0ms);
  auto maxAge = 2 * (ConfigurationPollTimeout + Gateway::SlowStoreLatency);
  CHECK(maxAge <= Gateway::MaxRelayedAge);
}
