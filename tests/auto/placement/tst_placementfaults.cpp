#include "support/cluster.h"

#include <atomic>
#include <doctest/doctest.h>
#include <future>
#include <set>

using namespace Support;

namespace {

/// Three daemons before two engines that ignore fencing numbers.
struct UnfencedCluster {
  explicit UnfencedCluster(ClusterOptions settings = options())
      : All(std::move(settings)) {
    Key = All.newKey();
    All.importTable(basicTable(Cluster::hashOf(Key),
                               {"menu-small", "menu-large", "menu-rare"}));
    All.startAll();
    for (int i = 0; i < 3; ++i)
      REQUIRE(All.waitForEndpoints(i));
  }
  static ClusterOptions options() {
    ClusterOptions it;
    it.StandinFlags = {"--checks_fencing=false"};
    return it;
  }
  int complete(int daemon, const std::string &model) const {
    return All
        .post(daemon, "/v1/completions", completionBody(model, "a menu"), Key)
        .Status;
  }
  Reply completeWithin(int daemon, const std::string &model, int ms) const {
    return All.post(daemon, "/v1/completions", completionBody(model, "a menu"),
                    Key, {{"X-Deadline-Ms", std::to_string(ms)}});
  }
  void controlEngines(const Json &body) const {
    for (const char *engine : {"engine-0", "engine-1"})
      All.control(engine, body);
  }
  size_t faults(const std::string &fault) const {
    size_t n = 0;
    for (const char *engine : {"engine-0", "engine-1"})
      for (const Json &it : All.get(engine, "/admin/journal"))
        n += it.value("fault", "") == fault ? 1 : 0;
    return n;
  }
  Cluster All;
  std::string Key;
};

/// An idle replica is unloaded as soon as may be.
struct ShortKeepAlive : UnfencedCluster {
  ShortKeepAlive() : UnfencedCluster(shortKeepAlive()) {}
  static ClusterOptions shortKeepAlive() {
    ClusterOptions it = options();
    it.StandinFlags.emplace_back("--load_ms=1000");
    it.Settings = {{"placement", {{"keep_alive_ms", 1}}}};
    return it;
  }
  bool isReady(int daemon, const std::string &model) const {
    Json status = All.status(daemon);
    for (const Json &it : status["replicas"])
      if (it["model"] == model && it["phase"] == "ready")
        return true;
    return false;
  }
  std::set<std::string> enginesThatLoaded(const std::string &model) const {
    std::set<std::string> engines;
    for (const char *engine : {"engine-0", "engine-1"})
      for (const Json &it : All.get(engine, "/admin/journal"))
        if (it.value("order", "") == "load" && it.value("model", "") == model)
          engines.insert(engine);
    return engines;
  }
};

} // namespace

TEST_CASE_FIXTURE(UnfencedCluster,
                  "engine, load dies and answers are lost, serves the model") {
  controlEngines({{"fail_loads", 1}, {"lose_answers", 1}});
  CHECK(complete(0, "menu-small") == 200);
  CHECK(faults("out of memory") == 0);
}

TEST_CASE_FIXTURE(UnfencedCluster,
                  "engine, restarted with empty memory, is loaded again") {
  REQUIRE(complete(0, "menu-small") == 200);
  controlEngines({{"restart", true}});
  CHECK(eventually([&] { return complete(1, "menu-small") == 200; }));
  CHECK(faults("out of memory") == 0);
}

TEST_CASE_FIXTURE(UnfencedCluster,
                  "engine, unreachable though on the VM list, has its model "
                  "served elsewhere") {
  REQUIRE(complete(0, "menu-small") == 200);
  std::string cut;
  Json status = All.status(0);
  for (const Json &it : status["replicas"])
    if (it["model"] == "menu-small")
      cut = it["endpoint"];
  FaultProxy::Faults refuse;
  refuse.Refuse = true;
  All.proxy().setFaults(cut, FaultProxy::Direction::ToTarget, refuse);
  CHECK(eventually([&] { return complete(1, "menu-small") == 200; }));
  CHECK(faults("out of memory") == 0);
}

TEST_CASE_FIXTURE(
    UnfencedCluster,
    "holder, killed in mid-load, leaves one replica that serves") {
  REQUIRE(complete(0, "menu-small") == 200);
  std::string holder;
  Json status = All.status(0);
  for (const Json &it : status["leases"])
    if (it["duty"] == "placement")
      holder = it["holder"];
  int killed = std::stoi(holder.substr(1));
  controlEngines({{"order_delay_ms", 500}});
  int other = (killed + 1) % 3;
  All.post(other, "/v1/completions", completionBody("menu-large", "x"), Key,
           {{"X-Deadline-Ms", "200"}});
  All.daemon(killed).kill();
  CHECK(eventually([&] { return complete(other, "menu-large") == 200; },
                   std::chrono::seconds(40)));
  CHECK(faults("out of memory") == 0);
}

TEST_CASE_FIXTURE(
    UnfencedCluster,
    "weight store slows, requests that cannot make it are refused "
    "at once, the others are served") {
  REQUIRE(complete(0, "menu-small") == 200);
  All.control("weight_store", {{"slowness", 50}});
  auto patient = std::async(std::launch::async, [this] {
    return completeWithin(0, "menu-large", 30000).Status;
  });
  auto hasty = std::async(std::launch::async, [this] {
    return completeWithin(1, "menu-large", 6000);
  });
  auto isForecast = [&](int daemon, const std::string &model) {
    Reply reply = completeWithin(daemon, model, 1000);
    return reply.error("reason") == "deadline_too_short" &&
           reply.error("run_state") == "not-run" &&
           reply.Headers.count("Retry-After") == 1;
  };
  std::atomic<bool> ended = false;
  auto served = std::async(std::launch::async, [&] {
    int n = 0;
    for (bool ok = true; ok && !ended; ++n)
      ok = complete(n % 3, "menu-small") == 200;
    return ended ? n : 0;
  });
  for (int daemon = 0; daemon < 3; ++daemon) {
    CHECK(eventually([&] { return isForecast(daemon, "menu-large"); }));
    CHECK(isForecast(daemon, "menu-rare"));
  }
  ended = true;
  CHECK(served.get() > 0);
  Reply refused = hasty.get();
  CHECK(refused.error("reason") == "deadline_too_short");
  CHECK(refused.error("message").find("takes too long") != std::string::npos);
  CHECK(patient.get() == 200);
  All.control("weight_store", {{"slowness", 1}});
  CHECK(eventually([&] { return complete(1, "menu-rare") == 200; }));
}

TEST_CASE_FIXTURE(ShortKeepAlive,
                  "weight store slows, a model called each time that it is "
                  "unloaded goes back to the engine that keeps it") {
  for (const char *model : {"menu-small", "menu-large"})
    REQUIRE(complete(0, model) == 200);
  All.control("weight_store", {{"slowness", 50}});
  std::atomic<bool> ended = false;
  auto steady = std::async(std::launch::async, [&] {
    bool ok = true;
    for (int n = 0; ok && !ended; ++n)
      ok = complete(n % 3, "menu-small") == 200;
    return ok;
  });
  for (int i = 0; i < 4; ++i) {
    // A daemon that has not read of the unload yet still uses the replica.
    CHECK(eventually([&] { return !isReady(i % 3, "menu-large"); }));
    CHECK(complete(i % 3, "menu-large") == 200);
  }
  ended = true;
  CHECK(steady.get());
  CHECK(enginesThatLoaded("menu-large").size() == 1);
}
