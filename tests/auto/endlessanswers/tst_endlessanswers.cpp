#include "endlessanswer.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using Action = Script::Action;

namespace {

const std::string SignedHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\nResponse-Seal: s\r\n"
    "Content-Type: text/event-stream\r\n";
const std::string OtherHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Seal: s\r\n";
const std::string ChunkedHead =
    SignedHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string HugeLength = "Content-Length: 999999999999\r\n\r\n";

const std::vector<std::string> Prefixes = {"/once/", "/safe/", "/stream/",
                                           "/resume/"};

} // namespace

std::string repeated(const std::string &text) {
  std::string out;
  while (out.size() + text.size() <= RepetitionBytes)
    out += text;
  return out;
}

std::vector<EndlessAnswer> endlessAnswers() {
  std::string x = repeated("x");
  std::string x16K;
  for (int i = 0; i < 4; ++i)
    x16K += x;
  std::string zeros = repeated("0");
  std::string hints =
      "HTTP/1.1 103 X\r\nLink: " + std::string(3000, 'l') + "\r\n\r\n";
  return {
      {"bytes that are no HTTP", "", x, MaxHeadBytes},
      {"reason of the status line", "HTTP/1.1 200 ", x, MaxHeadBytes},
      {"name of a field", "HTTP/1.1 200 OK\r\n", x, MaxHeadBytes},
      {"value of a field", "HTTP/1.1 200 OK\r\nX: ", x, MaxHeadBytes},
      {"fields", "HTTP/1.1 200 OK\r\n", repeated("A: b\r\n"), MaxHeadBytes},
      {"empty lines before the status line", "", repeated("\r\n"),
       MaxHeadBytes},
      {"interim answers 100", "", repeated("HTTP/1.1 100 X\r\n\r\n"),
       MaxHeadBytes},
      {"interim answers 103", "", repeated("HTTP/1.1 103 X\r\nA: b\r\n\r\n"),
       MaxHeadBytes},
      {"interim answers 103 with long fields", "", hints, MaxHeadBytes},
      {"chunk extension", ChunkedHead + "4;x=", x, MaxHeadBytes},
      {"zeros of a chunk's size", ChunkedHead, zeros, MaxHeadBytes},
      {"chunk extensions of small chunks", ChunkedHead,
       "1;x=" + x + "\r\nx\r\n", MaxHeadBytes},
      {"field of the trailer", ChunkedHead + "0\r\nX: ", x, MaxHeadBytes},
      {"fields of the trailer", ChunkedHead + "0\r\n", repeated("A: b\r\n"),
       MaxHeadBytes},
      {"body shorter than its length", SignedHead + HugeLength, x,
       MaxBodyBytes},
      {"body without a length", SignedHead + "\r\n", x, MaxBodyBytes},
      {"chunks", ChunkedHead, chunk(x.substr(16)), MaxBodyBytes},
      {"chunks of a byte", ChunkedHead, repeated("1\r\nx\r\n"),
       MaxSmallChunksBytes},
      {"body of no call's answer", "HTTP/1.1 200 OK\r\n\r\n", x, MaxBodyBytes},
      {"answers to other calls", "",
       repeated(OtherHead + "Content-Length: 2\r\n\r\nok"), MaxHeadBytes},
      {"body of an answer to another call", OtherHead + HugeLength, x,
       MaxBodyBytes},
      {"chunks of an answer to another call",
       OtherHead + "Transfer-Encoding: chunked\r\n\r\n", chunk(x.substr(16)),
       MaxBodyBytes},
  };
}

EndlessFixture::EndlessFixture() {
  Settings.RetrySlack = 100'000;
  addRoute("/once/", "s", Fleet::RouteKind::Unsafe);
  addRoute("/safe/", "s", Fleet::RouteKind::Safe);
  addRoute("/stream/", "s", Fleet::RouteKind::Streaming);
  addRoute("/resume/", "s", Fleet::RouteKind::Streaming).Resumable = true;
  addRoute("/others/", "sound", Fleet::RouteKind::Safe);
  for (Fleet::Route &it : Config.Routes)
    it.Attempts = 1;
  addEndpoint("s");
  addEndpoint("sound").Respond = [](const Http::Request &) {
    return Script{answer(200, "ok")};
  };
  start();
}

void EndlessFixture::answerWith(const Script &script) {
  endless().RepeatedBytes = 0;
  endless().Ended = 0;
  endless().Respond = [script](const Http::Request &) { return script; };
}

bool EndlessFixture::servesOthers() {
  return statusOf(call("/others/")) == 200;
}

bool EndlessFixture::awaitClosed(int connections, size_t maxBytes) {
  auto exceeds = [&] { return endless().RepeatedBytes > maxBytes; };
  runUntil([&] { return endless().Ended >= connections || exceeds(); });
  if (!exceeds())
    return true;
  endless().resetAll();
  return false;
}

