#include "explain/explain.h"
#include "utils/event.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Explain;

namespace {

/// Logs of several daemons, one line per millisecond.
struct Logs {
  void add(const std::string &daemon, const Utils::Event &event) {
    std::string ms = std::to_string(100 + Lines.size());
    std::string text = "time=2026-01-31T08:15:00." + ms +
                       "Z level=info daemon=" + daemon + " " + event.line();
    auto line = parseLine(text);
    REQUIRE(line);
    Lines.push_back(*line);
  }
  void addOutcome(const std::string &daemon, const std::string &id,
                  const std::string &reason, const std::string &runState) {
    add(daemon, Utils::Event("request")
                    .with("id", id)
                    .with("status", 503)
                    .with("reason", reason)
                    .with("run_state", runState)
                    .with("retry_after_ms", 900)
                    .with("message", "why not"));
  }
  std::string causeOf(const std::string &id) const {
    return explain(Lines, id).Cause;
  }
  bool checkCauseContains(const std::string &id,
                          const std::string &part) const {
    INFO(causeOf(id));
    bool found = causeOf(id).find(part) != std::string::npos;
    CHECK(found);
    return found;
  }
  std::vector<LogLine> Lines;
};

} // namespace

TEST_CASE("line with an arbitrary value is parsed to the same value") {
  CHECK(rc::check([](const std::string &value) {
    Utils::Event event("request");
    event.with("id", value).with("last", "x");
    auto line = parseLine("time=t level=info daemon=d0 " + event.line());
    RC_ASSERT(line.has_value());
    RC_ASSERT(line->field("id") == value);
    RC_ASSERT(line->field("last") == "x");
    RC_ASSERT(line->Event == "request");
  }));
}

TEST_CASE("parsing arbitrary text gives an event line or nothing") {
  CHECK(rc::check([](const std::string &text) {
    auto line = parseLine(text);
    RC_ASSERT(!line || !line->Event.empty());
  }));
  CHECK(!parseLine("terminate called without an active exception"));
  CHECK(!parseLine("time=t event=\"request"));
  CHECK(!parseLine("time=t event=\"\\x9\""));
}

TEST_CASE_FIXTURE(Logs,
                  "explanation of a request over its team's rate names the "
                  "team, the tokens and the retry time") {
  add("d0", Utils::Event("tokens_refused")
                .with("id", "r1")
                .with("team", "kitchen")
                .with("needed", 250)
                .with("over_burst", false)
                .with("no_holder", false)
                .with("waited_ms", 40));
  addOutcome("d0", "r1", "over_rate", "not-run");
  checkCauseContains("r1", "team kitchen needed 250 tokens");
  checkCauseContains("r1", "not-run");
  checkCauseContains("r1", "come back in 900 ms");
}

TEST_CASE_FIXTURE(Logs,
                  "explanation of a request refused without a limits "
                  "holder names the state of the link and its last change") {
  add("d0", Utils::Event("limits_link").with("is", "holder_silent"));
  add("d1", Utils::Event("limits_link").with("is", "no_holder"));
  add("d0", Utils::Event("tokens_refused")
                .with("id", "r1")
                .with("no_holder", true)
                .with("link", "the holder does not answer"));
  addOutcome("d0", "r1", "history_unavailable", "not-run");
  checkCauseContains("r1", "the holder does not answer");
  auto found = explain(Lines, "r1");
  REQUIRE(found.Background.size() == 1);
  CHECK(found.Background[0].field("is") == "holder_silent");
}

TEST_CASE("line with a second daemon field keeps the daemon that wrote it") {
  auto line =
      parseLine("time=t level=info daemon=d0 event=feeder_failed daemon=d1");
  REQUIRE(line);
  CHECK(line->Daemon == "d0");
}

TEST_CASE("explanation of a request just after midnight contains the changes "
          "just before midnight") {
  std::vector<LogLine> lines;
  for (const char *text :
       {"time=2026-01-30T23:59:58.500Z daemon=d0 event=dependency_lost "
        "name=log",
        "time=2026-01-30T00:00:04.000Z daemon=d0 event=stopping",
        "time=2026-01-31T00:00:05.000Z daemon=d0 event=request id=r1 "
        "status=503 reason=draining"})
    lines.push_back(parseLine(text).value());
  auto found = explain(lines, "r1");
  REQUIRE(found.Background.size() == 1);
  CHECK(found.Background[0].Event == "dependency_lost");
}

