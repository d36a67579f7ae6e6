#include "support/balancer.h"

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <httplib.h>
#include <thread>

using namespace Support;

namespace {

constexpr int FirstDaemons = 3;
constexpr int AllDaemons = 6;
/// Wait for the balancer that only a second signal ends.
constexpr int NeverByItselfMs = 600'000;
constexpr size_t CallerThreads = 12;
/// Answers of 20 to 600 ms, so that calls begin at every moment.
constexpr size_t LeastTokens = 4;
constexpr size_t TokenSpread = 117;

ClusterOptions fleet(int leaveBalancerMs) {
  ClusterOptions options;
  options.Daemons = AllDaemons;
  options.Settings = {{"http", {{"leave_balancer_ms", leaveBalancerMs}}}};
  return options;
}

/// Three daemons that run, settings for three more that replace them.
struct Fleet {
  explicit Fleet(int leaveBalancerMs) : All(fleet(leaveBalancerMs)) {
    Key = All.newKey();
    All.importTable(basicTable(Cluster::hashOf(Key)));
    for (int i = 0; i < FirstDaemons; ++i)
      start(i);
    REQUIRE(complete(0).Status == 200);
  }
  void start(int daemon) {
    All.startDaemon(daemon);
    REQUIRE(All.waitReady(daemon));
    REQUIRE(All.waitEndpoints(daemon));
  }
  Reply complete(int daemon) const {
    return All.post(daemon, "/v1/completions",
                    completionBody("menu-small", "warm"), Key);
  }
  Cluster All;
  std::string Key;
};

/// Callers behind the balancer that keep their connections, as it does, and
/// send completions, streams and reservations in turn until told to end.
class BalancedCallers {
public:
  BalancedCallers(const Cluster &cluster, Balancer &balancer, std::string key)
      : All(cluster), Way(balancer), Key(std::move(key)) {
    for (size_t i = 0; i < CallerThreads; ++i)
      Threads.emplace_back([this, i] { run(i); });
  }
  ~BalancedCallers() { end(); }
  void end() {
    Ended = true;
    for (std::thread &it : Threads)
      if (it.joinable())
        it.join();
  }
  size_t answered() const { return Whole; }
  std::vector<std::string> faults() const { return Faults; }
  std::vector<std::string> orders() const { return Orders; }

private:
  using Clients = std::map<int, std::unique_ptr<httplib::Client>>;

  void run(size_t caller) {
    Clients clients;
    for (size_t round = 0; !Ended; ++round) {
      std::string name = std::to_string(caller) + "-" + std::to_string(round);
      size_t tokens = LeastTokens + (caller * 31 + round * 17) % TokenSpread;
      completion(clients, name, static_cast<int>(tokens), round % 2 == 0);
      reservation(clients, name);
    }
  }

  httplib::Result send(Clients &clients, httplib::Request request) {
    int daemon = Way.pick();
    auto &client = clients[daemon];
    if (!client) {
      client =
          std::make_unique<httplib::Client>("127.0.0.1", All.httpPort(daemon));
      client->set_keep_alive(true);
      client->set_tcp_nodelay(true);
      client->set_read_timeout(std::chrono::seconds(60));
    }
    request.set_header("Authorization", "Bearer " + Key);
    request.set_header("Content-Type", "application/json");
    auto result = client->send(request);
    Way.finish(daemon);
    return result;
  }

  void completion(Clients &clients, const std::string &name, int tokens,
                  bool stream) {
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = completionBody("menu-small", name, tokens, stream);
    auto result = send(clients, std::move(request));
    bool whole = result && result->status == 200 &&
                 (!stream || result->body.find("[DONE]") != std::string::npos);
    note(whole, "completion " + name, result);
  }

  void reservation(Clients &clients, const std::string &name) {
    httplib::Request request;
    request.method = "POST";
    request.path = "/desk/reserve";
    request.body = R"({"seat":4})";
    request.set_header("Idempotency-Key", name);
    auto result = send(clients, std::move(request));
    note(result && result->status == 200, "reservation " + name, result);
    std::lock_guard lock(Mutex);
    Orders.push_back(name);
  }

  void note(bool whole, const std::string &what,
            const httplib::Result &result) {
    if (whole) {
      ++Whole;
      return;
    }
    std::string got = result
                          ? std::to_string(result->status) + " " + result->body
                          : httplib::to_string(result.error());
    std::lock_guard lock(Mutex);
    Faults.push_back(what + ": " + got);
  }

  const Cluster &All;
  Balancer &Way;
  std::string Key;
  std::atomic<bool> Ended = false;
  std::atomic<size_t> Whole = 0;
  std::mutex Mutex;
  std::vector<std::string> Faults;
  std::vector<std::string> Orders;
  std::vector<std::thread> Threads;
};

} // namespace

TEST_CASE("replacing every daemon under load cuts and refuses no request and "
          "runs each order once") {
  Fleet fleet(NeverByItselfMs);
  Balancer balancer(fleet.All, AllDaemons);
  for (int i = 0; i < FirstDaemons; ++i)
    REQUIRE(eventually([&] { return balancer.sendsTo(i); }));
  BalancedCallers callers(fleet.All, balancer, fleet.Key);
  for (int i = 0; i < FirstDaemons; ++i) {
    size_t before = callers.answered();
    REQUIRE(eventually(
        [&] { return callers.answered() > before + CallerThreads; }));
    int fresh = FirstDaemons + i;
    fleet.start(fresh);
    REQUIRE(eventually([&] { return balancer.sendsTo(fresh); }));
    fleet.All.daemon(i).signal(SIGTERM);
    REQUIRE(eventually(
        [&] { return !balancer.sendsTo(i) && balancer.underWay(i) == 0; }));
    CHECK(fleet.All.daemon(i).terminate() == 0);
  }
  size_t before = callers.answered();
  CHECK(
      eventually([&] { return callers.answered() > before + CallerThreads; }));
  callers.end();
  std::vector<std::string> faults = callers.faults();
  for (const std::string &it : faults)
    CHECK_MESSAGE(false, it);
  Json executions = fleet.All.get("desk-0", "/control/executions");
  for (const std::string &it : callers.orders())
    CHECK_MESSAGE(executions.value(it, 0) == 1, "order " << it);
  MESSAGE(callers.answered() << " requests answered whole");
}

TEST_CASE("stopping daemon serves on, not ready, until a second signal ends "
          "its wait for the balancer") {
  Fleet fleet(NeverByItselfMs);
  fleet.All.daemon(0).signal(SIGTERM);
  REQUIRE(fleet.All.waitReady(0, 503));
  CHECK(fleet.complete(0).Status == 200);
  CHECK(fleet.All.daemon(0).terminate() == 0);
}

TEST_CASE("stopping daemon ends by itself when its wait for the balancer is "
          "over") {
  Fleet fleet(500);
  CHECK(fleet.All.daemon(0).terminate() == 0);
}
