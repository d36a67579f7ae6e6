#include "gateway/fleetholder.h"
#include "httpio/httpio.h"

#include <asio/io_context.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <optional>

using namespace std::chrono_literals;

namespace {

/// Lets timers of one loop expire in the same turn: the loop takes all expired
/// ones from its queue before it runs the first handler.
class SameTurn {
public:
  explicit SameTurn(asio::io_context &loop) : Loop(loop), First(loop) {}

  /// Runs `event` and then the handlers of all timers that expire up to then.
  void runBefore(Utils::TimePoint then, const std::function<void()> &event) {
    First.expires_at(Utils::BootClock::now());
    First.async_wait([event](const std::error_code &) { event(); });
    while (Utils::BootClock::now() <= then)
      continue;
    Loop.restart();
    Loop.poll();
  }

private:
  asio::io_context &Loop;
  HttpIo::Timer First;
};

struct TimerFixture {
  asio::io_context Loop{1};
  SameTurn Turn{Loop};
  std::optional<HttpIo::OneShotTimer> Timer{Loop};
  int Runs = 0;

  void expireAfter(const std::function<void()> &event) {
    Turn.runBefore(Timer->expiry() + 1ms, event);
  }
};

} // namespace

// Guards against a handler that runs on the freed memory of its owner.
TEST_CASE_FIXTURE(TimerFixture,
                  "timer that has expired, its owner ends before the loop gets "
                  "there, the handler does not run") {
  Timer->callAfter(1ms, [this] { ++Runs; });
  expireAfter([this] { Timer.reset(); });
  CHECK(Runs == 0);
}

// Guards against a stopped duty that acts once more.
TEST_CASE_FIXTURE(TimerFixture,
                  "timer that has expired, cancelled before the loop gets "
                  "there, the handler does not run") {
  Timer->callAfter(1ms, [this] { ++Runs; });
  expireAfter([this] { Timer->cancel(); });
  CHECK(Runs == 0);
}

// Guards against a read or report that was put off and is sent at once.
TEST_CASE_FIXTURE(TimerFixture,
                  "timer that has expired, set again before the loop gets "
                  "there, only the new handler runs, at its time") {
  Timer->callAfter(1ms, [this] { Runs += 100; });
  expireAfter([this] { Timer->callAfter(5ms, [this] { ++Runs; }); });
  CHECK(Runs == 0);
  Loop.restart();
  Loop.run();
  CHECK(Runs == 1);
}

// Guards against a handler that ends its own owner and goes on in freed memory.
TEST_CASE_FIXTURE(TimerFixture,
                  "handler destroys its timer, it runs to its end") {
  std::string text(100, 'x');
  size_t length = 0;
  Timer->callAfter(1ms, [this, text, &length] {
    Timer.reset();
    length = text.size();
  });
  Loop.run();
  CHECK(length == text.size());
}

namespace {

/// The holder of the fleet's duty, without the gateway around it.
struct HolderFixture {
  asio::io_context Loop{1};
  SameTurn Turn{Loop};
  Gateway::GatewaySettings Settings;
  Gateway::Store Store;
  Gateway::View View{Store};
  Gateway::EngineClient Engines;
  Balance::HealthTracker Health;
  std::unique_ptr<Gateway::FleetHolder> Holder;
  uint64_t Sequence = 0;
  int Plans = 0;
  int Heartbeats = 0;
  /// The newest heartbeat lists a quarantine.
  bool Quarantined = false;
  /// Beyond the delays of an urgent plan and of a broadcast.
  static constexpr auto BeyondDelays = 20ms;

  HolderFixture() {
    Settings.FirstStart = true;
    Gateway::FleetHolder::Context context{
        Loop,
        Settings,
        View,
        Engines,
        Health,
        [] { return true; },
        [this](bool) { return ++Plans < 0; },
        [] {},
        [] { return Gateway::StoreReadProgress{}; },
        [](const auto &, int64_t) {},
        0,
        "",
        [this](const auto &, const FleetLink::Heartbeat &heartbeat) {
          ++Heartbeats;
          Quarantined = !heartbeat.Quarantined.empty();
        }};
    constexpr int64_t firstToken = 1;
    Holder = std::make_unique<Gateway::FleetHolder>(
        std::move(context), firstToken, Gateway::TakeoverState{});
  }

  FleetLink::Report report() {
    FleetLink::Report out;
    out.Member = "a";
    out.Incarnation = 1;
    out.Sequence = ++Sequence;
    return out;
  }
  /// Reports crashes until the holder decides on a quarantine, which it then
  /// sends to all gateways.
  void crashUntilQuarantined() {
    for (uint32_t endpoint = 0; !Quarantined; ++endpoint) {
      FleetLink::Report crashed = report();
      constexpr uint64_t part = 77;
      crashed.Crashes.push_back({endpoint, 0, {{0, {part}}}});
      Holder->handleReport(crashed);
    }
  }
};

} // namespace

// Guards against a planned stop of the holder that ends by a signal: the answer
// of the store to the release came in the turn in which a plan was due.
TEST_CASE_FIXTURE(HolderFixture, "holder with a plan that is due ends in the "
                                 "same turn, it makes no plan") {
  FleetLink::Report waiting = report();
  waiting.Waiting.push_back({"s", "m", "", 1, 1000});
  Holder->handleReport(waiting);
  int plans = Plans;
  Turn.runBefore(Utils::BootClock::now() + BeyondDelays,
                 [this] { Holder.reset(); });
  CHECK(Plans == plans);
}

// Guards against a broadcast of a holder that has ended.
TEST_CASE_FIXTURE(HolderFixture, "holder with a broadcast that is due ends in "
                                 "the same turn, it sends no heartbeat") {
  crashUntilQuarantined();
  int heartbeats = Heartbeats;
  Turn.runBefore(Utils::BootClock::now() + BeyondDelays,
                 [this] { Holder.reset(); });
  CHECK(Heartbeats == heartbeats);
}

// Guards against tests above that pass as nothing was due.
TEST_CASE_FIXTURE(HolderFixture, "holder with a plan and a broadcast that are "
                                 "due goes on, it makes both") {
  crashUntilQuarantined();
  FleetLink::Report waiting = report();
  waiting.Waiting.push_back({"s", "m", "", 1, 1000});
  Holder->handleReport(waiting);
  int plans = Plans;
  int heartbeats = Heartbeats;
  Turn.runBefore(Utils::BootClock::now() + BeyondDelays, [] {});
  CHECK(Plans > plans);
  CHECK(Heartbeats > heartbeats);
}