TEST_CASE_FIXTURE(Logs, "explanation of a late answer names the longest wait") {
  add("d0", Utils::Event("admitted")
                .with("id", "r1")
                .with("tokens_wait_ms", 5)
                .with("turn_wait_ms", 10));
  add("d0", Utils::Event("replica_awaited")
                .with("id", "r1")
                .with("outcome", "ready")
                .with("waited_ms", 4000));
  add("d0", Utils::Event("request")
                .with("id", "r1")
                .with("status", 200)
                .with("ms", 5000)
                .with("left_ms", -20));
  checkCauseContains("r1", "4000 ms of it waiting for a replica");
  checkCauseContains("r1", "20 ms after its deadline");
}

TEST_CASE_FIXTURE(Logs, "explanation of a cut stream names who ended it") {
  for (const char *id : {"r1", "r2"})
    add("d0", Utils::Event("request").with("id", id).with("status", 200));
  add("d0", Utils::Event("stream_ended")
                .with("id", "r1")
                .with("whole", false)
                .with("caller_left", true)
                .with("bytes", 77));
  add("d0", Utils::Event("stream_ended")
                .with("id", "r2")
                .with("whole", false)
                .with("caller_left", false)
                .with("bytes", 78));
  add("d0", Utils::Event("stream_cut")
                .with("id", "r2")
                .with("reason", "unknown_key")
                .with("message", "the key was withdrawn"));
  checkCauseContains("r1", "the caller closed the stream after 77 bytes");
  checkCauseContains("r2", "its stream was cut after 78 bytes");
  checkCauseContains("r2", "as unknown_key: the key was withdrawn");
}

TEST_CASE_FIXTURE(Logs, "explanation of a retry with an unknown outcome names "
                        "the daemon that claimed the key and its call") {
  add("d1", Utils::Event("order_claimed")
                .with("id", "r1")
                .with("claim", "c1")
                .with("key_hash", "h")
                .with("verdict", "accepted"));
  add("d1", Utils::Event("order_attempt")
                .with("id", "r1")
                .with("claim", "c1")
                .with("endpoint", "desk-0")
                .with("message", "connection lost"));
  add("d1", Utils::Event("order_outcome")
                .with("id", "r1")
                .with("claim", "c1")
                .with("outcome", "unknown"));
  add("d2", Utils::Event("order_found")
                .with("id", "r2")
                .with("key_hash", "h")
                .with("step", "unknown"));
  addOutcome("d2", "r2", "outcome_unknown", "unknown");
  checkCauseContains("r2", "daemon d1 claimed the key");
  checkCauseContains("r2", "called endpoint desk-0 (connection lost)");
  checkCauseContains("r2", "recorded outcome: unknown");
  CHECK(explain(Lines, "r2").Lines.size() == 5);
}

TEST_CASE_FIXTURE(Logs, "explanation of a retry after the claiming daemon died "
                        "says that no call was logged") {
  add("d1", Utils::Event("order_claimed")
                .with("id", "r1")
                .with("key_hash", "h")
                .with("verdict", "accepted"));
  add("d2", Utils::Event("order_found").with("id", "r2").with("key_hash", "h"));
  addOutcome("d2", "r2", "idempotency_key_in_use", "unknown");
  checkCauseContains("r2", "logged no call to an endpoint");
}

TEST_CASE_FIXTURE(Logs, "explanation of a retry after the claiming daemon died "
                        "while sending says that the call may have run") {
  add("d1", Utils::Event("order_claimed")
                .with("id", "r1")
                .with("key_hash", "h")
                .with("verdict", "accepted"));
  add("d1", Utils::Event("order_sending")
                .with("id", "r1")
                .with("endpoint", "desk-0"));
  add("d2", Utils::Event("order_found").with("id", "r2").with("key_hash", "h"));
  addOutcome("d2", "r2", "idempotency_key_in_use", "unknown");
  checkCauseContains("r2", "called endpoint desk-0, and logged nothing more");
  checkCauseContains("r2", "may have run");
}

TEST_CASE_FIXTURE(Logs, "explanation says when a request has no line or no "
                        "outcome in the logs") {
  checkCauseContains("r9", "contain no line of this request");
  add("d0", Utils::Event("admitted").with("id", "r1"));
  checkCauseContains("r1", "no outcome in these logs");
}

