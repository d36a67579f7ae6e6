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

/// Simulation of VMs that compete for the duty and of one engine that accepts
/// every order. It runs the duty library in simulated time and injects faults
/// at given times, so that a search can go through their combinations.
namespace DutyModel {

using Duty::Milliseconds;
using Duty::TimePoint;

enum class FaultKind : uint8_t {
  Pause,    ///< The VM is suspended.
  Restart,  ///< Its process is killed and starts again at the end.
  Stop,     ///< Its process releases the duty and starts again at the end.
  HandOver, ///< It hands the duty over if it holds it.
  StoreUnreachable, ///< Its calls to the store have no effect.
  ResponsesLost,    ///< They take effect, but their answers are lost.
  DelayedWrites,    ///< Its appends take effect 2.5 s late, unanswered.
  Isolated,         ///< It and the other VMs cannot reach each other.
  /// At the end the store comes back from the copy that it had at the start,
  /// whichever the VM.
  OlderCopy,
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
  Duty::Policy Timing;
  Duty::Fencing Fencing = Duty::Fencing::Ignored;
  Milliseconds Duration{14'000};
};

struct Result {
  /// The first violated invariant; empty if there is none.
  std::string Violation;
  size_t Orders = 0;
  /// Longest time between two orders.
  Milliseconds LongestGap{0};
};

/// Runs the simulation with the faults. Invariants: an engine that ignores
/// fencing tokens never gets interleaved orders of two holders within
/// Setup::Timing.ReacquirePause, nor a lower token after a higher one, and no
/// two VMs use the same token.
Result simulate(const Setup &setup, const std::vector<Fault> &faults);

} // namespace DutyModel

#endif // TESTS_DUTYMODEL_H
