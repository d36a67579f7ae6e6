#include "daemon/dispatch.h"

#include <condition_variable>
#include <doctest/doctest.h>
#include <future>

using namespace std::chrono_literals;
using namespace Daemon::Internal;

namespace {

constexpr auto Generous = 20s;
constexpr size_t Threads = 4;

using Sender = std::function<Utils::Status(const Engine::Call &,
                                           const Engine::ResponseSink &)>;

Sender answering(int status, const std::string &body, const Utils::Status &end,
                 const std::string &type = "application/json") {
  return [=](const Engine::Call &, const Engine::ResponseSink &sink) {
    if (!sink.OnHead({status, type}) || !sink.OnBody(body))
      return Utils::Status(Utils::failure(Utils::Errc::Cancelled, "cancelled"));
    return end;
  };
}

Sender failing(Utils::Errc code) {
  return [=](const Engine::Call &, const Engine::ResponseSink &) {
    return Utils::Status(Utils::failure(code, "failed"));
  };
}

const Utils::Status Truncated =
    Utils::failure(Utils::Errc::UnknownResult, "truncated");

struct Dispatch {
  Context Shared;
  std::map<std::string, Sender> Endpoints;
  std::map<std::string, int> Calls;
  FrontDoor::Request Request;

  Dispatch() {
    Shared.Upstream = std::make_unique<UpstreamPool>(Threads);
    Request.Id = "r";
    Request.Method = "POST";
    Request.Target = "/v1/completions";
    Request.Deadline = std::chrono::steady_clock::now() + Generous;
  }
  ~Dispatch() {
    Shared.Store.close();
    Shared.Keys.stop();
    Shared.Upstream->stop();
  }
  FrontDoor::Answer forward(const std::string &keyHash = {}) {
    return forwardIdempotent(
        Shared, Request,
        [this](const std::set<std::string> &excluded) -> std::optional<Target> {
          for (const auto &[name, sender] : Endpoints) {
            if (excluded.count(name))
              continue;
            ++Calls[name];
            return Target{name, {sender}};
          }
          return std::nullopt;
        },
        keyHash);
  }
  static bool says(const FrontDoor::Answer &answer, const std::string &text) {
    return answer.Body.find(text) != std::string::npos;
  }
};

} // namespace

TEST_CASE_FIXTURE(Dispatch, "failed call is answered by another endpoint while "
                            "nothing has reached the caller") {
  SUBCASE("refused") { Endpoints["a"] = failing(Utils::Errc::Unavailable); }
  SUBCASE("lost") { Endpoints["a"] = failing(Utils::Errc::UnknownResult); }
  SUBCASE("of another request") {
    Endpoints["a"] = failing(Utils::Errc::Corrupt);
  }
  SUBCASE("model not loaded") {
    Endpoints["a"] =
        answering(503, "{\"error\":\"model not loaded\"}", Utils::success());
  }
  SUBCASE("truncated") { Endpoints["a"] = answering(200, "half", Truncated); }
  Endpoints["b"] = answering(200, "whole", Utils::success());
  auto answer = forward();
  CHECK(answer.Body == "whole");
  CHECK(Calls["a"] == 1);
  CHECK(Calls["b"] == 1);
}

TEST_CASE_FIXTURE(Dispatch, "call that failed everywhere says whether it may "
                            "have run") {
  Endpoints["a"] = failing(Utils::Errc::Unavailable);
  SUBCASE("nothing was sent") { CHECK(says(forward(), "\"not-run\"")); }
  SUBCASE("one may have run") {
    Endpoints["b"] = failing(Utils::Errc::UnknownResult);
    Endpoints["c"] = failing(Utils::Errc::Unavailable);
    auto answer = forward();
    CHECK(says(answer, "\"unknown\""));
    CHECK(answer.Headers.count("Retry-After") == 1);
  }
}

TEST_CASE_FIXTURE(Dispatch, "retries stop when the budget is spent, and grow "
                            "with the requests") {
  Endpoints["a"] = failing(Utils::Errc::Unavailable);
  Endpoints["b"] = answering(200, "whole", Utils::success());
  int served = 0;
  constexpr int requests = 110;
  for (int i = 0; i < requests; ++i)
    served += forward().Status == 200;
  // Ten at first, and one for each ten requests.
  CHECK(served >= 19);
  CHECK(served <= 21);
}

TEST_CASE_FIXTURE(Dispatch, "truncated stream ends with an error event and "
                            "not as whole; it is not sent again") {
  Endpoints["a"] =
      answering(200, "data: 1\n\n", Truncated, "text/event-stream");
  Endpoints["b"] = answering(200, "whole", Utils::success());
  auto answer = forward();
  REQUIRE(answer.Stream);
  std::string got;
  bool whole = answer.Stream([&](std::string_view piece) {
    got += piece;
    return true;
  });
  CHECK_FALSE(whole);
  CHECK(got.find("data: 1\n\n") == 0);
  CHECK(got.find("event: error") != got.npos);
  CHECK(Calls.count("b") == 0);
}

