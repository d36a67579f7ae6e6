#include "transcript.h"

#include <csignal>
#include <doctest/doctest.h>
#include <future>

using namespace Support;

namespace {

struct Session {
  Session() {
    Key = All.newKey();
    All.importTable(basicTable(Cluster::hashOf(Key)));
    All.startAll();
  }
  Reply complete(int daemon, const std::string &prompt, int tokens = 4) const {
    return All.post(daemon, "/v1/completions",
                    completionBody("menu-small", prompt, tokens), Key);
  }
  Reply reserve(int daemon, const std::string &key,
                const std::string &body = R"({"seat":4})") const {
    return All.post(daemon, "/desk/reserve", body, Key,
                    {{"Idempotency-Key", key}});
  }
  /// Waits until an engine has seen a call cancelled.
  bool callCancelled() const {
    return eventually([this] {
      return (All.get("engine-0", "/admin/journal").dump() +
              All.get("engine-1", "/admin/journal").dump())
                 .find("cancelled") != std::string::npos;
    });
  }
  int runningCalls() const {
    return All.get("engine-0", "/admin/state").value("running", 0) +
           All.get("engine-1", "/admin/state").value("running", 0);
  }
  Cluster All;
  std::string Key;
};

} // namespace

TEST_CASE_FIXTURE(Session, "cold start matches its golden file") {
  Transcript out("coldstart");
  out.call("d0 completion of a model that is not loaded",
           complete(0, "soup for tuesday"));
  out.call("d1 unknown model",
           All.post(1, "/v1/completions", completionBody("nothing", "x"), Key));
  out.call("d2 wrong key",
           All.post(2, "/v1/completions", completionBody("menu-small", "x"),
                    "wrong"));
  out.call("d2 list of models", All.send(2, "GET", "/v1/models", "",
                                         {{"Authorization", "Bearer " + Key}}));
  out.endpoints(All);
  out.audit(All, 0, {"team", "model", "service", "key", "replica"});
  CHECK_MESSAGE(out.compare().empty(), out.compare());
}

TEST_CASE_FIXTURE(Session, "burst at three daemons matches its golden file") {
  Transcript out("burst");
  std::vector<std::future<Reply>> calls;
  calls.reserve(6);
  for (int i = 0; i < 6; ++i)
    calls.push_back(std::async(std::launch::async, [this, i] {
      return complete(i % 3, "guest " + std::to_string(i));
    }));
  for (size_t i = 0; i < calls.size(); ++i)
    out.call("completion " + std::to_string(i), calls[i].get());
  out.endpoints(All);
  out.audit(All, 1, {"replica"});
  CHECK_MESSAGE(out.compare().empty(), out.compare());
}

TEST_CASE_FIXTURE(Session,
                  "stream whose caller leaves matches its golden file") {
  Transcript out("callerleaves");
  REQUIRE(complete(0, "warm").Status == 200);
  out.note("> d0 stream of 2000 tokens, left after 3 events");
  for (const std::string &it :
       All.stream(0, completionBody("menu-small", "long", 2000, true), Key, 3))
    out.note("< " + it);
  out.note(callCancelled() ? "the endpoint's call was cancelled"
                           : "not cancelled");
  out.endpoints(All);
  CHECK_MESSAGE(out.compare().empty(), out.compare());
}

TEST_CASE_FIXTURE(Session,
                  "reservation retried elsewhere matches its golden file") {
  Transcript out("reservation");
  out.call("d0 reservation", reserve(0, "seat-4"));
  out.call("d1 the same again", reserve(1, "seat-4"));
  out.call("d2 the same key, another body",
           reserve(2, "seat-4", R"({"seat":5})"));
  out.call("d2 no key", All.post(2, "/desk/reserve", "{}", Key));
  out.endpoints(All);
  CHECK_MESSAGE(out.compare().empty(), out.compare());
}

TEST_CASE_FIXTURE(Session, "race of two edits matches its golden file") {
  Transcript out("editrace");
  std::string sheet = All.command({"table", "export"}).Output;
  auto withRate = [&](const char *rate) {
    std::string edited = sheet;
    return edited.replace(edited.find(",100000,"), 8,
                          std::string(",") + rate + ",");
  };
  out.note("two operators export the sheet, change the rate and import");
  out.note(All.importSheet(withRate("500")).Output);
  out.note(All.importSheet(withRate("700")).Output);
  out.note(All.command({"table", "edit", "team", "kitchen",
                        "rate_tokens_per_s=-1", "--actor=bob"})
               .Output);
  REQUIRE(eventually(
      [&] { return All.audit(2).dump().find("bob") != std::string::npos; }));
  out.audit(All, 2, {"team"});
  CHECK_MESSAGE(out.compare().empty(), out.compare());
}

