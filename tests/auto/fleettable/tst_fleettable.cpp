#include "gateway/fleettable.h"
#include "gateway/tablechangelog.h"

#include <doctest/doctest.h>
#include <random>

using namespace std::chrono_literals;
using namespace Gateway;

namespace {

Fleet::EndpointReport reportOf(const std::string &id,
                               const std::vector<std::string> &models) {
  Fleet::EndpointReport out;
  out.Id = id;
  for (const std::string &it : models)
    out.Models.push_back({it, 1, {}});
  return out;
}

/// The model that each endpoint holds, and the holder's table of it.
struct TestHolder {
  std::map<std::string, std::string> Held;
  TableChangelog Changelog;

  explicit TestHolder(int64_t token, const KnownTable &before = {})
      : Changelog(token, before) {}
  void set(const std::string &id, const std::string &model) {
    Held[id] = model;
    Changelog.update(id, model);
  }
  void remove(const std::string &id) {
    Held.erase(id);
    Changelog.update(id, "gone");
  }
  void updateUnconfirmed(const std::string &id) {
    auto it = Held.find(id);
    Changelog.update(id, it == Held.end() ? "gone" : it->second, true);
  }
  FleetLink::Heartbeat answer(const FleetLink::Report &report,
                              size_t maxEntries) const {
    FleetLink::Heartbeat out;
    constexpr size_t unbounded = 1 << 30;
    auto encodeEntry = [this](const std::string &id, uint64_t revision) {
      FleetLink::EndpointEntry entry;
      entry.Endpoint = id;
      entry.Revision = revision;
      auto it = Held.find(id);
      entry.Removed = it == Held.end();
      if (!entry.Removed)
        entry.Models.push_back({it->second, 0, {}});
      return FleetLink::encodeEntry(entry);
    };
    Changelog.addChanges(out, report, {maxEntries, unbounded}, encodeEntry);
    REQUIRE(FleetLink::decodeEntries(out));
    return out;
  }
};

/// A gateway's replica of the table, and what it has itself read from the
/// store.
struct TestMember {
  FleetTable Table;
  Fleet::EndpointTable Own;
  /// Offset up to which it has itself read the endpoints' topic.
  uint64_t Next = 0;
  int64_t Token = 0;
  size_t Received = 0;

  void readStore(const std::map<std::string, std::string> &held,
                 uint64_t next) {
    for (const auto &[id, model] : held) {
      auto report = reportOf(id, {model});
      report.Sequence = int64_t(next);
      Own.update(std::move(report), TimePoint{1h});
    }
    Next = next;
  }
  FleetLink::Report report() const {
    FleetLink::Report out;
    out.Lineage = Table.known().Lineage;
    out.TableRevision = Table.known().Revision;
    out.TableComplete = Table.isComplete();
    out.Token = Token;
    out.EndpointsNext = Next;
    return out;
  }
  void exchange(TestHolder &holder, int64_t token, size_t maxEntries = 100) {
    for (const std::string &it : Table.unconfirmed())
      holder.updateUnconfirmed(it);
    FleetLink::Heartbeat heartbeat = holder.answer(report(), maxEntries);
    heartbeat.Token = token;
    Received += heartbeat.Entries.size();
    Table.apply(heartbeat, Own, TimePoint{1h});
    Token = token;
  }
  bool hasTable(const std::map<std::string, std::string> &held,
                const std::vector<std::string> &models) const {
    if (!Table.isComplete())
      return false;
    std::map<std::string, std::string> out;
    for (const std::string &model : models)
      for (const std::string &id : *Table.endpointsWith(model))
        out[id] = model;
    return out == held;
  }
};

struct LargeFleet {
  TestHolder Holder{1};
  TestMember Member;
  static constexpr size_t Endpoints = 3000;

  LargeFleet() {
    for (size_t i = 0; i < Endpoints; ++i)
      Holder.set("i-" + std::to_string(i), i % 2 ? "m1" : "m0");
  }
};

} // namespace

