#include "transcript.h"

#include <csignal>
#include <doctest/doctest.h>
#include <future>

using namespace Support;

namespace {

struct SessionFixture {
  SessionFixture() {
    Key = TestCluster.newKey();
    TestCluster.importTable(basicTable(Cluster::hashOf(Key)));
    TestCluster.startAll();
  }
  Reply complete(int daemon, const std::string &prompt, int tokens = 4) const {
    return TestCluster.post(daemon, "/v1/completions",
                            completionBody("menu-small", prompt, tokens), Key);
  }
  Reply reserve(int daemon, const std::string &key,
                const std::string &body = R"({"seat":4})") const {
    return TestCluster.post(daemon, "/desk/reserve", body, Key,
                            {{"Idempotency-Key", key}});
  }
  /// Waits until an engine's journal records a cancelled call.
  bool waitForCancelledCall() const {
    return eventually([this] {
      return (TestCluster.get("engine-0", "/admin/journal").dump() +
              TestCluster.get("engine-1", "/admin/journal").dump())
                 .find("cancelled") != std::string::npos;
    });
  }
  int runningCalls() const {
    return TestCluster.get("engine-0", "/admin/state").value("running", 0) +
           TestCluster.get("engine-1", "/admin/state").value("running", 0);
  }
  Cluster TestCluster;
  std::string Key;
};

} // namespace

TEST_CASE_FIXTURE(SessionFixture, "cold start matches its golden file") {
  Transcript transcript("coldstart");
  transcript.addCall("d0 completion of a model that is not loaded",
                     complete(0, "soup for tuesday"));
  transcript.addCall("d1 unknown model",
                     TestCluster.post(1, "/v1/completions",
                                      completionBody("nothing", "x"), Key));
  transcript.addCall("d2 wrong key",
                     TestCluster.post(2, "/v1/completions",
                                      completionBody("menu-small", "x"),
                                      "wrong"));
  transcript.addCall("d2 list of models",
                     TestCluster.send(2, "GET", "/v1/models", "",
                                      {{"Authorization", "Bearer " + Key}}));
  transcript.addEndpointJournals(TestCluster);
  transcript.addAuditEntries(TestCluster, 0,
                             {"team", "model", "service", "key", "replica"});
  CHECK_MESSAGE(transcript.compare().empty(), transcript.compare());
}

TEST_CASE_FIXTURE(SessionFixture,
                  "burst at three daemons matches its golden file") {
  Transcript transcript("burst");
  std::vector<std::future<Reply>> calls;
  calls.reserve(6);
  for (int i = 0; i < 6; ++i)
    calls.push_back(std::async(std::launch::async, [this, i] {
      return complete(i % 3, "guest " + std::to_string(i));
    }));
  for (size_t i = 0; i < calls.size(); ++i)
    transcript.addCall("completion " + std::to_string(i), calls[i].get());
  transcript.addEndpointJournals(TestCluster);
  transcript.addAuditEntries(TestCluster, 1, {"replica"});
  CHECK_MESSAGE(transcript.compare().empty(), transcript.compare());
}

TEST_CASE_FIXTURE(SessionFixture,
                  "stream whose caller disconnects matches its golden file") {
  Transcript transcript("callerleaves");
  REQUIRE(complete(0, "warm").Status == 200);
  transcript.addLine("> d0 stream of 2000 tokens, left after 3 events");
  for (const std::string &it : TestCluster.stream(
           0, completionBody("menu-small", "long", 2000, true), Key, 3))
    transcript.addLine("< " + it);
  transcript.addLine(waitForCancelledCall()
                         ? "the endpoint's call was cancelled"
                         : "not cancelled");
  transcript.addEndpointJournals(TestCluster);
  CHECK_MESSAGE(transcript.compare().empty(), transcript.compare());
}

TEST_CASE_FIXTURE(SessionFixture,
                  "reservation retried elsewhere matches its golden file") {
  Transcript transcript("reservation");
  transcript.addCall("d0 reservation", reserve(0, "seat-4"));
  transcript.addCall("d1 the same again", reserve(1, "seat-4"));
  transcript.addCall("d2 the same key, another body",
                     reserve(2, "seat-4", R"({"seat":5})"));
  transcript.addCall("d2 no key",
                     TestCluster.post(2, "/desk/reserve", "{}", Key));
  transcript.addEndpointJournals(TestCluster);
  CHECK_MESSAGE(transcript.compare().empty(), transcript.compare());
}

TEST_CASE_FIXTURE(SessionFixture,
                  "conflicting table edits match their golden file") {
  Transcript transcript("editrace");
  std::string exported = TestCluster.command({"table", "export"}).Output;
  auto withRate = [&](const char *rate) {
    std::string edited = exported;
    return edited.replace(edited.find(",100000,"), 8,
                          std::string(",") + rate + ",");
  };
  transcript.addLine(
      "two operators export the sheet, change the rate and import");
  transcript.addLine(TestCluster.tryImportTable(withRate("500")).Output);
  transcript.addLine(TestCluster.tryImportTable(withRate("700")).Output);
  transcript.addLine(TestCluster
                         .command({"table", "edit", "team", "kitchen",
                                   "rate_tokens_per_s=-1", "--actor=bob"})
                         .Output);
  REQUIRE(eventually([&] {
    return TestCluster.audit(2).dump().find("bob") != std::string::npos;
  }));
  transcript.addAuditEntries(TestCluster, 2, {"team"});
  CHECK_MESSAGE(transcript.compare().empty(), transcript.compare());
}

