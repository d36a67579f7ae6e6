#include "support/cluster.h"

#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <future>

using namespace Support;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr milliseconds CallTimeout(1500);

ClusterOptions longLeases() {
  ClusterOptions options;
  options.Settings = {{"lease", {{"duration_ms", 60'000}}}};
  return options;
}

/// Three daemons whose leases are long enough that no duty changes hands during
/// the test.
struct StableLeaseFleet {
  StableLeaseFleet() : TestCluster(longLeases()) {
    Key = TestCluster.newKey();
    TestCluster.importTable(
        basicTable(Cluster::hashOf(Key), {"menu-small", "menu-large"}));
    TestCluster.startAll();
    REQUIRE(complete(0, "menu-small", milliseconds(20'000)).Status == 200);
  }
  Reply complete(int daemon, const std::string &model,
                 milliseconds timeout) const {
    return TestCluster.post(
        daemon, "/v1/completions", completionBody(model, "x"), Key,
        {{"X-Deadline-Ms", std::to_string(timeout.count())}});
  }
  Reply reserve(int daemon, milliseconds timeout) const {
    return TestCluster.post(
        daemon, "/desk/reserve", R"({"seat":4})", Key,
        {{"Idempotency-Key", "seat-4"},
         {"X-Deadline-Ms", std::to_string(timeout.count())}});
  }
  int leaseHolder(const std::string &duty) const {
    Json status = TestCluster.status(1);
    for (const Json &it : status["leases"])
      if (it["duty"] == duty)
        return it["holder"].get<std::string>()[1] - '0';
    return -1;
  }
  /// Checks that the call is refused before its deadline, with the reason, the
  /// run state and a Retry-After header.
  void checkRefused(const std::function<Reply()> &call, const char *reason,
                    const char *runState) const {
    auto deadline = steady_clock::now() + CallTimeout;
    Reply reply = call();
    auto answered = steady_clock::now();
    INFO(reply.Body);
    CHECK(reply.error("reason") == reason);
    CHECK(reply.error("run_state") == runState);
    CHECK(reply.Headers.count("Retry-After") == 1);
    auto remaining =
        std::chrono::duration_cast<milliseconds>(deadline - answered);
    MESSAGE("refused with " << remaining.count() << " ms left");
    CHECK((remaining.count() > 0 || !enforcesTimeLimits()));
  }
  Cluster TestCluster;
  std::string Key;
};

} // namespace

TEST_CASE_FIXTURE(StableLeaseFleet,
                  "request that gets no grant from the paused "
                  "limits holder is refused before its deadline") {
  int holder = leaseHolder("limits");
  REQUIRE(holder >= 0);
  int other = (holder + 1) % 3;
  TestCluster.daemon(holder).signal(SIGSTOP);
  // Tokens granted before the holder was paused may still admit a few requests.
  REQUIRE(eventually([&] {
    return complete(other, "menu-small", CallTimeout).Status == 503;
  }));
  checkRefused([&] { return complete(other, "menu-small", CallTimeout); },
               "history_unavailable", "not-run");
  TestCluster.daemon(holder).signal(SIGCONT);
}

TEST_CASE_FIXTURE(StableLeaseFleet,
                  "request for a model whose load cannot be recorded "
                  "is refused before its deadline") {
  TestCluster.control("log", {{"outage", true}});
  checkRefused([&] { return complete(1, "menu-large", CallTimeout); },
               "no_capacity", "not-run");
}

TEST_CASE_FIXTURE(StableLeaseFleet,
                  "retry of an order still in flight is refused "
                  "before its deadline as unknown") {
  TestCluster.control("desk-0", {{"delay_ms", 5000}});
  auto first = std::async(std::launch::async,
                          [this] { return reserve(0, milliseconds(20'000)); });
  REQUIRE(eventually([this] {
    return TestCluster.get("desk-0", "/control/executions")
               .value("seat-4", 0) == 1;
  }));
  checkRefused([&] { return reserve(1, CallTimeout); },
               "idempotency_key_in_use", "unknown");
  CHECK(first.get().Status == 200);
}

TEST_CASE_FIXTURE(StableLeaseFleet,
                  "retry of an order whose daemon died is refused "
                  "once that daemon is unresponsive, before its "
                  "deadline") {
  TestCluster.control("desk-0", {{"delay_ms", 10'000}});
  auto first = std::async(std::launch::async,
                          [this] { return reserve(0, milliseconds(90'000)); });
  REQUIRE(eventually([this] {
    return TestCluster.get("desk-0", "/control/executions")
               .value("seat-4", 0) == 1;
  }));
  TestCluster.daemon(0).kill();
  CHECK(first.get().Status == 0);
  // A reply at the deadline would have the reason outcome_unknown, because by
  // then the log records the dead daemon as gone.
  Reply reply = reserve(1, milliseconds(120'000));
  INFO(reply.Body);
  INFO(TestCluster.daemonLog(0));
  INFO(TestCluster.daemonLog(1));
  CHECK(reply.error("reason") == "idempotency_key_in_use");
  CHECK(reply.error("run_state") == "unknown");
  CHECK(reply.error("message").find("does not answer") != std::string::npos);
  CHECK(reply.Headers.count("Retry-After") == 1);
}
