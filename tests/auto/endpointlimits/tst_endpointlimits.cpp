#include "gatewayfixture.h"

#include <algorithm>
#include <asio/ip/udp.hpp>
#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

/// The operators' bound: from this time after an endpoint first named a limit,
/// it gets no more in any window than a factor of the limit and some calls.
constexpr auto ContactTime = 3000ms;
constexpr auto Window = 4000ms;
constexpr double Factor = 1.5;
constexpr size_t Slack = 5;

constexpr double LimitPerSecond = 4;

/// A gateway before two endpoints, of which the first names a limit.
struct LimitFixture : GatewayFixture {
  LimitFixture() {
    addRoute("/safe/", "s", Fleet::RouteKind::Safe);
    addEndpoint("s").AnswerFields = "Server-Limit: 4.0\r\n";
    addEndpoint("s");
    start();
  }
  ScriptedEndpoint &limited() { return Endpoints.front(); }
  unsigned callOnce() {
    Scripts = {{answer(200, "ok")}};
    return statusOf(call("/safe/"));
  }
  /// Calls one after the other, at most one each 10 ms.
  void callFor(std::chrono::milliseconds time) {
    auto end = Utils::BootClock::now() + time;
    while (Utils::BootClock::now() < end) {
      CHECK(callOnce() == 200);
      wait(10ms);
    }
  }
  void wait(std::chrono::milliseconds time) {
    bool over = false;
    runAfter(time, [&] { over = true; });
    runUntil([&] { return over; });
  }
  /// Most arrivals at the limited endpoint in a window that begins then or
  /// later.
  size_t mostArrivals(Utils::TimePoint from) {
    const auto &times = limited().ArrivalTimes;
    size_t most = 0;
    for (auto it = times.begin(); it != times.end(); ++it)
      if (*it >= from)
        most = std::max(
            most, size_t(std::lower_bound(it, times.end(), *it + Window) - it));
    return most;
  }
};

} // namespace

// The holder of the duty answered its own grant request without end while it
// did not know the limit yet, and the process ended with a stack overflow.
TEST_CASE_FIXTURE(LimitFixture,
                  "call that needs a token right after the endpoint has named "
                  "its limit is served") {
  drainEndpoint("i-2");
  for (int i = 0; i < 3; ++i)
    CHECK(callOnce() == 200);
}

TEST_CASE_FIXTURE(LimitFixture,
                  "call that no endpoint can take within its limit in time is "
                  "refused at once with the time at which one can") {
  limited().AnswerFields = "Server-Limit: 0.1\r\n";
  drainEndpoint("i-2");
  CHECK(callOnce() == 200);
  CHECK(callOnce() == 200);
  RawCaller &caller = call("/safe/", "Deadline-Milliseconds: 5000\r\n");
  CHECK(statusOf(caller) == 503);
  // A call that is held to its deadline is told to retry after 0.5 s.
  const std::string field = "Retry-After: ";
  size_t at = caller.Received.find(field);
  REQUIRE(at != std::string::npos);
  CHECK(std::stod(caller.Received.substr(at + field.size())) > 5);
  CHECK(limited().Requests.size() == 2);
}

// Each change of a limit was broadcast. On the large site 47 endpoints ended
// theirs at once, and the holder answered no gateway in time for nine seconds.
TEST_CASE_FIXTURE(
    LimitFixture,
    "changes of limits are told with the answers to reports only") {
  runUntil([&] { return DutyRecord.has_value(); });
  asio::ip::udp::socket socket(Loop, {asio::ip::address_v4::loopback(), 0});
  FleetLink::Report report;
  report.Member = "other";
  report.Address =
      "127.0.0.1:" + std::to_string(socket.local_endpoint().port());
  report.Incarnation = 1;
  std::string buf(FleetLink::MaxDatagramBytes, ' ');
  size_t answers = 0;
  double rate = 0;
  std::function<void()> receive = [&] {
    socket.async_receive(
        asio::buffer(buf), [&](const std::error_code &ec, size_t n) {
          if (ec)
            return;
          ++answers;
          auto datagram = FleetLink::decode(buf.substr(0, n));
          REQUIRE(datagram);
          auto &limits =
              std::get<FleetLink::Heartbeat>(datagram.value()).EndpointLimits;
          rate = limits.empty() ? 0 : limits[0].Rate;
          receive();
        });
  };
  receive();
  size_t sent = 0;
  for (; sent < 20; ++sent) {
    ++report.Sequence;
    report.EndpointLimits = {{7, double(sent + 1), 0}};
    size_t before = answers;
    socket.send_to(
        asio::buffer(FleetLink::encode(report)),
        {asio::ip::address_v4::loopback(), Settings.FirstInternalPort});
    runUntil([&] { return answers > before; });
    wait(10ms);
  }
  CHECK(rate == 20);
  CHECK(answers == sent);
}