TEST_CASE_FIXTURE(SessionFixture,
                  "log outage and recovery matches its golden file") {
  Transcript transcript("logoutage");
  REQUIRE(complete(0, "warm").Status == 200);
  TestCluster.control("log", {{"outage", true}});
  transcript.addLine("the log goes away");
  transcript.addCall("d1 completion of a loaded model",
                     complete(1, "still here"));
  REQUIRE(eventually([&] { return reserve(0, "probe").Status == 503; }));
  transcript.addCall("d0 reservation", reserve(0, "seat-9"));
  TestCluster.control("log", {{"outage", false}});
  transcript.addLine("the log returns");
  REQUIRE(eventually([&] { return reserve(0, "seat-9").Status == 200; }));
  REQUIRE(eventually([&] { return reserve(2, "seat-9").Status == 200; }));
  transcript.addCall("d2 the same reservation, retried", reserve(2, "seat-9"));
  CHECK_MESSAGE(transcript.compare().empty(), transcript.compare());
}

TEST_CASE_FIXTURE(SessionFixture, "graceful shutdown matches its golden file") {
  Transcript transcript("plannedstop");
  REQUIRE(complete(0, "warm").Status == 200);
  TestCluster.pauseTokens(true);
  auto running = std::async(std::launch::async,
                            [this] { return complete(0, "running", 100); });
  REQUIRE(eventually([this] { return runningCalls() == 1; }));
  TestCluster.daemon(0).signal(SIGTERM);
  REQUIRE(TestCluster.waitReady(0, 503));
  TestCluster.pauseTokens(false);
  transcript.addLine("d0 is told to stop; exit code " +
                     std::to_string(TestCluster.daemon(0).wait()));
  Reply reply = running.get();
  transcript.addLine("the running completion got status " +
                     std::to_string(reply.Status));
  transcript.addCall("d1 completion afterwards", complete(1, "next"));
  CHECK_MESSAGE(transcript.compare().empty(), transcript.compare());
}

TEST_CASE_FIXTURE(SessionFixture,
                  "key deleted during a stream matches its golden file") {
  Transcript transcript("keywithdrawn");
  REQUIRE(complete(0, "warm").Status == 200);
  auto stream = std::async(std::launch::async, [this] {
    return TestCluster.stream(
        0, completionBody("menu-small", "long", 12000, true), Key, SIZE_MAX);
  });
  REQUIRE(eventually([this] { return runningCalls() == 1; }));
  transcript.addLine(
      "> d0 stream of 12000 tokens; the key is withdrawn meanwhile");
  transcript.addLine(
      TestCluster.command({"table", "delete", "key", "kitchen-1"}).Output);
  std::vector<std::string> events = stream.get();
  REQUIRE(!events.empty());
  transcript.addLine("< first: " + events.front());
  transcript.addLine("< last: " + events.back());
  REQUIRE(waitForCancelledCall());
  REQUIRE(eventually([this] { return complete(1, "x").Status == 401; }));
  transcript.addCall("d1 completion with the withdrawn key",
                     complete(1, "again"));
  transcript.addEndpointJournals(TestCluster);
  transcript.addAuditEntries(TestCluster, 1, {"key"});
  CHECK_MESSAGE(transcript.compare().empty(), transcript.compare());
}

TEST_CASE_FIXTURE(SessionFixture,
                  "team over its rate matches its golden file") {
  Transcript transcript("overrate");
  std::string key = TestCluster.newKey();
  transcript.addLine("team porch: 1 token a second, burst 40");
  for (const std::vector<std::string> &row :
       {std::vector<std::string>{"team", "porch", "rate_tokens_per_s=1",
                                 "burst_tokens=40"},
        {"key", "porch-1", "team=porch", "key_hash=" + Cluster::hashOf(key)},
        {"model", "menu-small", "teams=kitchen;porch"}}) {
    std::vector<std::string> args = {"table", "edit"};
    args.insert(args.end(), row.begin(), row.end());
    transcript.addLine(TestCluster.command(args).Output);
  }
  auto porch = [&](int daemon, const std::string &prompt, int tokens) {
    return TestCluster.post(daemon, "/v1/completions",
                            completionBody("menu-small", prompt, tokens), key);
  };
  REQUIRE(complete(0, "warm").Status == 200);
  REQUIRE(eventually(
      [&] { return porch(1, "probe", 400).error("reason") == "over_rate"; }));
  transcript.addCall("d0 porch, 30 tokens", porch(0, "first", 30));
  transcript.addCall("d1 porch, 30 tokens more", porch(1, "second", 30));
  transcript.addCall("d2 porch, more than the burst", porch(2, "third", 400));
  transcript.addCall("d1 kitchen, which is inside its rate",
                     complete(1, "soup"));
  transcript.addEndpointJournals(TestCluster);
  CHECK_MESSAGE(transcript.compare().empty(), transcript.compare());
}
