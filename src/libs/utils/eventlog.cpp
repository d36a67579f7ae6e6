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
constexpr Milliseconds BudgetPeriod(1000);
/// How long a stopping process waits for a reader that does not read.
constexpr Milliseconds StopTimeout(500);
/// How often the writer looks whether the process stops, while nobody reads.
constexpr Milliseconds PollPeriod(100);
/// A pipe that polls as writable takes this much without blocking (POSIX).
constexpr size_t AtomicPipeBytes = 4096;

std::atomic<EventLog *> Current = nullptr;

/// `time=2026-01-31T08:15:00.123Z level=LEVEL `, in UTC.
std::string stamp(EventLevel level) {
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

/// glog reads the time zone for each line, which the C library does under a
/// lock of its own that sanitizers do not see.
void reportToGlog(EventLevel level, const std::string &line) {
  static std::mutex mutex;
  std::lock_guard lock(mutex);
  google::LogMessage(__FILE__, __LINE__, severityOf(level)).stream() << line;
}

} // namespace

std::string_view levelName(EventLevel level) {
  return LevelNames[static_cast<size_t>(level)];
}

bool EventBudget::take(std::string_view name, EventLevel level, TimePoint now) {
  auto [it, isNew] = Periods.try_emplace(Key(name, level));
  Period &period = it->second;
  if (now >= period.End) {
    period.End = now + BudgetPeriod;
    period.Lines = 0;
  }
  if (++period.Lines <= LinesPerSecond)
    return true;
  ++period.HeldBack;
  return false;
}

std::vector<Suppressed> EventBudget::collect(TimePoint now) {
  std::vector<Suppressed> all;
  for (auto &[key, period] : Periods) {
    if (period.HeldBack == 0 || now < period.End)
      continue;
    all.push_back({key.first, period.HeldBack});
    period.HeldBack = 0;
  }
  return all;
}

struct EventLog::Content {
  Content(int descriptor, std::string process)
      : Descriptor(descriptor), Process(std::move(process)) {}

  void run();
  std::string lineOf(EventLevel level, std::string_view name,
                     const std::string &pairs) const;
  void reportHeldBack();
  bool write(std::string_view bytes);
  bool awaitReader();

  int Descriptor;
  std::string Process;
  BoundedRing<std::string> Lines{RingLines};
  std::mutex BudgetMutex;
  EventBudget Budget;
  std::atomic<uint64_t> Dropped = 0;
  std::atomic<bool> Stopping = false;
  TimePoint StopBy;
  std::thread Writer;
};

std::string EventLog::Content::lineOf(EventLevel level, std::string_view name,
                                      const std::string &pairs) const {
  std::string line = stamp(level) + "daemon=" + Process + " event=";
  line += name;
  return line + pairs + '\n';
}

/// Writes past the ring, which may be full or closed.
void EventLog::Content::reportHeldBack() {
  std::vector<Suppressed> heldBack;
  {
    std::lock_guard lock(BudgetMutex);
    heldBack = Budget.collect(std::chrono::steady_clock::now());
  }
  for (const Suppressed &it : heldBack)
    if (!write(lineOf(EventLevel::Warning, "lines_suppressed",
                      " of=" + it.Name + " lines=" + std::to_string(it.Lines))))
      Dropped += it.Lines;
  uint64_t n = Dropped.exchange(0);
  if (n > 0 && !write(lineOf(EventLevel::Warning, "lines_dropped",
                             " lines=" + std::to_string(n))))
    Dropped += n;
}

/// False when the process stops and nobody reads.
bool EventLog::Content::awaitReader() {
  while (!Stopping || std::chrono::steady_clock::now() < StopBy) {
    pollfd it{Descriptor, POLLOUT, 0};
    int n = poll(&it, 1, static_cast<int>(PollPeriod.count()));
    if (n > 0)
      return (it.revents & POLLOUT) != 0;
    if (n < 0 && errno != EINTR)
      return false;
  }
  return false;
}

bool EventLog::Content::write(std::string_view bytes) {
  while (!bytes.empty()) {
    if (!awaitReader())
      return false;
    std::string_view part = bytes.substr(0, AtomicPipeBytes);
    ssize_t n = ::write(Descriptor, part.data(), part.size());
    if (n < 0 && errno != EINTR && errno != EAGAIN)
      return false;
    if (n > 0)
      bytes.remove_prefix(static_cast<size_t>(n));
  }
  return true;
}

void EventLog::Content::run() {
  bool isOpen = true;
  while (isOpen) {
    auto line = Lines.popUntil(std::chrono::steady_clock::now() + BudgetPeriod);
    if (line && !write(*line))
      ++Dropped;
    reportHeldBack();
    isOpen = line || !Lines.closed();
  }
}

EventLog::EventLog(int descriptor, std::string process)
    : Data(std::make_unique<Content>(descriptor, std::move(process))) {
  Data->Writer = std::thread([this] { Data->run(); });
  Current = this;
}

EventLog::~EventLog() {
  Current = nullptr;
  Data->StopBy = std::chrono::steady_clock::now() + StopTimeout;
  Data->Stopping = true;
  Data->Lines.close();
  Data->Writer.join();
}

void EventLog::report(EventLevel level, std::string_view name,
                      const std::string &pairs) {
  {
    std::lock_guard lock(Data->BudgetMutex);
    if (!Data->Budget.take(name, level, std::chrono::steady_clock::now()))
      return;
  }
  if (!Data->Lines.tryPush(Data->lineOf(level, name, pairs)))
    ++Data->Dropped;
}

void Internal::report(EventLevel level, std::string_view name,
                      const std::string &pairs) {
  if (EventLog *log = Current) {
    log->report(level, name, pairs);
    return;
  }
  std::string line = stamp(level) + "event=";
  line += name;
  reportToGlog(level, line + pairs);
}

} // namespace Utils
