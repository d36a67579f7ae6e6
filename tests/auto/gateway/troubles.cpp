#include "twoendpointfixture.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using Action = Script::Action;

namespace {

/// One endpoint, so that all calls of a kind share one connection.
struct SingleEndpointFixture : TwoEndpointFixture {
  SingleEndpointFixture() { drainEndpoint("i-2"); }
  RawCaller &callOnce(const std::string &headers = "") {
    return call("/once/", "Content-Length: 0\r\n" + headers, "POST");
  }
};

/// A gateway that starts after an endpoint has announced its shutdown and a key
/// has been revoked.
struct RestartedFixture : GatewayFixture {
  RestartedFixture() {
    addRoute("/safe/", "s", Fleet::RouteKind::Safe);
    addEndpoint("s");
    addEndpoint("s");
    Reports[0].State = Fleet::EndpointState::Draining;
    Reports[0].Sequence = 9;
    Fleet::Team team;
    team.Name = "kitchen";
    team.Keys = {"k"};
    Config.Teams = {team};
    start();
  }
};

} // namespace

TEST_CASE_FIXTURE(SingleEndpointFixture,
                  "late duplicate of an answer on a reused connection is not "
                  "delivered to the next caller") {
  Scripts = {{answer(200, "mine")},
             // The duplicate arrives with the next request, before its answer.
             {"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Seal: s\r\n"
              "Content-Length: 4\r\n\r\nmine" +
              answer(200, "next")}};
  CHECK(statusOf(callOnce()) == 200);
  RawCaller &caller = callOnce();
  CHECK(statusOf(caller) == 200);
  CHECK(first().Accepted == 1);
  CHECK(caller.Received.find("mine") == std::string::npos);
  CHECK(caller.Received.find("next") != std::string::npos);
}

TEST_CASE_FIXTURE(
    SingleEndpointFixture,
    "answer without a request id is not delivered to any caller") {
  script({"HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: "
          "3\r\n\r\nold"});
  RawCaller &caller = callOnce();
  CHECK(statusOf(caller) == 502);
  CHECK(caller.Received.find("old") == std::string::npos);
}

TEST_CASE_FIXTURE(SingleEndpointFixture,
                  "duplicate of a streamed answer is not mixed into the next "
                  "stream on the connection") {
  std::string whole = StreamHead + chunk(event(1)) + "0\r\n\r\n";
  std::string copy = whole;
  copy.replace(copy.find("@ID@"), 4, "q1");
  Scripts = {{whole}, {copy + StreamHead + chunk(event(7)) + "0\r\n\r\n"}};
  CHECK(statusOf(call("/stream/")) == 200);
  RawCaller &caller = call("/stream/");
  CHECK(statusOf(caller) == 200);
  CHECK(caller.Received.find("id: 7") != std::string::npos);
  CHECK(caller.Received.find("id: 1") == std::string::npos);
}

TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "graceful shutdown completes accepted calls and calls that "
                  "arrive on open connections") {
  Script slow{"", Action::Repeat, "", 200ms};
  slow.Parts = {answer(200, "slow")};
  Scripts = {slow, {answer(200, "later")}};
  RawCaller &accepted = call("/once/", "Content-Length: 0\r\n", "POST");
  RawCaller &idle = connect();
  runUntil([&] { return arrivals() == 1; });
  Process->shutDown();
  idle.send(requestText("/safe/", "q99", "", "GET"));
  CHECK(statusOf(idle) == 200);
  CHECK(idle.Received.find("later") != std::string::npos);
  CHECK(statusOf(accepted) == 200);
  CHECK(accepted.Received.find("slow") != std::string::npos);
}

// Issue 38: the end of the first call took the notice from the second one.
TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "call that was pipelined behind another is cancelled at its "
                  "endpoint when the caller disconnects") {
  Config.Routes[2].Timeout = 1h; // Not its deadline ends the call.
  publish();
  script({StreamHead + chunk(event(1))});
  RawCaller &caller = connect();
  caller.send(requestText("/nowhere/", "q98", "", "GET") +
              requestText("/stream/", "q99", "", "GET"));
  runUntil([&] { return caller.Received.find("id: 1") != std::string::npos; });
  caller.disconnect();
  runUntil([&] { return first().Ended + second().Ended == 1; });
}

TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "call that was pipelined behind an answered one is cancelled "
                  "at its endpoint when the caller disconnects") {
  Config.Routes[2].Timeout = 1h;
  publish();
  Scripts = {{answer(200, "ok")}, {StreamHead + chunk(event(1))}};
  RawCaller &caller = connect();
  caller.send(requestText("/safe/", "q98", "", "GET") +
              requestText("/stream/", "q99", "", "GET"));
  runUntil([&] { return caller.Received.find("id: 1") != std::string::npos; });
  int before = first().Ended + second().Ended;
  caller.disconnect();
  runUntil([&] { return first().Ended + second().Ended == before + 1; });
}

