#include "endlessanswer.h"

#include <asio/write.hpp>
#include <doctest/doctest.h>
#include <list>

using namespace std::chrono_literals;
using Action = Script::Action;

namespace {

/// Memory for answers that are not complete, of all calls together: a fifth of
/// the 160 MB of the smallest VMs, as a string may reserve twice its size.
constexpr size_t MaxHeldBytes = 32 << 20;
/// What a caller that does not read may cost: one event at the limit, the
/// limit on unsent output in both buffers, and what the sockets take up.
constexpr size_t MaxUnreadBytes = 16 << 20;
constexpr int SmallBufferBytes = 4096;

/// A caller that reads nothing.
class SilentCaller {
public:
  SilentCaller(asio::io_context &loop, const std::string &address)
      : Socket(loop) {
    std::error_code ec;
    Socket.open(HttpIo::Tcp::v4());
    Socket.set_option(asio::socket_base::receive_buffer_size(SmallBufferBytes));
    Socket.connect(HttpIo::parseEndpoint(address, ec));
  }
  void send(const std::string &text) {
    asio::write(Socket, asio::buffer(text));
  }

private:
  HttpIo::Tcp::socket Socket;
};

/// Runs the loop until no socket has anything to read or to write; all that was
/// sent has been read then.
void settle(asio::io_context &loop) {
  constexpr int rounds = 50;
  for (int i = 0; i < rounds; ++i) {
    loop.run_one_for(1ms);
    while (loop.poll_one() > 0)
      continue;
  }
}

} // namespace

// Issue 50, other operators: a gateway kept the bytes of a faulty endpoint for
// each of its calls and ran out of memory, though each call was bounded.
TEST_CASE_FIXTURE(EndlessFixture,
                  "many answers without end hold a bounded number of bytes "
                  "together, and others are served") {
  constexpr int calls = 60;
  constexpr size_t bodyBytes = 3 << 20;
  const std::string head =
      "HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\n"
      "Response-Seal: s\r\nContent-Length: 9999999\r\n\r\n";
  for (const std::string prefix : {"/once/", "/safe/", "/stream/"}) {
    CAPTURE(prefix);
    Script part{head, Action::Repeat};
    part.Parts = {std::string(bodyBytes, 'x')};
    answerWith(part);
    size_t before = endless().Requests.size();
    std::vector<RawCaller *> callers;
    callers.reserve(calls);
    for (int i = 0; i < calls; ++i)
      callers.push_back(&call(prefix));
    runUntil([&] { return endless().Requests.size() == before + calls; });
    settle(Loop);
    for (int i = 0; i < 10; ++i)
      CHECK(servesOthers());
    size_t open = size_t(calls - endless().Ended);
    CHECK(open * bodyBytes <= MaxHeldBytes);
    for (RawCaller *it : callers)
      it->disconnect();
    endless().resetAll();
    Loop.poll();
  }
}

// Guards against an unbounded backlog towards a caller that does not read.
TEST_CASE_FIXTURE(EndlessFixture,
                  "stream without end to a caller that does not read ends "
                  "within a bounded number of bytes") {
  answerWith({StreamHead, Action::Repeat, chunk(repeated(event(1)))});
  for (const char *prefix : {"/stream/", "/resume/"}) {
    int ended = endless().Ended;
    endless().RepeatedBytes = 0;
    SilentCaller caller(Loop, Settings.CallerAddress);
    caller.send(requestText(prefix, "q-silent", "", "GET"));
    for (int i = 0; i < 3; ++i)
      CHECK(servesOthers());
    CHECK(awaitClosed(ended + 1, MaxUnreadBytes));
  }
}

// Guards against a deadline that a caller's backlog holds up.
TEST_CASE_FIXTURE(EndlessFixture,
                  "slow stream without end to a caller that does not read ends "
                  "at its deadline") {
  Script slow{StreamHead, Action::Repeat, chunk(event(1))};
  slow.Delay = 1ms;
  answerWith(slow);
  SilentCaller caller(Loop, Settings.CallerAddress);
  caller.send(requestText("/stream/", "q-silent",
                          "Deadline-Milliseconds: 200\r\n", "GET"));
  awaitClosed(1);
  CHECK(servesOthers());
}

// Guards against a stream that goes on after its caller has left.
TEST_CASE_FIXTURE(EndlessFixture,
                  "stream of events without end is cancelled when its caller "
                  "leaves") {
  answerWith({StreamHead, Action::Repeat, chunk(event(1))});
  RawCaller &caller = call("/stream/");
  runUntil([&] { return caller.Received.find("id: 1") != std::string::npos; });
  caller.disconnect();
  awaitClosed(1);
  CHECK(servesOthers());
}

// Guards against the end of an event that is not found when its bytes come one
// by one.
TEST_CASE_FIXTURE(
    EndlessFixture,
    "stream whose bytes arrive one by one reaches its caller, each "
    "event as it ends") {
  Script slow{"HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\nResponse-Seal: s\r\n"
              "Content-Type: text/event-stream\r\n\r\n",
              Action::Repeat};
  for (char it : event(1) + event(2))
    slow.Parts.emplace_back(1, it);
  slow.Parts.push_back("id: 3");
  slow.Delay = 1ms;
  answerWith(slow);
  RawCaller &caller = call("/stream/");
  runUntil([&] {
    return caller.Received.find(chunk(event(1)) + chunk(event(2))) !=
           std::string::npos;
  });
  CHECK(caller.Received.find("id: 3") == std::string::npos);
}
