#include "endlessanswer.h"

#include "platform/engineclient.h"
#include "platform/storeclient.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using Action = Script::Action;

namespace {

constexpr std::chrono::seconds Generous{60};

/// Clients of the store and of an engine before one server.
struct FetchFixture {
  FetchFixture() {
    Entry.Id = "i-1";
    Entry.Address = Server.address();
  }
  /// Runs a call until it ends and returns whether it succeeded; if the server
  /// sends more than `maxBytes` first, resets its connections.
  bool run(const std::function<void(std::function<void(bool)>)> &call,
           size_t maxBytes) {
    Server.RepeatedBytes = 0;
    std::optional<bool> succeeded;
    call([&](bool it) { succeeded = it; });
    auto limit = Utils::BootClock::now() + Generous;
    while (!succeeded) {
      REQUIRE(Utils::BootClock::now() < limit);
      if (Server.RepeatedBytes > maxBytes)
        Server.resetAll();
      Loop.run_one_for(100ms);
    }
    return *succeeded;
  }
  using Done = std::function<void(bool)>;
  using Call = std::function<void(Utils::TimePoint deadline, const Done &)>;
  /// Each call of the clients, by name.
  std::vector<std::pair<std::string, Call>> calls() {
    auto passOn = [](const Done &done) {
      return [done](const auto &it) { done(bool(it)); };
    };
    return {
        {"page",
         [=, this](auto deadline, const Done &done) {
           Store.ReadPage(Gateway::Topic::Operators, "", deadline,
                          passOn(done));
         }},
        {"records",
         [=, this](auto deadline, const Done &done) {
           Store.ReadFrom(Gateway::Topic::Endpoints, 1, 1000ms, deadline,
                          passOn(done));
         }},
        {"duty",
         [=, this](auto deadline, const Done &done) {
           Store.ReadDuty(deadline, passOn(done));
         }},
        {"append",
         [=, this](auto deadline, const Done &done) {
           Store.AppendDuty(1, "v", deadline, passOn(done));
         }},
        {"report",
         [=, this](auto deadline, const Done &done) {
           Engines.ReadReport(Entry, deadline, passOn(done));
         }},
        {"order",
         [=, this](auto deadline, const Done &done) {
           Engines.SendOrder(Entry, {}, {}, deadline, [done](auto it) {
             done(it == Gateway::OrderReply::Accepted);
           });
         }},
    };
  }
  void awaitClosed() {
    auto limit = Utils::BootClock::now() + Generous;
    while (Server.Ended < Server.Accepted && Utils::BootClock::now() < limit)
      Loop.run_one_for(100ms);
    REQUIRE(Server.Ended == Server.Accepted);
  }

  asio::io_context Loop{1};
  std::deque<Script> Scripts;
  ScriptedEndpoint Server{Loop, Scripts};
  HttpIo::ClientPool Pool{Loop};
  Gateway::Store Store =
      Platform::makeStoreClient(Pool, Loop, Server.address(), false);
  Gateway::EngineClient Engines = Platform::makeEngineClient(Pool, Loop);
  Fleet::EndpointReport Entry;
};

} // namespace

// Issue 50, other operators: a health answer without end filled the memory of
// the machine that had asked for it.
TEST_CASE_FIXTURE(
    FetchFixture,
    "response of the store or an engine without end, at any place "
    "of it, ends within the bytes of that place, as a failure") {
  for (const EndlessAnswer &it : endlessAnswers()) {
    // Names of calls mean nothing to these clients.
    if (it.Place.find("other call") != std::string::npos)
      continue;
    Server.Respond = [&](const Http::Request &) { return it.script(); };
    for (const auto &entry : calls()) {
      const auto &name = entry.first;
      const auto &call = entry.second;
      CAPTURE(it.Place);
      CAPTURE(name);
      bool isEngine = name == "report" || name == "order";
      size_t max = it.MaxBytes;
      if (max >= MaxBodyBytes) // 1 MB of an engine, 8 MB of the store.
        max = isEngine ? max / 4 : max * 2;
      max += SocketSlackBytes;
      CHECK_FALSE(run(
          [&](const Done &done) {
            call(Utils::BootClock::now() + Generous, done);
          },
          max));
      awaitClosed();
      CHECK(Server.RepeatedBytes <= max);
    }
  }
}

// Guards against a feed that an endless response of the store stops.
TEST_CASE_FIXTURE(FetchFixture,
                  "response without end that arrives slowly ends by the "
                  "deadline, and the next call succeeds") {
  for (const EndlessAnswer &it : endlessAnswers())
    for (const auto &entry : calls()) {
      const auto &name = entry.first;
      const auto &call = entry.second;
      CAPTURE(it.Place);
      CAPTURE(name);
      EndlessAnswer slow = it;
      slow.Repeated = it.Repeated.substr(0, 1);
      Server.Respond = [&](const Http::Request &) { return slow.script(5ms); };
      CHECK_FALSE(run(
          [&](const Done &done) { call(Utils::BootClock::now() + 20ms, done); },
          SIZE_MAX));
      awaitClosed();
    }
  Server.Respond = [](const Http::Request &request) {
    return request.Target == "/v1/order"
               ? Script{"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n"}
               : Script{"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n"
                        "{\"end\":2}"};
  };
  for (const auto &entry : calls()) {
    const auto &name = entry.first;
    const auto &call = entry.second;
    if (name == "append" || name == "order") {
      CAPTURE(name);
      CHECK(run(
          [&](const Done &done) {
            call(Utils::BootClock::now() + Generous, done);
          },
          SIZE_MAX));
    }
  }
}
