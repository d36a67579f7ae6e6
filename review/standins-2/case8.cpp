#include "engine.h"

#include <cstdlib>
#include <iostream>
#include <random>

/// One part of a prompt crashes each replica that begins to write an answer on
/// it. The replicas send the head of a streamed answer when they admit the
/// request, and the first event 240 ms later. Counts the requests with the part
/// that reach replicas later than contact_ms after the fifth crash. HEAD_MS
/// sets another time between head and first event.
namespace {

using namespace Lab;

constexpr int GatewayCount = 3;
constexpr int EngineCount = 12;
constexpr milliseconds DeadlyInterval{700};
constexpr milliseconds SoundInterval{50};
constexpr milliseconds ContactTime{3000};
constexpr milliseconds TimeAfterBound{10'000};
constexpr milliseconds Limit{100'000};
constexpr int CrashesBeforeBound = 5;
constexpr int MaxArrivals = 3;
const std::string DeadlyPart = "dead0001";

std::string requestWith(const std::string &part, int number) {
  std::string own = std::to_string(100000 + number);
  std::string body(1300, 'x');
  return "POST /draft/" + own +
         " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r-" + own +
         "\r\nModel: m1\r\nToken-Counts: 9190,50\r\nPrompt-Prefix: 5c1e07a2:"
         "2520," +
         part + ":3780," + own +
         ":2890\r\nDeadline-Milliseconds: 5000\r\nCredential: "
         "key-of-the-club\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Scene {
  Scene(asio::io_context &loop, Record &record, bool trouble)
      : Loop(loop), Log(record), Directory(makeDirectory()), Platform(loop) {
    Json draft = route("draft", "streaming", "writer", 5000);
    draft["sticky_sessions"] = true;
    draft["target_gap_ms"] = 400;
    Platform.put("keyed.op", "config",
                 configuration(1, {draft}, {engineService({"m1"})}).dump());
    for (int i = 1; i <= EngineCount; ++i) {
      auto engine = std::make_unique<Engine>(
          loop, Platform, "writer-" + std::to_string(i), record);
      engine->Models = {"m1"};
      engine->OnDisk = {"m1"};
      if (const char *ms = std::getenv("HEAD_MS"))
        engine->PrefillTime = milliseconds(std::atoi(ms));
      if (trouble)
        engine->DeadlyPart = DeadlyPart;
      engine->OnArrival = [this](const Engine &it, const Message &request) {
        noteArrival(it, request);
      };
      engine->OnCrash = [this](const Engine &) {
        Crashes.push_back(Clock::now());
      };
      engine->start(engine->id());
      Engines.push_back(std::move(engine));
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

  void noteArrival(const Engine &engine, const Message &request) {
    if (request.header("Prompt-Prefix").find(DeadlyPart) == std::string::npos)
      return;
    Arrivals.push_back(Clock::now());
    Log.line("request " + request.header("Request-Id") +
             " with the part reaches replica " + engine.id());
  }

  Task<> send(int gateway, std::string request, bool deadly) {
    ++(deadly ? DeadlySent : SoundSent);
    Answer answer =
        co_await call(Gateways[size_t(gateway)]->front(), std::move(request));
    bool served = answer.Status == 200 && answer.Complete;
    SoundServed += !deadly && served;
    if (deadly)
      Log.line("a request with the part ends with status " +
               std::to_string(answer.Status) +
               (answer.Complete ? "" : ", cut off"));
  }

  bool isOver() const {
    auto now = Clock::now();
    if (int(Crashes.size()) >= CrashesBeforeBound)
      return now >=
             Crashes[CrashesBeforeBound - 1] + ContactTime + TimeAfterBound;
    return now >= StartedAt + std::chrono::seconds(30);
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
    Log.line("traffic starts");
    std::mt19937 random(1);
    StartedAt = Clock::now();
    auto next = StartedAt;
    for (int n = 0; !isOver(); ++n) {
      bool deadly = n % int(DeadlyInterval / SoundInterval) == 0;
      std::string part =
          deadly ? DeadlyPart : "a" + std::to_string(1000 + random() % 20);
      asio::co_spawn(
          Loop,
          send(int(random() % GatewayCount), requestWith(part, n), deadly),
          asio::detached);
      next += SoundInterval;
      co_await pause(std::chrono::ceil<milliseconds>(
          std::max(next, Clock::now()) - Clock::now()));
    }
    co_return verdict();
  }

  int verdict() {
    for (const auto &it : Gateways)
      if (it->hasEnded()) {
        Log.line(it->name() + " has ended by itself");
        return CouldNotRun;
      }
    auto bound = Clock::time_point::max();
    if (int(Crashes.size()) >= CrashesBeforeBound)
      bound = Crashes[CrashesBeforeBound - 1] + ContactTime;
    long late = std::count_if(Arrivals.begin(), Arrivals.end(),
                              [&](auto it) { return it > bound; });
    std::string text =
        "crashes: " + std::to_string(Crashes.size()) +
        ", requests with the part sent: " + std::to_string(DeadlySent) +
        ", arrived: " + std::to_string(Arrivals.size()) +
        ", later than contact_ms after the fifth crash: " +
        std::to_string(late) +
        " (3 are allowed); sound sent: " + std::to_string(SoundSent) +
        ", served: " + std::to_string(SoundServed);
    Log.line(text);
    std::cout << text << std::endl;
    return late > MaxArrivals ? Broken : Held;
  }

  asio::io_context &Loop;
  Record &Log;
  std::string Directory;
  Store Platform;
  std::vector<std::unique_ptr<Engine>> Engines;
  std::vector<std::unique_ptr<Gateway>> Gateways;
  std::vector<Clock::time_point> Crashes;
  std::vector<Clock::time_point> Arrivals;
  Clock::time_point StartedAt;
  int DeadlySent = 0;
  int SoundSent = 0;
  int SoundServed = 0;
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
