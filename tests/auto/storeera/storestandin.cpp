#include "storestandin.h"

#include "utils/digest.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using nlohmann::json;

namespace {

std::map<std::string, std::string> queryOf(const std::string &target) {
  std::map<std::string, std::string> out;
  size_t at = target.find('?');
  while (at != std::string::npos) {
    size_t next = target.find('&', at + 1);
    std::string item = target.substr(at + 1, next - at - 1);
    size_t equals = item.find('=');
    out[item.substr(0, equals)] = item.substr(equals + 1);
    at = next;
  }
  return out;
}

std::string bigEndian(uint64_t value) {
  std::string out;
  for (int shift = 56; shift >= 0; shift -= 8)
    out.push_back(char(value >> shift & 0xff));
  return out;
}

} // namespace

StoreStandIn::Door &StoreStandIn::openDoor() {
  Door &door = Doors.emplace_back();
  HttpIo::Tcp::acceptor port(Loop, {asio::ip::address_v4::loopback(), 0});
  HttpIo::Tcp::endpoint address = port.local_endpoint();
  port.close();
  door.Address = "127.0.0.1:" + std::to_string(address.port());
  door.Policy = std::make_shared<HttpIo::ServerPolicy>();
  door.Policy->OnRequest = [this, &door](const auto &caller, auto request) {
    handle(door, caller, request);
  };
  door.Listener = std::make_unique<HttpIo::Listener>(Loop, door.Policy);
  std::error_code ec;
  door.Listener->start(address, ec);
  REQUIRE_FALSE(ec);
  return door;
}

void StoreStandIn::write(const std::string &topic, const std::string &key,
                         std::optional<std::string> value) {
  Data[topic].push_back({key, std::move(value)});
  answerPolls(topic);
}

void StoreStandIn::comeBackFrom(Topics topics) {
  Data = std::move(topics);
  ++Era;
}

void StoreStandIn::respond(const HttpIo::ServerConnectionRef &caller,
                           unsigned status, const std::string &body) const {
  Http::ResponseHead head{status, "", {}};
  head.Headers.add("Store-Era", std::to_string(Era));
  caller->respond(head, body);
}

void StoreStandIn::handle(Door &door, const HttpIo::ServerConnectionRef &caller,
                          const Http::Request &request) {
  Query query = queryOf(request.Target);
  const std::string &topic = query["topic"];
  if (door.Rejected.count(topic) > 0)
    return respond(caller, 503);
  if (request.Target.starts_with("/v1/log-newest"))
    return readNewest(caller, topic);
  if (request.Target.starts_with("/v1/log-read"))
    return readLog(caller, topic, query);
  append(caller, topic, query, request.Body);
}

void StoreStandIn::readNewest(const HttpIo::ServerConnectionRef &caller,
                              const std::string &topic) {
  const Topic &records = Data[topic];
  std::map<std::string, size_t> newest;
  for (size_t i = 0; i < records.size(); ++i)
    newest[records[i].Key] = i;
  json items = json::array();
  for (const auto &[key, offset] : newest)
    if (const auto &value = records[offset].Value)
      items.push_back({{"key", key},
                       {"value", Utils::toBase64(*value)},
                       {"offset", offset}});
  ++Reads[topic];
  respond(caller, 200,
          json({{"items", items}, {"more", false}, {"end", records.size()}})
              .dump());
}

void StoreStandIn::readLog(const HttpIo::ServerConnectionRef &caller,
                           const std::string &topic, const Query &query) {
  uint64_t from = std::stoull(query.at("from"));
  auto wait = query.find("wait_ms");
  if (from != endOf(topic) || wait == query.end())
    return answerLogRead(caller, topic, from);
  auto poll =
      Polls.insert(Polls.end(), {topic, from, caller,
                                 std::make_unique<HttpIo::Timer>(Loop)});
  poll->End->expires_after(std::chrono::milliseconds(std::stoi(wait->second)));
  poll->End->async_wait([this, poll](const std::error_code &ec) {
    if (ec)
      return;
    Poll ended = std::move(*poll);
    Polls.erase(poll);
    if (auto it = ended.Caller.lock())
      answerLogRead(it, ended.Topic, ended.From);
  });
}

void StoreStandIn::answerLogRead(const HttpIo::ServerConnectionRef &caller,
                                 const std::string &topic, uint64_t from) {
  const Topic &records = Data[topic];
  if (from > records.size())
    return respond(caller, 410, R"({"first":0})");
  std::string body = bigEndian(records.size()) + bigEndian(0);
  for (size_t i = from; i < records.size(); ++i)
    body += Platform::encodeKeyedRecord(records[i].Key,
                                        records[i].Value.value_or(""));
  ++Reads[topic];
  respond(caller, 200, body);
}

void StoreStandIn::append(const HttpIo::ServerConnectionRef &caller,
                          const std::string &topic, const Query &query,
                          const std::string &body) {
  if (std::stoull(query.at("at")) != endOf(topic))
    return respond(caller, 412, json({{"end", endOf(topic)}}).dump());
  constexpr size_t lengthBytes = 4;
  size_t keyLength = uint8_t(body[lengthBytes]);
  write(topic, body.substr(lengthBytes + 1, keyLength),
        body.substr(lengthBytes + 1 + keyLength));
  respond(caller, 200,
          json({{"offset", endOf(topic) - 1}, {"end", endOf(topic)}}).dump());
}

/// Answers the polls of the topic that wait for its newest record. Those of an
/// earlier era stay open.
void StoreStandIn::answerPolls(const std::string &topic) {
  for (auto it = Polls.begin(); it != Polls.end();) {
    auto poll = it++;
    if (poll->Topic != topic || poll->From >= endOf(topic))
      continue;
    Poll ended = std::move(*poll);
    Polls.erase(poll);
    ended.End->cancel();
    if (auto caller = ended.Caller.lock())
      answerLogRead(caller, ended.Topic, ended.From);
  }
}
