#include "gateway/fleettable.h"
#include "gateway/tablebook.h"

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

/// A holder's book over what each endpoint holds.
struct HolderSide {
  std::map<std::string, std::string> Held;
  TableBook Book;

  explicit HolderSide(int64_t token, const KnownTable &before = {})
      : Book(token, before) {}
  void set(const std::string &id, const std::string &model) {
    Held[id] = model;
    Book.note(id, model);
  }
  void remove(const std::string &id) {
    Held.erase(id);
    Book.note(id, "gone");
  }
  void doubt(const std::string &id) {
    auto it = Held.find(id);
    Book.note(id, it == Held.end() ? "gone" : it->second, true);
  }
  FleetLink::Beat answer(const FleetLink::Report &report, size_t most) const {
    FleetLink::Beat out;
    constexpr size_t unbounded = 1 << 30;
    auto entryOf = [this](const std::string &id, uint64_t revision) {
      FleetLink::EndpointEntry entry;
      entry.Endpoint = id;
      entry.Revision = revision;
      auto it = Held.find(id);
      entry.Gone = it == Held.end();
      if (!entry.Gone)
        entry.Models.push_back({it->second, 0, {}});
      return FleetLink::sealEntry(entry);
    };
    Book.tell(out, report, {most, unbounded}, entryOf);
    REQUIRE(FleetLink::openEntries(out));
    return out;
  }
};

struct MemberSide {
  FleetTable Table;
  Fleet::EndpointTable Own;
  /// Offset up to which it has read the endpoints itself.
  uint64_t Next = 0;
  int64_t Token = 0;
  size_t Told = 0;

  void readAll(const std::map<std::string, std::string> &held, uint64_t next) {
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
  void ask(HolderSide &holder, int64_t token, size_t most = 100) {
    for (const std::string &it : Table.doubts())
      holder.doubt(it);
    FleetLink::Beat beat = holder.answer(report(), most);
    beat.Token = token;
    Told += beat.Entries.size();
    Table.take(beat, Own, TimePoint{1h});
    Token = token;
  }
  bool knows(const std::map<std::string, std::string> &held,
             const std::vector<std::string> &models) const {
    if (!Table.isComplete())
      return false;
    std::map<std::string, std::string> out;
    for (const std::string &model : models)
      for (const std::string &id : *Table.placesOf(model))
        out[id] = model;
    return out == held;
  }
};

struct LargeFleet {
  HolderSide Holder{1};
  MemberSide Member;
  static constexpr size_t Endpoints = 3000;

  LargeFleet() {
    for (size_t i = 0; i < Endpoints; ++i)
      Holder.set("i-" + std::to_string(i), i % 2 ? "m1" : "m0");
  }
};

} // namespace

TEST_CASE_FIXTURE(LargeFleet,
                  "gateway that reads the store itself is told only "
                  "what changed since the holder's reading") {
  Holder.Book.noteListed(5000, {"i-7"});
  Member.readAll(Holder.Held, 5000);
  Holder.set("i-8", "m2");
  Holder.remove("i-9");
  Member.ask(Holder, 1);
  CHECK(Member.Told == 3);
  CHECK(Member.knows(Holder.Held, {"m0", "m1", "m2"}));
}

TEST_CASE_FIXTURE(LargeFleet,
                  "gateway whose reading is older than the holder's "
                  "is told all, a part with each beat") {
  Member.readAll({{"i-0", "m9"}}, 4999);
  Holder.Book.noteListed(5000, {});
  Member.ask(Holder, 1);
  CHECK_FALSE(Member.Table.isComplete());
  CHECK(Member.Table.placesOf("m0") == nullptr);
  for (size_t i = 1; i < Endpoints / 100; ++i)
    Member.ask(Holder, 1);
  CHECK(Member.Told == Endpoints);
  CHECK(Member.knows(Holder.Held, {"m0", "m1"}));
}

TEST_CASE_FIXTURE(LargeFleet, "gateway that is told in parts ends it once it "
                              "has read the store itself") {
  Holder.Book.noteListed(5000, {});
  Member.ask(Holder, 1);
  Member.readAll(Holder.Held, 5001);
  Member.ask(Holder, 1);
  CHECK(Member.Told == 100);
  CHECK(Member.knows(Holder.Held, {"m0", "m1"}));
}

TEST_CASE_FIXTURE(LargeFleet, "holder that takes over tells what it knows to "
                              "be new and nothing else") {
  Holder.Book.noteListed(5000, {});
  Member.readAll(Holder.Held, 5000);
  Member.ask(Holder, 1);
  MemberSide other = Member;
  Holder.set("i-3", "m2");
  Member.ask(Holder, 1);
  HolderSide next(2, Member.Table.known());
  for (const auto &[id, model] : Holder.Held)
    next.set(id, model);
  next.Book.goOn(Member.Table.known());
  size_t before = other.Told;
  other.ask(next, 2);
  CHECK(other.Told == before + 1);
  CHECK(other.knows(Holder.Held, {"m0", "m1", "m2"}));
}

