#include "support/balancer.h"

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <httplib.h>
#include <thread>

using namespace Support;

namespace {

constexpr int InitialDaemons = 3;
constexpr int TotalDaemons = 6;
/// leave_balancer_ms long enough that only a second signal ends the wait.
constexpr int UnboundedWaitMs = 600'000;
constexpr size_t CallerThreads = 12;
/// Completions take 20 to 600 ms, so calls are in flight in every phase of a
/// replacement.
constexpr size_t MinTokens = 4;
constexpr size_t TokenSpread = 117;

ClusterOptions fleetOptions(int leaveBalancerMs) {
  ClusterOptions options;
  options.Daemons = TotalDaemons;
  options.Settings = {{"http", {{"leave_balancer_ms", leaveBalancerMs}}}};
  return options;
}

/// Three running daemons and settings for three more that replace them.
struct RollingFleet {
  explicit RollingFleet(int leaveBalancerMs)
      : TestCluster(fleetOptions(leaveBalancerMs)) {
    Key = TestCluster.newKey();
    TestCluster.importTable(basicTable(Cluster::hashOf(Key)));
    for (int i = 0; i < InitialDaemons; ++i)
      start(i);
    REQUIRE(complete(0).Status == 200);
  }
  void start(int daemon) {
    TestCluster.startDaemon(daemon);
    REQUIRE(TestCluster.waitReady(daemon));
    REQUIRE(TestCluster.waitForEndpoints(daemon));
  }
  Reply complete(int daemon) const {
    return TestCluster.post(daemon, "/v1/completions",
                            completionBody("menu-small", "warm"), Key);
  }
  Cluster TestCluster;
  std::string Key;
};

/// Sends completions, streamed completions and reservations through the load
/// balancer until stopped, over persistent connections as a real one uses.
class BalancedCallers {
public:
  BalancedCallers(const Cluster &cluster, Balancer &balancer, std::string key)
      : TestCluster(cluster), LoadBalancer(balancer), Key(std::move(key)) {
    for (size_t i = 0; i < CallerThreads; ++i)
      Threads.emplace_back([this, i] { run(i); });
  }
  ~BalancedCallers() { stop(); }
  void stop() {
    Stopped = true;
    for (std::thread &it : Threads)
      if (it.joinable())
        it.join();
  }
  size_t answered() const { return Answered; }
  std::vector<std::string> failures() const { return Failures; }
  std::vector<std::string> orderKeys() const { return OrderKeys; }

private:
  using Clients = std::map<int, std::unique_ptr<httplib::Client>>;

  void run(size_t caller) {
    Clients clients;
    for (size_t round = 0; !Stopped; ++round) {
      std::string name = std::to_string(caller) + "-" + std::to_string(round);
      size_t tokens = MinTokens + (caller * 31 + round * 17) % TokenSpread;
      completion(clients, name, static_cast<int>(tokens), round % 2 == 0);
      reservation(clients, name);
    }
  }

  httplib::Result send(Clients &clients, httplib::Request request) {
    int daemon = LoadBalancer.pick();
    auto &client = clients[daemon];
    if (!client) {
      client = std::make_unique<httplib::Client>("127.0.0.1",
                                                 TestCluster.httpPort(daemon));
      client->set_keep_alive(true);
      client->set_tcp_nodelay(true);
      client->set_read_timeout(std::chrono::seconds(60));
    }
    request.set_header("Authorization", "Bearer " + Key);
    request.set_header("Content-Type", "application/json");
    auto result = client->send(request);
    LoadBalancer.finish(daemon);
    return result;
  }

  void completion(Clients &clients, const std::string &name, int tokens,
                  bool stream) {
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = completionBody("menu-small", name, tokens, stream);
    auto result = send(clients, std::move(request));
    bool succeeded =
        result && result->status == 200 &&
        (!stream || result->body.find("[DONE]") != std::string::npos);
    record(succeeded, "completion " + name, result);
  }

  void reservation(Clients &clients, const std::string &name) {
    httplib::Request request;
    request.method = "POST";
    request.path = "/desk/reserve";
    request.body = R"({"seat":4})";
    request.set_header("Idempotency-Key", name);
    auto result = send(clients, std::move(request));
    record(result && result->status == 200, "reservation " + name, result);
    std::lock_guard lock(Mutex);
    OrderKeys.push_back(name);
  }

  void record(bool succeeded, const std::string &what,
              const httplib::Result &result) {
    if (succeeded) {
      ++Answered;
      return;
    }
    std::string got = result
                          ? std::to_string(result->status) + " " + result->body
                          : httplib::to_string(result.error());
    std::lock_guard lock(Mutex);
    Failures.push_back(what + ": " + got);
  }

  const Cluster &TestCluster;
  Balancer &LoadBalancer;
  std::string Key;
  std::atomic<bool> Stopped = false;
  std::atomic<size_t> Answered = 0;
  std::mutex Mutex;
  std::vector<std::string> Failures;
  std::vector<std::string> OrderKeys;
  std::vector<std::thread> Threads;
};

} // namespace

TEST_CASE("replacing every daemon under load drops and refuses no request and "
          "runs each order once") {
  RollingFleet fleet(UnboundedWaitMs);
  Balancer balancer(fleet.TestCluster, TotalDaemons);
  for (int i = 0; i < InitialDaemons; ++i)
    REQUIRE(eventually([&] { return balancer.isInRotation(i); }));
  BalancedCallers callers(fleet.TestCluster, balancer, fleet.Key);
  for (int i = 0; i < InitialDaemons; ++i) {
    size_t before = callers.answered();
    REQUIRE(eventually(
        [&] { return callers.answered() > before + CallerThreads; }));
    int replacement = InitialDaemons + i;
    fleet.start(replacement);
    REQUIRE(eventually([&] { return balancer.isInRotation(replacement); }));
    fleet.TestCluster.daemon(i).signal(SIGTERM);
    REQUIRE(eventually([&] {
      return !balancer.isInRotation(i) && balancer.inFlight(i) == 0;
    }));
    CHECK(fleet.TestCluster.daemon(i).terminate() == 0);
  }
  size_t before = callers.answered();
  CHECK(
      eventually([&] { return callers.answered() > before + CallerThreads; }));
  callers.stop();
  std::vector<std::string> failures = callers.failures();
  for (const std::string &it : failures)
    CHECK_MESSAGE(false, it);
  Json executions = fleet.TestCluster.get("desk-0", "/control/executions");
  for (const std::string &it : callers.orderKeys())
    CHECK_MESSAGE(executions.value(it, 0) == 1, "order " << it);
  MESSAGE(callers.answered() << " requests answered completely");
}

TEST_CASE("stopping daemon reports not ready but keeps serving until a second "
          "signal ends its wait for the load balancer") {
  RollingFleet fleet(UnboundedWaitMs);
  fleet.TestCluster.daemon(0).signal(SIGTERM);
  REQUIRE(fleet.TestCluster.waitReady(0, 503));
  CHECK(fleet.complete(0).Status == 200);
  CHECK(fleet.TestCluster.daemon(0).terminate() == 0);
}

TEST_CASE("stopping daemon exits by itself when its wait for the load balancer "
          "ends") {
  RollingFleet fleet(500);
  CHECK(fleet.TestCluster.daemon(0).terminate() == 0);
}
