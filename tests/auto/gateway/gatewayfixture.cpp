#include "gatewayfixture.h"

#include "platform/callheaders.h"
#include "platform/endpointentry.h"

#include <asio/ip/udp.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>
#include <utility>

using namespace std::chrono_literals;
using HttpIo::Tcp;

namespace {

const Tcp::endpoint Loopback(asio::ip::address_v4::loopback(), 0);

} // namespace

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

GatewayFixture::GatewayFixture() { Settings = makeSettings("vm"); }

Gateway::GatewaySettings
GatewayFixture::makeSettings(const std::string &vmName) {
  Gateway::GatewaySettings out;
  out.VmName = vmName;
  out.FailureDomain = "z";
  out.RetrySlack = 100;
  out.IpAddress = "127.0.0.1";
  asio::ip::udp::socket port(Loop, {asio::ip::address_v4::loopback(), 0});
  out.FirstInternalPort = port.local_endpoint().port();
  out.MetricsPort = reservePort(vmName);
  port.close();
  out.CallerAddress = "127.0.0.1:" + std::to_string(reservePort(vmName));
  out.ReadinessAddress = "127.0.0.1:" + std::to_string(reservePort(vmName));
  return out;
}

uint16_t GatewayFixture::reservePort(const std::string &vmName) {
  auto &ports = ReservedPorts[vmName];
  ports.emplace_back(Loop, Loopback);
  return ports.back().local_endpoint().port();
}

