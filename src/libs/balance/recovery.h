#ifndef BALANCE_RECOVERY_H
#define BALANCE_RECOVERY_H

#include "fleet/fleet.h"

#include <cstdint>
#include <string_view>

namespace Balance {

/// State of a call after a failed attempt.
struct CallProgress {
  Fleet::RouteKind Kind = Fleet::RouteKind::Unsafe;
  bool Resumable = false;
  /// Attempts that an endpoint may have executed, including the failed one.
  uint32_t RunsStarted = 0;
  /// Executions that the route allows.
  uint32_t MaxRuns = 1;
  /// The endpoint reports that it did not execute the call, or nothing was
  /// sent.
  bool NotExecuted = false;
  /// Part of the answer was already sent to the caller.
  bool AnswerStarted = false;
  /// The deadline and the retry budget permit another attempt.
  bool RetryPermitted = true;
};

enum class RecoveryAction : uint8_t {
  Retry,  ///< Send the call again from the start.
  Resume, ///< Continue after the last event that the caller received.
  Refuse, ///< The call was not executed and never will be.
  Fail,   ///< The call may have been executed.
  Abort,  ///< End the answer in a way that shows it is incomplete.
};

std::string_view recoveryActionName(RecoveryAction action);

RecoveryAction recoveryAction(const CallProgress &progress);

} // namespace Balance

#endif // BALANCE_RECOVERY_H
