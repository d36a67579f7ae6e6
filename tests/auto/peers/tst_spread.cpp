#include "support/cluster.h"

#include <csignal>
#include <doctest/doctest.h>
#include <set>

using namespace Support;

namespace {

/// Three daemons whose second one can be cut off from the log.
struct SpreadCluster {
  explicit SpreadCluster(ClusterOptions options = {})
      : All(std::move(options)) {
    Key = All.newKey();
    All.importTable(basicTable(Cluster::hashOf(Key)));
    RunResult open =
        All.command({"table", "edit", "service", "board", "teams=*",
                     "prefix=/board", "open=yes", "idempotent=yes"});
    REQUIRE_MESSAGE(open.ExitCode == 0, open.Output);
    All.startAll();
    REQUIRE(eventually([this] { return membersKnown(); }));
  }
  /// Whether every daemon sees two others and finds three on the log.
  bool membersKnown() const {
    for (int i = 0; i < 3; ++i) {
      Json members = All.status(i)["members"];
      if (members.size() != 2 || !audited(0, "d" + std::to_string(i), "joined"))
        return false;
      for (const Json &it : members)
        if (it["status"] != "alive")
          return false;
    }
    return true;
  }
  bool audited(int at, const std::string &daemon, const char *change) const {
    Json audit = All.audit(at);
    for (const Json &it : audit)
      if (it["what"] == "member " + daemon && it["after"] == change)
        return true;
    return false;
  }
  void cutFromLog(int daemon, FaultProxy::Faults faults) {
    std::string link = "log-d" + std::to_string(daemon);
    All.proxy().setFaults(link, FaultProxy::Direction::ToTarget, faults);
    All.proxy().setFaults(link, FaultProxy::Direction::ToClient, faults);
  }
  std::string currency(int daemon) const {
    return All.status(daemon)["history"]["currency"].get<std::string>();
  }
  Reply models(int daemon) const {
    return All.send(daemon, "GET", "/v1/models", "",
                    {{"Authorization", "Bearer " + Key}});
  }
  /// Runs a table command and waits until the daemon knows the row's change.
  void apply(const std::vector<std::string> &words, const std::string &row,
             int daemon) const {
    size_t before = changes(daemon, row);
    REQUIRE(All.command(words).ExitCode == 0);
    REQUIRE(eventually([&] { return changes(daemon, row) > before; }));
  }
  size_t changes(int daemon, const std::string &row) const {
    size_t n = 0;
    Json audit = All.audit(daemon);
    for (const Json &it : audit)
      n += it["what"] == row ? 1 : 0;
    return n;
  }

  Cluster All;
  std::string Key;
};

FaultProxy::Faults refusing() {
  FaultProxy::Faults faults;
  faults.Refuse = true;
  return faults;
}

FaultProxy::Faults swallowing() {
  FaultProxy::Faults faults;
  faults.Discard = true;
  return faults;
}

} // namespace

TEST_CASE("edit and key withdrawal come into force at a daemon that is cut off "
          "from the log") {
  for (bool silent : {false, true}) {
    CAPTURE(silent);
    SpreadCluster cluster;
    cluster.cutFromLog(1, silent ? swallowing() : refusing());
    REQUIRE(eventually([&] { return cluster.currency(1) == "told_reading"; }));
    cluster.apply({"table", "edit", "model", "menu-new", "teams=kitchen",
                   "weights=store/menu-new", "memory_mb=1000",
                   "kv_cache_mb=100", "max_replicas=1"},
                  "model menu-new", 1);
    CHECK(cluster.models(1).Body.find("menu-new") != std::string::npos);
    cluster.apply({"table", "delete", "key", "kitchen-1"}, "key kitchen-1", 1);
    CHECK(cluster.models(1).Status == 401);
  }
}

