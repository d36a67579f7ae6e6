#include "support/cluster.h"

#include <doctest/doctest.h>

using namespace Support;

namespace {

constexpr std::chrono::seconds WatchLimit(90);

/// Three daemons that hold tokens of one holder and have watched the members
/// for so long that a successor knows who may hold old tokens.
struct KnownFleet {
  KnownFleet() {
    Key = All.newKey();
    All.importTable(basicTable(Cluster::hashOf(Key)));
    All.startAll();
    for (int i = 0; i < 3; ++i)
      REQUIRE(complete(i) == 200);
    for (int i = 0; i < 3; ++i)
      REQUIRE(eventually([&] { return logged(i, "former_members_known"); },
                         WatchLimit));
  }
  int complete(int daemon) const {
    return All
        .post(daemon, "/v1/completions", completionBody("menu-small", "x"), Key)
        .Status;
  }
  bool logged(int daemon, const std::string &text) const {
    return All.daemonLog(daemon).find(text) != std::string::npos;
  }
  int limitsHolder(int asked) const {
    Json status = All.status(asked);
    for (const Json &it : status["leases"])
      if (it["duty"] == "limits")
        return std::stoi(it["holder"].get<std::string>().substr(1));
    return -1;
  }
  Cluster All;
  std::string Key;
};

} // namespace

TEST_CASE_FIXTURE(KnownFleet, "limits holder killed, its successor opens once "
                              "all have reported, not when old grants end") {
  int victim = limitsHolder(0);
  REQUIRE(victim >= 0);
  All.daemon(victim).kill();
  int other = (victim + 1) % 3;
  REQUIRE(eventually([&] { return limitsHolder(other) != victim; }));
  int successor = limitsHolder(other);
  REQUIRE(eventually([&] { return logged(successor, "limits_opened"); }));
  CHECK(logged(successor, "why=all_reported"));
  CHECK(eventually([&] { return complete(other) == 200; }));
}
