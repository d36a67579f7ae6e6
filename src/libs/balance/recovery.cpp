#include "balance/recovery.h"

namespace Balance {

namespace {

using Fleet::RouteKind;

/// Whether a call that may have run may be sent once more.
bool mayRunAgain(const Progress &progress) {
  if (progress.RunsBegun >= progress.RunsAllowed)
    return false;
  if (progress.Kind == RouteKind::Streaming)
    return progress.Resumable;
  return progress.Kind == RouteKind::Safe;
}

} // namespace

std::string_view nextStepName(NextStep step) {
  static constexpr std::string_view names[] = {"send_again", "resume", "refuse",
                                               "fail", "break"};
  return names[static_cast<size_t>(step)];
}

NextStep afterFailure(const Progress &progress) {
  if (progress.AnswerBegun) {
    bool resumes = progress.Kind == RouteKind::Streaming &&
                   progress.Resumable && progress.TimeLeft &&
                   (progress.NotRun || mayRunAgain(progress));
    return resumes ? NextStep::Resume : NextStep::Break;
  }
  if (progress.TimeLeft && (progress.NotRun || mayRunAgain(progress)))
    return NextStep::SendAgain;
  bool neverRan = progress.RunsBegun == 0;
  return neverRan ? NextStep::Refuse : NextStep::Fail;
}

} // namespace Balance
