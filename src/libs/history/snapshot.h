#ifndef HISTORY_SNAPSHOT_H
#define HISTORY_SNAPSHOT_H

#include "history/state.h"

#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace History {

/// Splits the state into the chunks of one snapshot; it covers all appends
/// before State.NextOffset, which must not be 0.
std::vector<SnapshotChunk> makeSnapshot(const State &state,
                                        const std::string &snapshotId);

/// A whole snapshot found on the log.
struct FoundSnapshot {
  State Content;
  /// Offset of the append that holds its first chunk.
  uint64_t FirstOffset = 0;
};

/// Collects chunks, in any order and with duplicates, until snapshots are
/// whole. Keeps a bounded number of unfinished ones.
class SnapshotAssembler {
public:
  /// Adds a chunk read at the offset. True when its snapshot has all chunks.
  bool add(uint64_t offset, const SnapshotChunk &chunk);

  /// The whole snapshot that covers most, provided that it reaches `first`, the
  /// first retained offset. One with a wrong checksum or a malformed state is
  /// dropped. Empty when there is none.
  std::optional<FoundSnapshot> newest(uint64_t first);

private:
  /// Upto, id, count and checksum: chunks that differ in one never join.
  using Key = std::tuple<Position, std::string, uint32_t, uint64_t>;
  struct Parts {
    std::map<uint32_t, std::string> Data;
    uint64_t FirstOffset = UINT64_MAX;
  };
  std::map<Key, Parts> Candidates;
};

} // namespace History

#endif // HISTORY_SNAPSHOT_H
