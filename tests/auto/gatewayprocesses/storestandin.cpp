#include "gatewayprocesses/storestandin.h"

#include "support/cluster.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Support {

namespace {

using nlohmann::json;

/// Each long poll of a gateway occupies a thread.
constexpr size_t StoreThreads = 64;
constexpr size_t StoreKeepAliveCalls = 1'000'000;
/// Bounds of a page of the newest records.
constexpr size_t MaxPageRecords = 500;
constexpr size_t MaxPageBytes = 1 << 20;

std::string toBigEndian(uint64_t value, int bytes) {
  constexpr int bitsPerByte = 8;
  std::string out;
  for (int i = bytes - 1; i >= 0; --i)
    out.push_back(char(value >> (i * bitsPerByte)));
  return out;
}

std::string toBase64(const std::string &bytes) {
  static constexpr char digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    size_t n = std::min<size_t>(3, bytes.size() - i);
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k)
      group = group << 8 | (k < n ? uint8_t(bytes[i + k]) : 0);
    for (size_t k = 0; k < 4; ++k)
      out.push_back(k <= n ? digits[group >> (6 * (3 - k)) & 63] : '=');
  }
  return out;
}

uint64_t numberOf(const httplib::Request &request, const char *name) {
  std::string text = request.get_param_value(name);
  return text.empty() ? 0 : std::stoull(text);
}

} // namespace

StoreStandin::StoreStandin() {
  Server.new_task_queue = [] { return new httplib::ThreadPool(StoreThreads); };
  Server.set_keep_alive_max_count(StoreKeepAliveCalls);
  Server.set_tcp_nodelay(true);
  Server.Post("/v1/log-append",
              [this](const auto &in, auto &out) { append(in, out); });
  Server.Get("/v1/log-read",
             [this](const auto &in, auto &out) { read(in, out); });
  Server.Get("/v1/log-newest",
             [this](const auto &in, auto &out) { readNewest(in, out); });
  ServerPort = uint16_t(Server.bind_to_any_port("127.0.0.1"));
  Address = openDoor("anyone");
  Listening = std::thread([this] { Server.listen_after_bind(); });
  eventually([this] { return Server.is_running(); });
}

StoreStandin::~StoreStandin() {
  {
    std::lock_guard lock(Mutex);
    Stopped = true;
  }
  Changed.notify_all();
  leave(Absence::Reset);
  Server.stop();
  Listening.join();
}

std::string StoreStandin::openDoor(const std::string &gateway) {
  uint16_t port = Link.addLink(gateway, FaultProxy::Transport::Tcp, ServerPort);
  Doors.push_back(gateway);
  return "127.0.0.1:" + std::to_string(port);
}

void StoreStandin::reject(const std::string &gateway, bool rejected) {
  FaultProxy::Faults faults;
  faults.Refuse = rejected;
  Link.setFaults(gateway, FaultProxy::Direction::ToTarget, faults);
  Link.setFaults(gateway, FaultProxy::Direction::ToClient, faults);
}

uint64_t StoreStandin::put(const std::string &topic, const std::string &key,
                           const std::optional<std::string> &value) {
  std::lock_guard lock(Mutex);
  auto &records = Logs[topic].Records;
  records.push_back({key, value});
  Changed.notify_all();
  return records.size() - 1;
}

void StoreStandin::putAll(
    const std::string &topic,
    const std::vector<std::pair<std::string, std::string>> &records) {
  std::lock_guard lock(Mutex);
  for (const auto &[key, value] : records)
    Logs[topic].Records.push_back({key, value});
  Changed.notify_all();
}

void StoreStandin::trim(const std::string &topic, uint64_t before) {
  std::lock_guard lock(Mutex);
  Log &log = Logs[topic];
  log.First = std::min<uint64_t>(before, log.Records.size());
}

StoreStandin::Point StoreStandin::point() {
  std::lock_guard lock(Mutex);
  Point out;
  for (const auto &[topic, log] : Logs)
    out[topic] = log.Records.size();
  return out;
}

void StoreStandin::restoreCopy(const Point &point, Absence absence) {
  leave(absence);
  std::lock_guard lock(Mutex);
  for (auto &[topic, log] : Logs) {
    auto it = point.find(topic);
    uint64_t end = it == point.end() ? 0 : it->second;
    log.Records.resize(std::min<uint64_t>(end, log.Records.size()));
    log.First = std::min<uint64_t>(log.First, log.Records.size());
  }
  ++Era;
  Changed.notify_all();
}

void StoreStandin::leave(Absence absence) {
  if (absence == Absence::None)
    return;
  FaultProxy::Faults faults;
  faults.Refuse = absence == Absence::Reset;
  faults.Discard = absence == Absence::Unanswered;
  for (const std::string &it : Doors) {
    Link.setFaults(it, FaultProxy::Direction::ToTarget, faults);
    Link.setFaults(it, FaultProxy::Direction::ToClient, faults);
  }
}

