#include "support/cluster.h"
#include "support/leavingendpointcallers.h"

#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <set>
#include <thread>

using namespace Support;

namespace {

/// Three daemons, two engines, one desk, one team with one key.
struct SmallCluster {
  explicit SmallCluster(ClusterOptions options = {}) : All(std::move(options)) {
    Key = All.newKey();
    All.importTable(
        basicTable(Cluster::hashOf(Key), {"menu-small", "menu-large"}));
    All.startAll();
  }
  std::string holderOf(const std::string &duty) const {
    Json status = All.status(1);
    for (const Json &it : status["leases"])
      if (it["duty"] == duty)
        return it["holder"].get<std::string>();
    return "";
  }
  size_t loadOrders(const std::string &model) const {
    std::set<std::string> replicas;
    for (const char *engine : {"engine-0", "engine-1"})
      for (const Json &it : All.get(engine, "/admin/journal"))
        if (it.value("order", "") == "load" && it.value("model", "") == model)
          replicas.insert(it.value("replica", ""));
    return replicas.size();
  }
  uint64_t executions(const std::string &key) const {
    Json counts = All.get("desk-0", "/control/executions");
    return counts.value(key, uint64_t{0});
  }
  Reply complete(int daemon, const std::string &model,
                 const std::string &prompt) const {
    return All.post(daemon, "/v1/completions", completionBody(model, prompt),
                    Key);
  }
  Reply reserve(int daemon, const std::string &idempotencyKey) const {
    return All.post(daemon, "/desk/reserve", R"({"seat":4})", Key,
                    {{"Idempotency-Key", idempotencyKey}});
  }
  /// Checks that the model never had two replicas, and no order without a
  /// decision; an idle replica may have been unloaded in between.
  void checkOneAtATime(const std::string &model, int daemon) const {
    size_t decided = 0;
    int held = 0;
    Json audit = All.audit(daemon);
    for (const Json &it : audit) {
      if (it["what"].get<std::string>().rfind("replica " + model, 0) != 0)
        continue;
      decided += it["after"] == "loading";
      held += it["after"] == "loading" ? 1 : 0;
      held -= it["after"] == "gone" ? 1 : 0;
      CHECK_MESSAGE(held <= 1, "two replicas at position " << it["position"]);
    }
    CHECK(loadOrders(model) == decided);
  }
  Cluster All;
  std::string Key;
};

} // namespace

TEST_CASE_FIXTURE(
    SmallCluster,
    "first requests at three daemons load one replica and all are answered") {
  std::vector<std::future<Reply>> calls;
  calls.reserve(12);
  for (int i = 0; i < 12; ++i)
    calls.push_back(std::async(std::launch::async, [this, i] {
      return complete(i % 3, "menu-small", "caller " + std::to_string(i));
    }));
  std::set<std::string> texts;
  for (auto &it : calls) {
    Reply reply = it.get();
    REQUIRE_MESSAGE(reply.Status == 200, reply.Body);
    texts.insert(reply.json()["choices"][0]["text"].get<std::string>());
  }
  CHECK(texts.size() == 12);
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
                  "reservation whose answer is swallowed after the effect "
                  "stays unknown and never runs twice") {
  FaultProxy::Faults swallow;
  swallow.SwallowNext = 1;
  All.proxy().setFaults("desk-0", FaultProxy::Direction::ToClient, swallow);
  Reply first = reserve(0, "seat-5");
  CHECK(first.error("run_state") == "unknown");
  for (int i = 0; i < 3; ++i)
    CHECK(reserve(i, "seat-5").Status != 200);
  CHECK(executions("seat-5") == 1);
}

TEST_CASE_FIXTURE(SmallCluster, "orders' outcomes are printed by status and "
                                "audit, as text and as JSON") {
  REQUIRE(reserve(0, "seat-7").Status == 200);
  FaultProxy::Faults swallow;
  swallow.SwallowNext = 1;
  All.proxy().setFaults("desk-0", FaultProxy::Direction::ToClient, swallow);
  REQUIRE(reserve(1, "seat-8").error("run_state") == "unknown");
  REQUIRE(eventually([this] {
    Json status = All.status(2);
    return status["recent_order_outcomes"].value("unknown", 0) == 1 &&
           status["recent_order_outcomes"].value("ran", 0) == 1;
  }));
  std::string admin = "--admin=" + All.adminAddress(2);
  CHECK(All.status(2).value("requests_waiting", -1) == 0);
  RunResult status = All.command({"status", admin});
  CHECK(status.Output.find("recent_order_outcomes: {\"claimed\":2,\"ran\":1,"
                           "\"unknown\":1}") != std::string::npos);
  RunResult text = All.command({"audit", "orders", admin});
  CHECK(text.Output.find("claimed -> ran") != std::string::npos);
  CHECK(text.Output.find("claimed -> unknown") != std::string::npos);
  Json list =
      Json::parse(All.command({"audit", "orders", admin, "--json"}).Output);
  CHECK(list.size() == 4);
  for (const Json &it : list)
    CHECK(it["what"].get<std::string>().rfind("order ", 0) == 0);
  CHECK(All.command({"audit", "nonsense", admin}).ExitCode == 2);
}

