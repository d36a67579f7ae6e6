#include "logsync/appender.h"
#include "logsync/backoff.h"
#include "logsync/logsyncconstants.h"

#include <algorithm>

namespace LogSync {

namespace C = Constants;

Appender::Appender(Environment::LogService log, History::StateStore &store,
                   Utils::Clock clock)
    : Log(std::move(log)), Store(store), Clock(std::move(clock)),
      Ring(C::AppendRingCapacity) {}

Appender::~Appender() { stop(); }

void Appender::start() {
  Thread = std::thread([this] { run(); });
}

void Appender::stop() {
  {
    std::lock_guard lock(StopMutex);
    if (!Stopping)
      DrainUntil = Clock.Now() + C::MaxDrain;
    Stopping = true;
  }
  StopWake.notify_all();
  Ring.close();
  if (Thread.joinable())
    Thread.join();
}

bool Appender::submit(History::Record record, Utils::TimePoint deadline) {
  Utils::Status status = accept(std::move(record), deadline);
  if (!status)
    Utils::Event("record_refused").with("why", status.error().What).warning();
  return status.ok();
}

Utils::Status Appender::accept(History::Record record,
                               Utils::TimePoint deadline) {
  using Utils::Errc;
  size_t bytes = History::encodeRecords({record}).size();
  if (bytes > C::MaxAppendBytes)
    return Utils::failure(Errc::InvalidArgument,
                          "a record of " + std::to_string(bytes) +
                              " bytes does not fit an append");
  if (Ring.tryPush({std::move(record), bytes, deadline}))
    return Utils::success();
  return Ring.closed() ? Utils::failure(Errc::Cancelled, "the daemon stops")
                       : Utils::failure(Errc::ResourceExhausted,
                                        "the append ring is full");
}

Utils::Outcome<History::Verdict>
Appender::submitAndWait(const History::Record &record,
                        Utils::TimePoint deadline) {
  if (Utils::Status status = accept(record, deadline); !status)
    return status.error();
  std::optional<History::Verdict> verdict =
      Store.waitForVerdict(History::recordId(record), deadline);
  if (!verdict)
    return Utils::failure(Utils::Errc::UnknownResult,
                          "no verdict from the log in time");
  return *verdict;
}

void Appender::run() {
  while (true) {
    std::vector<Pending> batch = takeBatch();
    if (batch.empty())
      return;
    appendBatch(std::move(batch));
  }
}

std::vector<Appender::Pending> Appender::takeBatch() {
  std::vector<Pending> batch;
  size_t bytes = 0;
  std::optional<Pending> next =
      Held ? std::exchange(Held, std::nullopt) : Ring.pop();
  while (next) {
    if (!batch.empty() && bytes + next->Bytes > C::MaxAppendBytes) {
      Held = std::move(next);
      break;
    }
    bytes += next->Bytes;
    batch.push_back(std::move(*next));
    if (batch.size() == C::MaxRecordsPerBatch)
      break;
    next = Ring.popUntil(Clock.Now());
  }
  return batch;
}

void Appender::dropSettled(std::vector<Pending> &batch) const {
  Utils::TimePoint now = Clock.Now();
  Store.read([&](const History::State &state) {
    return std::erase_if(batch, [&](const Pending &it) {
      return it.Deadline <= now ||
             state.Verdicts.count(History::recordId(it.Record)) != 0;
    });
  });
}

void Appender::appendBatch(std::vector<Pending> batch) {
  Internal::Backoff backoff(C::MinBackoff, C::MaxBackoff,
                            Utils::fastHash(Utils::randomId()));
  while (true) {
    dropSettled(batch);
    if (batch.empty())
      return;
    std::vector<History::Record> records;
    records.reserve(batch.size());
    for (const Pending &it : batch)
      records.push_back(it.Record);
    ++Appends;
    auto offset = Log.Append(History::encodeRecords(records));
    if (offset)
      return;
    Utils::Event("log_append_failed")
        .with("records", records.size())
        .with("why", offset.error().What)
        .warning();
    if (!pauseBefore(backoff.next())) {
      Utils::Event("records_given_up").with("records", batch.size()).error();
      return;
    }
  }
}

bool Appender::pauseBefore(Utils::Milliseconds delay) {
  std::unique_lock lock(StopMutex);
  if (!Stopping)
    StopWake.wait_for(lock, delay, [this] { return Stopping; });
  else
    StopWake.wait_for(lock, delay, [] { return false; });
  return !Stopping || Clock.Now() < DrainUntil;
}

} // namespace LogSync
