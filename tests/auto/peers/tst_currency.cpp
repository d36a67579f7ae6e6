#include "daemon/currency.h"
#include "daemon/peerdutylog.h"
#include "daemon/readcandidates.h"

#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace Daemon::Internal;
using namespace std::chrono_literals;
using Peers::LogReading;

namespace {

const Utils::TimePoint Now{std::chrono::hours(1)};

/// A daemon that holds 10 appends; the log is unavailable to it.
CurrencyInput cutOff() {
  CurrencyInput input;
  input.Now = Now;
  input.Held = 10;
  input.LogLost = true;
  input.Own = LogReading{Now - 60s, 10};
  return input;
}

/// Members that hold 10 appends; the log is lost for those named.
std::vector<Peers::MemberView> membersOf(int n, const std::set<int> &lost) {
  std::vector<Peers::MemberView> members(static_cast<size_t>(n));
  for (int i = 0; i < n; ++i) {
    Peers::MemberView &it = members[static_cast<size_t>(i)];
    it.Name = "d" + std::to_string(i);
    it.Applied = 10;
    if (lost.count(i))
      it.LogLostSince = Now - 1s;
  }
  return members;
}

} // namespace

TEST_CASE("daemons that are cut off spread their reads over all that reach the "
          "log") {
  constexpr int draws = 4000;
  std::mt19937_64 random(1);
  std::map<std::string, int> asked;
  for (int i = 0; i < draws; ++i) {
    auto names = readCandidates(membersOf(10, {0, 1}), 10, random);
    REQUIRE(names.size() == 3);
    ++asked[names.front()];
  }
  CHECK(asked.size() == 8);
  for (const auto &it : asked) {
    CAPTURE(it.first);
    CHECK(it.second < 2 * draws / 8);
  }
}

TEST_CASE("one daemon is asked when none reaches the log, the fullest if it "
          "holds more") {
  std::mt19937_64 random(1);
  auto members = membersOf(4, {0, 1, 2, 3});
  CHECK(readCandidates(members, 10, random).size() == 1);
  members[2].Applied = 11;
  CHECK(readCandidates(members, 10, random) == std::vector<std::string>{"d2"});
  members[2].Status = Peers::MemberStatus::Dead;
  CHECK(readCandidates(members, 10, random) != std::vector<std::string>{"d2"});
  CHECK(readCandidates({}, 10, random).empty());
}

TEST_CASE("daemon that read the log lately, to its end, is current") {
  CurrencyInput input = cutOff();
  input.LogLost = false;
  input.OutageReports = {std::nullopt};
  input.Own = LogReading{Now - 3s, 10};
  CHECK(decideCurrency(input) == Currency::OwnReading);
  input.Held = 9;
  CHECK(decideCurrency(input) == Currency::NotCurrent);
  input.Held = 10;
  input.Own = LogReading{Now - 5s, 10};
  CHECK(decideCurrency(input) == Currency::NotCurrent);
}

TEST_CASE("daemon told of a late reading is current if it holds as much") {
  CurrencyInput input = cutOff();
  input.OutageReports = {std::nullopt};
  input.Told = LogReading{Now - 1s, 10};
  CHECK(decideCurrency(input) == Currency::ToldReading);
  input.Told = LogReading{Now - 1s, 11};
  CHECK(decideCurrency(input) == Currency::NotCurrent);
  input.Told = LogReading{Now - 5s, 10};
  CHECK(decideCurrency(input) == Currency::NotCurrent);
}

TEST_CASE("daemon is current while every other says the log is unavailable") {
  CurrencyInput input = cutOff();
  input.OutageReports = {Now - 1s, Now - 3s};
  CHECK(decideCurrency(input) == Currency::LogOutage);
}

TEST_CASE("one daemon that is silent or reads the log ends currency by "
          "agreement: asymmetric partition") {
  CurrencyInput input = cutOff();
  input.OutageReports = {Now - 1s, std::nullopt};
  CHECK(decideCurrency(input) == Currency::NotCurrent);
  input.OutageReports = {Now - 1s, Now - 5s};
  CHECK(decideCurrency(input) == Currency::NotCurrent);
}

TEST_CASE("agreement does not help a daemon that misses what another read") {
  CurrencyInput input = cutOff();
  input.OutageReports = {Now - 1s};
  input.Told = LogReading{Now - 20s, 11};
  CHECK(decideCurrency(input) == Currency::NotCurrent);
}

TEST_CASE("agreement does not help a daemon that never had the history") {
  CurrencyInput input = cutOff();
  input.Own.reset();
  CHECK(decideCurrency(input) == Currency::NotCurrent);
}

TEST_CASE("daemon whose own log answers does not count on agreement") {
  CurrencyInput input = cutOff();
  input.LogLost = false;
  input.OutageReports = {Now - 1s};
  CHECK(decideCurrency(input) == Currency::NotCurrent);
}

