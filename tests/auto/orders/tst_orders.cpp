#include "daemon/currency.h"
#include "daemon/servicecalls.h"
#include "memorylog.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace std::chrono_literals;
using Daemon::Internal::Context;
using Daemon::Internal::ServiceCalls;

namespace {

constexpr auto Generous = 20s;
constexpr int UpstreamThreads = 8;
/// As many calls as two endpoints take: each as many as threads stay free.
constexpr int BusyCalls = 6;

/// Holds threads back until it is opened.
class Gate {
public:
  void open() {
    {
      std::lock_guard lock(Mutex);
      Open = true;
    }
    Changed.notify_all();
  }
  /// False when it was not opened in generous time.
  bool wait() {
    std::unique_lock lock(Mutex);
    return Changed.wait_for(lock, Generous, [this] { return Open; });
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Open = false;
};

/// Call on a thread of its own.
class Background {
public:
  explicit Background(std::function<FrontDoor::Answer()> call)
      : Thread([this, call = std::move(call)] { Result = call(); }) {}
  Background(const Background &) = delete;
  ~Background() {
    if (Thread.joinable())
      Thread.join();
  }

  /// Waits for the call to end.
  const FrontDoor::Answer &answer() {
    if (Thread.joinable())
      Thread.join();
    return Result;
  }

private:
  FrontDoor::Answer Result;
  std::thread Thread;
};

/// Plain service that counts executions and fails as told.
struct CountingEndpoint {
  enum class Fault { None, Unsent, LostBefore, LostAfter, Truncated, Crossed };

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, int> ByKey;
  std::map<std::string, int> ByRequest;
  std::function<Fault()> NextFault = [] { return Fault::None; };
  std::function<void()> OnCall = [] {};
  std::string Body = "done";
  /// For OnCall: they outlive the daemons' threads.
  Gate Started;
  Gate Release;

  Utils::Status send(const Engine::Call &call,
                     const Engine::ResponseSink &sink) {
    Fault fault;
    {
      std::lock_guard lock(Mutex);
      fault = NextFault();
      if (fault == Fault::Unsent)
        return Utils::failure(Utils::Errc::Unavailable, "connection refused");
      if (fault == Fault::LostBefore)
        return Utils::failure(Utils::Errc::UnknownResult, "connection reset");
      ++ByKey[call.Headers.empty() ? "" : call.Headers[0].second];
      ++ByRequest[call.RequestId];
      Changed.notify_all();
    }
    OnCall();
    if (fault == Fault::LostAfter)
      return Utils::failure(Utils::Errc::UnknownResult, "connection reset");
    if (fault == Fault::Crossed)
      return Utils::failure(Utils::Errc::Corrupt, "another request's answer");
    sink.OnHead({200, "text/plain"});
    sink.OnBody(Body);
    return fault == Fault::Truncated
               ? Utils::failure(Utils::Errc::UnknownResult, "truncated")
               : Utils::success();
  }
  void waitForRequests(size_t n) {
    std::unique_lock lock(Mutex);
    REQUIRE(Changed.wait_for(lock, Generous,
                             [&] { return ByRequest.size() >= n; }));
  }
  int executions(const std::string &key) {
    std::lock_guard lock(Mutex);
    return ByKey[key];
  }
};

struct Daemonlet {
  Context Shared;
  MemoryLog::View View;
  std::unique_ptr<ServiceCalls> Calls;

