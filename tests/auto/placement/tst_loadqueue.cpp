#include "daemon/endpointworkers.h"
#include "daemon/waitingboard.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using Daemon::Internal::WaitingBoard;

namespace {

/// The holder of the placement duty and another daemon, whose clock differs.
struct TwoDaemons {
  Utils::TimePoint Now = Utils::TimePoint(1h);
  WaitingBoard Holder{Utils::Clock{[this] { return Now; }, {}}};
  WaitingBoard Other{Utils::Clock{[this] { return Now + 40min; }, {}}};

  History::State State;
  Placement::Knowledge Known;

  TwoDaemons() {
    for (const char *name : {"m0", "m1", "m2"}) {
      Table::ModelSpec spec;
      spec.Weights = name;
      spec.MemoryMb = 1000;
      spec.MaxReplicas = 1;
      State.Table.Models[name] = spec;
      State.Demands[name] = State.Demands.size() + 1;
    }
    State.Endpoints["e0"].MemoryMb = 24000;
  }
  /// The model whose load is started next; one starts at a time.
  std::string nextLoad() {
    Known.WaitingFor = Holder.all();
    return Placement::planRound(State, Known, {}, Now).at(0).Model;
  }
};

} // namespace

TEST_CASE_FIXTURE(TwoDaemons,
                  "load queue, first requests wait at two daemons, goes by the "
                  "earliest deadline in the fleet") {
  auto here = Holder.add("m1", "kitchen", Now + 5s);
  CHECK(nextLoad() == "m1");
  auto there = Other.add("m2", "kitchen", Now + 40min + 2s);
  REQUIRE(Holder.take("d1", Other.message()).ok());
  CHECK(nextLoad() == "m2");
  there.reset();
  CHECK(Other.empty());
  REQUIRE(Holder.take("d1", Other.message()).ok());
  CHECK(nextLoad() == "m1");
}

TEST_CASE_FIXTURE(TwoDaemons,
                  "load queue, equal deadlines, goes to the team with fewest "
                  "loads, then where most wait") {
  auto busy = Holder.add("m0", "greedy", Now + 5s);
  auto modest = Holder.add("m1", "kitchen", Now + 5s);
  Known.Teams["greedy"] = {3, Now};
  CHECK(nextLoad() == "m1");
  auto first = Holder.add("m2", "kitchen", Now + 5s);
  auto second = Holder.add("m2", "kitchen", Now + 5s);
  CHECK(nextLoad() == "m2");
}

TEST_CASE_FIXTURE(
    TwoDaemons, "load queue, daemon has fallen silent, forgets what it told") {
  auto there = Other.add("m2", "kitchen", Now + 40min + 2s);
  REQUIRE(Holder.take("d1", Other.message()).ok());
  CHECK(Holder.all().count("m2") == 1);
  Now += 2s;
  CHECK(Holder.all().empty());
}

TEST_CASE_FIXTURE(TwoDaemons, "load queue, malformed message, is refused") {
  CHECK_FALSE(Holder.take("d1", "\x07garbage").ok());
  CHECK(Holder.all().empty());
}

TEST_CASE("engine's reports, orders under way or load, come sooner") {
  using Daemon::Internal::reportPeriod;
  constexpr uint32_t busy = 8;
  auto idle = reportPeriod({false, false, 0}, busy);
  auto used = reportPeriod({false, false, 1}, busy);
  auto full = reportPeriod({false, false, busy}, busy);
  CHECK(reportPeriod({true, false, 0}, busy) < full);
  CHECK(full < used);
  CHECK(used < idle);
  CHECK(reportPeriod({false, true, 0}, busy) == full);
  CHECK(reportPeriod({false, false, {}}, busy) == used);
  CHECK(1.25 * idle < Placement::Policy().ReportLifetime);
}
