#ifndef TESTS_MEMORYLOG_H
#define TESTS_MEMORYLOG_H

#include "environment/environment.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

/// Log in memory, shared by the daemons of a test. Appends can fail, lose their
/// answer or take effect late, as a seed decides.
class MemoryLog {
public:
  explicit MemoryLog(uint64_t seed) : Random(seed) {}

  /// View of one daemon; a view that was cut appends and reads nothing.
  struct View {
    std::shared_ptr<std::atomic<bool>> Cut =
        std::make_shared<std::atomic<bool>>(false);
    Environment::LogService Service;
  };

  View view() {
    View view;
    view.Service.Append = [this, cut = view.Cut](const std::string &bytes) {
      return append(bytes, *cut);
    };
    view.Service.Read = [this, cut = view.Cut](uint64_t from, uint32_t max,
                                               uint32_t) {
      return read(from, max, *cut);
    };
    return view;
  }

  /// Share of appends, in percent, that are refused or whose answer is lost.
  uint32_t RefusedPercent = 0;
  uint32_t LostPercent = 0;

private:
  static constexpr uint32_t Percent = 100;

  Utils::Outcome<uint64_t> append(const std::string &bytes, bool cut) {
    std::lock_guard lock(Mutex);
    uint32_t draw = static_cast<uint32_t>(Random() % Percent);
    if (cut || draw < RefusedPercent)
      return Utils::failure(Utils::Errc::Unavailable, "refused");
    Entries.push_back(bytes);
    Changed.notify_all();
    if (draw < RefusedPercent + LostPercent)
      return Utils::failure(Utils::Errc::UnknownResult, "answer lost");
    return Entries.size() - 1;
  }

  Utils::Outcome<Environment::LogRead> read(uint64_t from, uint32_t max,
                                            bool cut) {
    constexpr std::chrono::milliseconds wait(20);
    std::unique_lock lock(Mutex);
    Changed.wait_for(lock, wait, [&] { return Entries.size() > from; });
    if (cut)
      return Utils::failure(Utils::Errc::Unavailable, "cut off");
    Environment::LogRead read;
    read.NextOffset = Entries.size();
    for (uint64_t i = from; i < Entries.size() && i < from + max; ++i)
      read.Entries.push_back({i, Entries[i]});
    return read;
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<std::string> Entries;
  std::mt19937_64 Random;
};

#endif // TESTS_MEMORYLOG_H
