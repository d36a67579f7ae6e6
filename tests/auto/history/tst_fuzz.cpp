#include "randomrecords.h"

#include "codec/codec.h"

#include <doctest/doctest.h>

using namespace History;

namespace {

constexpr uint32_t Seed = 20261203;
constexpr int Runs = 20'000;

void mutate(std::string &bytes, std::mt19937 &random) {
  auto below = [&](size_t n) { return random() % n; };
  for (size_t n = 1 + below(4); n > 0 && !bytes.empty(); --n) {
    size_t at = below(bytes.size());
    switch (below(5)) {
    case 0:
      bytes[at] = static_cast<char>(random());
      break;
    case 1:
      bytes.resize(at);
      break;
    case 2:
      bytes.insert(at, 1 + below(8), static_cast<char>(random()));
      break;
    case 3:
      bytes[at] = static_cast<char>(0xff);
      break;
    default:
      bytes += bytes.substr(at);
    }
  }
}

struct Typed {
  uint16_t Type = 0;
  std::string Payload;
  template <class A> void serialize(A &a) { a(Type, Payload); }
};

State writtenState(uint32_t seed, std::vector<std::string> &appends) {
  State state;
  std::mt19937 random(seed);
  for (int i = 0; i < 400; ++i) {
    appends.push_back(encodeRecords({RandomRecords(random()).next(state)}));
    applyAppend(state, state.NextOffset, appends.back());
  }
  return state;
}

} // namespace

TEST_CASE("mutated records never stop a reader, and readers agree on them") {
  MESSAGE("seed " << Seed << ", runs " << Runs);
  std::vector<std::string> appends;
  writtenState(Seed, appends);
  std::mt19937 random(Seed);
  State left;
  State right;
  for (int i = 0; i < Runs; ++i) {
    std::string bytes = appends[random() % appends.size()];
    mutate(bytes, random);
    applyAppend(left, left.NextOffset, bytes);
    applyAppend(right, right.NextOffset, bytes);
  }
  CHECK(left.NextOffset == Runs);
  CHECK(left.SkippedRecords > 0);
  CHECK(sameState(left, right));
}

TEST_CASE("mutated state is refused or encodes again to what was read") {
  std::vector<std::string> appends;
  std::string valid = encodeState(writtenState(Seed, appends));
  std::mt19937 random(Seed);
  int refused = 0;
  for (int i = 0; i < Runs / 20; ++i) {
    std::string bytes = valid;
    mutate(bytes, random);
    auto state = decodeState(bytes);
    if (!state) {
      ++refused;
      continue;
    }
    std::string again = encodeState(*state);
    auto second = decodeState(again);
    REQUIRE(second);
    CHECK(encodeState(*second) == again);
  }
  CHECK(refused > 0);
}

TEST_CASE("mutated chunks never make a snapshot of another state") {
  std::vector<std::string> appends;
  State state = writtenState(Seed, appends);
  auto chunks = makeSnapshot(state, "s");
  std::string valid = encodeState(state);
  std::mt19937 random(Seed);
  for (int i = 0; i < Runs / 20; ++i) {
    SnapshotAssembler assembler;
    for (const SnapshotChunk &chunk : chunks) {
      std::string bytes = encodeRecords({chunk});
      mutate(bytes, random);
      for (const Record &record : decodeRecords(bytes))
        if (const auto *read = std::get_if<SnapshotChunk>(&record))
          assembler.add(0, *read);
    }
    if (auto found = assembler.newest(0))
      CHECK(encodeState(found->Content) == valid);
  }
}

TEST_CASE("record type of a later version is stepped over in its append") {
  TableEdit edit;
  edit.EditId = "e";
  edit.Row = {Table::RowKind::Team, "kitchen"};
  edit.Values = {{"rate_tokens_per_s", "1"}, {"burst_tokens", "1"}};
  auto known = Codec::decode<std::vector<Typed>>(encodeRecords({edit}));
  REQUIRE(known);
  constexpr uint16_t later = std::variant_size_v<Record>;
  std::vector<Typed> mixed = {{later, "from the future"}, (*known)[0]};
  State state;
  applyAppend(state, 0, Codec::encode(mixed));
  CHECK(state.SkippedRecords == 1);
  CHECK(state.Audit.front().What ==
        "skipped record type " + std::to_string(later));
  CHECK(state.Table.Teams.count("kitchen") == 1);
}
