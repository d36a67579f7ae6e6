#include "support/leavingendpointcallers.h"

#include <doctest/doctest.h>

using namespace Support;

namespace {

constexpr size_t CallsPerDaemon = 20;
constexpr int DaemonCount = 3;
constexpr char Leaving[] = "engine-0";

/// Three daemons and two engines that both have menu-small loaded; menu-large
/// is loaded nowhere.
struct LeavingEngine {
  LeavingEngine() {
    Key = TestCluster.newKey();
    TestCluster.importTable(sharedModelTable(Cluster::hashOf(Key)));
    TestCluster.startAll();
    REQUIRE(eventually([this] {
      return loadedModels("engine-0") == 1 && loadedModels("engine-1") == 1;
    }));
  }
  size_t loadedModels(const std::string &engine) const {
    Json models = TestCluster.get(engine, "/admin/state")["models"];
    return models.size();
  }
  size_t loadOrders() const {
    size_t n = 0;
    Json journal = TestCluster.get(Leaving, "/admin/journal");
    for (const Json &it : journal)
      n += it.value("order", "") == "load" ? 1 : 0;
    return n;
  }
  /// Calls from the daemon that the leaving engine has received.
  size_t callsFrom(int daemon) const {
    size_t n = 0;
    for (const std::string &it : receivedPrompts(TestCluster, Leaving))
      n += it.rfind(std::to_string(daemon) + "-", 0) == 0 ? 1 : 0;
    return n;
  }
  Cluster TestCluster;
  std::string Key;
};

} // namespace

TEST_CASE_FIXTURE(LeavingEngine,
                  "leaving engine gets no call and no load order from a daemon "
                  "that has seen it leave, while other daemons still send") {
  LeavingEndpointCallers callers(TestCluster, {0, 1, 2}, Key, "menu-small",
                                 Leaving);
  for (int i = 0; i < DaemonCount; ++i)
    REQUIRE(eventually([&] { return callsFrom(i) > 0; }));
  markLeaving(TestCluster, Leaving);
  for (int i = 0; i < DaemonCount; ++i)
    REQUIRE(eventually(
        [&] { return callers.callsAfterNotice(i) >= CallsPerDaemon; }));
  size_t loads = loadOrders();
  CHECK(TestCluster
            .post(0, "/v1/completions", completionBody("menu-large", "x"), Key)
            .Status == 200);
  callers.stop();
  std::set<std::string> received = receivedPrompts(TestCluster, Leaving);
  for (const RecordedCall &it : callers.calls()) {
    CHECK_MESSAGE(it.Status == 200, "call " << it.Prompt);
    if (it.AfterNotice)
      CHECK_MESSAGE(received.count(it.Prompt) == 0, "call " << it.Prompt);
  }
  CHECK(loadOrders() == loads);
}
