#include "gatewayprocesses/gatewayfleet.h"
#include "scriptedendpoint.h"

#include "support/cluster.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <atomic>
#include <doctest/doctest.h>
#include <future>
#include <list>
#include <numeric>
#include <random>

using namespace Support;
using namespace std::chrono_literals;

namespace {

/// The operators' bound on the time in which all gateways act on what one of
/// them has learned, the crashes before it begins, and the calls that may reach
/// endpoints after it.
constexpr auto ContactTime = 3000ms;
constexpr size_t CrashesBeforeBound = 3;
constexpr long MaxArrivalsAfterBound = 3;
constexpr int EndpointCount = 12;
constexpr auto DeadlyInterval = 400ms;
constexpr int SoundPerDeadly = 20;
/// Sound calls are at the endpoints for a while, so that some stand beside a
/// crash.
constexpr auto AnswerTime = 40ms;
const std::string DeadlyPath = "/view/deadly";

/// Endpoints of the service "view" that end when they run a request for the
/// deadly path and are back after 3 s, on a thread of their own.
class CrashingEndpoints {
  template <class Function> auto onLoop(const Function &function) {
    std::packaged_task<decltype(function())()> task(function);
    auto result = task.get_future();
    asio::post(Loop, [&task] { task(); });
    return result.get();
  }

public:
  explicit CrashingEndpoints(StoreStandin &store) {
    for (int i = 1; i <= EndpointCount; ++i) {
      std::string id = "view-" + std::to_string(i);
      ScriptedEndpoint &it = Endpoints.emplace_back(Loop, Scripts);
      it.CrashingText = "deadly";
      it.RestartTime = 3000ms;
      std::string fields = "Instance-Id: " + id + "\r\n";
      it.Respond = [fields](const Http::Request &) {
        return Script{"",
                      Script::Action::Repeat,
                      "",
                      AnswerTime,
                      {::answer(200, "ok", fields)}};
      };
      nlohmann::json entry = {{"service", "view"},
                              {"address", it.address()},
                              {"zone", "zone-a"},
                              {"version", "1"},
                              {"slots", 16},
                              {"state", "ready"},
                              {"cold_remaining_ms", 0},
                              {"sequence", 1},
                              {"born", 1}};
      store.put("keyed.servers", id, entry.dump());
    }
    Running = std::thread([this] { Loop.run(); });
  }
  ~CrashingEndpoints() {
    Loop.stop();
    Running.join();
  }
  CrashingEndpoints(const CrashingEndpoints &) = delete;
  CrashingEndpoints &operator=(const CrashingEndpoints &) = delete;