TEST_CASE("endpoint without an entry holds what it says until all are told") {
  FleetTable table;
  Fleet::Endpoint endpoint{reportOf("i-1", {"m"}), {}};
  CHECK(table.readyAt(endpoint, "m", ""));
  CHECK_FALSE(table.readyAt(endpoint, "other", ""));
}

namespace {

const std::vector<std::string> Models = {"m0", "m1", "m2", "m3"};

/// Gateways that read the store or are cut off from it, holders that follow
/// each other, and beats of any size.
struct Fleet5 {
  std::mt19937_64 Random;
  std::map<std::string, std::string> Held;
  uint64_t Next = 1;
  int64_t Token = 1;
  std::vector<MemberSide> Members;
  std::unique_ptr<HolderSide> Holder = std::make_unique<HolderSide>(1);

  explicit Fleet5(uint64_t seed) : Random(seed), Members(5) {}
  uint64_t pick(uint64_t n) { return Random() % n; }

  void change() {
    std::string id = "i-" + std::to_string(pick(40));
    ++Next;
    Held[id] = Models[pick(Models.size())];
    if (pick(4) == 0)
      Held.erase(id);
    learn(*Holder, id);
  }
  void learn(HolderSide &holder, const std::string &id) const {
    auto it = Held.find(id);
    it == Held.end() ? holder.remove(id) : holder.set(id, it->second);
  }
  /// One of the gateways goes on with what it knows, then reads the store.
  void succeed() {
    const FleetTable &table = Members[pick(Members.size())].Table;
    const KnownTable known = table.isComplete() ? table.known() : KnownTable{};
    auto successor = std::make_unique<HolderSide>(++Token, known);
    for (const auto &[id, revision] : known.Revisions) {
      ::Fleet::Endpoint silent{reportOf(id, {}), {}};
      successor->remove(id);
      for (const std::string &it : Models)
        if (table.readyAt(silent, it, ""))
          successor->set(id, it);
    }
    successor->Book.goOn(known);
    for (const auto &[id, model] : Held)
      learn(*successor, id);
    for (const auto &[id, revision] : known.Revisions)
      learn(*successor, id);
    Holder = std::move(successor);
  }
  void readStore(MemberSide &member) const {
    member.Own = {};
    member.readAll(Held, Next);
  }
  void step() {
    MemberSide &member = Members[pick(Members.size())];
    switch (pick(6)) {
    case 0:
    case 1:
      return change();
    case 2:
      return readStore(member);
    case 3:
      if (pick(5) == 0)
        return succeed();
      if (pick(3) == 0)
        Holder->Book.noteListed(Next, {});
      return;
    default:
      member.ask(*Holder, Token, 1 + pick(9));
      if (member.Table.isComplete())
        member.Next = 0; // It reads by itself no longer.
    }
  }
};

} // namespace

TEST_CASE("gateways know the holder's table in the end, whoever holds it and "
          "whatever they have read") {
  for (uint64_t seed = 1; seed <= 500; ++seed) {
    CAPTURE(seed);
    Fleet5 fleet(seed);
    for (int i = 0; i < 400; ++i)
      fleet.step();
    for (MemberSide &it : fleet.Members) {
      for (int i = 0; i < 60 && !it.knows(fleet.Held, Models); ++i)
        it.ask(*fleet.Holder, fleet.Token, 5);
      CHECK(it.knows(fleet.Held, Models));
    }
  }
}

TEST_CASE("book fills a beat up to its room in bytes and tells one entry at "
          "least") {
  TableBook book(1, {});
  for (int i = 0; i < 10; ++i)
    book.note("i-" + std::to_string(i), "m");
  auto entryOf = [](const std::string &, uint64_t) {
    return std::string(100, 'x');
  };
  FleetLink::Beat some;
  book.tell(some, {}, {10, 350}, entryOf);
  CHECK(some.SealedEntries.size() == 3);
  CHECK_FALSE(some.TableComplete);
  FleetLink::Beat one;
  book.tell(one, {}, {10, 50}, entryOf);
  CHECK(one.SealedEntries.size() == 1);
  CHECK_FALSE(one.TableComplete);
  FleetLink::Beat all;
  book.tell(all, {}, {10, 1000}, entryOf);
  CHECK(all.SealedEntries.size() == 10);
  CHECK(all.TableComplete);
}
