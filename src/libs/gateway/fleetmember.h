#ifndef GATEWAY_FLEETMEMBER_H
#define GATEWAY_FLEETMEMBER_H

#include "balance/balance.h"
#include "fleet/fleet.h"
#include "fleetlink/fleetlink.h"
#include "gateway/crashevidence.h"
#include "gateway/endpointlimits.h"
#include "gateway/fleettable.h"
#include "quota/quota.h"
#include "residency/residency.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace Gateway {

using Utils::TimePoint;

/// State that a gateway has as a member and starts from when it becomes the
/// holder.
struct TakeoverState {
  std::map<std::string, double> Levels;
  KnownTable Table;
  /// Endpoints of which this gateway knows another state than the table has;
  /// the other gateways may not know it.
  std::vector<std::string> DifferingEndpoints;
  std::vector<Quarantine::Entry> Quarantines;
};

/// A gateway's membership in the fleet: what it reports to the holder of the
/// fleet's duty and what the holder has sent it. Does no input or output.
class FleetMember {
public:
  /// `firstStart`: no process of this gateway has admitted calls before.
  FleetMember(std::string name, std::string address, uint64_t incarnation,
              bool firstStart);

  // Limits of teams.

  /// Drops the limiters of teams that the configuration no longer has.
  void setLimits(const Fleet::Configuration &config, TimePoint now);
  /// Sets the number of gateways from the duty's record; used until a holder
  /// sends the current number.
  void setRecordedMembers(uint32_t members, TimePoint now);
  /// Requests tokens of the limit, a team's or an endpoint's, for a call.
  /// Returns nothing if the decision is pending: it is made by the answer to a
  /// grant request, which the caller must send, or by expireAcquires().
  std::optional<Quota::Decision>
  acquireTokens(const std::string &limit, uint64_t call, double tokens,
                TimePoint now, const Quota::QueueTicket &ticket = {});
  /// Drops the pending request of a call.
  void cancelAcquire(const std::string &limit, uint64_t call);
  void refundTokens(const std::string &limit, double tokens);
  /// Whether calls wait for tokens.
  bool hasPendingAcquires() const;
  /// Whether calls wait for tokens that no message has requested yet.
  bool hasUnrequestedAcquires() const;
  /// Decides locally the requests that the holder has not answered in time.
  std::vector<Quota::Decision> expireAcquires(TimePoint now);
  FleetLink::GrantRequest makeGrantRequest(int64_t holderToken, TimePoint now);
  /// Applies a grant; returns the decisions on the calls that waited for it.
  std::vector<Quota::Decision> apply(const FleetLink::Grant &grant,
                                     TimePoint now);

  TakeoverState takeoverState(const Fleet::EndpointTable &endpoints,
                              TimePoint now);

  // Counters of calls.

  void recordCall(const std::string &service, const std::string &model,
                  const std::string &adapter, TimePoint now);
  /// An endpoint has rejected a call because it does not hold the model or
  /// adapter.
  void recordModelMiss(const std::string &endpoint, const std::string &model,
                       const std::string &adapter, TimePoint now);

  // Limits of endpoints.

  /// An answer of the endpoint has named a limit of calls per second, or none.
  /// Returns whether the endpoint's limit has changed.
  bool noteEndpointLimit(const std::string &endpoint,
                         std::optional<double> rate, TimePoint now);
  /// Whether a call needs a token of endpointLimitName() to be sent.
  bool hasLimit(const std::string &endpoint, TimePoint now) const;
  /// The endpoint has this limit until then, while it is cold. Returns whether
  /// it has become cold or warm, or its limit while cold has changed.
  bool noteCold(const std::string &endpoint, const Quota::Limit &limit,
                TimePoint until, TimePoint now);
  bool isCold(const std::string &endpoint, TimePoint now) const;
  size_t coldCount(TimePoint now) const {
    return LimitsOfEndpoints.coldCount(now);
  }
  /// End of the endpoint's limit, if that ends with its cold time.
  std::optional<TimePoint> endOfLimit(const std::string &endpoint,
                                      TimePoint now) const;

  // Prompt parts and requests that crash endpoints.

  void recordCrash(const Quarantine::Crash &crash, TimePoint now);
  /// A call with these parts was answered; the answer began then.
  void recordAnswer(const Quarantine::Parts &parts, TimePoint beganAt);
  /// When the quarantine of a call with these parts ends; nothing if it
  /// is not under one.
  std::optional<TimePoint> quarantinedUntil(const Quarantine::Parts &parts,
                                            TimePoint now) const;
  size_t quarantineCount(TimePoint now) const {
    return Quarantine::countInForce(Evidence.quarantines(), now);
  }
  /// See CrashEvidence.
  bool isSuspected(Quarantine::Part request, TimePoint now) const {
    return Evidence.isSuspected(request, now);
  }

  // Exchange with the holder.