// Issue 31, LIMIT: endpoints got far more calls than the limit that they named.
TEST_CASE_FIXTURE(LimitFixture,
                  "endpoint that names a limit gets no more calls than that, "
                  "and other calls are served elsewhere") {
  runUntil([&] { return callOnce() == 200 && !limited().Requests.empty(); });
  auto named = Utils::BootClock::now();
  callFor(ContactTime + Window + 1000ms);
  CHECK(mostArrivals(named + ContactTime) <=
        size_t(Factor * LimitPerSecond * 4) + Slack);
  CHECK(limited().ArrivalTimes.size() > LimitPerSecond);
}

namespace {

constexpr double ColdPerSecond = 8;

/// A gateway before endpoints of a service that limits the calls to cold ones.
/// The first endpoint is cold.
struct ColdFixture : LimitFixture {
  ColdFixture() {
    limited().AnswerFields = "";
    Config.Services.push_back({});
    Config.Services.back().Name = "s";
    Config.Services.back().ColdPerSecond = ColdPerSecond;
    publish();
    drainEndpoint("i-2");
    becomeCold(2500ms);
  }
  void becomeCold(std::chrono::milliseconds time) {
    Reports[0].ColdRemaining = time;
    ++Reports[0].Sequence;
    runUntil([&] { return coldCount() == 1; });
  }
  double coldCount() {
    const std::string name = "\nhickory_gateway_cold_endpoints ";
    std::string text = metrics();
    size_t at = text.find(name);
    return at == std::string::npos ? 0
                                   : std::stod(text.substr(at + name.size()));
  }
  size_t mostInSecond(Utils::TimePoint from) {
    const auto &times = limited().ArrivalTimes;
    size_t most = 0;
    for (auto it = times.begin(); it != times.end(); ++it)
      if (*it >= from)
        most = std::max(
            most, size_t(std::lower_bound(it, times.end(), *it + 1s) - it));
    return most;
  }
};

} // namespace

// Cold endpoints crashed under the calls that warm ones take.
TEST_CASE_FIXTURE(ColdFixture,
                  "cold endpoint gets no more calls than its limit, again when "
                  "it is cold again, and all calls when it is warm") {
  for (int i = 0; i < 2; ++i) {
    auto cold = Utils::BootClock::now();
    callFor(1800ms);
    CHECK(mostInSecond(cold) <=
          size_t(ColdPerSecond * Settings.ColdOvershoot + Settings.ColdSlack));
    CHECK(mostInSecond(cold) > ColdPerSecond / 2);
    runUntil([&] { return coldCount() == 0; });
    auto warm = Utils::BootClock::now();
    callFor(1000ms);
    CHECK(mostInSecond(warm) > 17);
    if (i == 0)
      becomeCold(2500ms);
  }
}

TEST_CASE_FIXTURE(ColdFixture,
                  "holder relays the cold time that is left at that moment") {
  auto relayedMs = [&] {
    FleetLink::Report report;
    for (const FleetLink::EndpointEntry &it : exchangeReport(report).Entries)
      if (it.Endpoint == "i-1")
        return it.ColdInMs;
    return 0U;
  };
  uint32_t first = relayedMs();
  wait(300ms);
  uint32_t second = relayedMs();
  CHECK(first <= 2500);
  CHECK(second > 0);
  CHECK(second + 300 <= first + 1);
}
