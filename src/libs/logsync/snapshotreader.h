#ifndef LOGSYNC_SNAPSHOTREADER_H
#define LOGSYNC_SNAPSHOTREADER_H

#include "environment/environment.h"
#include "history/history.h"

namespace LogSync {

/// Where a reader of the log begins.
struct Start {
  /// Its NextOffset is the first offset to read.
  History::State Content;
  /// Offset of the snapshot's first chunk; empty when there is no snapshot and
  /// the log is retained from offset 0.
  std::optional<uint64_t> SnapshotOffset;
};

/// Finds the newest whole snapshot whose tail is retained, searching from the
/// end of the log. Errc::OutOfRange when the beginning of the log has expired
/// and no snapshot takes its place; otherwise the failure of the log.
Utils::Outcome<Start> findStart(const Environment::LogService &log);

/// Checks that an answer of the log holds consecutive entries from the offset
/// asked, within the bounds it names. Errc::Corrupt when it does not.
Utils::Status checkRead(const Environment::LogRead &read, uint64_t from);

} // namespace LogSync

#endif // LOGSYNC_SNAPSHOTREADER_H
