#include "servedworld.h"

#include "gateway/gatewayconstants.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using Fleet::RouteKind;
using Then = Script::Then;

TEST_CASE("gateway that has read no configuration refuses without judging the "
          "call, and is not ready") {
  GatewayWorld world;
  world.StoreAnswers = false;
  world.open();
  CHECK(world.readiness().find(" 503 ") != std::string::npos);
  RawCaller &caller = world.call("/nowhere/");
  CHECK(world.statusOf(caller) == 503);
}

TEST_CASE_FIXTURE(Served, "answer comes back with status, signature and body "
                          "unchanged") {
  script({answer(200, "hello", "X-Own: 1\r\n")});
  RawCaller &caller = call("/safe/");
  CHECK(statusOf(caller) == 200);
  CHECK(caller.Received.find("Response-Seal: s") != std::string::npos);
  CHECK(caller.Received.find("X-Own: 1") != std::string::npos);
  CHECK(caller.Received.substr(caller.Received.size() - 5) == "hello");
}

TEST_CASE_FIXTURE(Served, "no route is 404, no endpoint is 503 with a time to "
                          "come back") {
  CHECK(statusOf(call("/other/")) == 404);
  RawCaller &caller = call("/safe/", "Model: none\r\n");
  CHECK(statusOf(caller) == 503);
  CHECK(caller.Received.find("Retry-After: ") != std::string::npos);
  CHECK(arrivals() == 0);
}

TEST_CASE_FIXTURE(Served, "safe call whose answer is cut short is sent to "
                          "another endpoint") {
  Scripts = {{"HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: "
              "9\r\n\r\nabc",
              Then::Close},
             {answer(200, "whole")}};
  RawCaller &caller = call("/safe/");
  CHECK(statusOf(caller) == 200);
  CHECK(caller.Received.find("abc") == std::string::npos);
  CHECK(arrivals() == 2);
}

TEST_CASE_FIXTURE(Served, "call that may run once is not sent again when its "
                          "answer is lost, and is not said not to have run") {
  script({"", Then::Reset});
  CHECK(statusOf(call("/once/", "Content-Length: 0\r\n", "POST")) == 502);
  CHECK(arrivals() == 1);
}

TEST_CASE_FIXTURE(Served, "call that an endpoint has not run goes to the "
                          "other") {
  Script full{"HTTP/1.1 503 Full\r\nRequest-Id: @ID@\r\nNot-Executed: "
              "1\r\nContent-Length: 0\r\n\r\n"};
  Scripts = {full, {answer(200, "ok")}};
  CHECK(statusOf(call("/once/", "Content-Length: 0\r\n", "POST")) == 200);
  CHECK(first().Requests.size() == 1);
  CHECK(second().Requests.size() == 1);
}

TEST_CASE_FIXTURE(Served, "endpoint's 503 without its word that it has not run "
                          "is no promise of ours") {
  script({"HTTP/1.1 503 Busy\r\nRequest-Id: @ID@\r\nContent-Length: "
          "0\r\n\r\n"});
  CHECK(statusOf(call("/once/", "Content-Length: 0\r\n", "POST")) == 502);
}

TEST_CASE_FIXTURE(Served,
                  "late answer to an earlier call is not taken for this "
                  "one's") {
  std::string late = "HTTP/1.1 200 OK\r\nRequest-Id: older\r\nResponse-Seal: "
                     "s\r\nContent-Length: 3\r\n\r\nold";
  script({late + answer(200, "mine")});
  RawCaller &caller = call("/once/", "Content-Length: 0\r\n", "POST");
  CHECK(statusOf(caller) == 200);
  CHECK(caller.Received.find("old") == std::string::npos);
  CHECK(caller.Received.find("mine") != std::string::npos);
}

TEST_CASE_FIXTURE(Served, "connection with bytes behind the answer serves no "
                          "other call") {
  Scripts = {{answer(200, "one") + "HTTP/1.1 200 OK\r\n"},
             {answer(200, "two")}};
  CHECK(statusOf(call("/safe/")) == 200);
  CHECK(statusOf(call("/safe/")) == 200);
  CHECK(first().Accepted + second().Accepted == 2);
}

