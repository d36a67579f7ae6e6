#include "peers/peers.h"

#include <asio.hpp>
#include <condition_variable>
#include <doctest/doctest.h>
#include <future>
#include <map>
#include <thread>

using namespace Peers;

namespace {

constexpr Utils::Milliseconds Generous(10000);
constexpr char Secret[] = "a secret for tests only";

Utils::TimePoint soon() { return std::chrono::steady_clock::now() + Generous; }

/// Two daemons on free loopback ports that know each other's address.
struct TwoNodes {
  TwoNodes() : A(make("a", Secret)), B(make("b", Secret)) {
    B->rpc().Handle("echo", [](const std::string &from, std::string_view in) {
      return Utils::Outcome<std::string>(from + ":" + std::string(in));
    });
    REQUIRE(A->start());
    REQUIRE(B->start());
    std::lock_guard lock(PortsMutex);
    Ports = {{"a", A->port()}, {"b", B->port()}};
  }
  ~TwoNodes() {
    A->stop();
    B->stop();
  }

  std::unique_ptr<Node> make(const std::string &name, const std::string &secret,
                             const Address &advertise = {}) {
    NodeOptions options;
    options.Advertise = advertise;
    options.Name = name;
    options.Listen = {"127.0.0.1", 0};
    options.ClusterSecret = secret;
    options.Roster = [this] {
      std::lock_guard lock(PortsMutex);
      std::map<std::string, Address> roster;
      for (const auto &[daemon, port] : Ports)
        roster[daemon] = {"127.0.0.1", port};
      return roster;
    };
    options.Report = [this](Utils::TimePoint) {
      std::lock_guard lock(HeardMutex);
      ++HeardCount;
      Heard.notify_all();
      return LogReport();
    };
    return std::make_unique<Node>(options, Metrics, Utils::Clock());
  }

  /// Looks each time that a node has taken a datagram or made its round; false
  /// when the predicate does not come true in generous time.
  bool waitUntil(const std::function<bool()> &predicate) {
    Utils::TimePoint end = soon();
    uint64_t seen = 0;
    while (!predicate()) {
      std::unique_lock lock(HeardMutex);
      if (!Heard.wait_until(lock, end, [&] { return HeardCount != seen; }))
        return false;
      seen = HeardCount;
    }
    return true;
  }

  void setPort(const std::string &daemon, uint16_t port) {
    std::lock_guard lock(PortsMutex);
    Ports[daemon] = port;
  }

  std::mutex HeardMutex;
  std::condition_variable Heard;
  uint64_t HeardCount = 0;
  std::mutex PortsMutex;
  std::map<std::string, uint16_t> Ports;
  Metrics::Registry Metrics;
  std::unique_ptr<Node> A;
  std::unique_ptr<Node> B;
};

/// Carries bytes between a client and a server and keeps what the client sent.
struct Recorder {
  uint16_t port() const { return Acceptor.local_endpoint().port(); }
  /// Relays one connection; the client's bytes are kept.
  void relay() {
    asio::ip::tcp::socket client = Acceptor.accept();
    asio::ip::tcp::socket server(Io);
    server.connect({asio::ip::address_v4::loopback(), Target});
    std::thread back([&] { pump(server, client, nullptr); });
    pump(client, server, &FromClient);
    back.join();
  }
  /// Sends the kept bytes on a connection of their own until it is closed.
  void replay() const {
    asio::io_context io;
    asio::ip::tcp::socket server(io);
    server.connect({asio::ip::address_v4::loopback(), Target});
    std::error_code ec;
    asio::write(server, asio::buffer(FromClient), ec);
    server.shutdown(asio::socket_base::shutdown_send, ec);
    std::array<char, 4096> buffer;
    while (!ec)
      server.read_some(asio::buffer(buffer), ec);
  }
  static void pump(asio::ip::tcp::socket &from, asio::ip::tcp::socket &to,
                   std::string *kept) {
    std::error_code ec;
    std::array<char, 4096> buffer;
    while (!ec) {
      size_t n = from.read_some(asio::buffer(buffer), ec);
      if (kept)
        kept->append(buffer.data(), n);
      std::error_code ignored;
      asio::write(to, asio::buffer(buffer.data(), n), ignored);
    }
    std::error_code ignored;
    to.shutdown(asio::socket_base::shutdown_both, ignored);
  }

  uint16_t Target = 0;
  asio::io_context Io;
  asio::ip::tcp::acceptor Acceptor{
      Io, {asio::ip::address_v4::loopback(), uint16_t{0}}};
  std::string FromClient;
};

} // namespace