TEST_CASE_FIXTURE(Dispatch, "caller that leaves before the head cancels the "
                            "call, and it is not sent again") {
  std::promise<void> cancelled;
  Endpoints["a"] = [&](const Engine::Call &call,
                       const Engine::ResponseSink &sink) {
    while (std::chrono::steady_clock::now() < call.Deadline)
      if (!sink.OnHead({200, "text/event-stream"}) || !sink.OnBody("x"))
        break;
    cancelled.set_value();
    return Utils::Status(Utils::failure(Utils::Errc::Cancelled, "cancelled"));
  };
  Endpoints["b"] = answering(200, "whole", Utils::success());
  Request.CallerLeft = [] { return true; };
  SUBCASE("while it reads a stream") {
    auto answer = forward();
    REQUIRE(answer.Stream);
    CHECK_FALSE(answer.Stream([](std::string_view) { return false; }));
  }
  SUBCASE("while it waits for the head") {
    std::promise<void> closed;
    Endpoints["a"] = [&](const Engine::Call &,
                         const Engine::ResponseSink &sink) {
      closed.get_future().wait_for(Generous);
      if (!sink.OnHead({200, "text/plain"}))
        cancelled.set_value();
      return Utils::Status(Utils::failure(Utils::Errc::Cancelled, "left"));
    };
    CHECK(says(forward(), "\"cancelled\""));
    closed.set_value();
  }
  CHECK(cancelled.get_future().wait_for(Generous) == std::future_status::ready);
  CHECK(Calls.count("b") == 0);
}

namespace {

const std::string KeyHash(64, 'a');

History::TableEdit keyEdit(const std::string &id, uint64_t base, bool deleted) {
  History::TableEdit row;
  row.EditId = id;
  row.Row = {Table::RowKind::Key, "k"};
  row.BaseVersion = base;
  row.Deleted = deleted;
  row.Values = {{"team", "t"}, {"key_hash", KeyHash}};
  return row;
}

/// A granted key, and an endpoint whose answer goes on until it is cancelled.
struct GrantedKey : Dispatch {
  std::promise<void> Flowing;
  std::once_flag Flows;

  GrantedKey() {
    History::TableEdit team;
    team.EditId = "t";
    team.Row = {Table::RowKind::Team, "t"};
    team.Values = {{"rate_tokens_per_s", "1"}, {"burst_tokens", "1"}};
    Shared.Store.applyAppend(
        0, History::encodeRecords({team, keyEdit("1", 0, false)}));
    REQUIRE(Shared.Store.read([&](const History::State &state) {
      return state.Table.KeyTeams.count(KeyHash);
    }));
    Shared.Keys.start();
  }
  Sender endlessStream() {
    return [this](const Engine::Call &call, const Engine::ResponseSink &sink) {
      sink.OnHead({200, "text/event-stream"});
      while (std::chrono::steady_clock::now() < call.Deadline) {
        if (!sink.OnBody("data: x\n\n"))
          return Utils::Status(Utils::failure(Utils::Errc::Cancelled, "ended"));
        std::call_once(Flows, [this] { Flowing.set_value(); });
      }
      return Utils::success();
    };
  }
  void withdrawKey() {
    Shared.Store.applyAppend(1, History::encodeRecords({keyEdit(
                                    "2", History::positionOf(0, 1), true)}));
  }
};

} // namespace

TEST_CASE_FIXTURE(GrantedKey, "withdrawn key ends the running stream of its "
                              "caller, with that reason, and no other") {
  Endpoints["a"] = endlessStream();
  auto watched = forward(KeyHash);
  auto open = forward();
  std::string last;
  auto stream = std::async(std::launch::async, [&] {
    return watched.Stream([&](std::string_view piece) {
      last = piece;
      return true;
    });
  });
  Flowing.get_future().wait_for(Generous);
  withdrawKey();
  REQUIRE(stream.wait_for(Generous / 2) == std::future_status::ready);
  CHECK_FALSE(stream.get());
  CHECK(last.find("\"reason\":\"unknown_key\"") != last.npos);
  CHECK(last.find("\"run_state\":\"ran\"") != last.npos);
  int pieces = 0;
  CHECK_FALSE(open.Stream([&](std::string_view) { return ++pieces < 100; }));
  CHECK(pieces == 100);
}

TEST_CASE_FIXTURE(GrantedKey, "withdrawn key ends the call that its caller "
                              "waits for, and it is not sent again") {
  std::promise<void> released;
  bool head = false;
  SUBCASE("before the head") {}
  SUBCASE("while the body comes") { head = true; }
  Endpoints["a"] = [&](const Engine::Call &, const Engine::ResponseSink &sink) {
    if (head)
      sink.OnHead({200, "application/json"});
    Flowing.set_value();
    released.get_future().wait_for(Generous);
    return Utils::success();
  };
  Endpoints["b"] = answering(200, "whole", Utils::success());
  auto answer =
      std::async(std::launch::async, [this] { return forward(KeyHash); });
  Flowing.get_future().wait_for(Generous);
  withdrawKey();
  bool ended = answer.wait_for(Generous / 2) == std::future_status::ready;
  released.set_value();
  REQUIRE(ended);
  auto refusal = answer.get();
  CHECK(says(refusal, "\"unknown_key\""));
  CHECK(says(refusal, "\"unknown\""));
  CHECK(Calls.count("b") == 0);
}

