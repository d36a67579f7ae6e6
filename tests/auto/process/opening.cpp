#include "support/cluster.h"

#include <doctest/doctest.h>

using namespace Support;

namespace {

constexpr std::chrono::seconds MembershipTimeout(90);

/// Three daemons with rate-limit grants from the same holder. Each has tracked
/// membership long enough to know, as a successor, every daemon that may still
/// have unexpired grants.
struct SettledFleet {
  SettledFleet() {
    Key = TestCluster.newKey();
    TestCluster.importTable(basicTable(Cluster::hashOf(Key)));
    TestCluster.startAll();
    for (int i = 0; i < 3; ++i)
      REQUIRE(complete(i) == 200);
    for (int i = 0; i < 3; ++i)
      REQUIRE(eventually([&] { return hasLogged(i, "former_members_known"); },
                         MembershipTimeout));
  }
  int complete(int daemon) const {
    return TestCluster
        .post(daemon, "/v1/completions", completionBody("menu-small", "x"), Key)
        .Status;
  }
  bool hasLogged(int daemon, const std::string &text) const {
    return TestCluster.daemonLog(daemon).find(text) != std::string::npos;
  }
  int limitsHolder(int daemon) const {
    Json status = TestCluster.status(daemon);
    for (const Json &it : status["leases"])
      if (it["duty"] == "limits")
        return std::stoi(it["holder"].get<std::string>().substr(1));
    return -1;
  }
  Cluster TestCluster;
  std::string Key;
};

} // namespace

TEST_CASE_FIXTURE(SettledFleet, "successor of a killed limits holder resumes "
                                "granting once every daemon has reported, "
                                "without waiting for old grants to expire") {
  int victim = limitsHolder(0);
  REQUIRE(victim >= 0);
  TestCluster.daemon(victim).kill();
  int other = (victim + 1) % 3;
  REQUIRE(eventually([&] { return limitsHolder(other) != victim; }));
  int successor = limitsHolder(other);
  REQUIRE(eventually([&] { return hasLogged(successor, "limits_opened"); }));
  CHECK(hasLogged(successor, "why=all_reported"));
  CHECK(eventually([&] { return complete(other) == 200; }));
}
