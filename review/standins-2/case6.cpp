#include "engine.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <sched.h>
#include <thread>
#include <unistd.h>

/// The gateway that holds the fleet's duty is stopped as planned and started
/// again, over and over, while calls wait for models that are loaded for them.
/// Counts the requests that the stopped gateway had passed on to a replica and
/// whose connection ends without a complete answer.
namespace {

using namespace Lab;

constexpr int GatewayCount = 8;
constexpr int EngineCount = 6;
constexpr int ModelCount = 70;
constexpr int CopiesOnDisk = 19;
/// The sheet has 512 requests a second.
constexpr milliseconds RequestInterval{2};
/// Two of three requests ask for one of the rare models.
constexpr int RareOutOfThree = 2;
constexpr milliseconds Deadline{4000};
/// Answers that are cut off this long before their deadline count.
constexpr milliseconds DeadlineMargin{200};
constexpr std::chrono::seconds Grace{8};
constexpr std::chrono::seconds AfterGrace{1};
constexpr milliseconds PauseAfterRestart{300};
constexpr std::chrono::seconds Duration{90};
constexpr milliseconds Limit{116'000};

/// A request, as the caller and the replicas saw it.
struct Sent {
  int Gateway = 0;
  Clock::time_point At;
  bool Arrived = false;
};

struct Scene {
  Scene(asio::io_context &loop, Record &record, bool trouble)
      : Loop(loop), Log(record), Trouble(trouble), Directory(makeDirectory()),
        Platform(loop) {
    Json draft = route("draft", "streaming", "writer", 5000);
    draft["sticky_sessions"] = true;
    draft["target_gap_ms"] = 400;
    std::vector<std::string> models;
    for (int i = 1; i <= ModelCount; ++i)
      models.push_back("m" + std::to_string(i));
    Platform.put("keyed.op", "config",
                 configuration(1, {draft}, {engineService(models)}).dump());
    for (int i = 1; i <= EngineCount; ++i) {
      auto engine = std::make_unique<Engine>(
          loop, Platform, "writer-" + std::to_string(i), record);
      // A busy model at each replica, and rare ones at one each.
      engine->Models = {"m1", "m" + std::to_string(2 * i),
                        "m" + std::to_string(2 * i + 1)};
      for (int k = 0; k < CopiesOnDisk; ++k)
        engine->OnDisk.push_back("m" +
                                 std::to_string(1 + (11 * i + k) % ModelCount));
      engine->PrefillTime = milliseconds(20);
      engine->OnArrival = [this](const Engine &, const Message &request) {
        auto it = Requests.find(request.header("Request-Id"));
        if (it != Requests.end())
          it->second.Arrived = true;
      };
      engine->start(engine->id());
      Engines.push_back(std::move(engine));
    }
    for (int i = 1; i <= GatewayCount; ++i) {
      Gateways.push_back(
          std::make_unique<Gateway>(i, Directory, Platform.address()));
      Gateways.back()->start(true);
    }
    StoppedAt.resize(GatewayCount);
  }
  ~Scene() {
    Gateways.clear();
    if (!std::getenv("KEEP"))
      removeDirectory(Directory);
  }
  Scene(const Scene &) = delete;
  Scene &operator=(const Scene &) = delete;

  Task<> send(int gateway, std::string model) {
    std::string id = "r-" + std::to_string(++SentCount);
    Requests[id] = {gateway, Clock::now()};
    std::string request =
        "POST /draft/" + id +
        " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id +
        "\r\nModel: " + model +
        "\r\nToken-Counts: 646,50\r\nPrompt-Prefix: 5c1e07a2:155," +
        std::to_string(SentCount) +
        ":491\r\nDeadline-Milliseconds: " + std::to_string(Deadline.count()) +
        "\r\nCredential: key-of-the-club\r\nContent-Length: 0\r\n\r\n";
    Answer answer =
        co_await call(Gateways[size_t(gateway)]->front(), std::move(request));
    Served += answer.Status == 200 && answer.Complete;
    if (!answer.Complete)
      noteCutOff(id, answer);
    Requests.erase(id);
  }

  void noteCutOff(const std::string &id, const Answer &answer) {
    const Sent &sent = Requests[id];
    const auto &stopped = StoppedAt[size_t(sent.Gateway)];
    auto now = Clock::now();
    if (!sent.Arrived || now > sent.At + Deadline - DeadlineMargin ||
        !stopped || now > *stopped + Grace + AfterGrace)
      return;
    ++Lost;
    auto ms = [](auto time) {
      return std::to_string(
          std::chrono::duration_cast<milliseconds>(time).count());
    };
    Log.line("request " + id + " to " + Gateways[size_t(sent.Gateway)]->name() +
             " was passed on; its " +
             (answer.Status == 0 ? "connection ends without an answer "
                                 : "answer is cut off ") +
             ms(now - sent.At) + " ms after it was sent, " +
             ms(now - *stopped) + " ms after SIGTERM");
  }

  /// Index of the gateway that last wrote to the store under a condition.
  int holder() const {
    std::string record = Platform.value("keyed.duty", "holder");
    size_t at = record.find("front-");
    return at == std::string::npos ? 0 : std::atoi(&record[at + 6]) - 1;
  }

  Task<> sendAll() {
    std::mt19937 random(7);
    auto next = Clock::now();
    while (!Over) {
      std::string model = "m1";
      if (int(random() % 3) < RareOutOfThree)
        model = "m" + std::to_string(2 + random() % (ModelCount - 1));
      asio::co_spawn(Loop, send(int(random() % GatewayCount), model),
                     asio::detached);
      next += RequestInterval;
      co_await pause(std::chrono::ceil<milliseconds>(
          std::max(next, Clock::now()) - Clock::now()));
    }
  }

  Task<> stop(int gateway) {
    Gateway &it = *Gateways[size_t(gateway)];
    auto at = Clock::now();
    StoppedAt[size_t(gateway)] = at;
    it.signal(SIGTERM);
    ++Stops;
    bool ended = false;
    while (!ended && Clock::now() < at + Grace) {
      co_await pause(milliseconds(5));
      ended = it.hasEnded();
    }
    if (!ended)
      it.kill();
    if (it.endSignal() != 0) {
      ++Crashes;
      auto ms =
          std::chrono::duration_cast<milliseconds>(Clock::now() - at).count();
      Log.line(it.name() + ", which held the duty, ends by signal " +
               std::to_string(it.endSignal()) + ", " + std::to_string(ms) +
               " ms after SIGTERM");
    }
    // The connections that the end of the process has closed are noticed first.
    co_await pause(milliseconds(100));
    StoppedAt[size_t(gateway)].reset();
    it.start(false);
    co_await pause(PauseAfterRestart);
  }

  Task<int> play() {
    for (const auto &it : Gateways) {
      bool isReady = co_await awaitReady(*it);
      if (!isReady) {
        Log.line(it->name() + " does not become ready");
        co_return CouldNotRun;
      }
    }
    co_await pause(milliseconds(1500));
    asio::co_spawn(Loop, sendAll(), asio::detached);
    auto until = Clock::now() + Duration;
    while (Clock::now() < until && Lost == 0) {
      if (Trouble)
        co_await stop(holder());
      else
        co_await pause(milliseconds(1000));
      if (!Trouble && Clock::now() > until - Duration * 7 / 10)
        break;
    }
    Over = true;
    std::string text =
        "planned stops of the holder: " + std::to_string(Stops) +
        ", of which ended by a signal: " + std::to_string(Crashes) +
        ", requests lost: " + std::to_string(Lost) +
        " (0 are allowed); sent: " + std::to_string(SentCount) +
        ", served: " + std::to_string(Served);
    Log.line(text);
    std::cout << text << std::endl;
    co_return Lost > 0 ? Broken : Held;
  }

  asio::io_context &Loop;
  Record &Log;
  bool Trouble;
  std::string Directory;
  Store Platform;
  std::vector<std::unique_ptr<Engine>> Engines;
  std::vector<std::unique_ptr<Gateway>> Gateways;
  /// When each gateway got SIGTERM; none if it runs.
  std::vector<std::optional<Clock::time_point>> StoppedAt;
  std::map<std::string, Sent> Requests;
  int SentCount = 0;
  int Served = 0;
  int Lost = 0;
  int Stops = 0;
  int Crashes = 0;
  bool Over = false;
};

} // namespace

int main(int argc, char **argv) {
  if (argc < 2)
    return CouldNotRun;
  const char *trouble = std::getenv("TROUBLE");
  // The gateways inherit it: the fleet has one processor for all.
  cpu_set_t processors;
  CPU_ZERO(&processors);
  CPU_SET(getpid() % long(std::thread::hardware_concurrency()), &processors);
  sched_setaffinity(0, sizeof(processors), &processors);
  Record record(argv[1]);
  asio::io_context loop(1);
  Scene scene(loop, record, !trouble || std::string(trouble) != "0");
  return run(loop, scene.play(), record, Limit);
}
