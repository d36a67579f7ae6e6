#include "gateway/fleetagent.h"

#include "gateway/gatewayconstants.h"
#include "utils/utils.h"

#include <algorithm>
#include <random>

namespace Gateway {

namespace {

/// Delay before a report on queued calls, which batches further calls.
constexpr milliseconds UrgentReportDelay{2};
/// Minimum time between two reports.
constexpr milliseconds MinReportSpacing{10};
/// Delay per gateway of the fleet before the report that requests the next part
/// of the endpoint table, so that the holder receives at most 1,000 reports per
/// second while all gateways restart.
constexpr milliseconds TablePartIntervalPerMember{1};
/// Largest fleet in which all gateways may read the endpoints from the store at
/// once. Reads share 80 MB/s: 60 readers of 3,000 reports of 1.7 kB take 4 s.
constexpr uint32_t MaxStoreReaders = 60;

/// Claim delay of the weakest VM: time for a stronger one to lose a claim and
/// make another.
constexpr milliseconds MaxClaimDelay{1200};
/// A holder hands the duty over if another VM has more than this multiple of
/// its capacity.
constexpr int HandoverStrengthRatio = 2;
/// Recent reports whose send times are kept. The ages in a heartbeat that
/// answers an older report are not used, as their start is unknown; the rest of
/// it is.
constexpr size_t MaxRememberedReports = 32;
/// Interval at which calls that wait for tokens are checked, and timeout after
/// which a grant request is taken as lost; answers take 2 to 6 ms.
constexpr milliseconds GrantRequestTick{20};
constexpr milliseconds GrantRequestTimeout{40};

uint64_t randomNumber() {
  std::random_device device;
  return uint64_t(device()) << 32 | device();
}

/// Capacity of a VM for the holder's work: the lesser of its shares of one core
/// and of a 1,000 Mbit/s link, scaled to 1..255.
uint8_t computeStrength(const GatewaySettings &settings) {
  constexpr double linkMbps = 1000;
  constexpr double scale = 255;
  double share = std::min({settings.Cores, settings.LinkMbps / linkMbps, 1.0});
  return uint8_t(std::max(1.0, share * scale));
}

/// Delay before a VM claims the duty, so that stronger ones claim it first.
Utils::Milliseconds claimDelay(uint8_t own, uint8_t strongest) {
  if (own >= strongest)
    return Utils::Milliseconds(0);
  return MaxClaimDelay * (strongest - own) / strongest;
}

std::string addressOf(const GatewaySettings &settings) {
  return settings.IpAddress + ":" + std::to_string(settings.FirstInternalPort);
}

} // namespace

FleetAgent::FleetAgent(Context context)
    : Ctx(std::move(context)), Address(addressOf(Ctx.Settings)),
      Self(Ctx.Settings.VmName, Address, randomNumber(),
           Ctx.Settings.FirstStart),
      Duty(Ctx.Loop, Ctx.PlatformStore, Ctx.Settings.VmName, Address,
           Ctx.Settings.DutyHandover, Ctx.Settings.FirstStart),
      Link(Ctx.Loop), ReportTimer(Ctx.Loop), TokenTimer(Ctx.Loop),
      Strength(computeStrength(Ctx.Settings)), Incarnation(randomNumber()),
      OperatorsRecords(Ctx.Settings.LinkMbps), TransferTimer(Ctx.Loop) {
  constexpr uint8_t unknown = 255;
  Duty.setClaimDelay(claimDelay(Strength, unknown) / 2);
  Duty.OnChange = [this] { onDutyChange(); };
  Duty.MakeNotes = [this] { return Holder ? Holder->notes() : ""; };
  Duty.ListPeers = [this] {
    return Holder ? Holder->peers() : std::vector<std::string>();
  };
  Duty.OnRead = [this] { onDutyRecordRead(); };
  Duty.OnStoreCall = [this](bool answered) { noteStoreCall(answered); };
  Link.OnReport = [this](const FleetLink::Report &report) {
    Ctx.OnStoreEra(report.StoreEra);
    Duty.noteToken(report.Token);
    // Reports also reach a gateway that held the duty before it was restarted.
    Ctx.OnConfigurationState(
        report.Address, report.Address,
        {report.ConfigurationVersion, report.ConfigurationConfirmed});
    if (Holder)
      Holder->handleReport(report);
  };
  Link.OnHeartbeat = [this](const FleetLink::Heartbeat &heartbeat) {
    handleHeartbeat(heartbeat);
  };
  Link.OnGrantRequest = [this](const FleetLink::GrantRequest &request) {
    if (Holder)
      Link.send(request.Address,
                FleetLink::encode(Holder->handleGrantRequest(request)));
  };
  Link.OnGrant = [this](const FleetLink::Grant &grant) { handleGrant(grant); };
  Link.OnRecordRequest = [this](const FleetLink::RecordRequest &request) {
    handleRecordRequest(request);
  };
  Link.OnRecordFragment = [this](const FleetLink::RecordFragment &fragment) {
    handleRecordFragment(fragment);
  };
  Link.OnConfigurationQuestion =
      [this](const FleetLink::ConfigurationQuestion &question) {
        answerConfiguration(question);
      };
  Link.OnConfigurationAnswer =
      [this](const FleetLink::ConfigurationAnswer &answer) {
        if (answer.Incarnation != Incarnation)
          return;
        Ctx.OnStoreEra(answer.StoreEra);
        Ctx.OnConfigurationState(
            answer.Address, answer.Address,
            {answer.ConfigurationVersion, answer.ConfigurationConfirmed});
      };
}

Utils::Status FleetAgent::start() {
  std::error_code ec;
  Link.start(Ctx.Settings.IpAddress, Ctx.Settings.FirstInternalPort, ec);
  if (ec)
    return Utils::failure(Utils::Errc::Unavailable, "cannot listen at \"" +
                                                        Address +
                                                        "\": " + ec.message());
  Duty.start();
  reportAfter(reportInterval(Self.members()));
  return Utils::success();
}

void FleetAgent::reportAfter(Utils::Milliseconds delay) {
  NextReportAt = Utils::BootClock::now() + delay;
  ReportTimer.callAt(NextReportAt, [this] { report(); });
}

void FleetAgent::reportSoon() {
  Utils::TimePoint now = Utils::BootClock::now();
  Utils::TimePoint at =
      std::max(now + UrgentReportDelay, LastReportAt + MinReportSpacing);
  reportWithin(std::chrono::ceil<milliseconds>(at - now));
}

void FleetAgent::reportWithin(Utils::Milliseconds delay) {
  if (Utils::BootClock::now() + delay < NextReportAt)
    reportAfter(delay);
}

void FleetAgent::report() {
  Utils::TimePoint now = Utils::BootClock::now();
  LastReportAt = now;
  reportAfter(reportInterval(Self.members()));
  const auto &record = Duty.lease().Newest;
  if (!Holder && (!record || record->Released || record->Address == Address))
    return;
  FleetLink::Report out =
      Self.makeReport(Ctx.HealthTracker, Ctx.FleetView.endpoints(),
                      record ? record->Token : 0, now);
  ReportTimes[out.Sequence] = now;
  if (ReportTimes.size() > MaxRememberedReports)
    ReportTimes.erase(ReportTimes.begin());
  StoreReadProgress read = Ctx.ReadProgress();
  out.StoreEra = read.InEra;
  out.EndpointsNext = read.EndpointsNext;
  ConfigurationState configuration = Ctx.OwnConfiguration();
  out.ConfigurationVersion = configuration.Version;
  out.ConfigurationConfirmed = configuration.Confirmed;
  out.Waiting = Ctx.Waiting();
  out.Leaving = Leaving;
  out.Strength = Strength;
  out.StoreCallFailed = Duty.lease().StoreUnreachable;
  if (LastStampToken == out.Token) {
    out.HeartbeatStampMs = LastStampMs;
    out.HeartbeatAgeMs = uint32_t(Utils::msBetween(LastStampAt, now));
  }
  if (Holder) {
    Holder->handleReport(out);
    return handOverToStronger();
  }
  Link.send(record->Address, FleetLink::encode(out));
}

void FleetAgent::send(const std::string &address,
                      const FleetLink::Heartbeat &heartbeat) {
  FleetLink::Heartbeat out = heartbeat;
  out.Address = Address;
  if (out.ConfigurationAddress.empty())
    out.ConfigurationAddress = Address;
  out.ConfigurationConfirmed = Ctx.OwnConfiguration().Confirmed;
  out.Released = Duty.lease().Newest && Duty.lease().Newest->Released;
  out.Former = Duty.formerHolders();
  out.StoreCallFailed = Duty.lease().StoreUnreachable;
  out.RecordEnd = Duty.lease().End;
  if (Duty.lease().Newest)
    out.RecordEra = Duty.lease().Newest->InEra;
  out.RecordAgeMs = uint32_t(std::max<int64_t>(
      0, Utils::msBetween(Duty.lease().RenewedBy, Utils::BootClock::now())));
  if (address != Address)
    return Link.send(address, FleetLink::encode(out));
  if (auto status = FleetLink::decodeEntries(out); !status)
    Utils::Event("datagram_unreadable")
        .with("error", status.error().What)
        .error();
  handleHeartbeat(out);
}

void FleetAgent::handleHeartbeat(const FleetLink::Heartbeat &heartbeat) {
  Ctx.OnStoreEra(heartbeat.StoreEra);
  Utils::TimePoint now = Utils::BootClock::now();
  if (heartbeat.Token >= Self.token())
    LastHolderAddress = heartbeat.Address;
  Duty.noteHeartbeat({heartbeat.Holder,
                      heartbeat.Address,
                      heartbeat.Token,
                      heartbeat.Released,
                      heartbeat.Members,
                      heartbeat.Former,
                      {},
                      heartbeat.RecordEra},
                     heartbeat.RecordEnd, milliseconds(heartbeat.RecordAgeMs));
  if (heartbeat.ActsBeyondLease)
    Duty.noteActingPastLease(heartbeat.Token);
  if (heartbeat.StoreCallFailed)
    Duty.probe();
  Duty.setClaimDelay(claimDelay(Strength, heartbeat.MaxStrength));
  if (!Self.apply(heartbeat, Ctx.FleetView.endpoints(), now))
    return;
  std::optional<Utils::TimePoint> reportedAt;
  if (auto it = ReportTimes.find(heartbeat.Sequence); it != ReportTimes.end())
    reportedAt = it->second;
  recordStamp(heartbeat);
  if (heartbeat.Address != Address)
    Ctx.OnConfigurationState(
        heartbeat.Address, heartbeat.ConfigurationAddress,
        {heartbeat.ConfigurationVersion, heartbeat.ConfigurationConfirmed});
  Ctx.OnDecisions(Self.takeDecisions());
  Duty.setMembers(heartbeat.Members);
  Ctx.OnHeartbeat(heartbeat, reportedAt);
  if (!Self.hasCompleteTable())
    reportWithin(std::max(MinReportSpacing,
                          TablePartIntervalPerMember * Self.members()));
}

void FleetAgent::noteEndpointLimit(const std::string &endpoint,
                                   std::optional<double> rate) {
  if (!Self.noteEndpointLimit(endpoint, rate, Utils::BootClock::now()))
    return;
  Utils::Event("endpoint_limited")
      .with("endpoint", endpoint)
      .with("rate", rate.value_or(0))
      .info();
  if (Holder)
    Holder->noteEndpointLimit(endpoint, rate.value_or(0));
  reportSoon();
}

std::optional<Quota::Decision>
FleetAgent::requestTokens(const std::string &limit, uint64_t call,
                          double tokens, const Quota::QueueTicket &ticket) {
  auto decision =
      Self.acquireTokens(limit, call, tokens, Utils::BootClock::now(), ticket);
  if (!decision)
    sendGrantRequestSoon();
  return decision;
}

/// Sends a grant request unless one is in flight; its answer then triggers one
/// request for all calls that came meanwhile.
void FleetAgent::sendGrantRequestSoon() {
  if (InFlightRequest == 0)
    sendGrantRequest();
  watchGrantRequests();
}

void FleetAgent::sendGrantRequest() {
  const auto &record = Duty.lease().Newest;
  if (!record || record->Released)
    return;
  Utils::TimePoint now = Utils::BootClock::now();
  FleetLink::GrantRequest out = Self.makeGrantRequest(record->Token, now);
  if (Holder)
    return handleGrant(Holder->handleGrantRequest(out));
  InFlightRequest = out.Sequence;
  RequestSentAt = now;
  Link.send(record->Address, FleetLink::encode(out));
}

void FleetAgent::handleGrant(const FleetLink::Grant &grant) {
  auto decisions = Self.apply(grant, Utils::BootClock::now());
  if (grant.Sequence >= InFlightRequest)
    InFlightRequest = 0;
  Ctx.OnDecisions(decisions);
  // Requests that the holder has left open, as it does not know their limit
  // yet, are repeated by the timer.
  if (InFlightRequest == 0 && Self.hasUnrequestedAcquires())
    sendGrantRequest();
}

/// Periodically resends a grant request whose answer is late, and decides calls
/// that have waited too long without the holder.
void FleetAgent::watchGrantRequests() {
  if (std::exchange(WatchingGrantRequests, true))
    return;
  TokenTimer.callAfter(GrantRequestTick, [this] {
    WatchingGrantRequests = false;
    Utils::TimePoint now = Utils::BootClock::now();
    Ctx.OnDecisions(Self.expireAcquires(now));
    if (!Self.hasPendingAcquires()) {
      InFlightRequest = 0;
      return;
    }
    if (InFlightRequest == 0 || now >= RequestSentAt + GrantRequestTimeout)
      sendGrantRequest();
    if (Self.hasPendingAcquires())
      watchGrantRequests();
  });
}

void FleetAgent::recordStamp(const FleetLink::Heartbeat &heartbeat) {
  if (heartbeat.Token == LastStampToken && heartbeat.StampMs <= LastStampMs)
    return;
  LastStampToken = heartbeat.Token;
  LastStampMs = heartbeat.StampMs;
  LastStampAt = Utils::BootClock::now();
}

void FleetAgent::noteStoreCall(bool answered) {
  bool wasUnreachable = Duty.lease().StoreUnreachable;
  Duty.noteStoreCall(answered);
  if (wasUnreachable != Duty.lease().StoreUnreachable)
    reportSoon();
}

void FleetAgent::onDutyRecordRead() {
  const auto &record = Duty.lease().Newest;
  if (record && record->Members > 0)
    Self.setRecordedMembers(record->Members, Utils::BootClock::now());
  if (!std::exchange(DutyRecordRead, true) && record && record->Members > 0 &&
      record->Members <= MaxStoreReaders)
    Ctx.OnSmallFleet();
  Ctx.OnDutyRecord();
  if (!Self.hasLiveHolder(Utils::BootClock::now()))
    reportSoon();
}

/// Hands the duty over if another VM is much stronger than this one.
void FleetAgent::handOverToStronger() {
  if (Holder && Holder->highestStrength() > Strength * HandoverStrengthRatio)
    Duty.handOver();
}

void FleetAgent::onDutyChange() {
  if (Duty.lease().HeldToken == 0) {
    if (Holder && Duty.lease().Newest && Duty.lease().Newest->Released)
      Holder->broadcast();
    return retireHolder();
  }
  FleetHolder::Context context{
      Ctx.Loop,
      Ctx.Settings,
      Ctx.FleetView,
      Ctx.Engines,
      Ctx.HealthTracker,
      [this] { return Duty.holds(); },
      [this](bool storeUnreachableForAll) {
        return Duty.mayOrder(storeUnreachableForAll);
      },
      [this] { Duty.noteFenced(); },
      Ctx.ReadProgress,
      [this](const auto &id, int64_t startedUnixMs) {
        Ctx.FleetView.noteLeaving(id, startedUnixMs);
      },
      Duty.lease().Members,
      Duty.lease().Newest ? Duty.lease().Newest->Notes : "",
      [this](const auto &address, const auto &heartbeat) {
        send(address, heartbeat);
      }};
  Holder = std::make_unique<FleetHolder>(
      std::move(context), Duty.lease().HeldToken,
      Self.takeoverState(Ctx.FleetView.endpoints(), Utils::BootClock::now()));
  Ctx.OnDutyTaken();
  if (!LastHolderAddress.empty() && LastHolderAddress != Address)
    Holder->announce(LastHolderAddress);
}

/// Ends the holder. Its own functions may be on the call stack, as it learns of
/// a higher fencing token from an engine's answer, so it is destroyed later.
void FleetAgent::retireHolder() {
  if (!Holder)
    return;
  Holder->stop();
  std::shared_ptr<FleetHolder> retired = std::move(Holder);
  asio::post(Ctx.Loop, [retired] {});
}

void FleetAgent::recordCrash(const Quarantine::Crash &crash) {
  Self.recordCrash(crash, Utils::BootClock::now());
  reportSoon();
}

/// Takes in until when the endpoint is cold, by its newest report.
void FleetAgent::noteColdTime(const Fleet::Endpoint &endpoint) {
  const std::string &id = endpoint.Report.Id;
  Utils::TimePoint now = Utils::BootClock::now();
  Quota::Limit limit =
      coldLimitOf(endpoint, Ctx.FleetView.configuration().get(), Ctx.Settings);
  if (!Self.noteCold(id, limit, endpoint.ColdUntil, now) ||
      !Self.isCold(id, now))
    return;
  Utils::Event("endpoint_cold")
      .with("endpoint", id)
      .with("rate", limit.Rate)
      .with("ms", Utils::msBetween(now, endpoint.ColdUntil))
      .info();
}

void FleetAgent::onEndpoint(const std::string &id) {
  if (const Fleet::Endpoint *it = Ctx.FleetView.endpoints().find(id))
    noteColdTime(*it);
  if (Holder)
    Holder->onEndpoint(id);
}

void FleetAgent::onAllEndpointsRead(const StoreEra::Position &next) {
  if (Holder)
    Holder->onAllEndpointsRead(next);
}

void FleetAgent::onConfiguration() {
  Self.setLimits(*Ctx.FleetView.configuration(), Utils::BootClock::now());
  for (const auto &[id, endpoint] : Ctx.FleetView.endpoints().all())
    noteColdTime(endpoint);
  if (Holder)
    Holder->onConfiguration();
}

void FleetAgent::onEvacuations() {
  if (Holder)
    Holder->onEvacuations();
}

void FleetAgent::leave() {
  Leaving = true;
  Duty.release();
  report();
}

} // namespace Gateway
