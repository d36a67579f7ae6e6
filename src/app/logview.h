#ifndef APP_LOGVIEW_H
#define APP_LOGVIEW_H

#include "environment/environment.h"
#include "history/history.h"
#include "utils/outcome.h"

namespace App {

/// Replicated state that a command reads from the platform's log and changes by
/// appending edits.
class LogView {
public:
  /// `pause` is called before an append is repeated.
  explicit LogView(Environment::LogService log,
                   std::function<void()> pause = defaultPause);

  /// Applies all log entries up to the end of the log.
  Utils::Status catchUp();

  /// Appends the edits in order, batching several into one append, and returns
  /// the verdict on each edit once the log entry is applied. If the response to
  /// an append is lost, the log is read, and only edits that it does not
  /// contain are appended again. Errc::UnknownResult: the outcome is not known,
  /// run the command again; Errc::InvalidArgument: the edit is too large.
  std::vector<Utils::Outcome<History::Verdict>>
  submit(const std::vector<History::TableEdit> &edits);

  const History::State &state() const { return Current; }

private:
  /// Replaces the state by the newest snapshot, or by the empty state if the
  /// log still contains all entries.
  Utils::Status loadSnapshot();

  using Batch = std::vector<History::Record>;

  static void defaultPause();
  /// Appends until every edit of the batch has a verdict or the attempts are
  /// used up.
  void submitBatch(const Batch &batch);

  Environment::LogService Log;
  std::function<void()> Pause;
  History::State Current;
};

/// Client of the log that the settings file of the command line names. Prints
/// the faults of an invalid file.
Utils::Outcome<Environment::LogService> logFromSettings();

} // namespace App

#endif // APP_LOGVIEW_H