TEST_CASE_FIXTURE(TwoNodes, "call to a live daemon is answered with its name") {
  for (int i = 0; i < 3; ++i) {
    auto answer = A->rpc().Call("b", "echo", "hello", soon());
    REQUIRE(answer);
    CHECK(*answer == "a:hello");
  }
}

TEST_CASE_FIXTURE(TwoNodes, "call of an unknown method or daemon says so") {
  auto method = A->rpc().Call("b", "nothing", "", soon());
  CHECK(method.error().Code == Utils::Errc::NotFound);
  auto daemon = A->rpc().Call("c", "echo", "", soon());
  CHECK(daemon.error().Code == Utils::Errc::Unavailable);
}

TEST_CASE_FIXTURE(TwoNodes, "call to a stopped daemon was not sent, and works "
                            "again after its return") {
  REQUIRE(A->rpc().Call("b", "echo", "", soon()));
  B->stop();
  REQUIRE_FALSE(A->rpc().Call("b", "echo", "", soon()));
  auto lost = A->rpc().Call("b", "echo", "", soon());
  REQUIRE_FALSE(lost);
  CHECK(lost.error().Code == Utils::Errc::Unavailable);
  B = make("b", Secret);
  B->rpc().Handle("echo", [](const std::string &, std::string_view) {
    return Utils::Outcome<std::string>("back");
  });
  REQUIRE(B->start());
  setPort("b", B->port());
  auto answer = A->rpc().Call("b", "echo", "", soon());
  REQUIRE(answer);
  CHECK(*answer == "back");
}

TEST_CASE_FIXTURE(TwoNodes, "call that gets no answer in time is unknown") {
  std::promise<void> release;
  std::shared_future<void> released = release.get_future();
  auto slow = make("slow", Secret);
  std::atomic<int> runs = 0;
  slow->rpc().Handle("wait", [&](const std::string &, std::string_view) {
    ++runs;
    released.wait();
    return Utils::Outcome<std::string>("");
  });
  REQUIRE(slow->start());
  setPort("slow", slow->port());
  // A call that could not even be sent in its time says so and is made again.
  Utils::Failure error;
  for (Utils::Milliseconds limit(300); limit < Generous; limit *= 2) {
    auto answer = A->rpc().Call("slow", "wait", "",
                                std::chrono::steady_clock::now() + limit);
    REQUIRE_FALSE(answer);
    error = answer.error();
    if (error.Code != Utils::Errc::Unavailable)
      break;
    CHECK(runs == 0);
  }
  CHECK(error.Code == Utils::Errc::UnknownResult);
  release.set_value();
  slow->stop();
}

TEST_CASE_FIXTURE(TwoNodes, "daemon with another secret is refused") {
  auto forger = make("forger", "some other secret of another cluster");
  REQUIRE(forger->start());
  auto answer = forger->rpc().Call("b", "echo", "", soon());
  REQUIRE_FALSE(answer);
  CHECK(answer.error().Code == Utils::Errc::Unavailable);
  CHECK(Metrics.text().find("reason=\"forged\"") != std::string::npos);
  forger->stop();
}

TEST_CASE_FIXTURE(TwoNodes, "connection replayed byte for byte runs nothing") {
  std::atomic<int> runs = 0;
  // Gossip tells of the recorder's address only, never of the daemon's own.
  Recorder recorder;
  auto target = make("target", Secret, {"127.0.0.1", recorder.port()});
  target->rpc().Handle("count", [&](const std::string &, std::string_view) {
    ++runs;
    return Utils::Outcome<std::string>("");
  });
  REQUIRE(target->start());
  recorder.Target = target->port();
  setPort("target", recorder.port());
  std::thread relay([&] { recorder.relay(); });
  REQUIRE(A->rpc().Call("target", "count", "", soon()));
  A->stop();
  relay.join();
  recorder.replay();
  target->stop();
  CHECK(runs == 1);
  CHECK(Metrics.text().find("reason=\"forged\"") != std::string::npos);
}

TEST_CASE_FIXTURE(TwoNodes, "daemon that advertises an address is known by it "
                            "and by no other") {
  Address shown{"127.0.0.1", 1};
  auto hidden = make("hidden", Secret, shown);
  REQUIRE(hidden->start());
  CHECK(hidden->where() == shown);
  std::vector<MemberView> seen;
  REQUIRE(waitUntil([&] {
    seen = A->members();
    std::erase_if(seen, [](const auto &it) { return it.Name != "hidden"; });
    return !seen.empty();
  }));
  CHECK(seen.front().Where == shown);
  hidden->stop();
}
