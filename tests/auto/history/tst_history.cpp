#include "history/history.h"
#include "history/historyconstants.h"

#include <doctest/doctest.h>

using namespace History;

namespace {

TableEdit teamEdit(const std::string &id, uint64_t base, const char *rate) {
  TableEdit edit;
  edit.EditId = id;
  edit.Actor = "ann";
  edit.Row = {Table::RowKind::Team, "kitchen"};
  edit.BaseVersion = base;
  edit.Values = {{"rate_tokens_per_s", rate}, {"burst_tokens", "100"}};
  return edit;
}

struct FoldFixture {
  State Current;
  uint64_t Offset = 0;
  Verdict append(const Record &record) {
    applyAppend(Current, Offset, encodeRecords({record}));
    ++Offset;
    return Current.Verdicts.at(recordId(record));
  }
};

} // namespace

TEST_CASE_FIXTURE(
    FoldFixture,
    "edit made on an old version is refused with the version that won") {
  Verdict first = append(teamEdit("a", 0, "10"));
  REQUIRE(first.Accepted);
  Verdict second = append(teamEdit("b", 0, "20"));
  CHECK_FALSE(second.Accepted);
  CHECK(second.WinningVersion == first.WinningVersion);
  CHECK(Current.Table.Teams.at("kitchen").RateTokensPerS == 10);
}

TEST_CASE_FIXTURE(FoldFixture, "edit appended twice changes the state once") {
  append(teamEdit("a", 0, "10"));
  State before = Current;
  append(teamEdit("a", 0, "10"));
  CHECK(Current.Table.Rows.begin()->second.Version ==
        before.Table.Rows.begin()->second.Version);
  CHECK(Current.Audit.size() == before.Audit.size());
}

namespace {

TableEdit rowEdit(Table::RowKind kind, const std::string &name,
                  Table::Cells cells) {
  static int count = 0;
  TableEdit edit;
  edit.EditId = "row-" + std::to_string(++count);
  edit.Actor = "ann";
  edit.Row = {kind, name};
  edit.Values = std::move(cells);
  return edit;
}

TableEdit deletion(const Verdict &made, TableEdit edit) {
  edit.EditId += "-deleted";
  edit.BaseVersion = made.WinningVersion;
  edit.Deleted = true;
  edit.Values.clear();
  return edit;
}

} // namespace

TEST_CASE_FIXTURE(FoldFixture, "team or model that other rows name is not "
                               "deleted and the refusal names the rows") {
  using Table::RowKind;
  std::string hash(64, 'a');
  TableEdit team = teamEdit("t", 0, "10");
  Verdict teamMade = append(team);
  TableEdit model = rowEdit(RowKind::Model, "base",
                            {{"teams", "kitchen"},
                             {"weights", "store/base"},
                             {"memory_mb", "10"},
                             {"max_replicas", "1"}});
  Verdict modelMade = append(model);
  REQUIRE_MESSAGE(modelMade.Accepted, modelMade.Reason);
  TableEdit key =
      rowEdit(RowKind::Key, "k1", {{"team", "kitchen"}, {"key_hash", hash}});
  Verdict keyMade = append(key);
  REQUIRE_MESSAGE(keyMade.Accepted, keyMade.Reason);
  std::vector<std::pair<TableEdit, Verdict>> adapters;
  for (int i = 0; i < 7; ++i) {
    TableEdit it = rowEdit(RowKind::Adapter, "a" + std::to_string(i),
                           {{"base", "base"},
                            {"teams", "kitchen"},
                            {"weights", "store/a"},
                            {"memory_mb", "1"}});
    adapters.emplace_back(it, append(it));
    REQUIRE_MESSAGE(adapters.back().second.Accepted,
                    adapters.back().second.Reason);
  }
  CHECK(append(deletion(teamMade, team)).Reason == "still named by key k1");
  TableEdit early = deletion(modelMade, model);
  CHECK(append(early).Reason ==
        "still named by adapter a0, adapter a1, adapter a2, adapter a3, "
        "adapter a4 and 2 more");
  CHECK(Current.Table.Models.count("base") == 1);
  CHECK(append(deletion(keyMade, key)).Accepted);
  for (const auto &[it, made] : adapters)
    CHECK(append(deletion(made, it)).Accepted);
  TableEdit late = deletion(modelMade, model);
  late.EditId += "-late";
  CHECK(append(late).Accepted);
  TableEdit teamLate = deletion(teamMade, team);
  teamLate.EditId += "-late";
  CHECK(append(teamLate).Accepted);
}

TEST_CASE_FIXTURE(FoldFixture, "malformed append is skipped and counted") {
  applyAppend(Current, 0, "not a record");
  CHECK(Current.SkippedRecords == 1);
  CHECK(Current.NextOffset == 1);
}

namespace {

struct OrderFixture {
  State Current;
  Position Fence = 0;

  OrderFixture() {
    LeaseChange claim;
    claim.ChangeId = "claim";
    claim.Duty = Constants::SnapshotDuty;
    claim.Holder = "d0";
    Fence = put(claim).At;
  }
  Verdict put(const Record &record) {
    Position at = positionOf(Current.NextOffset++, 0);
    return apply(Current, at, record);
  }
  Position order(const std::string &key, int64_t expiry, size_t bytes) {
    Position at =
        put(OrderClaim{"c" + key, "d0", "t", "s", key, "r", expiry}).At;
    put(OrderOutcome{"c" + key, key, OrderResult::Ran, 200, "text/plain",
                     std::string(bytes, 'b')});
    return at;
  }
};

} // namespace

TEST_CASE_FIXTURE(OrderFixture, "settled order is forgotten when its key has "
                                "expired, an unsettled one is not") {
  order("old", 100, 1);
  order("young", 200, 1);
  order("free", 0, 1);
  put(OrderClaim{"c", "d0", "t", "s", "open", "r", 100});
  CHECK_FALSE(orderExpiry(Current, 100).Expired);
  CHECK(orderExpiry(Current, 101).Expired);
  CHECK_FALSE(put(OrdersExpired{"x1", Fence - 1, 101}).Accepted);
  CHECK(Current.Orders.size() == 4);
  CHECK(put(OrdersExpired{"x2", Fence, 101}).Accepted);
  CHECK(Current.Orders.size() == 3);
  CHECK(Current.Orders.count("old") == 0);
}

TEST_CASE_FIXTURE(OrderFixture, "free-form key outlives its body, which goes "
                                "oldest first down to half of the bound") {
  constexpr size_t n = 9;
  for (size_t i = 0; i < n; ++i)
    order(std::to_string(i), 0, Constants::MaxOrderBodyBytes / 8);
  Position before = orderExpiry(Current, 0).BodiesBefore;
  REQUIRE(before != 0);
  CHECK(put(OrderBodiesExpired{"y", Fence, before}).Accepted);
  CHECK(Current.Orders.size() == n);
  CHECK(Current.Orders.at("0").BodyDropped);
  CHECK(Current.Orders.at("4").Body.empty());
  CHECK_FALSE(Current.Orders.at("5").BodyDropped);
  CHECK(orderExpiry(Current, 0).BodiesBefore == 0);
  CHECK_FALSE(put(OrderClaim{"again", "d1", "t", "s", "0", "r", 0}).Accepted);
}
