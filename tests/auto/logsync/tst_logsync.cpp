#include "memorylog.h"

#include "logsync/backoff.h"
#include "logsync/logsync.h"
#include "logsync/logsyncconstants.h"
#include "platform/platform.h"

#include "standins/logstandin.h"

#include <doctest/doctest.h>
#include <set>

using namespace LogSync;

namespace {

History::TableEdit edit(int i, size_t bytes = 10) {
  History::TableEdit edit;
  edit.EditId = "e" + std::to_string(i);
  edit.Row = {Table::RowKind::Model, "m" + std::to_string(i)};
  edit.Values = {
      {"weights", std::string(bytes, 'w')}, {"memory_mb", "1"}, {"teams", "*"}};
  return edit;
}

struct ReaderFixture {
  MemoryLog Log;
  History::State Writer;

  void append(const std::string &bytes) {
    uint64_t offset = *Log.append(bytes);
    History::applyAppend(Writer, offset, bytes);
  }
  void append(const History::Record &record) {
    append(History::encodeRecords({record}));
  }
  void edits(int from, int to) {
    for (int i = from; i < to; ++i)
      append(edit(i, 600));
  }
  uint64_t snapshot() {
    uint64_t covered = Writer.NextOffset;
    for (auto &chunk : History::makeSnapshot(Writer, Utils::randomId()))
      append(History::Record(std::move(chunk)));
    return covered;
  }
  bool equal(const History::StateStore &store) {
    return store.read([&](const History::State &state) {
      return History::sameState(state, Writer);
    });
  }
};

} // namespace

TEST_CASE_FIXTURE(ReaderFixture,
                  "reader with nothing begins with the newest snapshot") {
  edits(0, 900);
  snapshot();
  edits(900, 1500);
  uint64_t covered = snapshot();
  edits(1500, 2600);
  Log.expireBefore(covered);
  auto start = findStart(Log.service());
  REQUIRE(start);
  CHECK(start->Content.NextOffset == covered);
  History::StateStore store;
  Follower follower(Log.service(), store, {});
  for (int i = 0; i < 10 && !follower.caughtUp(); ++i)
    REQUIRE(follower.readOnce());
  CHECK(equal(store));
}

TEST_CASE_FIXTURE(ReaderFixture, "broken newest snapshot is passed over for "
                                 "the whole one before it") {
  edits(0, 600);
  uint64_t covered = snapshot();
  edits(600, 1300);
  auto broken = History::makeSnapshot(Writer, "broken");
  REQUIRE(broken.size() > 1);
  for (size_t i = 1; i < broken.size(); ++i)
    append(History::Record(broken[i]));
  auto wrong = History::makeSnapshot(Writer, "wrong");
  wrong[0].Data[9] ^= 1;
  for (auto &chunk : wrong)
    append(History::Record(chunk));
  auto start = findStart(Log.service());
  REQUIRE(start);
  CHECK(start->Content.NextOffset == covered);
}

TEST_CASE_FIXTURE(ReaderFixture,
                  "expired log without a whole snapshot gives no state") {
  edits(0, 10);
  Log.expireBefore(1);
  auto start = findStart(Log.service());
  REQUIRE_FALSE(start);
  CHECK(start.error().Code == Utils::Errc::OutOfRange);
  History::StateStore store;
  Follower follower(Log.service(), store, {});
  CHECK_FALSE(follower.readOnce());
  CHECK_FALSE(follower.caughtUp());
}

TEST_CASE_FIXTURE(ReaderFixture,
                  "reader overtaken by retention begins anew and agrees") {
  edits(0, 20);
  History::StateStore store;
  Follower follower(Log.service(), store, {});
  REQUIRE(follower.readOnce());
  edits(20, 900);
  uint64_t covered = snapshot();
  edits(900, 920);
  Log.expireBefore(covered);
  for (int i = 0; i < 4; ++i)
    REQUIRE(follower.readOnce());
  CHECK(equal(store));
}

