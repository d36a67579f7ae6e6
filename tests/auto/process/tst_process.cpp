#include "support/cluster.h"
#include "support/leavingendpointcallers.h"

#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <set>
#include <thread>

using namespace Support;

namespace {

/// Three daemons, two engines, one desk service and one team with one key.
struct SmallCluster {
  explicit SmallCluster(ClusterOptions options = {})
      : TestCluster(std::move(options)) {
    Key = TestCluster.newKey();
    TestCluster.importTable(
        basicTable(Cluster::hashOf(Key), {"menu-small", "menu-large"}));
    TestCluster.startAll();
  }
  std::string leaseHolder(const std::string &duty) const {
    Json status = TestCluster.status(1);
    for (const Json &it : status["leases"])
      if (it["duty"] == duty)
        return it["holder"].get<std::string>();
    return "";
  }
  size_t loadOrders(const std::string &model) const {
    std::set<std::string> replicas;
    for (const char *engine : {"engine-0", "engine-1"})
      for (const Json &it : TestCluster.get(engine, "/admin/journal"))
        if (it.value("order", "") == "load" && it.value("model", "") == model)
          replicas.insert(it.value("replica", ""));
    return replicas.size();
  }
  uint64_t executions(const std::string &key) const {
    Json counts = TestCluster.get("desk-0", "/control/executions");
    return counts.value(key, uint64_t{0});
  }
  Reply complete(int daemon, const std::string &model,
                 const std::string &prompt) const {
    return TestCluster.post(daemon, "/v1/completions",
                            completionBody(model, prompt), Key);
  }
  Reply reserve(int daemon, const std::string &idempotencyKey) const {
    return TestCluster.post(daemon, "/desk/reserve", R"({"seat":4})", Key,
                            {{"Idempotency-Key", idempotencyKey}});
  }
  /// Checks that the model never had two replicas at once and that the engines
  /// received one load order per decision in the audit trail. An idle replica
  /// may have been unloaded in between.
  void checkAtMostOneReplica(const std::string &model, int daemon) const {
    size_t loadDecisions = 0;
    int replicas = 0;
    Json audit = TestCluster.audit(daemon);
    for (const Json &it : audit) {
      if (it["what"].get<std::string>().rfind("replica " + model, 0) != 0)
        continue;
      loadDecisions += it["after"] == "loading";
      replicas += it["after"] == "loading" ? 1 : 0;
      replicas -= it["after"] == "gone" ? 1 : 0;
      CHECK_MESSAGE(replicas <= 1,
                    "more than one replica at log position " << it["position"]);
    }
    CHECK(loadOrders(model) == loadDecisions);
  }
  Cluster TestCluster;
  std::string Key;
};

} // namespace

TEST_CASE_FIXTURE(
    SmallCluster,
    "first requests at three daemons load one replica and all succeed") {
  std::vector<std::future<Reply>> calls;
  calls.reserve(12);
  for (int i = 0; i < 12; ++i)
    calls.push_back(std::async(std::launch::async, [this, i] {
      return complete(i % 3, "menu-small", "caller " + std::to_string(i));
    }));
  std::set<std::string> responses;
  for (auto &it : calls) {
    Reply reply = it.get();
    REQUIRE_MESSAGE(reply.Status == 200, reply.Body);
    responses.insert(reply.json()["choices"][0]["text"].get<std::string>());
  }
  CHECK(responses.size() == 12);
  CHECK(loadOrders("menu-small") == 1);
}

TEST_CASE_FIXTURE(SmallCluster,
                  "reservation retried at every daemon runs once") {
  Reply first = reserve(0, "seat-4");
  REQUIRE_MESSAGE(first.Status == 200, first.Body);
  for (int i = 0; i < 3; ++i)
    CHECK(reserve(i, "seat-4").Body == first.Body);
  CHECK(executions("seat-4") == 1);
}

