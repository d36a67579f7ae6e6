#include "gateway/fleetpart.h"

#include "gateway/gatewayconstants.h"
#include "utils/utils.h"

#include <algorithm>
#include <random>

namespace Gateway {

namespace {

/// Time between two reports of a gateway in a small fleet; what the holder
/// knows of limits and loads is half of it old on average.
constexpr milliseconds ReportInterval{250};
/// Interval for each gateway, so that the holder of a fleet of up to 350 takes
/// at most 500 reports a second.
constexpr milliseconds ReportIntervalPerMember{2};
/// Longest interval: a gateway that heard nothing for HearsayLimit reads the
/// store itself, which several hundred at once overload.
constexpr milliseconds LongestReportInterval{700};
/// Pause before a report on calls that wait, in which more may come.
constexpr milliseconds UrgentPause{2};
/// Shortest time between two reports.
constexpr milliseconds LeastInterval{10};
/// For each gateway, time to the report that asks for the next part of the
/// table, so that the holder takes at most 1,000 reports a second while all
/// begin anew.
constexpr milliseconds PartInterval{1};
/// Gateways that may all read the endpoints from the store at once. Its reads
/// share 80 MB/s; 60 readers of 3,000 reports of 1.7 kB take 4 s.
constexpr uint32_t MostReaders = 60;

/// Time that the weakest VM leaves to others: a lost claim and another one.
constexpr milliseconds MostClaimDelay{1200};
/// A holder hands over to a VM that is so many times stronger.
constexpr int StrongerTimes = 2;
/// Reports that a beat may still answer; older ones say nothing of its age.
constexpr size_t ReportsRemembered = 32;
/// How often calls that wait for tokens are looked at, and time after which an
/// ask is taken as lost; answers take 2 to 6 ms.
constexpr milliseconds WantsTick{20};
constexpr milliseconds AskAgainAfter{40};

uint64_t randomNumber() {
  std::random_device device;
  return uint64_t(device()) << 32 | device();
}

/// How much of the holder's work a VM can bear: the lesser of its parts of a
/// core and of a link of 1,000 Mbit/s, in 255ths.
uint8_t strengthOf(const GatewaySettings &settings) {
  constexpr double linkMbps = 1000;
  constexpr double scale = 255;
  double part = std::min({settings.Cores, settings.LinkMbps / linkMbps, 1.0});
  return uint8_t(std::max(1.0, part * scale));
}

/// Time that a VM leaves stronger ones for a claim of the duty.
Utils::Milliseconds claimDelay(uint8_t own, uint8_t strongest) {
  if (own >= strongest)
    return Utils::Milliseconds(0);
  return MostClaimDelay * (strongest - own) / strongest;
}

std::string addressOf(const GatewaySettings &settings) {
  return settings.IpAddress + ":" + std::to_string(settings.FirstInternalPort);
}

} // namespace

FleetPart::FleetPart(Context context)
    : It(std::move(context)), Address(addressOf(It.Settings)),
      Self(It.Settings.VmName, Address, randomNumber(), It.Settings.FirstStart),
      Duty(It.Loop, It.PlatformStore, It.Settings.VmName, Address,
           It.Settings.DutyHandover),
      Link(It.Loop), ReportTimer(It.Loop), AskTimer(It.Loop),
      Strength(strengthOf(It.Settings)) {
  constexpr uint8_t unknown = 255;
  Duty.setClaimDelay(claimDelay(Strength, unknown) / 2);
  Duty.OnChange = [this] { onDutyChange(); };
  Duty.MakeNotes = [this] { return Holder ? Holder->notes() : ""; };
  Duty.OnRead = [this] { onDutyRead(); };
  Duty.OnStoreCall = [this](bool answered) { noteStoreCall(answered); };
  Link.OnReport = [this](const FleetLink::Report &report) {
    if (Holder)
      Holder->take(report);
  };
  Link.OnHeartbeat = [this](const FleetLink::Heartbeat &beat) {
    takeBeat(beat);
  };
  Link.OnGrantRequest = [this](const FleetLink::GrantRequest &ask) {
    if (Holder)
      Link.send(ask.Address, FleetLink::encode(Holder->take(ask)));
  };
  Link.OnGrant = [this](const FleetLink::Grant &grant) { takeGrant(grant); };
}

Utils::Status FleetPart::start() {
  std::error_code ec;
  Link.start(It.Settings.IpAddress, It.Settings.FirstInternalPort, ec);
  if (ec)
    return Utils::failure(Utils::Errc::Unavailable, "cannot listen at \"" +
                                                        Address +
                                                        "\": " + ec.message());
  Duty.start();
  reportAfter(ReportInterval);
  return Utils::success();
}

Utils::Milliseconds FleetPart::reportInterval() const {
  return std::clamp<Utils::Milliseconds>(ReportIntervalPerMember *
                                             Self.members(),
                                         ReportInterval, LongestReportInterval);
}

void FleetPart::reportAfter(Utils::Milliseconds pause) {
  ReportAt = Utils::BootClock::now() + pause;
  ReportTimer.expires_at(ReportAt);
  ReportTimer.async_wait([this](const std::error_code &ec) {
    if (!ec)
      report();
  });
}

void FleetPart::reportSoon() {
  Utils::TimePoint now = Utils::BootClock::now();
  Utils::TimePoint at = std::max(now + UrgentPause, ReportedAt + LeastInterval);
  reportWithin(std::chrono::ceil<milliseconds>(at - now));
}

void FleetPart::reportWithin(Utils::Milliseconds pause) {
  if (Utils::BootClock::now() + pause < ReportAt)
    reportAfter(pause);
}

void FleetPart::report() {
  Utils::TimePoint now = Utils::BootClock::now();
  ReportedAt = now;
  reportAfter(reportInterval());
  const auto &record = Duty.watch().Newest;
  if (!Holder && (!record || record->Released || record->Address == Address))
    return;
  FleetLink::Report out = Self.makeReport(It.Board, It.Known.endpoints(),
                                          record ? record->Token : 0, now);
  Asked[out.Sequence] = now;
  if (Asked.size() > ReportsRemembered)
    Asked.erase(Asked.begin());
  out.EndpointsNext = It.HasRead().EndpointsNext;
  out.Waiting = It.Waiting();
  out.Leaving = Leaving;
  out.Strength = Strength;
  out.StoreCallFailed = Duty.watch().StoreMissed;
  if (BeatToken == out.Token) {
    out.HeartbeatStampMs = BeatStampMs;
    out.HeartbeatAgeMs = uint32_t(Utils::msBetween(BeatAt, now));
  }
  if (Holder) {
    Holder->take(out);
    return considerHandover();
  }
  Link.send(record->Address, FleetLink::encode(out));
}

void FleetPart::send(const std::string &address,
                     const FleetLink::Heartbeat &beat) {
  FleetLink::Heartbeat out = beat;
  out.Address = Address;
  out.Released = Duty.watch().Newest && Duty.watch().Newest->Released;
  out.Former = Duty.formerHolders();
  out.StoreCallFailed = Duty.watch().StoreMissed;
  out.RecordEnd = Duty.watch().End;
  out.RecordAgeMs = uint32_t(std::max<int64_t>(
      0, Utils::msBetween(Duty.watch().RenewedBy, Utils::BootClock::now())));
  if (address != Address)
    return Link.send(address, FleetLink::encode(out));
  if (auto status = FleetLink::decodeEntries(out); !status)
    Utils::Event("datagram_unreadable")
        .with("error", status.error().What)
        .error();
  takeBeat(out);
}

void FleetPart::takeBeat(const FleetLink::Heartbeat &beat) {
  Utils::TimePoint now = Utils::BootClock::now();
  if (beat.Token >= Self.token())
    FormerAddress = beat.Address;
  Duty.noteHeard({beat.Holder, beat.Address, beat.Token, beat.Released,
                  beat.Members, beat.Former},
                 beat.RecordEnd, milliseconds(beat.RecordAgeMs));
  if (beat.ActsBeyondLease)
    Duty.noteActing(beat.Token);
  if (beat.StoreCallFailed)
    Duty.probe();
  Duty.setClaimDelay(claimDelay(Strength, beat.MaxStrength));
  auto asked = Asked.find(beat.Sequence);
  if (!Self.apply(beat, It.Known.endpoints(), now) || asked == Asked.end())
    return;
  noteStamp(beat);
  It.Decided(Self.takeDecisions());
  Duty.setMembers(beat.Members);
  It.Told(beat, asked->second);
  if (!Self.hasCompleteTable())
    reportWithin(std::max(LeastInterval, PartInterval * Self.members()));
}

std::optional<Quota::Decision>
FleetPart::wantTokens(const std::string &team, uint64_t call, double tokens) {
  auto decision =
      Self.acquireTokens(team, call, tokens, Utils::BootClock::now());
  if (!decision)
    askSoon();
  return decision;
}

/// Asks once the newest ask is answered, so that calls that come meanwhile are
/// asked for together.
void FleetPart::askSoon() {
  if (OpenAsk == 0)
    ask();
  watchWants();
}

void FleetPart::ask() {
  const auto &record = Duty.watch().Newest;
  if (!record || record->Released)
    return;
  Utils::TimePoint now = Utils::BootClock::now();
  FleetLink::GrantRequest out = Self.makeGrantRequest(record->Token, now);
  if (Holder)
    return takeGrant(Holder->take(out));
  OpenAsk = out.Sequence;
  AskedAt = now;
  Link.send(record->Address, FleetLink::encode(out));
}

void FleetPart::takeGrant(const FleetLink::Grant &grant) {
  auto decisions = Self.apply(grant, Utils::BootClock::now());
  if (grant.Sequence >= OpenAsk)
    OpenAsk = 0;
  It.Decided(decisions);
  if (OpenAsk == 0 && Self.hasPendingAcquires())
    ask();
}

/// Asks again where an answer is late, and decides without the holder where it
/// is too late.
void FleetPart::watchWants() {
  if (std::exchange(WatchingWants, true))
    return;
  AskTimer.expires_after(WantsTick);
  AskTimer.async_wait([this](const std::error_code &ec) {
    WatchingWants = false;
    if (ec)
      return;
    Utils::TimePoint now = Utils::BootClock::now();
    It.Decided(Self.expireAcquires(now));
    if (!Self.hasPendingAcquires()) {
      OpenAsk = 0;
      return;
    }
    if (OpenAsk == 0 || now >= AskedAt + AskAgainAfter)
      ask();
    if (Self.hasPendingAcquires())
      watchWants();
  });
}

void FleetPart::noteStamp(const FleetLink::Heartbeat &beat) {
  if (beat.Token == BeatToken && beat.StampMs <= BeatStampMs)
    return;
  BeatToken = beat.Token;
  BeatStampMs = beat.StampMs;
  BeatAt = Utils::BootClock::now();
}

void FleetPart::noteStoreCall(bool answered) {
  bool missed = Duty.watch().StoreMissed;
  Duty.noteStoreCall(answered);
  if (missed != Duty.watch().StoreMissed)
    reportSoon();
}

void FleetPart::onDutyRead() {
  const auto &record = Duty.watch().Newest;
  if (record && record->Members > 0)
    Self.setRecordedMembers(record->Members, Utils::BootClock::now());
  if (!std::exchange(DutyWasRead, true) && record && record->Members > 0 &&
      record->Members <= MostReaders)
    It.IsSmall();
  if (!Self.hasLiveHolder(Utils::BootClock::now()))
    reportSoon();
}

/// Hands the duty over if it is too much for this VM and others are stronger.
void FleetPart::considerHandover() {
  if (Holder && Holder->strongest() > Strength * StrongerTimes)
    Duty.handOver();
}

void FleetPart::onDutyChange() {
  if (Duty.watch().HeldToken == 0) {
    if (Holder && Duty.watch().Newest && Duty.watch().Newest->Released)
      Holder->tellAll();
    Holder.reset();
    return;
  }
  FleetHolder::Context context{
      It.Loop,
      It.Settings,
      It.Known,
      It.Engines,
      It.Board,
      [this] { return Duty.holds(); },
      [this](bool away) { return Duty.mayOrder(away); },
      [this] { Duty.noteFenced(); },
      It.HasRead,
      [this](const auto &id, int64_t startedUnixMs) {
        It.Known.noteLeaving(id, startedUnixMs);
      },
      Duty.watch().Members,
      Duty.watch().Newest ? Duty.watch().Newest->Notes : "",
      [this](const auto &address, const auto &beat) { send(address, beat); }};
  Holder = std::make_unique<FleetHolder>(
      std::move(context), Duty.watch().HeldToken,
      Self.takeoverState(Utils::BootClock::now()));
  It.TookDuty();
  if (!FormerAddress.empty() && FormerAddress != Address)
    Holder->announce(FormerAddress);
}

void FleetPart::onEndpoint(const std::string &id) {
  if (Holder)
    Holder->onEndpoint(id);
}

void FleetPart::onListed(uint64_t next) {
  if (Holder)
    Holder->onListed(next);
}

void FleetPart::onConfiguration() {
  Self.setLimits(*It.Known.configuration(), Utils::BootClock::now());
  if (Holder)
    Holder->onConfiguration();
}

void FleetPart::leave() {
  Leaving = true;
  Duty.release();
  report();
}

} // namespace Gateway
