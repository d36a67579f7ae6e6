#include "gateway/topicfeed.h"

#include <doctest/doctest.h>

#include <map>

using namespace Gateway;
using namespace std::chrono_literals;

namespace {

/// A store whose topic has one key per page, and a feed that reads it.
struct PagedTopic {
  PagedTopic() {
    FakeStore.ReadPage = [this](Topic, const std::string &after,
                                Utils::TimePoint, const Store::PageDone &done) {
      ++Calls[after];
      asio::post(Loop, [this, after, done] { answer(after, done); });
    };
    FakeStore.ReadFrom = [this](Topic, uint64_t from, Utils::Milliseconds,
                                Utils::TimePoint, const Store::ReadDone &done) {
      ReadFrom = from;
      asio::post(Loop, [this, from, done] { answerLogRead(from, done); });
    };
  }

  void answer(const std::string &after, const Store::PageDone &done) {
    if (OnAnswer)
      OnAnswer(after);
    if (Failures[after] > 0) {
      --Failures[after];
      return done(Utils::failure(Utils::Errc::Unavailable, "too many reads"));
    }
    size_t page = after.empty() ? 0 : size_t(after[0] - 'a') + 1;
    std::string key(1, char('a' + page));
    TopicPage out{End++, {{key, "value"}}, page + 1 < Pages ? key : ""};
    done(std::move(out));
  }

  /// Answers with one record at a time up to LogEnd.
  void answerLogRead(uint64_t from, const Store::ReadDone &done) const {
    if (from == FailingOffset)
      return done(Utils::failure(LogFailure, "cannot be taken in"));
    if (from >= LogEnd)
      return done(TopicRead{from, {}, from});
    done(TopicRead{from + 1, {{"k", "value"}}, LogEnd});
  }

  void runUntil(const std::function<bool()> &condition) {
    Feed.start(Utils::BootClock::now());
    while (!condition() && Loop.run_one() > 0)
      continue;
  }

  asio::io_context Loop;
  Store FakeStore;
  size_t Pages = 4;
  uint64_t End = 100;
  std::map<std::string, int> Failures;
  std::map<std::string, int> Calls;
  std::function<void(const std::string &after)> OnAnswer;
  uint64_t ReadFrom = 0;
  Utils::Milliseconds MaxWait{0};
  std::vector<std::vector<TopicRecord>> Snapshots;
  uint64_t LogEnd = 0;
  std::optional<uint64_t> FailingOffset;
  Utils::Errc LogFailure = Utils::Errc::Corrupt;
  /// Until when the feed was complete as each log read was applied.
  std::vector<Utils::TimePoint> CompleteAtLogRead;
  TopicFeed Feed{Loop,
                 FakeStore,
                 {Topic::Endpoints, [this] { return MaxWait; }, 1ms},
                 [this](const auto &records, bool isSnapshot) {
                   if (isSnapshot)
                     Snapshots.push_back(records);
                   else
                     CompleteAtLogRead.push_back(Feed.completeUntil());
                 }};
};

} // namespace

TEST_CASE_FIXTURE(PagedTopic,
                  "feed whose read of a page fails reads that page again "
                  "and no earlier one") {
  Failures["b"] = 2;
  runUntil([this] { return !Snapshots.empty() && ReadFrom > 0; });
  REQUIRE(Snapshots.size() == 1);
  CHECK(Snapshots[0].size() == Pages);
  CHECK(Snapshots[0][3].Key == "d");
  CHECK(Calls[""] == 1);
  CHECK(Calls["a"] == 1);
  CHECK(Calls["b"] == 3);
  CHECK(Calls["c"] == 1);
}

TEST_CASE_FIXTURE(PagedTopic,
                  "feed that has read all pages continues from the end that "
                  "the first page named") {
  runUntil([this] { return ReadFrom > 0; });
  CHECK(ReadFrom == 100);
}

TEST_CASE_FIXTURE(
    PagedTopic,
    "feed that gets the holder's snapshot between two pages restarts "
    "with the first page") {
  OnAnswer = [this](const std::string &after) {
    if (after != "b" || Calls["b"] > 1)
      return;
    Utils::TimePoint now = Utils::BootClock::now();
    Feed.noteHolderSnapshot(now, now);
    Feed.resume();
  };
  runUntil([this] { return !Snapshots.empty(); });
  REQUIRE(Snapshots.size() == 1);
  CHECK(Snapshots[0].size() == Pages);
  CHECK(Snapshots[0][0].Key == "a");
  CHECK(Calls[""] == 2);
}

TEST_CASE_FIXTURE(PagedTopic,
                  "feed that awaits the rest of the holder's snapshot does not "
                  "read the store") {
  Utils::TimePoint now = Utils::BootClock::now();
  Feed.start(now);
  Feed.awaitHolderSnapshot(now, now);
  Loop.run_for(50ms);
  CHECK(Calls.empty());
  Feed.resume();
  while (Snapshots.empty() && Loop.run_one() > 0)
    continue;
  CHECK(Snapshots.size() == 1);
}

TEST_CASE_FIXTURE(PagedTopic, "feed whose holder has an outdated snapshot "
                              "reads the store") {
  Utils::TimePoint now = Utils::BootClock::now();
  Feed.awaitHolderSnapshot(now - 1h, now);
  runUntil([this] { return !Snapshots.empty(); });
  CHECK(Snapshots.size() == 1);
}

