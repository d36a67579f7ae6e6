#include "gatewayworld.h"

#include "platform/callheaders.h"

#include <asio/ip/udp.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>
#include <utility>

using namespace std::chrono_literals;
using HttpIo::Tcp;

namespace {

const Tcp::endpoint Loopback(asio::ip::address_v4::loopback(), 0);

std::string textOf(const Tcp::endpoint &endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace

struct ScriptedEndpoint::Peer {
  explicit Peer(Tcp::socket socket) : Socket(std::move(socket)) {}
  Tcp::socket Socket;
  Http::RequestParser Parser{Http::RequestLimits{}};
  std::array<char, 4096> Buffer;
  std::string Input;
  std::string Output;
};

ScriptedEndpoint::ScriptedEndpoint(asio::io_context &loop,
                                   std::deque<Script> &scripts)
    : Scripts(scripts), Acceptor(loop, Loopback) {
  accept();
}

std::string ScriptedEndpoint::address() const {
  return textOf(Acceptor.local_endpoint());
}

void ScriptedEndpoint::accept() {
  Acceptor.async_accept([this](const std::error_code &ec, Tcp::socket socket) {
    if (ec)
      return;
    ++Accepted;
    auto peer = std::make_shared<Peer>(std::move(socket));
    Peers.push_back(peer);
    read(peer);
    accept();
  });
}

void ScriptedEndpoint::resetAll() {
  for (const std::weak_ptr<Peer> &it : Peers)
    if (auto peer = it.lock(); peer && peer->Socket.is_open()) {
      peer->Socket.set_option(asio::socket_base::linger(true, 0));
      peer->Socket.close();
    }
}

void ScriptedEndpoint::read(const std::shared_ptr<Peer> &peer) {
  peer->Socket.async_read_some(
      asio::buffer(peer->Buffer),
      [this, peer](const std::error_code &ec, size_t n) {
        if (ec) {
          ++Ended;
          return;
        }
        peer->Input.append(peer->Buffer.data(), n);
        if (peer->Parser.feed(peer->Input) == Http::RequestState::Complete)
          play(peer, peer->Parser.take(Http::RequestLimits{}));
        if (peer->Socket.is_open())
          read(peer);
      });
}

void ScriptedEndpoint::play(const std::shared_ptr<Peer> &peer,
                            const Http::Request &request) {
  Requests.push_back(request);
  if (Scripts.empty())
    return; // Silent.
  Script script = Scripts.front();
  Scripts.pop_front();
  const std::string *id = request.Headers.find("Request-Id");
  auto name = [&](std::string &text) {
    for (size_t at; (at = text.find("@ID@")) != std::string::npos;)
      text.replace(at, 4, id ? *id : "");
  };
  name(script.Text);
  for (std::string &it : script.Parts)
    name(it);
  peer->Output = script.Text;
  asio::async_write(peer->Socket, asio::buffer(peer->Output),
                    [this, peer, script](const std::error_code &, size_t) {
                      if (script.After == Script::Then::Keep)
                        return;
                      if (script.After == Script::Then::Repeat)
                        return repeat(peer, script);
                      if (script.After == Script::Then::Reset)
                        peer->Socket.set_option(
                            asio::socket_base::linger(true, 0));
                      peer->Socket.close();
                    });
}

void ScriptedEndpoint::repeat(const std::shared_ptr<Peer> &peer,
                              const Script &script) {
  auto timer = std::make_shared<HttpIo::Timer>(peer->Socket.get_executor(),
                                               script.Pause);
  timer->async_wait([this, peer, script, timer](const std::error_code &) {
    Script rest = script;
    peer->Output = script.Again;
    if (!script.Parts.empty()) {
      peer->Output = rest.Parts.front();
      rest.Parts.pop_front();
    }
    bool goesOn = script.Parts.empty() || !rest.Parts.empty();
    asio::async_write(
        peer->Socket, asio::buffer(peer->Output),
        [this, peer, rest, goesOn](const std::error_code &ec, size_t n) {
          Flooded += n;
          if (!ec && goesOn)
            repeat(peer, rest);
        });
  });
}

RawCaller::RawCaller(asio::io_context &loop, const Tcp::endpoint &peer)
    : Socket(loop) {
  Socket.connect(peer);
  read();
}

void RawCaller::send(const std::string &text) {
  asio::write(Socket, asio::buffer(text));
}

void RawCaller::read() {
  Socket.async_read_some(asio::buffer(Buffer),
                         [this](const std::error_code &ec, size_t n) {
                           Received.append(Buffer.data(), n);
                           Ended = bool(ec);
                           if (!ec)
                             read();
                         });
}

GatewayWorld::GatewayWorld() {
  Settings.VmName = "vm";
  Settings.FailureDomain = "z";
  Settings.RetrySlack = 100;
  Settings.IpAddress = "127.0.0.1";
  asio::ip::udp::socket port(Loop, {asio::ip::address_v4::loopback(), 0});
  Settings.FirstInternalPort = port.local_endpoint().port();
  Settings.MetricsPort = freePort();
  port.close();
  Settings.CallerAddress = "127.0.0.1:" + std::to_string(freePort());
  Settings.ReadinessAddress = "127.0.0.1:" + std::to_string(freePort());
}

uint16_t GatewayWorld::freePort() {
  KeptPorts.emplace_back(Loop, Loopback);
  return KeptPorts.back().local_endpoint().port();
}

ScriptedEndpoint &GatewayWorld::addEndpoint(const std::string &service,
                                            std::vector<std::string> models) {
  Endpoints.emplace_back(Loop, Scripts);
  Fleet::EndpointReport report;
  report.Id = "i-" + std::to_string(Endpoints.size());
  report.Service = service;
  report.Address = Endpoints.back().address();
  report.FailureDomain = "z";
  report.Slots = 4;
  Engines[report.Id].Models = models;
  for (std::string &it : models)
    report.Models.push_back({std::move(it), 1, {}});
  Reports.push_back(report);
  return Endpoints.back();
}

Fleet::Route &GatewayWorld::addRoute(const std::string &prefix,
                                     const std::string &service,
                                     Fleet::RouteKind kind) {
  Fleet::Route route;
  route.Name = "r" + std::to_string(Config.Routes.size());
  route.Host = "h";
  route.Prefix = prefix;
  route.Kind = kind;
  route.Timeout = 20s;
  route.Attempts = 2;
  route.Services = {{service, 1}};
  Config.Routes.push_back(route);
  return Config.Routes.back();
}

void GatewayWorld::after(std::chrono::milliseconds pause,
                         const std::function<void()> &what) {
  auto timer = std::make_shared<HttpIo::Timer>(Loop);
  timer->expires_after(pause);
  timer->async_wait([timer, what](const std::error_code &) { what(); });
}

void GatewayWorld::answerRead(Gateway::Topic topic,
                              const Gateway::Store::ReadDone &done) {
  after(1ms, [this, topic, done] {
    if (!StoreAnswers)
      return done(Utils::failure(Utils::Errc::Unavailable, "store: away"));
    Gateway::TopicRead read;
    if (topic == Gateway::Topic::Operators) {
      ++ConfigReads;
      read.Records.push_back({"config", "text"});
    } else {
      ++EndpointReads;
      for (const Fleet::EndpointReport &it : Reports)
        read.Records.push_back({it.Id, it.Id});
    }
    done(std::move(read));
  });
}

void GatewayWorld::addEngine(const std::string &service, int models) {
  Fleet::Service out;
  out.Name = service;
  out.ModelEngine.emplace();
  out.ModelEngine->MemoryMb = 20;
  out.ModelEngine->DiskMb = 1000;
  out.ModelEngine->HostMemoryMb = 10;
  out.ModelEngine->AdapterSlots = 2;
  out.ModelEngine->StoreLoadsPerSecond = 4;
  for (int i = 0; i < models; ++i)
    out.ModelEngine->Models.push_back(
        {"m" + std::to_string(i), 10, 20ms, 10ms, 5ms, 4});
  Config.Services.push_back(out);
}

void GatewayWorld::order(const std::string &id, const Residency::Order &order,
                         const Gateway::OrderFacts &facts,
                         const std::function<void(Gateway::OrderReply)> &done) {
  FakeEngine &engine = Engines[id];
  engine.StaleOrders += facts.After < engine.Orders;
  if (engine.Busy || facts.After != engine.Orders)
    return done(Gateway::OrderReply::OutOfStep);
  ++engine.Orders;
  engine.Taken.push_back(order);
  bool isModel = order.Adapter.empty();
  bool loads = order.What == Residency::Change::LoadModel ||
               order.What == Residency::Change::LoadAdapter;
  engine.Busy = isModel;
  after(5ms, [&engine, order, isModel, loads] {
    auto &list = isModel ? engine.Models : engine.Adapters;
    const std::string &name = isModel ? order.Model : order.Adapter;
    if (loads)
      list.push_back(name);
    else
      std::erase(list, name);
    engine.Busy = false;
  });
  if (engine.LostAnswers > 0) {
    --engine.LostAnswers;
    return done(Gateway::OrderReply::Unknown);
  }
  done(Gateway::OrderReply::Accepted);
}

void GatewayWorld::noteArrival(const Gateway::EngineClient::NoticeSink &notices,
                               const std::string &id) {
  FakeEngine &engine = Engines[id];
  Utils::TimePoint now = Utils::BootClock::now();
  engine.Disturbed += now < engine.RestsUntil;
  if (!engine.Notice)
    return;
  if (engine.Notice->Rest)
    engine.RestsUntil = now + *engine.Notice->Rest;
  notices(id, *std::exchange(engine.Notice, std::nullopt));
}

Gateway::EngineClient GatewayWorld::makeEngines() {
  Gateway::EngineClient client;
  auto notices = client.Notices;
  client.SendOrder = [this, notices](const auto &endpoint, const auto &what,
                                     const auto &facts, auto, auto done) {
    after(1ms, [this, notices, id = endpoint.Id, what, facts, done] {
      noteArrival(*notices, id);
      order(id, what, facts, done);
    });
  };
  client.ReadReport = [this, notices](const auto &endpoint, auto, auto done) {
    after(1ms, [this, notices, id = endpoint.Id, done] {
      noteArrival(*notices, id);
      FakeEngine &engine = Engines[id];
      ++engine.Reported;
      if (engine.OldReport)
        return done(*engine.OldReport);
      Gateway::EngineReport report;
      report.Orders = engine.Orders;
      report.Busy = engine.Busy;
      for (const std::string &it : engine.Models)
        report.Models.push_back({it, 1, engine.Adapters});
      done(report);
    });
  };
  return client;
}

Gateway::Store GatewayWorld::makeStore() {
  Gateway::Store store;
  store.ConfigurationKey = "config";
  store.ReadPage = [this](auto topic, const auto &, auto, auto done) {
    answerRead(topic, [done](Utils::Outcome<Gateway::TopicRead> read) {
      if (!read)
        return done(read.error());
      done(Gateway::TopicPage{read->Next, std::move(read.value().Records), ""});
    });
  };
  store.ReadFrom = [this](auto topic, auto, auto patience, auto, auto done) {
    if (topic == Gateway::Topic::Operators)
      ConfigurationPatience = patience;
    answerRead(topic, std::move(done));
  };
  store.ReadDuty = [this](auto, auto done) {
    after(1ms, [this, done] { done(Gateway::DutyRead{DutyRecord, DutyEnd}); });
  };
  store.AppendDuty = [this](auto end, const auto &value, auto, auto done) {
    after(1ms, [this, end, value, done] {
      if (!StoreAnswers || end != DutyEnd)
        return done(Utils::failure(Utils::Errc::Conflict, "store"));
      DutyRecord = value;
      if (OnDutyAppended)
        OnDutyAppended();
      done(++DutyEnd);
    });
  };
  store.DecodeConfiguration = [this](const std::string &) {
    auto copy = std::make_shared<Fleet::Configuration>(Config);
    copy->index();
    return Utils::Outcome<Fleet::ConfigurationRef>(copy);
  };
  store.DecodeEndpoint = [this](const std::string &id, const std::string &) {
    for (const Fleet::EndpointReport &it : Reports)
      if (it.Id == id)
        return Utils::Outcome<Fleet::EndpointReport>(it);
    return Utils::Outcome<Fleet::EndpointReport>(
        Utils::failure(Utils::Errc::NotFound, id));
  };
  return store;
}

void GatewayWorld::open() {
  ++Config.Version;
  Process = std::make_unique<Gateway::Process>(
      Loop, Settings,
      Gateway::Outside{Platform::makeCallWire(), makeStore(), makeEngines()});
  KeptPorts.clear();
  Utils::Status started = Process->start();
  INFO((started ? "" : started.error().What));
  REQUIRE(started);
}

void GatewayWorld::start() {
  open();
  while (readiness().find(" 200 ") == std::string::npos)
    Loop.run_one();
}

void GatewayWorld::publish() {
  ++Config.Version;
  uint64_t before = ConfigReads;
  runUntil([&] { return ConfigReads >= before + 2; });
}

void GatewayWorld::retire(const std::string &id) {
  for (Fleet::EndpointReport &it : Reports)
    if (it.Id == id) {
      it.State = Fleet::EndpointState::Draining;
      ++it.Sequence;
    }
  uint64_t before = EndpointReads;
  runUntil([&] { return EndpointReads >= before + 2; });
}

void GatewayWorld::report(
    const std::vector<FleetLink::LeavingEndpoint> &leaving) {
  runUntil([&] { return DutyRecord.has_value(); });
  asio::ip::udp::socket socket(Loop, {asio::ip::address_v4::loopback(), 0});
  FleetLink::Report out;
  out.Member = "other";
  out.Address = textOf(
      {socket.local_endpoint().address(), socket.local_endpoint().port()});
  out.Incarnation = 1;
  out.LeavingEndpoints = leaving;
  std::string buf(FleetLink::MaxDatagramBytes, ' ');
  bool answered = false;
  socket.async_receive(asio::buffer(buf), [&](const std::error_code &, size_t) {
    answered = true;
  });
  runUntil([&] {
    // It may not know yet that it holds the duty.
    ++out.Sequence;
    socket.send_to(
        asio::buffer(FleetLink::encode(out)),
        {asio::ip::address_v4::loopback(), Settings.FirstInternalPort});
    return answered;
  });
}

std::string GatewayWorld::readiness() {
  return ask(Settings.ReadinessAddress, "/v1/readiness");
}

std::string GatewayWorld::metrics() {
  return ask("127.0.0.1:" + std::to_string(Settings.MetricsPort), "/metrics");
}

std::string GatewayWorld::ask(const std::string &address,
                              const std::string &path) {
  std::error_code ec;
  RawCaller probe(Loop, HttpIo::parseEndpoint(address, ec));
  probe.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
  statusOf(probe);
  probe.leave();
  Loop.poll();
  return probe.Received;
}

RawCaller &GatewayWorld::connect() {
  std::error_code ec;
  Callers.emplace_back(Loop, HttpIo::parseEndpoint(Settings.CallerAddress, ec));
  return Callers.back();
}

std::string GatewayWorld::requestText(const std::string &prefix,
                                      const std::string &id,
                                      const std::string &headers,
                                      const std::string &method) {
  return method + " " + prefix + "x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
         "\r\n" + headers + "\r\n";
}

RawCaller &GatewayWorld::call(const std::string &prefix,
                              const std::string &headers,
                              const std::string &method) {
  RawCaller &caller = connect();
  std::string id = "q" + std::to_string(++NextId);
  caller.send(requestText(prefix, id, headers, method));
  return caller;
}

void GatewayWorld::runUntil(const std::function<bool()> &condition) {
  auto limit = Utils::BootClock::now() + 60s;
  while (!condition()) {
    REQUIRE(Utils::BootClock::now() < limit);
    Loop.run_one_for(100ms);
  }
}

unsigned GatewayWorld::statusOf(RawCaller &caller) {
  Http::ResponseParser parser;
  runUntil([&] {
    std::string input = caller.Received;
    std::string body;
    parser.reset();
    return parser.feed(input, body) == Http::ResponseState::Complete ||
           caller.Ended;
  });
  return caller.Received.empty() ? 0 : parser.head().Status;
}

std::string answer(unsigned status, const std::string &body,
                   const std::string &headers) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nRequest-Id: @ID@\r\nResponse-Seal: s\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
