#ifndef LOGSYNC_SNAPSHOTPOLICY_H
#define LOGSYNC_SNAPSHOTPOLICY_H

#include <cstdint>
#include <optional>

namespace LogSync {

/// The newest whole snapshot on the log.
struct SnapshotPlace {
  /// First append that it does not cover.
  uint64_t NextOffset = 0;
  /// Append that holds its first chunk.
  uint64_t FirstOffset = 0;
};

/// Whether a snapshot is to be written now, when the log retains the offsets
/// from `first` and its next one is `next`: there is none though the log is not
/// empty, many appends came since, or the newest snapshot or its tail is no
/// longer well inside retention.
bool snapshotDue(const std::optional<SnapshotPlace> &newest, uint64_t first,
                 uint64_t next);

} // namespace LogSync

#endif // LOGSYNC_SNAPSHOTPOLICY_H
