#include "routing/routing.h"

#include <cmath>
#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace std::chrono_literals;
using namespace Routing;

namespace {

struct Places {
  std::mt19937_64 Random{7};
  std::vector<Candidate> Candidates;

  void add(const std::string &domain, uint32_t load) {
    std::string name = "e" + std::to_string(Candidates.size());
    Candidates.push_back({name, domain, load, 0});
  }
  std::vector<int> shares(const Query &query, int n) {
    std::vector<int> counts(Candidates.size());
    for (int i = 0; i < n; ++i)
      ++counts[*choose(Candidates, query, Random)];
    return counts;
  }
};

} // namespace

TEST_CASE_FIXTURE(Places, "most loaded of many places is never chosen by load, "
                          "all others are") {
  for (uint32_t load : {0, 0, 0, 9})
    add("z", load);
  auto counts = shares({}, 1000);
  CHECK(counts[3] == 0);
  for (int i = 0; i < 3; ++i)
    CHECK(counts[i] > 200);
}

TEST_CASE_FIXTURE(Places, "own failure domain takes all until it is "
                          "overloaded") {
  add("own", 2);
  add("own", 2);
  add("other", 2);
  add("other", 2);
  auto near = shares({"own", 0}, 500);
  CHECK(near[0] + near[1] == 500);
  Candidates[0].ReportedLoad = Candidates[1].ReportedLoad = 20;
  auto spread = shares({"own", 0}, 500);
  CHECK(spread[2] + spread[3] > 250);
}

TEST_CASE_FIXTURE(Places, "prefix stays at its place under equal load, keeps "
                          "it when another place goes, and leaves it at the "
                          "load bound") {
  for (int i = 0; i < 8; ++i)
    add("z", 4);
  int moved = 0;
  for (uint64_t prefix = 1; prefix <= 100; ++prefix) {
    size_t home = *choose(Candidates, {"", prefix}, Random);
    CHECK(*choose(Candidates, {"", prefix}, Random) == home);
    auto fewer = Candidates;
    fewer.pop_back();
    if (home < fewer.size())
      moved += *choose(fewer, {"", prefix}, Random) != home;
    auto busy = Candidates;
    busy[home].Outstanding = 4;
    CHECK(*choose(busy, {"", prefix}, Random) != home);
  }
  CHECK(moved == 0);
}

TEST_CASE_FIXTURE(Places, "no place over the load bound is chosen for any "
                          "prefix, for random loads") {
  for (uint64_t seed = 1; seed <= 500; ++seed) {
    std::mt19937_64 random(seed);
    Candidates.clear();
    uint64_t total = 0;
    size_t n = 1 + random() % 20;
    for (size_t i = 0; i < n; ++i) {
      add("z", static_cast<uint32_t>(random() % 30));
      total += Candidates.back().ReportedLoad;
    }
    size_t chosen = *choose(Candidates, {"", random() | 1}, Random);
    double bound = std::ceil(1.5 * static_cast<double>(total + 1) /
                             static_cast<double>(n));
    CAPTURE(seed);
    CHECK(Candidates[chosen].ReportedLoad + 1 <= bound);
  }
}

TEST_CASE_FIXTURE(Places, "prefix leaves its place at the bound of the own "
                          "calls, however much others are said to run") {
  for (int i = 0; i < 4; ++i)
    add("z", 20);
  for (uint64_t prefix = 1; prefix <= 20; ++prefix) {
    size_t home = *choose(Candidates, {"", prefix}, Random);
    auto own = Candidates;
    own[home].Outstanding = 2;
    CHECK(*choose(own, {"", prefix}, Random) != home);
  }
}

TEST_CASE("outliers, endpoint fails and answers, tell the last failure until "
          "it answers") {
  Routing::Outliers outliers;
  Utils::TimePoint now{};
  CHECK(!outliers.lastFailure("e"));
  outliers.record("e", true, now + std::chrono::seconds(1));
  outliers.record("e", true, now + std::chrono::seconds(2));
  CHECK(outliers.lastFailure("e") == now + std::chrono::seconds(2));
  CHECK(!outliers.lastFailure("f"));
  CHECK(outliers.failedSince(now + std::chrono::seconds(1)) ==
        std::vector<std::string>{"e"});
  CHECK(outliers.failedSince(now + std::chrono::seconds(2)).empty());
  outliers.record("e", false, now + std::chrono::seconds(3));
  CHECK(!outliers.lastFailure("e"));
}

