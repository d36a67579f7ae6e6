#include "frontdoor/frontdoor.h"
#include "frontdoor/requesthead.h"

#include <arpa/inet.h>
#include <condition_variable>
#include <doctest/doctest.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace std::chrono_literals;
using namespace FrontDoor;

namespace {

constexpr int GenerousMs = 20000;
constexpr uint32_t ServerThreads = 4;
constexpr uint64_t MaxBodyBytes = 4096;

/// Connection that sends what it is told, byte for byte.
class RawCaller {
public:
  explicit RawCaller(uint16_t port) : Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(Socket, reinterpret_cast<sockaddr *>(&address),
                    sizeof(address)) == 0);
  }
  RawCaller(const RawCaller &) = delete;
  ~RawCaller() { close(Socket); }

  void send(const std::string &bytes) {
    ::send(Socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  /// Reads until the text has come or the server closes; all that was read.
  std::string readUntil(const std::string &text) {
    while (All.find(text) == std::string::npos && readSome())
      continue;
    return All;
  }
  std::string readToEnd() {
    while (readSome())
      continue;
    CHECK(Ended);
    return All;
  }
  /// Ends with a reset, so that nothing more is read.
  void leave() {
    linger off{1, 0};
    setsockopt(Socket, SOL_SOCKET, SO_LINGER, &off, sizeof(off));
    shutdown(Socket, SHUT_RDWR);
  }

private:
  bool readSome() {
    char buf[4096];
    pollfd it{Socket, POLLIN, 0};
    if (poll(&it, 1, GenerousMs) <= 0)
      return false;
    ssize_t n = recv(Socket, buf, sizeof(buf), 0);
    Ended = n <= 0;
    if (n > 0)
      All.append(buf, static_cast<size_t>(n));
    return n > 0;
  }

  int Socket;
  std::string All;
  bool Ended = false;
};

struct Door {
  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<Request> Seen;
  bool Released = false;
  bool Left = false;
  int Waiting = 0;
  std::unique_ptr<Server> Http;

  Door() {
    Options options;
    options.Threads = ServerThreads;
    options.MaxBodyBytes = MaxBodyBytes;
    options.HeadTimeout = 300ms;
    options.BodyTimeout = 300ms;
    Http = std::make_unique<Server>(
        options, [this](const Request &request) { return answer(request); });
    REQUIRE(Http->start());
  }
  ~Door() {
    release();
    Http->stop();
  }
  void release() {
    std::lock_guard lock(Mutex);
    Released = true;
    Changed.notify_all();
  }
  void waitUntil(const std::function<bool()> &predicate) {
    std::unique_lock lock(Mutex);
    REQUIRE(Changed.wait_for(lock, std::chrono::milliseconds(GenerousMs),
                             predicate));
  }
  size_t seen() {
    std::lock_guard lock(Mutex);
    return Seen.size();
  }

  Answer answer(const Request &request) {
    std::unique_lock lock(Mutex);
    Answer answer;
    answer.Body = "{}\n";
    if (request.Path == "/healthz")
      return answer;
    Seen.push_back(request);
    if (request.Path == "/wait") {
      ++Waiting;
      Changed.notify_all();
      for (int i = 0; i < GenerousMs / 10 && !Released && !Left; ++i) {
        Changed.wait_for(lock, 10ms);
        Left = request.CallerLeft();
      }
      Changed.notify_all();
    }
    if (request.Path == "/stream")
      answer.Stream = [this](const PieceWriter &write) { return pump(write); };
    if (request.Path == "/truncated")
      answer.Stream = [](const PieceWriter &write) {
        write("data: first\n\n");
        return false;
      };
    if (request.Path == "/inject")
      answer.Headers["X-Echo"] = "a\r\nSet-Cookie: b";
    return answer;
  }
  bool pump(const PieceWriter &write) {
    std::string piece(65536, 'x');
    for (int i = 0; i < GenerousMs; ++i)
      if (!write(piece)) {
        std::lock_guard lock(Mutex);
        Left = true;
        Changed.notify_all();
        return false;
      }
    return true;
  }
};

std::string post(const std::string &headers, const std::string &body = "",
                 const std::string &path = "/v1/completions") {
  return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body;
}

std::string reasonOf(const std::string &response) {
  size_t n = response.find("\r\n\r\n");
  if (n == std::string::npos)
    return {};
  auto body = nlohmann::json::parse(response.substr(n), nullptr, false);
  return body.is_object() && body.contains("error")
             ? body["error"].value("reason", "")
             : "";
}

} // namespace

