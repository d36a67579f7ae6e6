#ifndef GATEWAY_FLEETPART_H
#define GATEWAY_FLEETPART_H

#include "balance/balance.h"
#include "gateway/dutykeeper.h"
#include "gateway/fleetholder.h"
#include "gateway/fleetmember.h"
#include "gateway/memberlink.h"

namespace Gateway {

/// This gateway's part in the fleet: it reports to the holder of the duty, and
/// is the holder while its lease lasts.
class FleetPart {
public:
  struct Context {
    asio::io_context &Loop;
    const GatewaySettings &Settings;
    View &Known;
    const Balance::EndpointBoard &Board;
    const Store &PlatformStore;
    const EngineClient &Engines;
    /// Calls that wait at this gateway.
    std::function<std::vector<FleetLink::WaitingCalls>()> Waiting;
    /// This VM is the holder now.
    std::function<void()> TookDuty;
    /// The fleet is small enough for each gateway to read the store by itself.
    std::function<void()> IsSmall;
    std::function<ReadFacts()> HasRead;
    /// The holder has told what it has read; ages count from `askedAt`.
    std::function<void(const FleetLink::Heartbeat &, Utils::TimePoint askedAt)>
        Told;
    /// It is decided whether calls that waited for tokens may go on.
    std::function<void(const std::vector<Quota::Decision> &)> Decided;
  };

  explicit FleetPart(Context context);

  Utils::Status start();
  /// Reports now, but for a short pause in which more may come.
  void reportSoon();
  /// As FleetMember::acquireTokens(); asks the holder if need be.
  std::optional<Quota::Decision> wantTokens(const std::string &team,
                                            uint64_t call, double tokens);
  void onEndpoint(const std::string &id);
  /// All endpoints have been read from the store, up to that offset.
  void onListed(uint64_t next);
  void onConfiguration();
  /// A call to the store was answered or has failed.
  void noteStoreCall(bool answered);
  void leave();

  FleetMember &member() { return Self; }
  bool isHolder() const { return Holder != nullptr; }
  /// Gateways that the holder has told of; 0 before.
  uint32_t members() const { return Self.members(); }

private:
  void report();
  void reportWithin(Utils::Milliseconds pause);
  void ask();
  void askSoon();
  void watchWants();
  void takeGrant(const FleetLink::Grant &grant);
  void onDutyRead();
  void reportAfter(Utils::Milliseconds pause);
  Utils::Milliseconds reportInterval() const;
  void send(const std::string &address, const FleetLink::Heartbeat &beat);
  void takeBeat(const FleetLink::Heartbeat &beat);
  void noteStamp(const FleetLink::Heartbeat &beat);
  void considerHandover();
  void onDutyChange();

  Context It;
  std::string Address;
  FleetMember Self;
  DutyKeeper Duty;
  bool DutyWasRead = false;
  MemberLink Link;
  HttpIo::Timer ReportTimer;
  HttpIo::Timer AskTimer;
  /// Number of the newest ask while it is not answered; 0 otherwise.
  uint64_t OpenAsk = 0;
  Utils::TimePoint AskedAt{};
  bool WatchingWants = false;
  uint8_t Strength;
  Utils::TimePoint ReportAt{};
  Utils::TimePoint ReportedAt{};
  /// When the newest reports were sent, by sequence.
  std::map<uint64_t, Utils::TimePoint> Asked;
  /// Stamp of the newest beat, the token of its holder, and when it came.
  uint64_t BeatStampMs = 0;
  int64_t BeatToken = 0;
  Utils::TimePoint BeatAt{};
  /// Where the newest holder was heard of.
  std::string FormerAddress;
  bool Leaving = false;
  std::unique_ptr<FleetHolder> Holder;
};

} // namespace Gateway

#endif // GATEWAY_FLEETPART_H
