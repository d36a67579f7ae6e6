#include "desk.h"

#include <cstdlib>
#include <iostream>

/// A new configuration allows longer bodies. Callers that keep their connection
/// open send such bodies later than configuration_apply_ms after its
/// acknowledgement. Counts those that the gateways turn away with 413.
namespace {

using namespace Lab;

constexpr int GatewayCount = 2;
constexpr int CallerCount = 20;
constexpr int OldLimit = 65'536;
constexpr int NewLimit = 4'194'304;
constexpr size_t LongBody = 110'000;
constexpr size_t ShortBody = 600;
constexpr int RequestsEach = 5;
constexpr milliseconds ApplyTime{2000};
constexpr milliseconds Limit{60'000};

struct Scene {
  Scene(asio::io_context &loop, Record &record, bool trouble)
      : Loop(loop), Log(record), Trouble(trouble), Directory(makeDirectory()),
        Platform(loop) {
    // Without the disruption the longer bodies are allowed from the start.
    configure(1, trouble ? OldLimit : NewLimit);
    for (const char *id : {"desk-1", "desk-2", "desk-3"}) {
      Desks.push_back(std::make_unique<Desk>(loop, Platform, id));
      Desks.back()->start(id);
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

  void configure(int version, int maxBody) {
    Json out = configuration(version, {route("book", "unsafe", "desk", 1500)},
                             {service("desk")});
    out["limits"]["max_body_bytes"] = maxBody;
    Platform.put("keyed.op", "config", out.dump());
  }

  Task<> send(Wire *wire, size_t bytes) {
    std::string id = "r-" + std::to_string(++Sent);
    std::string request =
        "POST /book/" + id +
        " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id +
        "\r\nDeadline-Milliseconds: 1500\r\nCredential: key-of-the-club\r\n"
        "Content-Length: " +
        std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x');
    Answer answer = co_await callOn(*wire, std::move(request));
    if (answer.Status != 200)
      Log.line(id + " with a body of " + std::to_string(bytes) +
               " bytes ends with status " + std::to_string(answer.Status));
    Refused += answer.Status == 413;
    Served += answer.Status == 200;
  }

  Task<int> play() {
    for (const auto &it : Gateways) {
      bool isReady = co_await awaitReady(*it);
      if (!isReady) {
        Log.line(it->name() + " does not become ready");
        co_return CouldNotRun;
      }
    }
    co_await pause(milliseconds(1000));
    std::vector<std::unique_ptr<Wire>> wires;
    for (int i = 0; i < CallerCount; ++i) {
      auto wire = co_await connect(Gateways[size_t(i % GatewayCount)]->front());
      if (!wire)
        co_return CouldNotRun;
      for (int k = 0; k < RequestsEach; ++k)
        co_await send(wire.get(), ShortBody);
      wires.push_back(std::move(wire));
    }
    if (Trouble) {
      configure(2, NewLimit);
      Log.line("version 2 allows bodies of " + std::to_string(NewLimit) +
               " bytes; acknowledged");
    }
    co_await pause(ApplyTime + milliseconds(1000));
    for (int i = 0; i < CallerCount; ++i)
      co_await send(wires[size_t(i)].get(), LongBody);
    std::string text = "requests: " + std::to_string(Sent) +
                       ", served: " + std::to_string(Served) +
                       ", ended with 413: " + std::to_string(Refused) + " (" +
                       std::to_string(5 + Sent / 500) + " are allowed)";
    Log.line(text);
    std::cout << text << std::endl;
    co_return Refused > 5 + Sent / 500 ? Broken : Held;
  }

  asio::io_context &Loop;
  Record &Log;
  bool Trouble;
  std::string Directory;
  Store Platform;
  std::vector<std::unique_ptr<Desk>> Desks;
  std::vector<std::unique_ptr<Gateway>> Gateways;
  int Sent = 0;
  int Served = 0;
  int Refused = 0;
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