TEST_CASE_FIXTURE(Door, "malformed or oversized request is refused in one "
                        "shape, its connection closed, the next one served") {
  struct Row {
    std::string Name;
    std::string Bytes;
    std::string Reason;
  };
  std::string flood;
  for (int i = 0; i < 100; ++i)
    flood += "X-H" + std::to_string(i) + ": v\r\n";
  const Row rows[] = {
      {"not HTTP", "\x16\x03\x01 hello\r\n\r\n", "malformed_request"},
      {"unknown method", "BREW / HTTP/1.1\r\n\r\n", "malformed_request"},
      {"two lengths", post("Content-Length: 2\r\nContent-Length: 2\r\n", "{}"),
       "malformed_request"},
      {"length and chunked",
       post("Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "{}"),
       "malformed_request"},
      {"negative length", post("Content-Length: -1\r\n"), "malformed_request"},
      {"signed length", post("Content-Length: +2\r\n", "{}"),
       "malformed_request"},
      {"two codings", post("Transfer-Encoding: gzip, chunked\r\n"),
       "malformed_request"},
      {"blank before colon", post("Content-Length : 2\r\n", "{}"),
       "malformed_request"},
      {"folded header", post("X-A: b\r\n c\r\n"), "malformed_request"},
      {"bare line feed", post("X-A: b\nContent-Length: 2\r\n", "{}"),
       "malformed_request"},
      {"body on GET", "GET / HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}",
       "malformed_request"},
      {"two keys", post("Authorization: a\r\nAuthorization: b\r\n"),
       "malformed_request"},
      {"two idempotency keys",
       post("Idempotency-Key: a\r\nIdempotency-Key: b\r\n"),
       "malformed_request"},
      {"many headers", post(flood), "headers_too_large"},
      {"long header", post("X-A: " + std::string(20000, 'a') + "\r\n"),
       "headers_too_large"},
      {"oversized body", post("Content-Length: 5000\r\n"), "body_too_large"},
      {"oversized chunks",
       post("Transfer-Encoding: chunked\r\n",
            "4000\r\n" + std::string(0x4000, 'a') + "\r\n0\r\n\r\n"),
       "body_too_large"},
      {"headers that stop", "POST / HTTP/1.1\r\nX-A:", "request_too_slow"},
      {"body that stops", post("Content-Length: 10\r\n", "abc"),
       "request_too_slow"}};
  for (const Row &row : rows) {
    CAPTURE(row.Name);
    RawCaller caller(Http->port());
    caller.send(row.Bytes);
    std::string response = caller.readToEnd();
    CHECK(reasonOf(response) == row.Reason);
    CHECK(response.find("\"not-run\"") != response.npos);
    CHECK(seen() == 0);
  }
  RawCaller caller(Http->port());
  caller.send(post("Content-Length: 2\r\n", "{}"));
  CHECK(caller.readUntil("{}\n").find("200") != std::string::npos);
  CHECK(seen() == 1);
}

TEST_CASE_FIXTURE(Door, "chunked body over the limit but inside its wire "
                        "bound is refused") {
  RawCaller caller(Http->port());
  caller.send(post("Transfer-Encoding: chunked\r\n",
                   "1100\r\n" + std::string(0x1100, 'a') + "\r\n0\r\n\r\n"));
  CHECK(reasonOf(caller.readUntil("}}")) == "body_too_large");
  CHECK(seen() == 0);
}

TEST_CASE_FIXTURE(Door, "two requests on one connection are both served, with "
                        "their own bodies") {
  RawCaller caller(Http->port());
  caller.send(post("Content-Length: 1\r\n", "a") +
              post("Content-Length: 1\r\n", "b"));
  waitUntil([&] { return Seen.size() == 2; });
  CHECK(Seen[0].Body == "a");
  CHECK(Seen[1].Body == "b");
}

TEST_CASE_FIXTURE(Door, "key is taken out of the target, and refused in a "
                        "place that reaches endpoints") {
  const std::string key = "sk-0123456789abcdef";
  RawCaller good(Http->port());
  good.send(post("Authorization: Bearer " + key + "\r\nContent-Length: 0\r\n",
                 "", "/desk?a=1&key=" + key + "&API_KEY=x&b=2"));
  good.readUntil("{}");
  REQUIRE(seen() == 1);
  CHECK(Seen[0].Target == "/desk?a=1&b=2");
  CHECK(Seen[0].BearerKey == key);
  RawCaller bad(Http->port());
  bad.send(post("Authorization: Bearer " + key + "\r\nContent-Length: " +
                    std::to_string(key.size()) + "\r\n",
                key));
  CHECK(reasonOf(bad.readUntil("}}")) == "malformed_request");
  CHECK(seen() == 1);
}

TEST_CASE_FIXTURE(Door, "form bodies reach the handler byte for byte") {
  const std::string body = "--b\r\nContent-Disposition: form-data; "
                           "name=\"a\"\r\n\r\nvalue\r\n--b--\r\n";
  RawCaller caller(Http->port());
  caller.send(post("Content-Type: multipart/form-data; "
                   "boundary=b\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n",
                   body));
  caller.readUntil("{}");
  REQUIRE(seen() == 1);
  CHECK(Seen[0].Body == body);
  CHECK(Seen[0].ContentType == "multipart/form-data; boundary=b");
}

TEST_CASE_FIXTURE(Door, "caller that leaves is noticed while it waits") {
  RawCaller caller(Http->port());
  caller.send(post("Content-Length: 0\r\n", "", "/wait"));
  waitUntil([&] { return Waiting == 1; });
  caller.leave();
  waitUntil([&] { return Left; });
}

TEST_CASE_FIXTURE(Door, "caller that leaves in mid-stream ends the stream") {
  RawCaller caller(Http->port());
  caller.send(post("Content-Length: 0\r\n", "", "/stream"));
  caller.readUntil("xxxx");
  caller.leave();
  waitUntil([&] { return Left; });
}

TEST_CASE_FIXTURE(Door, "truncated stream closes without its last chunk") {
  RawCaller caller(Http->port());
  caller.send(post("Content-Length: 0\r\n", "", "/truncated"));
  std::string response = caller.readToEnd();
  CHECK(response.find("data: first") != response.npos);
  CHECK(response.find("\r\n0\r\n\r\n") == response.npos);
}

TEST_CASE_FIXTURE(Door, "line break in a header value starts no new header") {
  RawCaller caller(Http->port());
  caller.send(post("Content-Length: 0\r\n", "", "/inject"));
  std::string response = caller.readUntil("{}");
  CHECK(response.find("200") != response.npos);
  CHECK(response.find("\nSet-Cookie") == response.npos);
}

TEST_CASE_FIXTURE(Door, "probe is answered while all threads are busy, and "
                        "other requests are refused at once") {
  std::vector<std::unique_ptr<RawCaller>> busy;
  for (uint32_t i = 0; i < ServerThreads; ++i) {
    busy.push_back(std::make_unique<RawCaller>(Http->port()));
    busy.back()->send(post("Content-Length: 0\r\n", "", "/wait"));
  }
  waitUntil([&] { return Waiting == ServerThreads; });
  RawCaller probe(Http->port());
  probe.send("GET /healthz HTTP/1.1\r\n\r\n");
  CHECK(probe.readUntil("{}").find("200") != std::string::npos);
  RawCaller other(Http->port());
  other.send(post("Content-Length: 0\r\n"));
  std::string refused = other.readUntil("}}");
  CHECK(reasonOf(refused) == "no_capacity");
  CHECK(refused.find("Retry-After") != refused.npos);
}

TEST_CASE_FIXTURE(Door, "burst of connections finds room in the backlog") {
  CHECK(Http->backlog() >= 256);
}