TEST_CASE_FIXTURE(Served, "success without a signature is not passed on") {
  script({"HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\nContent-Length: "
          "2\r\n\r\nno"});
  CHECK(statusOf(call("/once/", "Content-Length: 0\r\n", "POST")) == 502);
}

TEST_CASE_FIXTURE(Served, "endpoint's own failure is passed on with its "
                          "signature where the call may not run again") {
  script({answer(500, "oops")});
  RawCaller &caller = call("/once/", "Content-Length: 0\r\n", "POST");
  CHECK(statusOf(caller) == 500);
  CHECK(caller.Received.find("Response-Seal: s") != std::string::npos);
}

TEST_CASE_FIXTURE(Served, "events are passed on as they come, each one whole") {
  script({StreamHead + chunk(event(1) + "id: 2\nda")});
  RawCaller &caller = call("/stream/");
  runUntil([&] { return caller.Received.find(event(1)) != std::string::npos; });
  CHECK(caller.Received.find("id: 2") == std::string::npos);
}

TEST_CASE_FIXTURE(Served, "stream that breaks off does not look complete") {
  script({StreamHead + chunk(event(1)), Then::Close});
  RawCaller &caller = call("/stream/");
  runUntil([&] { return caller.Ended; });
  CHECK(caller.Received.find(event(1)) != std::string::npos);
  CHECK(caller.Received.find("0\r\n\r\n") == std::string::npos);
  CHECK(arrivals() == 1);
}