TEST_CASE("merged readings never hide an end that some reading saw") {
  CHECK(rc::check([](const std::vector<std::pair<uint8_t, uint8_t>> &readings) {
    std::optional<LogReading> merged;
    uint64_t greatest = 0;
    for (auto [at, end] : readings) {
      merged = Peers::mergeReadings(merged, {Now + at * 1ms, end});
      greatest = std::max<uint64_t>(greatest, end);
    }
    RC_ASSERT(!merged || merged->End == greatest);
  }));
}

TEST_CASE("daemon is current by the reading before one that it still applies") {
  LogContact contact{Utils::Clock()};
  contact.noteOwn({Now - 2s, 10});
  contact.noteOwn({Now - 1s, 11});
  CurrencyInput input = cutOff();
  input.LogLost = false;
  input.SeenEnd = contact.seenEnd();
  input.Own = contact.own(input.Held);
  CHECK(decideCurrency(input) == Currency::OwnReading);
  input.Now = Now + 3s;
  CHECK(decideCurrency(input) == Currency::NotCurrent);
  input.Held = 11;
  input.Own = contact.own(input.Held);
  CHECK(decideCurrency(input) == Currency::OwnReading);
}

TEST_CASE("daemon that lacks a record that some reading saw does not count on "
          "agreement") {
  CurrencyInput input = cutOff();
  input.OutageReports = {Now - 1s};
  CHECK(decideCurrency(input) == Currency::LogOutage);
  input.SeenEnd = 11;
  CHECK(decideCurrency(input) == Currency::NotCurrent);
}

TEST_CASE("log that hangs longer than a waiting read counts as lost") {
  Utils::TimePoint now = Now;
  Utils::Clock clock;
  clock.Now = [&] { return now; };
  LogContact contact(clock);
  contact.noteOwn({now, 1});
  now += 1500ms;
  CHECK_FALSE(contact.lostSince());
  now += 1500ms;
  CHECK(contact.lostSince() == Now);
  contact.noteOwn({now, 1});
  CHECK_FALSE(contact.lostSince());
}

TEST_CASE("loss of the log that was seen before a suspension is not said after "
          "it until it is seen again") {
  Utils::TimePoint now = Now;
  Utils::Clock clock;
  clock.Now = [&now] { return now; };
  for (bool refused : {false, true}) {
    CAPTURE(refused);
    LogContact contact(clock);
    auto runFor = [&](Utils::Milliseconds time) {
      for (auto end = now + time; now < end; now += 250ms)
        contact.noteAwake();
    };
    contact.noteOwn({now, 1});
    if (refused)
      contact.noteFailure("refused", now);
    runFor(3s);
    REQUIRE(contact.report(1).LostSince);
    now += 5s;
    CHECK_FALSE(contact.report(1).LostSince);
    CHECK_FALSE(contact.witnessedLossSince());
    Utils::TimePoint woken = now;
    contact.noteFailure("no answer to a read asked for before the suspension",
                        woken - 5s);
    runFor(1s);
    CHECK_FALSE(contact.report(1).LostSince);
    if (refused)
      contact.noteFailure("refused", woken);
    else
      runFor(2s);
    CHECK(contact.report(1).LostSince == woken);
    contact.noteOwn({now, 1});
    CHECK_FALSE(contact.report(1).LostSince);
  }
}

TEST_CASE("report of a daemon that took records from a peer, says that they "
          "were read") {
  Utils::Clock clock;
  clock.Now = [] { return Now; };
  LogContact contact(clock);
  contact.noteOwn({Now, 5});
  CHECK(contact.report(5).Newest->End == 5);
  CHECK(contact.report(9).Newest->End == 9);
  CHECK(contact.report(3).Newest->End == 5);
}

TEST_CASE("cache of appends keeps the newest run without a gap") {
  AppendCache cache(8);
  for (uint64_t i = 0; i < 6; ++i)
    cache.add({i, "xy"});
  CHECK_FALSE(cache.read(1, 10, 100));
  CHECK(cache.read(2, 10, 100)->size() == 4);
  CHECK(cache.read(2, 3, 100)->size() == 3);
  CHECK(cache.read(2, 10, 5)->size() == 2);
  CHECK(cache.read(6, 10, 100)->empty());
  cache.add({9, "xy"});
  CHECK_FALSE(cache.read(5, 10, 100));
  CHECK(cache.read(9, 10, 100)->size() == 1);
}

TEST_CASE("log that has no news answers each read late, and its contact is "
          "never lost") {
  Utils::TimePoint now{};
  Utils::Clock clock;
  clock.Now = [&] { return now; };
  LogContact contact(clock);
  contact.noteOwn({now, 1});
  Utils::TimePoint since = now;
  for (int i = 0; i < 5; ++i) {
    Utils::TimePoint asked = now + Utils::Milliseconds(1);
    now = asked + Utils::Milliseconds(1001);
    CHECK(!contact.lostSince());
    contact.noteOwn({asked, 1});
    CHECK(contact.contactSince() == since);
  }
  now += Utils::Milliseconds(2001);
  CHECK(contact.lostSince());
}
