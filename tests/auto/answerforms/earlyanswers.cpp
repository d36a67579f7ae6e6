#include "gatewayfixture.h"

#include <asio/write.hpp>
#include <doctest/doctest.h>

using namespace std::chrono_literals;
using HttpIo::Tcp;

namespace {

/// How an endpoint goes on behind its early answer.
enum class End : uint8_t {
  Reset,     ///< Resets the connection with the upload unread.
  CloseRead, ///< Reads the upload, and then closes.
};

/// An endpoint that answers a request after its first bytes. The gateway's
/// write of the rest waits, as the endpoint has a small receive buffer.
class EarlyEndpoint {
public:
  explicit EarlyEndpoint(asio::io_context &loop)
      : Acceptor(loop), Socket(loop), Pause(loop) {
    Acceptor.open(Tcp::v4());
    Acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
    Acceptor.bind({asio::ip::address_v4::loopback(), 0});
    Acceptor.listen();
    accept();
  }
  std::string address() const { return textOf(Acceptor.local_endpoint()); }

  std::string Answer;
  End Then = End::Reset;
  int Requests = 0;

private:
  void accept() {
    Acceptor.async_accept(
        [this](const std::error_code &ec, Tcp::socket socket) {
          if (ec)
            return;
          Socket = std::move(socket);
          awaitHead();
        });
  }
  void awaitHead() {
    Received.clear();
    Socket.async_read_some(
        asio::buffer(Buffer), [this](const std::error_code &ec, size_t n) {
          if (ec) // The gateway's check whether this endpoint has crashed.
            return accept();
          ++Requests;
          Received.append(Buffer.data(), n);
          std::error_code ignored;
          asio::write(Socket, asio::buffer(withId()), ignored);
          if (Then == End::Reset)
            return resetAfterPause();
          readAll();
        });
  }
  /// The gateway has read the answer and waits to write more by then.
  void resetAfterPause() {
    Pause.expires_after(20ms);
    Pause.async_wait([this](const std::error_code &) {
      Socket.set_option(asio::socket_base::linger(true, 0));
      Socket.close();
      accept();
    });
  }
  void readAll() {
    Socket.async_read_some(
        asio::buffer(Buffer), [this](const std::error_code &ec, size_t n) {
          Tail = (Tail + std::string(Buffer.data(), n));
          Tail = Tail.substr(Tail.size() - std::min<size_t>(Tail.size(), 3));
          if (!ec && Tail != "end")
            return readAll();
          Socket.close();
          accept();
        });
  }
  std::string withId() const {
    const std::string field = "Request-Id: ";
    size_t at = Received.find(field) + field.size();
    std::string id = Received.substr(at, Received.find("\r\n", at) - at);
    std::string out = Answer;
    if (size_t mark = out.find("@ID@"); mark != std::string::npos)
      out.replace(mark, 4, id);
    return out;
  }

  Tcp::acceptor Acceptor;
  Tcp::socket Socket;
  HttpIo::Timer Pause;
  std::array<char, 4096> Buffer;
  std::string Received;
  std::string Tail;
};

/// A caller that uploads a body while it reads the answer.
struct UploadingCaller {
  UploadingCaller(asio::io_context &loop, const Tcp::endpoint &peer,
                  std::string text)
      : Text(std::move(text)), Socket(loop) {
    Socket.connect(peer);
    asio::async_write(Socket, asio::buffer(Text),
                      [](const std::error_code &, size_t) {});
    read();
  }
  void read() {
    Socket.async_read_some(asio::buffer(Buffer),
                           [this](const std::error_code &ec, size_t n) {
                             Received.append(Buffer.data(), n);
                             Ended = bool(ec);
                             if (!ec && !isWhole())
                               read();
                           });
  }
  bool isWhole() const {
    Http::ResponseParser parser;
    std::string input = Received;
    std::string body;
    return parser.feed(input, body) == Http::ResponseState::Complete;
  }
  unsigned status() const {
    return Received.size() < 12 ? 0
                                : unsigned(std::stoul(Received.substr(9, 3)));
  }