TEST_CASE_FIXTURE(Dispatch, "call under way ends in time for its refusal to "
                            "reach the caller before the deadline") {
  Request.Deadline = std::chrono::steady_clock::now() + 2s;
  std::promise<void> released;
  Utils::TimePoint cut;
  bool stream = false;
  SUBCASE("before the head") {}
  SUBCASE("in a stream") { stream = true; }
  Endpoints["a"] = [&](const Engine::Call &call,
                       const Engine::ResponseSink &sink) {
    cut = call.Deadline;
    if (stream)
      sink.OnHead({200, "text/event-stream"});
    released.get_future().wait_for(Generous);
    return Utils::success();
  };
  auto answer = forward();
  std::string told = answer.Body;
  if (answer.Stream)
    answer.Stream([&](std::string_view piece) {
      told += piece;
      return true;
    });
  released.set_value();
  Shared.Upstream->stop();
  CHECK(told.find("\"deadline_exceeded\"") != told.npos);
  CHECK(cut < Request.Deadline);
}

TEST_CASE_FIXTURE(Dispatch, "endpoint that never answers delays no call to "
                            "another, and callers over its share are refused") {
  constexpr int callers = 3 * Threads;
  std::promise<void> release;
  auto released = release.get_future().share();
  std::mutex mutex;
  std::condition_variable changed;
  int hung = 0;
  int refused = 0;
  auto count = [&](int &what) {
    std::lock_guard lock(mutex);
    ++what;
    changed.notify_all();
  };
  Sender hanging = [&](const Engine::Call &, const Engine::ResponseSink &) {
    count(hung);
    released.wait_for(Generous);
    return Utils::failure(Utils::Errc::UnknownResult, "lost");
  };
  auto forwardTo = [this](const std::string &name, const Sender &sender) {
    return forwardIdempotent(
        Shared, Request,
        [&](const std::set<std::string> &excluded) -> std::optional<Target> {
          if (excluded.count(name))
            return std::nullopt;
          return Target{name, {sender}};
        },
        {});
  };
  std::vector<std::future<FrontDoor::Answer>> waiting;
  waiting.reserve(callers);
  for (int i = 0; i < callers; ++i)
    waiting.push_back(std::async(std::launch::async, [&] {
      auto answer = forwardTo("hung", hanging);
      if (says(answer, "\"no_capacity\""))
        count(refused);
      return answer;
    }));
  {
    std::unique_lock lock(mutex);
    changed.wait_for(lock, Generous / 2,
                     [&] { return hung + refused == callers; });
    CHECK(hung + refused == callers);
    CHECK(hung == Threads / 2);
  }
  auto other = std::async(std::launch::async, [&] {
    return forwardTo("other", answering(200, "whole", Utils::success()));
  });
  bool answered = other.wait_for(Generous / 4) == std::future_status::ready;
  release.set_value();
  CHECK(answered);
  CHECK(other.get().Body == "whole");
  for (auto &it : waiting) {
    auto answer = it.get();
    if (!says(answer, "\"no_capacity\""))
      continue;
    CHECK(says(answer, "\"not-run\""));
    CHECK(answer.Headers.count("Retry-After") == 1);
  }
}

TEST_CASE_FIXTURE(Dispatch, "endpoint with its share of the calls is passed "
                            "over until one ends") {
  auto now = std::chrono::steady_clock::now();
  while (Shared.Clients.tryBegin("full", now, Threads))
    continue;
  // By the load of others, the full one would be the better choice.
  Shared.Loads.note("full", {0, now});
  Shared.Loads.note("busy", {9, now});
  std::vector<Routing::Candidate> both = {{"full", "", 0, 0},
                                          {"busy", "", 0, 0}};
  constexpr int picks = 50;
  for (int i = 0; i < picks; ++i)
    CHECK(pickEndpoint(Shared, both, {}, {}) == "busy");
  Shared.Clients.end("full", now);
  CHECK(pickEndpoint(Shared, both, {"busy"}, {}) == "full");
}

TEST_CASE("call cancelled before a thread took it is never sent") {
  std::promise<void> release;
  std::atomic<int> sent = 0;
  auto released = release.get_future().share();
  Engine::Endpoint endpoint{
      [&, released](const Engine::Call &, const Engine::ResponseSink &) {
        ++sent;
        released.wait_for(Generous);
        return Utils::success();
      }};
  Engine::Call call;
  call.Deadline = std::chrono::steady_clock::now() + Generous;
  UpstreamPool pool(1);
  auto first = pool.start(endpoint, call);
  REQUIRE(first);
  while (sent == 0 && std::chrono::steady_clock::now() < call.Deadline)
    std::this_thread::yield();
  auto second = pool.start(endpoint, call);
  REQUIRE(second);
  CHECK(second->cancel());
  CHECK_FALSE(first->cancel());
  release.set_value();
  pool.stop();
  CHECK(sent == 1);
}