  Daemonlet(MemoryLog &log, CountingEndpoint &endpoint,
            const std::string &name) {
    View = log.view();
    Shared.Settings.Name = name;
    Shared.Settings.ClockErrorMs = 5000;
    Shared.Clients.MakeService = [&endpoint](const std::string &, uint16_t) {
      return Engine::Endpoint{[&endpoint](const Engine::Call &call,
                                          const Engine::ResponseSink &sink) {
        return endpoint.send(call, sink);
      }};
    };
    Shared.Follower = std::make_unique<LogSync::Follower>(
        View.Service, Shared.Store, Shared.Clock);
    Shared.Appender = std::make_unique<LogSync::Appender>(
        View.Service, Shared.Store, Shared.Clock);
    Shared.Upstream =
        std::make_unique<Daemon::Internal::UpstreamPool>(UpstreamThreads);
    Shared.Follower->start();
    Shared.Appender->start();
    Calls = std::make_unique<ServiceCalls>(Shared);
  }
  ~Daemonlet() {
    Shared.Upstream->stop();
    Shared.Appender->stop();
    Shared.Store.close();
    Shared.Follower->stop();
  }
  void waitFor(const std::function<bool(const History::State &)> &predicate) {
    REQUIRE(Shared.Store.waitUntil(predicate, Shared.Clock.Now() + Generous));
  }
};

std::vector<History::Record> setUp(size_t daemons) {
  using namespace History;
  TableEdit service;
  service.EditId = "service";
  service.Row = {Table::RowKind::Service, "desk"};
  service.Values = {{"prefix", "/desk"},
                    {"idempotent", "no"},
                    {"open", "yes"},
                    {"teams", "*"}};
  std::vector<Record> records = {service};
  records.push_back(
      LeaseChange{"lease", LeaseAction::Claim, "placement", "x", 0, 0, 1000});
  for (const char *name : {"e1", "e2"}) {
    EndpointChange change;
    change.ChangeId = name;
    change.Fence = positionOf(0, 1);
    change.Endpoint = name;
    change.Kind = EndpointKind::Service;
    change.Service = "desk";
    records.push_back(change);
  }
  for (size_t i = 0; i < daemons; ++i) {
    std::string name = "d" + std::to_string(i);
    records.push_back(
        MemberChange{"join" + name, MemberAction::Join, name, "", 0, ""});
  }
  return records;
}

struct Cluster {
  MemoryLog Log;
  CountingEndpoint Endpoint;
  MemoryLog::View Platform = Log.view();
  std::vector<std::unique_ptr<Daemonlet>> Daemons;

  explicit Cluster(size_t daemons = 2, uint64_t seed = 1) : Log(seed) {
    REQUIRE(Platform.Service.Append(History::encodeRecords(setUp(daemons))));
    for (size_t i = 0; i < daemons; ++i)
      Daemons.push_back(
          std::make_unique<Daemonlet>(Log, Endpoint, "d" + std::to_string(i)));
    for (auto &it : Daemons) {
      it->waitFor([&](const History::State &state) {
        return state.Members.size() == daemons;
      });
      // The state shows a read before the follower counts it as a contact.
      auto deadline = std::chrono::steady_clock::now() + Generous;
      while (!it->Shared.Follower->caughtUp() &&
             std::chrono::steady_clock::now() < deadline)
        std::this_thread::yield();
      REQUIRE(it->Shared.Follower->caughtUp());
    }
  }

