#include "answercases.h"
#include "gatewayfixture.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using Action = Script::Action;

namespace {

/// A gateway whose endpoint answers with given bytes and closes.
struct AnswerFixture : GatewayFixture {
  AnswerFixture() {
    Settings.RetrySlack = 100'000;
    addRoute("/unsafe/", "s", Fleet::RouteKind::Unsafe);
    addRoute("/stream/", "s", Fleet::RouteKind::Streaming);
    addEndpoint("s").Respond = [this](const Http::Request &) {
      return Script{Text, Action::Close};
    };
    start();
  }
  /// Whether the answer that the caller of the route got looks whole, and what
  /// it is.
  std::optional<std::string> bodyOf(const std::string &prefix) {
    RawCaller &caller = call(prefix);
    Status = statusOf(caller);
    Http::ResponseParser parser;
    std::string body;
    std::string received = caller.Received;
    bool whole = parser.feed(received, body) == Http::ResponseState::Complete;
    caller.disconnect();
    return whole ? std::optional(body) : std::nullopt;
  }

  std::string Text;
  unsigned Status = 0;
};

constexpr const char *Fields = "Request-Id: @ID@\r\nResponse-Seal: s\r\n";

} // namespace

// Issue 57, MIXED: a body under a coding that is not undone reached callers
// with its framing as content, and statuses of 600 and above passed.
TEST_CASE_FIXTURE(AnswerFixture, "bytes that are no answer reach no caller of "
                                 "a plain call as one, whole answers do") {
  constexpr unsigned badGateway = 502;
  for (const AnswerCase &it : answerCases(Fields)) {
    CAPTURE(it.Name);
    Text = it.Text;
    auto body = bodyOf("/unsafe/");
    CHECK((Status != badGateway) == it.IsAnswer);
    if (it.IsAnswer)
      CHECK(body == "abc");
  }
}

TEST_CASE_FIXTURE(AnswerFixture, "bytes that are no answer reach no caller of "
                                 "a stream as a whole success") {
  for (AnswerCase &it : answerCases(std::string(Fields) +
                                    "Content-Type: text/event-stream\r\n")) {
    CAPTURE(it.Name);
    // An event of as many bytes, which ends the stream.
    size_t at = it.Text.rfind("abc");
    it.Text.replace(at, 3, ":\n\n");
    Text = it.Text;
    auto body = bodyOf("/stream/");
    bool isSuccess = Status == 200 && body;
    CHECK(isSuccess == (it.IsAnswer && it.Name != "status 599"));
  }
}

namespace {

/// An endpoint before a fetch, as the gateway reads the answers of the store
/// and those to orders and reports.
struct FetchFixture {
  std::optional<std::string> fetch(const std::string &text) {
    Endpoint.Respond = [&](const Http::Request &) {
      return Script{text, Action::Close};
    };
    std::optional<std::string> out;
    bool done = false;
    Http::Request request;
    request.Method = "POST";
    request.Target = "/v1/order";
    request.Body = "{}";
    HttpIo::fetch(
        Pool, Loop, Endpoint.address(), request, Utils::BootClock::now() + 20s,
        [&](const Utils::Outcome<HttpIo::Response> &response) {
          done = true;
          if (response)
            out = response->Body;
        },
        HttpIo::ConnectionUse::New);
    while (!done)
      Loop.run_one();
    return out;
  }

  asio::io_context Loop{1};
  std::deque<Script> Scripts;
  ScriptedEndpoint Endpoint{Loop, Scripts};
  HttpIo::ClientPool Pool{Loop};
};

} // namespace

TEST_CASE_FIXTURE(FetchFixture, "bytes that are no answer end a fetch of the "
                                "store, of an order or of a report as failed") {
  for (const AnswerCase &it : answerCases("")) {
    CAPTURE(it.Name);
    CHECK((fetch(it.Text) == "abc") == it.IsAnswer);
  }
}
