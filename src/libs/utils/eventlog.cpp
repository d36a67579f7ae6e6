#include "utils/eventlog.h"

#include "utils/blockingqueue.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <ctime>
#include <glog/logging.h>
#include <iomanip>
#include <mutex>
#include <poll.h>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace Utils {

namespace {

constexpr std::array<std::string_view, 3> LevelNames = {"info", "warning",
                                                        "error"};
constexpr Milliseconds RateLimitWindow(1000);
/// Longest time for which a stopping process waits for a stalled reader.
constexpr Milliseconds StopTimeout(500);
/// Interval at which the writer checks for a stop while the pipe is full.
constexpr Milliseconds PollInterval(100);
/// PIPE_BUF on Linux. A pipe that polls as writable accepts this many bytes
/// without blocking (POSIX).
constexpr size_t AtomicPipeBytes = 4096;

/// The EventLog of the process, or null.
std::atomic<EventLog *> Current = nullptr;

/// Start of a line: `time=2026-01-31T08:15:00.123Z level=LEVEL `, in UTC.
std::string linePrefix(EventLevel level) {
  constexpr int64_t msPerSecond = 1000;
  int64_t ms = Clock().WallMs();
  auto seconds = static_cast<std::time_t>(ms / msPerSecond);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::ostringstream out;
  out << "time=" << std::put_time(&utc, "%Y-%m-%dT%H:%M:%S.") << std::setw(3)
      << std::setfill('0') << ms % msPerSecond << "Z level=" << levelName(level)
      << ' ';
  return out.str();
}

google::LogSeverity severityOf(EventLevel level) {
  switch (level) {
  case EventLevel::Info:
    return google::GLOG_INFO;
  case EventLevel::Warning:
    return google::GLOG_WARNING;
  case EventLevel::Error:
    break;
  }
  return google::GLOG_ERROR;
}

/// Serializes the calls: glog reads the time zone for each line, which the C
/// library guards by an internal lock that thread sanitizers do not see.
void writeToGlog(EventLevel level, const std::string &line) {
  static std::mutex mutex;
  std::lock_guard lock(mutex);
  google::LogMessage(__FILE__, __LINE__, severityOf(level)).stream() << line;
}

} // namespace

std::string_view levelName(EventLevel level) {
  return LevelNames[static_cast<size_t>(level)];
}

bool EventRateLimiter::tryAcquire(std::string_view name, EventLevel level,
                                  TimePoint now) {
  auto [it, isNew] = Windows.try_emplace(Key(name, level));
  Window &window = it->second;
  if (now >= window.End) {
    window.End = now + RateLimitWindow;
    window.Lines = 0;
  }
  if (++window.Lines <= LinesPerSecond)
    return true;
  ++window.Suppressed;
  return false;
}

std::vector<SuppressedEvent> EventRateLimiter::takeSuppressed(TimePoint now) {
  std::vector<SuppressedEvent> all;
  for (auto &[key, window] : Windows) {
    if (window.Suppressed == 0 || now < window.End)
      continue;
    all.push_back({key.first, window.Suppressed});
    window.Suppressed = 0;
  }
  return all;
}

struct EventLog::Impl {
  Impl(int descriptor, std::string processName)
      : Descriptor(descriptor), ProcessName(std::move(processName)) {}

  void run();
  std::string formatLine(EventLevel level, std::string_view name,
                         const std::string &fields) const;
  void reportLostLines();
  bool write(std::string_view bytes);
  bool waitUntilWritable();

  int Descriptor;
  std::string ProcessName;
  BlockingQueue<std::string> Lines{QueueCapacity};
  std::mutex RateLimiterMutex;
  EventRateLimiter RateLimiter;
  std::atomic<uint64_t> Dropped = 0;
  std::atomic<bool> Stopping = false;
  TimePoint StopDeadline;
  std::thread Writer;
};

std::string EventLog::Impl::formatLine(EventLevel level, std::string_view name,
                                       const std::string &fields) const {
  std::string line = linePrefix(level) + "daemon=" + ProcessName + " event=";
  line += name;
  return line + fields + '\n';
}

/// Bypasses the queue, which may be full or closed.
void EventLog::Impl::reportLostLines() {
  std::vector<SuppressedEvent> suppressed;
  {
    std::lock_guard lock(RateLimiterMutex);
    suppressed = RateLimiter.takeSuppressed(std::chrono::steady_clock::now());
  }
  for (const SuppressedEvent &it : suppressed)
    if (!write(formatLine(EventLevel::Warning, "lines_suppressed",
                          " of=" + it.Name +
                              " lines=" + std::to_string(it.Lines))))
      Dropped += it.Lines;
  uint64_t n = Dropped.exchange(0);
  if (n > 0 && !write(formatLine(EventLevel::Warning, "lines_dropped",
                                 " lines=" + std::to_string(n))))
    Dropped += n;
}

/// Returns false on an error, or when the process stops and the reader stays
/// stalled until the stop deadline.
bool EventLog::Impl::waitUntilWritable() {
  while (!Stopping || std::chrono::steady_clock::now() < StopDeadline) {
    pollfd it{Descriptor, POLLOUT, 0};
    int n = poll(&it, 1, static_cast<int>(PollInterval.count()));
    if (n > 0)
      return (it.revents & POLLOUT) != 0;
    if (n < 0 && errno != EINTR)
      return false;
  }
  return false;
}

bool EventLog::Impl::write(std::string_view bytes) {
  while (!bytes.empty()) {
    if (!waitUntilWritable())
      return false;
    std::string_view chunk = bytes.substr(0, AtomicPipeBytes);
    ssize_t n = ::write(Descriptor, chunk.data(), chunk.size());
    if (n < 0 && errno != EINTR && errno != EAGAIN)
      return false;
    if (n > 0)
      bytes.remove_prefix(static_cast<size_t>(n));
  }
  return true;
}

void EventLog::Impl::run() {
  bool running = true;
  while (running) {
    auto line =
        Lines.popUntil(std::chrono::steady_clock::now() + RateLimitWindow);
    if (line && !write(*line))
      ++Dropped;
    reportLostLines();
    running = line || !Lines.closed();
  }
}

EventLog::EventLog(int descriptor, std::string processName)
    : Pimpl(std::make_unique<Impl>(descriptor, std::move(processName))) {
  Pimpl->Writer = std::thread([this] { Pimpl->run(); });
  Current = this;
}

EventLog::~EventLog() {
  Current = nullptr;
  Pimpl->StopDeadline = std::chrono::steady_clock::now() + StopTimeout;
  Pimpl->Stopping = true;
  Pimpl->Lines.close();
  Pimpl->Writer.join();
}

void EventLog::report(EventLevel level, std::string_view name,
                      const std::string &fields) {
  {
    std::lock_guard lock(Pimpl->RateLimiterMutex);
    if (!Pimpl->RateLimiter.tryAcquire(name, level,
                                       std::chrono::steady_clock::now()))
      return;
  }
  if (!Pimpl->Lines.tryPush(Pimpl->formatLine(level, name, fields)))
    ++Pimpl->Dropped;
}

void Internal::report(EventLevel level, std::string_view name,
                      const std::string &fields) {
  if (EventLog *log = Current) {
    log->report(level, name, fields);
    return;
  }
  std::string line = linePrefix(level) + "event=";
  line += name;
  writeToGlog(level, line + fields);
}

} // namespace Utils
