#ifndef UTILS_EVENTLOG_H
#define UTILS_EVENTLOG_H

#include "utils/clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Utils {

enum class EventLevel : uint8_t { Info, Warning, Error };

std::string_view levelName(EventLevel level);

/// Lines of one event name that were held back.
struct Suppressed {
  std::string Name;
  uint64_t Lines = 0;
};

/// Bounds the lines that each event may write in a second. What failed has a
/// budget of its own, so that routine lines cannot crowd it out.
class EventBudget {
public:
  /// Lines of one event and level in a second. 1,000 lines of 250 bytes from
  /// each of the five events of a request are 1.3 MB/s.
  static constexpr uint32_t LinesPerSecond = 1000;

  /// Whether one more line may be written at `now`; counts it if not.
  bool take(std::string_view name, EventLevel level, TimePoint now);
  /// What was held back in seconds that are over at `now`, and forgets it.
  std::vector<Suppressed> collect(TimePoint now);

private:
  struct Period {
    TimePoint End;
    uint32_t Lines = 0;
    uint64_t HeldBack = 0;
  };
  using Key = std::pair<std::string, EventLevel>;

  std::map<Key, Period, std::less<>> Periods;
};

/// Writes the event lines of a process to a descriptor from a thread of its
/// own. Who reports an event never waits for the reader of the lines: a line
/// that finds the ring full is dropped and counted, and the count is written
/// once there is room.
class EventLog {
public:
  /// Lines waiting for the reader; at 250 bytes a line 2 MB.
  static constexpr size_t RingLines = 8192;

  /// While it lives, Event writes through it. `process` stands on every line.
  /// The descriptor stays open. One log at a time.
  EventLog(int descriptor, std::string process);
  /// Writes what is held, at most until half a second from now.
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  void report(EventLevel level, std::string_view name,
              const std::string &pairs);

private:
  struct Content;
  std::unique_ptr<Content> Data;
};

namespace Internal {
/// Writes through the process's EventLog, or to glog when there is none.
void report(EventLevel level, std::string_view name, const std::string &pairs);
} // namespace Internal

} // namespace Utils

#endif // UTILS_EVENTLOG_H
