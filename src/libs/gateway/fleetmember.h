#ifndef GATEWAY_FLEETMEMBER_H
#define GATEWAY_FLEETMEMBER_H

#include "balance/balance.h"
#include "fleet/fleet.h"
#include "fleetlink/fleetlink.h"
#include "quota/quota.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Gateway {

using Utils::TimePoint;

/// A model, or an adapter of it, at an endpoint: from when calls can use it.
struct Held {
  TimePoint ReadyAt{};
  std::map<std::string, TimePoint> Adapters;
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

  /// Levels of the teams' buckets.
  std::map<std::string, double> levels(TimePoint now);

  // What calls do.

  void noteCall(const std::string &service, const std::string &model,
                const std::string &adapter);
  void noteBounce(const std::string &endpoint, const std::string &model,
                  const std::string &adapter, TimePoint now);

  // Exchange with the holder.

  /// The next report, without the calls that wait.
  FleetLink::Report makeReport(const Balance::EndpointBoard &board,
                               const Fleet::EndpointTable &endpoints,
                               TimePoint now);
  /// Takes a beat in; false if it is of an earlier holder or late.
  bool take(const FleetLink::Beat &beat, TimePoint now);

  // What is known of the fleet.

  /// Whether the holder was heard of lately, so that its table holds.
  bool isLed(TimePoint now) const;
  /// From when the endpoint can run calls of the model and adapter; none if
  /// nothing says that it will.
  std::optional<TimePoint> readyAt(const Fleet::Endpoint &endpoint,
                                   const std::string &model,
                                   const std::string &adapter,
                                   TimePoint now) const;
  /// Calls of other gateways under way at the endpoint.
  uint32_t loadOfOthers(const std::string &endpoint) const;
  uint32_t members() const { return Members; }
  int64_t token() const { return Token; }

private:
  using CallKey = std::tuple<std::string, std::string, std::string>;

  void takeTable(const FleetLink::Beat &beat, TimePoint now);

  std::string Name;
  std::string Address;
  uint64_t Incarnation;
  uint64_t Sequence = 0;
  /// Limits that come anew begin with a full bucket. Those of a process that
  /// starts again begin empty: what was admitted before is not known.
  bool BeginFull;
  std::map<std::string, Quota::Meter> Meters;
  std::map<CallKey, uint32_t> Calls;
  std::vector<FleetLink::Misplaced> Bounces;
  std::map<std::string, uint32_t> OwnLoads;

  int64_t Token = 0;
  TimePoint HeardAt{};
  uint64_t HeardSequence = 0;
  uint32_t Members = 0;
  uint64_t TableRevision = 0;
  std::map<std::string, std::map<std::string, Held>> Table;
  std::map<std::string, uint32_t> OtherLoads;
};

} // namespace Gateway

#endif // GATEWAY_FLEETMEMBER_H
