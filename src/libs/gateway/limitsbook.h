#ifndef GATEWAY_LIMITSBOOK_H
#define GATEWAY_LIMITSBOOK_H

#include "fleet/fleet.h"
#include "fleetlink/fleetlink.h"
#include "quota/quota.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

using Utils::TimePoint;

/// The holder's count of all teams' limits and of the gateways that share
/// them. Does no input or output.
class LimitsBook {
public:
  /// What a holder begins with.
  struct Start {
    /// Level of each team's bucket by what the holder before told this VM.
    std::map<std::string, double> Levels;
    /// The same by the key of the team's name, as the holder before noted them
    /// in the duty's record; teams that are not named had a full bucket. None
    /// if it noted nothing.
    std::optional<std::map<uint32_t, double>> Noted;
    /// The fleet starts for the first time: nothing was granted before.
    bool IsFirst = false;
    /// Gateways that may go on by themselves until they are heard of.
    uint32_t Members = 0;
    /// Tokens by which grants may overdraw a bucket.
    double MostDebt = 0;
  };

  LimitsBook(Start start, TimePoint now);

  void setLimits(const Fleet::Configuration &config, TimePoint now);
  /// A gateway was heard of; one that leaves grants nothing by itself.
  void noteHeard(const std::string &member, bool leaving, TimePoint now);
  /// Takes in the accounts of a report or an ask. Those that an account of a
  /// later number has overtaken are passed over.
  void settle(const std::string &member, uint64_t incarnation,
              uint64_t sequence, const std::vector<FleetLink::TeamUsage> &uses,
              TimePoint now);
  /// What the holder before has told another gateway.
  void lowerTo(const std::vector<FleetLink::TeamLevel> &levels, TimePoint now);
  /// Levels for the duty's record, but for buckets that are full.
  std::vector<FleetLink::TeamLevel> notes(TimePoint now);
  /// What the member may spend of the teams; of all, without `teams`.
  std::vector<FleetLink::TeamGrant>
  totals(const std::string &member,
         const std::vector<FleetLink::TeamUsage> *teams, TimePoint now);

private:
  struct Member {
    uint64_t Incarnation = 0;
    uint64_t Sequence = 0;
    TimePoint HeardAt{};
    bool Leaving = false;
    /// By team.
    std::map<uint32_t, int64_t> Granted;
  };
  struct Team {
    std::string Name;
    Quota::Ledger Book;
  };
  double startLevel(const Fleet::Team &team) const;
  void dividePart(TimePoint now);

  Start Begun;
  TimePoint StartedAt;
  bool HasLimits = false;
  TimePoint DividedAt{};
  std::map<std::string, Member> Members;
  /// By the key of the name.
  std::map<uint32_t, Team> Teams;
};

} // namespace Gateway

#endif // GATEWAY_LIMITSBOOK_H
