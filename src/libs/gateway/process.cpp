#include "gateway/gateway.h"

#include "gateway/call.h"
#include "gateway/gatewayconstants.h"
#include "utils/utils.h"

#include <csignal>

namespace Gateway {

namespace {

/// Parts of the slack of the fleet's retry budget that all VMs together may
/// have at hand, and get anew in each window; the rest is for calls and repeats
/// that fall into different windows.
constexpr double SlackAtHand = 0.5;
constexpr double SlackAnew = 0.25;
/// Time from the start until a gateway reads all endpoints though it does not
/// know the fleet to be small and no holder tells it anything; and the spread
/// of it, in which 300 gateways read 5 MB each at the store's 80 MB/s.
constexpr milliseconds AloneAfter{4000};
constexpr milliseconds AloneSpread{16'000};
/// VMs that are assumed before the holder has told their number.
constexpr uint32_t UnknownMembers = 100;
/// Part of the allowed ratio that is used, for sends that are counted in a
/// later window than their call.
constexpr double RetryRatioUsed = 0.8;

} // namespace

Shared::Shared(asio::io_context &loop, GatewaySettings settings,
               Outside outside)
    : Loop(loop), Settings(std::move(settings)), Wire(std::move(outside)),
      Connections(loop), Known(Wire.PlatformStore), Waiting(loop),
      Part({loop, Settings, Known, Board, Wire.PlatformStore, Wire.Engines,
            [this] { return Waiting.summary(); }, [this] { TookDuty(); },
            [this] { IsSmall(); }, [this] { return HasRead(); },
            [this](const auto &beat, auto asOf) { Told(beat, asOf); },
            [this](const auto &decisions) { Tokens.decide(decisions); }}),
      Random(std::random_device{}()) {
  Waiting.OnAdded = [this] { Part.reportSoon(); };
}

Balance::RetryBudget::Policy Shared::retryPolicy() const {
  uint32_t members = Part.members();
  double share = Settings.RetrySlack / (members > 0 ? members : UnknownMembers);
  Balance::RetryBudget::Policy policy;
  policy.Ratio = Settings.RetryRatio * RetryRatioUsed;
  policy.MostAtHand = std::max(1.0, share * SlackAtHand);
  policy.Slack = share * SlackAnew;
  policy.Window = Settings.RetryWindow;
  return policy;
}

Balance::RetryBudget &Shared::retryBudget(const std::string &service) {
  auto policy = retryPolicy();
  auto added = RetryBudgets.try_emplace(service, policy);
  added.first->second.setPolicy(policy);
  return added.first->second;
}

void Shared::noteNotice(const std::string &endpoint,
                        const EndpointNotice &notice) {
  const Fleet::Endpoint *known = Known.endpoints().find(endpoint);
  if (notice.Leaving && known)
    Known.noteLeaving(endpoint, known->Report.StartedUnixMs);
  if (!notice.Rest)
    return;
  Board.rest(endpoint, Utils::BootClock::now() + *notice.Rest);
  Utils::Event("endpoint_rests")
      .with("endpoint", endpoint)
      .with("ms", notice.Rest->count())
      .info();
}

Process::Process(asio::io_context &loop, GatewaySettings settings,
                 Outside outside)
    : Loop(loop), State(loop, std::move(settings), std::move(outside)),
      CallerPolicy(std::make_shared<HttpIo::ServerPolicy>()),
      ReadinessPolicy(std::make_shared<HttpIo::ServerPolicy>()),
      MetricsPolicy(std::make_shared<HttpIo::ServerPolicy>()),
      Callers(loop, CallerPolicy), Readiness(loop, ReadinessPolicy),
      MetricsPort(loop, MetricsPolicy),
      Configurations(loop, State.Wire.PlatformStore,
                     {Topic::Operators,
                      [this] {
                        return State.Part.isHolder() ? HolderPatience
                                                     : ConfigurationPatience;
                      },
                      {}},
                     [this](const auto &records, bool) {
                       State.Known.takeOperators(records);
                     }),
      Endpoints(
          loop, State.Wire.PlatformStore,
          {Topic::Endpoints, [] { return milliseconds(0); }, EndpointPause},
          [this](const auto &records, bool whole) {
            State.Known.takeEndpoints(records, whole, Utils::BootClock::now());
            if (whole)
              State.Part.onListed(Endpoints.next());
          }),
      Signals(loop, SIGTERM, SIGINT), HouseTimer(loop), LeaveTimer(loop) {
  auto noteStoreCall = [this](bool answered) {
    State.Part.noteStoreCall(answered);
  };
  Configurations.OnStoreCall = noteStoreCall;
  Endpoints.OnStoreCall = noteStoreCall;
  State.TookDuty = [this] {
    Configurations.resume();
    Endpoints.resume();
  };
  State.IsSmall = [this] { Endpoints.resume(); };
  State.HasRead = [this] {
    return ReadFacts{Configurations.next(), Configurations.completeUntil(),
                     Endpoints.completeUntil(),
                     Endpoints.isComplete() ? Endpoints.next() : 0};
  };
  State.Told = [this](const auto &beat, auto askedAt) {
    onTold(beat, askedAt);
  };
  *State.Wire.Engines.Notices = [this](const auto &endpoint,
                                       const auto &notice) {
    State.noteNotice(endpoint, notice);
  };
  State.Known.OnConfiguration = [this] {
    applyLimits();
    State.Part.onConfiguration();
  };
  State.Known.OnEndpoint = [this](const std::string &id) {
    if (!State.Known.endpoints().find(id))
      State.Board.forget(id);
    State.Part.onEndpoint(id);
  };
  CallerPolicy->OnRequest = [this](const HttpIo::CallerConnectionRef &caller,
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
  if (auto status = open(Callers, State.Settings.CallerAddress); !status)
    return status;
  if (State.Settings.MetricsPort > 0)
    if (auto status =
            open(MetricsPort, State.Settings.IpAddress + ":" +
                                  std::to_string(State.Settings.MetricsPort));
        !status)
      return status;
  return open(Readiness, State.Settings.ReadinessAddress);
}

Utils::Status Process::start() {
  if (auto status = listen(); !status)
    return status;
  Utils::Event("started")
      .with("vm", State.Settings.VmName)
      .with("domain", State.Settings.FailureDomain)
      .with("address", State.Settings.CallerAddress)
      .info();
  if (auto status = State.Part.start(); !status)
    return status;
  awaitSignals();
  Utils::TimePoint now = Utils::BootClock::now();
  Configurations.start(now);
  std::uniform_int_distribution<int64_t> spread(0, AloneSpread.count());
  Endpoints.start(now + AloneAfter + milliseconds(spread(State.Random)));
  keepHouse();
  return Utils::success();
}

void Process::applyLimits() {
  const Fleet::ClientLimits &limits = State.Known.configuration()->Limits;
  CallerPolicy->Limits = {limits.HeaderBytes, limits.BodyBytes};
  CallerPolicy->HeaderTimeout = limits.HeaderTimeout;
  CallerPolicy->IdleTimeout = limits.IdleTimeout;
}

namespace {

Fleet::EndpointReport reportOf(const FleetLink::EndpointEntry &entry) {
  Fleet::EndpointReport out;
  out.Id = entry.Endpoint;
  out.Service = entry.Service;
  out.Address = entry.Address;
  out.FailureDomain = entry.FailureDomain;
  out.State = entry.Draining ? Fleet::EndpointState::Draining
                             : Fleet::EndpointState::Ready;
  out.Slots = entry.Slots;
  out.StartedUnixMs = entry.StartedUnixMs;
  out.Sequence = entry.Sequence;
  for (const FleetLink::ModelEntry &model : entry.Models) {
    Fleet::ResidentModel held{model.Name, 0, {}};
    for (const FleetLink::AdapterEntry &it : model.Adapters)
      held.Adapters.push_back(it.Name);
    if (model.ReadyInMs == 0)
      out.Models.push_back(std::move(held));
  }
  return out;
}

} // namespace

void Process::onTold(const FleetLink::Beat &beat, Utils::TimePoint askedAt) {
  if (!State.Part.isHolder()) {
    takeEntries(beat);
    Configurations.hear(beat.OperatorsNext,
                        askedAt - milliseconds(beat.OperatorsAgeMs), askedAt);
    Utils::TimePoint asOf = askedAt - milliseconds(beat.EndpointsAgeMs);
    if (State.Part.member().knowsAll())
      Endpoints.hearAll(asOf, askedAt);
    else
      Endpoints.awaitRest(asOf, askedAt);
  }
  State.Waiting.retry();
}

void Process::takeEntries(const FleetLink::Beat &beat) {
  Utils::TimePoint now = Utils::BootClock::now();
  for (const FleetLink::EndpointEntry &it : beat.Entries)
    if (it.Gone) {
      State.Known.removeEndpoint(it.Endpoint, now);
    } else {
      State.Known.takeReport(reportOf(it), now);
      if (it.Draining)
        State.Known.noteLeaving(it.Endpoint, it.StartedUnixMs);
    }
}

bool Process::isReady() const {
  return !Leaving && State.Known.configuration() != nullptr &&
         Endpoints.hasRead();
}

void Process::onReadinessRequest(const HttpIo::CallerConnectionRef &caller) {
  constexpr unsigned ok = 200;
  constexpr unsigned unavailable = 503;
  caller->respond({isReady() ? ok : unavailable, "", {}}, "");
}

void Process::onMetricsRequest(const HttpIo::CallerConnectionRef &caller) {
  Utils::TimePoint now = Utils::BootClock::now();
  Metrics::Registry &numbers = State.Numbers;
  numbers.set("hickory_gateway_open_connections",
              double(Callers.connections()));
  numbers.set("hickory_gateway_members", State.Part.members());
  numbers.set("hickory_gateway_holds_duty", State.Part.isHolder());
  numbers.set(
      "hickory_gateway_configuration_age_seconds",
      std::chrono::duration<double>(now - Configurations.completeUntil())
          .count());
  numbers.set(
      "hickory_gateway_endpoints_age_seconds",
      std::chrono::duration<double>(now - Endpoints.completeUntil()).count());
  numbers.set("hickory_gateway_endpoints",
              double(State.Known.endpoints().all().size()));
  Http::ResponseHead head{200, "", {}};
  head.Headers.add("Content-Type", "text/plain; version=0.0.4");
  caller->respond(head, numbers.text());
}

void Process::onCallerRequest(const HttpIo::CallerConnectionRef &caller,
                              Http::Request request) {
  State.KeysReadAt = Configurations.completeUntil();
  State.KeysTrustedUntil =
      State.KeysReadAt + State.Settings.KeyWithdrawal - KeyMargin;
  std::make_shared<Call>(State, caller, std::move(request))->start();
}

void Process::keepHouse() {
  State.Connections.sweep();
  HouseTimer.expires_after(HousekeepingInterval);
  HouseTimer.async_wait([this](const std::error_code &ec) {
    if (!ec)
      keepHouse();
  });
}

void Process::awaitSignals() {
  Signals.async_wait([this](const std::error_code &ec, int signal) {
    if (ec)
      return;
    Utils::Event("stop_signal").with("signal", signal).info();
    leave();
  });
}

void Process::leave() {
  if (Leaving)
    return;
  Leaving = true;
  CallerPolicy->Leaving = true;
  State.Part.leave();
  Utils::TimePoint now = Utils::BootClock::now();
  LeaveDeadline = now + State.Settings.StopGrace - StopMargin;
  CloseIdleAt = now + LeaveBalancer;
  finishLeaving();
}

void Process::finishLeaving() {
  Utils::TimePoint now = Utils::BootClock::now();
  if (now >= CloseIdleAt) {
    // New callers would find too little time left for their answers.
    Callers.stopAccepting();
    Callers.closeIdle();
    State.Waiting.refuseAll();
  }
  bool done = now >= CloseIdleAt && Callers.connections() == 0;
  if (done || now >= LeaveDeadline) {
    Utils::Event("stopped")
        .with("open_connections", Callers.connections())
        .info();
    return Loop.stop();
  }
  constexpr milliseconds step{50};
  LeaveTimer.expires_after(step);
  LeaveTimer.async_wait([this](const std::error_code &ec) {
    if (!ec)
      finishLeaving();
  });
}

} // namespace Gateway
