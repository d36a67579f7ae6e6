#include "engine/engine.h"
#include "utils/decodejson.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace Engine {

namespace {

using Json = nlohmann::json;
using Utils::Errc;

constexpr Utils::Milliseconds ConnectTimeout(2000);
constexpr Utils::Milliseconds ReportTimeout(2000);
constexpr Utils::Milliseconds UsageTimeout(1000);
/// Long, so that an order is not given up on while a slow engine works on it.
constexpr Utils::Milliseconds OrderTimeout(10000);
constexpr int HttpConflict = 409;

HeldPhase phaseOf(const std::string &name) {
  if (name == "ready")
    return HeldPhase::Ready;
  return name == "unloading" ? HeldPhase::Unloading : HeldPhase::Loading;
}

Json orderBody(const Order &order) {
  return {{"replica", order.ReplicaId},  {"model", order.Model},
          {"base", order.Base},          {"weights", order.Weights},
          {"memory_mb", order.MemoryMb}, {"fence", order.Decision}};
}

httplib::Client makeClient(const std::string &host, uint16_t port,
                           Utils::Milliseconds timeout) {
  httplib::Client client(host, port);
  client.set_connection_timeout(ConnectTimeout);
  client.set_read_timeout(timeout);
  return client;
}

Utils::Outcome<OrderAnswer> sendOrder(const std::string &host, uint16_t port,
                                      const char *path, const Order &order) {
  httplib::Client client = makeClient(host, port, OrderTimeout);
  auto result = client.Post(path, orderBody(order).dump(), "application/json");
  if (!result) {
    bool unsent = result.error() == httplib::Error::Connection;
    return Utils::failure(unsent ? Errc::Unavailable : Errc::UnknownResult,
                          "engine order: " +
                              httplib::to_string(result.error()));
  }
  if (result->status == HttpConflict)
    return Utils::failure(Errc::Conflict, "engine order: " + result->body);
  if (result->status / 100 != 2)
    return Utils::failure(Errc::InvalidArgument,
                          "engine order: " + result->body);
  Json body = Json::parse(result->body, nullptr, false);
  bool gone = body.is_object() && body.value("state", Json()) == "gone";
  return gone ? OrderAnswer::Gone : OrderAnswer::Taken;
}

Report reportIn(const Json &body) {
  Report report;
  for (const Json &it : body.at("models"))
    report.Models.push_back(
        {it.at("model").get<std::string>(), it.at("replica").get<std::string>(),
         phaseOf(it.at("state").get<std::string>()),
         it.at("fence").get<uint64_t>(), it.value("running", 0U),
         it.value("served", uint64_t{0})});
  report.CachedInMemory =
      body.value("cached_in_memory", std::vector<std::string>());
  report.CachedOnDisk =
      body.value("cached_on_disk", std::vector<std::string>());
  report.MemoryUsedMb = body.value("memory_used_mb", uint64_t{0});
  report.Running = body.value("running", 0U);
  report.Queued = body.value("queued", 0U);
  return report;
}

UsageReport usageIn(const Json &body) {
  return {body.at("running").get<uint32_t>(), body.value("queued", 0U)};
}

/// A GET's answer as `decode` reads it.
template <class Decode>
auto readJson(httplib::Client client, const char *path, const std::string &what,
              const Decode &decode)
    -> Utils::Outcome<decltype(decode(Json()))> {
  auto result = client.Get(path);
  if (!result)
    return Utils::failure(Errc::Unavailable,
                          what + ": " + httplib::to_string(result.error()));
  return Utils::decodeJson(Json::parse(result->body, nullptr, false), what,
                           decode);
}

Utils::Outcome<Report> readState(const std::string &host, uint16_t port) {
  return readJson(makeClient(host, port, ReportTimeout), "/admin/state",
                  "engine report", reportIn);
}

Utils::Outcome<UsageReport> readUsage(const std::string &host, uint16_t port) {
  httplib::Client client = makeClient(host, port, UsageTimeout);
  client.set_connection_timeout(UsageTimeout);
  return readJson(std::move(client), "/admin/usage", "engine usage", usageIn);
}

} // namespace

EngineApi makeHttpEngine(const std::string &host, uint16_t port,
                         std::shared_ptr<ConnectionPool> connections) {
  EngineApi api;
  api.Load = [=](const Order &order) {
    return sendOrder(host, port, "/admin/load", order);
  };
  api.Unload = [=](const Order &order) {
    return sendOrder(host, port, "/admin/unload", order);
  };
  api.State = [=] { return readState(host, port); };
  api.Usage = [=] { return readUsage(host, port); };
  api.Calls = makeHttpService(host, port, std::move(connections));
  return api;
}

} // namespace Engine
