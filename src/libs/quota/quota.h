#ifndef QUOTA_QUOTA_H
#define QUOTA_QUOTA_H

/// Public header of the quota library: one limit of a team, counted over all
/// gateways. The holder of the fleet's duty keeps the bucket and tells its
/// level; a gateway takes from what it was told, and from its share of the
/// limit while it hears nothing (cf. Raghavan et al., "Cloud Control with
/// Distributed Rate Limiting", 2007). No call waits for another gateway.
#include "utils/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Quota {

using Utils::Milliseconds;
using Utils::TimePoint;

struct Limit {
  /// Tokens a second; 0 means no limit.
  double Rate = 0;
  double Burst = 0;
  /// Tokens by which the bucket may be in debt, so that differences between
  /// gateways refuse nothing that is within the limit.
  double Tolerance = 0;
  bool operator==(const Limit &) const = default;
};

/// A bucket that may be in debt.
class Bucket {
public:
  /// Begins full.
  Bucket(const Limit &limit, TimePoint now);
  void setLimit(const Limit &limit, TimePoint now);
  void take(double tokens, TimePoint now);
  double level(TimePoint now);
  void setLevel(double level, TimePoint now);
  const Limit &limit() const { return Allowed; }
  /// Time until it holds that many; for more than its burst, until it is full.
  Milliseconds timeUntil(double tokens, TimePoint now);

private:
  Limit Allowed;
  double Level;
  TimePoint FilledAt;
};

/// What the holder tells a gateway of a team.
struct Told {
  double Level = 0;
  /// Tokens of the gateway that the level takes account of.
  int64_t Own = 0;
  /// Part of the limit that the gateway may use by itself.
  double Share = 0;
};

/// The holder's count of one team.
class Ledger {
public:
  Ledger(const Limit &limit, TimePoint now);
  void setLimit(const Limit &limit, TimePoint now);
  void setLevel(double level, TimePoint now);
  /// A gateway has admitted so many tokens more.
  void count(const std::string &gateway, double tokens, TimePoint now);
  double level(TimePoint now) { return Fleet.level(now); }
  /// Share of a gateway among so many: half by demand, half alike.
  double shareOf(const std::string &gateway, uint32_t gateways, TimePoint now);

private:
  /// Tokens of the last seconds.
  struct Recent {
    double Tokens = 0;
    TimePoint At{};
    double add(double tokens, TimePoint now);
  };
  Bucket Fleet;
  Recent All;
  std::map<std::string, Recent> Gateways;
};

/// The part of a gateway in the limit of one team. Between two beats it takes
/// no more than its share of the level, since others take from it too; without
/// beats its share of the rate goes on.
class Meter {
public:
  /// Gateways that are assumed before the holder has told their number. The
  /// smallest sites have 7.
  static constexpr uint32_t MembersAtStart = 10;

  /// `level`: of the team's bucket, as far as it can be known.
  Meter(const Limit &limit, double level, TimePoint now);
  void setLimit(const Limit &limit, TimePoint now);

  /// Takes the tokens if the limit allows them; otherwise the time until it
  /// would.
  std::optional<Milliseconds> refusal(double tokens, TimePoint now);
  /// Tokens of a call that did not run.
  void giveBack(double tokens, TimePoint now);
  /// Takes in what the holder tells.
  void hear(const Told &told, TimePoint now);
  /// Tokens admitted and not given back since the process started.
  int64_t admitted() const { return Admitted; }
  double level(TimePoint now) { return Fleet.level(now); }

private:
  void divide(double level, TimePoint now);

  /// The fleet's bucket as far as it is known here.
  Bucket Fleet;
  /// What this gateway may take of it by itself; one call may overdraw it.
  Bucket Own;
  double Share;
  TimePoint HeardAt{};
  int64_t Admitted = 0;
};

} // namespace Quota

#endif // QUOTA_QUOTA_H
