#include "desk.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

/// A key is taken away, and all gateways refuse it. Some seconds later the
/// store is away for a moment and comes back from a copy that is older than the
/// change; meanwhile the gateway that holds the fleet's duty is killed and
/// starts again. Counts the requests with the key that run later than revoke_ms
/// after the acknowledgement of the change.
namespace {

using namespace Lab;

constexpr int GatewayCount = 3;
constexpr milliseconds RevokeTime{5000};
/// From the change to the loss of the store, the store's absence, and the time
/// from its return until the operator has written the newest version again.
constexpr milliseconds DrillAfter{6000};
constexpr milliseconds Absence{1000};
constexpr milliseconds RewriteAfter{2000};
constexpr milliseconds RestartDelay{300};
constexpr milliseconds Interval{50};
constexpr milliseconds Limit{60'000};
const std::string RevokedKey = "key-of-the-guild";

Json versioned(int version, bool withKey) {
  Json view = route("view", "safe", "desk", 800);
  Json out = configuration(version, {view}, {service("desk")});
  Json keys = Json::array({"second-key-of-the-guild"});
  if (withKey)
    keys.push_back(RevokedKey);
  out["tenants"].push_back({{"name", "guild"}, {"access_keys", keys}});
  return out;
}

struct Scene {
  Scene(asio::io_context &loop, Record &record, bool trouble)
      : Loop(loop), Log(record), Trouble(trouble), Directory(makeDirectory()),
        Platform(loop) {
    Platform.put("keyed.op", "config", versioned(1, true).dump());
    for (const char *id : {"desk-1", "desk-2", "desk-3"}) {
      auto desk = std::make_unique<Desk>(loop, Platform, id);
      desk->OnRun = [this](Desk &it, const Message &request) {
        noteRun(it, request);
        return true;
      };
      desk->start(id);
      Desks.push_back(std::move(desk));
    }
    for (int i = 1; i <= GatewayCount; ++i) {
      Gateways.push_back(
          std::make_unique<Gateway>(i, Directory, Platform.address()));
      Gateways.back()->start(true);
    }
  }
  ~Scene() {
    Gateways.clear();
    if (!std::getenv("KEEP"))
      removeDirectory(Directory);
  }
  Scene(const Scene &) = delete;
  Scene &operator=(const Scene &) = delete;

  void noteRun(const Desk &desk, const Message &request) {
    std::string id = request.header("Request-Id");
    auto sentAt = SentWithKey.find(id);
    if (!RevokedAt || sentAt == SentWithKey.end() ||
        sentAt->second < *RevokedAt + RevokeTime)
      return;
    ++RanLate;
    Log.line("request " + id + " with the revoked key runs at " + desk.id() +
             " as tenant " + request.header("Tenant"));
  }

  Task<> send(int gateway, std::string key, int *status) {
    std::string id = "r-" + std::to_string(++Sent);
    if (key == RevokedKey)
      SentWithKey[id] = Clock::now();
    std::string request =
        "GET /view/" + id +
        " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id +
        "\r\nDeadline-Milliseconds: 1500\r\nCredential: " + key + "\r\n\r\n";
    Answer answer =
        co_await call(Gateways[size_t(gateway)]->front(), std::move(request));
    if (status)
      *status = answer.Status;
    if (answer.Status != LastStatus[size_t(gateway)] && key == RevokedKey) {
      LastStatus[size_t(gateway)] = answer.Status;
      Log.line("front-" + std::to_string(gateway + 1) + " answers " + id +
               " with the key: status " + std::to_string(answer.Status));
    }
  }

  /// Index of the gateway that last wrote to the store under a condition.
  int holder() const {
    std::string record = Platform.value("keyed.duty", "holder");
    size_t at = record.find("front-");
    return at == std::string::npos ? 0 : std::atoi(&record[at + 6]) - 1;
  }

  Task<> sendAll() {
    while (!Over) {
      for (int i = 0; i < GatewayCount; ++i)
        asio::co_spawn(Loop, send(i, RevokedKey, nullptr), asio::detached);
      co_await pause(Interval);
    }
  }

  Task<bool> awaitRefusal(int gateway) {
    int status = 0;
    for (int n = 0; n < 200 && status != 401; ++n) {
      co_await send(gateway, RevokedKey, &status);
      co_await pause(milliseconds(20));
    }
    co_return status == 401;
  }

  Task<int> play() {
    for (const auto &it : Gateways) {
      bool isReady = co_await awaitReady(*it);
      if (!isReady) {
        Log.line(it->name() + " does not become ready");
        co_return CouldNotRun;
      }
    }
    co_await pause(milliseconds(3000));
    Store::Copy copy = Platform.copy();
    Platform.put("keyed.op", "config", versioned(2, false).dump());
    RevokedAt = Clock::now();
    Log.line("version 2 takes the key away; acknowledged");
    for (int i = 0; i < GatewayCount; ++i) {
      bool refused = co_await awaitRefusal(i);
      if (!refused) {
        Log.line("a gateway does not apply version 2");
        co_return CouldNotRun;
      }
    }
    Log.line("all gateways refuse the key");
    co_await pause(DrillAfter - std::chrono::duration_cast<milliseconds>(
                                    Clock::now() - *RevokedAt));
    asio::co_spawn(Loop, sendAll(), asio::detached);
    if (Trouble)
      co_await drill(copy);
    else
      co_await pause(Absence + RewriteAfter);
    co_await pause(milliseconds(3000));
    Over = true;
    co_await pause(milliseconds(2000));
    co_return verdict();
  }

  Task<> drill(Store::Copy copy) {
    int killed = holder();
    Platform.leave();
    Log.line("the store is away");
    co_await pause(Absence - RestartDelay);
    Gateways[size_t(killed)]->kill();
    Log.line(Gateways[size_t(killed)]->name() + ", the holder, is killed");
    co_await pause(RestartDelay);
    Platform.comeBack(copy);
    Gateways[size_t(killed)]->start(false);
    Log.line("the store is back from a copy without version 2; " +
             Gateways[size_t(killed)]->name() + " starts again");
    co_await pause(RewriteAfter);
    Platform.put("keyed.op", "config", versioned(2, false).dump());
    Log.line("the operator has written version 2 again");
  }

  int verdict() {
    for (const auto &it : Gateways)
      if (it->hasEnded()) {
        Log.line(it->name() + " has ended by itself");
        return CouldNotRun;
      }
    std::string text =
        "requests sent with the key: " + std::to_string(SentWithKey.size()) +
        ", sent later than revoke_ms after the acknowledgement and run: " +
        std::to_string(RanLate) + " (0 are allowed)";
    Log.line(text);
    std::cout << text << std::endl;
    return RanLate > 0 ? Broken : Held;
  }

  asio::io_context &Loop;
  Record &Log;
  bool Trouble;
  std::string Directory;
  Store Platform;
  std::vector<std::unique_ptr<Desk>> Desks;
  std::vector<std::unique_ptr<Gateway>> Gateways;
  std::map<std::string, Clock::time_point> SentWithKey;
  std::optional<Clock::time_point> RevokedAt;
  std::array<int, GatewayCount> LastStatus{};
  int Sent = 0;
  int RanLate = 0;
  bool Over = false;
};

} // namespace

int main(int argc, char **argv) {
  if (argc < 2)
    return CouldNotRun;
  const char *trouble = std::getenv("TROUBLE");
  Record record(argv[1]);
  asio::io_context loop(1);
  Scene scene(loop, record, !trouble || std::string(trouble) != "0");
  return run(loop, scene.play(), record, Limit);
}
