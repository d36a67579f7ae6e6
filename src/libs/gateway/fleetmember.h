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

  /// Forgets teams that the configuration no longer has. `tolerance`: tokens
  /// by which a team may exceed its limit for a short time.
  void setLimits(const Fleet::Configuration &config, double tolerance,
                 TimePoint now);
  /// Takes a call's tokens; the time to come back in if the limit forbids them.
  std::optional<Utils::Milliseconds> refusal(const std::string &team,
                                             double tokens, TimePoint now);
  void giveBack(const std::string &team, double tokens, TimePoint now);

  Inheritance inheritance(TimePoint now);

  // What calls do.

  void noteCall(const std::string &service, const std::string &model,
                const std::string &adapter, TimePoint now);
  void noteBounce(const std::string &endpoint, const std::string &model,
                  const std::string &adapter, TimePoint now);

  // Exchange with the holder.

  /// The next report, without the calls that wait.
  FleetLink::Report makeReport(const Balance::EndpointBoard &board,
                               const Fleet::EndpointTable &endpoints,
                               TimePoint now);
  /// Takes a beat in; false if it is of an earlier holder or late.
  /// `endpoints`: what this gateway has read from the store.
  bool take(const FleetLink::Beat &beat, const Fleet::EndpointTable &endpoints,
            TimePoint now);

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

  void addTeams(FleetLink::Report &report);
  void addCalls(FleetLink::Report &report, TimePoint now);
  void takeTeams(const FleetLink::Beat &beat, TimePoint now);

  std::string Name;
  std::string Address;
  uint64_t Incarnation;
  uint64_t Sequence = 0;
  /// Limits that come anew begin with a full bucket. Those of a process that
  /// starts again begin empty: what was admitted before is not known.
  bool BeginFull;
  std::map<std::string, Quota::Meter> Meters;
  std::map<CallKey, uint32_t> Calls;
  /// Calls of this gateway, for a holder that is new.
  Residency::Demand Demand;
  /// Token of the holder that has been told of them.
  int64_t ToldToken = 0;
  std::vector<FleetLink::Misplaced> Bounces;
  std::map<uint32_t, uint32_t> OwnLoads;
  /// Tokens admitted by team, as the newest reports said, by sequence.
  std::map<uint64_t, std::map<uint32_t, int64_t>> Told;
  /// The newest of them that was answered.
  std::map<uint32_t, int64_t> Answered;

  int64_t Token = 0;
  TimePoint HeardAt{};
  uint64_t HeardSequence = 0;
  uint32_t Members = 0;
  FleetTable Table;
  std::map<uint32_t, uint32_t> OtherLoads;
};

} // namespace Gateway

#endif // GATEWAY_FLEETMEMBER_H
