#ifndef GATEWAY_FLEETAGENT_H
#define GATEWAY_FLEETAGENT_H

#include "balance/balance.h"
#include "gateway/configurationcheck.h"
#include "gateway/dutykeeper.h"
#include "gateway/fleetholder.h"
#include "gateway/fleetmember.h"
#include "gateway/memberlink.h"
#include "gateway/recordrelay.h"

namespace Gateway {

/// Takes part in the fleet for this gateway: reports to the holder of the
/// fleet's duty, requests tokens from it, and runs the holder itself while this
/// VM has the lease.
class FleetAgent {
public:
  struct Context {
    asio::io_context &Loop;
    const GatewaySettings &Settings;
    View &FleetView;
    const Balance::HealthTracker &HealthTracker;
    const Store &PlatformStore;
    const EngineClient &Engines;
    /// Calls that wait at this gateway.
    std::function<std::vector<FleetLink::WaitingCalls>()> Waiting;
    /// This VM is the holder now.
    std::function<void()> OnDutyTaken;
    /// The fleet is small enough for each gateway to read the store by itself.
    std::function<void()> OnSmallFleet;
    std::function<StoreReadProgress()> ReadProgress;
    /// Another gateway has named this era of the store.
    std::function<void(const StoreEra::Era &)> OnStoreEra;
    /// A heartbeat answered the report sent at `reportedAt`, from which the
    /// ages in it count; nothing if that report is no longer remembered.
    std::function<void(const FleetLink::Heartbeat &,
                       std::optional<Utils::TimePoint> reportedAt)>
        OnHeartbeat;
    /// What this gateway has in force.
    std::function<ConfigurationState()> OwnConfiguration;
    /// The gateway at `address` has named the state of the one at `owner`.
    std::function<void(const std::string &address, const std::string &owner,
                       const ConfigurationState &)>
        OnConfigurationState;
    /// The record of the duty has been read.
    std::function<void()> OnDutyRecord;
    /// Calls that waited for tokens were admitted or refused.
    std::function<void(const std::vector<Quota::Decision> &)> OnDecisions;
  };

  explicit FleetAgent(Context context);

  Utils::Status start();
  /// Sends a report after a short delay that batches further changes.
  void reportSoon();
  /// An answer of the endpoint has named a limit of calls per second, or none.
  void noteEndpointLimit(const std::string &endpoint,
                         std::optional<double> rate);
  /// Requests tokens of a limit for a call. Returns the decision, or nothing if
  /// the call must wait for the answer to a grant request; see
  /// Context::OnDecisions.
  std::optional<Quota::Decision>
  requestTokens(const std::string &limit, uint64_t call, double tokens,
                const Quota::QueueTicket &ticket = {});
  /// An endpoint has crashed under calls of this gateway.
  void recordCrash(const Quarantine::Crash &crash);
  void onEndpoint(const std::string &id);
  /// All endpoints' records before `next` have been read from the store.
  void onAllEndpointsRead(const StoreEra::Position &next);
  void onConfiguration();
  /// An evacuation was requested or withdrawn.
  void onEvacuations();
  /// A call to the store was answered or has failed.
  void noteStoreCall(bool answered);
  /// Operators' records were read or relayed; see RecordSource::apply().
  void noteOperatorsRecords(const std::vector<TopicRecord> &records,
                            bool isSnapshot);
  /// Requests the operators' records from a gateway, the holder if `address` is
  /// empty.
  void relayRecords(const std::string &address);
  /// Ends a transfer of the operators' records.
  void endRelay() { OperatorsTransfer.cancel(); }
  /// Asks the gateway at the address for its version of the configuration.
  void askConfiguration(const std::string &address);
  /// Newest record of the fleet's duty, if any is known.
  const std::optional<Duty::Record> &dutyRecord() const {
    return Duty.lease().Newest;
  }
  const std::string &address() const { return Address; }
  /// Gives up the duty and reports that this gateway leaves the fleet.
  void leave();

  FleetMember &member() { return Self; }
  /// The store has come back in this era.
  void noteStoreEra(const StoreEra::Era &era) { Duty.noteStoreEra(era); }
  /// Offset up to which the topic of the duty is known.
  uint64_t dutyEnd() const { return Duty.lease().End; }
  bool isHolder() const { return Holder != nullptr; }
  /// Number of gateways by the holder's latest heartbeat; 0 before the first.
  uint32_t members() const { return Self.members(); }

  /// Called when another gateway has relayed the operators' records.
  std::function<void(const RelayedRecords &)> OnRelayedRecords;

private:
  void report();
  void reportWithin(Utils::Milliseconds delay);
  void sendGrantRequest();
  void sendGrantRequestSoon();
  void watchGrantRequests();
  void handleGrant(const FleetLink::Grant &grant);
  void onDutyRecordRead();
  void handleRecordRequest(const FleetLink::RecordRequest &request);
  void handleRecordFragment(const FleetLink::RecordFragment &fragment);
  void sendRecordRequest();
  void answerConfiguration(const FleetLink::ConfigurationQuestion &question);
  void reportAfter(Utils::Milliseconds delay);
  void send(const std::string &address, const FleetLink::Heartbeat &heartbeat);
  void handleHeartbeat(const FleetLink::Heartbeat &heartbeat);
  void recordStamp(const FleetLink::Heartbeat &heartbeat);
  void handOverToStronger();
  void onDutyChange();
  void retireHolder();
  void noteColdTime(const Fleet::Endpoint &endpoint);

  Context Ctx;
  std::string Address;
  FleetMember Self;
  DutyKeeper Duty;
  bool DutyRecordRead = false;
  MemberLink Link;
  HttpIo::OneShotTimer ReportTimer;
  HttpIo::OneShotTimer TokenTimer;
  /// Sequence number of the in-flight grant request; 0 if there is none.
  uint64_t InFlightRequest = 0;
  Utils::TimePoint RequestSentAt{};
  bool WatchingGrantRequests = false;
  uint8_t Strength;
  Utils::TimePoint NextReportAt{};
  Utils::TimePoint LastReportAt{};
  /// When the newest reports were sent, by sequence.
  std::map<uint64_t, Utils::TimePoint> ReportTimes;
  /// Timestamp of the latest heartbeat, its holder's fencing token, and its
  /// arrival time.
  uint64_t LastStampMs = 0;
  int64_t LastStampToken = 0;
  Utils::TimePoint LastStampAt{};
  /// Address of the holder with the highest token in any heartbeat.
  std::string LastHolderAddress;
  bool Leaving = false;
  std::unique_ptr<FleetHolder> Holder;
  uint64_t Incarnation;
  RecordSource OperatorsRecords;
  RecordTransfer OperatorsTransfer;
  /// Gateway that is asked for the records; the holder if empty.
  std::string RelayAddress;
  HttpIo::OneShotTimer TransferTimer;
};

} // namespace Gateway

#endif // GATEWAY_FLEETAGENT_H
