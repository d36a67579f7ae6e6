#include "support/cluster.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

using namespace Support;

namespace {

/// Three daemons of a team whose rate allows a few short answers.
struct LoggedFleet {
  LoggedFleet() {
    Key = All.newKey();
    std::string table = basicTable(Cluster::hashOf(Key));
    All.importTable(table);
  }
  Reply complete(int daemon, int maxTokens, int limitMs = 20'000) const {
    return All.post(daemon, "/v1/completions",
                    completionBody("menu-small", "x", maxTokens), Key,
                    {{"X-Deadline-Ms", std::to_string(limitMs)}});
  }
  /// What `explain` prints for the request behind the reply, from all logs.
  std::string explained(const Reply &reply) const {
    std::vector<std::string> words = {"explain", "--id=" + idOf(reply)};
    for (int i = 0; i < All.daemons(); ++i)
      words.push_back(All.daemonLogFile(i));
    std::string text;
    REQUIRE(eventually([&] {
      text = All.command(words).Output;
      return text.find("event=request") != std::string::npos;
    }));
    return text;
  }
  static std::string idOf(const Reply &reply) {
    auto it = reply.Headers.find("X-Request-Id");
    REQUIRE(it != reply.Headers.end());
    return it->second;
  }
  Cluster All;
  std::string Key;
};

} // namespace

TEST_CASE_FIXTURE(LoggedFleet, "failed requests are explained by the daemons' "
                               "logs alone") {
  All.startAll();
  Reply cold = complete(0, 8);
  REQUIRE(cold.Status == 200);
  CHECK(explained(cold).find("waiting for a replica") != std::string::npos);

  Reply tooMuch = complete(1, 100'000'000);
  REQUIRE(tooMuch.error("reason") == "over_rate");
  CHECK(explained(tooMuch).find("more than its burst") != std::string::npos);

  FaultProxy::Faults swallow;
  swallow.SwallowNext = 1;
  All.proxy().setFaults("desk-0", FaultProxy::Direction::ToClient, swallow);
  Headers order = {{"Idempotency-Key", "seat-9"}, {"X-Deadline-Ms", "3000"}};
  Reply lost = All.post(0, "/desk/reserve", R"({"seat":9})", Key, order);
  REQUIRE(lost.error("run_state") == "unknown");
  Reply retried;
  REQUIRE(eventually([&] {
    retried = All.post(1, "/desk/reserve", R"({"seat":9})", Key, order);
    return retried.error("reason") == "outcome_unknown";
  }));
  std::string text = explained(retried);
  CHECK(text.find("daemon d0 claimed the key") != std::string::npos);
  CHECK(text.find("called endpoint desk-0") != std::string::npos);

  auto counts = [&](int daemon, const std::string &line) {
    std::string metrics = All.send(daemon, "GET", "/metrics", "", {}).Body;
    INFO(metrics);
    CHECK(metrics.find(line) != std::string::npos);
  };
  counts(0, "hickory_answers_total{outcome=\"answered\"} 1\n");
  counts(0, "hickory_stage_seconds_count{stage=\"replica\"} 1\n");
  counts(1, "hickory_answers_total{outcome=\"over_rate\"} 1\n");
  counts(1, "hickory_answers_total{outcome=\"outcome_unknown\"}");
}

TEST_CASE_FIXTURE(LoggedFleet, "daemon whose output nobody reads, serves on") {
  std::string pipe = All.daemonLogFile(0);
  REQUIRE(mkfifo(pipe.c_str(), 0600) == 0);
  int reader = open(pipe.c_str(), O_RDONLY | O_NONBLOCK);
  REQUIRE(reader >= 0);
  All.startAll();
  constexpr int calls = 300;
  int served = 0;
  for (int i = 0; i < calls; ++i)
    served += complete(0, 1).Status == 200 ? 1 : 0;
  CHECK(served == calls);
  CHECK(All.daemon(0).terminate() == 0);
  close(reader);
}
