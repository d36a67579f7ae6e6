#include "quota/quota.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using namespace Quota;

namespace {

/// One gateway and the holder, without anything between them.
struct OneGateway {
  Limit Allowed{1000, 2000};
  double MostDebt = 500;
  TimePoint Now{1h};
  Ledger Book{Allowed, Allowed.Burst, MostDebt, Now};
  Purse Own{Allowed, Allowed.Burst, 8, Now};
  std::mt19937_64 Random{1};
  uint64_t Sequence = 0;
  uint64_t Calls = 0;

  /// Sends the account to the holder; what that answers.
  Told report() {
    Account account = Own.report(++Sequence);
    int64_t granted = Book.settle("a", 1, account, Now);
    return {Book.level(Now), Book.demand(Now), granted};
  }
  std::vector<Decision> exchange() {
    Told told = report();
    return Own.hear(told, Sequence, Now);
  }
  /// The decision on a call of so many tokens, once the holder has answered.
  Decision call(double tokens) {
    if (auto decision = Own.want(++Calls, tokens, true, Now, Random))
      return *decision;
    auto decisions = exchange();
    REQUIRE(decisions.size() == 1);
    return decisions[0];
  }
  int64_t admittedOf(int calls, double tokens) {
    int64_t out = 0;
    for (int i = 0; i < calls; ++i)
      out += call(tokens).isAdmitted();
    return out;
  }
};

/// The same, before the holder answers no more.
struct LostHolder : OneGateway {
  LostHolder() { exchange(); }
  bool admitsAlone(double tokens) {
    return Own.want(++Calls, tokens, false, Now, Random)->isAdmitted();
  }
};

} // namespace

TEST_CASE_FIXTURE(OneGateway, "call within the limit is admitted by the "
                              "holder's answer, and not before") {
  CHECK_FALSE(Own.want(1, 300, true, Now, Random));
  auto decisions = exchange();
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].isAdmitted());
  CHECK(Book.level(Now) == doctest::Approx(1700));
}

TEST_CASE_FIXTURE(OneGateway,
                  "team gets its burst, the debt that is borne, and "
                  "then its rate") {
  CHECK(admittedOf(3, 700) == 3); // The last overdraws it by 100.
  CHECK_FALSE(call(1).isAdmitted());
  Now += 600ms;
  CHECK(admittedOf(100, 100) == 5);
}

TEST_CASE_FIXTURE(OneGateway, "call over the limit is refused until the bucket "
                              "has room for it") {
  admittedOf(100, 100);
  auto refused = call(100);
  REQUIRE(refused.ComeBack);
  CHECK(*refused.ComeBack >= 100ms);
  Now += *refused.ComeBack;
  CHECK(call(100).isAdmitted());
}

TEST_CASE_FIXTURE(OneGateway,
                  "call of a team far over its limit is told a time "
                  "that grows with those who compete for the room") {
  call(2000);
  Milliseconds few = *call(100).ComeBack;
  CHECK(few < 150ms);
  admittedOf(80, 100);
  Milliseconds many = *call(100).ComeBack;
  CHECK(many >= 3 * few);
  CHECK(many <= 10s);
}

TEST_CASE_FIXTURE(OneGateway,
                  "lower limit holds at once, and what is over it is "
                  "refused with the time to come back") {
  Book.setLimit({100, 200}, Now);
  Own.setLimit({100, 200}, Now);
  CHECK(call(700).isAdmitted()); // The burst and the debt.
  auto refused = call(50);
  REQUIRE(refused.ComeBack);
  CHECK(*refused.ComeBack == 5500ms);
}

TEST_CASE_FIXTURE(OneGateway, "call larger than the burst is admitted when the "
                              "bucket is full, and only then") {
  CHECK(call(9000).isAdmitted());
  CHECK_FALSE(call(9000).isAdmitted());
  CHECK_FALSE(call(1).isAdmitted());
}

TEST_CASE_FIXTURE(OneGateway,
                  "calls of a full bucket that come together are not "
                  "all admitted for their sum") {
  for (uint64_t i = 1; i <= 50; ++i)
    CHECK_FALSE(Own.want(i, 1000, true, Now, Random));
  int admitted = 0;
  for (const Decision &it : exchange())
    admitted += it.isAdmitted();
  CHECK(admitted == 2);
}

TEST_CASE_FIXTURE(OneGateway, "tokens of a call that did not run are there "
                              "again, once") {
  CHECK(call(2000).isAdmitted());
  CHECK(Book.level(Now) == 0);
  Own.giveBack(2000);
  exchange();
  exchange();
  CHECK(Book.level(Now) == 2000);
  CHECK(Own.account().Spent == 0);
}

TEST_CASE_FIXTURE(OneGateway, "grant whose answer is lost is given again, not "
                              "twice") {
  CHECK_FALSE(Own.want(1, 300, true, Now, Random));
  report(); // Its answer is lost.
  auto decisions = exchange();
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].isAdmitted());
  CHECK(Book.level(Now) == doctest::Approx(1700));
}

