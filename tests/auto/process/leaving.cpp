#include "support/leavingendpointcallers.h"

#include <doctest/doctest.h>

using namespace Support;

namespace {

constexpr size_t CallsOfEach = 20;
constexpr int DaemonCount = 3;
constexpr char Leaving[] = "engine-0";

/// Three daemons, two engines that both hold menu-small; menu-large on none.
struct LeavingEngine {
  LeavingEngine() {
    Key = All.newKey();
    All.importTable(sharedModelTable(Cluster::hashOf(Key)));
    All.startAll();
    REQUIRE(eventually(
        [this] { return heldAt("engine-0") == 1 && heldAt("engine-1") == 1; }));
  }
  size_t heldAt(const std::string &engine) const {
    Json models = All.get(engine, "/admin/state")["models"];
    return models.size();
  }
  size_t loadOrders() const {
    size_t n = 0;
    Json journal = All.get(Leaving, "/admin/journal");
    for (const Json &it : journal)
      n += it.value("order", "") == "load" ? 1 : 0;
    return n;
  }
  /// Calls of each daemon that the leaving engine has seen.
  size_t seenFrom(int daemon) const {
    size_t n = 0;
    for (const std::string &it : promptsAt(All, Leaving))
      n += it.rfind(std::to_string(daemon) + "-", 0) == 0 ? 1 : 0;
    return n;
  }
  Cluster All;
  std::string Key;
};

} // namespace

TEST_CASE_FIXTURE(LeavingEngine,
                  "leaving engine gets no call and no load from a daemon that "
                  "knows of it, while the others still send") {
  LeavingEndpointCallers callers(All, {0, 1, 2}, Key, "menu-small", Leaving);
  for (int i = 0; i < DaemonCount; ++i)
    REQUIRE(eventually([&] { return seenFrom(i) > 0; }));
  listLeaving(All, Leaving);
  for (int i = 0; i < DaemonCount; ++i)
    REQUIRE(
        eventually([&] { return callers.callsAfterNotice(i) >= CallsOfEach; }));
  size_t loads = loadOrders();
  CHECK(All.post(0, "/v1/completions", completionBody("menu-large", "x"), Key)
            .Status == 200);
  callers.end();
  std::set<std::string> seen = promptsAt(All, Leaving);
  for (const NotedCall &it : callers.calls()) {
    CHECK_MESSAGE(it.Status == 200, "call " << it.Prompt);
    if (it.AfterNotice)
      CHECK_MESSAGE(seen.count(it.Prompt) == 0, "call " << it.Prompt);
  }
  CHECK(loadOrders() == loads);
}
