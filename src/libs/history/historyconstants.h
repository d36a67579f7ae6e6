#ifndef HISTORY_HISTORYCONSTANTS_H
#define HISTORY_HISTORYCONSTANTS_H

#include <cstddef>

namespace History::Constants {

/// Duty whose holder decides on endpoints and replicas.
inline constexpr char PlacementDuty[] = "placement";

/// Duty whose holder rewrites the snapshot and expires orders.
inline constexpr char SnapshotDuty[] = "snapshot";

inline constexpr size_t MaxSnapshotChunkBytes = size_t{200} * 1024;
/// Chunks of the largest snapshot that is taken in.
inline constexpr uint32_t MaxSnapshotChunks = 512;
/// Unfinished snapshots that a reader keeps while it looks for a whole one.
inline constexpr size_t MaxSnapshotsAssembled = 4;

/// Bytes of the bodies kept for settled orders whose key carries no expiry.
inline constexpr size_t MaxOrderBodyBytes = size_t{4} * 1024 * 1024;

inline constexpr size_t MaxAuditEntries = 4096;
inline constexpr size_t MaxOrderAuditEntries = 1024;
inline constexpr size_t MaxVerdicts = 16384;

} // namespace History::Constants

#endif // HISTORY_HISTORYCONSTANTS_H
