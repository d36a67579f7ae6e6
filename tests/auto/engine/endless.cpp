#include "endlessserver.h"
#include "platform/platform.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

constexpr auto EndlessCallTimeout = 60s;
/// What the buffers of two sockets may take up beyond what the client reads.
constexpr size_t SocketSlackBytes = 32 << 20;
static_assert(SocketSlackBytes < EndlessServer::MaxSentBytes);

struct EndlessAnswer {
  std::string Place;
  std::string Begin;
  std::string Repeated;
};

std::string repeated(const std::string &text) {
  constexpr size_t size = 65'536;
  std::string out;
  while (out.size() + text.size() <= size)
    out += text;
  return out;
}

std::vector<EndlessAnswer> endlessAnswers() {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  return {
      {"bytes that are no HTTP", "", repeated("x")},
      {"reason of the status line", "HTTP/1.1 200 ", repeated("x")},
      {"reason of a status line that ends",
       "HTTP/1.1 200 " + std::string(16'300, 'x') + "\r\n",
       repeated("A: b\r\n")},
      {"value of a field", "HTTP/1.1 200 OK\r\nX: ", repeated("x")},
      {"fields", "HTTP/1.1 200 OK\r\n", repeated("A: b\r\n")},
      {"interim answers", "", repeated("HTTP/1.1 100 X\r\n\r\n")},
      {"chunk extension", chunked + "4;x=", repeated("x")},
      {"chunk extensions of small chunks", chunked,
       "1;x=" + repeated("x") + "\r\nx\r\n"},
  };
}

} // namespace

// Issue 50, other operators: an endpoint sent bytes that were no answer, and
// its caller kept them until its memory was full.
TEST_CASE("answer of a service without end, at any place around its body, ends "
          "within few bytes and may have run") {
  for (const EndlessAnswer &it : endlessAnswers()) {
    CAPTURE(it.Place);
    EndlessServer server(it.Begin, it.Repeated);
    auto endpoint = Platform::makeHttpService("127.0.0.1", server.port(),
                                              Platform::makeConnectionPool());
    Engine::Call call;
    call.RequestId = "q";
    call.Path = "/x";
    call.Deadline = std::chrono::steady_clock::now() + EndlessCallTimeout;
    Engine::ResponseSink sink;
    sink.OnHead = [](const Engine::ResponseHead &) { return true; };
    sink.OnBody = [](std::string_view) { return true; };
    Utils::Status end = endpoint.Send(call, sink);
    CHECK(end.error().Code == Utils::Errc::UnknownResult);
    CHECK(server.awaitSent() <= SocketSlackBytes);
  }
}

// Issue 50, other operators: a health answer without end filled the memory of
// the machine that had asked for it.
TEST_CASE(
    "report of an engine and answer to an order without end, at any place "
    "of it, end within few bytes as failures") {
  std::vector<EndlessAnswer> answers = endlessAnswers();
  answers.push_back(
      {"body without a length", "HTTP/1.1 200 OK\r\n\r\n", repeated("x")});
  answers.push_back({"body shorter than its length",
                     "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n",
                     repeated("x")});
  using Request = std::function<bool(const Engine::EngineApi &)>;
  const std::vector<std::pair<std::string, Request>> requests = {
      {"state", [](const auto &it) { return bool(it.State()); }},
      {"usage", [](const auto &it) { return bool(it.Usage()); }},
      {"load", [](const auto &it) { return bool(it.Load({})); }},
  };
  for (const EndlessAnswer &it : answers)
    for (const auto &entry : requests) {
      const std::string &name = entry.first;
      const Request &request = entry.second;
      CAPTURE(it.Place);
      CAPTURE(name);
      EndlessServer server(it.Begin, it.Repeated);
      CHECK_FALSE(request(Platform::makeHttpEngine(
          "127.0.0.1", server.port(), Platform::makeConnectionPool())));
      CHECK(server.awaitSent() <= SocketSlackBytes);
    }
}
