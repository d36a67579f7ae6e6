#include "balance/recovery.h"

namespace Balance {

namespace {

using Fleet::RouteKind;

/// Whether a call that may have been executed may be executed again.
bool mayRunAgain(const CallProgress &progress) {
  if (progress.RunsStarted >= progress.MaxRuns)
    return false;
  if (progress.Kind == RouteKind::Streaming)
    return progress.Resumable;
  return progress.Kind == RouteKind::Safe;
}

} // namespace

std::string_view recoveryActionName(RecoveryAction action) {
  static constexpr std::string_view names[] = {"send_again", "resume", "refuse",
                                               "fail", "break"};
  return names[static_cast<size_t>(action)];
}

RecoveryAction recoveryAction(const CallProgress &progress) {
  if (progress.AnswerStarted) {
    bool canResume = progress.Kind == RouteKind::Streaming &&
                     progress.Resumable && progress.RetryPermitted &&
                     (progress.NotExecuted || mayRunAgain(progress));
    return canResume ? RecoveryAction::Resume : RecoveryAction::Abort;
  }
  if (progress.RetryPermitted &&
      (progress.NotExecuted || mayRunAgain(progress)))
    return RecoveryAction::Retry;
  bool neverStarted = progress.RunsStarted == 0;
  return neverStarted ? RecoveryAction::Refuse : RecoveryAction::Fail;
}

} // namespace Balance
