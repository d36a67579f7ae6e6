#include "desk.h"

#include <cstdlib>
#include <iostream>
#include <random>

/// A request crashes each replica that begins to run it, and comes again at any
/// gateway. A crashed replica resets its connections at once, and refuses new
/// ones some milliseconds later. Counts the repeats that reach replicas later
/// than contact_ms after the third crash. GAP_MS sets another time.
namespace {

using namespace Lab;

constexpr int GatewayCount = 3;
constexpr int DeskCount = 8;
constexpr milliseconds DeadlyInterval{700};
constexpr milliseconds SoundInterval{50};
constexpr milliseconds RestartTime{3000};
constexpr milliseconds ContactTime{3000};
constexpr milliseconds TimeAfterBound{10'000};
constexpr milliseconds Limit{100'000};
constexpr size_t CrashesBeforeBound = 3;
constexpr long MaxArrivals = 3;
const std::string DeadlyPath = "/view/deadly";

struct Scene {
  Scene(asio::io_context &loop, Record &record, bool trouble)
      : Loop(loop), Log(record), Trouble(trouble), Directory(makeDirectory()),
        Platform(loop) {
    if (const char *ms = std::getenv("GAP_MS"))
      RefuseAfter = milliseconds(std::atoi(ms));
    Platform.put("keyed.op", "config",
                 configuration(1, {route("view", "safe", "desk", 1500)},
                               {service("desk")})
                     .dump());
    for (int i = 1; i <= DeskCount; ++i) {
      std::string id = "desk-" + std::to_string(i);
      auto desk = std::make_unique<Desk>(loop, Platform, id);
      desk->OnRun = [this](Desk &it, const Message &request) {
        return noteRun(it, request);
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

  bool noteRun(Desk &desk, const Message &request) {
    if (request.path() != DeadlyPath)
      return true;
    Arrivals.push_back(Clock::now());
    Log.line(request.Line + ", " + request.header("Request-Id") +
             ", reaches replica " + desk.id() +
             (Trouble ? ", which crashes" : ""));
    if (!Trouble)
      return true;
    Crashes.push_back(Clock::now());
    desk.crash(RefuseAfter);
    asio::co_spawn(Loop, restart(&desk), asio::detached);
    return false;
  }

  Task<> restart(Desk *desk) {
    co_await pause(RestartTime);
    std::string first = desk->id().substr(0, desk->id().find('.'));
    desk->start(first + "." + std::to_string(++Starts));
  }

  Task<> send(int gateway, int number, bool deadly) {
    std::string id = "r-" + std::to_string(number);
    std::string target = "/view/" + id;
    if (deadly)
      target = DeadlyPath;
    std::string request =
        "GET " + target +
        " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id +
        "\r\nDeadline-Milliseconds: 1500\r\nCredential: key-of-the-club"
        "\r\n\r\n";
    SoundSent += !deadly;
    Answer answer =
        co_await call(Gateways[size_t(gateway)]->front(), std::move(request));
    if (deadly)
      Log.line(target + " ends with status " + std::to_string(answer.Status));
    else
      SoundServed += answer.Status == 200 && answer.Complete;
  }

  bool isOver() const {
    auto now = Clock::now();
    if (Crashes.size() >= CrashesBeforeBound)
      return now >=
             Crashes[CrashesBeforeBound - 1] + ContactTime + TimeAfterBound;
    return now >= StartedAt + std::chrono::seconds(25);
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
      asio::co_spawn(Loop, send(int(random() % GatewayCount), n, deadly),
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
    if (Crashes.size() >= CrashesBeforeBound)
      bound = Crashes[CrashesBeforeBound - 1] + ContactTime;
    long late = std::count_if(Arrivals.begin(), Arrivals.end(),
                              [&](auto it) { return it > bound; });
    std::string text = "crashes: " + std::to_string(Crashes.size()) +
                       ", repeats arrived: " + std::to_string(Arrivals.size()) +
                       ", later than contact_ms after the third crash: " +
                       std::to_string(late) + " (3 are allowed); sound sent: " +
                       std::to_string(SoundSent) +
                       ", served: " + std::to_string(SoundServed);
    Log.line(text);
    std::cout << text << std::endl;
    return late > MaxArrivals ? Broken : Held;
  }

  asio::io_context &Loop;
  Record &Log;
  bool Trouble;
  milliseconds RefuseAfter{20};
  std::string Directory;
  Store Platform;
  std::vector<std::unique_ptr<Desk>> Desks;
  std::vector<std::unique_ptr<Gateway>> Gateways;
  std::vector<Clock::time_point> Crashes;
  std::vector<Clock::time_point> Arrivals;
  Clock::time_point StartedAt;
  int Starts = 1;
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
