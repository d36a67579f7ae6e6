#ifndef BALANCE_RECOVERY_H
#define BALANCE_RECOVERY_H

#include "fleet/fleet.h"

#include <cstdint>
#include <string_view>

namespace Balance {

/// What a call has gone through when a send has failed.
struct Progress {
  Fleet::RouteKind Kind = Fleet::RouteKind::Unsafe;
  bool Resumable = false;
  /// Sends that endpoints may have run, the failed one included.
  uint32_t RunsBegun = 0;
  /// Runs that the route allows.
  uint32_t RunsAllowed = 1;
  /// The endpoint states that it has not run the call, or nothing was sent.
  bool NotRun = false;
  /// A part of the answer has gone to the caller.
  bool AnswerBegun = false;
  bool TimeLeft = true;
};

enum class NextStep : uint8_t {
  SendAgain, ///< From the start.
  Resume,    ///< After the last event that the caller got.
  Refuse,    ///< Has not run and never will.
  Fail,      ///< May have run.
  Break,     ///< End the answer so that it is seen to be incomplete.
};

std::string_view nextStepName(NextStep step);

NextStep afterFailure(const Progress &progress);

} // namespace Balance

#endif // BALANCE_RECOVERY_H