TEST_CASE("endpoint is ejected after failures in a row, for longer each time, "
          "and comes back") {
  Outliers outliers;
  Utils::TimePoint now{};
  const std::vector<std::string> all = {"a", "b", "c", "d"};
  auto failFiveTimes = [&] {
    for (int i = 0; i < 5; ++i)
      outliers.record("a", true, now);
  };
  for (int i = 0; i < 4; ++i)
    outliers.record("a", true, now);
  CHECK(outliers.ejected(all, now).empty());
  outliers.record("a", false, now);
  outliers.record("a", true, now);
  CHECK(outliers.ejected(all, now).empty());
  outliers.record("a", false, now);
  failFiveTimes();
  CHECK(outliers.ejected(all, now) == std::set<std::string>{"a"});
  now += 5s;
  CHECK(outliers.ejected(all, now).empty());
  failFiveTimes();
  now += 9s;
  CHECK(outliers.ejected(all, now).size() == 1);
}

TEST_CASE("signal against all endpoints ejects no more than half") {
  Outliers outliers;
  Utils::TimePoint now{};
  std::vector<std::string> all;
  for (int i = 0; i < 7; ++i) {
    all.push_back("e" + std::to_string(i));
    for (int k = 0; k < 5; ++k)
      outliers.record(all.back(), true, now);
    now += 1ms;
  }
  CHECK(outliers.ejected(all, now) == std::set<std::string>{"e4", "e5", "e6"});
  CHECK(outliers.ejected({"e0"}, now).empty());
}

TEST_CASE("leaving endpoint is no candidate, of a service or of a model") {
  History::State state;
  for (const char *name : {"desk-0", "desk-1"}) {
    state.Endpoints[name].Kind = History::EndpointKind::Service;
    state.Endpoints[name].Service = "desk";
    state.Replicas[name].Model = "m";
    state.Replicas[name].Endpoint = name;
    state.Replicas[name].Phase = History::ReplicaPhase::Ready;
  }
  REQUIRE(serviceEndpoints(state, "desk").size() == 2);
  REQUIRE(readyReplicas(state, "m").size() == 2);
  state.Endpoints["desk-1"].Life = History::EndpointLife::Leaving;
  auto services = serviceEndpoints(state, "desk");
  REQUIRE(services.size() == 1);
  CHECK(services[0].Endpoint == "desk-0");
  CHECK(readyReplicas(state, "m").size() == 1);
}

TEST_CASE("index holds live ready replicas, sees a new model at once and a "
          "leaving endpoint after its lag") {
  History::State state;
  state.Applied = 1;
  state.Endpoints["e1"].FailureDomain = "z";
  state.Endpoints["e2"].Life = History::EndpointLife::Leaving;
  auto add = [&](const char *id, const char *model, const char *endpoint,
                 History::ReplicaPhase phase) {
    state.Replicas[id].Model = model;
    state.Replicas[id].Endpoint = endpoint;
    state.Replicas[id].Phase = phase;
    ++state.Applied;
  };
  using History::ReplicaPhase;
  add("1", "m", "e1", ReplicaPhase::Ready);
  add("2", "m", "e2", ReplicaPhase::Ready);
  add("3", "m", "e1", ReplicaPhase::Loading);
  ReplicaIndex index;
  Utils::TimePoint now{};
  REQUIRE(index.ready(state, "m", now).size() == 1);
  CHECK(index.ready(state, "m", now)[0].Endpoint == "e1");
  CHECK(index.ready(state, "n", now).empty());
  add("4", "n", "e1", ReplicaPhase::Ready);
  CHECK(index.ready(state, "n", now).size() == 1);
  state.Endpoints["e1"].Life = History::EndpointLife::Leaving;
  ++state.Applied;
  CHECK(index.ready(state, "m", now).empty());
  CHECK(index.ready(state, "m", now + ReplicaIndex::MaxLag).empty());
}