  std::string Text;
  Tcp::socket Socket;
  std::array<char, 65536> Buffer;
  std::string Received;
  bool Ended = false;
};

struct UploadFixture : GatewayFixture {
  UploadFixture() {
    addRoute("/unsafe/", "s", Fleet::RouteKind::Unsafe);
    addRoute("/stream/", "s", Fleet::RouteKind::Streaming);
    Fleet::EndpointReport report;
    report.Id = "i-early";
    report.Service = "s";
    report.Address = Early.address();
    report.FailureDomain = "z";
    report.Slots = 4;
    Reports.push_back(report);
    Config.Limits.BodyBytes = 8 << 20;
    start();
  }
  /// Whether a success that looks whole reaches a caller that uploads so much.
  bool isToldAsWhole(const std::string &prefix, size_t uploadBytes) {
    int before = Early.Requests;
    std::string body(uploadBytes, 'x');
    body.replace(body.size() - 3, 3, "end");
    std::string id = "u-" + std::to_string(++Uploads);
    UploadingCaller caller(
        Loop, HttpIo::parseEndpoint(Settings.CallerAddress, Ignored),
        "POST " + prefix + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
            "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
            body);
    runUntil([&] { return caller.Ended || caller.isWhole(); });
    CHECK(Early.Requests == before + 1);
    return caller.isWhole() && caller.status() == 200;
  }

  EarlyEndpoint Early{Loop};
  std::error_code Ignored;
  int Uploads = 0;
};

struct EarlyAnswer {
  const char *Form;
  const char *Route;
  std::string Text;
  /// Whether it is whole when the connection is closed.
  bool EndsByClose = true;
};

std::vector<EarlyAnswer> earlyAnswers() {
  const std::string fields = "Request-Id: @ID@\r\nResponse-Seal: s\r\n";
  const std::string events = "Content-Type: text/event-stream\r\n";
  const std::string ok = "HTTP/1.1 200 OK\r\n" + fields;
  return {
      {"HTTP/1.1", "/unsafe/", ok + "\r\npart"},
      {"HTTP/1.0", "/unsafe/", "HTTP/1.0 200 OK\r\n" + fields + "\r\npart"},
      {"Connection: close", "/unsafe/", ok + "Connection: close\r\n\r\npart"},
      {"event stream", "/stream/", ok + events + "\r\nid: 1\ndata: x\n\n"},
      {"empty body", "/unsafe/", ok + "\r\n"},
      {"length", "/unsafe/", ok + "Content-Length: 9\r\n\r\npart", false},
      {"chunks", "/unsafe/",
       ok + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false},
  };
}

constexpr size_t SmallUpload = 400'000;
constexpr size_t LargeUpload = 3'900'000;

} // namespace

// Issue 57, MIXED: the kernel reported the reset to the write of the upload,
// and the read after it found an end of data, which a whole answer has.
TEST_CASE_FIXTURE(UploadFixture, "early answer without a length, reset while "
                                 "the upload is written, reaches no caller as "
                                 "whole") {
  for (const EarlyAnswer &it : earlyAnswers())
    for (size_t bytes : {SmallUpload, LargeUpload}) {
      CAPTURE(it.Form);
      CAPTURE(bytes);
      Early.Answer = it.Text;
      CHECK_FALSE(isToldAsWhole(it.Route, bytes));
    }
}

// Guards against a sound answer that is refused because it came early.
TEST_CASE_FIXTURE(UploadFixture, "early answer without a length, the endpoint "
                                 "reads the upload and closes, reaches its "
                                 "caller as whole") {
  Early.Then = End::CloseRead;
  for (const EarlyAnswer &it : earlyAnswers()) {
    CAPTURE(it.Form);
    Early.Answer = it.Text;
    CHECK(isToldAsWhole(it.Route, LargeUpload) == it.EndsByClose);
  }
}
