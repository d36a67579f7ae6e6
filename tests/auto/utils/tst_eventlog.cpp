#include "utils/utils.h"

#include <doctest/doctest.h>
#include <future>
#include <unistd.h>

using namespace Utils;

namespace {

constexpr int Names = 40;

/// A log that writes into a pipe, which is read only when a test says so.
struct PipeLog {
  PipeLog() {
    int ends[2] = {-1, -1};
    REQUIRE(pipe(ends) == 0);
    ReadEnd = ends[0];
    WriteEnd = ends[1];
    Log = std::make_unique<EventLog>(WriteEnd, "d0");
  }
  ~PipeLog() {
    Log.reset();
    close(ReadEnd);
    if (WriteEnd >= 0)
      close(WriteEnd);
  }
  /// Reports more lines than the ring holds, each event within its budget.
  static size_t reportMoreThanFits() {
    size_t n = 0;
    for (int name = 0; name < Names; ++name)
      for (uint32_t i = 0; i < EventBudget::LinesPerSecond; ++i, ++n)
        Event("event" + std::to_string(name)).with("i", i).info();
    return n;
  }
  /// Ends the log and returns all that was written to the pipe.
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

size_t count(const std::string &text, const std::string &part) {
  size_t n = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1))
    ++n;
  return n;
}

uint64_t sumOf(const std::string &text, const std::string &event) {
  uint64_t sum = 0;
  std::string begin = "event=" + event + " lines=";
  for (size_t at = text.find(begin); at != std::string::npos;
       at = text.find(begin, at + 1))
    sum += std::stoull(text.substr(at + begin.size()));
  return sum;
}

} // namespace

TEST_CASE_FIXTURE(PipeLog, "event, reported, is one line with time, level, "
                           "daemon and escaped values") {
  Event("request").with("id", "a b").with("ms", 7).warning();
  std::string text = finish();
  CHECK(text.rfind("time=", 0) == 0);
  CHECK(
      text.find("Z level=warning daemon=d0 event=request id=\"a b\" ms=7\n") !=
      std::string::npos);
}

TEST_CASE_FIXTURE(PipeLog, "reader that stops reading, reports go on and the "
                           "lost lines are counted") {
  size_t reported = reportMoreThanFits();
  std::string text = finish();
  size_t written = count(text, " i=");
  CHECK(written < reported);
  CHECK(written + sumOf(text, "lines_dropped") == reported);
}

TEST_CASE_FIXTURE(PipeLog, "reader that never reads again, the log ends") {
  reportMoreThanFits();
  Log.reset();
  CHECK(Log == nullptr);
}

TEST_CASE("event over its budget, is held back and counted once") {
  EventBudget budget;
  TimePoint now{};
  uint32_t taken = 0;
  for (uint32_t i = 0; i < EventBudget::LinesPerSecond + 7; ++i)
    taken += budget.take("request", EventLevel::Info, now) ? 1 : 0;
  CHECK(taken == EventBudget::LinesPerSecond);
  CHECK(budget.take("request", EventLevel::Warning, now));
  CHECK(budget.take("attempt", EventLevel::Info, now));
  CHECK(budget.collect(now).empty());
  now += std::chrono::seconds(1);
  auto heldBack = budget.collect(now);
  REQUIRE(heldBack.size() == 1);
  CHECK(heldBack[0].Name == "request");
  CHECK(heldBack[0].Lines == 7);
  CHECK(budget.collect(now).empty());
  CHECK(budget.take("request", EventLevel::Info, now));
}

TEST_CASE_FIXTURE(PipeLog, "dependency, fails repeatedly and answers, is told "
                           "of once each") {
  TimePoint now{};
  Clock clock;
  clock.Now = [&] { return now; };
  Dependency log("log", clock);
  log.noteAnswer();
  log.noteFailure("refused");
  log.noteFailure("refused again");
  now += Milliseconds(1500);
  log.noteAnswer();
  log.noteAnswer();
  std::string text = finish();
  CHECK(count(text, "event=dependency_lost name=log why=refused\n") == 1);
  CHECK(count(text, "event=dependency_regained name=log lost_ms=1500\n") == 1);
  CHECK(count(text, "event=") == 2);
}
