#include "randomrecords.h"

#include "history/applyrecord.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace History;

namespace {

const bool Seeded =
    setenv("RC_PARAMS", "seed=20261203 max_success=150 max_size=120", 0) == 0;

using Draws = std::vector<uint32_t>;

struct Log {
  std::vector<std::string> Appends;
  State Writer;

  void append(const std::vector<Record> &records) {
    Appends.push_back(encodeRecords(records));
    applyAppend(Writer, Appends.size() - 1, Appends.back());
  }
};

/// A log as daemons and operators write it: batches, repeated appends,
/// snapshots and malformed bytes.
Log logFrom(const Draws &draws) {
  Log log;
  for (uint32_t draw : draws) {
    RandomRecords random(draw);
    uint32_t kind = random.number(12);
    if (kind == 0 && !log.Appends.empty()) {
      std::string again =
          log.Appends[random.number(static_cast<uint32_t>(log.Appends.size()))];
      applyAppend(log.Writer, log.Appends.size(), again);
      log.Appends.push_back(std::move(again));
    } else if (kind == 1 && !log.Appends.empty()) {
      for (SnapshotChunk &chunk : makeSnapshot(log.Writer, "s"))
        log.append({std::move(chunk)});
    } else if (kind == 2) {
      log.Appends.push_back(std::string(random.number(40), 'x'));
      applyAppend(log.Writer, log.Appends.size() - 1, log.Appends.back());
    } else {
      std::vector<Record> batch;
      for (uint32_t n = 1 + random.number(4); n > 0; --n)
        batch.push_back(random.next(log.Writer));
      log.append(batch);
    }
  }
  return log;
}

void readTail(State &state, const Log &log) {
  while (state.NextOffset < log.Appends.size())
    applyAppend(state, state.NextOffset, log.Appends[state.NextOffset]);
}

bool sameViews(const TableState &a, const TableState &b) {
  auto keys = [](const auto &map) {
    std::set<std::string> names;
    for (const auto &[name, value] : map)
      names.insert(name);
    return names;
  };
  return keys(a.Models) == keys(b.Models) &&
         keys(a.Adapters) == keys(b.Adapters) &&
         keys(a.Services) == keys(b.Services) &&
         keys(a.Teams) == keys(b.Teams) && a.KeyTeams == b.KeyTeams;
}

State decoded(const State &state) {
  auto copy = decodeState(encodeState(state));
  RC_ASSERT(copy.ok());
  return std::move(copy.value());
}

State largeState() {
  Log log;
  std::string value(150, 'v');
  for (int i = 0; i < 3000; ++i) {
    TableEdit edit;
    edit.EditId = "e" + std::to_string(i);
    edit.Row = {Table::RowKind::Model, "m" + std::to_string(i)};
    edit.Values = {{"weights", value}, {"memory_mb", "5"}, {"teams", "*"}};
    log.append({edit});
  }
  return log.Writer;
}

} // namespace

TEST_CASE("snapshot and tail, cut anywhere, equal the whole log") {
  CHECK(rc::check([](const Draws &draws, uint32_t cutDraw) {
    Log log = logFrom(draws);
    if (log.Appends.empty())
      return;
    uint64_t cut = 1 + cutDraw % log.Appends.size();
    State early;
    while (early.NextOffset < cut)
      applyAppend(early, early.NextOffset, log.Appends[early.NextOffset]);
    SnapshotAssembler assembler;
    for (const SnapshotChunk &chunk : makeSnapshot(early, "cut"))
      assembler.add(0, chunk);
    auto found = assembler.newest(cut);
    RC_ASSERT(found.has_value());
    readTail(found->Content, log);
    RC_ASSERT(sameState(found->Content, log.Writer));
    RC_ASSERT(sameViews(found->Content.Table, log.Writer.Table));
  }));
}

TEST_CASE("every reader of one log holds the same state") {
  CHECK(rc::check([](const Draws &draws) {
    Log log = logFrom(draws);
    State reader;
    readTail(reader, log);
    RC_ASSERT(sameState(reader, log.Writer));
    uint64_t chargedMb = 0;
    uint64_t replicaMb = 0;
    for (const auto &[name, endpoint] : reader.Endpoints)
      chargedMb += endpoint.ChargedMb;
    for (const auto &[id, replica] : reader.Replicas)
      if (reader.Endpoints.count(replica.Endpoint))
        replicaMb += replica.MemoryMb;
    RC_ASSERT(chargedMb == replicaMb);
  }));
}

