#include <doctest/doctest.h>

#include "daemon/admit.h"
#include "daemon/waitingboard.h"

#include <future>

using namespace Admission;
using namespace Daemon::Internal;

namespace {

constexpr char Model[] = "menu-small";
const auto AnyModel = [](const std::string &) { return true; };

Utils::TimePoint atMs(int ms) {
  return Utils::TimePoint(Utils::Milliseconds(ms));
}

QueuedRequest requestOf(uint64_t id, const std::string &team, int ms = 1000) {
  return {id, team, Model, atMs(ms)};
}

const TicketPtr &
ticketOf(const std::variant<TicketPtr, FrontDoor::Refusal> &it) {
  REQUIRE(std::holds_alternative<TicketPtr>(it));
  return std::get<TicketPtr>(it);
}

std::string chunk(int i) {
  return "data: {\"choices\":[{\"index\":0,\"text\":\" w" + std::to_string(i) +
         "\"}]}\n\n";
}

/// One daemon that holds the limits duty itself.
struct DaemonFixture {
  DaemonFixture() {
    LimitsPorts ports;
    ports.Name = "a";
    ports.Rpc.Handle = [](const std::string &, const Peers::Handler &) {};
    ports.Lead = [] { return LimitsLead{"a", 1, true, 0, ""}; };
    ports.Teams = [] {
      return std::map<std::string, Limits::Limit>{{"menus", {1, 1000}},
                                                  {"desk", {1, 1000}}};
    };
    Limiter = std::make_unique<LimitsDuty>(ports, Counters);
    AdmitPorts admitPorts;
    admitPorts.Clock.Now = [this] {
      return std::chrono::steady_clock::now() + ClockLead.load();
    };
    admitPorts.Capacity = [](const std::string &) { return 1U; };
    admitPorts.ReadyInMs = [this](const std::string &) { return ReadyInMs; };
    admitPorts.Team = [](const std::string &) {
      return Table::TeamSpec{1, 1000, 7};
    };
    Gate = std::make_unique<Admit>(admitPorts, *Limiter, Counters);
    Limiter->start();
    auto deadline = std::chrono::steady_clock::now() + std::chrono::minutes(1);
    REQUIRE(Limiter->acquire("menus", 0, deadline).Tokens);
  }
  ~DaemonFixture() { Limiter->stop(); }

  std::variant<TicketPtr, FrontDoor::Refusal>
  admit(const std::string &team, int maxTokens, int deadlineMs = 60000) {
    FrontDoor::Request request;
    request.Body =
        R"({"prompt":"soup","max_tokens":)" + std::to_string(maxTokens) + "}";
    request.Deadline = std::chrono::steady_clock::now() +
                       std::chrono::milliseconds(deadlineMs);
    return Gate->admit(request, team, Model);
  }

  using Admitted = std::variant<TicketPtr, FrontDoor::Refusal>;

  void deliverOne(const Admitted &admitted) {
    FrontDoor::Answer answer;
    answer.Stream = [](const FrontDoor::PieceWriter &write) {
      return write(chunk(0));
    };
    answer = Gate->meter(ticketOf(admitted), std::move(answer), "id");
    REQUIRE(answer.Stream([](std::string_view) { return true; }));
  }

  /// Makes a call of this length at once.
  void runCall(std::chrono::milliseconds length) {
    auto admitted = admit("menus", 10);
    deliverOne(admitted);
    ClockLead = ClockLead.load() + length;
  }

  void waitForWaiting(size_t n) {
    while (Gate->waiting() < n)
      std::this_thread::yield();
  }

  std::atomic<std::chrono::milliseconds> ClockLead{};
  std::optional<uint32_t> ReadyInMs = 0;
  Metrics::Registry Counters;
  std::unique_ptr<LimitsDuty> Limiter;
  std::unique_ptr<Admit> Gate;
};

} // namespace

TEST_CASE("cost, named limit and choices, is prompt and all that may come") {
  RequestCost cost =
      costOf(R"({"prompt":"soup for tuesday","max_tokens":8,"n":3})");
  CHECK(cost.Prompt == 4);
  CHECK(cost.Generated == 24);
  CHECK(cost.GeneratedNamed);
  CHECK(!costOf(R"({"messages":[{"content":"x"}]})").GeneratedNamed);
  CHECK(costOf("no JSON").total() == 0);
}