TEST_CASE_FIXTURE(ReaderFixture, "answers that break the log's contract change "
                                 "nothing and the next good one is applied") {
  edits(0, 5);
  History::StateStore store;
  Follower follower(Log.service(), store, {});
  REQUIRE(follower.readOnce());
  edits(5, 10);
  std::vector<std::function<void(Environment::LogRead &)>> spoils = {
      [](auto &read) { read.Entries.erase(read.Entries.begin()); },
      [](auto &read) { std::swap(read.Entries[0], read.Entries[1]); },
      [](auto &read) { read.Entries[1].Offset = 0; },
      [](auto &read) { read.NextOffset = 7; },
      [](auto &read) { read.FirstRetained = 8; },
      [](auto &read) { read.Entries.clear(), read.NextOffset = 2; },
  };
  for (auto &spoil : spoils) {
    Log.Spoil = spoil;
    CHECK_FALSE(follower.readOnce());
    CHECK(store.read([](const auto &state) { return state.NextOffset; }) == 5);
  }
  Log.Spoil = nullptr;
  REQUIRE(follower.readOnce());
  CHECK(equal(store));
}

TEST_CASE(
    "append that log and peer both deliver is applied once and in order") {
  History::StateStore store;
  std::string bytes = History::encodeRecords({edit(1)});
  CHECK_FALSE(store.applyAppend(1, bytes));
  CHECK(store.applyAppend(0, bytes));
  CHECK_FALSE(store.applyAppend(0, "malformed"));
  CHECK_FALSE(store.replace(History::State()));
  CHECK(store.read([](const auto &state) {
    return state.NextOffset == 1 && state.SkippedRecords == 0;
  }));
}

TEST_CASE("log over HTTP: lost answer is unknown, expired offset names the "
          "first, garbage is corrupt") {
  Standins::LogStandin standin;
  uint16_t port = standin.start();
  auto log = Platform::makeHttpLog("127.0.0.1", port);
  httplib::Client control("127.0.0.1", port);
  REQUIRE(log.Append("a"));
  REQUIRE(control.Post("/control", R"({"lose_answers":1,"retain":1})",
                       "application/json"));
  auto lost = log.Append("b");
  REQUIRE_FALSE(lost);
  CHECK(lost.error().Code == Utils::Errc::UnknownResult);
  auto gone = log.Read(0, 1, 0);
  REQUIRE(gone);
  CHECK(gone->Entries.empty());
  CHECK(gone->FirstRetained == 1);
  CHECK(gone->NextOffset == 2);
  REQUIRE(control.Post("/control", R"({"garbage":true})", "application/json"));
  auto garbage = log.Read(1, 1, 0);
  REQUIRE_FALSE(garbage);
  CHECK(garbage.error().Code == Utils::Errc::Corrupt);
  standin.stop();
}

TEST_CASE("snapshot is due by appends and by the share of retention left") {
  CHECK_FALSE(snapshotDue({}, 0, 0));
  CHECK(snapshotDue({}, 0, 1));
  CHECK(snapshotDue({}, 5, 6));
  SnapshotPlace place{1000, 1001};
  CHECK_FALSE(
      snapshotDue(place, 0, 1000 + Constants::MaxAppendsPerSnapshot - 1));
  CHECK(snapshotDue(place, 0, 1000 + Constants::MaxAppendsPerSnapshot));
  CHECK_FALSE(snapshotDue(place, 800, 1100));
  CHECK(snapshotDue(place, 900, 1110));
  CHECK_FALSE(
      snapshotDue(place, 999, 1000 + Constants::MinAppendsPerSnapshot - 1));
}

namespace {

struct AppenderFixture {
  MemoryLog Log;
  History::StateStore Store;
  Follower Reader{Log.service(), Store, {}};
  Appender Writer{Log.service(), Store, {}};