  int crashes() {
    return onLoop([this] {
      int n = 0;
      for (const ScriptedEndpoint &it : Endpoints)
        n += it.Crashes;
      return n;
    });
  }
  /// Arrivals of the deadly request, in order.
  std::vector<Utils::TimePoint> arrivals() {
    return onLoop([this] {
      std::vector<Utils::TimePoint> out;
      for (const ScriptedEndpoint &it : Endpoints)
        for (size_t i = 0; i < it.Requests.size(); ++i)
          if (it.Requests[i].Target == DeadlyPath)
            out.push_back(it.ArrivalTimes[i]);
      std::sort(out.begin(), out.end());
      return out;
    });
  }

private:
  asio::io_context Loop{1};
  asio::executor_work_guard<asio::io_context::executor_type> Work{
      Loop.get_executor()};
  std::deque<Script> Scripts;
  std::list<ScriptedEndpoint> Endpoints;
  std::thread Running;
};

nlohmann::json viewDesk() {
  nlohmann::json out = GatewayFleet::desk(1);
  nlohmann::json route = GatewayFleet::route("view");
  route["service"] = "view";
  out["routes"].push_back(route);
  nlohmann::json service = out["services"][0];
  service["name"] = "view";
  out["services"].push_back(service);
  return out;
}

/// Index of the gateway that holds the duty; none if there is not one.
std::optional<int> holderOf(const GatewayFleet &fleet) {
  for (int i = 0; i < fleet.size(); ++i)
    if (fleet.metricsOf(i).find("\nhickory_gateway_holds_duty 1\n") !=
        std::string::npos)
      return i;
  return std::nullopt;
}

struct Outcome {
  int Ended = 0;
  long ArrivalsAfterBound = 0;
  int Sound = 0;
  int Served = 0;
};

/// Repeats the deadly request at any gateway, with sound requests beside it,
/// until 7 s after the third crash. `killHolderAfter`: crashes after which the
/// holder of the duty is killed.
Outcome playScene(std::optional<int> killHolderAfter) {
  GatewayFleet fleet(5, viewDesk().dump());
  CrashingEndpoints endpoints(fleet.store());
  REQUIRE(fleet.awaitReady());
  REQUIRE(fleet.awaitStatus(200, {"/view/first"}));
  std::optional<int> holder;
  REQUIRE(eventually([&] { return (holder = holderOf(fleet)).has_value(); }));

  std::vector<int> gateways(size_t(fleet.size()));
  std::iota(gateways.begin(), gateways.end(), 0);
  std::mt19937 random(1);
  auto drawGateway = [&] { return gateways[random() % gateways.size()]; };
  std::atomic<int> sound = 0;
  std::atomic<int> served = 0;
  std::list<std::future<void>> calls;
  std::optional<Utils::TimePoint> third;
  while (!third || Utils::BootClock::now() < *third + ContactTime + 4s) {
    auto next = std::chrono::steady_clock::now();
    calls.push_back(
        std::async(std::launch::async, [&fleet, gateway = drawGateway()] {
          fleet.call(gateway, {DeadlyPath});
        }));
    for (int i = 0; i < SoundPerDeadly; ++i) {
      calls.push_back(
          std::async(std::launch::async, [&, gateway = drawGateway()] {
            std::string path = "/view/" + std::to_string(++sound);
            served += fleet.call(gateway, {path}).Status == 200;
          }));
      // Paces the calls.
      next += DeadlyInterval / SoundPerDeadly;
      std::this_thread::sleep_until(next);
    }
    int crashes = endpoints.crashes();
    if (!third && crashes >= int(CrashesBeforeBound))
      third = Utils::BootClock::now();
    if (killHolderAfter && crashes >= *killHolderAfter) {
      killHolderAfter.reset();
      fleet.kill(*holder);
      std::erase(gateways, *holder);
    }
    std::erase_if(calls, [](auto &it) {
      return it.wait_for(0s) == std::future_status::ready;
    });
  }
  calls.clear(); // Waits for them.

  auto arrivals = endpoints.arrivals();
  REQUIRE(arrivals.size() >= CrashesBeforeBound);
  auto bound = arrivals[CrashesBeforeBound - 1] + ContactTime;
  Outcome out;
  out.ArrivalsAfterBound = std::count_if(arrivals.begin(), arrivals.end(),
                                         [&](auto it) { return it > bound; });
  out.Ended = endpoints.crashes();
  out.Sound = sound;
  out.Served = served;
  MESSAGE("endpoints ended: " << out.Ended << ", arrivals after the bound: "
                              << out.ArrivalsAfterBound
                              << ", sound requests served: " << out.Served
                              << " of " << out.Sound);
  return out;
}

} // namespace

// Issue 50, BUDGET, as the users saw it: the same request each 0.4 s at any of
// five gateways ended one of twelve endpoints after the other.
TEST_CASE("gateways, a repeated request ends three endpoints, it reaches at "
          "most three more after the bound and sound ones are served") {
  Outcome it = playScene(std::nullopt);
  CHECK(it.ArrivalsAfterBound <= MaxArrivalsAfterBound);
  CHECK(it.Served * 100 >= it.Sound * 95);
}

// Guards against crashes that are forgotten with the gateway that counted them.
TEST_CASE("gateways, the holder is killed while a repeated request ends "
          "endpoints, it reaches at most three more after the bound") {
  constexpr int killAfter = 2;
  Outcome it = playScene(killAfter);
  CHECK(it.ArrivalsAfterBound <= MaxArrivalsAfterBound);
}