TEST_CASE_FIXTURE(SmallCluster,
                  "reservation whose response is lost after it ran stays "
                  "unknown and never runs twice") {
  FaultProxy::Faults dropResponse;
  dropResponse.SwallowNext = 1;
  TestCluster.proxy().setFaults("desk-0", FaultProxy::Direction::ToClient,
                                dropResponse);
  Reply first = reserve(0, "seat-5");
  CHECK(first.error("run_state") == "unknown");
  for (int i = 0; i < 3; ++i)
    CHECK(reserve(i, "seat-5").Status != 200);
  CHECK(executions("seat-5") == 1);
}

TEST_CASE_FIXTURE(SmallCluster, "status and audit print the outcomes of orders "
                                "as text and as JSON") {
  REQUIRE(reserve(0, "seat-7").Status == 200);
  FaultProxy::Faults dropResponse;
  dropResponse.SwallowNext = 1;
  TestCluster.proxy().setFaults("desk-0", FaultProxy::Direction::ToClient,
                                dropResponse);
  REQUIRE(reserve(1, "seat-8").error("run_state") == "unknown");
  REQUIRE(eventually([this] {
    Json status = TestCluster.status(2);
    return status["recent_order_outcomes"].value("unknown", 0) == 1 &&
           status["recent_order_outcomes"].value("ran", 0) == 1;
  }));
  std::string admin = "--admin=" + TestCluster.adminAddress(2);
  CHECK(TestCluster.status(2).value("requests_waiting", -1) == 0);
  RunResult status = TestCluster.command({"status", admin});
  CHECK(status.Output.find("recent_order_outcomes: {\"claimed\":2,\"ran\":1,"
                           "\"unknown\":1}") != std::string::npos);
  RunResult text = TestCluster.command({"audit", "orders", admin});
  CHECK(text.Output.find("claimed -> ran") != std::string::npos);
  CHECK(text.Output.find("claimed -> unknown") != std::string::npos);
  Json list = Json::parse(
      TestCluster.command({"audit", "orders", admin, "--json"}).Output);
  CHECK(list.size() == 4);
  for (const Json &it : list)
    CHECK(it["what"].get<std::string>().rfind("order ", 0) == 0);
  CHECK(TestCluster.command({"audit", "nonsense", admin}).ExitCode == 2);
}

TEST_CASE_FIXTURE(SmallCluster,
                  "key deleted by a table edit is rejected at every daemon") {
  REQUIRE(complete(0, "menu-small", "before").Status == 200);
  RunResult edit = TestCluster.command({"table", "delete", "key", "kitchen-1"});
  REQUIRE_MESSAGE(edit.ExitCode == 0, edit.Output);
  auto hasDeletedKey = [this](int daemon) {
    Json audit = TestCluster.audit(daemon);
    for (const Json &it : audit)
      if (it["what"] == "key kitchen-1" &&
          it["after"].get<std::string>().empty())
        return true;
    return false;
  };
  for (int i = 0; i < 3; ++i) {
    REQUIRE(eventually([&] { return hasDeletedKey(i); }));
    CHECK(complete(i, "menu-small", "after").Status == 401);
  }
}

TEST_CASE_FIXTURE(SmallCluster, "caller's key is never sent to an endpoint") {
  REQUIRE(complete(0, "menu-small", "x").Status == 200);
  REQUIRE(reserve(1, "seat-6").Status == 200);
  for (const char *engine : {"engine-0", "engine-1"})
    CHECK(TestCluster.get(engine, "/admin/journal").dump().find(Key) ==
          std::string::npos);
  CHECK(TestCluster.get("desk-0", "/control/journal").dump().find(Key) ==
        std::string::npos);
}

