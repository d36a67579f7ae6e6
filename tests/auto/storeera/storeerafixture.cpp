#include "storeerafixture.h"

#include "platform/callheaders.h"
#include "platform/storeclient.h"

#include <asio/ip/udp.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <utility>

using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// Far above the seconds that a gateway may take, so that only a wait without
/// end fails.
constexpr std::chrono::seconds WaitLimit{15};

} // namespace

uint16_t StoreEraFixture::freePort() {
  HttpIo::Tcp::acceptor port(Loop, {asio::ip::address_v4::loopback(), 0});
  return port.local_endpoint().port();
}

EraGateway &StoreEraFixture::start(const std::string &name) {
  EraGateway &it = Gateways[name];
  it.Door = &Store.openDoor();
  it.Settings.VmName = name;
  it.Settings.FailureDomain = "z";
  it.Settings.RetrySlack = 100;
  it.Settings.FirstStart = !std::exchange(HasStarted, true);
  it.Settings.IpAddress = "127.0.0.1";
  it.Settings.CallerAddress = "127.0.0.1:" + std::to_string(freePort());
  it.Settings.ReadinessAddress = "127.0.0.1:" + std::to_string(freePort());
  it.Settings.MetricsPort = freePort();
  asio::ip::udp::socket port(Loop, {asio::ip::address_v4::loopback(), 0});
  it.Settings.FirstInternalPort = port.local_endpoint().port();
  port.close();
  it.StorePool = std::make_unique<HttpIo::ClientPool>(it.Loop);
  it.Process = std::make_unique<Gateway::Process>(
      it.Loop, it.Settings,
      Gateway::PlatformClients{Platform::makeCallWire(),
                               Platform::makeStoreClient(*it.StorePool, it.Loop,
                                                         it.Door->Address,
                                                         false),
                               {}});
  Utils::Status started = it.Process->start();
  INFO((started ? "" : started.error().What));
  REQUIRE(started);
  return it;
}

void StoreEraFixture::writeConfiguration(
    uint64_t version, const std::vector<std::string> &prefixes) {
  json routes = json::array();
  for (const std::string &it : prefixes)
    routes.push_back({{"name", "r" + it},
                      {"host", "h"},
                      {"path_prefix", it},
                      {"kind", "unsafe"},
                      {"timeout_ms", 5000},
                      {"service", "s"},
                      {"public", true}});
  json config = {{"version", version},
                 {"routes", routes},
                 {"services", {{{"name", "s"}, {"connection_limit", 100}}}}};
  Store.write("keyed.op", "config", config.dump());
}

void StoreEraFixture::writeEvacuation(const std::string &domain) {
  Store.write("keyed.op", "evacuate/" + domain, "{}");
}

ScriptedEndpoint &StoreEraFixture::addEndpoint(const std::string &id) {
  auto [it, isNew] = Endpoints.try_emplace(id, Loop, Scripts);
  it->second.Respond = [](const Http::Request &) {
    return Script{answer(200, "ok")};
  };
  writeEntry(id);
  return it->second;
}

void StoreEraFixture::writeEntry(const std::string &id) {
  json entry = {{"service", "s"},   {"address", Endpoints.at(id).address()},
                {"zone", "z"},      {"slots", 4},
                {"state", "ready"}, {"cold_remaining_ms", 0},
                {"born", 7},        {"sequence", ++Sequences[id]}};
  Store.write("keyed.servers", id, entry.dump());
}

void StoreEraFixture::runUntil(const std::function<bool()> &condition) {
  auto limit = Utils::BootClock::now() + WaitLimit;
  while (!condition()) {
    if (Utils::BootClock::now() >= limit)
      FAIL("the awaited event did not come");
    for (auto &[name, it] : Gateways)
      it.Loop.poll();
    Loop.run_one_for(1ms);
  }
}

std::string StoreEraFixture::exchange(const std::string &address,
                                      const std::string &request) {
  std::error_code ec;
  HttpIo::Tcp::socket socket(Loop);
  socket.connect(HttpIo::parseEndpoint(address, ec));
  asio::write(socket, asio::buffer(request));
  std::string received;
  std::array<char, 65536> buf;
  bool ended = false;
  std::function<void()> read = [&] {
    socket.async_read_some(asio::buffer(buf),
                           [&](const std::error_code &error, size_t n) {
                             received.append(buf.data(), n);
                             ended = bool(error);
                             if (!error)
                               read();
                           });
  };
  read();
  runUntil([&] {
    Http::ResponseParser parser;
    parser.reset();
    std::string input = received;
    std::string body;
    return ended || parser.feed(input, body) == Http::ResponseState::Complete;
  });
  socket.close();
  runUntil([&] { return ended; });
  return received;
}

unsigned StoreEraFixture::statusOf(EraGateway &gateway,
                                   const std::string &prefix) {
  std::string text =
      exchange(gateway.Settings.CallerAddress,
               "GET " + prefix + "x HTTP/1.1\r\nHost: h\r\nRequest-Id: q" +
                   std::to_string(++NextId) + "\r\n\r\n");
  size_t at = text.find(' ');
  return at == std::string::npos ? 0 : unsigned(std::stoul(text.substr(at)));
}

std::vector<unsigned> StoreEraFixture::awaitStatus(EraGateway &gateway,
                                                   const std::string &prefix,
                                                   unsigned status) {
  std::vector<unsigned> out;
  runUntil([&] {
    unsigned it = statusOf(gateway, prefix);
    if (it != status)
      out.push_back(it);
    return it == status;
  });
  return out;
}

double StoreEraFixture::metric(EraGateway &gateway, const std::string &name) {
  std::string text =
      exchange("127.0.0.1:" + std::to_string(gateway.Settings.MetricsPort),
               "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
  size_t at = text.find("\n" + name + " ");
  return at == std::string::npos ? -1
                                 : std::stod(text.substr(at + name.size() + 2));
}

void StoreEraFixture::awaitMetric(EraGateway &gateway, const std::string &name,
                                  double value) {
  runUntil([&] { return metric(gateway, name) == value; });
}

void StoreEraFixture::awaitReads(const std::string &topic) {
  uint64_t before = Store.readsOf(topic);
  runUntil([&] { return Store.readsOf(topic) >= before + 2; });
}
