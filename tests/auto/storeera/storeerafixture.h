#ifndef TESTS_STOREERAFIXTURE_H
#define TESTS_STOREERAFIXTURE_H

#include "gateway/gateway.h"
#include "scriptedendpoint.h"
#include "storestandin.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// A gateway process before the store. It runs on a loop of its own, so that
/// destroying it ends it like a kill.
struct EraGateway {
  asio::io_context Loop{1};
  StoreStandIn::Door *Door = nullptr;
  Gateway::GatewaySettings Settings;
  std::unique_ptr<HttpIo::ClientPool> StorePool;
  std::unique_ptr<Gateway::Process> Process;
};

/// Some gateways before one store, and endpoints of the service `s`. Waits for
/// events, never for a fixed time.
class StoreEraFixture {
public:
  /// Starts a gateway without waiting for it.
  EraGateway &start(const std::string &name);
  void kill(const std::string &name) { Gateways.erase(name); }
  /// Writes version `version` of the configuration: a public route with each of
  /// the prefixes.
  void writeConfiguration(uint64_t version,
                          const std::vector<std::string> &prefixes);
  /// Starts an endpoint that answers every call with 200, and writes its entry.
  ScriptedEndpoint &addEndpoint(const std::string &id);
  /// Writes the entry of an endpoint again.
  void writeEntry(const std::string &id);
  /// Writes the fleet's requests to evacuate `domain`.
  void writeEvacuation(const std::string &domain);
  /// Sends a call to the gateway and returns the status; 0 for no answer.
  unsigned statusOf(EraGateway &gateway, const std::string &prefix);
  /// Repeats the call until it gets this status, and returns the statuses in
  /// between. Fails the test after a time that is far above any regular one.
  std::vector<unsigned> awaitStatus(EraGateway &gateway,
                                    const std::string &prefix, unsigned status);
  /// Value of a metric without labels; -1 if the gateway has none.
  double metric(EraGateway &gateway, const std::string &name);
  void awaitMetric(EraGateway &gateway, const std::string &name, double value);
  /// Waits until the store has answered further reads of the topic.
  void awaitReads(const std::string &topic);
  void runUntil(const std::function<bool()> &condition);

  asio::io_context Loop{1};
  StoreStandIn Store{Loop};
  std::map<std::string, EraGateway> Gateways;

private:
  std::string exchange(const std::string &address, const std::string &request);
  uint16_t freePort();

  std::deque<Script> Scripts;
  std::map<std::string, ScriptedEndpoint> Endpoints;
  std::map<std::string, int> Sequences;
  int NextId = 0;
  bool HasStarted = false;
};

#endif // TESTS_STOREERAFIXTURE_H