TEST_CASE("stream, cut anywhere, counts each token once and usage on top") {
  std::string whole = chunk(0) + chunk(1) +
                      "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5,"
                      "\"completion_tokens\":4}}\n\ndata: [DONE]\n\n";
  for (size_t cut = 0; cut <= whole.size(); ++cut) {
    StreamMeter meter;
    uint64_t tokens = 0;
    std::string passed;
    for (const std::string &part : {whole.substr(0, cut), whole.substr(cut)})
      for (const StreamEvent &it : meter.feed(part)) {
        tokens += it.Tokens;
        passed += it.Bytes;
      }
    CHECK(tokens == 4);
    CHECK(passed == whole);
    CHECK(meter.promptTokens() == 5);
  }
}

TEST_CASE("forecast, full and loading, refuses what cannot start in time") {
  LoadView view{0, 4, 4, 3, 200};
  CHECK(startInMs(view) == 200);
  CHECK(!tooLate(view, atMs(300), atMs(0)));
  CHECK(tooLate(view, atMs(150), atMs(0)) == 200);
  view.ReadyInMs = 5000;
  CHECK(tooLate(view, atMs(3000), atMs(0)) == 5000);
}

TEST_CASE("forecast, even the shortest call ends late, refuses only what has "
          "to wait") {
  LoadView view{0, 4, 4, 0, 200, 150};
  CHECK(tooLate(view, atMs(200), atMs(0)) == 50);
  CHECK(!tooLate(view, atMs(201), atMs(0)));
  view.Running = 3;
  CHECK(!tooLate(view, atMs(100), atMs(0)));
}

TEST_CASE("waiting request, forecast misses, is given up only by a wide miss") {
  LoadView view{0, 4, 4, 3, 200};
  CHECK(!missesDeadline(view, atMs(150), atMs(0)));
  CHECK(missesDeadline(view, atMs(100), atMs(0)) == 200);
}

TEST_CASE("calls ahead, queued for another model, do not count") {
  FairQueue queue;
  QueuedRequest other = requestOf(1, "desk");
  other.Model = "pattern";
  REQUIRE(enqueue(queue, other));
  REQUIRE(enqueue(queue, requestOf(2, "desk")));
  REQUIRE(enqueue(queue, requestOf(3, "menus")));
  REQUIRE(enqueue(queue, requestOf(4, "menus")));
  CHECK(aheadOf(queue, "menus", Model, 0) == 3);
  CHECK(aheadOf(queue, "menus", Model, 3) == 1);
  CHECK(aheadOf(queue, "menus", "pattern", 0) == 1);
}

TEST_CASE("fair queue, one team asks much more, others are served the same") {
  FairQueue queue;
  uint64_t id = 0;
  for (int i = 0; i < 30; ++i)
    REQUIRE(enqueue(queue, requestOf(++id, "greedy")));
  for (int i = 0; i < 10; ++i)
    REQUIRE(enqueue(queue, requestOf(++id, "modest")));
  std::map<std::string, int> first20;
  for (int i = 0; i < 20; ++i) {
    auto request = next(queue, AnyModel);
    REQUIRE(request);
    ++first20[request->Team];
    serve(queue, request->Team, 100);
    finish(queue, request->Team);
  }
  CHECK(first20["modest"] == 10);
}

TEST_CASE("fair queue, team idle for long, has earned no credit") {
  FairQueue queue;
  REQUIRE(enqueue(queue, requestOf(1, "busy")));
  REQUIRE(next(queue, AnyModel));
  serve(queue, "busy", 5000);
  REQUIRE(enqueue(queue, requestOf(2, "idle")));
  CHECK(queue.Teams["idle"].Served == 5000);
}

TEST_CASE("fair queue, team's part full, others still enter") {
  FairQueue queue;
  uint64_t id = 0;
  while (enqueue(queue, requestOf(++id, "greedy"))) {
  }
  CHECK(queue.Waiting == queue.Limits.PerTeam);
  CHECK(enqueue(queue, requestOf(++id, "modest")));
  CHECK(expire(queue, atMs(1000)).size() == queue.Limits.PerTeam + 1);
  CHECK(queue.Waiting == 0);
}

