#include "logview.h"

#include "logsync/logsync.h"
#include "logsync/logsyncconstants.h"
#include "utils/utils.h"

#include <thread>

namespace App {

namespace {
constexpr uint32_t MaxEntriesPerRead = 1024;
constexpr int MaxAppendAttempts = 10;
constexpr Utils::Milliseconds RetryPause(200);
} // namespace

LogView::LogView(Environment::LogService log, std::function<void()> pause)
    : Log(std::move(log)), Pause(std::move(pause)) {}

void LogView::defaultPause() { std::this_thread::sleep_for(RetryPause); }

Utils::Status LogView::loadSnapshot() {
  auto start = LogSync::findStart(Log);
  if (!start)
    return start.error();
  Current = std::move(start.value().Content);
  return Utils::success();
}

Utils::Status LogView::catchUp() {
  if (Current.NextOffset == 0)
    if (Utils::Status status = loadSnapshot(); !status)
      return status;
  while (true) {
    auto read = Log.Read(Current.NextOffset, MaxEntriesPerRead, 0);
    if (!read)
      return read.error();
    if (Utils::Status status = LogSync::checkRead(*read, Current.NextOffset);
        !status)
      return status;
    if (read->FirstRetained > Current.NextOffset) {
      if (Utils::Status status = loadSnapshot(); !status)
        return status;
      continue;
    }
    for (const Environment::LogEntry &entry : read->Entries)
      History::applyAppend(Current, entry.Offset, entry.Bytes);
    if (Current.NextOffset >= read->NextOffset)
      return Utils::success();
  }
}

void LogView::submitBatch(const Batch &batch) {
  for (int i = 0; i < MaxAppendAttempts; ++i) {
    Batch undecided;
    for (const History::Record &it : batch)
      if (!Current.Verdicts.count(History::recordId(it)))
        undecided.push_back(it);
    if (undecided.empty())
      return;
    if (i > 0)
      Pause();
    auto offset = Log.Append(History::encodeRecords(undecided));
    Utils::Status status = catchUp();
    if (!offset || !status)
      Utils::Event("append_unsettled")
          .with("why", (offset ? status.error() : offset.error()).What)
          .warning();
  }
}

std::vector<Utils::Outcome<History::Verdict>>
LogView::submit(const std::vector<History::TableEdit> &edits) {
  using Utils::Errc;
  std::vector<Utils::Outcome<History::Verdict>> outcomes(
      edits.size(),
      Utils::failure(Errc::UnknownResult,
                     "the log gave no verdict; run the command again"));
  Batch batch;
  std::vector<size_t> indexes;
  size_t bytes = 0;
  auto flush = [&] {
    submitBatch(batch);
    for (size_t index : indexes)
      if (auto it = Current.Verdicts.find(edits[index].EditId);
          it != Current.Verdicts.end())
        outcomes[index] = it->second;
    batch.clear();
    indexes.clear();
    bytes = 0;
  };
  for (size_t i = 0; i < edits.size(); ++i) {
    size_t n = History::encodeRecords({edits[i]}).size();
    if (n > LogSync::Constants::MaxAppendBytes) {
      outcomes[i] =
          Utils::failure(Errc::InvalidArgument, "the row is too large");
      continue;
    }
    if (bytes + n > LogSync::Constants::MaxAppendBytes ||
        batch.size() == LogSync::Constants::MaxRecordsPerBatch)
      flush();
    batch.emplace_back(edits[i]);
    indexes.push_back(i);
    bytes += n;
  }
  flush();
  return outcomes;
}

} // namespace App