TEST_CASE_FIXTURE(Served, "resumable stream goes on at another endpoint behind "
                          "the last whole event") {
  Script broken{StreamHead + chunk(event(1) + event(2) + "id: 3\nda"),
                Then::Close};
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

TEST_CASE_FIXTURE(Served, "broken stream that no other endpoint can take on "
                          "ends without further bytes") {
  retire("i-2");
  script({StreamHead + chunk(event(1))});
  RawCaller &caller = call("/resume/");
  runUntil([&] { return !caller.Received.empty(); });
  size_t before = caller.Received.size();
  retire("i-1");
  Endpoints.front().resetAll();
  runUntil([&] { return caller.Ended; });
  CHECK(caller.Received.size() == before);
}

TEST_CASE_FIXTURE(Served, "call of a caller that leaves is broken off at its "
                          "endpoint") {
  script({StreamHead + chunk(event(1))});
  RawCaller &caller = call("/stream/");
  runUntil([&] { return !caller.Received.empty(); });
  caller.leave();
  runUntil([&] { return first().Ended + second().Ended == 1; });
}

TEST_CASE_FIXTURE(Served, "call that is not answered within its route's time "
                          "gets 504, and its endpoint is left") {
  Config.Routes[1].Timeout = 50ms;
  publish();
  RawCaller &caller = call("/once/", "Content-Length: 0\r\n", "POST");
  CHECK(statusOf(caller) == 504);
  runUntil([&] { return first().Ended + second().Ended == 1; });
}

TEST_CASE_FIXTURE(Served, "endpoint that is leaving gets no call") {
  retire("i-1");
  for (int i = 0; i < 20; ++i) {
    script({answer(200, "ok")});
    CHECK(statusOf(call("/safe/")) == 200);
  }
  CHECK(first().Requests.empty());
}

TEST_CASE_FIXTURE(Served, "key names the team, and a withdrawn one is 401") {
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

TEST_CASE("key is not trusted once its withdrawal might have come into force "
          "unread, less the way to the endpoint") {
  GatewayWorld world;
  world.Settings.KeyWithdrawal = 900ms;
  Fleet::Team team;
  team.Name = "kitchen";
  team.Keys = {"k"};
  world.Config.Teams = {team};
  world.addRoute("/safe/", "s", RouteKind::Safe);
  world.addEndpoint("s");
  world.start();
  for (int i = 0; i < 2; ++i)
    world.Scripts.push_back({answer(200, "ok")});
  CHECK(world.statusOf(world.call("/safe/", "Credential: k\r\n")) == 200);
  world.StoreAnswers = false;
  bool passed = false;
  constexpr auto way = 500ms; // From admission to the endpoint.
  world.after(world.Settings.KeyWithdrawal - way, [&] { passed = true; });
  world.runUntil([&] { return passed; });
  CHECK(world.statusOf(world.call("/safe/", "Credential: k\r\n")) == 503);
  CHECK(world.Endpoints.front().Requests.size() == 1);
}

TEST_CASE_FIXTURE(Served,
                  "leaving gateway is not ready, asks callers to go and "
                  "still answers") {
  Process->leave();
  CHECK(readiness().find(" 503 ") != std::string::npos);
  script({answer(200, "ok")});
  RawCaller &caller = call("/safe/");
  CHECK(statusOf(caller) == 200);
  CHECK(caller.Received.find("Connection: close") != std::string::npos);
}

TEST_CASE_FIXTURE(Served,
                  "metrics count calls by their outcome and tell the age "
                  "of what is known") {
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

TEST_CASE_FIXTURE(Served, "endpoint whose answer says that it leaves gets no "
                          "further call, whatever its reports say") {
  script({answer(200, "last", "Server-Leaving: 1\r\n")});
  RawCaller &caller = call("/safe/");
  CHECK(statusOf(caller) == 200);
  CHECK(caller.Received.find("Server-Leaving: 1") != std::string::npos);
  ScriptedEndpoint &left = first().Requests.empty() ? second() : first();
  for (Fleet::EndpointReport &it : Reports)
    ++it.Sequence; // They go on saying that they are ready.
  for (int i = 0; i < 20; ++i) {
    script({answer(200, "ok")});
    CHECK(statusOf(call("/safe/")) == 200);
  }
  CHECK(left.Requests.size() == 1);
}

TEST_CASE_FIXTURE(Served, "call that a leaving endpoint turns away is sent to "
                          "another one") {
  Scripts = {{answer(503, "", "Not-Executed: 1\r\nServer-Leaving: 1\r\n")},
             {answer(200, "ok")}};
  CHECK(statusOf(call("/once/")) == 200);
  CHECK(first().Requests.size() == 1);
  CHECK(second().Requests.size() == 1);
}

namespace {

/// What an endpoint may send without ever coming to an end.
const Script EndlessHead{"HTTP/1.1 200 OK\r\nX-A: ", Then::Repeat,
                         std::string(4096, 'a')};
const Script EndlessFields{"HTTP/1.1 200 OK\r\n", Then::Repeat, "X-A: b\r\n"};
const Script EndlessBody{"HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\n"
                         "Response-Seal: s\r\n\r\n",
                         Then::Repeat, std::string(65'536, 'b')};
const Script EndlessChunks{StreamHead, Then::Repeat,
                           chunk(std::string(65'536, 'c'))};
const Script EndlessChunkSize{StreamHead + "4;x=", Then::Repeat,
                              std::string(4096, 'd')};
const Script EndlessInterim{"", Then::Repeat,
                            "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"};

/// Bytes that one answer may make the gateway read and keep.
constexpr size_t MostFlood = 32 << 20;

} // namespace

TEST_CASE_FIXTURE(Served, "endpoint that sends bytes without end is cut off "
                          "before they fill the memory, and the caller is not "
                          "told of success") {
  for (const Script *it : {&EndlessHead, &EndlessFields, &EndlessBody,
                           &EndlessChunks, &EndlessChunkSize}) {
    CAPTURE(it->Text);
    script(*it);
    RawCaller &caller = call("/once/");
    CHECK(statusOf(caller) == 502);
    runUntil([&] { return first().Ended + second().Ended > 0; });
    CHECK(first().Flooded + second().Flooded < MostFlood);
    first().Ended = second().Ended = 0;
    first().Flooded = second().Flooded = 0;
  }
}

TEST_CASE_FIXTURE(Served, "stream whose event never ends is broken off") {
  script({StreamHead + chunk(event(1)), Then::Repeat,
          chunk(std::string(65'536, 'e'))});
  RawCaller &caller = call("/stream/");
  runUntil([&] { return caller.Ended; });
  CHECK(caller.Received.find("id: 1") != std::string::npos);
  CHECK(caller.Received.find("\r\n0\r\n\r\n") == std::string::npos);
  runUntil([&] { return first().Ended + second().Ended > 0; });
  CHECK(first().Flooded + second().Flooded < MostFlood);
}

TEST_CASE_FIXTURE(Served, "bytes without end that come in drops end with the "
                          "call's deadline") {
  Script drops = EndlessBody;
  drops.Again = "x";
  drops.Pause = 5ms;
  for (const Script &it : {drops, Script{EndlessInterim.Text, Then::Repeat,
                                         EndlessInterim.Again, 5ms}}) {
    script(it);
    RawCaller &caller = call("/once/", "Deadline-Milliseconds: 200\r\n");
    CHECK(statusOf(caller) == 504);
    runUntil([&] { return first().Ended + second().Ended > 0; });
    first().Ended = second().Ended = 0;
  }
}

TEST_CASE_FIXTURE(Served, "endless answer ends with the deadline also when its "
                          "caller has left") {
  Script drops = EndlessBody;
  drops.Again = "x";
  drops.Pause = 5ms;
  script(drops);
  RawCaller &caller = call("/once/", "Deadline-Milliseconds: 300\r\n");
  runUntil([&] { return arrivals() == 1; });
  caller.leave();
  runUntil([&] { return first().Ended + second().Ended > 0; });
}

TEST_CASE_FIXTURE(Served,
                  "endpoint that another gateway was told leaves gets no "
                  "further call") {
  report({{"i-1", 0}});
  for (int i = 0; i < 20; ++i) {
    script({answer(200, "ok")});
    CHECK(statusOf(call("/safe/")) == 200);
  }
  CHECK(first().Requests.empty());
}

TEST_CASE_FIXTURE(Served, "word that an earlier process of an endpoint leaves "
                          "does not concern the one that runs now") {
  report({{"i-1", -1}});
  for (int i = 0; i < 20; ++i) {
    script({answer(200, "ok")});
    CHECK(statusOf(call("/safe/")) == 200);
  }
  CHECK_FALSE(first().Requests.empty());
}

TEST_CASE_FIXTURE(Served,
                  "endpoint that wants nothing for a while gets nothing "
                  "from this gateway until then") {
  Scripts = {{answer(503, "", "Not-Executed: 1\r\nRetry-After: 30\r\n")},
             {answer(200, "ok")}};
  CHECK(statusOf(call("/safe/")) == 200);
  for (int i = 0; i < 20; ++i) {
    script({answer(200, "ok")});
    CHECK(statusOf(call("/safe/")) == 200);
  }
  CHECK(std::min(first().Requests.size(), second().Requests.size()) == 1);
}

TEST_CASE_FIXTURE(Served,
                  "call for which only a resting endpoint is left waits "
                  "for it if its deadline allows") {
  retire("i-2");
  Scripts = {{answer(503, "", "Not-Executed: 1\r\nRetry-After: 0.3\r\n")},
             {answer(200, "ok")}};
  Utils::TimePoint before = Utils::BootClock::now();
  CHECK(statusOf(call("/safe/")) == 200);
  CHECK(Utils::BootClock::now() >= before + 300ms);
  CHECK(first().Requests.size() == 2);
}

TEST_CASE_FIXTURE(Served, "call for which only a resting endpoint is left is "
                          "refused at once if its deadline does not allow to "
                          "wait") {
  retire("i-2");
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

TEST_CASE_FIXTURE(Served,
                  "holder of the fleet's duty waits so briefly for news of the "
                  "configuration that others may always go by its reading") {
  runUntil([&] { return DutyRecord.has_value(); });
  publish();
  CHECK(ConfigurationPatience > 0ms);
  auto oldest = 2 * (ConfigurationPatience + Gateway::SlowStoreAnswer);
  CHECK(oldest <= Gateway::HearsayAge);
}
