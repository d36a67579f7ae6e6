#include "store.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

namespace Review {

namespace {

using nlohmann::json;

/// Time of one answer of the store.
constexpr Milliseconds AnswerTime{2};
constexpr std::chrono::minutes IdleTimeout{5};

std::string reply(int status, const std::string &body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Answer\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

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

} // namespace

Store::Store(const std::string &ip)
    : Server(ip, [this](Stream &stream) { serve(stream); }) {}

Clock::time_point Store::put(const std::string &topic, const std::string &key,
                             const std::optional<std::string> &value) {
  std::lock_guard lock(Mutex);
  Topics[topic].push_back({key, value});
  Appended.notify_all();
  return Clock::now();
}

std::optional<std::string> Store::newest(const std::string &topic,
                                         const std::string &key) {
  std::lock_guard lock(Mutex);
  std::optional<std::string> out;
  for (const Record &it : Topics[topic])
    if (it.Key == key)
      out = it.Value;
  return out;
}

void Store::serve(Stream &stream) {
  while (auto request = readMessage(stream, Clock::now() + IdleTimeout)) {
    std::string bytes = answer(*request);
    std::this_thread::sleep_for(AnswerTime);
    if (!stream.send(bytes))
      return;
  }
}

std::string Store::answer(const Message &request) {
  const std::string &target = request.Second;
  if (target.rfind("/v1/log-append?", 0) == 0)
    return append(request);
  if (target.rfind("/v1/log-read?", 0) == 0)
    return readFrom(request);
  if (target.rfind("/v1/log-newest?", 0) == 0)
    return readNewest(request);
  return reply(404, "{}");
}

std::string Store::append(const Message &request) {
  std::lock_guard lock(Mutex);
  auto &records = Topics[queryValue(request.Second, "topic")];
  std::string at = queryValue(request.Second, "at");
  if (!at.empty() && std::stoull(at) != records.size())
    return reply(412, json{{"end", records.size()}}.dump());
  const std::string &body = request.Body;
  constexpr size_t lengthBytes = 4;
  size_t first = records.size();
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
  Appended.notify_all();
  return reply(200, json{{"offset", first}, {"end", records.size()}}.dump());
}

std::string Store::readFrom(const Message &request) {
  std::unique_lock lock(Mutex);
  auto &records = Topics[queryValue(request.Second, "topic")];
  size_t from = std::stoull(queryValue(request.Second, "from"));
  std::string wait = queryValue(request.Second, "wait_ms");
  if (!wait.empty())
    Appended.wait_for(lock, Milliseconds(std::stoul(wait)),
                      [&] { return records.size() > from; });
  std::string body = toBigEndian(records.size(), 8) + toBigEndian(0, 8);
  for (size_t i = from; i < records.size(); ++i) {
    std::string content = toBigEndian(records[i].Key.size(), 1) +
                          records[i].Key + records[i].Value.value_or("");
    body += toBigEndian(content.size(), 4) + content;
  }
  return reply(200, body);
}

std::string Store::readNewest(const Message &request) {
  std::lock_guard lock(Mutex);
  const auto &records = Topics[queryValue(request.Second, "topic")];
  std::map<std::string, size_t> offsets;
  for (size_t i = 0; i < records.size(); ++i)
    offsets[records[i].Key] = i;
  json items = json::array();
  for (const auto &[key, offset] : offsets)
    if (const auto &value = records[offset].Value)
      items.push_back(
          {{"key", key}, {"value", toBase64(*value)}, {"offset", offset}});
  return reply(
      200,
      json{{"items", items}, {"more", false}, {"end", records.size()}}.dump());
}

} // namespace Review