  ~AppenderFixture() {
    Writer.stop();
    Store.close();
    Reader.stop();
  }
  static Utils::TimePoint soon() {
    return Utils::Clock().Now() + std::chrono::seconds(30);
  }
  size_t copiesOf(const std::string &id) {
    size_t n = 0;
    for (const std::string &bytes : Log.Records)
      for (const History::Record &record : History::decodeRecords(bytes))
        n += History::recordId(record) == id;
    return n;
  }
};

} // namespace

TEST_CASE_FIXTURE(AppenderFixture,
                  "append whose answer is lost is resolved by its id") {
  Log.LoseAnswers = 1;
  Reader.start();
  Writer.start();
  auto verdict = Writer.submitAndWait(edit(1), soon());
  REQUIRE(verdict);
  CHECK(verdict->Accepted);
  Writer.stop();
  CHECK(Store.read([](const auto &state) { return state.Audit.size(); }) == 1);
}

TEST_CASE_FIXTURE(AppenderFixture,
                  "record whose verdict came is not appended again") {
  Log.LoseAnswers = 1;
  Log.BeforeAppend = [&](std::vector<std::string> &records) {
    if (records.empty())
      Store.applyAppend(0, History::encodeRecords({edit(1)}));
  };
  Writer.start();
  REQUIRE(Writer.submitAndWait(edit(1), soon()));
  Writer.stop();
  CHECK(copiesOf("e1") == 1);
}

TEST_CASE_FIXTURE(AppenderFixture, "record beyond one append is refused") {
  Writer.start();
  auto verdict =
      Writer.submitAndWait(edit(1, Constants::MaxAppendBytes), soon());
  REQUIRE_FALSE(verdict);
  CHECK(verdict.error().Code == Utils::Errc::InvalidArgument);
  Writer.stop();
  CHECK(Log.size() == 0);
}

TEST_CASE_FIXTURE(AppenderFixture, "full ring refuses the next record") {
  for (size_t i = 0; i < Constants::AppendRingCapacity; ++i)
    REQUIRE(Writer.submit(edit(static_cast<int>(i)), soon()));
  auto verdict = Writer.submitAndWait(edit(-1), soon());
  REQUIRE_FALSE(verdict);
  CHECK(verdict.error().Code == Utils::Errc::ResourceExhausted);
}

TEST_CASE_FIXTURE(AppenderFixture,
                  "batch is split by bytes and keeps the order") {
  constexpr int n = 10;
  for (int i = 0; i < n; ++i)
    REQUIRE(Writer.submit(edit(i, 200'000), soon()));
  Writer.start();
  Writer.stop();
  int next = 0;
  for (const std::string &bytes : Log.Records) {
    CHECK(bytes.size() <= Constants::MaxAppendBytes);
    for (const History::Record &record : History::decodeRecords(bytes))
      CHECK(History::recordId(record) == "e" + std::to_string(next++));
  }
  CHECK(next == n);
  CHECK(Log.size() == 5);
}

TEST_CASE_FIXTURE(AppenderFixture,
                  "stop appends what was accepted before an outage ended") {
  Log.setOutage(true);
  Writer.start();
  REQUIRE(Writer.submit(edit(1), soon()));
  REQUIRE(Log.waitForAttempts(1));
  REQUIRE(Writer.submit(edit(2), soon()));
  std::thread stopper([&] { Writer.stop(); });
  REQUIRE(Log.waitForAttempts(2));
  Log.setOutage(false);
  stopper.join();
  CHECK(copiesOf("e1") == 1);
  CHECK(copiesOf("e2") == 1);
}

TEST_CASE("return after an outage is spread by jittered, bounded delays") {
  std::set<int64_t> drawn;
  for (uint64_t seed = 0; seed < 100; ++seed) {
    Internal::Backoff backoff(Constants::MinBackoff, Constants::MaxBackoff,
                              seed);
    for (int i = 0; i < 20; ++i)
      CHECK(backoff.next() <= Constants::MaxBackoff);
    Utils::Milliseconds last = backoff.next();
    CHECK(last >= Constants::MaxBackoff / 2);
    drawn.insert(last.count());
  }
  CHECK(drawn.size() > 50);
}
