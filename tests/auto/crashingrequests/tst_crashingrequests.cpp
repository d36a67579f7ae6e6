#include "gatewayfixture.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace std::chrono_literals;

namespace {

/// The operators' bound on the time in which all gateways act on what one of
/// them has learned, the crashes before it begins, and the calls that may reach
/// endpoints after it.
constexpr auto ContactTime = 3000ms;
constexpr int CrashesBeforeBound = 3;
constexpr long MaxArrivalsAfterBound = 3;

/// Five gateways of one fleet and a plain service whose endpoints crash when
/// they run a request for a path with "deadly".
struct CrashingRequestsFixture : GatewayFixture {
  CrashingRequestsFixture() {
    for (int i = 1; i < Gateways; ++i) {
      std::string name = "vm" + std::to_string(i);
      auto settings = makeSettings(name);
      CallerAddresses.push_back(settings.CallerAddress);
      OtherSettings.emplace_back(name, settings);
    }
    CallerAddresses.push_back(Settings.CallerAddress);
  }

  void startFleet(int endpoints, uint32_t attempts) {
    addRoute("/safe/", "s", Fleet::RouteKind::Safe).Attempts = attempts;
    for (int i = 0; i < endpoints; ++i) {
      ScriptedEndpoint &it = addEndpoint("s");
      it.CrashingText = "deadly";
      it.RestartTime = 1000ms;
      it.Respond = [](const Http::Request &) {
        return Script{
            "", Script::Action::Repeat, "", 20ms, {answer(200, "ok")}};
      };
    }
    start();
    for (const auto &[name, settings] : OtherSettings)
      startOther(name, settings);
    runUntil([&] { return DutyRecord.has_value(); });
    wait(1000ms);
  }
  void wait(std::chrono::milliseconds time) {
    runUntil([until = Utils::BootClock::now() + time] {
      return Utils::BootClock::now() >= until;
    });
  }
  /// Sends a request for the path to one gateway of the fleet.
  RawCaller &callAt(size_t gateway, const std::string &path,
                    const std::string &headers = "") {
    std::error_code ec;
    Callers.emplace_back(
        Loop, HttpIo::parseEndpoint(CallerAddresses.at(gateway), ec));
    Callers.back().send("GET /safe/" + path +
                        " HTTP/1.1\r\nHost: h\r\nRequest-Id: c" +
                        std::to_string(++Calls) + "\r\n" + headers + "\r\n");
    return Callers.back();
  }
  RawCaller &callDeadly(size_t gateway) {
    return callAt(gateway, "deadly", "Note: deadly\r\n");
  }
  /// Arrivals of the deadly request at endpoints, in order.
  std::vector<Utils::TimePoint> arrivals() const {
    std::vector<Utils::TimePoint> out;
    for (const ScriptedEndpoint &it : Endpoints)
      for (size_t i = 0; i < it.Requests.size(); ++i)
        if (it.Requests[i].Target == "/safe/deadly")
          out.push_back(it.ArrivalTimes[i]);
    std::sort(out.begin(), out.end());
    return out;
  }
  int crashes() const {
    int n = 0;
    for (const ScriptedEndpoint &it : Endpoints)
      n += it.Crashes;
    return n;
  }
  /// Repeats the deadly request at gateways of the fleet, with sound requests
  /// beside it, until so long after the third crash.
  void play(std::chrono::milliseconds interval,
            std::chrono::milliseconds timeAfterThird) {
    std::mt19937 random(Seed);
    std::optional<Utils::TimePoint> third;
    while (!third || Utils::BootClock::now() < *third + timeAfterThird) {
      callDeadly(random() % Gateways);
      for (int i = 0; i < SoundPerDeadly; ++i) {
        wait(interval / SoundPerDeadly);
        Sound.push_back(&callAt(random() % Gateways,
                                "sound" + std::to_string(Sound.size())));
      }
      if (!third && crashes() >= CrashesBeforeBound)
        third = Utils::BootClock::now();
    }
  }
  long arrivalsAfterBound() const {
    auto all = arrivals();
    if (all.size() <= CrashesBeforeBound)
      return 0;
    auto bound = all[CrashesBeforeBound - 1] + ContactTime;
    return std::count_if(all.begin(), all.end(),
                         [&](auto it) { return it > bound; });
  }
  /// Number of the sound requests that were served.
  size_t served() {
    return size_t(std::count_if(Sound.begin(), Sound.end(), [&](auto *it) {
      return statusOf(*it) == 200;
    }));
  }

  static constexpr int Gateways = 5;
  static constexpr int SoundPerDeadly = 4;
  static constexpr unsigned Seed = 1;
  std::vector<std::string> CallerAddresses;
  std::vector<std::pair<std::string, Gateway::GatewaySettings>> OtherSettings;
  std::vector<RawCaller *> Sound;
  int Calls = 0;
};

} // namespace

// Issue 50, BUDGET: a repeated request without prompt parts crashed endpoint
// after endpoint.
TEST_CASE_FIXTURE(CrashingRequestsFixture,
                  "repeated request that has crashed three of twelve endpoints "
                  "reaches at most three more after the bound") {
  startFleet(12, 2);
  play(200ms, ContactTime + 2000ms);
  size_t sound = served();
  MESSAGE("endpoints ended: "
          << crashes() << ", after the bound: " << arrivalsAfterBound()
          << ", sound requests served: " << sound << " of " << Sound.size());
  CHECK(arrivalsAfterBound() <= MaxArrivalsAfterBound);
  CHECK(crashes() >= CrashesBeforeBound);
}

// Issue 50, BUDGET: one attempt of a caller ended all endpoints of the service,
// and the next one ended them again when they were back.
TEST_CASE_FIXTURE(
    CrashingRequestsFixture,
    "repeated request that has crashed all three endpoints of a "
    "service at once reaches at most three more after the bound") {
  startFleet(3, 3);
  play(200ms, ContactTime + 2000ms);
  size_t sound = served();
  MESSAGE("endpoints ended: "
          << crashes() << ", after the bound: " << arrivalsAfterBound()
          << ", sound requests served: " << sound << " of " << Sound.size());
  CHECK(arrivalsAfterBound() <= MaxArrivalsAfterBound);
  CHECK(crashes() >= CrashesBeforeBound);
}