  static FrontDoor::Request request(const std::string &key,
                                    Utils::Milliseconds timeout = 10s,
                                    const std::string &body = "seat 1") {
    FrontDoor::Request request;
    request.Id = Utils::randomId();
    request.Method = "POST";
    request.Path = request.Target = "/desk/reserve";
    request.Body = body;
    request.IdempotencyKey = key;
    request.Deadline = std::chrono::steady_clock::now() + timeout;
    return request;
  }
  FrontDoor::Answer call(size_t daemon, const FrontDoor::Request &request) {
    return Daemons[daemon]->Calls->call(request);
  }
};

std::string runState(const FrontDoor::Answer &answer) {
  auto body = nlohmann::json::parse(answer.Body, nullptr, false);
  return body.is_object() ? body["error"].value("run_state", "") : "";
}

std::string reason(const FrontDoor::Answer &answer) {
  auto body = nlohmann::json::parse(answer.Body, nullptr, false);
  return body.is_object() ? body["error"].value("reason", "") : "";
}

using Fault = CountingEndpoint::Fault;

} // namespace

TEST_CASE_FIXTURE(Cluster, "retry at another daemon gets the recorded answer") {
  CHECK(call(0, request("k")).Body == "done");
  auto again = call(1, request("k"));
  CHECK(again.Body == "done");
  CHECK(again.Headers.count("Idempotent-Replayed"));
  CHECK(Endpoint.executions("k") == 1);
}

TEST_CASE_FIXTURE(Cluster, "call with unknown outcome stays unknown at every "
                           "daemon and is never repeated") {
  Fault fault = Fault::None;
  SUBCASE("lost before effect") { fault = Fault::LostBefore; }
  SUBCASE("lost after effect") { fault = Fault::LostAfter; }
  SUBCASE("truncated answer") { fault = Fault::Truncated; }
  SUBCASE("answer of another request") { fault = Fault::Crossed; }
  Endpoint.NextFault = [&] { return std::exchange(fault, Fault::None); };
  CHECK(runState(call(0, request("k"))) == "unknown");
  int executions = Endpoint.executions("k");
  CHECK(reason(call(1, request("k"))) == "outcome_unknown");
  CHECK(reason(call(0, request("k"))) == "outcome_unknown");
  CHECK(Endpoint.executions("k") == executions);
}

TEST_CASE_FIXTURE(Cluster, "call that is under way at its deadline is unknown, "
                           "one that never left is not run") {
  Endpoint.OnCall = [this] { Endpoint.Release.wait(); };
  CHECK(runState(call(0, request("k", 300ms))) == "unknown");
  std::vector<std::unique_ptr<Background>> busy;
  busy.reserve(BusyCalls);
  for (int i = 0; i < BusyCalls; ++i)
    busy.push_back(std::make_unique<Background>(
        [this, i] { return call(1, request("busy" + std::to_string(i))); }));
  Endpoint.waitForRequests(BusyCalls + 1);
  CHECK(runState(call(1, request("queued", 300ms))) == "not-run");
  Endpoint.Release.open();
  for (auto &it : busy)
    CHECK(it->answer().Body == "done");
  CHECK(Endpoint.executions("queued") == 0);
}

TEST_CASE_FIXTURE(Cluster, "call that no endpoint took is not run and its key "
                           "can be used again") {
  int refusals = 2;
  Endpoint.NextFault = [&] {
    return refusals-- > 0 ? Fault::Unsent : Fault::None;
  };
  auto first = call(0, request("k"));
  CHECK(runState(first) == "not-run");
  CHECK(Endpoint.executions("k") == 0);
  CHECK(call(1, request("k")).Status == 200);
  CHECK(Endpoint.executions("k") == 1);
}

TEST_CASE_FIXTURE(Cluster, "connection refused by one endpoint is tried at the "
                           "other") {
  int refusals = 1;
  Endpoint.NextFault = [&] {
    return refusals-- > 0 ? Fault::Unsent : Fault::None;
  };
  CHECK(call(0, request("k")).Status == 200);
  CHECK(Endpoint.executions("k") == 1);
}

TEST_CASE_FIXTURE(Cluster, "retry waits for a live claimer and is told unknown "
                           "at once when the claimer leaves") {
  Endpoint.OnCall = [this] {
    Endpoint.Started.open();
    Endpoint.Release.wait();
  };
  Background first([this] { return call(0, request("k")); });
  REQUIRE(Endpoint.Started.wait());
  Background retry([this] { return call(1, request("k", Generous)); });
  SUBCASE("claimer answers") {
    Endpoint.Release.open();
    CHECK(retry.answer().Body == "done");
  }
  SUBCASE("claimer leaves") {
    History::MemberChange leave;
    leave.ChangeId = "leave";
    leave.Action = History::MemberAction::Leave;
    leave.Daemon = "d0";
    REQUIRE(Platform.Service.Append(History::encodeRecords({leave})));
    CHECK(reason(retry.answer()) == "outcome_unknown");
    Endpoint.Release.open();
  }
  CHECK(first.answer().Body == "done");
  CHECK(Endpoint.executions("k") == 1);
}

TEST_CASE_FIXTURE(Cluster, "claim whose verdict is late is withdrawn, and the "
                           "key can be used again") {
  Daemons[0]->Shared.Follower->stop();
  auto refused = call(0, request("k", 200ms));
  CHECK(reason(refused) == "history_unavailable");
  CHECK(runState(refused) == "not-run");
  Daemons[1]->waitFor([](const History::State &state) {
    return state.Orders.size() == 1 && state.Orders.begin()->second.Settled;
  });
  CHECK(call(1, request("k")).Status == 200);
  CHECK(Endpoint.executions("k") == 1);
}

TEST_CASE_FIXTURE(Cluster, "log away refuses at once, and answers what is "
                           "recorded already") {
  CHECK(call(0, request("old")).Status == 200);
  Daemons[0]->waitFor([](const History::State &state) {
    return state.Orders.begin()->second.Settled;
  });
  auto &shared = Daemons[0]->Shared;
  shared.Clock.Now = [] { return std::chrono::steady_clock::now() + 10s; };
  auto refused = call(0, request("new", Generous));
  CHECK(refused.Status == 503);
  CHECK(reason(refused) == "history_unavailable");
  CHECK(runState(refused) == "not-run");
  CHECK(refused.Headers.count("Retry-After"));
  CHECK(call(0, request("old")).Body == "done");
  CHECK(Endpoint.executions("new") == 0);
}

TEST_CASE_FIXTURE(Cluster, "log that only peers answer for refuses new calls "
                           "at once") {
  Utils::Clock past;
  past.Now = [] { return std::chrono::steady_clock::now() - 10s; };
  auto &contact = Daemons[0]->Shared.Contact;
  contact = std::make_unique<Daemon::Internal::LogContact>(past);
  contact->noteFailure("outage", Utils::Clock().Now());
  CHECK(reason(call(0, request("k"))) == "history_unavailable");
  CHECK(Endpoint.executions("k") == 0);
}

TEST_CASE_FIXTURE(Cluster, "key that is missing, malformed, expired or used "
                           "for another body is refused without a run") {
  constexpr int64_t nowS = 1'000'000;
  for (auto &it : Daemons)
    it->Shared.Clock.WallMs = [] { return nowS * 1000; };
  std::string soon = std::to_string(nowS + 4) + ":k";
  std::string later = std::to_string(nowS + 60) + ":k";
  CHECK(reason(call(0, request(""))) == "missing_idempotency_key");
  CHECK(reason(call(0, request("a b"))) == "invalid_idempotency_key");
  CHECK(reason(call(0, request(soon))) == "idempotency_key_expired");
  CHECK(Endpoint.ByRequest.empty());
  CHECK(call(0, request(later)).Status == 200);
  auto other = call(1, request(later, 10s, "seat 2"));
  CHECK(other.Status == 422);
  CHECK(runState(other) == "not-run");
  CHECK(Endpoint.ByRequest.size() == 1);
}

TEST_CASE_FIXTURE(Cluster, "call whose deadline passes before it is sent does "
                           "not run") {
  auto late = request("k");
  Daemons[0]->Shared.Clock.Now = [&] {
    auto now = std::chrono::steady_clock::now();
    bool claimed = Daemons[0]->Shared.Store.read(
        [](const History::State &state) { return !state.Orders.empty(); });
    return claimed ? now + 20s : now;
  };
  auto answer = call(0, late);
  CHECK(runState(answer) == "not-run");
  CHECK(Endpoint.executions("k") == 0);
}

TEST_CASE("random faults, deaths and races run no key twice and no not-run "
          "call") {
  constexpr size_t daemons = 3;
  constexpr int keys = 6;
  constexpr int callers = 4;
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    Cluster cluster(daemons, seed);
    std::mt19937_64 faults(seed);
    cluster.Endpoint.NextFault = [&] {
      auto draw = faults() % 10;
      return draw < 5 ? Fault::None : static_cast<Fault>(draw - 4);
    };
    cluster.Log.RefusedPercent = 10;
    cluster.Log.LostPercent = 20;
    std::mutex mutex;
    std::vector<std::string> notRun;
    auto caller = [&](uint64_t number) {
      std::mt19937_64 random(seed * 1000 + number);
      for (int i = 0; i < 3 * keys; ++i) {
        std::string key = "k" + std::to_string(random() % keys);
        auto request = Cluster::request(key, 300ms);
        auto answer = cluster.call(random() % daemons, request);
        std::lock_guard lock(mutex);
        if (runState(answer) == "not-run")
          notRun.push_back(request.Id);
        if (number == 0 && i == keys)
          *cluster.Daemons[seed % daemons]->View.Cut = true;
      }
    };
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int i = 0; i < callers; ++i)
      threads.emplace_back(caller, i);
    for (std::thread &it : threads)
      it.join();
    std::lock_guard lock(cluster.Endpoint.Mutex);
    for (const auto &it : cluster.Endpoint.ByKey) {
      CAPTURE(it.first);
      CHECK(it.second <= 1);
    }
    for (const std::string &id : notRun)
      CHECK(cluster.Endpoint.ByRequest.count(id) == 0);
  }
}
