#include "history/snapshot.h"
#include "history/historyconstants.h"
#include "history/statecodec.h"

#include "utils/digest.h"

#include <algorithm>

namespace History {

namespace C = Constants;

std::vector<SnapshotChunk> makeSnapshot(const State &state,
                                        const std::string &snapshotId) {
  std::string bytes = encodeState(state);
  size_t n =
      (bytes.size() + C::MaxSnapshotChunkBytes - 1) / C::MaxSnapshotChunkBytes;
  SnapshotChunk chunk;
  chunk.SnapshotId = snapshotId;
  chunk.Upto = positionOf(state.NextOffset, 0) - 1;
  chunk.Count = static_cast<uint32_t>(n);
  chunk.Checksum = Utils::fastHash(bytes);
  std::vector<SnapshotChunk> chunks(n, chunk);
  for (size_t i = 0; i < n; ++i) {
    chunks[i].Index = static_cast<uint32_t>(i);
    chunks[i].Data =
        bytes.substr(i * C::MaxSnapshotChunkBytes, C::MaxSnapshotChunkBytes);
  }
  return chunks;
}

bool SnapshotAssembler::add(uint64_t offset, const SnapshotChunk &chunk) {
  if (chunk.Count == 0 || chunk.Count > C::MaxSnapshotChunks ||
      chunk.Index >= chunk.Count ||
      chunk.Data.size() > C::MaxSnapshotChunkBytes)
    return false;
  Key key(chunk.Upto, chunk.SnapshotId, chunk.Count, chunk.Checksum);
  Parts &parts = Candidates[key];
  parts.FirstOffset = std::min(parts.FirstOffset, offset);
  parts.Data.try_emplace(chunk.Index, chunk.Data);
  bool whole = parts.Data.size() == chunk.Count;
  if (Candidates.size() > C::MaxSnapshotsAssembled)
    Candidates.erase(Candidates.begin());
  return whole;
}

std::optional<FoundSnapshot> SnapshotAssembler::newest(uint64_t first) {
  for (auto it = Candidates.rbegin(); it != Candidates.rend(); ++it) {
    const auto &[upto, id, count, checksum] = it->first;
    if (it->second.Data.size() != count || offsetOf(upto) + 1 < first)
      continue;
    std::string bytes;
    for (const auto &[index, data] : it->second.Data)
      bytes += data;
    if (Utils::fastHash(bytes) != checksum)
      continue;
    auto state = decodeState(bytes);
    if (state && state->NextOffset == offsetOf(upto) + 1)
      return FoundSnapshot{std::move(state.value()), it->second.FirstOffset};
  }
  return std::nullopt;
}

} // namespace History
