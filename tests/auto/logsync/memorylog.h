#ifndef MEMORYLOG_H
#define MEMORYLOG_H

#include "environment/environment.h"
#include "history/history.h"

#include <condition_variable>
#include <functional>
#include <mutex>

/// The platform's log in memory. Thread-safe; faults are switched by members.
class MemoryLog {
public:
  Environment::LogService service() {
    return {[this](const std::string &bytes) { return append(bytes); },
            [this](uint64_t from, uint32_t max, uint32_t /*waitMs*/) {
              return read(from, max);
            }};
  }

  Utils::Outcome<uint64_t> append(const std::string &bytes) {
    std::lock_guard lock(Mutex);
    ++Attempts;
    Changed.notify_all();
    if (Outage)
      return Utils::failure(Utils::Errc::Unavailable, "outage");
    if (BeforeAppend)
      BeforeAppend(Records);
    Records.push_back(bytes);
    if (LoseAnswers == 0)
      return Records.size() - 1;
    --LoseAnswers;
    return Utils::failure(Utils::Errc::UnknownResult, "answer lost");
  }

  Utils::Outcome<Environment::LogRead> read(uint64_t from, uint32_t max) {
    std::lock_guard lock(Mutex);
    if (Outage)
      return Utils::failure(Utils::Errc::Unavailable, "outage");
    Environment::LogRead result;
    result.FirstRetained = First;
    result.NextOffset = Records.size();
    for (uint64_t i = from;
         from >= First && i < Records.size() && result.Entries.size() < max;
         ++i)
      result.Entries.push_back({i, Records[i]});
    if (Spoil)
      Spoil(result);
    return result;
  }

  uint64_t append(const History::Record &record) {
    return *append(History::encodeRecords({record}));
  }

  void expireBefore(uint64_t first) {
    std::lock_guard lock(Mutex);
    First = first;
  }
  void setOutage(bool outage) {
    std::lock_guard lock(Mutex);
    Outage = outage;
  }
  bool waitForAttempts(uint64_t n) {
    std::unique_lock lock(Mutex);
    return Changed.wait_for(lock, std::chrono::seconds(30),
                            [&] { return Attempts >= n; });
  }
  size_t size() {
    std::lock_guard lock(Mutex);
    return Records.size();
  }

  std::vector<std::string> Records;
  uint32_t LoseAnswers = 0;
  /// Runs before an append takes effect; may append what another caller sent.
  std::function<void(std::vector<std::string> &)> BeforeAppend;
  /// Changes the answer to a read.
  std::function<void(Environment::LogRead &)> Spoil;
  uint64_t Attempts = 0;

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  uint64_t First = 0;
  bool Outage = false;
};

#endif // MEMORYLOG_H
