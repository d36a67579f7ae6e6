#include "codec/codec.h"
#include "daemon/dispatch.h"
#include "daemon/loadvector.h"
#include "daemon/loadwatch.h"

#include <algorithm>
#include <condition_variable>
#include <doctest/doctest.h>

using namespace std::chrono_literals;
using namespace Daemon::Internal;

namespace {

constexpr auto Generous = 20s;
constexpr uint32_t BusyLoad = 12;

/// Engines that report their load; the one named `hung` does not answer.
struct Engines {
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<uint16_t, uint32_t> Loads = {{1, BusyLoad}, {2, 0}, {3, 5}};
  std::map<uint16_t, int> Readers;
  uint16_t Hung = 0;
  bool Released = false;

  Utils::Outcome<Engine::UsageReport> usage(uint16_t port) {
    std::unique_lock lock(Mutex);
    ++Readers[port];
    if (port == Hung) {
      Changed.wait_for(lock, Generous, [this] { return Released; });
      return Utils::failure(Utils::Errc::Unavailable, "hung");
    }
    return Engine::UsageReport{Loads[port], 0};
  }
  void release() {
    {
      std::lock_guard lock(Mutex);
      Released = true;
    }
    Changed.notify_all();
  }
};

struct Fleet {
  static constexpr int Daemons = 5;

  struct One {
    Context Shared;
    std::map<std::string, Peers::Handler> Handlers;
    std::unique_ptr<LoadWatch> Watch;
  };

  Engines All;
  std::vector<std::unique_ptr<One>> Nodes;

  Fleet() {
    for (int i = 0; i < Daemons; ++i)
      Nodes.push_back(std::make_unique<One>());
    for (int i = 0; i < Daemons; ++i)
      prepare(i);
  }
  ~Fleet() {
    All.release();
    for (auto &it : Nodes)
      it->Watch->stop();
  }
  void prepare(int i) {
    One &node = *Nodes[i];
    Context &shared = node.Shared;
    shared.Settings.Name = "d" + std::to_string(i);
    shared.Clients.MakeEngine = [this](const std::string &, uint16_t port) {
      Engine::EngineApi api;
      api.Usage = [this, port] { return All.usage(port); };
      return api;
    };
    shared.Rpc.Handle = [&node](const std::string &method,
                                Peers::Handler handler) {
      node.Handlers[method] = std::move(handler);
    };
    shared.Rpc.Members = [i] {
      std::vector<std::string> names;
      for (int k = 0; k < Daemons; ++k)
        if (k != i)
          names.push_back("d" + std::to_string(k));
      return names;
    };
    shared.Rpc.Call = [this](const std::string &daemon,
                             const std::string &method,
                             const std::string &payload, Utils::TimePoint) {
      One &other = *Nodes[static_cast<size_t>(daemon[1] - '0')];
      return other.Handlers.at(method)("", payload);
    };
    shared.Store.applyAppend(0, History::encodeRecords(endpoints()));
    shared.Upstream = std::make_unique<UpstreamPool>(1);
    node.Watch = std::make_unique<LoadWatch>(shared);
  }
  static std::vector<History::Record> endpoints() {
    using namespace History;
    std::vector<Record> records = {
        LeaseChange{"lease", LeaseAction::Claim, "placement", "x", 0, 0, 1000}};
    for (uint16_t port = 1; port <= 3; ++port) {
      EndpointChange change;
      change.Endpoint = "e" + std::to_string(port);
      change.ChangeId = change.Endpoint;
      change.Fence = positionOf(0, 0);
      change.Kind = EndpointKind::Engine;
      change.Port = port;
      records.push_back(change);
    }
    return records;
  }
  void start() {
    for (auto &it : Nodes)
      it->Watch->start();
  }
  /// Whether the daemon comes to know the engine's load.
  static bool knows(Context &shared, const std::string &engine, uint32_t load) {
    auto deadline = std::chrono::steady_clock::now() + Generous;
    while (std::chrono::steady_clock::now() < deadline) {
      auto reading = shared.Loads.reading(engine);
      if (reading && reading->Load == load)
        return true;
      std::this_thread::yield();
    }
    return false;
  }
  bool allKnow(const std::string &engine, uint32_t load) {
    return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &it) {
      return knows(it->Shared, engine, load);
    });
  }
};

} // namespace

