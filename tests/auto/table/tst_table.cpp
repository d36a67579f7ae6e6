#include "table/table.h"

#include <doctest/doctest.h>
#include <random>

using namespace Table;

namespace {

const std::string Header = "kind,name,version,teams,weights,memory_mb,base,"
                           "prefix,idempotent,team,key_hash,"
                           "rate_tokens_per_s,burst_tokens\n";

std::vector<std::string> texts(const std::vector<SheetFault> &faults) {
  std::vector<std::string> out;
  out.reserve(faults.size());
  for (const SheetFault &it : faults)
    out.push_back(faultText("t.csv", it));
  return out;
}

std::string hash(char c) { return std::string(64, c); }

Sheet largeSheet(size_t n) {
  std::string csv = Header + "team,kitchen,,,,,,,,,,1,1\nmodel,base,,*,w,1\n";
  for (size_t i = 0; i < n; ++i)
    csv += "adapter,a" + std::to_string(i) + ",,*,w,1,base\n";
  return parseSheet(csv);
}

} // namespace

TEST_CASE("every fault of a sheet is told in one run with its place") {
  Sheet sheet = parseSheet(Header + "\n"
                                    "model,big,x,*,\"two\nlines\",none\n"
                                    "planet,mars\n"
                                    "team,kitchen,,,,,,,,,,7,0\n"
                                    "team,kitchen,,,,,,,,,,7,7\n"
                                    "team,a b,,,,,,,,,,7,7\n");
  CHECK(
      texts(sheet.Faults) ==
      std::vector<std::string>{
          ("t.csv:3: row model big, column version: found \"x\", allowed is "
           "the number exported"),
          ("t.csv:3: row model big, column memory_mb: found \"none\", allowed "
           "is a whole number from 1 to 100000000"),
          ("t.csv:5: row mars, column kind: found \"planet\", allowed is "
           "model, adapter, service, team or key"),
          ("t.csv:6: row team kitchen, column burst_tokens: found \"0\", "
           "allowed is a whole number from 1 to 1000000000"),
          ("t.csv:7: row team kitchen, column name: found \"kitchen\", "
           "allowed is each row once"),
          ("t.csv:8: row team a b, column name: found \"a b\", allowed is 1 to "
           "128 printable characters without space , ; or \"")});
}

TEST_CASE("broken quoting is told with its line") {
  Sheet sheet = parseSheet(Header + "team,a,,,,,,,,,,1,1\nteam,\"b\"c,\n");
  REQUIRE(sheet.Faults.size() == 1);
  CHECK(sheet.Faults[0].Line == 3);
}

TEST_CASE("faults between rows are found, rows in force count") {
  Sheet sheet = parseSheet(Header +
                           "adapter,a,,*,w,1,nobase\n"
                           "adapter,b,,*,w,1,old\n"
                           "key,k1,,,,,,,,noteam," +
                           hash('a') + "\nkey,k2,,,,,,,,kitchen," + hash('a') +
                           "\nservice,s1,,*,,,,/desk,no\n"
                           "service,s2,,*,,,,/desk,no\n"
                           "model,c,,*,w,1\nadapter,c,,*,w,1,c\n");
  REQUIRE(sheet.Faults.empty());
  std::vector<Row> others = {{{RowKind::Model, "old"}, 5, {}, 0},
                             {{RowKind::Team, "kitchen"}, 6, {}, 0}};
  CHECK(
      texts(crossFaults(sheet, others)) ==
      std::vector<std::string>{
          ("t.csv:2: row adapter a, column base: found \"nobase\", allowed is "
           "the name of a model row"),
          ("t.csv:4: row key k1, column team: found \"noteam\", allowed is the "
           "name of a team row"),
          "t.csv:5: row key k2, column key_hash: found \"" + hash('a') +
              "\", allowed is a value of its own; key k1 has the same",
          ("t.csv:7: row service s2, column prefix: found \"/desk\", allowed "
           "is a value of its own; service s1 has the same"),
          ("t.csv:9: row adapter c, column name: found \"c\", allowed is a "
           "name that no model has")});
  CHECK(crossFaults(sheet, {}).size() == 7);
}

TEST_CASE("changes name a row after the rows that it needs") {
  std::vector<Row> current = {{{RowKind::Model, "old"}, 10, {}, 0},
                              {{RowKind::Adapter, "on-old"}, 11, {}, 0}};
  std::vector<Row> wanted = {{{RowKind::Key, "k"}, 0, {}, 2},
                             {{RowKind::Adapter, "a"}, 0, {}, 3},
                             {{RowKind::Team, "t"}, 20, {}, 4},
                             {{RowKind::Model, "m"}, 0, {}, 5}};
  std::vector<std::string> order;
  for (const RowChange &it : difference(current, wanted, true))
    order.push_back(rowText(it.Wanted.Id) + (it.Deleted ? " deleted" : ""));
  CHECK(order == std::vector<std::string>{"adapter on-old deleted", "team t",
                                          "model m", "key k", "adapter a",
                                          "model old deleted"});
}

TEST_CASE("row changed after the export is not deleted on its newer version") {
  std::vector<Row> current = {{{RowKind::Team, "a"}, 10, {}, 0},
                              {{RowKind::Team, "late"}, 30, {}, 0}};
  auto changes = difference(current, {{{RowKind::Team, "a"}, 10, {}, 2}}, true);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].Wanted.Version == 10);
}

TEST_CASE("written sheet is read back equal") {
  Sheet sheet = parseSheet(Header + "model,m,7,*,\"a,\"\"b\"\"\nc\",1\n");
  REQUIRE(sheet.Faults.empty());
  Sheet again = parseSheet(writeSheet(sheet.Rows));
  REQUIRE(again.Rows.size() == 1);
  CHECK(again.Rows[0].Values == sheet.Rows[0].Values);
  CHECK(again.Rows[0].Version == 7);
}

TEST_CASE("text for people aligns its columns") {
  std::vector<Row> rows = {
      {{RowKind::Team, "kitchen"}, 9, {{"burst_tokens", "100"}}, 0},
      {{RowKind::Team, "x"}, 10, {}, 0}};
  CHECK(writeText(rows) == "team (2)\n"
                           "  name     burst_tokens  version\n"
                           "  kitchen  100           9\n"
                           "  x        -             10\n");
}

TEST_CASE("sheet of 5,300 rows has no fault and each row is a change") {
  Sheet sheet = largeSheet(5298);
  CHECK(sheet.Faults.empty());
  CHECK(crossFaults(sheet, {}).empty());
  CHECK(difference({}, sheet.Rows, true).size() == 5300);
}

TEST_CASE("mutated sheets are read to rows or to faults") {
  constexpr uint32_t seed = 20261203;
  MESSAGE("seed " << seed);
  std::mt19937 random(seed);
  std::string valid = writeSheet(largeSheet(5).Rows);
  for (int i = 0; i < 5000; ++i) {
    std::string csv = valid;
    for (uint32_t n = 1 + random() % 5; n > 0; --n) {
      size_t at = random() % csv.size();
      if (random() % 2)
        csv[at] = "\",\n\r\0x9"[random() % 7];
      else
        csv.erase(at, 1 + random() % 9);
    }
    Sheet sheet = parseSheet(csv);
    for (const Row &row : sheet.Rows)
      CHECK(row.Line > 1);
    crossFaults(sheet, {});
    if (sheet.Faults.empty())
      CHECK(parseSheet(writeSheet(sheet.Rows)).Rows.size() ==
            sheet.Rows.size());
  }
}
