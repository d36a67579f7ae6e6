#ifndef GATEWAY_FLEETLIMITER_H
#define GATEWAY_FLEETLIMITER_H

#include "fleet/fleet.h"
#include "fleetlink/fleetlink.h"
#include "quota/quota.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

using Utils::TimePoint;

/// Central rate limiter of the fleet, run by the holder of the coordination
/// duty: the token buckets of all teams and the gateways that share them.
/// Performs no I/O.
class FleetLimiter {
public:
  /// State from which a new holder starts.
  struct InitialState {
    /// Bucket levels by team name, as the previous holder sent them to this VM.
    std::map<std::string, double> Levels;
    /// Bucket levels by the key of the team's name, from the duty record that
    /// the previous holder wrote. Teams that are not listed had a full bucket.
    /// Not set if the record has no levels.
    std::optional<std::map<uint32_t, double>> RecordedLevels;
    /// First start of the fleet: no tokens have been granted before.
    bool IsFirstStart = false;
    /// Number of gateways that are assumed to admit calls on their own until
    /// they send a heartbeat.
    uint32_t MemberCount = 0;
    /// Maximum number of tokens by which grants may overdraw a bucket.
    double MaxOverdraft = 0;
  };

  FleetLimiter(InitialState initial, TimePoint now);

  void setLimits(const Fleet::Configuration &config, TimePoint now);
  /// Sets the limit on the calls to an endpoint; a rate of 0 lifts it.
  void setEndpointLimit(uint32_t endpoint, double rate, TimePoint now);
  /// Sets the limit on the calls to an endpoint; does nothing if it is the
  /// present one.
  void setEndpointLimit(uint32_t endpoint, const Quota::Limit &limit,
                        TimePoint now);
  /// Records a heartbeat of a gateway. A gateway that is leaving admits no
  /// calls on its own.
  void recordHeartbeat(const std::string &member, bool leaving, TimePoint now);
  /// Applies the token usage from a report or a grant request. Usage that is
  /// older than what was applied last is ignored.
  void applyUsage(const std::string &member, uint64_t incarnation,
                  uint64_t sequence,
                  const std::vector<FleetLink::TeamUsage> &uses, TimePoint now);
  /// Lowers the buckets to the levels that the previous holder sent to another
  /// gateway.
  void capLevels(const std::vector<FleetLink::TeamLevel> &levels,
                 TimePoint now);
  /// Bucket levels to store in the duty record; full buckets are left out, and
  /// strict ones, which start empty.
  std::vector<FleetLink::TeamLevel> levelsToRecord(TimePoint now);
  /// Bucket level, demand and grant of the member for each limit whose usage it
  /// has sent.
  std::vector<FleetLink::TeamGrant>
  grants(const std::string &member,
         const std::vector<FleetLink::TeamUsage> &uses, TimePoint now);
  /// The same for all teams, and for the endpoints whose usage it has sent.
  std::vector<FleetLink::TeamGrant>
  allGrants(const std::string &member,
            const std::vector<FleetLink::TeamUsage> &uses, TimePoint now);

private:
  struct Member {
    uint64_t Incarnation = 0;
    uint64_t Sequence = 0;
    TimePoint LastHeartbeat{};
    bool Leaving = false;
    /// Tokens granted so far, by the key of the team's name.
    std::map<uint32_t, int64_t> Granted;
    /// Delays of the calls that its newest message has listed.
    std::map<uint32_t, std::vector<FleetLink::TeamDelay>> Delays;
  };
  struct Team {
    std::string Name;
    Quota::TokenAllocator Bucket;
    /// The limit is on the calls to an endpoint.
    bool IsEndpoint = false;
  };
  double initialLevel(const Fleet::Team &team) const;
  FleetLink::TeamGrant grant(const std::string &member, uint32_t key,
                             Team &team, TimePoint now);
  void updateGrantedShare(TimePoint now);

  InitialState Initial;
  TimePoint StartedAt;
  bool HasLimits = false;
  TimePoint ShareUpdatedAt{};
  std::map<std::string, Member> Members;
  /// By the key of the team's name.
  std::map<uint32_t, Team> Teams;
};

} // namespace Gateway

#endif // GATEWAY_FLEETLIMITER_H
