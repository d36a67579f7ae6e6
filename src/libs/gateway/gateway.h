#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

/// Public header of the gateway library: the process that stands between
/// callers and endpoints on one VM, on one Asio loop.
#include "balance/balance.h"
#include "gateway/callwire.h"
#include "gateway/engineclient.h"
#include "gateway/fleetpart.h"
#include "gateway/gatewaysettings.h"
#include "gateway/store.h"
#include "gateway/tokenroom.h"
#include "gateway/topicfeed.h"
#include "gateway/view.h"
#include "gateway/waitingroom.h"
#include "httpio/httpio.h"
#include "metrics/metrics.h"

#include <asio/signal_set.hpp>
#include <map>
#include <memory>
#include <random>

namespace Gateway {

/// What the gateway speaks to the outside.
struct Outside {
  CallWire Calls;
  Store PlatformStore;
  EngineClient Engines;
};

/// What all calls of the process share.
struct Shared {
  Shared(asio::io_context &loop, GatewaySettings settings, Outside outside);

  asio::io_context &Loop;
  GatewaySettings Settings;
  Outside Wire;
  HttpIo::ClientPool Connections;
  View Known;
  Balance::EndpointBoard Board;
  Metrics::Registry Numbers;
  WaitingRoom Waiting;
  TokenRoom Tokens;
  FleetPart Part;
  std::map<std::string, Balance::RetryBudget> RetryBudgets;
  std::mt19937_64 Random;
  std::function<void()> TookDuty;
  std::function<void()> IsSmall;
  std::function<ReadFacts()> HasRead;
  std::function<void(const FleetLink::Beat &, Utils::TimePoint)> Told;
  /// When the keys were complete.
  Utils::TimePoint KeysReadAt{};
  /// Keys are known to be valid until then.
  Utils::TimePoint KeysTrustedUntil{};

  Balance::RetryBudget &retryBudget(const std::string &service);
  /// An endpoint has said something of itself in a response.
  void noteNotice(const std::string &endpoint, const EndpointNotice &notice);

private:
  Balance::RetryBudget::Policy retryPolicy() const;
};

class Process {
public:
  Process(asio::io_context &loop, GatewaySettings settings, Outside outside);

  /// Opens the addresses and begins to read the store.
  Utils::Status start();
  /// Stops taking callers; the loop ends when the last ones are answered or
  /// the grace is nearly over.
  void leave();

private:
  Utils::Status listen();
  void onCallerRequest(const HttpIo::ServerConnectionRef &, Http::Request);
  void onReadinessRequest(const HttpIo::ServerConnectionRef &caller);
  void onMetricsRequest(const HttpIo::ServerConnectionRef &caller);
  void onTold(const FleetLink::Beat &beat, Utils::TimePoint askedAt);
  void takeEntries(const FleetLink::Beat &beat);
  void applyLimits();
  void keepHouse();
  void awaitSignals();
  void finishLeaving();
  bool isReady() const;

  asio::io_context &Loop;
  Shared State;
  std::shared_ptr<HttpIo::ServerPolicy> CallerPolicy;
  std::shared_ptr<HttpIo::ServerPolicy> ReadinessPolicy;
  std::shared_ptr<HttpIo::ServerPolicy> MetricsPolicy;
  HttpIo::Listener Callers;
  HttpIo::Listener Readiness;
  HttpIo::Listener MetricsPort;
  TopicFeed Configurations;
  TopicFeed Endpoints;
  asio::signal_set Signals;
  HttpIo::Timer HouseTimer;
  HttpIo::Timer LeaveTimer;
  bool Leaving = false;
  Utils::TimePoint LeaveDeadline;
  Utils::TimePoint CloseIdleAt;
};

} // namespace Gateway

#endif // GATEWAY_GATEWAY_H