/// Connections on which answers were lost return nothing further.
void StoreStandin::comeBack() {
  for (const std::string &it : Doors)
    Link.cut(it);
  Link.heal();
}

uint64_t StoreStandin::era() {
  std::lock_guard lock(Mutex);
  return Era;
}

void StoreStandin::answerInChunks() {
  std::lock_guard lock(Mutex);
  Chunked = true;
}

size_t StoreStandin::calls(const std::string &path) {
  std::lock_guard lock(Mutex);
  return Calls[path];
}

/// Requires the lock.
void StoreStandin::answer(httplib::Response &response, int status,
                          const std::string &body, const char *type) {
  response.status = status;
  response.set_header("Store-Era", std::to_string(Era));
  if (!Chunked)
    return response.set_content(body, type);
  response.set_chunked_content_provider(
      type, [body](size_t, httplib::DataSink &sink) {
        size_t half = body.size() / 2;
        if (half > 0)
          sink.write(body.data(), half);
        sink.write(body.data() + half, body.size() - half);
        sink.done();
        return true;
      });
}

void StoreStandin::append(const httplib::Request &request,
                          httplib::Response &response) {
  std::lock_guard lock(Mutex);
  ++Calls[request.path];
  auto &records = Logs[request.get_param_value("topic")].Records;
  size_t first = records.size();
  if (request.has_param("at") && numberOf(request, "at") != first)
    return answer(response, 412, json{{"end", first}}.dump());
  const std::string &body = request.body;
  constexpr size_t lengthBytes = 4;
  for (size_t i = 0; i + lengthBytes < body.size();) {
    size_t n = 0;
    for (size_t k = 0; k < lengthBytes; ++k)
      n = n << 8 | uint8_t(body[i + k]);
    std::string content = body.substr(i + lengthBytes, n);
    size_t key = uint8_t(content[0]);
    Record record{content.substr(1, key), std::nullopt};
    if (content.size() > 1 + key)
      record.Value = content.substr(1 + key);
    records.push_back(std::move(record));
    i += lengthBytes + n;
  }
  Changed.notify_all();
  answer(response, 200,
         json{{"offset", first}, {"end", records.size()}}.dump());
}

void StoreStandin::read(const httplib::Request &request,
                        httplib::Response &response) {
  std::unique_lock lock(Mutex);
  ++Calls[request.path];
  Log &log = Logs[request.get_param_value("topic")];
  uint64_t from = numberOf(request, "from");
  uint64_t era = Era;
  auto hasAnswer = [&] {
    return Stopped || Era != era || from < log.First ||
           log.Records.size() != from;
  };
  Changed.wait_for(
      lock, std::chrono::milliseconds(numberOf(request, "wait_ms")), hasAnswer);
  if (from < log.First || from > log.Records.size())
    return answer(response, 410, json{{"first", log.First}}.dump());
  size_t maxBytes = request.has_param("max_kilobytes")
                        ? numberOf(request, "max_kilobytes") << 10
                        : MaxPageBytes;
  std::string body =
      toBigEndian(log.Records.size(), 8) + toBigEndian(log.First, 8);
  for (size_t i = from; i < log.Records.size(); ++i) {
    const Record &it = log.Records[i];
    std::string content =
        toBigEndian(it.Key.size(), 1) + it.Key + it.Value.value_or("");
    if (i > from && body.size() + content.size() > maxBytes)
      break;
    body += toBigEndian(content.size(), 4) + content;
  }
  answer(response, 200, body, "application/octet-stream");
}

void StoreStandin::readNewest(const httplib::Request &request,
                              httplib::Response &response) {
  std::lock_guard lock(Mutex);
  ++Calls[request.path];
  const auto &records = Logs[request.get_param_value("topic")].Records;
  std::string after = request.get_param_value("after");
  std::map<std::string, size_t> offsets;
  for (size_t i = 0; i < records.size(); ++i)
    offsets[records[i].Key] = i;
  json items = json::array();
  size_t bytes = 0;
  bool more = false;
  for (const auto &[key, offset] : offsets) {
    const auto &value = records[offset].Value;
    if (!value || (!after.empty() && key <= after))
      continue;
    std::string encoded = toBase64(*value);
    more = items.size() == MaxPageRecords ||
           (!items.empty() && bytes + encoded.size() > MaxPageBytes);
    if (more)
      break;
    bytes += encoded.size();
    items.push_back({{"key", key}, {"value", encoded}, {"offset", offset}});
  }
  answer(
      response, 200,
      json{{"items", items}, {"more", more}, {"end", records.size()}}.dump());
}

} // namespace Support