TEST_CASE_FIXTURE(Session, "log outage and return matches its golden file") {
  Transcript out("logoutage");
  REQUIRE(complete(0, "warm").Status == 200);
  All.control("log", {{"outage", true}});
  out.note("the log goes away");
  out.call("d1 completion of a loaded model", complete(1, "still here"));
  REQUIRE(eventually([&] { return reserve(0, "probe").Status == 503; }));
  out.call("d0 reservation", reserve(0, "seat-9"));
  All.control("log", {{"outage", false}});
  out.note("the log returns");
  REQUIRE(eventually([&] { return reserve(0, "seat-9").Status == 200; }));
  REQUIRE(eventually([&] { return reserve(2, "seat-9").Status == 200; }));
  out.call("d2 the same reservation, retried", reserve(2, "seat-9"));
  CHECK_MESSAGE(out.compare().empty(), out.compare());
}

TEST_CASE_FIXTURE(Session, "planned stop matches its golden file") {
  Transcript out("plannedstop");
  REQUIRE(complete(0, "warm").Status == 200);
  All.holdTokens(true);
  auto running = std::async(std::launch::async,
                            [this] { return complete(0, "running", 100); });
  REQUIRE(eventually([this] { return runningCalls() == 1; }));
  All.daemon(0).signal(SIGTERM);
  REQUIRE(All.waitReady(0, 503));
  All.holdTokens(false);
  out.note("d0 is told to stop; exit code " +
           std::to_string(All.daemon(0).wait()));
  Reply reply = running.get();
  out.note("the running completion got status " + std::to_string(reply.Status));
  out.call("d1 completion afterwards", complete(1, "next"));
  CHECK_MESSAGE(out.compare().empty(), out.compare());
}

TEST_CASE_FIXTURE(Session,
                  "key withdrawn during a stream matches its golden file") {
  Transcript out("keywithdrawn");
  REQUIRE(complete(0, "warm").Status == 200);
  auto stream = std::async(std::launch::async, [this] {
    return All.stream(0, completionBody("menu-small", "long", 12000, true), Key,
                      SIZE_MAX);
  });
  REQUIRE(eventually([this] { return runningCalls() == 1; }));
  out.note("> d0 stream of 12000 tokens; the key is withdrawn meanwhile");
  out.note(All.command({"table", "delete", "key", "kitchen-1"}).Output);
  std::vector<std::string> events = stream.get();
  REQUIRE(!events.empty());
  out.note("< first: " + events.front());
  out.note("< last: " + events.back());
  REQUIRE(callCancelled());
  REQUIRE(eventually([this] { return complete(1, "x").Status == 401; }));
  out.call("d1 completion with the withdrawn key", complete(1, "again"));
  out.endpoints(All);
  out.audit(All, 1, {"key"});
  CHECK_MESSAGE(out.compare().empty(), out.compare());
}

TEST_CASE_FIXTURE(Session, "team over its rate matches its golden file") {
  Transcript out("overrate");
  std::string key = All.newKey();
  out.note("team porch: 1 token a second, burst 40");
  for (const std::vector<std::string> &row :
       {std::vector<std::string>{"team", "porch", "rate_tokens_per_s=1",
                                 "burst_tokens=40"},
        {"key", "porch-1", "team=porch", "key_hash=" + Cluster::hashOf(key)},
        {"model", "menu-small", "teams=kitchen;porch"}}) {
    std::vector<std::string> words = {"table", "edit"};
    words.insert(words.end(), row.begin(), row.end());
    out.note(All.command(words).Output);
  }
  auto porch = [&](int daemon, const std::string &prompt, int tokens) {
    return All.post(daemon, "/v1/completions",
                    completionBody("menu-small", prompt, tokens), key);
  };
  REQUIRE(complete(0, "warm").Status == 200);
  REQUIRE(eventually(
      [&] { return porch(1, "probe", 400).error("reason") == "over_rate"; }));
  out.call("d0 porch, 30 tokens", porch(0, "first", 30));
  out.call("d1 porch, 30 tokens more", porch(1, "second", 30));
  out.call("d2 porch, more than the burst", porch(2, "third", 400));
  out.call("d1 kitchen, which is inside its rate", complete(1, "soup"));
  out.endpoints(All);
  CHECK_MESSAGE(out.compare().empty(), out.compare());
}