ScriptedEndpoint &GatewayFixture::addEndpoint(const std::string &service,
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

Fleet::Route &GatewayFixture::addRoute(const std::string &prefix,
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

namespace {

void runOnLoopAfter(asio::io_context &loop, std::chrono::milliseconds pause,
                    const std::function<void()> &callback) {
  auto timer = std::make_shared<HttpIo::Timer>(loop);
  timer->expires_after(pause);
  timer->async_wait([timer, callback](const std::error_code &) { callback(); });
}

} // namespace

void GatewayFixture::runAfter(std::chrono::milliseconds pause,
                              const std::function<void()> &callback) {
  runOnLoopAfter(Loop, pause, callback);
}

Gateway::TopicRead GatewayFixture::recordsOf(Gateway::Topic topic) const {
  Gateway::TopicRead read;
  if (topic == Gateway::Topic::Operators) {
    read.Next = OperatorsEnd;
    read.Records.push_back({"config", "text"});
    for (const Gateway::TopicRecord &it : OperatorRecords)
      read.Records.push_back(it);
    return read;
  }
  read.Next = EndpointsEnd;
  for (const std::string &id : RemovedEntries)
    read.Records.push_back({id, std::nullopt});
  for (const Fleet::EndpointReport &it : Reports)
    read.Records.push_back({it.Id, it.Id});
  for (const auto &[id, text] : RawEntries)
    read.Records.push_back({id, text});
  return read;
}

void GatewayFixture::answerRead(asio::io_context &loop, const bool &answers,
                                Gateway::Topic topic, uint64_t from,
                                const Gateway::Store::ReadDone &done) {
  runOnLoopAfter(loop, 1ms, [this, &loop, &answers, topic, from, done] {
    if (!answers)
      return done(
          Utils::failure(Utils::Errc::Unavailable, "store: unavailable"));
    if (&loop == &Loop)
      ++(topic == Gateway::Topic::Operators ? ConfigReads : EndpointReads);
    bool hasNews = topic == Gateway::Topic::Operators || EndpointsEnd == 0 ||
                   from < EndpointsEnd;
    done(hasNews ? recordsOf(topic) : Gateway::TopicRead{from, {}, from});
    if (OnStoreRead)
      OnStoreRead(loop, topic);
  });
}

void GatewayFixture::addEngine(const std::string &service, int models) {
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

void GatewayFixture::handleOrder(
    const std::string &id, const Residency::Order &order,
    const Gateway::OrderMetadata &metadata,
    const std::function<void(Gateway::OrderReply)> &done) {
  FakeEngine &engine = Engines[id];
  engine.StaleOrders += metadata.ExpectedOrders < engine.Orders;
  if (engine.Busy || metadata.ExpectedOrders != engine.Orders) {
    ++engine.RejectedOrders;
    return done(Gateway::OrderReply::OutOfSequence);
  }
  ++engine.Orders;
  engine.AcceptedOrders.push_back(order);
  bool isModel = order.Adapter.empty();
  bool loads = order.What == Residency::Change::LoadModel ||
               order.What == Residency::Change::LoadAdapter;
  engine.Busy = isModel;
  runAfter(5ms, [&engine, order, isModel, loads] {
    auto &list = isModel ? engine.Models : engine.Adapters;
    const std::string &name = isModel ? order.Model : order.Adapter;
    if (loads)
      list.push_back(name);
    else
      std::erase(list, name);
    engine.Busy = false;
  });
  if (engine.LostReplies > 0) {
    --engine.LostReplies;
    return done(Gateway::OrderReply::Unknown);
  }
  done(Gateway::OrderReply::Accepted);
}

void GatewayFixture::recordRequest(
    const Gateway::EngineClient::NoticeSink &notices, const std::string &id) {
  FakeEngine &engine = Engines[id];
  Utils::TimePoint now = Utils::BootClock::now();
  engine.RequestsDuringBackoff += now < engine.BackoffUntil;
  if (!engine.Notice)
    return;
  if (engine.Notice->Backoff)
    engine.BackoffUntil = now + *engine.Notice->Backoff;
  notices(id, *std::exchange(engine.Notice, std::nullopt));
}

Gateway::EngineClient GatewayFixture::makeEngines() {
  Gateway::EngineClient client;
  auto notices = client.Notices;
  client.SendOrder = [this, notices](const auto &endpoint, const auto &order,
                                     const auto &metadata, auto, auto done) {
    runAfter(1ms, [this, notices, id = endpoint.Id, order, metadata, done] {
      recordRequest(*notices, id);
      handleOrder(id, order, metadata, done);
    });
  };
  client.ReadReport = [this, notices](const auto &endpoint, auto, auto done) {
    runAfter(1ms, [this, notices, id = endpoint.Id, done] {
      recordRequest(*notices, id);
      FakeEngine &engine = Engines[id];
      ++engine.ReportReads;
      if (engine.StaleReport)
        return done(*engine.StaleReport);
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

Gateway::Store GatewayFixture::makeStore(asio::io_context &loop,
                                         const bool &answers) {
  Gateway::Store store;
  store.ConfigurationKey = "config";
  store.EvacuatedDomain = [](const std::string &key) {
    return key.rfind("evacuate/", 0) == 0 ? std::optional(key.substr(9))
                                          : std::nullopt;
  };
  store.ReadPage = [this, &loop, &answers](auto topic, const auto &, auto,
                                           auto done) {
    answerRead(loop, answers, topic, 0,
               [done](Utils::Outcome<Gateway::TopicRead> read) {
                 if (!read)
                   return done(read.error());
                 done(Gateway::TopicPage{read->Next,
                                         std::move(read.value().Records), ""});
               });
  };
  store.ReadFrom = [this, &loop, &answers](auto topic, auto from, auto maxWait,
                                           auto, auto done) {
    if (topic == Gateway::Topic::Operators && &loop == &Loop)
      ConfigurationPollTimeout = maxWait;
    answerRead(loop, answers, topic, from, std::move(done));
  };
  store.ReadDuty = [this, &loop](auto, auto done) {
    runOnLoopAfter(loop, 1ms, [this, done] {
      done(Gateway::DutyRead{DutyRecord, DutyEnd});
    });
  };
  store.AppendDuty = [this, &loop, &answers](auto end, const auto &value, auto,
                                             auto done) {
    runOnLoopAfter(loop, 1ms, [this, &answers, end, value, done] {
      if ((!answers && !DutyAnswers) || end != DutyEnd)
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
  store.DecodeEndpoint = [this](const std::string &id,
                                const std::string &text) {
    if (RawEntries.count(id) > 0)
      return Platform::decodeEndpointEntry(id, text);
    for (const Fleet::EndpointReport &it : Reports)
      if (it.Id == id)
        return Utils::Outcome<Fleet::EndpointReport>(it);
    return Utils::Outcome<Fleet::EndpointReport>(
        Utils::failure(Utils::Errc::NotFound, id));
  };
  return store;
}

void GatewayFixture::launch() {
  ++Config.Version;
  Process = std::make_unique<Gateway::Process>(
      Loop, Settings,
      Gateway::PlatformClients{Platform::makeCallWire(),
                               makeStore(Loop, StoreAnswers), makeEngines()});
  ReservedPorts.clear();
  Utils::Status started = Process->start();
  INFO((started ? "" : started.error().What));
  REQUIRE(started);
}

void GatewayFixture::start() {
  launch();
  while (readiness().find(" 200 ") == std::string::npos)
    Loop.run_one();
}

OtherGateway &
GatewayFixture::startOther(const std::string &name,
                           const Gateway::GatewaySettings &settings) {
  OtherGateway &other = Others[name];
  other.Process = std::make_unique<Gateway::Process>(
      other.Loop, settings,
      Gateway::PlatformClients{Platform::makeCallWire(),
                               makeStore(other.Loop, other.StoreAnswers),
                               makeEngines()});
  ReservedPorts.erase(settings.VmName);
  Utils::Status started = other.Process->start();
  INFO((started ? "" : started.error().What));
  REQUIRE(started);
  return other;
}

void GatewayFixture::publish() {
  ++Config.Version;
  awaitOperatorReads();
}

void GatewayFixture::awaitOperatorReads() {
  uint64_t before = ConfigReads;
  runUntil([&] { return ConfigReads >= before + 2; });
}

void GatewayFixture::markDraining(const std::string &id) {
  for (Fleet::EndpointReport &it : Reports)
    if (it.Id == id) {
      it.State = Fleet::EndpointState::Draining;
      ++it.Sequence;
    }
}

void GatewayFixture::drainEndpoint(const std::string &id) {
  markDraining(id);
  awaitEndpointReads();
}

void GatewayFixture::removeEntry(const std::string &id) {
  std::erase_if(Reports, [&](const auto &it) { return it.Id == id; });
  RemovedEntries.push_back(id);
}

void GatewayFixture::awaitEndpointReads() {
  uint64_t before = EndpointReads;
  runUntil([&] { return EndpointReads >= before + 2; });
}

void GatewayFixture::reportLeaving(
    const std::vector<FleetLink::LeavingEndpoint> &leaving) {
  FleetLink::Report report;
  report.LeavingEndpoints = leaving;
  exchangeReport(report);
}

FleetLink::Heartbeat GatewayFixture::exchangeReport(FleetLink::Report &report) {
  runUntil([&] { return DutyRecord.has_value(); });
  asio::ip::udp::socket socket(Loop, {asio::ip::address_v4::loopback(), 0});
  report.Member = "other";
  report.Address = textOf(
      {socket.local_endpoint().address(), socket.local_endpoint().port()});
  report.Incarnation = 1;
  std::string buf(FleetLink::MaxDatagramBytes, ' ');
  std::optional<FleetLink::Heartbeat> heartbeat;
  std::function<void()> receive = [&] {
    socket.async_receive(asio::buffer(buf), [&](const std::error_code &ec,
                                                size_t n) {
      if (ec)
        return;
      auto datagram = FleetLink::decode(std::string_view(buf).substr(0, n));
      auto *it = datagram ? std::get_if<FleetLink::Heartbeat>(&datagram.value())
                          : nullptr;
      if (!it)
        return receive();
      heartbeat = std::move(*it);
    });
  };
  receive();
  runUntil([&] {
    // Repeat the report: the gateway may not know yet that it is the holder.
    ++report.Sequence;
    socket.send_to(
        asio::buffer(FleetLink::encode(report)),
        {asio::ip::address_v4::loopback(), Settings.FirstInternalPort});
    return heartbeat.has_value();
  });
  return *heartbeat;
}

std::string GatewayFixture::readiness() {
  return fetch(Settings.ReadinessAddress, "/v1/readiness");
}

std::string GatewayFixture::metrics() {
  return fetch("127.0.0.1:" + std::to_string(Settings.MetricsPort), "/metrics");
}

std::string GatewayFixture::fetch(const std::string &address,
                                  const std::string &path) {
  std::error_code ec;
  RawCaller probe(Loop, HttpIo::parseEndpoint(address, ec));
  probe.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
  statusOf(probe);
  probe.disconnect();
  Loop.poll();
  return probe.Received;
}

RawCaller &GatewayFixture::connect() {
  std::error_code ec;
  Callers.emplace_back(Loop, HttpIo::parseEndpoint(Settings.CallerAddress, ec));
  return Callers.back();
}

std::string GatewayFixture::requestText(const std::string &prefix,
                                        const std::string &id,
                                        const std::string &headers,
                                        const std::string &method) {
  return method + " " + prefix + "x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
         "\r\n" + headers + "\r\n";
}

RawCaller &GatewayFixture::call(const std::string &prefix,
                                const std::string &headers,
                                const std::string &method) {
  RawCaller &caller = connect();
  std::string id = "q" + std::to_string(++NextId);
  caller.send(requestText(prefix, id, headers, method));
  return caller;
}

void GatewayFixture::runUntil(const std::function<bool()> &condition) {
  auto limit = Utils::BootClock::now() + 60s;
  while (!condition()) {
    REQUIRE(Utils::BootClock::now() < limit);
    for (auto &[name, other] : Others)
      other.Loop.poll();
    Loop.run_one_for(Others.empty() ? 100ms : 1ms);
  }
}

unsigned GatewayFixture::statusOf(RawCaller &caller) {
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