/// Kills the holder of a duty while a model is being loaded for a caller at
/// daemon 1.
struct KilledHolder : SmallCluster {
  void checkLoadAfterKill(const std::string &duty) {
    auto call = std::async(std::launch::async,
                           [this] { return complete(1, "menu-large", "x"); });
    REQUIRE(eventually([this] { return loadOrders("menu-large") == 1; }));
    std::string holder = leaseHolder(duty);
    REQUIRE(holder.size() == 2);
    int victim = holder[1] - '0';
    TestCluster.daemon(victim).kill();
    int survivor = victim == 1 ? 2 : 1;
    Reply reply;
    CHECK(eventually([&] {
      reply = complete(survivor, "menu-large", "again");
      return reply.Status == 200;
    }));
    CHECK_MESSAGE(reply.Status == 200, reply.Body);
    call.wait();
    checkAtMostOneReplica("menu-large", survivor);
  }
};

TEST_CASE_FIXTURE(KilledHolder, "placement holder killed during a load is "
                                "replaced and the model loads once") {
  checkLoadAfterKill("placement");
  CHECK(loadOrders("menu-large") == 1);
}

TEST_CASE_FIXTURE(KilledHolder, "limits holder killed during a load is "
                                "replaced and the model never has two "
                                "replicas") {
  checkLoadAfterKill("limits");
}

TEST_CASE_FIXTURE(SmallCluster,
                  "planned stop under load cuts no request and exits with 0") {
  REQUIRE(complete(0, "menu-small", "warm").Status == 200);
  TestCluster.pauseTokens(true);
  std::vector<std::future<Reply>> calls;
  calls.reserve(8);
  for (int i = 0; i < 8; ++i)
    calls.push_back(std::async(std::launch::async, [this] {
      return TestCluster.post(0, "/v1/completions",
                              completionBody("menu-small", "long", 400), Key);
    }));
  REQUIRE(eventually([this] {
    return TestCluster.get("engine-0", "/admin/state").value("running", 0) +
               TestCluster.get("engine-1", "/admin/state")
                   .value("running", 0) ==
           8;
  }));
  TestCluster.daemon(0).signal(SIGTERM);
  CHECK(TestCluster.waitReady(0, 503));
  TestCluster.pauseTokens(false);
  CHECK(TestCluster.daemon(0).wait() == 0);
  for (auto &it : calls)
    CHECK(it.get().Status == 200);
}

TEST_CASE_FIXTURE(SmallCluster, "log outage refuses reservations as not run, "
                                "serves loaded models and recovers") {
  REQUIRE(complete(0, "menu-small", "warm").Status == 200);
  TestCluster.control("log", {{"outage", true}});
  CHECK(complete(1, "menu-small", "during").Status == 200);
  Reply refused = TestCluster.post(
      0, "/desk/reserve", "{}", Key,
      {{"Idempotency-Key", "seat-7"}, {"X-Deadline-Ms", "1500"}});
  CHECK(refused.Status == 503);
  CHECK(refused.error("run_state") == "not-run");
  CHECK(executions("seat-7") == 0);
  TestCluster.control("log", {{"outage", false}});
  CHECK(eventually([this] { return reserve(2, "seat-8").Status == 200; }));
}

TEST_CASE_FIXTURE(SmallCluster, "malformed body or unknown model is refused as "
                                "not run and the daemon keeps serving") {
  struct Row {
    const char *Body;
    int Status;
    const char *Reason;
  };
  const Row rows[] = {
      {"{\"model\":", 400, "malformed_request"},
      {"[1,2]", 400, "malformed_request"},
      {"{\"prompt\":\"no model\"}", 400, "malformed_request"},
      {"{\"model\":\"menu-small\",\"prompt\":\"\xff\xfe\"}", 400,
       "malformed_request"},
      {"{\"model\":\"nothing\",\"prompt\":\"x\"}", 404, "unknown_model"},
  };
  for (const Row &row : rows) {
    CAPTURE(row.Body);
    Reply reply = TestCluster.post(0, "/v1/completions", row.Body, Key);
    CHECK(reply.Status == row.Status);
    CHECK(reply.error("reason") == row.Reason);
    CHECK(reply.error("run_state") == "not-run");
  }
  CHECK(complete(0, "menu-small", "still there").Status == 200);
}

