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

/// Number of lines of one event that the rate limit suppressed.
struct SuppressedEvent {
  std::string Name;
  uint64_t Lines = 0;
};

/// Limits how many lines per second each event may log. Every level has a limit
/// of its own, so that routine lines cannot displace those of failures.
class EventRateLimiter {
public:
  /// Limit per event and level. With 1,000 lines of 250 bytes for each of the
  /// five events of a request, the log grows by at most 1.3 MB/s.
  static constexpr uint32_t LinesPerSecond = 1000;

  /// Returns whether another line may be logged at `now`, and counts it as
  /// suppressed otherwise.
  bool tryAcquire(std::string_view name, EventLevel level, TimePoint now);
  /// Returns and resets the suppressed counts of all windows that ended by
  /// `now`.
  std::vector<SuppressedEvent> takeSuppressed(TimePoint now);

private:
  /// One-second window of an event and level.
  struct Window {
    TimePoint End;
    uint32_t Lines = 0;
    uint64_t Suppressed = 0;
  };
  using Key = std::pair<std::string, EventLevel>;

  std::map<Key, Window, std::less<>> Windows;
};

/// Writes the event lines of a process to a file descriptor on a background
/// thread. report() never blocks on a slow reader of the descriptor: a line
/// that does not fit into the queue is dropped and counted, and the count is
/// logged once the reader catches up.
class EventLog {
public:
  /// Capacity of the queue in lines; 2 MB at 250 bytes a line.
  static constexpr size_t QueueCapacity = 8192;

  /// Makes this the log that Event writes to, until it is destroyed; only one
  /// may exist at a time. Every line carries `processName`. The descriptor is
  /// not closed.
  EventLog(int descriptor, std::string processName);
  /// Writes the queued lines, for at most half a second.
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  /// Queues a line; `fields` is the rest of it after the event name.
  void report(EventLevel level, std::string_view name,
              const std::string &fields);

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

namespace Internal {
/// Writes to the EventLog of the process, or to glog when there is none.
void report(EventLevel level, std::string_view name, const std::string &fields);
} // namespace Internal

} // namespace Utils

#endif // UTILS_EVENTLOG_H