TEST_CASE("decoded state gives the same verdicts on later records") {
  CHECK(rc::check([](const Draws &before, const Draws &after) {
    Log log = logFrom(before);
    State copy = decoded(log.Writer);
    uint64_t offset = log.Writer.NextOffset;
    for (uint32_t draw : after) {
      Record record = RandomRecords(draw).next(log.Writer);
      Position at = positionOf(offset++, 0);
      Verdict left = apply(log.Writer, at, record);
      Verdict right = apply(copy, at, record);
      RC_ASSERT(left.Accepted == right.Accepted);
      RC_ASSERT(left.Reason == right.Reason);
      RC_ASSERT(left.WinningVersion == right.WinningVersion);
    }
    RC_ASSERT(sameState(log.Writer, copy));
  }));
}

TEST_CASE("random records are accepted often enough to try every branch") {
  State sum;
  size_t accepted[12] = {};
  for (uint32_t seed = 1; seed < 400; ++seed) {
    std::mt19937 random(seed);
    Log log;
    for (int i = 0; i < 120; ++i) {
      Record record = RandomRecords(random()).next(log.Writer);
      size_t type = record.index();
      accepted[type] +=
          apply(log.Writer, positionOf(log.Writer.NextOffset++, 0), record)
              .Accepted;
    }
  }
  for (size_t type : {1, 2, 3, 4, 5, 6, 7, 8, 10, 11})
    CHECK_MESSAGE(accepted[type] > 50, "type " << type);
}

TEST_CASE("snapshot with a chunk missing is not taken") {
  State state = largeState();
  auto chunks = makeSnapshot(state, "s");
  REQUIRE(chunks.size() > 2);
  for (size_t missing = 0; missing < chunks.size(); ++missing) {
    SnapshotAssembler assembler;
    for (size_t i = 0; i < chunks.size(); ++i)
      if (i != missing)
        CHECK_FALSE(assembler.add(i, chunks[i]));
    CHECK_FALSE(assembler.newest(0));
  }
}

TEST_CASE("snapshot with one changed byte is not taken") {
  State state = largeState();
  auto chunks = makeSnapshot(state, "s");
  chunks[1].Data[chunks[1].Data.size() / 2] ^= 1;
  SnapshotAssembler assembler;
  for (const SnapshotChunk &chunk : chunks)
    assembler.add(7, chunk);
  CHECK_FALSE(assembler.newest(0));
}

TEST_CASE("chunks of two snapshots with one id never join") {
  State state = largeState();
  auto old = makeSnapshot(state, "s");
  applyAppend(state, state.NextOffset, "malformed");
  auto young = makeSnapshot(state, "s");
  SnapshotAssembler assembler;
  assembler.add(0, old[0]);
  for (size_t i = 1; i < young.size(); ++i)
    assembler.add(i, young[i]);
  CHECK_FALSE(assembler.newest(0));
  assembler.add(0, young[0]);
  CHECK(assembler.newest(0)->Content.NextOffset == state.NextOffset);
}

TEST_CASE("snapshot whose tail has expired is not taken") {
  State state = largeState();
  SnapshotAssembler assembler;
  for (const SnapshotChunk &chunk : makeSnapshot(state, "s"))
    assembler.add(0, chunk);
  CHECK_FALSE(assembler.newest(state.NextOffset + 1));
  CHECK(assembler.newest(state.NextOffset));
}

TEST_CASE("state of version 1, its holder may still act and nobody is surely "
          "known to it") {
  State state;
  state.Leases["limits"] = {"some-holder", 5, 9, 4000, 0, {}};
  std::string bytes = encodeState(state);
  size_t at = bytes.find("some-holder");
  REQUIRE(at != std::string::npos);
  size_t older = std::string("some-holder").size() + 8 + 8 + 4;
  bytes.erase(at + older, 8 + 8);
  bytes[1] = 1;
  auto decoded = decodeState(bytes);
  REQUIRE(decoded);
  const Lease &lease = decoded->Leases.at("limits");
  CHECK(lease.Renewal == 9);
  CHECK(lease.DurationMs == 4000);
  CHECK(lease.Known == 0);
  CHECK(lease.Actors == std::map<std::string, Position>{{"some-holder", 9}});
}

TEST_CASE("state of a newer version is refused") {
  std::string bytes = encodeState(State());
  bytes[1] = static_cast<char>(StateVersion + 1);
  CHECK_FALSE(decodeState(bytes));
}