TEST_CASE_FIXTURE(TwoEndpointFixture, "slow stream is forwarded completely") {
  Script slow{StreamHead, Action::Repeat, "", 60ms};
  slow.Parts = {chunk(event(1)), chunk(event(2)), chunk(event(3)),
                chunk(event(4)), chunk(event(5)), "0\r\n\r\n"};
  script(slow);
  RawCaller &caller = call("/stream/");
  CHECK(statusOf(caller) == 200);
  for (int i = 1; i <= 5; ++i)
    CHECK(caller.Received.find("id: " + std::to_string(i) + "\n") !=
          std::string::npos);
}

TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "stream that sends only single bytes without an event ends "
                  "at its deadline and does not look complete") {
  script({StreamHead + chunk(event(1)), Action::Repeat, chunk(":"), 10ms});
  RawCaller &caller = call("/stream/", "Deadline-Milliseconds: 300\r\n");
  runUntil([&] { return caller.Ended; });
  CHECK(caller.Received.find("id: 1") != std::string::npos);
  CHECK(caller.Received.find("\r\n0\r\n\r\n") == std::string::npos);
  runUntil([&] { return first().Ended + second().Ended > 0; });
}

TEST_CASE_FIXTURE(TwoEndpointFixture, "truncated answers never look complete") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\nResponse-Seal: s\r\n";
  for (const std::string &text :
       {head + "Content-Length: 10\r\n\r\nhalf",
        head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\na\r\nhalf", head,
        std::string("HTTP/1.1 200 OK\r\nReq")})
    for (Action how : {Action::Close, Action::Reset}) {
      CAPTURE(text);
      script({text, how});
      RawCaller &caller = call("/once/", "Content-Length: 0\r\n", "POST");
      CHECK(statusOf(caller) == 502);
    }
  // Without a length only a clean close ends the body.
  script({head + "\r\nhalf", Action::Reset});
  CHECK(statusOf(call("/once/", "Content-Length: 0\r\n", "POST")) == 502);
}

// Issue 31: an answer without a length ends with its connection, so only its
// last event shows whether it is complete.
TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "stream without a length is complete if it ends behind an "
                  "event, and broken off if it ends inside one") {
  const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\n"
                           "Response-Seal: s\r\n"
                           "Content-Type: text/event-stream\r\n\r\n";
  script({head + event(1) + event(2), Action::Close});
  RawCaller &whole = call("/stream/");
  CHECK(statusOf(whole) == 200);
  CHECK(whole.Received.find("id: 2") != std::string::npos);
  CHECK(whole.Received.find("\r\n0\r\n\r\n") != std::string::npos);

  script({head + event(1) + "id: 2\ndata: x", Action::Close});
  RawCaller &broken = call("/stream/");
  runUntil([&] { return broken.Ended; });
  CHECK(broken.Received.find("id: 1") != std::string::npos);
  CHECK(broken.Received.find("id: 2") == std::string::npos);
  CHECK(broken.Received.find("\r\n0\r\n\r\n") == std::string::npos);

  // Before its first event is complete, nothing has been forwarded.
  script({head + "id: 1\ndata", Action::Close});
  CHECK(statusOf(call("/stream/")) == 502);
}

TEST_CASE_FIXTURE(
    RestartedFixture,
    "restarted gateway uses neither a draining endpoint nor a revoked key") {
  CHECK(statusOf(call("/safe/", "Credential: withdrawn\r\n")) == 401);
  for (int i = 0; i < 20; ++i) {
    Scripts = {{answer(200, "ok")}};
    CHECK(statusOf(call("/safe/", "Credential: k\r\n")) == 200);
  }
  CHECK(Endpoints.front().Requests.empty());
}

TEST_CASE_FIXTURE(RestartedFixture,
                  "restarted gateway that receives an older report of a "
                  "draining endpoint does not use it again") {
  Reports[0].State = Fleet::EndpointState::Ready;
  --Reports[0].Sequence;
  publish();
  for (int i = 0; i < 20; ++i) {
    Scripts = {{answer(200, "ok")}};
    CHECK(statusOf(call("/safe/", "Credential: k\r\n")) == 200);
  }
  CHECK(Endpoints.front().Requests.empty());
}

TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "non-idempotent call whose answer is lost is neither sent "
                  "again nor reported as not executed") {
  Config.Routes[1].Attempts = 3;
  publish();
  for (const Script &it : {Script{"", Action::Reset}, Script{"", Action::Close},
                           Script{"HTTP/1.1 200 OK\r\n", Action::Close},
                           Script{"HTTP/1.1 503 Busy\r\nRequest-Id: @ID@\r\n"
                                  "Content-Length: 0\r\n\r\n"},
                           Script{"nonsense\r\n\r\n", Action::Close}}) {
    size_t before = arrivals();
    script(it);
    CHECK(statusOf(call("/once/", "Content-Length: 0\r\n", "POST")) == 502);
    CHECK(arrivals() == before + 1);
  }
}