// The answer to an older read would undo newer records.
TEST_CASE_FIXTURE(PagedTopic,
                  "feed that gets relayed records while a read is in flight "
                  "drops its answer and continues from their offset") {
  LogEnd = End + 3;
  runUntil([this] { return ReadFrom > 0; });
  size_t before = CompleteAtLogRead.size();
  CHECK(Feed.noteRelayed({{}, LogEnd}, Utils::BootClock::now()));
  CHECK_FALSE(Feed.noteRelayed({{}, LogEnd}, Utils::BootClock::now()));
  runUntil([this] { return ReadFrom >= LogEnd; });
  CHECK(CompleteAtLogRead.size() == before);
  CHECK(Feed.next() == LogEnd);
}

TEST_CASE_FIXTURE(PagedTopic,
                  "feed lacks the holder's records only after its own read has "
                  "failed or is overdue") {
  runUntil([this] { return ReadFrom > 0; });
  // Reads are never answered from here on.
  FakeStore.ReadFrom = [](Topic, uint64_t, Utils::Milliseconds,
                          Utils::TimePoint, const Store::ReadDone &) {};
  Utils::TimePoint now = Utils::BootClock::now();
  CHECK_FALSE(Feed.lacksHolderRecords(now + 1h));
  Feed.noteHolderOffset({{}, Feed.next() + 1}, now, now);
  CHECK_FALSE(Feed.lacksHolderRecords(Utils::BootClock::now()));
  CHECK(Feed.lacksHolderRecords(Utils::BootClock::now() + 1s));
  CHECK(Feed.noteRelayed({{}, Feed.next() + 1}, now));
  CHECK_FALSE(Feed.lacksHolderRecords(Utils::BootClock::now() + 1s));
}

// Issue 38: what was still to be read counted as read.
TEST_CASE_FIXTURE(PagedTopic,
                  "feed is complete only when the last of several log reads "
                  "has been applied") {
  LogEnd = End + 3;
  runUntil([this] { return CompleteAtLogRead.size() == 3; });
  CHECK(CompleteAtLogRead[0] == CompleteAtLogRead[1]);
  CHECK(CompleteAtLogRead[2] > CompleteAtLogRead[1]);
  CHECK(Feed.next() == LogEnd);
}

// Issue 38: positions of an era mean nothing in the next one.
TEST_CASE_FIXTURE(PagedTopic,
                  "feed that learns of a new era drops the answer to a read of "
                  "the era before and reads a snapshot") {
  Feed.startEra({1}, {}, true);
  runUntil([this] { return ReadFrom > 0; });
  Store::ReadDone late;
  FakeStore.ReadFrom = [&](Topic, uint64_t, Utils::Milliseconds,
                           Utils::TimePoint,
                           const Store::ReadDone &done) { late = done; };
  runUntil([&] { return late != nullptr; });
  auto before = std::exchange(late, nullptr);
  Feed.startEra({2}, {}, true);
  CHECK(Feed.hasSnapshot());
  CHECK(Feed.position() == StoreEra::Position{{2}, 0});
  size_t snapshots = Snapshots.size();
  size_t logReads = CompleteAtLogRead.size();
  before(TopicRead{5000, {{"k", "old"}}, 5000});
  CHECK(CompleteAtLogRead.size() == logReads);
  runUntil([&] { return Snapshots.size() > snapshots; });
  CHECK(Feed.position().Offset < 5000);
}

// An offset of the era before compares as newer than all of the present one.
TEST_CASE_FIXTURE(PagedTopic,
                  "feed that gets an offset of an earlier era from the holder "
                  "neither postpones its read nor lacks records") {
  Feed.startEra({2}, {}, true);
  runUntil([this] { return ReadFrom > 0; });
  Utils::TimePoint now = Utils::BootClock::now();
  Feed.noteHolderOffset({{1}, 5000}, now, now);
  CHECK_FALSE(Feed.lacksHolderRecords(now + 1h));
  CHECK_FALSE(Feed.noteRelayed({{1}, 5000}, now));
  CHECK(Feed.next() < 5000);
  CHECK(Feed.noteRelayed({{2}, 5000}, now));
}

// The copy lacks records that their writers write again.
TEST_CASE_FIXTURE(PagedTopic,
                  "feed that has learned of a new era reads snapshots as "
                  "additions, and a whole one at the end of the retention") {
  Feed.startEra({1}, {}, true);
  runUntil([this] { return ReadFrom > 0; });
  size_t before = Snapshots.size();
  int pages = Calls[""];
  Utils::TimePoint end = Utils::BootClock::now() + 200ms;
  Feed.startEra({2}, end, true);
  runUntil([&] { return Calls[""] > pages && Feed.isComplete(); });
  CHECK(Snapshots.size() == before);
  runUntil([&] { return Snapshots.size() > before; });
  CHECK(Utils::BootClock::now() >= end);
}

// Issue 50: the same read was repeated for ever, and later records were lost.
TEST_CASE_FIXTURE(PagedTopic,
                  "feed whose read returns what cannot be taken in reads a "
                  "snapshot, and continues from its end") {
  SUBCASE("since it cannot be decoded") { LogFailure = Utils::Errc::Corrupt; }
  SUBCASE("since it is too large") {
    LogFailure = Utils::Errc::ResourceExhausted;
  }
  FailingOffset = End;
  runUntil([&] { return ReadFrom > *FailingOffset; });
  CHECK(Snapshots.size() == 2);
}

// Guards against a snapshot at each failure of the store.
TEST_CASE_FIXTURE(PagedTopic, "feed whose read fails repeats it") {
  LogFailure = Utils::Errc::Unavailable;
  FailingOffset = End;
  int reads = 0;
  runUntil([&] { return ReadFrom > 0 && ++reads > 20; });
  CHECK(Snapshots.size() == 1);
  CHECK(ReadFrom == *FailingOffset);
}