TEST_CASE("endpoint is watched by as many daemons as asked, whichever daemon "
          "reckons, and a daemon that goes moves only its own watches") {
  constexpr size_t n = 2;
  std::vector<std::string> daemons;
  daemons.reserve(40);
  for (int i = 0; i < 40; ++i)
    daemons.push_back("d" + std::to_string(i));
  auto watchersOf = [&](const std::string &endpoint, const std::string &gone) {
    std::set<std::string> watchers;
    for (const std::string &self : daemons) {
      std::vector<std::string> others = daemons;
      std::erase_if(others, [&](const std::string &it) {
        return it == self || it == gone;
      });
      if (self != gone && isWatcher(endpoint, self, others, n))
        watchers.insert(self);
    }
    return watchers;
  };
  std::map<std::string, int> watches;
  for (int i = 0; i < 100; ++i) {
    std::string endpoint = "e" + std::to_string(i);
    auto all = watchersOf(endpoint, "");
    REQUIRE(all.size() == n);
    for (const std::string &it : all)
      ++watches[it];
    auto fewer = watchersOf(endpoint, "d7");
    CHECK(fewer.size() == n);
    if (all.count("d7") == 0)
      CHECK(fewer == all);
  }
  for (const auto &[daemon, count] : watches)
    CHECK(count < 20);
}

struct Readings {
  Utils::TimePoint Now = Utils::TimePoint() + 1h;
  LoadBoard Board;

  std::vector<uint32_t> others(const std::vector<SeenLoad> &seen) const {
    return loadsOfOthers(seen, Now);
  }
};

TEST_CASE_FIXTURE(Readings, "own calls that a reading holds are not counted "
                            "twice") {
  CHECK(others({{LoadReading{7, Now}, 3}, {LoadReading{2, Now}, 5}}) ==
        std::vector<uint32_t>{4, 0});
}

TEST_CASE_FIXTURE(Readings, "reading loses weight with its age, and an "
                            "endpoint without one counts as the mean") {
  LoadReading busy{20, Now};
  LoadReading idle{0, Now};
  CHECK(others({{busy, 0}, {idle, 0}, {std::nullopt, 0}}) ==
        std::vector<uint32_t>{20, 0, 10});
  LoadReading older{20, Now - LoadBoard::StaleAfter / 2};
  auto half = others({{older, 0}, {idle, 0}});
  CHECK(half[0] > 10);
  CHECK(half[0] < 20);
  LoadReading stale{20, Now - LoadBoard::StaleAfter};
  CHECK(others({{stale, 0}, {idle, 0}}) == std::vector<uint32_t>{0, 0});
  CHECK(others({{stale, 0}, {stale, 0}}) == std::vector<uint32_t>{0, 0});
}

TEST_CASE_FIXTURE(Readings, "told reading is never newer than the one it was "
                            "made of, through many daemons and slow answers") {
  Board.note("e", {9, Now});
  Utils::TimePoint read = Now;
  std::mt19937_64 random(3);
  for (int i = 0; i < 50; ++i) {
    LoadDigest told = Board.digest(Now);
    Utils::TimePoint askedAt = Now - Utils::Milliseconds(random() % 90);
    LoadBoard next;
    next.take(told, askedAt);
    auto reading = next.reading("e");
    REQUIRE(reading);
    CHECK(reading->At <= read);
    CHECK(reading->Load == 9);
    Board.take(next.digest(Now), Now);
    CHECK(Board.reading("e")->At <= read);
    Now += Utils::Milliseconds(random() % 100);
  }
}

TEST_CASE_FIXTURE(Readings, "older reading never replaces a newer one, stale "
                            "ones are not told, and the board is bounded") {
  Board.note("e", {5, Now});
  Board.note("e", {1, Now - 1s});
  CHECK(Board.reading("e")->Load == 5);
  CHECK(Board.digest(Now + LoadBoard::StaleAfter).empty());
  for (size_t i = 0; i < 2 * LoadBoard::MaxEntries; ++i)
    Board.note("e" + std::to_string(i), {1, Now});
  CHECK(Board.digest(Now).size() == LoadBoard::MaxEntries);
  Now += 2 * LoadBoard::StaleAfter;
  Board.note("new", {3, Now});
  CHECK(Board.reading("new"));
}
