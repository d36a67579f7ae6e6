#ifndef GATEWAY_FLEETHOLDER_H
#define GATEWAY_FLEETHOLDER_H

#include "fleetlink/fleetlink.h"
#include "gateway/fleetlimiter.h"
#include "gateway/fleetmember.h"
#include "gateway/gatewaysettings.h"
#include "gateway/orderrunner.h"
#include "gateway/tablechangelog.h"
#include "gateway/view.h"
#include "residency/residency.h"

#include <deque>
#include <map>
#include <memory>

namespace Gateway {

/// How far this VM has read the topics of the platform's store.
struct StoreReadProgress {
  /// Era of the offsets.
  StoreEra::Era InEra;
  uint64_t OperatorsNext = 0;
  Utils::TimePoint OperatorsAsOf{};
  Utils::TimePoint EndpointsAsOf{};
  /// Next offset of the endpoints' topic if all records before it were read; 0
  /// otherwise.
  uint64_t EndpointsNext = 0;
};

/// Delay before a heartbeat with a change is sent to so many gateways. It
/// batches changes and bounds the rate of heartbeats, so that sending them does
/// not use up the holder's CPU time.
Utils::Milliseconds broadcastDelay(uint32_t gateways);

/// Interval between the reports of a gateway in a fleet of so many.
Utils::Milliseconds reportInterval(uint32_t gateways);

/// Coordinator of the fleet, run by the VM that holds the fleet's duty (the
/// leader's lease): aggregates the gateways' reports, keeps the teams' token
/// buckets, decides which models and adapters the engines load, and sends the
/// result to the gateways in heartbeats. Exists while this VM holds the duty.
class FleetHolder {
public:
  struct Context {
    asio::io_context &Loop;
    const GatewaySettings &Settings;
    const View &FleetView;
    const EngineClient &Engines;
    const Balance::HealthTracker &HealthTracker;
    /// Whether the lease is still valid.
    std::function<bool()> HoldsLease;
    /// Whether orders may be sent to engines. The argument says whether the
    /// store is unreachable for all gateways.
    std::function<bool(bool storeUnreachableForAll)> MaySendOrders;
    std::function<void()> OnFenced;
    std::function<StoreReadProgress()> ReadProgress;
    /// A gateway reports that the endpoint process started at that time has
    /// announced its shutdown.
    std::function<void(const std::string &id, int64_t startedUnixMs)>
        NoteLeaving;
    /// Number of gateways in the fleet as last counted by an earlier holder.
    uint32_t PreviousMembers = 0;
    /// Notes that the previous holder left in the duty's record.
    std::string PreviousNotes;
    std::function<void(const std::string &address,
                       const FleetLink::Heartbeat &)>
        Send;
  };

  FleetHolder(Context context, int64_t token, const TakeoverState &inherited);
  ~FleetHolder();
  FleetHolder(const FleetHolder &) = delete;
  FleetHolder &operator=(const FleetHolder &) = delete;

  /// Ends its work: no order is sent and no plan is made from now on.
  void stop();
  /// Takes in a gateway's report and answers it with a heartbeat.
  void handleReport(const FleetLink::Report &report);
  /// An answer to this VM has named another limit of the endpoint than before,
  /// in calls per second; 0 if none.
  void noteEndpointLimit(const std::string &endpoint, double rate);
  /// Grants a gateway tokens from the teams' buckets.
  FleetLink::Grant handleGrantRequest(const FleetLink::GrantRequest &request);
  /// The endpoint's record was added, changed or removed.
  void onEndpoint(const std::string &id);
  /// All endpoints' records before offset `next` have been read from the store.
  void onAllEndpointsRead(const StoreEra::Position &next);
  void onConfiguration();
  /// An evacuation was requested or withdrawn.
  void onEvacuations();
  /// Levels of the teams' buckets for the next holder, as written to the duty's
  /// record.
  std::string notes();
  /// Addresses of other live gateways for the duty's record, at most
  /// MaxRecordedPeers.
  std::vector<std::string> peers() const;
  /// Highest capacity for the holder's work among live gateways.
  uint8_t highestStrength() const;
  /// Sends a heartbeat to every live gateway now.
  void broadcast();
  /// Announces to the gateway at the address that this VM holds the duty.
  void announce(const std::string &address);

private:
  struct Member {
    FleetLink::Report LatestReport;
    Utils::TimePoint ReceivedAt{};
    /// Lower bound of the time at which the latest report was sent, from the
    /// holder's own timestamp that the report echoes.
    Utils::TimePoint SentNotBefore{};
  };

