#ifndef TESTS_GATEWAYFIXTURE_H
#define TESTS_GATEWAYFIXTURE_H

#include "gateway/gateway.h"
#include "scriptedendpoint.h"

#include <asio/io_context.hpp>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>

/// A caller that sends raw bytes and records the response.
class RawCaller {
public:
  RawCaller(asio::io_context &loop, const HttpIo::Tcp::endpoint &peer);

  void send(const std::string &text);
  void disconnect() { Socket.close(); }
  std::string Received;
  bool Ended = false;

private:
  void read();

  HttpIo::Tcp::socket Socket;
  std::array<char, 65536> Buffer;
};

/// A simulated model engine: its resident models and the orders that it
/// accepted.
struct FakeEngine {
  int64_t Orders = 0;
  bool Busy = false;
  std::vector<std::string> Models;
  std::vector<std::string> Adapters;
  std::vector<Residency::Order> AcceptedOrders;
  /// Number of orders to come that are executed but not answered.
  int LostReplies = 0;
  /// If set, reports return this instead of the current state, because they lag
  /// behind the orders.
  std::optional<Gateway::EngineReport> StaleReport;
  int ReportReads = 0;
  /// Endpoint status that the next response carries.
  std::optional<Gateway::EndpointNotice> Notice;
  /// Number of requests that arrived during the requested backoff.
  int RequestsDuringBackoff = 0;
  Utils::TimePoint BackoffUntil{};
  /// Number of orders that were based on an outdated report.
  int StaleOrders = 0;
  int RejectedOrders = 0;
};

/// Another gateway of the fleet, before the same store. It runs on a loop of
/// its own, so that destroying it ends it like a kill.
struct OtherGateway {
  asio::io_context Loop{1};
  /// Whether the store answers its reads.
  bool StoreAnswers = true;
  std::unique_ptr<Gateway::Process> Process;
};

/// A gateway between scripted callers and endpoints, with a store that the test
/// controls. Waits for events, never for a fixed time.
class GatewayFixture {
public:
  GatewayFixture();

  /// Gives the service an engine with memory for two of `models` models.
  void addEngine(const std::string &service, int models);
  /// Registers an endpoint of the service that holds `models`.
  ScriptedEndpoint &addEndpoint(const std::string &service,
                                std::vector<std::string> models = {});
  Fleet::Route &addRoute(const std::string &prefix, const std::string &service,
                         Fleet::RouteKind kind);
  /// Starts the gateway without waiting until it is ready.
  void launch();
  /// Starts the gateway and waits until it is ready.
  void start();
  /// Publishes the configuration again as a newer version and waits until the
  /// gateway has read it.
  void publish();
  /// Marks an endpoint as draining in the store.
  void markDraining(const std::string &id);
  /// Marks an endpoint as draining and waits until the gateway has read it.
  void drainEndpoint(const std::string &id);
  /// Removes an endpoint's entry from the store.
  void removeEntry(const std::string &id);
  /// Waits until the gateway has read all entries.
  void awaitEndpointReads();

  /// Sends a report of another gateway to this one, the holder, that these
  /// endpoints are shutting down, and waits for the reply.
  void reportLeaving(const std::vector<FleetLink::LeavingEndpoint> &leaving);

  /// Sends a report of another gateway to this one, the holder, until it
  /// answers, and returns the answer.
  FleetLink::Heartbeat exchangeReport(FleetLink::Report &report);

  RawCaller &call(const std::string &prefix, const std::string &headers = "",
                  const std::string &method = "GET");
  RawCaller &connect();
  std::string requestText(const std::string &prefix, const std::string &id,
                          const std::string &headers,
                          const std::string &method);
  /// Runs the loop until the condition holds. Fails the test after a timeout
  /// that is far above any regular run time.
  void runUntil(const std::function<bool()> &condition);
  /// Waits until the caller's answer is complete or the connection has ended,
  /// and returns the status; 0 for no answer.
  unsigned statusOf(RawCaller &caller);
  std::string readiness();
  std::string metrics();
  /// Waits until the gateway has read the operators' topic.
  void awaitOperatorReads();
  /// Returns settings with ports of their own for another gateway.
  Gateway::GatewaySettings makeSettings(const std::string &vmName);
  /// Starts another gateway with these settings.
  OtherGateway &startOther(const std::string &name,
                           const Gateway::GatewaySettings &settings);
  /// Ends another gateway without notice.
  void killOther(const std::string &name) { Others.erase(name); }

  asio::io_context Loop{1};
  Gateway::GatewaySettings Settings;
  Fleet::Configuration Config;
  std::vector<Fleet::EndpointReport> Reports;
  /// Entries of other writers beside the reports, by id, as the store has them.
  std::map<std::string, std::string> RawEntries;
  /// Ids of the entries that were removed.
  std::vector<std::string> RemovedEntries;
  /// Further records of the operators' topic, beside the configuration.
  std::vector<Gateway::TopicRecord> OperatorRecords;
  /// Responses to the next requests, whichever endpoint receives them.
  std::deque<Script> Scripts;
  bool StoreAnswers = true;
  /// Long-poll timeout of the latest configuration read.
  Utils::Milliseconds ConfigurationPollTimeout{0};
  /// By endpoint id.
  std::map<std::string, FakeEngine> Engines;
  std::optional<std::string> DutyRecord;
  uint64_t DutyEnd = 0;
  std::list<ScriptedEndpoint> Endpoints;
  std::list<RawCaller> Callers;
  std::unique_ptr<Gateway::Process> Process;
  /// By name.
  std::map<std::string, OtherGateway> Others;
  /// Called when a gateway has claimed or renewed the fleet's duty.
  std::function<void()> OnDutyAppended;
  void runAfter(std::chrono::milliseconds pause,
                const std::function<void()> &callback);
  /// Whether the store appends records of the duty also for gateways whose
  /// reads it does not answer.
  bool DutyAnswers = false;
  /// End of the operators' topic.
  uint64_t OperatorsEnd = 0;
  /// End of the endpoints' topic, at which reads of its log find nothing; 0:
  /// the store names none, and each read finds all entries.
  uint64_t EndpointsEnd = 0;
  /// Called after the store has answered a read of the gateway that runs on
  /// that loop.
  std::function<void(const asio::io_context &, Gateway::Topic)> OnStoreRead;

private:
  /// `answers`: whether the store answers this gateway's reads.
  Gateway::Store makeStore(asio::io_context &loop, const bool &answers);
  void answerRead(asio::io_context &loop, const bool &answers,
                  Gateway::Topic topic, uint64_t from,
                  const Gateway::Store::ReadDone &done);
  Gateway::TopicRead recordsOf(Gateway::Topic topic) const;
  Gateway::EngineClient makeEngines();
  void recordRequest(const Gateway::EngineClient::NoticeSink &notices,
                     const std::string &id);
  void handleOrder(const std::string &id, const Residency::Order &order,
                   const Gateway::OrderMetadata &metadata,
                   const std::function<void(Gateway::OrderReply)> &done);
  std::string fetch(const std::string &address, const std::string &path);
  uint16_t reservePort(const std::string &vmName);
  /// Keeps the ports of each gateway reserved until it listens, so that no
  /// scripted endpoint is assigned one.
  std::map<std::string, std::vector<asio::ip::tcp::acceptor>> ReservedPorts;

  uint64_t ConfigReads = 0;
  uint64_t EndpointReads = 0;
  int NextId = 0;
};

#endif // TESTS_GATEWAYFIXTURE_H
