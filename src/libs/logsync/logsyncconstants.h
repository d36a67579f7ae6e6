#ifndef LOGSYNC_LOGSYNCCONSTANTS_H
#define LOGSYNC_LOGSYNCCONSTANTS_H

#include "utils/clock.h"

#include <cstddef>
#include <cstdint>

namespace LogSync::Constants {

inline constexpr uint32_t MaxEntriesPerRead = 512;
/// Entries of the window by which the log is searched for a snapshot, from its
/// end towards its beginning.
inline constexpr uint32_t SearchWindow = 512;
/// Appends after which the snapshot is written again.
inline constexpr uint64_t MaxAppendsPerSnapshot = 16384;
/// Fewest appends between snapshots, so that a short log holds more than them.
inline constexpr uint64_t MinAppendsPerSnapshot = 16;
/// A snapshot is rewritten when it leaves the newest of these two halves of
/// what the log retains.
inline constexpr uint64_t RetainedShares = 2;
inline constexpr uint32_t ReadWaitMs = 1000;
inline constexpr Utils::Milliseconds MinBackoff(20);
inline constexpr Utils::Milliseconds MaxBackoff(1000);
inline constexpr size_t AppendRingCapacity = 4096;
inline constexpr size_t MaxRecordsPerBatch = 256;
/// Bytes of one append; a record that needs more is refused.
inline constexpr size_t MaxAppendBytes = size_t{512} * 1024;
/// How long stop() goes on appending what was accepted.
inline constexpr Utils::Milliseconds MaxDrain(3000);

} // namespace LogSync::Constants

#endif // LOGSYNC_LOGSYNCCONSTANTS_H
