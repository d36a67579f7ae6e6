#include "utils/utils.h"

#include <doctest/doctest.h>
#include <future>
#include <unistd.h>

using namespace Utils;

namespace {

constexpr int EventNames = 40;

/// EventLog that writes into a pipe, which is not read before finish().
struct PipeLog {
  PipeLog() {
    int fds[2] = {-1, -1};
    REQUIRE(pipe(fds) == 0);
    ReadEnd = fds[0];
    WriteEnd = fds[1];
    Log = std::make_unique<EventLog>(WriteEnd, "d0");
  }
  ~PipeLog() {
    Log.reset();
    close(ReadEnd);
    if (WriteEnd >= 0)
      close(WriteEnd);
  }
  /// Logs more lines than the queue and the pipe can hold, every event within
  /// its rate limit. Returns the number of lines.
  static size_t overflowQueue() {
    size_t n = 0;
    for (int name = 0; name < EventNames; ++name)
      for (uint32_t i = 0; i < EventRateLimiter::LinesPerSecond; ++i, ++n)
        Event("event" + std::to_string(name)).with("i", i).info();
    return n;
  }
  /// Destroys the log and returns everything that it wrote to the pipe.
  std::string finish() {
    auto text = std::async(std::launch::async, [this] {
      std::string all;
      char buf[4096];
      for (ssize_t n = 0; (n = read(ReadEnd, buf, sizeof(buf))) > 0;)
        all.append(buf, static_cast<size_t>(n));
      return all;
    });
    Log.reset();
    close(std::exchange(WriteEnd, -1));
    return text.get();
  }

  int ReadEnd = -1;
  int WriteEnd = -1;
  std::unique_ptr<EventLog> Log;
};

/// Number of occurrences of `part`.
size_t count(const std::string &text, const std::string &part) {
  size_t n = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1))
    ++n;
  return n;
}

/// Sum of the `lines` fields of all lines of the event.
uint64_t sumOfLines(const std::string &text, const std::string &event) {
  uint64_t sum = 0;
  std::string prefix = "event=" + event + " lines=";
  for (size_t at = text.find(prefix); at != std::string::npos;
       at = text.find(prefix, at + 1))
    sum += std::stoull(text.substr(at + prefix.size()));
  return sum;
}

} // namespace

TEST_CASE_FIXTURE(PipeLog, "event, logged, is one line with timestamp, level, "
                           "daemon and escaped values") {
  Event("request").with("id", "a b").with("ms", 7).warning();
  std::string text = finish();
  CHECK(text.rfind("time=", 0) == 0);
  CHECK(
      text.find("Z level=warning daemon=d0 event=request id=\"a b\" ms=7\n") !=
      std::string::npos);
}

TEST_CASE_FIXTURE(PipeLog, "reader, stalls, does not block logging and the "
                           "dropped lines are counted") {
  size_t reported = overflowQueue();
  std::string text = finish();
  size_t written = count(text, " i=");
  CHECK(written < reported);
  CHECK(written + sumOfLines(text, "lines_dropped") == reported);
}

TEST_CASE_FIXTURE(PipeLog,
                  "reader, stalls for good, does not block the destructor") {
  overflowQueue();
  Log.reset();
  CHECK(Log == nullptr);
}

TEST_CASE("event, exceeds its rate limit, is suppressed and counted once") {
  EventRateLimiter limiter;
  TimePoint now{};
  uint32_t allowed = 0;
  for (uint32_t i = 0; i < EventRateLimiter::LinesPerSecond + 7; ++i)
    allowed += limiter.tryAcquire("request", EventLevel::Info, now) ? 1 : 0;
  CHECK(allowed == EventRateLimiter::LinesPerSecond);
  CHECK(limiter.tryAcquire("request", EventLevel::Warning, now));
  CHECK(limiter.tryAcquire("attempt", EventLevel::Info, now));
  CHECK(limiter.takeSuppressed(now).empty());
  now += std::chrono::seconds(1);
  auto suppressed = limiter.takeSuppressed(now);
  REQUIRE(suppressed.size() == 1);
  CHECK(suppressed[0].Name == "request");
  CHECK(suppressed[0].Lines == 7);
  CHECK(limiter.takeSuppressed(now).empty());
  CHECK(limiter.tryAcquire("request", EventLevel::Info, now));
}

TEST_CASE_FIXTURE(PipeLog,
                  "dependency, fails repeatedly and recovers, is logged "
                  "once each") {
  TimePoint now{};
  Clock clock;
  clock.Now = [&] { return now; };
  DependencyMonitor monitor("log", clock);
  monitor.recordSuccess();
  monitor.recordFailure("refused");
  monitor.recordFailure("refused again");
  now += Milliseconds(1500);
  monitor.recordSuccess();
  monitor.recordSuccess();
  std::string text = finish();
  CHECK(count(text, "event=dependency_lost name=log why=refused\n") == 1);
  CHECK(count(text, "event=dependency_regained name=log lost_ms=1500\n") == 1);
  CHECK(count(text, "event=") == 2);
}