namespace {

struct GatewayLogs : Logs {
  static Utils::Event ended(const std::string &outcome, int status) {
    return Utils::Event("call_ended")
        .with("id", "r")
        .with("outcome", outcome)
        .with("status", status)
        .with("team", "kitchen")
        .with("model", "m")
        .with("endpoint", "i-1")
        .with("ms", 42);
  }
  void addCallWaiting(const std::string &adapter, int led) {
    add("g1", Utils::Event("call_waiting")
                  .with("id", "r")
                  .with("model", "m")
                  .with("adapter", adapter)
                  .with("led", led));
  }
  void addTaskDropped(const std::string &endpoint, const std::string &model) {
    add("g2", Utils::Event("task_dropped")
                  .with("endpoint", endpoint)
                  .with("model", model)
                  .with("reason", "no_room"));
  }
  void addSendRefused() {
    add("g1", Utils::Event("send_failed")
                  .with("id", "r")
                  .with("endpoint", "i-1")
                  .with("end", "refused")
                  .with("status", 503)
                  .with("in_time", 1)
                  .with("in_budget", 0)
                  .with("ms", 3));
  }
};

} // namespace

TEST_CASE_FIXTURE(GatewayLogs, "explanation of a call over the limit names the "
                               "team, its tokens and the retry time") {
  add("g1",
      ended("over_limit", 429).with("tokens", 700).with("retry_after_ms", 250));
  checkCauseContains("r", "team kitchen was over its limit with 700 tokens");
  checkCauseContains("r", "come back in 250 ms");
}

TEST_CASE_FIXTURE(GatewayLogs, "explanation of a call with a quarantined "
                               "prompt part names the crashes") {
  add("g1", ended("part_quarantined", 503).with("retry_after_ms", 300000));
  checkCauseContains("r", "prompt has crashed several endpoints");
  checkCauseContains("r", "come back in 300000 ms");
}

TEST_CASE_FIXTURE(GatewayLogs,
                  "explanation of a call that a planned stop ended "
                  "says whether it may have run") {
  SUBCASE("unanswered") {
    add("g1", ended("shutdown", 504));
    checkCauseContains("r", "endpoint i-1 was still processing it");
    checkCauseContains("r", "may have run");
  }
  SUBCASE("refused") {
    add("g1", ended("leaving", 503).with("retry_after_ms", 20));
    checkCauseContains("r", "was not run");
    checkCauseContains("r", "come back in 20 ms");
  }
}

TEST_CASE_FIXTURE(GatewayLogs, "explanation of a call that waited past its "
                               "deadline names the load that another gateway "
                               "abandoned") {
  addCallWaiting("", 1);
  addTaskDropped("i-7", "m");
  addTaskDropped("i-8", "other");
  add("g1", ended("deadline_unsent", 503));
  checkCauseContains("r", "no engine held model m");
  checkCauseContains("r",
                     "gateway g2 abandoned its load at endpoint i-7: no_room");
}

TEST_CASE_FIXTURE(GatewayLogs, "explanation of a call that waited says that no "
                               "holder was heard from") {
  addCallWaiting("a1", 0);
  add("g1", ended("deadline_unsent", 503));
  checkCauseContains("r", "adapter a1 of model m");
  checkCauseContains(
      "r", "no message from the holder of the fleet's duty had arrived");
}

TEST_CASE_FIXTURE(
    GatewayLogs,
    "explanation of a refused send names the endpoint and the retry "
    "budget") {
  addSendRefused();
  add("g1", ended("not_run", 503));
  checkCauseContains("r",
                     "endpoint i-1 ended the send as refused with status 503");
  checkCauseContains("r", "budget of repeats was used up");
}

TEST_CASE_FIXTURE(GatewayLogs,
                  "explanation of a failed send says that the call "
                  "may have run") {
  addSendRefused();
  add("g1", ended("endpoint_failed", 502));
  checkCauseContains("r", "it may have run");
}

TEST_CASE_FIXTURE(GatewayLogs,
                  "explanation of a call refused for outdated keys "
                  "names the lost dependency") {
  add("g1", Utils::Event("dependency_lost")
                .with("dependency", "configuration")
                .with("error", "store: no answer in time"));
  add("g1", ended("keys_out_of_date", 503).with("keys_age_ms", 4700));
  checkCauseContains("r", "read the configuration 4700 ms ago");
  checkCauseContains("r", "configuration: store: no answer in time");
}

TEST_CASE_FIXTURE(GatewayLogs, "explanation of an answered call contains the "
                               "wait for its model") {
  add("g1", ended("answered", 200).with("waited_ms", 40).with("sends", 2));
  checkCauseContains("r", "endpoint i-1 answered with status 200");
  checkCauseContains("r", "40 ms of it waiting for model m");
  checkCauseContains("r", "sent 2 times");
}

// Guards against a call in an evacuation that is explained as a failure.
TEST_CASE_FIXTURE(GatewayLogs,
                  "explanation of a call refused because of an evacuation "
                  "names the evacuated domains") {
  add("g1", ended("domain_evacuated", 503).with("retry_after_ms", 1000));
  checkCauseContains("r", "all ready endpoints of its service were in "
                          "evacuated failure domains");
}