TEST_CASE_FIXTURE(LargeFleet,
                  "gateway that has read the store itself is sent only "
                  "what changed since the holder read it") {
  Holder.Changelog.markReadFromStore({{}, 5000}, {"i-7"});
  Member.readStore(Holder.Held, 5000);
  Holder.set("i-8", "m2");
  Holder.remove("i-9");
  Member.exchange(Holder, 1);
  CHECK(Member.Received == 3);
  CHECK(Member.hasTable(Holder.Held, {"m0", "m1", "m2"}));
}

TEST_CASE_FIXTURE(LargeFleet,
                  "gateway that read the store before the holder did is "
                  "sent all entries over several heartbeats") {
  Member.readStore({{"i-0", "m9"}}, 4999);
  Holder.Changelog.markReadFromStore({{}, 5000}, {});
  Member.exchange(Holder, 1);
  CHECK_FALSE(Member.Table.isComplete());
  CHECK(Member.Table.endpointsWith("m0") == nullptr);
  for (size_t i = 1; i < Endpoints / 100; ++i)
    Member.exchange(Holder, 1);
  CHECK(Member.Received == Endpoints);
  CHECK(Member.hasTable(Holder.Held, {"m0", "m1"}));
}

TEST_CASE_FIXTURE(
    LargeFleet,
    "gateway that receives the table in parts gets no more of it once it "
    "has read the store itself") {
  Holder.Changelog.markReadFromStore({{}, 5000}, {});
  Member.exchange(Holder, 1);
  Member.readStore(Holder.Held, 5001);
  Member.exchange(Holder, 1);
  CHECK(Member.Received == 100);
  CHECK(Member.hasTable(Holder.Held, {"m0", "m1"}));
}

TEST_CASE_FIXTURE(LargeFleet, "new holder sends only the entries that "
                              "changed since the gateway's revision") {
  Holder.Changelog.markReadFromStore({{}, 5000}, {});
  Member.readStore(Holder.Held, 5000);
  Member.exchange(Holder, 1);
  TestMember other = Member;
  Holder.set("i-3", "m2");
  Member.exchange(Holder, 1);
  TestHolder next(2, Member.Table.known());
  for (const auto &[id, model] : Holder.Held)
    next.set(id, model);
  next.Changelog.adoptRevisions(Member.Table.known());
  size_t before = other.Received;
  other.exchange(next, 2);
  CHECK(other.Received == before + 1);
  CHECK(other.hasTable(Holder.Held, {"m0", "m1", "m2"}));
}

TEST_CASE("endpoint without an entry holds what its own report says") {
  FleetTable table;
  Fleet::Endpoint endpoint{reportOf("i-1", {"m"}), {}};
  CHECK(table.readyAt(endpoint, "m", ""));
  CHECK_FALSE(table.readyAt(endpoint, "other", ""));
}

namespace {

const std::vector<std::string> Models = {"m0", "m1", "m2", "m3"};

/// Five gateways that read the store at random times, successive holders, and
/// heartbeats of random size.
struct RandomFleet {
  std::mt19937_64 Random;
  std::map<std::string, std::string> Held;
  uint64_t Next = 1;
  int64_t Token = 1;
  std::vector<TestMember> Members;
  std::unique_ptr<TestHolder> Holder = std::make_unique<TestHolder>(1);

  explicit RandomFleet(uint64_t seed) : Random(seed), Members(5) {}
  uint64_t randomBelow(uint64_t n) { return Random() % n; }