TEST_CASE_FIXTURE(SmallCluster,
                  "key withdrawn by an edit stops working at every daemon") {
  REQUIRE(complete(0, "menu-small", "before").Status == 200);
  RunResult edit = All.command({"table", "delete", "key", "kitchen-1"});
  REQUIRE_MESSAGE(edit.ExitCode == 0, edit.Output);
  auto knowsWithdrawal = [this](int daemon) {
    Json audit = All.audit(daemon);
    for (const Json &it : audit)
      if (it["what"] == "key kitchen-1" &&
          it["after"].get<std::string>().empty())
        return true;
    return false;
  };
  for (int i = 0; i < 3; ++i) {
    REQUIRE(eventually([&] { return knowsWithdrawal(i); }));
    CHECK(complete(i, "menu-small", "after").Status == 401);
  }
}

TEST_CASE_FIXTURE(SmallCluster, "no endpoint ever sees the caller's key") {
  REQUIRE(complete(0, "menu-small", "x").Status == 200);
  REQUIRE(reserve(1, "seat-6").Status == 200);
  for (const char *engine : {"engine-0", "engine-1"})
    CHECK(All.get(engine, "/admin/journal").dump().find(Key) ==
          std::string::npos);
  CHECK(All.get("desk-0", "/control/journal").dump().find(Key) ==
        std::string::npos);
}

/// A holder of either duty dies while a model loads for a caller elsewhere.
struct KilledHolder : SmallCluster {
  void loadOnceAfterDeathOf(const std::string &duty) {
    auto call = std::async(std::launch::async,
                           [this] { return complete(1, "menu-large", "x"); });
    REQUIRE(eventually([this] { return loadOrders("menu-large") == 1; }));
    std::string holder = holderOf(duty);
    REQUIRE(holder.size() == 2);
    int victim = holder[1] - '0';
    All.daemon(victim).kill();
    int survivor = victim == 1 ? 2 : 1;
    Reply reply;
    CHECK(eventually([&] {
      reply = complete(survivor, "menu-large", "again");
      return reply.Status == 200;
    }));
    CHECK_MESSAGE(reply.Status == 200, reply.Body);
    call.wait();
    checkOneAtATime("menu-large", survivor);
  }
};

TEST_CASE_FIXTURE(KilledHolder, "placement holder killed in the middle of a "
                                "load is taken over and the model loads once") {
  loadOnceAfterDeathOf("placement");
  CHECK(loadOrders("menu-large") == 1);
}

TEST_CASE_FIXTURE(KilledHolder, "limits holder killed in the middle of a load "
                                "is taken over and the model is held once") {
  loadOnceAfterDeathOf("limits");
}

TEST_CASE_FIXTURE(SmallCluster,
                  "planned stop under load cuts no request and exits with 0") {
  REQUIRE(complete(0, "menu-small", "warm").Status == 200);
  All.holdTokens(true);
  std::vector<std::future<Reply>> calls;
  calls.reserve(8);
  for (int i = 0; i < 8; ++i)
    calls.push_back(std::async(std::launch::async, [this] {
      return All.post(0, "/v1/completions",
                      completionBody("menu-small", "long", 400), Key);
    }));
  REQUIRE(eventually([this] {
    return All.get("engine-0", "/admin/state").value("running", 0) +
               All.get("engine-1", "/admin/state").value("running", 0) ==
           8;
  }));
  All.daemon(0).signal(SIGTERM);
  CHECK(All.waitReady(0, 503));
  All.holdTokens(false);
  CHECK(All.daemon(0).wait() == 0);
  for (auto &it : calls)
    CHECK(it.get().Status == 200);
}