TEST_CASE_FIXTURE(OneGateway, "late answer does not bring back what was given "
                              "up since") {
  CHECK_FALSE(Own.want(1, 300, true, Now, Random));
  Told late = report();
  Own.forget(1);
  exchange(); // Gives up the 300.
  CHECK(Book.level(Now) == doctest::Approx(2000));
  Own.hear(late, 1, Now);
  CHECK(Own.account().Granted == 0);
}

TEST_CASE_FIXTURE(OneGateway,
                  "report that another has overtaken in the ledger "
                  "of a new process counts nothing of the old one") {
  CHECK(call(500).isAdmitted());
  Purse restarted(Allowed, 0, 8, Now);
  CHECK(Book.settle("a", 2, restarted.report(1), Now) == 0);
  CHECK(Book.level(Now) == doctest::Approx(1500));
}

TEST_CASE("ledger of a new holder begins with what the old one told, less what "
          "was spent without one") {
  TimePoint now{1h};
  Ledger book({1000, 2000}, 1500, 500, now);
  book.lowerTo(1200, now);
  CHECK(book.level(now) == doctest::Approx(1200));
  // Granted 400 by the old holder, spent 700.
  CHECK(book.settle("a", 1, {700, 400, 700, 0, 700}, now) == 700);
  CHECK(book.level(now) == doctest::Approx(900));
  book.lowerTo(1300, now); // Before the 300 were spent.
  CHECK(book.level(now) == doctest::Approx(900));
  book.lowerTo(1100, now);
  CHECK(book.level(now) == doctest::Approx(800));
}

TEST_CASE("ledger grants no more than the part that silent gateways leave") {
  TimePoint now{1h};
  Ledger book({1000, 2000}, 0, 0, now);
  book.setPart(0.5, now);
  CHECK(book.level(now + 1s) == doctest::Approx(500));
  book.setPart(1, now + 1s);
  CHECK(book.level(now + 2s) == doctest::Approx(1500));
}

TEST_CASE("tokens given back as of an earlier time do not fill the bucket "
          "twice") {
  TimePoint now{1h};
  Bucket bucket({100, 1000}, 1000, now);
  bucket.take(1000, now);
  now += 2s;
  CHECK(bucket.level(now) == doctest::Approx(200));
  bucket.take(-10, now - 2s);
  CHECK(bucket.level(now) == doctest::Approx(210));
}

TEST_CASE_FIXTURE(OneGateway, "team without a limit is never refused, and owes "
                              "nothing when it gets one") {
  Own = Purse({0, 0}, 0, 8, Now);
  Book = Ledger({0, 0}, 0, MostDebt, Now);
  for (int i = 0; i < 100; ++i)
    CHECK(call(1e6).isAdmitted());
  exchange();
  Own.setLimit(Allowed, Now);
  Book.setLimit(Allowed, Now);
  CHECK(call(1000).isAdmitted());
}

TEST_CASE_FIXTURE(OneGateway, "call that waits when its team's limit is lifted "
                              "is admitted, whatever the holder answers") {
  CHECK(admittedOf(3, 700) == 3);
  CHECK_FALSE(Own.want(++Calls, 300, true, Now, Random));
  Own.setLimit({0, 0}, Now);
  auto decisions = exchange();
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].isAdmitted());
}

TEST_CASE_FIXTURE(OneGateway, "call that waits when its team's limit is lifted "
                              "is admitted, though the holder is silent") {
  CHECK(admittedOf(3, 700) == 3);
  CHECK_FALSE(Own.want(++Calls, 300, true, Now, Random));
  Own.setLimit({0, 0}, Now);
  auto decisions = Own.expire(Now + Purse::Patience, Random);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].isAdmitted());
}

TEST_CASE_FIXTURE(LostHolder,
                  "call is decided at once where no holder answers") {
  CHECK(admitsAlone(100));
  CHECK_FALSE(Own.isWaiting());
}

TEST_CASE_FIXTURE(LostHolder,
                  "call that waits for an answer is decided without "
                  "it after a while") {
  CHECK_FALSE(Own.want(1, 100, true, Now, Random));
  CHECK(Own.expire(Now + Purse::Patience - 1ms, Random).empty());
  auto decisions = Own.expire(Now + Purse::Patience, Random);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].isAdmitted());
}

TEST_CASE_FIXTURE(LostHolder,
                  "gateway that hears nothing for long gives its part "
                  "of the limit and no more") {
  Now += 4s;
  double admitted = 0;
  for (int i = 0; i < 2000; ++i, Now += 10ms)
    admitted += admitsAlone(50) ? 50 : 0;
  // An eighth of the burst and of the rate of 20 s.
  CHECK(admitted >= 0.8 * (2000 + 20'000) / 8);
  CHECK(admitted <= 1.2 * (2000 + 20'000) / 8);
}

TEST_CASE("gateway that has just started gives no more than its likely share") {
  TimePoint now{1h};
  std::mt19937_64 random(1);
  Purse purse({1000, 2000}, 2000, 200, now);
  double admitted = 0;
  for (uint64_t i = 1; i <= 100; ++i) {
    CHECK_FALSE(purse.want(i, 20, true, now, random));
    for (const Decision &it : purse.expire(now + Purse::FirstPatience, random))
      admitted += it.isAdmitted() ? 20 : 0;
  }
  CHECK(admitted <= 2000.0 / 200 + 20);
}