TEST_CASE("withdrawal comes into force at a daemon whose readers of the log "
          "stop") {
  // In one failure domain two daemons read the log and feed the third.
  ClusterOptions options;
  options.Settings = {{"daemon", {{"failure_domain", "one"}}}};
  SpreadCluster cluster(options);
  for (int alone = 0; alone < 3; ++alone) {
    CAPTURE(alone);
    for (int i = 0; i < 3; ++i)
      if (i != alone)
        cluster.All.daemon(i).signal(SIGSTOP);
    std::string model = "menu-" + std::to_string(alone);
    cluster.apply({"table", "edit", "model", model, "teams=kitchen",
                   "weights=store/" + model, "memory_mb=1000",
                   "kv_cache_mb=100", "max_replicas=1"},
                  "model " + model, alone);
    CHECK(cluster.models(alone).Body.find(model) != std::string::npos);
    CHECK(cluster.currency(alone) == "own_reading");
    for (int i = 0; i < 3; ++i)
      if (i != alone)
        cluster.All.daemon(i).signal(SIGCONT);
    REQUIRE(eventually([&] { return cluster.membersKnown(); }));
  }
  cluster.All.daemon(0).signal(SIGSTOP);
  cluster.All.daemon(1).signal(SIGSTOP);
  cluster.apply({"table", "delete", "key", "kitchen-1"}, "key kitchen-1", 2);
  CHECK(cluster.models(2).Status == 401);
}

TEST_CASE_FIXTURE(SpreadCluster,
                  "all daemons serve on while the log is unavailable to all") {
  All.control("log", {{"outage", true}});
  for (int i = 0; i < 3; ++i)
    REQUIRE(eventually([&] { return currency(i) == "log_outage"; }));
  for (int i = 0; i < 3; ++i) {
    CHECK(models(i).Status == 200);
    CHECK(All.waitReady(i));
  }
  All.control("log", {{"outage", false}});
  for (int i = 0; i < 3; ++i)
    CHECK(eventually([&] { return currency(i) == "own_reading"; }));
}

TEST_CASE_FIXTURE(SpreadCluster,
                  "daemon cut off from log and peers refuses keyed routes, "
                  "goes on with open ones and comes back") {
  All.daemon(0).signal(SIGSTOP);
  All.daemon(2).signal(SIGSTOP);
  cutFromLog(1, refusing());
  CHECK(eventually([&] { return models(1).Status == 503; }));
  Reply refused = models(1);
  CHECK(refused.error("reason") == "history_unavailable");
  CHECK(refused.error("run_state") == "not-run");
  CHECK(refused.Headers.count("Retry-After") == 1);
  CHECK(All.waitReady(1, 503));
  Reply open = All.send(1, "GET", "/board/today", "", {});
  CHECK(open.error("reason") != "history_unavailable");
  CHECK(open.error("reason") == "no_capacity");
  All.daemon(0).signal(SIGCONT);
  All.daemon(2).signal(SIGCONT);
  All.proxy().heal();
  CHECK(All.waitReady(1));
  CHECK(models(1).Status == 200);
}

TEST_CASE_FIXTURE(SpreadCluster,
                  "daemon cut off from the log does not take peers that were "
                  "suspended for witnesses of an outage of it") {
  All.daemon(0).signal(SIGSTOP);
  All.daemon(2).signal(SIGSTOP);
  cutFromLog(1, refusing());
  REQUIRE(eventually([&] { return currency(1) == "not_current"; }));
  All.daemon(0).signal(SIGCONT);
  All.daemon(2).signal(SIGCONT);
  std::set<std::string> seen;
  REQUIRE(eventually([&] {
    std::string now = currency(1);
    seen.insert(now);
    return now == "told_reading";
  }));
  CHECK(seen.count("log_outage") == 0);
}

TEST_CASE_FIXTURE(SpreadCluster,
                  "planned stop is recorded as leave and ends with code 0") {
  CHECK(All.daemon(2).terminate() == 0);
  CHECK(eventually([&] { return audited(0, "d2", "left"); }));
  CHECK(eventually([&] {
    Json members = All.status(0)["members"];
    for (const Json &it : members)
      if (it["daemon"] == "d2")
        return it["status"] == "left";
    return false;
  }));
  CHECK(All.waitReady(0));
}

TEST_CASE("daemon without peers becomes ready though the log is slow") {
  ClusterOptions options;
  options.Daemons = 1;
  Cluster cluster(options);
  cluster.importTable(basicTable(Cluster::hashOf(cluster.newKey())));
  FaultProxy::Faults slow;
  slow.DelayMs = 700;
  cluster.proxy().setFaults("log-d0", FaultProxy::Direction::ToClient, slow);
  cluster.startDaemon(0);
  CHECK(cluster.waitReady(0));
}