  /// The next report, without the waiting calls.
  /// `holderToken`: token of the holder to which it is sent.
  FleetLink::Report makeReport(const Balance::HealthTracker &healthTracker,
                               const Fleet::EndpointTable &endpoints,
                               int64_t holderToken, TimePoint now);
  /// Applies a heartbeat; false if it is from an earlier holder or out of
  /// order. `endpoints`: those that this gateway has read from the store.
  bool apply(const FleetLink::Heartbeat &heartbeat,
             const Fleet::EndpointTable &endpoints, TimePoint now);
  /// Returns and clears the decisions that the applied heartbeats have made.
  std::vector<Quota::Decision> takeDecisions();

  // State of the fleet.

  /// Whether the latest message of the holder is recent enough to rely on its
  /// table.
  bool hasLiveHolder(TimePoint now) const;
  /// Whether the holder's whole table has been received.
  bool hasCompleteTable() const { return Table.isComplete(); }
  /// Whether the holder's table has the endpoint.
  bool isListed(const std::string &endpoint) const {
    return Table.isListed(endpoint);
  }
  /// See FleetTable::unlisted().
  std::vector<std::string>
  unlistedEndpoints(const Fleet::EndpointTable &endpoints,
                    TimePoint asOf) const {
    return Table.unlisted(endpoints, asOf);
  }
  /// Time from which the endpoint can run calls of the model and adapter; none
  /// if it neither holds nor loads them.
  std::optional<TimePoint> readyAt(const Fleet::Endpoint &endpoint,
                                   const std::string &model,
                                   const std::string &adapter,
                                   TimePoint now) const;
  /// Endpoints that hold or load the model, by the holder's table; null if the
  /// table is incomplete or out of date.
  const std::vector<std::string> *endpointsWith(const std::string &model,
                                                TimePoint now) const;
  /// Calls that other gateways have in flight at the endpoint.
  uint32_t loadOfOtherGateways(const std::string &endpoint) const;
  uint32_t members() const { return Members; }
  int64_t token() const { return Token; }

private:
  using CallKey = std::tuple<std::string, std::string, std::string>;

  std::vector<FleetLink::TeamUsage> changedTeams();
  std::vector<FleetLink::TeamLevel> levelsFor(int64_t holderToken,
                                              TimePoint now);
  void setTargetHolder(int64_t token);
  void addCalls(FleetLink::Report &report, TimePoint now);
  void applyTeamGrants(const std::vector<FleetLink::TeamGrant> &teams,
                       int64_t holderToken, uint64_t sequence, TimePoint now);
  uint32_t assumedMembers() const;
  void applyEndpointLimit(uint32_t endpoint, TimePoint now);
  void endColdLimits(TimePoint now);
  void applyEndpointLimits(const FleetLink::Heartbeat &heartbeat,
                           TimePoint now);
  void addEndpointLimits(FleetLink::Report &report, TimePoint now);
  bool isHolderResponsive(TimePoint now) const;

  std::string Name;
  std::string Address;
  uint64_t Incarnation;
  uint64_t Sequence = 0;
  /// A new limit starts with a full bucket. The limits that a restarted process
  /// reads first start empty, as it does not know what it admitted before.
  bool StartFull;
  std::map<std::string, Quota::GatewayLimiter> Limiters;
  std::vector<Quota::Decision> Decided;
  /// The holder has left requests unanswered since its last message.
  bool HolderTimedOut = false;
  /// Token of the holder to which the newest report was sent, and of the holder
  /// that sent the levels known here.
  int64_t TargetToken = 0;
  int64_t LevelsToken = 0;
  uint32_t RecordedMembers = 0;
  std::mt19937_64 Random;
  std::map<CallKey, uint32_t> Calls;
  /// Calls of this gateway, sent in the first report to a new holder.
  Residency::Demand Demand;
  /// Token of the holder to which that report was sent.
  int64_t DemandSentToken = 0;
  std::vector<FleetLink::ModelMiss> ModelMisses;
  CrashEvidence Evidence;
  EndpointLimits LimitsOfEndpoints;
  /// Endpoints whose limits the present holder may not know as this gateway
  /// does, with the first report that lists them; 0 if none has yet.
  std::map<uint32_t, uint64_t> UnackedLimits;
  uint64_t LimitsRevision = 0;
  std::map<uint32_t, uint32_t> OwnLoads;
  /// Counters by team in the newest reports and grant requests, by sequence.
  std::map<uint64_t, std::map<uint32_t, Quota::TokenCounters>> SentCounters;
  /// The newest of them that the holder has acknowledged.
  std::map<uint32_t, Quota::TokenCounters> AckedCounters;

  int64_t Token = 0;
  TimePoint LastHolderMessageAt{};
  uint64_t LastHeartbeatSequence = 0;
  uint32_t Members = 0;
  FleetTable Table;
  std::map<uint32_t, uint32_t> OtherLoads;
};

} // namespace Gateway

#endif // GATEWAY_FLEETMEMBER_H
