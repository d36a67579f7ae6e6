#ifndef TESTS_GATEWAYWORLD_H
#define TESTS_GATEWAYWORLD_H

#include "gateway/gateway.h"

#include <asio/io_context.hpp>
#include <deque>
#include <list>
#include <map>
#include <memory>

/// How a scripted endpoint treats one request.
struct Script {
  /// Sent as it is; @ID@ stands for the id of the request.
  std::string Text;
  enum class Then { Keep, Close, Reset, Repeat } After = Then::Keep;
  /// Sent over and over again until the gateway closes, if After is Repeat.
  std::string Again{};
  /// Pause before each time.
  std::chrono::milliseconds Pause{0};
  /// Sent one after the other instead, and then nothing.
  std::deque<std::string> Parts{};
};

/// An endpoint on a loopback port that plays the next script of `scripts` for
/// each request, stays silent when there is none, and keeps what it was sent.
class ScriptedEndpoint {
public:
  ScriptedEndpoint(asio::io_context &loop, std::deque<Script> &scripts);

  std::string address() const;
  std::vector<Http::Request> Requests;
  /// Breaks all its connections.
  void resetAll();
  /// Connections that the gateway has ended.
  int Ended = 0;
  int Accepted = 0;
  /// Bytes of scripts that are repeated.
  size_t Flooded = 0;

private:
  struct Peer;
  std::vector<std::weak_ptr<Peer>> Peers;
  void accept();
  void read(const std::shared_ptr<Peer> &peer);
  void play(const std::shared_ptr<Peer> &peer, const Http::Request &request);
  void repeat(const std::shared_ptr<Peer> &peer, const Script &script);

  std::deque<Script> &Scripts;
  HttpIo::Tcp::acceptor Acceptor;
};

/// A caller that sends raw bytes and keeps what comes back.
class RawCaller {
public:
  RawCaller(asio::io_context &loop, const HttpIo::Tcp::endpoint &peer);

  void send(const std::string &text);
  void leave() { Socket.close(); }
  std::string Received;
  bool Ended = false;

private:
  void read();

  HttpIo::Tcp::socket Socket;
  std::array<char, 4096> Buffer;
};

/// What a model engine holds in this world, and the orders that it was sent.
struct FakeEngine {
  int64_t Orders = 0;
  bool Busy = false;
  std::vector<std::string> Models;
  std::vector<std::string> Adapters;
  std::vector<Residency::Order> Taken;
  /// The next orders get no answer, and these are carried out all the same.
  int LostAnswers = 0;
  /// What reports say instead, while it is set: they lag behind the orders.
  std::optional<Gateway::EngineReport> OldReport;
  int Reported = 0;
  /// What the next answer says of the engine.
  std::optional<Gateway::EndpointNotice> Notice;
  /// Orders and reports asked for while it wanted nothing.
  int Disturbed = 0;
  Utils::TimePoint RestsUntil{};
  /// Orders that were given by such a report.
  int StaleOrders = 0;
};

/// A gateway between scripted callers and endpoints, with a store that answers
/// as the test sets it up. Only events are waited for.
class GatewayWorld {
public:
  GatewayWorld();

  /// Gives the service an engine with room for two models of these.
  void addEngine(const std::string &service, int models);
  /// Lists an endpoint of the service; it holds the models.
  ScriptedEndpoint &addEndpoint(const std::string &service,
                                std::vector<std::string> models = {});
  Fleet::Route &addRoute(const std::string &prefix, const std::string &service,
                         Fleet::RouteKind kind);
  /// Starts the gateway.
  void open();
  /// Starts the gateway and waits until it is ready.
  void start();
  /// Publishes the configuration once more, as a newer version.
  void publish();
  /// Marks an endpoint as leaving, and waits until the gateway has read it.
  void retire(const std::string &id);

  /// Another gateway reports to this one, which holds the duty, that these
  /// endpoints leave; waits for the answer.
  void report(const std::vector<FleetLink::LeavingEndpoint> &leaving);

  RawCaller &call(const std::string &prefix, const std::string &headers = "",
                  const std::string &method = "GET");
  RawCaller &connect();
  std::string requestText(const std::string &prefix, const std::string &id,
                          const std::string &headers,
                          const std::string &method);
  /// Runs the loop until the condition holds; fails the test after a limit
  /// that no run comes near.
  void runUntil(const std::function<bool()> &condition);
  /// The status of the caller's answer once it is complete or the connection
  /// has ended; 0 for none.
  unsigned statusOf(RawCaller &caller);
  std::string readiness();
  std::string metrics();

  asio::io_context Loop{1};
  Gateway::GatewaySettings Settings;
  Fleet::Configuration Config;
  std::vector<Fleet::EndpointReport> Reports;
  /// What the endpoints do with the next requests, whichever gets them.
  std::deque<Script> Scripts;
  bool StoreAnswers = true;
  /// How long the newest read of the configuration was to wait for news.
  Utils::Milliseconds ConfigurationPatience{0};
  /// By endpoint.
  std::map<std::string, FakeEngine> Engines;
  std::optional<std::string> DutyRecord;
  uint64_t DutyEnd = 0;
  std::list<ScriptedEndpoint> Endpoints;
  std::list<RawCaller> Callers;
  std::unique_ptr<Gateway::Process> Process;
  /// The fleet's duty was claimed or renewed.
  std::function<void()> OnDutyAppended;
  void after(std::chrono::milliseconds pause,
             const std::function<void()> &what);

private:
  Gateway::Store makeStore();
  void answerRead(Gateway::Topic topic, const Gateway::Store::ReadDone &done);
  Gateway::EngineClient makeEngines();
  void noteArrival(const Gateway::EngineClient::NoticeSink &notices,
                   const std::string &id);
  void order(const std::string &id, const Residency::Order &order,
             const Gateway::OrderFacts &facts,
             const std::function<void(Gateway::OrderReply)> &done);
  std::string ask(const std::string &address, const std::string &path);
  uint16_t freePort();
  /// Held until the gateway listens, lest a scripted endpoint gets them.
  std::vector<asio::ip::tcp::acceptor> KeptPorts;

  uint64_t ConfigReads = 0;
  uint64_t EndpointReads = 0;
  int NextId = 0;
};

/// A genuine answer of an endpoint.
std::string answer(unsigned status, const std::string &body,
                   const std::string &headers = "");

#endif // TESTS_GATEWAYWORLD_H
