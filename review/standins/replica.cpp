#include "replica.h"

#include <nlohmann/json.hpp>

namespace Review {

namespace {

constexpr Milliseconds HeartbeatInterval{1200};
/// Idle connections are closed after this time, as the Keep-Alive field says.
constexpr std::chrono::seconds IdleTimeout{5};

std::string head(int status, const std::string &reason) {
  return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
}

std::string withBody(std::string text, const std::string &body) {
  text += "Keep-Alive: timeout=" + std::to_string(IdleTimeout.count()) +
          "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return text + body;
}

} // namespace

Replica::Replica(const std::string &ip, ReplicaOptions options, Store &store,
                 Record &record)
    : Options(std::move(options)), List(store), Log(record),
      Random(std::hash<std::string>()(Options.Id)),
      Born(std::chrono::duration_cast<Milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count()) {
  Server =
      std::make_unique<Listener>(ip, [this](Stream &stream) { serve(stream); });
  Address = Server->address();
  List.put("keyed.servers", Options.Id, entry());
  Heartbeat = std::thread([this] { writeEntries(); });
}

Replica::~Replica() { stop(); }

std::optional<std::string> Replica::entry() {
  std::lock_guard lock(Mutex);
  if (Left || Stopped)
    return std::nullopt;
  return nlohmann::json{{"service", Options.Service}, {"address", Address},
                        {"zone", Options.Zone},       {"version", "v1"},
                        {"slots", Options.Slots},     {"state", "ready"},
                        {"cold_remaining_ms", 0},     {"born", Born},
                        {"sequence", ++Sequence}}
      .dump();
}

void Replica::writeEntries() {
  std::unique_lock lock(Mutex);
  while (!Changed.wait_for(lock, HeartbeatInterval,
                           [this] { return Left || Stopped; })) {
    lock.unlock();
    if (auto text = entry())
      List.put("keyed.servers", Options.Id, text);
    lock.lock();
  }
}

Clock::time_point Replica::leave() {
  {
    std::lock_guard lock(Mutex);
    Left = true;
    Changed.notify_all();
  }
  Heartbeat.join();
  auto at = List.put("keyed.servers", Options.Id, std::nullopt);
  Log.write("left", {{"server", Options.Id}});
  return at;
}

void Replica::stop() {
  {
    std::lock_guard lock(Mutex);
    if (std::exchange(Stopped, true))
      return;
    Changed.notify_all();
  }
  if (Heartbeat.joinable())
    Heartbeat.join();
  Server->stop();
  Log.write("stopped", {{"server", Options.Id}});
}

void Replica::serve(Stream &stream) {
  std::string extra;
  std::string extraOf;
  while (auto request = readMessage(stream, Clock::now() + IdleTimeout)) {
    // The second copy arrives where the next answer is due.
    if (!extra.empty()) {
      Log.write("second_copy",
                {{"of", extraOf},
                 {"before", request->field("Request-Id").value_or("")},
                 {"server", Options.Id}});
      if (!stream.send(extra))
        return;
    }
    extra.clear();
    std::string bytes = answer(*request);
    {
      std::lock_guard lock(Mutex);
      if (Stopped)
        return;
      if (hasExtra())
        extra = bytes;
      extraOf = request->field("Request-Id").value_or("");
    }
    if (!stream.send(bytes))
      return;
  }
}

/// Whether a second copy of the next answer follows. Needs the mutex.
bool Replica::hasExtra() {
  if ((Clock::now() - StartedAt) % Options.ExtraPeriod >= Options.ExtraTime)
    return false;
  return std::uniform_real_distribution<>(0, 1)(Random) < Options.ExtraShare;
}

/// Says in every answer that the replica leaves, from when it does.
std::string Replica::answer(const Message &request) {
  std::string bytes = answerBeforeLeaving(request);
  std::lock_guard lock(Mutex);
  if (Left && !bytes.empty())
    bytes.insert(bytes.find("\r\n") + 2, "Server-Leaving: 1\r\n");
  return bytes;
}

std::string Replica::answerBeforeLeaving(const Message &request) {
  if (request.Second == "/health")
    return withBody(head(200, "OK") + "Instance-Id: " + Options.Id + "\r\n",
                    "");
  std::string id = request.field("Request-Id").value_or("");
  std::string start = id.empty() ? "" : "Request-Id: " + id + "\r\n";
  auto expected = request.field("Expect-Instance");
  if (expected && *expected != Options.Id)
    return withBody(head(421, "Misdirected Request") + start +
                        "Instance-Id: " + Options.Id + "\r\n",
                    "");
  return runRequest(request);
}

std::string Replica::runRequest(const Message &request) {
  std::string id = request.field("Request-Id").value_or("");
  std::string idField = "Request-Id: " + id + "\r\n";
  std::unique_lock lock(Mutex);
  if (Running >= Options.Slots && Waiting >= Options.QueueLength) {
    Log.write("refused", {{"id", id}, {"server", Options.Id}});
    return withBody(
        head(503, "Service Unavailable") + idField +
            "Not-Executed: 1\r\nRetry-After: " + Options.RetryAfter + "\r\n",
        "");
  }
  ++Waiting;
  Changed.wait(lock, [this] { return Running < Options.Slots || Stopped; });
  --Waiting;
  if (Stopped) // It never began; the connection breaks off.
    return {};
  ++Running;
  Log.write("run", {{"id", id}, {"server", Options.Id}});
  std::uniform_int_distribution<int64_t> work(Options.MinWork.count(),
                                              Options.MaxWork.count());
  auto until = Clock::now() + Milliseconds(work(Random));
  Changed.wait_until(lock, until, [this] { return Stopped; });
  --Running;
  Changed.notify_all();
  Log.write(Stopped ? "broken" : "ran", {{"id", id}, {"server", Options.Id}});
  return withBody(head(200, "OK") + idField + "Response-Seal: " + Options.Id +
                      "." + id + "\r\n",
                  std::string(800, 'x'));
}

} // namespace Review
