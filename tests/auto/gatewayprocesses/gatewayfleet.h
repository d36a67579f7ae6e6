#ifndef GATEWAYPROCESSES_GATEWAYFLEET_H
#define GATEWAYPROCESSES_GATEWAYFLEET_H

#include "gatewayprocesses/storestandin.h"
#include "support/child.h"

#include <atomic>
#include <memory>
#include <nlohmann/json.hpp>

namespace Support {

/// An endpoint that answers every call with 200, but for calls of a model that
/// it does not hold. It writes its entry once, when it starts.
class EndpointStandin {
public:
  EndpointStandin(std::string id, std::string service, StoreStandin &store,
                  std::vector<std::string> models = {});
  ~EndpointStandin();
  EndpointStandin(const EndpointStandin &) = delete;
  EndpointStandin &operator=(const EndpointStandin &) = delete;

  const std::string &id() const { return Id; }
  /// Writes the entry again with the next sequence number.
  void writeEntry();
  /// Calls that were answered 200, and orders that were carried out.
  int calls() const { return Calls; }
  int orders() const { return Orders; }

private:
  void answer(const httplib::Request &request, httplib::Response &response);
  void carryOut(const httplib::Request &order, httplib::Response &response);
  nlohmann::json modelList();

  std::string Id;
  std::string Service;
  StoreStandin &Store;
  uint64_t Sequence = 0;
  std::mutex Mutex;
  std::vector<std::string> Models;
  std::atomic<int> Calls = 0;
  std::atomic<int> Orders = 0;
  int64_t StartedUnixMs;
  uint16_t Port = 0;
  httplib::Server Server;
  std::thread Listening;
};

/// A call of a client to one gateway.
struct ClientCall {
  std::string Path = "/old/x";
  std::string Host = "desk.example";
  std::string Key = "key-of-the-club";
  std::string Method = "GET";
  /// Empty for a call without a model.
  std::string Model{};
};

struct ClientAnswer {
  /// 0 if the connection ended without an answer.
  int Status = 0;
  /// Empty if the header is absent.
  std::string RetryAfter;
};

/// Gateway processes that follow a stand-in of the store, with two endpoints of
/// each service of desk().
class GatewayFleet {
public:
  /// Writes desk(1), unless `configuration` is another one. With an empty
  /// text, no configuration is written.
  explicit GatewayFleet(int gateways,
                        const std::string &configuration = desk(1).dump());
  ~GatewayFleet();
  GatewayFleet(const GatewayFleet &) = delete;
  GatewayFleet &operator=(const GatewayFleet &) = delete;

  StoreStandin &store() { return Store; }
  int size() const { return int(Gateways.size()); }
  std::vector<std::unique_ptr<EndpointStandin>> &endpoints() {
    return Endpoints;
  }

  /// Writes a record of the configuration.
  void configure(const nlohmann::json &configuration) {
    configureText(configuration.dump());
  }
  void configureText(const std::string &text) {
    Store.put("keyed.op", "config", text);
  }
  /// Name of the gateway, also of its door of the store.
  static std::string nameOf(int gateway);
  ClientAnswer call(int gateway, const ClientCall &call = {}) const;
  /// Waits until each gateway answers the call with this status. Otherwise
  /// returns false and prints the answers and the ends of the logs.
  bool
  awaitStatus(int status, const ClientCall &call = {},
              std::chrono::milliseconds timeout = std::chrono::seconds(20));
  /// Waits until each gateway reports to be ready.
  bool awaitReady();
  void start(int gateway, bool firstStart = false);
  void kill(int gateway) { Gateways[size_t(gateway)].kill(); }
  /// Output of the process so far.
  std::string logOf(int gateway) const;
  /// Text of the metrics page; empty if the process does not answer.
  std::string metricsOf(int gateway) const;

  /// Configuration of that version: a safe route "old" of the host
  /// desk.example at /old/ to the service "desk", and one tenant.
  static nlohmann::json desk(int version);
  /// A safe route /NAME/ of that host to the service "desk".
  static nlohmann::json route(const std::string &name);
  /// desk() and the added route "added".
  static nlohmann::json deskWithRoute(int version);

private:
  std::string ipOf(int gateway) const;
  std::string pathOf(int gateway, const char *suffix) const;
  /// Addresses of the store by gateway.
  std::vector<std::string> StoreDoors;
  void writeSettings(int gateway, bool firstStart) const;

  std::string Directory;
  StoreStandin Store;
  std::vector<std::unique_ptr<EndpointStandin>> Endpoints;
  std::vector<Child> Gateways;
};

} // namespace Support

#endif // GATEWAYPROCESSES_GATEWAYFLEET_H