TEST_CASE_FIXTURE(Fleet, "every daemon learns each engine's load, and only two "
                         "watch an engine") {
  std::map<std::string, int> watchers;
  for (auto &it : Nodes)
    for (const std::string &name : it->Watch->watched())
      ++watchers[name];
  CHECK(watchers ==
        std::map<std::string, int>{{"e1", 2}, {"e2", 2}, {"e3", 2}});
  start();
  CHECK(allKnow("e1", BusyLoad));
  CHECK(allKnow("e2", 0));
  CHECK(allKnow("e3", 5));
}

TEST_CASE_FIXTURE(Fleet,
                  "daemons whose lists of engines differ tell each other "
                  "the loads of those that both know") {
  using namespace History;
  EndpointChange change;
  change.Endpoint = change.ChangeId = "e0";
  change.Fence = positionOf(0, 0);
  change.Kind = EndpointKind::Engine;
  change.Port = 2;
  for (int i : {0, 1})
    Nodes[static_cast<size_t>(i)]->Shared.Store.applyAppend(
        1, encodeRecords({change}));
  auto ask = [&](const std::vector<std::string> &names) {
    return Nodes[0]->Handlers.at("load.vector")(
        "", Codec::encode(engineListDigest(names)));
  };
  CHECK(ask({"e0", "e1", "e2", "e3"}).ok());
  CHECK_FALSE(ask({"e1", "e2", "e3", "e4"}).ok());
  start();
  CHECK(allKnow("e1", BusyLoad));
  CHECK(allKnow("e3", 5));
}

TEST_CASE("vector of loads keeps load and age, and one of another length is "
          "not taken") {
  Utils::TimePoint now{1h};
  Routing::LoadBoard from;
  Routing::LoadBoard to;
  from.note("a", {300, now - 120ms});
  from.note("c", {7, now - 10s});
  std::vector<std::string> names = {"a", "b", "c"};
  std::string loads = encodeLoads(names, from, now);
  CHECK_FALSE(takeLoads(to, {"a", "b"}, loads, now));
  REQUIRE(takeLoads(to, names, loads, now));
  CHECK(to.reading("a")->Load == 255);
  CHECK(to.reading("a")->At == now - 150ms);
  CHECK_FALSE(to.reading("b"));
  CHECK_FALSE(to.reading("c"));
}

TEST_CASE_FIXTURE(Fleet, "engine that does not answer keeps its only watcher "
                         "from no other engine") {
  All.Hung = 1;
  Context &shared = Nodes[0]->Shared;
  shared.Rpc.Members = [] { return std::vector<std::string>(); };
  Nodes[0]->Watch->start();
  CHECK(knows(shared, "e2", 0));
  CHECK(knows(shared, "e3", 5));
  CHECK_FALSE(shared.Loads.reading("e1"));
}

TEST_CASE_FIXTURE(Fleet, "daemon without calls of its own sends none to the "
                         "engine that others load") {
  Context &shared = Nodes[0]->Shared;
  auto pick = [&](uint64_t prefix) {
    return *pickEndpoint(shared, {{"e1", "z", 0, 0}, {"e2", "z", 0, 0}}, {},
                         {"", prefix});
  };
  auto picksOfBusy = [&] {
    int n = 0;
    for (uint64_t prefix = 1; prefix <= 200; ++prefix)
      n += pick(prefix) == "e1" ? 1 : 0;
    return n;
  };
  CHECK(picksOfBusy() > 50);
  start();
  REQUIRE(allKnow("e1", BusyLoad));
  REQUIRE(allKnow("e2", 0));
  CHECK(picksOfBusy() == 0);
}