// Issue 50, other operators: an endpoint sent bytes without end, and the
// gateway that had called it read them until its memory was full.
TEST_CASE_FIXTURE(EndlessFixture,
                  "answer without end, at any place of it, ends within the "
                  "bytes of that place, as a failure, and others are served") {
  for (const EndlessAnswer &it : endlessAnswers())
    for (const std::string &prefix : Prefixes) {
      CAPTURE(it.Place);
      CAPTURE(prefix);
      answerWith(it.script());
      RawCaller &caller = call(prefix);
      for (int i = 0; i < 3; ++i)
        CHECK(servesOthers());
      CHECK(awaitClosed(1, it.MaxBytes + SocketSlackBytes));
      CHECK(statusOf(caller) == 502);
    }
}

// Guards against a call that waits beyond its deadline while bytes trickle in.
TEST_CASE_FIXTURE(EndlessFixture,
                  "answer without end that arrives slowly ends by the deadline "
                  "of its call at the latest") {
  for (const EndlessAnswer &it : endlessAnswers()) {
    CAPTURE(it.Place);
    EndlessAnswer slow = it;
    slow.Repeated = it.Repeated.substr(0, it.Repeated.find('\n') + 1);
    if (slow.Repeated.empty() || slow.Repeated.size() > 100)
      slow.Repeated = it.Repeated.substr(0, 1);
    answerWith(slow.script(5ms));
    RawCaller &caller = call("/safe/", "Deadline-Milliseconds: 100\r\n");
    CHECK(servesOthers());
    CHECK(statusOf(caller) >= 502);
    awaitClosed(1);
  }
}

// Guards against reading on for a caller that has left.
TEST_CASE_FIXTURE(EndlessFixture,
                  "answer without end whose caller has left ends within the "
                  "bytes of its place") {
  for (const EndlessAnswer &it : endlessAnswers())
    for (const std::string &prefix : Prefixes) {
      CAPTURE(it.Place);
      CAPTURE(prefix);
      answerWith(it.script());
      size_t before = endless().Requests.size();
      RawCaller &caller = call(prefix);
      runUntil([&] { return endless().Requests.size() > before; });
      caller.disconnect();
      CHECK(servesOthers());
      CHECK(awaitClosed(1, it.MaxBytes + SocketSlackBytes));
    }
}

// Guards against reading on from a kept connection that nobody waits for.
TEST_CASE_FIXTURE(EndlessFixture,
                  "bytes without end after a complete answer close the "
                  "connection and reach no other call") {
  std::string x = repeated("x");
  std::string copies = repeated(OtherHead + "Content-Length: 2\r\n\r\nno");
  for (const std::string &bytes : {x, copies}) {
    answerWith({answer(200, "ok"), Action::Repeat, bytes});
    for (int i = 1; i <= 5; ++i) {
      RawCaller &caller = call("/once/");
      CHECK(statusOf(caller) == 200);
      CHECK(caller.Received.substr(caller.Received.size() - 2) == "ok");
      CHECK(servesOthers());
      CHECK(awaitClosed(i, size_t(i) * SocketSlackBytes));
    }
  }
}

// Guards against bounds that cut what endpoints may send.
TEST_CASE_FIXTURE(EndlessFixture,
                  "answer behind some interim answers and late copies of other "
                  "answers reaches its caller") {
  std::string before;
  for (int i = 0; i < 8; ++i)
    before += "HTTP/1.1 103 X\r\nLink: </x>\r\n\r\n" + OtherHead +
              "Content-Length: 2\r\n\r\nno";
  answerWith({before + answer(200, "ok")});
  for (const std::string prefix : {"/once/", "/safe/"}) {
    RawCaller &caller = call(prefix);
    CHECK(statusOf(caller) == 200);
    CHECK(caller.Received.substr(caller.Received.size() - 2) == "ok");
  }
}

// Guards against failures that do not count against the endpoint.
TEST_CASE_FIXTURE(TwoEndpointFixture,
                  "endpoint that sends interim answers without end is avoided "
                  "after one failure, and safe calls are served elsewhere") {
  first().Respond = [](const Http::Request &) {
    return Script{"", Action::Repeat, repeated("HTTP/1.1 100 X\r\n\r\n")};
  };
  second().Respond = [](const Http::Request &) {
    return Script{answer(200, "ok")};
  };
  for (int i = 0; i < 30 && first().Requests.empty(); ++i)
    CHECK(statusOf(call("/safe/")) == 200);
  REQUIRE(first().Requests.size() == 1);
  CHECK(statusOf(call("/safe/")) == 200);
  CHECK(first().Requests.size() == 1);
}
