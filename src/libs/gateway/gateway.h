#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

/// Public header of the gateway library: the proxy process between callers and
/// endpoints on one VM. It runs on a single Asio loop.
#include "balance/balance.h"
#include "gateway/admissionqueue.h"
#include "gateway/callwire.h"
#include "gateway/configurationcheck.h"
#include "gateway/crashwatch.h"
#include "gateway/dispatchqueue.h"
#include "gateway/engineclient.h"
#include "gateway/fleetagent.h"
#include "gateway/gatewaysettings.h"
#include "gateway/heldanswers.h"
#include "gateway/store.h"
#include "gateway/topicfeed.h"
#include "gateway/view.h"
#include "httpio/httpio.h"
#include "metrics/metrics.h"

#include <asio/signal_set.hpp>
#include <map>
#include <memory>
#include <random>

namespace Gateway {

/// Interfaces to the platform and to endpoints, implemented outside this
/// library.
struct PlatformClients {
  CallWire Calls;
  Store PlatformStore;
  EngineClient Engines;
};

/// State that all calls of the process share.
struct GatewayState {
  GatewayState(asio::io_context &loop, GatewaySettings settings,
               PlatformClients clients);

  asio::io_context &Loop;
  GatewaySettings Settings;
  PlatformClients Clients;
  HttpIo::ClientPool Connections;
  View FleetView;
  Balance::HealthTracker HealthTracker;
  Metrics::Registry MetricsRegistry;
  DispatchQueue PendingDispatch;
  AdmissionQueue PendingAdmission;
  HeldAnswers BufferedAnswers;
  FleetAgent Coordination;
  CrashWatch Crashes;
  std::map<std::string, Balance::RetryBudget> RetryBudgets;
  std::mt19937_64 Random;
  std::function<void()> OnDutyTaken;
  std::function<void()> OnSmallFleet;
  std::function<StoreReadProgress()> ReadProgress;
  std::function<void(const StoreEra::Era &)> OnStoreEra;
  std::function<void(const std::string &address, const std::string &owner,
                     const ConfigurationState &)>
      OnConfigurationState;
  std::function<void()> OnDutyRecord;
  std::function<void(const FleetLink::Heartbeat &,
                     std::optional<Utils::TimePoint> reportedAt)>
      OnHeartbeat;
  ConfigurationCheck NewestConfiguration;
  /// Version of the configuration in force here; 0 before the first.
  uint64_t configurationVersion() const;
  /// The same, or the newest version of the fleet if it has been read here and
  /// could not be decoded: no other gateway can help then.
  uint64_t versionForCheck() const;
  /// Whether another gateway has a newer version in force.
  bool lacksConfiguration() const;
  /// Calls that have no final answer yet.
  std::map<const Call *, std::weak_ptr<Call>> ActiveCalls;
  /// Times of a planned stop, max() before one: calls that arrive later are
  /// refused, and calls without a final answer get one.
  Utils::TimePoint RefuseCallsFrom = Utils::TimePoint::max();
  Utils::TimePoint EndCallsAt = Utils::TimePoint::max();
  /// Time at which the list of keys was last known to be complete.
  Utils::TimePoint KeysReadAt{};
  /// Until this time what the configuration lacks does not exist, within the
  /// operators' bound on its age.
  Utils::TimePoint ConfigurationTrustedUntil{};
  /// Until this time no key can have been revoked unnoticed.
  Utils::TimePoint KeysTrustedUntil{};

  Balance::RetryBudget &retryBudget(const std::string &service);
  Balance::HedgeBudget &hedgeBudget(const std::string &service);
  /// Applies the status that an endpoint reported in a response.
  void applyNotice(const std::string &endpoint, const EndpointNotice &notice);
  /// Ends all calls that have no final answer yet, for a planned stop.
  void endActiveCalls();

  /// Times to first byte of the routes whose calls may get a second copy, by
  /// name.
  std::map<std::string, Balance::FirstByteTimes> FirstByteTimes;

private:
  Balance::RetryBudget::Policy retryPolicy() const;
  std::map<std::string, Balance::HedgeBudget> HedgeBudgets;
};

/// The gateway process of one VM: its listeners, feeds and shutdown.
class Process {
public:
  Process(asio::io_context &loop, GatewaySettings settings,
          PlatformClients clients);

  /// Opens the listening sockets and starts to read the store.
  Utils::Status start();
  /// Shuts down gracefully: stops accepting callers. The loop ends when the
  /// last of them are answered or the grace period is nearly over.
  void shutDown();

private:
  Utils::Status listen();
  void onCallerRequest(const HttpIo::ServerConnectionRef &, Http::Request);
  void onReadinessRequest(const HttpIo::ServerConnectionRef &caller);
  void onMetricsRequest(const HttpIo::ServerConnectionRef &caller);
  void onHeartbeat(const FleetLink::Heartbeat &heartbeat,
                   std::optional<Utils::TimePoint> reportedAt);
  void noteHolderReads(const FleetLink::Heartbeat &heartbeat,
                       Utils::TimePoint reportedAt);
  void applyEntries(const FleetLink::Heartbeat &heartbeat);
  void applyWithheld(const Fleet::Listing &listing);
  void removeUnlisted(const FleetLink::Heartbeat &heartbeat,
                      Utils::TimePoint asOf);
  void applyOperators(const std::vector<TopicRecord> &records, bool isSnapshot);
  void applyRelayed(const RelayedRecords &relayed);
  void noteConfigurationState(const std::string &address,
                              const std::string &owner,
                              const ConfigurationState &state);
  void noteDutyRecord();
  void checkConfiguration();
  /// The store, or a gateway, has named this era of the store.
  void noteStoreEra(const StoreEra::Era &era);
  void applyLimits();
  /// Logs the evacuations in force, now and when more of them are.
  void watchEvacuations();
  void runHousekeeping();
  void awaitSignals();
  void continueShutdown();
  bool isReady() const;

  asio::io_context &Loop;
  GatewayState State;
  std::shared_ptr<HttpIo::ServerPolicy> CallerPolicy;
  std::shared_ptr<HttpIo::ServerPolicy> ReadinessPolicy;
  std::shared_ptr<HttpIo::ServerPolicy> MetricsPolicy;
  HttpIo::Listener CallerListener;
  HttpIo::Listener ReadinessListener;
  HttpIo::Listener MetricsListener;
  TopicFeed ConfigurationFeed;
  TopicFeed EndpointFeed;
  /// Since when another gateway is known to have a newer configuration; none
  /// while none has.
  std::optional<Utils::TimePoint> ConfigurationLackedSince;
  HttpIo::OneShotTimer ConfigurationTimer;
  /// The highest era of the store that is known.
  StoreEra::Era NewestEra;
  asio::signal_set Signals;
  HttpIo::OneShotTimer HousekeepingTimer;
  HttpIo::OneShotTimer ShutdownTimer;
  HttpIo::OneShotTimer EvacuationTimer;
  bool ShuttingDown = false;
  Utils::TimePoint ShutdownDeadline;
};

} // namespace Gateway

#endif // GATEWAY_GATEWAY_H