TEST_CASE_FIXTURE(SmallCluster, "log outage refuses reservations truly and "
                                "serves loaded models, then recovers") {
  REQUIRE(complete(0, "menu-small", "warm").Status == 200);
  All.control("log", {{"outage", true}});
  CHECK(complete(1, "menu-small", "during").Status == 200);
  Reply refused =
      All.post(0, "/desk/reserve", "{}", Key,
               {{"Idempotency-Key", "seat-7"}, {"X-Deadline-Ms", "1500"}});
  CHECK(refused.Status == 503);
  CHECK(refused.error("run_state") == "not-run");
  CHECK(executions("seat-7") == 0);
  All.control("log", {{"outage", false}});
  CHECK(eventually([this] { return reserve(2, "seat-8").Status == 200; }));
}

TEST_CASE_FIXTURE(SmallCluster, "bad body or unknown model is refused as not "
                                "run and the daemon serves on") {
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
    Reply reply = All.post(0, "/v1/completions", row.Body, Key);
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
    if (!All.get(engine, "/admin/state")["models"].empty())
      leaving = engine;
  REQUIRE(!leaving.empty());
  listLeaving(All, leaving);
  for (int i = 0; i < 3; ++i)
    REQUIRE(eventually([&] { return knowsLeaving(All, i, leaving); }));
  auto callsAt = [&](const std::string &engine) {
    size_t n = 0;
    Json journal = All.get(engine, "/admin/journal");
    for (const Json &it : journal)
      n += it.contains("call") ? 1 : 0;
    return n;
  };
  size_t before = callsAt(leaving);
  for (int i = 0; i < 9; ++i)
    CHECK(complete(i % 3, "menu-small", "after").Status == 200);
  CHECK(callsAt(leaving) == before);
}

/// Two daemons, two engines that both hold menu-small, menu-large on one.
struct SharedEngine {
  SharedEngine() {
    Key = All.newKey();
    All.importTable(sharedModelTable(Cluster::hashOf(Key)));
    All.startAll();
  }
  Reply complete(int daemon, const std::string &model, int i,
                 int tokens) const {
    return All.post(daemon, "/v1/completions",
                    completionBody(model, std::to_string(i), tokens), Key);
  }
  size_t replicas(int daemon) const {
    size_t n = 0;
    Json status = All.status(daemon);
    for (const Json &it : status["replicas"])
      n += it["model"] == "menu-small" && it["phase"] == "ready" ? 1 : 0;
    return n;
  }
  uint32_t knownLoad(int daemon, const std::string &engine) const {
    Json status = All.status(daemon);
    for (const Json &it : status["endpoints"])
      if (it["endpoint"] == engine && !it["load"].is_null())
        return it["load"]["requests"].get<uint32_t>();
    return 0;
  }
  size_t calls(const std::string &engine, const std::string &model) const {
    size_t n = 0;
    Json journal = All.get(engine, "/admin/journal");
    for (const Json &it : journal)
      n += it.contains("call") && it["model"] == model ? 1 : 0;
    return n;
  }
  static ClusterOptions options() {
    ClusterOptions options;
    options.Daemons = 2;
    return options;
  }
  Cluster All{options()};
  std::string Key;
};

TEST_CASE_FIXTURE(SharedEngine, "daemon sends its calls away from the engine "
                                "that another daemon loads") {
  constexpr int busy = 12;
  constexpr int shortAnswer = 4;
  REQUIRE(complete(0, "menu-small", 0, 1).Status == 200);
  REQUIRE(complete(0, "menu-large", 0, 1).Status == 200);
  REQUIRE(eventually([this] { return replicas(1) == 2; }));
  std::string loaded =
      calls("engine-0", "menu-large") > 0 ? "engine-0" : "engine-1";
  All.control(loaded, {{"hold_tokens", true}});
  std::vector<std::thread> callers;
  callers.reserve(busy);
  for (int i = 0; i < busy; ++i)
    callers.emplace_back(
        [this, i] { complete(0, "menu-large", i, shortAnswer); });
  bool known = eventually([&] { return knownLoad(1, loaded) >= busy; });
  size_t before = calls(loaded, "menu-small");
  int served = 0;
  for (int i = 0; i < 10; ++i)
    served += complete(1, "menu-small", i, 1).Status == 200 ? 1 : 0;
  size_t after = calls(loaded, "menu-small");
  All.control(loaded, {{"hold_tokens", false}});
  for (std::thread &it : callers)
    it.join();
  CHECK(known);
  CHECK(served == 10);
  CHECK(after == before);
}