  // Gateways.
  void recordUse(const FleetLink::ModelCalls &use, Utils::TimePoint now);
  void mergeEndpointLimit(const EndpointLimit &limit, Utils::TimePoint now);
  void noteColdTime(const Fleet::Endpoint &endpoint);
  void applyEndpointLimit(uint32_t endpoint, Utils::TimePoint now);
  void endColdLimits(Utils::TimePoint now);
  /// Takes in what a gateway has seen of crashes, and decides on quarantines.
  void recordCrashes(const FleetLink::Report &report, Utils::TimePoint now);
  void updateQuarantines(Utils::TimePoint now);
  void sendHeartbeat(const Member &member);
  void notifyWaitingSoon();
  void broadcastSoon();
  Utils::Milliseconds fullBroadcastDelay() const;
  static bool isWaiting(const Member &member, Utils::TimePoint now);
  void addConfigurationVersion(FleetLink::Heartbeat &out) const;
  FleetLink::Heartbeat makeHeartbeat(const Member &member);
  FleetLink::EndpointEntry makeEntry(const std::string &id) const;
  std::string encodedEntry(const std::string &id, uint64_t revision);
  const std::vector<FleetLink::EndpointCalls> &totalLoads();
  bool maySendOrders() const;
  bool isStoreUnreachableForAll() const;
  uint32_t liveMemberCount() const;

  // Engines.
  void updateEndpoint(const Fleet::Endpoint &endpoint);
  void reconcile(Residency::EngineReplica &replica,
                 const std::vector<Fleet::ResidentModel> &models);
  void onOrderAccepted(const std::string &id, const Residency::Order &order);
  void onEngineBusy(const std::string &id);
  void onEngineReport(const std::string &id, const EngineReport &report);
  void onEngineLost(const std::string &id);
  void onEngineIdle(const std::string &id);
  bool hasRoomFor(const std::string &id, const Residency::Order &order) const;
  const Fleet::Engine *findEngine(const std::string &service) const;
  std::vector<Residency::PendingCalls> collectPendingCalls() const;
  void updateStoreLoadLimit();
  void checkOverdueStoreLoads();
  void schedulePlan();
  void schedulePlanAfter(Utils::Milliseconds delay);
  void runPlan();
  void startTask(Residency::Task task);
  /// Updates the change list if the endpoint's entry differs; `resend`: sends
  /// it even if not, as some gateway has a wrong copy.
  void noteEndpointChange(const std::string &id, bool resend = false);
  std::shared_ptr<OrderRunner> runnerFor(const std::string &id);
  Utils::Milliseconds nextReportDelay();
  std::shared_ptr<OrderRunner::Context> makeRunnerContext();

  Context Ctx;
  int64_t Token;
  Utils::TimePoint StartedAt;
  std::map<std::string, Member> Members;
  Residency::Demand Demand;
  Residency::EngineReplicas Replicas;
  std::map<std::string, std::shared_ptr<OrderRunner>> Runners;
  std::shared_ptr<OrderRunner::Context> RunnerContext;
  Utils::TimePoint NextReportAt{};
  FleetLimiter Limits;
  EndpointLimits LimitsOfEndpoints;
  /// See FleetLink::Heartbeat::LimitsRevision.
  uint64_t LimitsRevision;
  Quarantine::CrashLedger Crashes;
  /// Decisions on quarantines without new crashes are rate-limited.
  Utils::TimePoint NextQuarantineUpdateAt{};
  TableChangelog TableChanges;
  /// Encoded entry of an endpoint at one revision, cached for sending.
  struct CachedEntry {
    uint64_t Revision = 0;
    std::string Bytes;
  };
  std::map<std::string, CachedEntry> EntryCache;

  Residency::StoreLoadLimiter StoreLoads;
  std::vector<FleetLink::EndpointCalls> TotalLoads;
  Utils::TimePoint TotalLoadsAt{};
  HttpIo::OneShotTimer PlanTimer;
  /// Time of the scheduled planning run; max() if none is scheduled.
  Utils::TimePoint NextPlanAt = Utils::TimePoint::max();
  /// Planning is rate-limited: no run starts before this time.
  Utils::TimePoint EarliestPlanAt{};
  HttpIo::OneShotTimer NotifyTimer;
  bool NotifyScheduled = false;
  HttpIo::OneShotTimer BroadcastTimer;
  bool BroadcastScheduled = false;
};

} // namespace Gateway

#endif // GATEWAY_FLEETHOLDER_H
