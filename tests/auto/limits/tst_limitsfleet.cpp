#include "support/cluster.h"

#include <doctest/doctest.h>
#include <future>
#include <mutex>

using namespace Support;

namespace {

constexpr double Rate = 40;
constexpr double Burst = 400;

using Time = std::chrono::steady_clock::time_point;

/// An answer that brought tokens, between two points in time.
struct Delivery {
  Time From;
  Time To;
  double Tokens = 0;
};

/// Three daemons and one team with a small rate and burst.
struct LimitedCluster {
  explicit LimitedCluster(const Json &settings = Json::object(),
                          int tokenMs = 5)
      : All(optionsWith(settings, tokenMs)) {
    Key = All.newKey();
    std::string table = basicTable(Cluster::hashOf(Key));
    const std::string usual = ",100000,1000000,";
    table.replace(table.find(usual), usual.size(), ",40,400,");
    All.importTable(table);
    All.startAll();
    REQUIRE(call(0).Status == 200);
  }

  static ClusterOptions optionsWith(const Json &settings, int tokenMs) {
    ClusterOptions options;
    options.StandinFlags = {"--token_ms=" + std::to_string(tokenMs)};
    options.Settings = settings;
    return options;
  }

  Reply call(int daemon, const std::string &deadlineMs = "20000") {
    Time from = std::chrono::steady_clock::now();
    Reply reply = All.post(daemon, "/v1/completions",
                           completionBody("menu-small", "soup for tuesday", 16),
                           Key, {{"X-Deadline-Ms", deadlineMs}});
    std::lock_guard lock(Mutex);
    ++Statuses[reply.Status];
    if (reply.Status == 200)
      Deliveries.push_back(
          {from, std::chrono::steady_clock::now(),
           reply.json()["usage"]["total_tokens"].get<double>()});
    return reply;
  }
  void callFrom(const std::vector<int> &daemons, int calls,
                const std::string &deadlineMs) {
    std::vector<std::future<void>> callers;
    callers.reserve(daemons.size());
    for (int daemon : daemons)
      callers.push_back(std::async(std::launch::async, [=, this] {
        for (int i = 0; i < calls; ++i)
          call(daemon, deadlineMs);
      }));
    for (auto &it : callers)
      it.get();
  }
  /// Largest excess of a window between two calls over rate and burst.
  double excess() const {
    double worst = -Burst;
    for (const Delivery &first : Deliveries)
      for (const Delivery &last : Deliveries) {
        if (last.To < first.To)
          continue;
        std::chrono::duration<double> window = last.To - first.From;
        double tokens = 0;
        for (const Delivery &it : Deliveries)
          if (it.From >= first.From && it.To <= last.To)
            tokens += it.Tokens;
        worst = std::max(worst, tokens - Rate * window.count() - Burst);
      }
    return worst;
  }
  int holder(int asked = 0) const {
    Json status = All.status(asked);
    for (const Json &it : status["leases"])
      if (it["duty"] == "limits")
        return it["holder"].get<std::string>()[1] - '0';
    return -1;
  }

  Cluster All;
  std::string Key;
  std::mutex Mutex;
  std::map<int, int> Statuses;
  std::vector<Delivery> Deliveries;
};

constexpr std::chrono::milliseconds Lease(1000);
constexpr std::chrono::milliseconds Grants = Lease * 3 / 2;

/// The same with leases so short that an outage soon outlasts them, and with
/// engines so slow that calls one after the other stay within the rate.
struct ShortLeaseCluster : LimitedCluster {
  static constexpr int TokenMs = 45;

  ShortLeaseCluster()
      : LimitedCluster(Json{{"lease", {{"duration_ms", Lease.count()}}}},
                       TokenMs) {}

  void awaitCurrency(const std::string &name) {
    for (int i = 0; i < 3; ++i)
      REQUIRE(eventually([&] {
        Json history = All.status(i)["history"];
        return history["currency"] == name;
      }));
  }
  /// Calls within the rate, by turns at the daemons, for so long.
  void callWithinRate(std::chrono::milliseconds time) {
    Time end = std::chrono::steady_clock::now() + time;
    for (int i = 0; std::chrono::steady_clock::now() < end; ++i)
      CHECK(call(i % 3).Status == 200);
  }
};

} // namespace

TEST_CASE_FIXTURE(ShortLeaseCluster,
                  "log unavailable to all longer than lease and "
                  "grants, team within its rate is served, "
                  "over it refused, and all goes on") {
  All.control("log", {{"outage", true}});
  awaitCurrency("log_outage");
  callWithinRate(2 * (Lease + Grants));
  CHECK(Statuses[503] == 0);
  callFrom({0, 1, 2}, 30, "20000");
  CHECK(Statuses[429] > 0);
  CHECK(Statuses[503] == 0);
  CHECK(excess() <= 0);
  All.control("log", {{"outage", false}});
  awaitCurrency("own_reading");
  REQUIRE(eventually([&] { return call(0).Status == 200; }));
  callFrom({0, 1, 2}, 30, "20000");
  CHECK(excess() <= 0);
  CHECK(Statuses[503] == 0);
}

TEST_CASE_FIXTURE(LimitedCluster, "team over its rate at three daemons, gets "
                                  "its burst once and is refused not run") {
  callFrom({0, 1, 2}, 40, "20000");
  CHECK(excess() <= 0);
  CHECK(Statuses[200] >= 15);
  CHECK(Statuses[429] > 0);
  CHECK(Statuses[200] + Statuses[429] == 121);
  callFrom({0, 1, 2}, 10, "20000");
  Reply refused;
  REQUIRE(eventually([&] { return (refused = call(1)).Status == 429; }));
  CHECK(refused.error("reason") == "over_rate");
  CHECK(refused.error("run_state") == "not-run");
  CHECK(refused.Headers.count("Retry-After") == 1);
}

TEST_CASE_FIXTURE(LimitedCluster, "holder killed under load, no window holds "
                                  "more than rate and burst") {
  callFrom({0, 1, 2}, 10, "20000");
  int victim = holder();
  REQUIRE(victim >= 0);
  All.daemon(victim).kill();
  std::vector<int> left = {(victim + 1) % 3, (victim + 2) % 3};
  Time killed = std::chrono::steady_clock::now();
  auto sinceKilled = [&] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - killed)
        .count();
  };
  auto load =
      std::async(std::launch::async, [&] { callFrom(left, 60, "500"); });
  REQUIRE(eventually([&] { return holder(left[0]) != victim; }));
  MESSAGE("lease taken over after ms " << sinceKilled());
  REQUIRE(eventually([&] { return call(left[0], "500").Status == 200; },
                     std::chrono::seconds(40)));
  MESSAGE("tokens granted after ms " << sinceKilled());
  load.get();
  callFrom(left, 60, "500");
  CHECK(excess() <= 0);
}

TEST_CASE_FIXTURE(LimitedCluster, "holder stopped as planned, calls go on and "
                                  "no window holds more than rate and burst") {
  int victim = holder();
  REQUIRE(victim >= 0);
  All.daemon(victim).terminate();
  std::vector<int> left = {(victim + 1) % 3, (victim + 2) % 3};
  CHECK(call(left[0]).Status == 200);
  callFrom(left, 40, "1000");
  CHECK(excess() <= 0);
  CHECK(Statuses[200] >= 15);
}