  void change() {
    std::string id = "i-" + std::to_string(randomBelow(40));
    ++Next;
    Held[id] = Models[randomBelow(Models.size())];
    if (randomBelow(4) == 0)
      Held.erase(id);
    updateHolder(*Holder, id);
  }
  void updateHolder(TestHolder &holder, const std::string &id) const {
    auto it = Held.find(id);
    it == Held.end() ? holder.remove(id) : holder.set(id, it->second);
  }
  /// A random gateway becomes the holder with the table that it knows, then
  /// reads the store.
  void takeOver() {
    const FleetTable &table = Members[randomBelow(Members.size())].Table;
    const KnownTable known = table.isComplete() ? table.known() : KnownTable{};
    auto successor = std::make_unique<TestHolder>(++Token, known);
    for (const auto &[id, revision] : known.Revisions) {
      ::Fleet::Endpoint withoutModels{reportOf(id, {}), {}};
      successor->remove(id);
      for (const std::string &it : Models)
        if (table.readyAt(withoutModels, it, ""))
          successor->set(id, it);
    }
    successor->Changelog.adoptRevisions(known);
    for (const auto &[id, model] : Held)
      updateHolder(*successor, id);
    for (const auto &[id, revision] : known.Revisions)
      updateHolder(*successor, id);
    Holder = std::move(successor);
  }
  void readStore(TestMember &member) const {
    member.Own = {};
    member.readStore(Held, Next);
  }
  void step() {
    TestMember &member = Members[randomBelow(Members.size())];
    switch (randomBelow(6)) {
    case 0:
    case 1:
      return change();
    case 2:
      return readStore(member);
    case 3:
      if (randomBelow(5) == 0)
        return takeOver();
      if (randomBelow(3) == 0)
        Holder->Changelog.markReadFromStore({{}, Next}, {});
      return;
    default:
      member.exchange(*Holder, Token, 1 + randomBelow(9));
      if (member.Table.isComplete())
        member.Next = 0; // It no longer reads the store itself.
    }
  }
};

} // namespace

TEST_CASE("all gateways converge to the holder's table after random takeovers "
          "and reads of the store") {
  for (uint64_t seed = 1; seed <= 500; ++seed) {
    CAPTURE(seed);
    RandomFleet fleet(seed);
    for (int i = 0; i < 400; ++i)
      fleet.step();
    for (TestMember &it : fleet.Members) {
      for (int i = 0; i < 60 && !it.hasTable(fleet.Held, Models); ++i)
        it.exchange(*fleet.Holder, fleet.Token, 5);
      CHECK(it.hasTable(fleet.Held, Models));
    }
  }
}

TEST_CASE("endpoint that the table does not list counts as unlisted only if it "
          "was reported before the holder read the store") {
  TestHolder holder(1);
  holder.set("i-2", "m");
  TestMember member;
  member.exchange(holder, 1);
  constexpr TimePoint reportedAt{1h};
  for (const char *id : {"i-1", "i-2", "i-3"})
    member.Own.update(reportOf(id, {"m"}), reportedAt);
  CHECK(member.Table.unlisted(member.Own, reportedAt - 1ms).empty());
  CHECK(member.Table.unlisted(member.Own, reportedAt) ==
        std::vector<std::string>{"i-1", "i-3"});
}

TEST_CASE("table changelog fills a heartbeat up to its limit in bytes with at "
          "least one entry") {
  TableChangelog changelog(1, {});
  for (int i = 0; i < 10; ++i)
    changelog.update("i-" + std::to_string(i), "m");
  auto encodeEntry = [](const std::string &, uint64_t) {
    return std::string(100, 'x');
  };
  FleetLink::Heartbeat some;
  changelog.addChanges(some, {}, {10, 350}, encodeEntry);
  CHECK(some.EncodedEntries.size() == 3);
  CHECK_FALSE(some.TableComplete);
  FleetLink::Heartbeat one;
  changelog.addChanges(one, {}, {10, 50}, encodeEntry);
  CHECK(one.EncodedEntries.size() == 1);
  CHECK_FALSE(one.TableComplete);
  FleetLink::Heartbeat all;
  changelog.addChanges(all, {}, {10, 1000}, encodeEntry);
  CHECK(all.EncodedEntries.size() == 10);
  CHECK(all.TableComplete);
}
