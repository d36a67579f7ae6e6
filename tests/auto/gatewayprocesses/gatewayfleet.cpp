#include "gatewayprocesses/gatewayfleet.h"

#include "support/cluster.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <unistd.h>

namespace Support {

namespace {

using nlohmann::json;

/// Ports of each gateway, at an address of its own and below the range from
/// which the system takes those of outgoing connections.
enum Port : uint16_t {
  FrontPort = 18080,
  ReadyPort = 18081,
  MetricsPort = 18082,
  FirstInternalPort = 18100,
  LastInternalPort = 18115,
};
constexpr size_t EndpointThreads = 32;
constexpr size_t EndpointKeepAliveCalls = 1'000'000;
/// Bytes of each log that a failed wait prints.
constexpr size_t ShownLogBytes = 4000;

int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string makeDirectory() {
  std::string name =
      std::filesystem::temp_directory_path() / "hickory-gateways-XXXXXX";
  if (!mkdtemp(name.data()))
    throw std::runtime_error("cannot create a temporary directory");
  return name;
}

json service(const std::string &name) {
  return {{"name", name},
          {"health_path", "/health"},
          {"connection_limit", 110},
          {"protocol", "h1"},
          {"tls", false}};
}

json bounds() {
  return {{"drain_ms", 2000},
          {"grace_s", 8},
          {"configuration_apply_ms", 2000},
          {"revoke_ms", 5000},
          {"retry_budget_ratio", 0.2},
          {"budget_window_s", 10},
          {"retry_budget_slack", 56},
          {"quota_window_s", 8},
          {"quota_overshoot", 0.1},
          {"quota_slack", 110000},
          {"require_fencing", true},
          {"lease_ms", 3000},
          {"thaw_slack_ms", 300},
          {"ceiling_window_s", 5},
          {"ceiling_overshoot", 1.1}};
}

} // namespace

EndpointStandin::EndpointStandin(std::string id, std::string service,
                                 StoreStandin &store,
                                 std::vector<std::string> models)
    : Id(std::move(id)), Service(std::move(service)), Store(store),
      Models(std::move(models)), StartedUnixMs(unixMs()) {
  Server.new_task_queue = [] {
    return new httplib::ThreadPool(EndpointThreads);
  };
  Server.set_keep_alive_max_count(EndpointKeepAliveCalls);
  Server.set_tcp_nodelay(true);
  auto handler = [this](const auto &in, auto &out) { answer(in, out); };
  Server.Get(".*", handler);
  Server.Post(".*", handler);
  Port = uint16_t(Server.bind_to_any_port("127.0.0.1"));
  Listening = std::thread([this] { Server.listen_after_bind(); });
  eventually([this] { return Server.is_running(); });
  writeEntry();
}

EndpointStandin::~EndpointStandin() {
  Server.stop();
  Listening.join();
}

void EndpointStandin::writeEntry() {
  json entry = {{"service", Service},
                {"address", "127.0.0.1:" + std::to_string(Port)},
                {"zone", "zone-a"},
                {"version", "1"},
                {"slots", 16},
                {"state", "ready"},
                {"cold_remaining_ms", 0},
                {"sequence", ++Sequence},
                {"models", modelList()},
                {"born", StartedUnixMs}};
  Store.put("keyed.servers", Id, entry.dump());
}

void EndpointStandin::answer(const httplib::Request &request,
                             httplib::Response &response) {
  response.set_header("Instance-Id", Id);
  if (request.has_header("Request-Id"))
    response.set_header("Request-Id", request.get_header_value("Request-Id"));
  std::string expected = request.get_header_value("Expect-Instance");
  if (!expected.empty() && expected != Id) {
    response.status = 421;
    return;
  }
  if (request.path == "/v1/order")
    return carryOut(request, response);
  if (request.path == "/v1/report")
    return response.set_content(json{{"stage", "combined"},
                                     {"models", modelList()},
                                     {"busy", false},
                                     {"sequence", int(Orders)}}
                                    .dump(),
                                "application/json");
  std::string model = request.get_header_value("Model");
  bool isHeld = model.empty();
  for (const json &it : modelList())
    isHeld |= it["name"] == model;
  if (!isHeld) {
    response.status = 421;
    return;
  }
  Calls += request.path != "/health";
  if (request.path != "/health")
    response.set_header("Response-Seal", "seal-of-" + Id);
  response.set_content("served by " + Id, "text/plain");
}

json EndpointStandin::modelList() {
  std::lock_guard lock(Mutex);
  json out = json::array();
  for (const std::string &it : Models)
    out.push_back({{"name", it}, {"version", 1}, {"adapters", json::array()}});
  return out;
}

void EndpointStandin::carryOut(const httplib::Request &order,
                               httplib::Response &response) {
  json body = json::parse(order.body);
  std::lock_guard lock(Mutex);
  if (body.value("precondition", int(Orders)) != Orders) {
    response.status = 409;
    return;
  }
  if (body["operation"] == "load")
    Models.push_back(body["model"]);
  else
    std::erase(Models, body["model"].get<std::string>());
  ++Orders;
  response.status = 202;
}

GatewayFleet::GatewayFleet(int gateways, const std::string &configuration)
    : Directory(makeDirectory()), Gateways(size_t(gateways)) {
  if (!configuration.empty())
    configureText(configuration);
  for (const char *id : {"desk-1", "desk-2"})
    Endpoints.push_back(std::make_unique<EndpointStandin>(id, "desk", Store));
  for (int i = 0; i < gateways; ++i)
    StoreDoors.push_back(Store.openDoor(nameOf(i)));
  for (int i = 0; i < gateways; ++i)
    start(i, true);
}

GatewayFleet::~GatewayFleet() {
  // Closes the connections for which the stand-ins' threads wait.
  Gateways.clear();
  std::filesystem::remove_all(Directory);
}

std::string GatewayFleet::nameOf(int gateway) {
  return "front-" + std::to_string(gateway);
}

std::string GatewayFleet::ipOf(int gateway) const {
  constexpr int perByte = 250;
  int own = int(getpid());
  return "127." + std::to_string(1 + own / perByte % perByte) + "." +
         std::to_string(1 + own % perByte) + "." +
         std::to_string(101 + gateway);
}

std::string GatewayFleet::pathOf(int gateway, const char *suffix) const {
  return Directory + "/" + nameOf(gateway) + suffix;
}

void GatewayFleet::writeSettings(int gateway, bool firstStart) const {
  std::string ip = ipOf(gateway);
  auto at = [&](uint16_t port) { return ip + ":" + std::to_string(port); };
  json settings = {
      {"node_name", nameOf(gateway)},
      {"ip_address", ip},
      {"zone", "zone-a"},
      {"region", "region"},
      {"zones", {{"zone-a", "region"}}},
      {"listen_addresses",
       {{"front", at(FrontPort)}, {"ready", at(ReadyPort)}}},
      {"internal_port_range", {FirstInternalPort, LastInternalPort}},
      {"seeds", json::array()},
      {"bootstrap", firstStart},
      {"limits",
       {{"cpu_share", 0.25},
        {"cores", 1},
        {"memory_mb", 260},
        {"link_mbps", 1000.0}}},
      {"heartbeat_interval_ms", 1200},
      {"bounds", bounds()},
      {"platform",
       {{"address", StoreDoors[size_t(gateway)]}, {"form", "log"}}}};
  std::ofstream(pathOf(gateway, ".json")) << settings.dump(2);
}

void GatewayFleet::start(int gateway, bool firstStart) {
  writeSettings(gateway, firstStart);
  Gateways[size_t(gateway)] =
      Child({HICKORY_BINARY, "gateway",
             "--metrics_port=" + std::to_string(MetricsPort)},
            pathOf(gateway, ".log"),
            {"HICKORYSPRING_CONFIG=" + pathOf(gateway, ".json")});
}

ClientAnswer GatewayFleet::call(int gateway, const ClientCall &call) const {
  static std::atomic<int> sent = 0;
  httplib::Client client(ipOf(gateway), FrontPort);
  client.set_read_timeout(std::chrono::seconds(5));
  httplib::Request request;
  request.method = call.Method;
  request.path = call.Path;
  request.headers = {{"Host", call.Host},
                     {"Request-Id", "call-" + std::to_string(++sent)},
                     {"Deadline-Milliseconds", "2000"},
                     {"Credential", call.Key}};
  if (!call.Model.empty())
    request.headers.emplace("Model", call.Model);
  auto result = client.send(request);
  if (!result)
    return {};
  return {result->status, result->get_header_value("Retry-After")};
}

bool GatewayFleet::awaitStatus(int status, const ClientCall &call,
                               std::chrono::milliseconds timeout) {
  std::vector<int> last(Gateways.size());
  bool reached = eventually(
      [&] {
        for (int i = 0; i < size(); ++i)
          if (last[size_t(i)] != status)
            last[size_t(i)] = this->call(i, call).Status;
        return std::all_of(last.begin(), last.end(),
                           [&](int it) { return it == status; });
      },
      timeout);
  if (reached)
    return true;
  std::cout << "expected " << status << " for " << call.Path << ":\n";
  for (int i = 0; i < size(); ++i) {
    std::string log = logOf(i);
    std::cout << "front-" << i << " answers " << last[size_t(i)]
              << "; its log ends with:\n"
              << log.substr(log.size() - std::min(log.size(), ShownLogBytes));
  }
  return false;
}

bool GatewayFleet::awaitReady() {
  return eventually(
      [this] {
        for (int i = 0; i < size(); ++i) {
          httplib::Client client(ipOf(i), ReadyPort);
          auto result = client.Get("/v1/readiness");
          if (!result || result->status != 200)
            return false;
        }
        return true;
      },
      std::chrono::seconds(40));
}

std::string GatewayFleet::logOf(int gateway) const {
  return readFile(pathOf(gateway, ".log"));
}

std::string GatewayFleet::metricsOf(int gateway) const {
  httplib::Client client(ipOf(gateway), MetricsPort);
  auto result = client.Get("/metrics");
  return result ? result->body : "";
}

json GatewayFleet::route(const std::string &name) {
  return {{"name", name},
          {"host", "desk.example"},
          {"path_prefix", "/" + name + "/"},
          {"kind", "safe"},
          {"timeout_ms", 1500},
          {"target_latency_ms", 100},
          {"priority", 2},
          {"service", "desk"},
          {"attempts", 2},
          {"public", false},
          {"sticky_sessions", false},
          {"resumable", false}};
}

json GatewayFleet::desk(int version) {
  return {{"version", version},
          {"routes", json::array({route("old")})},
          {"services", json::array({service("desk")})},
          {"tenants",
           json::array({{{"name", "club"},
                         {"access_keys", json::array({"key-of-the-club"})}}})},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

json GatewayFleet::deskWithRoute(int version) {
  json out = desk(version);
  out["routes"].push_back(route("added"));
  return out;
}

} // namespace Support
