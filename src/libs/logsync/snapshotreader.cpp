#include "logsync/snapshotreader.h"
#include "logsync/logsyncconstants.h"

namespace LogSync {

namespace C = Constants;

namespace {

struct Bounds {
  uint64_t First = 0;
  uint64_t Next = 0;
};

Utils::Outcome<Environment::LogRead>
checkedRead(const Environment::LogService &log, uint64_t from, uint32_t max) {
  auto read = log.Read(from, max, 0);
  if (!read)
    return read;
  if (Utils::Status status = checkRead(*read, from); !status)
    return status.error();
  return read;
}

Utils::Outcome<Bounds> readBounds(const Environment::LogService &log) {
  auto read = checkedRead(log, 0, 1);
  if (!read)
    return read.error();
  return Bounds{read->FirstRetained, read->NextOffset};
}

/// Adds the chunks of the entries from `begin` up to `end` and notes in
/// `bounds` what has expired meanwhile. True when a snapshot became whole.
Utils::Outcome<bool> searchWindow(const Environment::LogService &log,
                                  uint64_t begin, uint64_t end, Bounds &bounds,
                                  History::SnapshotAssembler &assembler) {
  bool whole = false;
  for (uint64_t from = begin; from < end;) {
    auto read = checkedRead(log, from, static_cast<uint32_t>(end - from));
    if (!read)
      return read.error();
    bounds.First = std::max(bounds.First, read->FirstRetained);
    if (read->Entries.empty() && read->FirstRetained <= from)
      return Utils::failure(Utils::Errc::Corrupt, "log: entries are missing");
    for (const Environment::LogEntry &entry : read->Entries)
      for (const History::Record &record : History::decodeRecords(entry.Bytes))
        if (const auto *chunk = std::get_if<History::SnapshotChunk>(&record))
          whole |= assembler.add(entry.Offset, *chunk);
    from = std::max(from + read->Entries.size(), read->FirstRetained);
  }
  return whole;
}

} // namespace

Utils::Status checkRead(const Environment::LogRead &read, uint64_t from) {
  using Utils::Errc;
  if (read.FirstRetained > read.NextOffset)
    return Utils::failure(Errc::Corrupt, "log: it ends before it begins");
  if (read.FirstRetained > from && !read.Entries.empty())
    return Utils::failure(Errc::Corrupt, "log: entries that have expired");
  for (size_t i = 0; i < read.Entries.size(); ++i)
    if (read.Entries[i].Offset != from + i ||
        read.Entries[i].Offset >= read.NextOffset)
      return Utils::failure(Errc::Corrupt, "log: entries out of order");
  return Utils::success();
}

Utils::Outcome<Start> findStart(const Environment::LogService &log) {
  auto known = readBounds(log);
  if (!known)
    return known.error();
  Bounds bounds = *known;
  History::SnapshotAssembler assembler;
  uint64_t end = bounds.Next;
  while (end > bounds.First) {
    uint64_t begin =
        end - std::min<uint64_t>(end - bounds.First, C::SearchWindow);
    auto whole = searchWindow(log, begin, end, bounds, assembler);
    if (!whole)
      return whole.error();
    if (*whole)
      if (auto found = assembler.newest(bounds.First))
        return Start{std::move(found->Content), found->FirstOffset};
    end = begin;
  }
  if (bounds.First == 0)
    return Start{};
  return Utils::failure(Utils::Errc::OutOfRange,
                        "log: its beginning has expired and it holds no whole "
                        "snapshot");
}

} // namespace LogSync
