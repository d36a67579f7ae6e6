#ifndef FLEET_EVACUATIONS_H
#define FLEET_EVACUATIONS_H

#include "utils/clock.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Fleet {

using Utils::Milliseconds;
using Utils::TimePoint;

/// Subtracted from the bound on evacuations: time for a call to get from the
/// choice of an endpoint to that endpoint, over a slow link or at a busy VM.
constexpr Milliseconds EvacuationMargin{1000};

/// A request of the operators to send nothing more to a failure domain.
struct Evacuation {
  TimePoint ReceivedAt{};
  /// From when no call is sent to the domain; the time before it is the grace
  /// period.
  TimePoint InForceAt{};
  /// The time of the request is bounded by an earlier read of the store.
  bool AgeKnown = false;
  /// takeInForce() has returned the domain.
  bool Reported = false;
};

/// The evacuations that the operators have requested, by failure domain.
class Evacuations {
public:
  /// `bound`: time from the acknowledgement of a request until no call may
  /// reach the domain; without it there is no grace period.
  explicit Evacuations(std::optional<Milliseconds> bound = std::nullopt)
      : Bound(bound) {}

  /// Adds an evacuation. `absentAt`: latest time at which the request is known
  /// not to have been there; nothing if its age is not known. Returns whether
  /// the domain was not evacuated before; a repeated request changes nothing.
  bool request(const std::string &domain, std::optional<TimePoint> absentAt,
               TimePoint now);
  /// Returns whether the domain was evacuated.
  bool withdraw(const std::string &domain);
  /// Domains whose evacuation a complete list of the requests does not name.
  std::vector<std::string>
  missingFrom(const std::set<std::string> &requested) const;

  bool empty() const { return Domains.empty(); }
  const std::map<std::string, Evacuation, std::less<>> &all() const {
    return Domains;
  }
  /// Whether the evacuation of the domain is requested, in force or not.
  bool isEvacuated(std::string_view domain) const;
  /// Whether no call may be sent to the domain.
  bool isClosed(std::string_view domain, TimePoint now) const;
  /// Whether calls may be sent to the domain only if no other can run them.
  bool isInGracePeriod(std::string_view domain, TimePoint now) const;

  /// Domains whose evacuation has come into force and that were not returned
  /// before.
  std::vector<std::string> takeInForce(TimePoint now);
  /// Earliest time at which takeInForce() returns another domain.
  std::optional<TimePoint> nextInForceAt() const;

private:
  std::optional<Milliseconds> Bound;
  std::map<std::string, Evacuation, std::less<>> Domains;
};

} // namespace Fleet

#endif // FLEET_EVACUATIONS_H
