#include "orders/orders.h"

#include <doctest/doctest.h>

using namespace History;

namespace {

struct OrderFold {
  State Current;
  uint64_t Offset = 0;

  Verdict apply(const Record &record) {
    return History::apply(Current, positionOf(Offset++, 0), record);
  }
  static OrderClaim claim(const std::string &id,
                          const std::string &request = "r") {
    return {id, "a", "team", "desk", "key", request, 0};
  }
  static OrderOutcome outcome(const std::string &id, OrderResult result) {
    return {id, "key", result, 200, "text/plain", "done"};
  }
  Orders::Step step(const std::string &request = "r") const {
    return Orders::nextStep(Current, "key", request);
  }
};

} // namespace

TEST_CASE_FIXTURE(OrderFold, "second claim of a key is refused until the first "
                             "is settled as not run") {
  CHECK(apply(claim("1")).Accepted);
  CHECK_FALSE(apply(claim("2")).Accepted);
  CHECK(apply(outcome("1", OrderResult::NotRun)).Accepted);
  CHECK(step() == Orders::Step::Claim);
  CHECK(apply(claim("3")).Accepted);
  CHECK(Current.Orders.at("key").ClaimId == "3");
  CHECK_FALSE(apply(outcome("1", OrderResult::Ran)).Accepted);
}

TEST_CASE_FIXTURE(OrderFold, "claim settled as ran or unknown can never be "
                             "claimed anew") {
  for (OrderResult result : {OrderResult::Ran, OrderResult::Unknown}) {
    Current = State();
    apply(claim("1"));
    apply(outcome("1", result));
    CHECK_FALSE(apply(claim("2")).Accepted);
    CHECK_FALSE(apply(outcome("1", OrderResult::NotRun)).Accepted);
    CHECK(step() == (result == OrderResult::Ran ? Orders::Step::Replay
                                                : Orders::Step::Unknown));
  }
}

TEST_CASE_FIXTURE(OrderFold, "claim that arrives after its own withdrawal is "
                             "refused and leaves the key free") {
  apply(outcome("1", OrderResult::NotRun));
  CHECK_FALSE(apply(claim("1")).Accepted);
  CHECK(step() == Orders::Step::Claim);
  CHECK(apply(claim("2", "another body")).Accepted);
}

TEST_CASE_FIXTURE(OrderFold, "other request with a used key is told so, also "
                             "when the first did not run") {
  apply(claim("1"));
  CHECK(step("other") == Orders::Step::OtherRequest);
  apply(outcome("1", OrderResult::NotRun));
  CHECK(step("other") == Orders::Step::OtherRequest);
  CHECK_FALSE(apply(claim("2", "other")).Accepted);
}

TEST_CASE_FIXTURE(OrderFold, "open claim is unknown once its daemon left or "
                             "started anew") {
  apply(MemberChange{"m1", MemberAction::Join, "a", "", 0, ""});
  apply(MemberChange{"m2", MemberAction::Join, "b", "", 0, ""});
  apply(claim("1"));
  CHECK(step() == Orders::Step::Wait);
  SUBCASE("left") {
    apply(MemberChange{"m3", MemberAction::Leave, "a", "", 0, ""});
  }
  SUBCASE("started anew") {
    apply(MemberChange{"m3", MemberAction::Join, "a", "", 0, ""});
  }
  CHECK(step() == Orders::Step::Unknown);
}

TEST_CASE_FIXTURE(OrderFold, "claim may be sent only while it is in force, "
                             "open and not expired") {
  constexpr uint32_t clockErrorMs = 5000;
  OrderClaim mine = claim("1");
  mine.ExpiryUnixS = 100;
  CHECK_FALSE(Orders::maySend(Current, mine, 0, clockErrorMs));
  apply(mine);
  CHECK(Orders::maySend(Current, mine, 94'999, clockErrorMs));
  CHECK_FALSE(Orders::maySend(Current, mine, 95'000, clockErrorMs));
  CHECK_FALSE(Orders::maySend(Current, claim("2"), 0, clockErrorMs));
  apply(outcome("1", OrderResult::NotRun));
  CHECK_FALSE(Orders::maySend(Current, mine, 0, clockErrorMs));
}

TEST_CASE("key is parsed with its expiry, and refused when malformed") {
  struct Row {
    std::string Text;
    bool Valid;
    int64_t ExpiryUnixS;
  };
  const Row rows[] = {{"abc", true, 0},
                      {"1800000000:abc", true, 1'800'000'000},
                      {"seat:12", true, 0},
                      {":abc", true, 0},
                      {"", false, 0},
                      {"a b", false, 0},
                      {"a\nb", false, 0},
                      {"caf\xc3\xa9", false, 0},
                      {"0:abc", false, 0},
                      {"99999999999999999999:abc", false, 0},
                      {std::string(200, 'k'), true, 0},
                      {std::string(201, 'k'), false, 0}};
  for (const Row &row : rows) {
    CAPTURE(row.Text);
    auto key = Orders::parseKey(row.Text);
    CHECK(key.ok() == row.Valid);
    if (key)
      CHECK(key->ExpiryUnixS == row.ExpiryUnixS);
  }
}

TEST_CASE("answer over the bound is recorded as status and note") {
  Orders::Result result{OrderResult::Ran, 201, "text/plain",
                        std::string(Orders::MaxRecordedBodyBytes + 1, 'x')};
  OrderOutcome outcome = Orders::outcomeOf(OrderFold::claim("1"), result);
  CHECK(outcome.HttpStatus == 201);
  CHECK(outcome.Body.size() < 200);
  result.Body.pop_back();
  CHECK(Orders::outcomeOf(OrderFold::claim("1"), result).Body == result.Body);
}
