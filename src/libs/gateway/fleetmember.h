#ifndef GATEWAY_FLEETMEMBER_H
#define GATEWAY_FLEETMEMBER_H

#include "balance/balance.h"
#include "fleet/fleet.h"
#include "fleetlink/fleetlink.h"
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

/// What a new holder takes over from the gateway that it has been.
struct Inheritance {
  std::map<std::string, double> Levels;
  KnownTable Table;
};

/// What this gateway counts for the holder of the fleet's duty, and what the
/// holder has told it. Does no input or output.
class FleetMember {
public:
  /// `firstStart`: no calls can have been admitted before.
  FleetMember(std::string name, std::string address, uint64_t incarnation,
              bool firstStart);

  // Teams' limits.

  /// Forgets teams that the configuration no longer has.
  void setLimits(const Fleet::Configuration &config, TimePoint now);
  /// Gateways of the fleet by the duty's record, until a holder tells.
  void setMembersBefore(uint32_t members, TimePoint now);
  /// A call wants tokens of its team; nothing if that is decided later: by an
  /// answer of the holder, which must be asked, or by expireWants().
  std::optional<Quota::Decision> want(const std::string &team, uint64_t call,
                                      double tokens, TimePoint now);
  /// The call waits no longer.
  void forgetWant(const std::string &team, uint64_t call);
  void giveBack(const std::string &team, double tokens);
  /// Whether calls wait for tokens.
  bool wantsTokens() const;
  /// Decides calls for which no answer has come, without the holder.
  std::vector<Quota::Decision> expireWants(TimePoint now);
  FleetLink::Ask makeAsk(int64_t holderToken, TimePoint now);
  /// Takes an answer in; decisions on calls that waited for it.
  std::vector<Quota::Decision> take(const FleetLink::Grant &grant,
                                    TimePoint now);

  Inheritance inheritance(TimePoint now);

  // What calls do.

  void noteCall(const std::string &service, const std::string &model,
                const std::string &adapter, TimePoint now);
  void noteBounce(const std::string &endpoint, const std::string &model,
                  const std::string &adapter, TimePoint now);

  // Exchange with the holder.

  /// The next report, without the calls that wait.
  /// `holderToken`: of the holder to which it goes.
  FleetLink::Report makeReport(const Balance::HealthTracker &board,
                               const Fleet::EndpointTable &endpoints,
                               int64_t holderToken, TimePoint now);
  /// Takes a beat in; false if it is of an earlier holder or late.
  /// `endpoints`: what this gateway has read from the store.
  bool take(const FleetLink::Beat &beat, const Fleet::EndpointTable &endpoints,
            TimePoint now);
  /// Decisions on calls that waited for the beats taken in since.
  std::vector<Quota::Decision> takeDecisions();

  // What is known of the fleet.

  /// Whether the holder was heard of lately, so that its table holds.
  bool isLed(TimePoint now) const;
  /// Whether it has told this gateway of all endpoints.
  bool knowsAll() const { return Table.isComplete(); }
  /// From when the endpoint can run calls of the model and adapter; none if
  /// nothing says that it will.
  std::optional<TimePoint> readyAt(const Fleet::Endpoint &endpoint,
                                   const std::string &model,
                                   const std::string &adapter,
                                   TimePoint now) const;
  /// Endpoints that hold the model or are about to, by the holder's table; null
  /// if there is none to rely on.
  const std::vector<std::string> *placesOf(const std::string &model,
                                           TimePoint now) const;
  /// Calls of other gateways under way at the endpoint.
  uint32_t loadOfOthers(const std::string &endpoint) const;
  uint32_t members() const { return Members; }
  int64_t token() const { return Token; }

private:
  using CallKey = std::tuple<std::string, std::string, std::string>;

  std::vector<FleetLink::TeamUse> changedTeams();
  std::vector<FleetLink::TeamLevel> levelsFor(int64_t holderToken,
                                              TimePoint now);
  void addressHolder(int64_t token);
  void addCalls(FleetLink::Report &report, TimePoint now);
  void takeTeams(const std::vector<FleetLink::TeamTotal> &teams,
                 int64_t holderToken, uint64_t sequence, TimePoint now);
  uint32_t sharers() const;
  bool holderAnswers(TimePoint now) const;

  std::string Name;
  std::string Address;
  uint64_t Incarnation;
  uint64_t Sequence = 0;
  /// Limits that come anew begin with a full bucket. Those of a process that
  /// starts again begin empty: what was admitted before is not known.
  bool BeginFull;
  std::map<std::string, Quota::GatewayLimiter> Purses;
  std::vector<Quota::Decision> Decided;
  /// Calls were decided without the holder since it was heard of last.
  bool HolderMissed = false;
  /// Token of the holder to which the newest report went, and of the one that
  /// told the levels that are known here.
  int64_t AddressedToken = 0;
  int64_t LevelsToken = 0;
  uint32_t MembersBefore = 0;
  std::mt19937_64 Random;
  std::map<CallKey, uint32_t> Calls;
  /// Calls of this gateway, for a holder that is new.
  Residency::Demand Demand;
  /// Token of the holder that has been told of them.
  int64_t ToldToken = 0;
  std::vector<FleetLink::Misplaced> Bounces;
  std::map<uint32_t, uint32_t> OwnLoads;
  /// Accounts by team, as the newest reports and asks said, by sequence.
  std::map<uint64_t, std::map<uint32_t, Quota::TokenCounters>> Told;
  /// The newest of them that were answered.
  std::map<uint32_t, Quota::TokenCounters> Answered;

  int64_t Token = 0;
  TimePoint HeardAt{};
  uint64_t HeardSequence = 0;
  uint32_t Members = 0;
  FleetTable Table;
  std::map<uint32_t, uint32_t> OtherLoads;
};

} // namespace Gateway

#endif // GATEWAY_FLEETMEMBER_H
