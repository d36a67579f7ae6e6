#include "support/cluster.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

using namespace Support;

namespace {

/// Three daemons, not yet started, and a table with one team, menu-small and
/// the desk service.
struct ExplainFixture {
  ExplainFixture() {
    Key = TestCluster.newKey();
    std::string table = basicTable(Cluster::hashOf(Key));
    TestCluster.importTable(table);
  }
  Reply complete(int daemon, int maxTokens, int deadlineMs = 20'000) const {
    return TestCluster.post(daemon, "/v1/completions",
                            completionBody("menu-small", "x", maxTokens), Key,
                            {{"X-Deadline-Ms", std::to_string(deadlineMs)}});
  }
  /// Output of `explain` for the request of the reply, run on the logs of all
  /// daemons.
  std::string explain(const Reply &reply) const {
    std::vector<std::string> args = {"explain", "--id=" + requestId(reply)};
    for (int i = 0; i < TestCluster.daemons(); ++i)
      args.push_back(TestCluster.daemonLogFile(i));
    std::string text;
    REQUIRE(eventually([&] {
      text = TestCluster.command(args).Output;
      return text.find("event=request") != std::string::npos;
    }));
    return text;
  }
  static std::string requestId(const Reply &reply) {
    auto it = reply.Headers.find("X-Request-Id");
    REQUIRE(it != reply.Headers.end());
    return it->second;
  }
  Cluster TestCluster;
  std::string Key;
};

} // namespace

TEST_CASE_FIXTURE(ExplainFixture,
                  "failed requests are explained by the daemons' "
                  "logs alone") {
  TestCluster.startAll();
  Reply cold = complete(0, 8);
  REQUIRE(cold.Status == 200);
  CHECK(explain(cold).find("waiting for a replica") != std::string::npos);

  Reply overBurst = complete(1, 100'000'000);
  REQUIRE(overBurst.error("reason") == "over_rate");
  CHECK(explain(overBurst).find("more than its burst") != std::string::npos);

  FaultProxy::Faults dropResponse;
  dropResponse.SwallowNext = 1;
  TestCluster.proxy().setFaults("desk-0", FaultProxy::Direction::ToClient,
                                dropResponse);
  Headers order = {{"Idempotency-Key", "seat-9"}, {"X-Deadline-Ms", "3000"}};
  Reply lost =
      TestCluster.post(0, "/desk/reserve", R"({"seat":9})", Key, order);
  REQUIRE(lost.error("run_state") == "unknown");
  Reply retried;
  REQUIRE(eventually([&] {
    retried = TestCluster.post(1, "/desk/reserve", R"({"seat":9})", Key, order);
    return retried.error("reason") == "outcome_unknown";
  }));
  std::string text = explain(retried);
  CHECK(text.find("daemon d0 claimed the key") != std::string::npos);
  CHECK(text.find("called endpoint desk-0") != std::string::npos);

  auto checkMetric = [&](int daemon, const std::string &line) {
    std::string metrics =
        TestCluster.send(daemon, "GET", "/metrics", "", {}).Body;
    INFO(metrics);
    CHECK(metrics.find(line) != std::string::npos);
  };
  checkMetric(0, "hickory_answers_total{outcome=\"answered\"} 1\n");
  checkMetric(0, "hickory_stage_seconds_count{stage=\"replica\"} 1\n");
  checkMetric(1, "hickory_answers_total{outcome=\"over_rate\"} 1\n");
  checkMetric(1, "hickory_answers_total{outcome=\"outcome_unknown\"}");
}

TEST_CASE_FIXTURE(ExplainFixture,
                  "daemon whose output pipe is never read keeps serving") {
  std::string logPipe = TestCluster.daemonLogFile(0);
  REQUIRE(mkfifo(logPipe.c_str(), 0600) == 0);
  int reader = open(logPipe.c_str(), O_RDONLY | O_NONBLOCK);
  REQUIRE(reader >= 0);
  TestCluster.startAll();
  constexpr int calls = 300;
  int served = 0;
  for (int i = 0; i < calls; ++i)
    served += complete(0, 1).Status == 200 ? 1 : 0;
  CHECK(served == calls);
  CHECK(TestCluster.daemon(0).terminate() == 0);
  close(reader);
}
