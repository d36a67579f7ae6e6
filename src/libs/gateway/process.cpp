#include "gateway/gateway.h"

#include "gateway/call.h"
#include "gateway/gatewayconstants.h"
#include "utils/utils.h"

#include <algorithm>
#include <csignal>

namespace Gateway {

namespace {

/// Shares of the slack of the fleet's retry budget: burst for all VMs together,
/// and refill per window. The rest covers calls and retries that fall into
/// different windows.
constexpr double BurstShare = 0.5;
constexpr double RefillShare = 0.25;
/// Delay after start until a gateway reads all endpoints itself if it does not
/// know that the fleet is small and no holder has answered it, and the jitter
/// of that delay. Within the jitter 300 gateways can read 5 MB each at the
/// store's 80 MB/s.
constexpr milliseconds StandaloneReadDelay{4000};
constexpr milliseconds StandaloneReadJitter{16'000};
/// Number of VMs that is assumed until the holder has announced it.
constexpr uint32_t AssumedMembers = 100;
/// Share of the allowed retry ratio that is used; the rest covers retries that
/// are counted in a later window than their call.
constexpr double RetryRatioShare = 0.8;

} // namespace

GatewayState::GatewayState(asio::io_context &loop, GatewaySettings settings,
                           PlatformClients clients)
    : Loop(loop), Settings(std::move(settings)), Clients(std::move(clients)),
      Connections(loop),
      FleetView(Clients.PlatformStore, Settings.EvacuationBound),
      PendingDispatch(loop),
      Coordination(
          {loop, Settings, FleetView, HealthTracker, Clients.PlatformStore,
           Clients.Engines, [this] { return PendingDispatch.summary(); },
           [this] { OnDutyTaken(); }, [this] { OnSmallFleet(); },
           [this] { return ReadProgress(); },
           [this](const auto &era) { OnStoreEra(era); },
           [this](const auto &heartbeat, auto reportedAt) {
             OnHeartbeat(heartbeat, reportedAt);
           },
           [this] {
             return ConfigurationState{configurationVersion(),
                                       NewestConfiguration.isConfirmed()};
           },
           [this](const auto &address, const auto &owner, const auto &state) {
             OnConfigurationState(address, owner, state);
           },
           [this] { OnDutyRecord(); },
           [this](const auto &decisions) {
             PendingAdmission.resolve(decisions);
           }}),
      Crashes(loop), Random(std::random_device{}()) {
  Crashes.OnCrash = [this](const Quarantine::Crash &crash) {
    MetricsRegistry.add("hickory_gateway_endpoint_crashes_total", "");
    Coordination.recordCrash(crash);
  };
  PendingDispatch.OnAdded = [this] { Coordination.reportSoon(); };
}

Balance::RetryBudget::Policy GatewayState::retryPolicy() const {
  uint32_t members = Coordination.members();
  double share = Settings.RetrySlack / (members > 0 ? members : AssumedMembers);
  Balance::RetryBudget::Policy policy;
  policy.Ratio = Settings.RetryRatio * RetryRatioShare;
  policy.MaxTokens = std::max(1.0, share * BurstShare);
  policy.Slack = share * RefillShare;
  policy.Window = Settings.RetryWindow;
  return policy;
}

Balance::RetryBudget &GatewayState::retryBudget(const std::string &service) {
  auto policy = retryPolicy();
  auto added = RetryBudgets.try_emplace(service, policy);
  added.first->second.setPolicy(policy);
  return added.first->second;
}

Balance::HedgeBudget &GatewayState::hedgeBudget(const std::string &service) {
  return HedgeBudgets.try_emplace(service, Settings.HedgeShare).first->second;
}

void GatewayState::applyNotice(const std::string &endpoint,
                               const EndpointNotice &notice) {
  const Fleet::Endpoint *known = FleetView.endpoints().find(endpoint);
  if (notice.Leaving && known)
    FleetView.noteLeaving(endpoint, known->Report.StartedUnixMs);
  if (notice.CallsPerSecond)
    Coordination.noteEndpointLimit(endpoint, notice.CallsPerSecond);
  if (!notice.Backoff)
    return;
  HealthTracker.coolDown(endpoint, Utils::BootClock::now() + *notice.Backoff);
  Utils::Event("endpoint_rests")
      .with("endpoint", endpoint)
      .with("ms", notice.Backoff->count())
      .info();
}

void GatewayState::endActiveCalls() {
  for (const auto &[call, it] : std::exchange(ActiveCalls, {}))
    if (auto active = it.lock())
      active->endForShutdown();
}

Process::Process(asio::io_context &loop, GatewaySettings settings,
                 PlatformClients clients)
    : Loop(loop), State(loop, std::move(settings), std::move(clients)),
      CallerPolicy(std::make_shared<HttpIo::ServerPolicy>()),
      ReadinessPolicy(std::make_shared<HttpIo::ServerPolicy>()),
      MetricsPolicy(std::make_shared<HttpIo::ServerPolicy>()),
      CallerListener(loop, CallerPolicy),
      ReadinessListener(loop, ReadinessPolicy),
      MetricsListener(loop, MetricsPolicy),
      ConfigurationFeed(loop, State.Clients.PlatformStore,
                        {Topic::Operators,
                         [this] {
                           return State.Coordination.isHolder()
                                      ? HolderPollTimeout
                                      : ConfigurationPollTimeout;
                         },
                         {},
                         maxAgeBeforeRead(State.Settings.ConfigurationApply)},
                        [this](const auto &records, bool isSnapshot) {
                          applyOperators(records, isSnapshot);
                        }),
      EndpointFeed(loop, State.Clients.PlatformStore,
                   {Topic::Endpoints, [] { return milliseconds(0); },
                    EndpointPollInterval,
                    maxAgeBeforeRead(State.Settings.EndpointDrain)},
                   [this](const auto &records, bool isSnapshot) {
                     State.FleetView.applyEndpoints(
                         records, isSnapshot,
                         {EndpointFeed.position(), EndpointFeed.readEnd()},
                         Utils::BootClock::now());
                     if (isSnapshot)
                       State.Coordination.onAllEndpointsRead(
                           EndpointFeed.position());
                   }),
      ConfigurationTimer(loop), Signals(loop, SIGTERM, SIGINT),
      HousekeepingTimer(loop), ShutdownTimer(loop), EvacuationTimer(loop) {
  auto noteStoreCall = [this](bool answered) {
    State.Coordination.noteStoreCall(answered);
  };
  ConfigurationFeed.OnStoreCall = noteStoreCall;
  EndpointFeed.OnStoreCall = noteStoreCall;
  State.OnDutyTaken = [this] {
    ConfigurationFeed.resume();
    EndpointFeed.resume();
  };
  State.OnSmallFleet = [this] { EndpointFeed.resume(); };
  State.ReadProgress = [this] {
    return StoreReadProgress{
        NewestEra, ConfigurationFeed.next(), ConfigurationFeed.completeUntil(),
        EndpointFeed.completeUntil(),
        EndpointFeed.isComplete() ? EndpointFeed.next() : 0};
  };
  State.OnHeartbeat = [this](const auto &heartbeat, auto reportedAt) {
    onHeartbeat(heartbeat, reportedAt);
  };
  State.OnConfigurationState = [this](const auto &address, const auto &owner,
                                      const auto &state) {
    noteConfigurationState(address, owner, state);
  };
  State.OnDutyRecord = [this] { noteDutyRecord(); };
  State.Coordination.OnRelayedRecords = [this](const auto &records) {
    applyRelayed(records);
  };
  *State.Clients.Engines.Notices = [this](const auto &endpoint,
                                          const auto &notice) {
    State.applyNotice(endpoint, notice);
  };
  State.OnStoreEra = [this](const auto &era) { noteStoreEra(era); };
  *State.Clients.PlatformStore.Eras = State.OnStoreEra;
  State.FleetView.OnConfiguration = [this] {
    applyLimits();
    State.Coordination.onConfiguration();
    checkConfiguration();
  };
  State.FleetView.OnConfigurationRejected = [this] {
    State.MetricsRegistry.add("hickory_gateway_configurations_rejected_total");
    checkConfiguration();
  };
  State.FleetView.OnEvacuations = [this] {
    watchEvacuations();
    State.Coordination.onEvacuations();
  };
  State.FleetView.OnEndpoint = [this](const std::string &id) {
    if (!State.FleetView.endpoints().find(id))
      State.HealthTracker.remove(id, Utils::BootClock::now());
    State.Coordination.onEndpoint(id);
  };
  CallerPolicy->OnRequest = [this](const HttpIo::ServerConnectionRef &caller,
                                   Http::Request request) {
    onCallerRequest(caller, std::move(request));
  };
  ReadinessPolicy->OnRequest = [this](const auto &caller,
                                      const Http::Request &) {
    onReadinessRequest(caller);
  };
  MetricsPolicy->OnRequest = [this](const auto &caller, const Http::Request &) {
    onMetricsRequest(caller);
  };
}

Utils::Status Process::listen() {
  std::error_code ec;
  auto open = [&](HttpIo::Listener &listener, const std::string &address) {
    auto endpoint = HttpIo::parseEndpoint(address, ec);
    if (!ec)
      listener.start(endpoint, ec);
    if (ec)
      return Utils::Status(Utils::failure(Utils::Errc::Unavailable,
                                          "cannot listen at \"" + address +
                                              "\": " + ec.message()));
    return Utils::success();
  };
  if (auto status = open(CallerListener, State.Settings.CallerAddress); !status)
    return status;
  if (State.Settings.MetricsPort > 0)
    if (auto status = open(MetricsListener,
                           State.Settings.IpAddress + ":" +
                               std::to_string(State.Settings.MetricsPort));
        !status)
      return status;
  return open(ReadinessListener, State.Settings.ReadinessAddress);
}

namespace {

/// Bounds below MinAgeBound are kept by more reads of the store.
void warnOfShortBounds(const GatewaySettings &settings) {
  if (std::min(settings.EndpointDrain, settings.ConfigurationApply) >=
      MinAgeBound)
    return;
  Utils::Event("bounds_need_reads")
      .with("drain_bound_ms", settings.EndpointDrain.count())
      .with("configuration_bound_ms", settings.ConfigurationApply.count())
      .with("least_ms", MinAgeBound.count())
      .warning();
}

} // namespace

Utils::Status Process::start() {
  if (auto status = listen(); !status)
    return status;
  warnOfShortBounds(State.Settings);
  Utils::Event("started")
      .with("vm", State.Settings.VmName)
      .with("domain", State.Settings.FailureDomain)
      .with("address", State.Settings.CallerAddress)
      .info();
  if (auto status = State.Coordination.start(); !status)
    return status;
  awaitSignals();
  Utils::TimePoint now = Utils::BootClock::now();
  ConfigurationFeed.start(now);
  std::uniform_int_distribution<int64_t> spread(0,
                                                StandaloneReadJitter.count());
  EndpointFeed.start(now + StandaloneReadDelay +
                     milliseconds(spread(State.Random)));
  runHousekeeping();
  return Utils::success();
}

void Process::applyLimits() {
  const Fleet::ClientLimits &limits = State.FleetView.configuration()->Limits;
  CallerPolicy->Limits = {limits.HeaderBytes, limits.BodyBytes};
  CallerPolicy->HeaderTimeout = limits.HeaderTimeout;
  CallerPolicy->IdleTimeout = limits.IdleTimeout;
}

void Process::watchEvacuations() {
  State.FleetView.logEvacuationsInForce(Utils::BootClock::now());
  EvacuationTimer.cancel();
  auto next = State.FleetView.evacuations().nextInForceAt();
  if (!next)
    return;
  EvacuationTimer.callAt(*next, [this] { watchEvacuations(); });
}

bool Process::isReady() const {
  return !ShuttingDown && State.FleetView.configuration() != nullptr &&
         State.NewestConfiguration.isConfirmed() && EndpointFeed.hasSnapshot();
}

void Process::onReadinessRequest(const HttpIo::ServerConnectionRef &caller) {
  constexpr unsigned ok = 200;
  constexpr unsigned unavailable = 503;
  caller->respond({isReady() ? ok : unavailable, "", {}}, "");
}

void Process::onMetricsRequest(const HttpIo::ServerConnectionRef &caller) {
  Utils::TimePoint now = Utils::BootClock::now();
  Metrics::Registry &registry = State.MetricsRegistry;
  registry.set("hickory_gateway_open_connections",
               double(CallerListener.connectionCount()));
  registry.set("hickory_gateway_members", State.Coordination.members());
  registry.set("hickory_gateway_quarantines",
               double(State.Coordination.member().quarantineCount(
                   Utils::BootClock::now())));
  registry.set("hickory_gateway_cold_endpoints",
               double(State.Coordination.member().coldCount(now)));
  registry.set("hickory_gateway_holds_duty", State.Coordination.isHolder());
  const auto &configuration = State.FleetView.configuration();
  registry.set("hickory_gateway_configuration_version",
               configuration ? double(configuration->Version) : 0);
  registry.set("hickory_gateway_configuration_entries_unreadable",
               configuration ? double(configuration->Unreadable.size()) : 0);
  registry.set("hickory_gateway_configuration_behind",
               State.FleetView.isBehind());
  registry.set(
      "hickory_gateway_configuration_age_seconds",
      std::chrono::duration<double>(now - ConfigurationFeed.completeUntil())
          .count());
  registry.set("hickory_gateway_endpoints_age_seconds",
               std::chrono::duration<double>(now - EndpointFeed.completeUntil())
                   .count());
  if (NewestEra.isKnown())
    registry.set("hickory_gateway_store_era", double(*NewestEra.Number));
  registry.set("hickory_gateway_endpoints",
               double(State.FleetView.endpoints().all().size()));
  registry.set("hickory_gateway_evacuated_domains",
               double(State.FleetView.evacuations().all().size()));
  Http::ResponseHead head{200, "", {}};
  head.Headers.add("Content-Type", "text/plain; version=0.0.4");
  caller->respond(head, registry.text());
}

void Process::onCallerRequest(const HttpIo::ServerConnectionRef &caller,
                              Http::Request request) {
  State.KeysReadAt = ConfigurationFeed.completeUntil();
  State.ConfigurationTrustedUntil =
      State.KeysReadAt + State.Settings.ConfigurationApply;
  if (auto since = State.FleetView.behindSince())
    State.KeysReadAt = std::min(State.KeysReadAt, *since);
  State.KeysTrustedUntil =
      State.KeysReadAt + State.Settings.KeyRevocation - KeyExpiryMargin;
  std::make_shared<Call>(State, caller, std::move(request))->start();
}

void Process::runHousekeeping() {
  State.Connections.closeExpired();
  HousekeepingTimer.callAfter(HousekeepingInterval,
                              [this] { runHousekeeping(); });
}

void Process::awaitSignals() {
  Signals.async_wait([this](const std::error_code &ec, int signal) {
    if (ec)
      return;
    Utils::Event("stop_signal").with("signal", signal).info();
    shutDown();
  });
}

void Process::shutDown() {
  if (ShuttingDown)
    return;
  ShuttingDown = true;
  CallerPolicy->Draining = true;
  State.Coordination.leave();
  Utils::TimePoint now = Utils::BootClock::now();
  ShutdownDeadline = now + State.Settings.StopGrace - ShutdownMargin;
  State.EndCallsAt = ShutdownDeadline - FinalAnswerTime;
  State.RefuseCallsFrom = std::min(now + BalancerDrainTime, State.EndCallsAt);
  continueShutdown();
}

void Process::continueShutdown() {
  Utils::TimePoint now = Utils::BootClock::now();
  if (now >= State.RefuseCallsFrom) {
    // New callers would have too little time left for their answers.
    CallerListener.stopAccepting();
    CallerListener.closeIdle();
    State.PendingDispatch.refuseAll();
  }
  if (now >= State.EndCallsAt)
    State.endActiveCalls();
  bool done =
      now >= State.RefuseCallsFrom && CallerListener.connectionCount() == 0;
  if (done || now >= ShutdownDeadline) {
    Utils::Event("stopped")
        .with("open_connections", CallerListener.connectionCount())
        .info();
    return Loop.stop();
  }
  constexpr milliseconds step{50};
  ShutdownTimer.callAfter(step, [this] { continueShutdown(); });
}

} // namespace Gateway
