#ifndef GATEWAY_CONFIGURATIONCHECK_H
#define GATEWAY_CONFIGURATIONCHECK_H

#include "utils/clock.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Gateway {

using Utils::TimePoint;

/// Version of the configuration that a gateway has in force.
struct ConfigurationState {
  uint64_t Version = 0;
  /// The gateway knows that the fleet had no newer one when it started.
  bool Confirmed = false;
};

/// Why a gateway relies on the version that it has read.
enum class Confirmation : uint8_t {
  Pending,
  NotNeeded,   ///< The store has never come back from a copy.
  ByGateway,   ///< A gateway that was running before has named no newer one.
  AllStarting, ///< All other gateways have started, too.
  NoAnswer,    ///< No gateway that was running before has answered in time.
};
std::string_view confirmationName(Confirmation value);

/// Whether the version of the configuration that a gateway has read is the
/// newest one. The store may have come back from an older copy before the
/// gateway started; gateways that were running then have in force what the copy
/// lacks. So a gateway that starts asks those that the record of the fleet's
/// duty lists, whether there is a holder or not, and decides nothing until one
/// has answered or the wait ends. Does no input or output.
class ConfigurationCheck {
public:
  /// The store has named its era for the first time since the start.
  void begin(TimePoint now);
  /// Gateways that the duty's record names, by address. `areAll`: the fleet had
  /// no others. `isCurrent`: the record was written since the store came back;
  /// a copy may list fewer gateways than there are.
  void setGateways(std::vector<std::string> addresses, bool areAll,
                   bool isCurrent, TimePoint now);
  /// The gateway at the address has named the state of a gateway, its own or
  /// another one's at `owner`.
  void noteState(const std::string &address, const std::string &owner,
                 const ConfigurationState &state, TimePoint now);
  /// Ends the wait if it can, given the version that counts as this gateway's.
  /// Returns whether it has ended just now.
  bool update(uint64_t own, TimePoint now);

  bool isConfirmed() const { return State != Confirmation::Pending; }
  Confirmation confirmation() const { return State; }
  /// Whether another gateway has a newer version in force than `own`.
  bool lacks(uint64_t own, TimePoint now) const {
    return own < NewestVersion && now < NewestUntil;
  }
  /// Newest version that any gateway has in force, and a gateway that has it.
  uint64_t newestVersion() const { return NewestVersion; }
  const std::string &newestAddress() const { return NewestAddress; }
  /// Gateways to ask now; schedules the next round.
  std::vector<std::string> takeQuestions(TimePoint now);
  /// When update() and takeQuestions() are due; max() once confirmed.
  TimePoint nextAt() const;

private:
  TimePoint waitUntil() const;

  Confirmation State = Confirmation::NotNeeded;
  TimePoint BegunAt{};
  std::vector<std::string> Gateways;
  bool AreAll = false;
  bool IsRecordCurrent = false;
  /// When the newest list of gateways was set.
  TimePoint ListedAt{};
  /// Gateways that have answered, and the highest version that those have named
  /// that were running before.
  std::set<std::string> Answered;
  bool HasConfirmed = false;
  uint64_t NewestVersion = 0;
  std::string NewestAddress;
  /// Until then the newest version counts, unless it is named again.
  TimePoint NewestUntil{};
  TimePoint NextQuestionAt = TimePoint::max();
  Utils::Milliseconds QuestionDelay{0};
};

} // namespace Gateway

#endif // GATEWAY_CONFIGURATIONCHECK_H
