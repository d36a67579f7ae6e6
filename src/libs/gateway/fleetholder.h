#ifndef GATEWAY_FLEETHOLDER_H
#define GATEWAY_FLEETHOLDER_H

#include "fleetlink/fleetlink.h"
#include "gateway/fleetmember.h"
#include "gateway/gatewaysettings.h"
#include "gateway/limitsbook.h"
#include "gateway/orderrunner.h"
#include "gateway/tablebook.h"
#include "gateway/view.h"
#include "residency/residency.h"

#include <deque>
#include <map>
#include <memory>

namespace Gateway {

/// How far the holder has read the store.
struct ReadFacts {
  uint64_t OperatorsNext = 0;
  Utils::TimePoint OperatorsAsOf{};
  Utils::TimePoint EndpointsAsOf{};
  /// Offset up to which all of the endpoints' topic was read; 0 if it was not.
  uint64_t EndpointsNext = 0;
};

/// Pause before so many gateways are told of a change, in which more may come:
/// so long that telling leaves the holder most of its time.
Utils::Milliseconds tellPause(uint32_t gateways);

/// What the holder of the fleet's duty does: adds up what the gateways report,
/// keeps the teams' buckets, decides which models and adapters the engines
/// hold, and tells the gateways. Lives as long as this VM holds the duty.
class FleetHolder {
public:
  struct Context {
    asio::io_context &Loop;
    const GatewaySettings &Settings;
    const View &Known;
    const EngineClient &Engines;
    const Balance::EndpointBoard &Board;
    /// Whether the lease lasts.
    std::function<bool()> Leased;
    /// Whether orders may be given; the store may be away for all.
    std::function<bool(bool storeIsAwayForAll)> MayOrder;
    std::function<void()> Fenced;
    std::function<ReadFacts()> HasRead;
    /// A gateway was told by the endpoint that was started then that it leaves.
    std::function<void(const std::string &id, int64_t startedUnixMs)>
        NoteLeaving;
    /// Gateways of the fleet by the newest count of earlier holders.
    uint32_t MembersBefore = 0;
    /// What the holder before has noted.
    std::string NotesBefore;
    std::function<void(const std::string &address,
                       const FleetLink::Heartbeat &)>
        Send;
  };

  FleetHolder(Context context, int64_t token, const TakeoverState &inherited);
  ~FleetHolder();
  FleetHolder(const FleetHolder &) = delete;
  FleetHolder &operator=(const FleetHolder &) = delete;

  /// Takes a gateway's report and answers it.
  void take(const FleetLink::Report &report);
  FleetLink::Grant take(const FleetLink::GrantRequest &ask);
  /// The list of endpoints has changed.
  void onEndpoint(const std::string &id);
  /// All endpoints have been read from the store, up to that offset.
  void onListed(uint64_t next);
  void onConfiguration();
  /// What successors need to know, for the duty's record.
  std::string notes();
  /// Greatest strength among the gateways.
  uint8_t strongest() const;
  /// Tells all gateways now.
  void tellAll();
  /// Tells the gateway at the address that this VM holds the duty.
  void announce(const std::string &address);

private:
  struct Member {
    FleetLink::Report Newest;
    Utils::TimePoint HeardAt{};
    /// When the newest report was made, at the earliest.
    Utils::TimePoint SaidAt{};
  };

  // Gateways.
  void noteUse(const FleetLink::ModelCalls &use, Utils::TimePoint now);
  void answer(const Member &member);
  void tellWaiting();
  void tellAllSoon();
  Utils::Milliseconds tellAllPause() const;
  static bool isWaiting(const Member &member, Utils::TimePoint now);
  FleetLink::Heartbeat makeBeat(const Member &member);
  FleetLink::EndpointEntry entryOf(const std::string &id) const;
  std::string sealedEntryOf(const std::string &id, uint64_t revision);
  const std::vector<FleetLink::EndpointCalls> &fleetLoads();
  bool mayAct() const;
  bool storeIsAway() const;
  uint32_t liveMembers() const;

  // Engines.
  void adoptEndpoint(const Fleet::Endpoint &endpoint);
  void reconcile(Residency::Place &place,
                 const std::vector<Fleet::ResidentModel> &models);
  void onTaken(const std::string &id, const Residency::Order &order);
  void onBusy(const std::string &id);
  void onReported(const std::string &id, const EngineReport &report);
  void onLost(const std::string &id);
  void onIdle(const std::string &id);
  bool fits(const std::string &id, const Residency::Order &order) const;
  const Fleet::Engine *engineOf(const std::string &service) const;
  std::vector<Residency::Need> needs() const;
  void limitStoreLoads();
  void watchStoreLoads();
  void planSoon();
  void planAfter(Utils::Milliseconds pause);
  void planNow();
  void begin(Residency::Task task);
  /// The entry of an endpoint may have changed; `anew`: some gateway does not
  /// know it as it is.
  void changed(const std::string &id, bool anew = false);
  std::shared_ptr<OrderRunner> runner(const std::string &id);
  Utils::Milliseconds reportTurn();
  std::shared_ptr<OrderRunner::Context> makeRunnerContext();

  Context It;
  int64_t Token;
  Utils::TimePoint StartedAt;
  std::map<std::string, Member> Members;
  Residency::Demand Demand;
  Residency::Places Places;
  std::map<std::string, std::shared_ptr<OrderRunner>> Runners;
  std::shared_ptr<OrderRunner::Context> RunnerContext;
  Utils::TimePoint NextReportAt{};
  LimitsBook Limits;
  TableBook Book;
  /// Entries of that revision as they are sent, by endpoint.
  struct SealedEntry {
    uint64_t Revision = 0;
    std::string Bytes;
  };
  std::map<std::string, SealedEntry> Sealed;

  Residency::StorePace StoreLoads;
  std::vector<FleetLink::EndpointCalls> Loads;
  Utils::TimePoint LoadsAt{};
  HttpIo::Timer PlanTimer;
  /// When the next plan is due; max() if none is.
  Utils::TimePoint PlanAt = Utils::TimePoint::max();
  /// No plan is made before then.
  Utils::TimePoint NoPlanBefore{};
  HttpIo::Timer TellTimer;
  bool TellDue = false;
  HttpIo::Timer TellAllTimer;
  bool TellAllDue = false;
};

} // namespace Gateway

#endif // GATEWAY_FLEETHOLDER_H
