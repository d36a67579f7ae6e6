#include "twoendpointfixture.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using Action = Script::Action;

namespace {

const std::string LastChunk = "0\r\n\r\n";

/// A call whose first endpoint breaks its stream off after two events.
struct BrokenStreamFixture : GatewayFixture {
  BrokenStreamFixture() {
    Settings.RetrySlack = 100'000;
    addRoute("/resume/", "s", Fleet::RouteKind::Streaming).Resumable = true;
    addEndpoint("s");
    addEndpoint("s");
    start();
  }
  /// Lets the next endpoint answer with `next`, and returns all that the caller
  /// receives.
  std::string resumeWith(const Script &next) {
    Scripts = {{StreamHead + chunk(event(1) + event(2)), Action::Close}, next};
    RawCaller &caller = call("/resume/");
    runUntil([&] { return caller.Ended || isComplete(caller); });
    CHECK(Scripts.empty());
    return caller.Received;
  }
  static bool isComplete(const RawCaller &caller) {
    return endsWithLastChunk(caller.Received);
  }
  static bool endsWithLastChunk(const std::string &text) {
    return text.size() > LastChunk.size() &&
           text.substr(text.size() - LastChunk.size()) == LastChunk;
  }
  static std::string eventsOf(std::string received) {
    std::string events;
    Http::ResponseParser parser;
    parser.feed(received, events);
    return events;
  }
};

std::string errorAnswer(unsigned status, const std::string &type,
                        const std::string &body) {
  return answer(status, body, "Content-Type: " + type + "\r\n");
}

} // namespace

// Issue 37, other operators, ORDER and MIXED: the error of the next endpoint
// reached the caller inside its stream, or the stream looked complete.
TEST_CASE_FIXTURE(BrokenStreamFixture,
                  "stream that the next endpoint answers with anything but its "
                  "rest ends broken off, without a byte of that answer") {
  const std::string closing =
      "HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\nResponse-Seal: s\r\n"
      "Content-Type: text/event-stream\r\n\r\n";
  for (const std::string &next : {
           errorAnswer(500, "text/plain", "oops\n\nmore\n\n"),
           errorAnswer(500, "text/event-stream", "data: oops\n\n"),
           errorAnswer(404, "application/json", "{\"error\":\"oops\"}\n\n"),
           errorAnswer(200, "text/plain", "oops\n\n"),
           errorAnswer(200, "application/json", "{\"error\":\"oops\"}\n\n"),
           errorAnswer(200, "application/json", ""),
           errorAnswer(202, "text/event-stream", "data: oops\n\n"),
           errorAnswer(206, "text/event-stream", ""),
           answer(200, "oops\n\n"),
           answer(200, ""),
           std::string("HTTP/1.1 204 No Content\r\nRequest-Id: @ID@\r\n"
                       "Response-Seal: s\r\n\r\n"),
           std::string(
               "HTTP/1.1 500 Oops\r\nContent-Length: 6\r\n\r\noops\n\n"),
           std::string("oops\r\n\r\n"),
           closing,
           closing + "oops",
       }) {
    CAPTURE(next);
    std::string received = resumeWith({next, Action::Close});
    CHECK(eventsOf(received) == event(1) + event(2));
    CHECK(received.find("oops") == std::string::npos);
    CHECK(received.find("HTTP/1.1", 1) == std::string::npos);
    CHECK_FALSE(endsWithLastChunk(received));
  }
}

TEST_CASE_FIXTURE(BrokenStreamFixture,
                  "stream whose next endpoint answers with an error is resumed "
                  "at another one if its route allows") {
  addEndpoint("s");
  awaitEndpointReads();
  Config.Routes[0].Attempts = 3;
  publish();
  Scripts = {{StreamHead + chunk(event(1) + event(2)), Action::Close},
             {errorAnswer(500, "text/plain", "oops\n\n")},
             {StreamHead + chunk(event(3)) + LastChunk}};
  RawCaller &caller = call("/resume/");
  runUntil([&] { return caller.Ended || isComplete(caller); });
  CHECK(eventsOf(caller.Received) == event(1) + event(2) + event(3));
  CHECK(endsWithLastChunk(caller.Received));
}

TEST_CASE_FIXTURE(
    BrokenStreamFixture,
    "stream that broke off behind its last event is complete when "
    "the next endpoint has nothing to add") {
  std::string received = resumeWith({StreamHead + LastChunk});
  CHECK(eventsOf(received) == event(1) + event(2));
  CHECK(endsWithLastChunk(received));
}
