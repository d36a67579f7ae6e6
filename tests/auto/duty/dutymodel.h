#ifndef TESTS_DUTYMODEL_H
#define TESTS_DUTYMODEL_H

#include "duty/duty.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// VMs that seek the duty before one engine that takes whatever order comes,
/// in logical time: the decisions are those of the duty library, and faults
/// strike at set times, so that a search can go through their combinations.
namespace DutyModel {

using Duty::Milliseconds;
using Duty::TimePoint;

enum class FaultKind : uint8_t {
  Pause,       ///< The VM stands still.
  Restart,     ///< Its process dies and starts again at the end.
  Stop,        ///< Its process gives the duty up and starts again at the end.
  HandOver,    ///< It hands the duty over, if it holds it.
  StoreAway,   ///< Its calls to the store do nothing.
  AnswersLost, ///< They take effect unanswered.
  LateEffects, ///< They take effect 2.5 s late, unanswered.
  Alone,       ///< It reaches no other VM.
};

std::string_view faultName(FaultKind kind);

struct Fault {
  FaultKind Kind = FaultKind::Pause;
  /// Index of the VM; VmCount means all of them.
  size_t Vm = 0;
  Milliseconds At{0};
  Milliseconds Length{0};
};

std::string describe(const std::vector<Fault> &faults);

constexpr size_t VmCount = 3;

struct Setup {
  Duty::Policy Agreed;
  Duty::Fencing Fencing = Duty::Fencing::Ignored;
  Milliseconds Horizon{14'000};
};

struct Result {
  /// What broke first; empty if nothing did.
  std::string Broken;
  size_t Orders = 0;
  /// Longest time without an order.
  Milliseconds LongestGap{0};
};

/// Plays the faults. An engine that ignores tokens must never get orders from
/// two holders by turns within Setup::Agreed.TurnPause, nor a lower token
/// after a higher one; no two VMs may use one token.
Result play(const Setup &setup, const std::vector<Fault> &faults);

} // namespace DutyModel

#endif // TESTS_DUTYMODEL_H
