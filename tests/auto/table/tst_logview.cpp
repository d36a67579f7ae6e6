#include "logsync/memorylog.h"

#include "logview.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <random>
#include <rapidcheck.h>

using App::LogView;

namespace {

const bool SeedIsSet =
    setenv("RC_PARAMS", "seed=20261203 max_success=200", 0) == 0;

void skipPause() {}

History::TableEdit edit(const std::string &id, uint64_t base,
                        const std::string &rate) {
  History::TableEdit edit;
  edit.EditId = id;
  edit.Actor = id;
  edit.Row = {Table::RowKind::Team, "kitchen"};
  edit.BaseVersion = base;
  edit.Values = {{"rate_tokens_per_s", rate}, {"burst_tokens", "1"}};
  return edit;
}

uint64_t versionOf(const LogView &view) {
  const auto &rows = view.state().Table.Rows;
  auto it = rows.find({Table::RowKind::Team, "kitchen"});
  return it == rows.end() ? 0 : it->second.Version;
}

} // namespace

TEST_CASE(
    "second edit of the same row version is refused and names the accepted "
    "version") {
  MemoryLog log;
  LogView ann(log.service(), skipPause);
  LogView bob(log.service(), skipPause);
  REQUIRE(ann.catchUp());
  REQUIRE(bob.catchUp());
  auto first = ann.submit({edit("ann", 0, "1")});
  auto second = bob.submit({edit("bob", 0, "2")});
  REQUIRE(first[0]);
  REQUIRE(second[0]);
  CHECK(first[0]->Accepted);
  CHECK_FALSE(second[0]->Accepted);
  CHECK(second[0]->WinningVersion == first[0]->WinningVersion);
}

TEST_CASE(
    "edit is refused if another edit is appended after the log was read") {
  MemoryLog log;
  LogView ann(log.service(), skipPause);
  REQUIRE(ann.catchUp());
  log.BeforeAppend = [](std::vector<std::string> &records) {
    if (records.empty())
      records.push_back(History::encodeRecords({edit("bob", 0, "2")}));
  };
  auto outcome = ann.submit({edit("ann", 0, "1")});
  REQUIRE(outcome[0]);
  CHECK_FALSE(outcome[0]->Accepted);
  CHECK(ann.state().Table.Teams.at("kitchen").RateTokensPerS == 2);
}

TEST_CASE("edit is accepted once although every append response is lost") {
  MemoryLog log;
  log.LoseAnswers = 100;
  LogView ann(log.service(), skipPause);
  auto outcome = ann.submit({edit("ann", 0, "1")});
  REQUIRE(outcome[0]);
  CHECK(outcome[0]->Accepted);
  CHECK(log.size() == 1);
}

TEST_CASE(
    "edit during a log outage has an unknown result after a bounded number "
    "of attempts") {
  MemoryLog log;
  log.setOutage(true);
  LogView ann(log.service(), skipPause);
  auto outcome = ann.submit({edit("ann", 0, "1")});
  REQUIRE_FALSE(outcome[0]);
  CHECK(outcome[0].error().Code == Utils::Errc::UnknownResult);
  CHECK(log.Attempts == 10);
}

TEST_CASE(
    "large import batches its appends and returns a verdict for each row") {
  MemoryLog log;
  LogView ann(log.service(), skipPause);
  std::vector<History::TableEdit> edits(5300, edit("", 0, "1"));
  for (size_t i = 0; i < edits.size(); ++i) {
    edits[i].EditId = "e" + std::to_string(i);
    edits[i].Row.Name = "t" + std::to_string(i);
  }
  edits[7].Values["burst_tokens"] = std::string(size_t{600} * 1024, '1');
  edits[9].Values["burst_tokens"] = "0";
  auto outcomes = ann.submit(edits);
  size_t accepted = 0;
  for (const auto &it : outcomes)
    accepted += it && it->Accepted;
  CHECK(accepted == edits.size() - 2);
  CHECK_FALSE(outcomes[7]);
  CHECK_FALSE(outcomes[9]->Accepted);
  CHECK(log.size() <= 22);
}

TEST_CASE("operators reach the same state and keep accepted edits in any "
          "interleaving of edits, lost responses and delayed copies") {
  CHECK(rc::check([](const std::vector<uint32_t> &draws) {
    MemoryLog log;
    std::vector<LogView> operators(3, LogView(log.service(), skipPause));
    std::vector<std::string> delayed;
    std::map<std::string, History::Verdict> reported;
    int n = 0;
    for (uint32_t draw : draws) {
      std::mt19937 random(draw);
      LogView &view = operators[random() % operators.size()];
      log.LoseAnswers = random() % 3;
      if (random() % 3 == 0)
        RC_ASSERT(view.catchUp().ok());
      History::TableEdit it = edit("e" + std::to_string(n++), versionOf(view),
                                   std::to_string(1 + random() % 100));
      it.Deleted = random() % 5 == 0;
      if (random() % 4 == 0) {
        delayed.push_back(History::encodeRecords({it}));
        continue;
      }
      if (random() % 3 == 0 && !delayed.empty()) {
        log.LoseAnswers = 0;
        RC_ASSERT(log.append(delayed[random() % delayed.size()]).ok());
      }
      auto outcome = view.submit({it});
      RC_ASSERT(outcome[0].ok());
      reported.emplace(it.EditId, *outcome[0]);
    }
    for (LogView &view : operators)
      RC_ASSERT(view.catchUp().ok());
    const History::State &state = operators[0].state();
    for (LogView &view : operators)
      RC_ASSERT(History::sameState(view.state(), state));
    for (const auto &[id, verdict] : reported)
      RC_ASSERT(state.Verdicts.at(id).Accepted == verdict.Accepted);
    uint64_t newest = 0;
    for (const auto &[id, verdict] : state.Verdicts)
      if (verdict.Accepted)
        newest = std::max(newest, verdict.At);
    RC_ASSERT(versionOf(operators[0]) == 0 ||
              versionOf(operators[0]) == newest);
  }));
}
