#ifndef APP_LOGVIEW_H
#define APP_LOGVIEW_H

#include "environment/environment.h"
#include "history/history.h"
#include "utils/outcome.h"

namespace App {

/// The agreed state as read from the platform's log by a command.
class LogView {
public:
  /// `pause` waits between two tries.
  explicit LogView(Environment::LogService log,
                   std::function<void()> pause = defaultPause);

  /// Reads to the end of the log.
  Utils::Status catchUp();

  /// Appends the edits in their order, many to an append, and returns the
  /// fold's verdict on each. An append whose answer is lost is looked for in
  /// the log and repeated when it is not there. Errc::UnknownResult: run it
  /// again; Errc::InvalidArgument: the edit is too large.
  std::vector<Utils::Outcome<History::Verdict>>
  submit(const std::vector<History::TableEdit> &edits);

  const History::State &state() const { return Current; }

private:
  /// Takes the newest snapshot, or nothing when the log still has it all.
  Utils::Status beginAnew();

  using Batch = std::vector<History::Record>;

  static void defaultPause();
  /// Appends until every edit of the batch has a verdict or it was tried often.
  void submitBatch(const Batch &batch);

  Environment::LogService Log;
  std::function<void()> Pause;
  History::State Current;
};

/// Log named by the settings file of the command line; the faults are printed.
Utils::Outcome<Environment::LogService> logFromSettings();

} // namespace App

#endif // APP_LOGVIEW_H
