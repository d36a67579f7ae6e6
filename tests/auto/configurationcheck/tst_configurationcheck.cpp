#include "gateway/configurationcheck.h"
#include "gateway/gatewayconstants.h"

#include <doctest/doctest.h>

using namespace Gateway;
using namespace std::chrono_literals;

namespace {

/// A gateway that has read version 1 and starts in a fleet of three.
struct CheckFixture {
  static constexpr uint64_t Own = 1;

  CheckFixture() { Check.begin(Start); }
  void listAll() { Check.setGateways({"b", "c"}, true, true, Start); }
  void answer(const std::string &gateway, uint64_t version, bool confirmed,
              TimePoint at) {
    Check.noteState(gateway, gateway, {version, confirmed}, at);
  }

  ConfigurationCheck Check;
  TimePoint Start{1h};
};

} // namespace

TEST_CASE("store without an era, the gateway decides at once") {
  CHECK(ConfigurationCheck().isConfirmed());
}

TEST_CASE_FIXTURE(CheckFixture, "gateway that starts, nobody has answered, it "
                                "decides nothing until the wait ends") {
  listAll();
  CHECK_FALSE(Check.update(Own, Start + FleetAnswerTime - 1ms));
  CHECK_FALSE(Check.isConfirmed());
  CHECK(Check.nextAt() <= Start + FleetAnswerTime);
  CHECK(Check.update(Own, Start + FleetAnswerTime));
  CHECK(Check.confirmation() == Confirmation::NoAnswer);
}

TEST_CASE_FIXTURE(CheckFixture, "a running gateway has the same version, the "
                                "wait ends with its answer") {
  listAll();
  answer("c", Own, true, Start + 2ms);
  CHECK(Check.update(Own, Start + 2ms));
  CHECK(Check.confirmation() == Confirmation::ByGateway);
}

// review/7, CONFIG: a key was served that a newer version had withdrawn.
TEST_CASE_FIXTURE(CheckFixture, "a running gateway has a newer version, the "
                                "wait ends once that is in force here") {
  listAll();
  answer("c", 2, true, Start + 2ms);
  CHECK(Check.lacks(Own, Start + 2ms));
  CHECK(Check.newestAddress() == "c");
  CHECK_FALSE(Check.update(Own, Start + FleetAnswerTime));
  CHECK(Check.update(2, Start + FleetAnswerTime));
}

// Guards against the word of whoever starts first: another gateway that has
// read the copy only says nothing about a newer version.
TEST_CASE_FIXTURE(CheckFixture, "one of two gateways has just started, its "
                                "answer does not end the wait") {
  listAll();
  answer("b", Own, false, Start + 2ms);
  CHECK_FALSE(Check.update(Own, Start + 2ms));
  answer("c", 2, true, Start + 3ms);
  CHECK_FALSE(Check.update(Own, Start + 3ms));
  CHECK(Check.lacks(Own, Start + 3ms));
}

TEST_CASE_FIXTURE(CheckFixture, "a lower version is named after a higher one, "
                                "the higher one counts") {
  listAll();
  answer("c", 2, true, Start + 2ms);
  answer("b", Own, true, Start + 3ms);
  CHECK(Check.lacks(Own, Start + 3ms));
  CHECK(Check.newestAddress() == "c");
}

TEST_CASE_FIXTURE(CheckFixture, "all gateways start at once, the wait ends "
                                "when all have answered") {
  listAll();
  answer("b", Own, false, Start + 2ms);
  answer("c", Own, false, Start + 4ms);
  CHECK(Check.update(Own, Start + 4ms));
  CHECK(Check.confirmation() == Confirmation::AllStarting);
}

TEST_CASE_FIXTURE(CheckFixture, "the record lists a part of the fleet, that "
                                "part starts, the others are waited for") {
  Check.setGateways({"b"}, false, true, Start);
  answer("b", Own, false, Start + 2ms);
  CHECK_FALSE(Check.update(Own, Start + 2ms));
  CHECK(Check.update(Own, Start + FleetAnswerTime));
}

TEST_CASE_FIXTURE(CheckFixture, "the record is older than the store's return "
                                "and lists nobody, the next holder is waited "
                                "for") {
  Check.setGateways({}, false, false, Start);
  CHECK_FALSE(Check.update(Own, Start + UnlistedAnswerTime - 1ms));
  CHECK(Check.update(Own, Start + UnlistedAnswerTime));
}

// Guards against a copy from a time when the fleet was smaller: all gateways of
// its record start, and one that it does not list goes on running.
TEST_CASE_FIXTURE(CheckFixture, "the record is older than the store's return, "
                                "all its gateways start, the next holder is "
                                "waited for") {
  Check.setGateways({"b"}, true, false, Start);
  answer("b", Own, false, Start + 2ms);
  CHECK_FALSE(Check.update(Own, Start + FleetAnswerTime));
  answer("c", 2, true, Start + 4s);
  CHECK(Check.lacks(Own, Start + 4s));
}

// Guards against a wait that ends with the record of the next holder, before
// that was asked.
TEST_CASE_FIXTURE(CheckFixture, "the next holder writes its record late in the "
                                "wait, it has time to answer") {
  Check.setGateways({"b"}, true, false, Start);
  TimePoint late = Start + UnlistedAnswerTime - 1ms;
  Check.setGateways({"c"}, false, true, late);
  CHECK_FALSE(Check.update(Own, late + FleetAnswerTime - 1ms));
  CHECK(Check.takeQuestions(late) == std::vector<std::string>{"c"});
  CHECK(Check.update(Own, late + FleetAnswerTime));
}

TEST_CASE_FIXTURE(CheckFixture, "records change all the time, the wait ends") {
  TimePoint now = Start;
  for (int i = 0; i < 200 && !Check.isConfirmed(); ++i, now += 100ms) {
    Check.setGateways({"g" + std::to_string(i)}, false, true, now);
    Check.update(Own, now);
  }
  CHECK(Check.isConfirmed());
  CHECK(now <= Start + UnlistedAnswerTime + FleetAnswerTime + 200ms);
}

// Guards against a gateway that serves nothing for ever, as the only one with
// the newer version has ended.
TEST_CASE_FIXTURE(CheckFixture, "the newer version is not named any more, the "
                                "wait ends") {
  listAll();
  answer("c", 2, true, Start + 2ms);
  TimePoint end = Start + 2ms + NamedVersionLifetime;
  CHECK_FALSE(Check.update(Own, end - 1ms));
  CHECK(Check.update(Own, end));
}

TEST_CASE_FIXTURE(CheckFixture, "questions go to the gateways of the record, "
                                "again with growing pauses, until the wait "
                                "ends") {
  CHECK(Check.takeQuestions(Start).empty());
  listAll();
  CHECK(Check.takeQuestions(Start) == std::vector<std::string>{"b", "c"});
  size_t rounds = 0;
  for (TimePoint now = Start; now < Start + FleetAnswerTime; now += 10ms)
    rounds += !Check.takeQuestions(now).empty();
  constexpr size_t mostRounds = 6;
  CHECK(rounds >= 3);
  CHECK(rounds <= mostRounds);
  answer("c", Own, true, Start + FleetAnswerTime);
  CHECK(Check.update(Own, Start + FleetAnswerTime));
  CHECK(Check.takeQuestions(Start + 1h).empty());
  CHECK(Check.nextAt() == TimePoint::max());
}