TEST_CASE_FIXTURE(SmallCluster, "leaving engine gets no new call once every "
                                "daemon has seen it leave") {
  REQUIRE(complete(0, "menu-small", "warm").Status == 200);
  std::string leaving;
  for (const char *engine : {"engine-0", "engine-1"})
    if (!TestCluster.get(engine, "/admin/state")["models"].empty())
      leaving = engine;
  REQUIRE(!leaving.empty());
  markLeaving(TestCluster, leaving);
  for (int i = 0; i < 3; ++i)
    REQUIRE(
        eventually([&] { return reportsLeaving(TestCluster, i, leaving); }));
  auto callsAt = [&](const std::string &engine) {
    size_t n = 0;
    Json journal = TestCluster.get(engine, "/admin/journal");
    for (const Json &it : journal)
      n += it.contains("call") ? 1 : 0;
    return n;
  };
  size_t before = callsAt(leaving);
  for (int i = 0; i < 9; ++i)
    CHECK(complete(i % 3, "menu-small", "after").Status == 200);
  CHECK(callsAt(leaving) == before);
}

/// Two daemons and two engines that both have menu-small loaded; menu-large is
/// loaded on one of them.
struct SharedEngine {
  SharedEngine() {
    Key = TestCluster.newKey();
    TestCluster.importTable(sharedModelTable(Cluster::hashOf(Key)));
    TestCluster.startAll();
  }
  Reply complete(int daemon, const std::string &model, int i,
                 int tokens) const {
    return TestCluster.post(daemon, "/v1/completions",
                            completionBody(model, std::to_string(i), tokens),
                            Key);
  }
  size_t replicas(int daemon) const {
    size_t n = 0;
    Json status = TestCluster.status(daemon);
    for (const Json &it : status["replicas"])
      n += it["model"] == "menu-small" && it["phase"] == "ready" ? 1 : 0;
    return n;
  }
  uint32_t reportedLoad(int daemon, const std::string &engine) const {
    Json status = TestCluster.status(daemon);
    for (const Json &it : status["endpoints"])
      if (it["endpoint"] == engine && !it["load"].is_null())
        return it["load"]["requests"].get<uint32_t>();
    return 0;
  }
  size_t calls(const std::string &engine, const std::string &model) const {
    size_t n = 0;
    Json journal = TestCluster.get(engine, "/admin/journal");
    for (const Json &it : journal)
      n += it.contains("call") && it["model"] == model ? 1 : 0;
    return n;
  }
  static ClusterOptions options() {
    ClusterOptions options;
    options.Daemons = 2;
    return options;
  }
  Cluster TestCluster{options()};
  std::string Key;
};

TEST_CASE_FIXTURE(SharedEngine, "daemon routes its calls away from an engine "
                                "that is busy with another daemon's calls") {
  constexpr int busyCalls = 12;
  constexpr int busyTokens = 4;
  REQUIRE(complete(0, "menu-small", 0, 1).Status == 200);
  REQUIRE(complete(0, "menu-large", 0, 1).Status == 200);
  REQUIRE(eventually([this] { return replicas(1) == 2; }));
  std::string busyEngine =
      calls("engine-0", "menu-large") > 0 ? "engine-0" : "engine-1";
  TestCluster.control(busyEngine, {{"hold_tokens", true}});
  std::vector<std::thread> callers;
  callers.reserve(busyCalls);
  for (int i = 0; i < busyCalls; ++i)
    callers.emplace_back(
        [this, i] { complete(0, "menu-large", i, busyTokens); });
  bool loadReported =
      eventually([&] { return reportedLoad(1, busyEngine) >= busyCalls; });
  size_t before = calls(busyEngine, "menu-small");
  int served = 0;
  for (int i = 0; i < 10; ++i)
    served += complete(1, "menu-small", i, 1).Status == 200 ? 1 : 0;
  size_t after = calls(busyEngine, "menu-small");
  TestCluster.control(busyEngine, {{"hold_tokens", false}});
  for (std::thread &it : callers)
    it.join();
  CHECK(loadReported);
  CHECK(served == 10);
  CHECK(after == before);
}