TEST_CASE_FIXTURE(DaemonFixture, "request over its team's rate, is refused not "
                                 "run with when to come back") {
  auto first = admit("menus", 900);
  ticketOf(first);
  auto second = admit("menus", 300);
  REQUIRE(std::holds_alternative<FrontDoor::Refusal>(second));
  const auto &refusal = std::get<FrontDoor::Refusal>(second);
  CHECK(refusal.Why == FrontDoor::Reason::OverRate);
  CHECK(refusal.Ran == FrontDoor::RunState::NotRun);
  CHECK(refusal.RetryAfterMs > 100'000);
}

TEST_CASE_FIXTURE(DaemonFixture, "request, model not loaded in time, is "
                                 "refused at once") {
  ReadyInMs = 90'000;
  auto answer = admit("menus", 10);
  REQUIRE(std::holds_alternative<FrontDoor::Refusal>(answer));
  CHECK(std::get<FrontDoor::Refusal>(answer).Why ==
        FrontDoor::Reason::DeadlineTooShort);
}

TEST_CASE_FIXTURE(DaemonFixture, "ticket, not used, gives its tokens and its "
                                 "place back") {
  for (int i = 0; i < 5; ++i)
    ticketOf(admit("menus", 900));
  ticketOf(admit("desk", 900));
}

TEST_CASE_FIXTURE(DaemonFixture, "waiting request, turn comes when a running "
                                 "one ends") {
  auto first = admit("menus", 10);
  auto waiting = std::async(std::launch::async,
                            [this] { return admit("desk", 10, 10000); });
  while (Gate->waiting() == 0 &&
         waiting.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
    std::this_thread::yield();
  std::get<TicketPtr>(first).reset();
  ticketOf(waiting.get());
}

TEST_CASE_FIXTURE(DaemonFixture, "waiting request, too late for even a short "
                                 "call, is refused before its deadline") {
  runCall(std::chrono::seconds(4));
  ClockLead = std::chrono::milliseconds(0);
  auto running = admit("menus", 10);
  ticketOf(running);
  auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(8);
  auto answer = admit("desk", 10, 8200);
  REQUIRE(std::holds_alternative<FrontDoor::Refusal>(answer));
  const auto &refusal = std::get<FrontDoor::Refusal>(answer);
  CHECK(refusal.Why == FrontDoor::Reason::DeadlineTooShort);
  CHECK(refusal.Ran == FrontDoor::RunState::NotRun);
  CHECK(refusal.RetryAfterMs > 0);
  CHECK(std::chrono::steady_clock::now() < deadline - std::chrono::seconds(1));
}

TEST_CASE_FIXTURE(DaemonFixture,
                  "waiting request, calls grow long, is given up "
                  "when one ends") {
  auto running = admit("menus", 10);
  auto next = std::async(std::launch::async,
                         [this] { return admit("desk", 10, 150'000); });
  waitForWaiting(1);
  auto last = std::async(std::launch::async,
                         [this] { return admit("desk", 10, 150'000); });
  waitForWaiting(2);
  deliverOne(running);
  ClockLead = std::chrono::seconds(100);
  std::get<TicketPtr>(running).reset();
  auto started = next.get();
  ticketOf(started);
  REQUIRE(last.wait_for(std::chrono::seconds(60)) == std::future_status::ready);
  auto answer = last.get();
  REQUIRE(std::holds_alternative<FrontDoor::Refusal>(answer));
  CHECK(std::get<FrontDoor::Refusal>(answer).RetryAfterMs >= 99'000);
}

TEST_CASE_FIXTURE(DaemonFixture, "stream longer than its team's rate allows, "
                                 "ends as truncated and delivers no more") {
  auto admitted = admit("menus", 990, 1500);
  FrontDoor::Answer answer;
  answer.Stream = [](const FrontDoor::PieceWriter &write) {
    for (int i = 0; i < 1200; ++i)
      if (!write(chunk(i)))
        return false;
    return true;
  };
  answer = Gate->meter(ticketOf(admitted), std::move(answer), "id");
  int events = 0;
  bool truncated = false;
  bool whole = answer.Stream([&](std::string_view bytes) {
    truncated = truncated || bytes.find("truncated") != std::string_view::npos;
    ++events;
    return true;
  });
  CHECK(!whole);
  CHECK(truncated);
  CHECK(events <= 1003);
  CHECK(events >= 990);
}

TEST_CASE("load forecast, adapters never measured, refuses no adapter for "
          "what models take") {
  History::State state;
  state.Endpoints["e0"].MemoryMb = 24000;
  state.Table.Models["base"].MemoryMb = 1000;
  state.Table.Adapters["fine"] = {};
  state.Table.Adapters["fine"].Base = "base";
  state.Table.Adapters["fine"].MemoryMb = 100;
  Placement::Knowledge known;
  known.LoadTimes["other"] = std::chrono::seconds(1);
  known.LoadStarted["base"] = atMs(0);
  LoadForecast forecast;
  forecast.update(known);
  CHECK(forecast.readyInMs(state, "base", atMs(0)) == 1000);
  CHECK(!forecast.readyInMs(state, "fine", atMs(0)));
  known.LoadTimes["fine"] = std::chrono::milliseconds(6);
  known.LoadStarted["fine"] = atMs(0);
  forecast.update(known);
  CHECK(forecast.readyInMs(state, "fine", atMs(0)) == 1006);
}
