#ifndef ROUTING_LOADBOARD_H
#define ROUTING_LOADBOARD_H

#include "utils/clock.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Routing {

/// Requests queued or running at an endpoint, of all daemons, at a time.
struct LoadReading {
  uint32_t Load = 0;
  Utils::TimePoint At;
};

/// A reading as one daemon tells it to another, in few bytes.
struct LoadEntry {
  /// Hash of the endpoint's name.
  uint32_t Endpoint = 0;
  /// Capped at its greatest value.
  uint8_t Load = 0;
  /// Age when it was told, in units of LoadBoard::AgeUnit, rounded up.
  uint8_t Age = 0;

  template <class Archive> void serialize(Archive &archive) {
    archive(Endpoint, Load, Age);
  }
};

using LoadDigest = std::vector<LoadEntry>;

/// What a daemon knows of the load at one candidate.
struct SeenLoad {
  std::optional<LoadReading> Reading;
  /// Requests of this daemon that were under way there at the reading and still
  /// are.
  uint32_t OwnThen = 0;
};

/// Requests of other daemons at each candidate, as the readings say. A reading
/// loses weight with its age in favour of the mean of the others, so that an
/// endpoint about which little is known seems neither idle nor busy.
std::vector<uint32_t> loadsOfOthers(const std::vector<SeenLoad> &seen,
                                    Utils::TimePoint now);

/// Whether the daemon is one of those that read the endpoint's load: the n of
/// all daemons with the highest random weights for it. `others` leaves out
/// `self`.
bool isWatcher(const std::string &endpoint, const std::string &self,
               const std::vector<std::string> &others, size_t n);

/// Newest reading of each endpoint, own or told. Bounded; thread-safe.
class LoadBoard {
public:
  /// Age from which a reading says nothing.
  static constexpr Utils::Milliseconds StaleAfter{10'000};
  static constexpr Utils::Milliseconds AgeUnit{50};
  static constexpr size_t MaxEntries = 1024;

  /// Takes a reading of an endpoint's report.
  void note(const std::string &endpoint, const LoadReading &reading);
  /// Takes what another daemon told in answer to a question of `askedAt`, so
  /// that no reading seems newer than it is.
  void take(const LoadDigest &digest, Utils::TimePoint askedAt);

  std::optional<LoadReading> reading(const std::string &endpoint) const;
  /// All readings that are not stale.
  LoadDigest digest(Utils::TimePoint now) const;

private:
  void keep(uint32_t endpoint, const LoadReading &reading);

  mutable std::mutex Mutex;
  std::map<uint32_t, LoadReading> Readings;
};

} // namespace Routing

#endif // ROUTING_LOADBOARD_H
