#include "support/cluster.h"

#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <mutex>
#include <sstream>
#include <stdexcept>

namespace Support {

namespace {

constexpr std::chrono::milliseconds PollInterval(10);
constexpr std::chrono::seconds ResponseTimeout(60);

std::string makeTempDirectory() {
  std::string name =
      std::filesystem::temp_directory_path() / "hickory-test-XXXXXX";
  if (!mkdtemp(name.data()))
    throw std::runtime_error("cannot create a temporary directory");
  return name;
}

httplib::Client makeClient(uint16_t port) {
  httplib::Client client("127.0.0.1", port);
  client.set_read_timeout(ResponseTimeout);
  client.set_tcp_nodelay(true);
  return client;
}

uint16_t parsePort(const std::string &address) {
  return static_cast<uint16_t>(
      std::stoi(address.substr(address.find(':') + 1)));
}

} // namespace

Json Reply::json() const {
  Json body = Json::parse(Body, nullptr, false);
  return body.is_discarded() ? Json() : body;
}

std::string Reply::error(const char *member) const {
  Json body = json();
  if (!body.is_object() || !body.contains("error"))
    return {};
  return body["error"].value(member, std::string());
}

bool eventually(const std::function<bool()> &predicate,
                std::chrono::milliseconds timeout) {
  std::mutex mutex;
  std::condition_variable neverNotified;
  std::unique_lock lock(mutex);
  auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!predicate()) {
    if (std::chrono::steady_clock::now() >= deadline)
      return false;
    neverNotified.wait_for(lock, PollInterval);
  }
  return true;
}

std::string basicTable(const std::string &keyHash,
                       const std::vector<std::string> &models) {
  std::ostringstream csv;
  csv << "kind,name,teams,weights,memory_mb,kv_cache_mb,max_replicas,"
         "rate_tokens_per_s,burst_tokens,prefix,idempotent,team,key_hash\n"
      << "team,kitchen,,,,,,100000,1000000,,,,\n"
      << "service,desk,kitchen,,,,,,,/desk,no,,\n"
      << "key,kitchen-1,,,,,,,,,,kitchen," << keyHash << '\n';
  for (const std::string &model : models)
    csv << "model," << model << ",kitchen,store/" << model
        << ",8000,2000,2,,,,,,\n";
  return csv.str();
}

std::string sharedModelTable(const std::string &keyHash) {
  return "kind,name,teams,weights,memory_mb,min_replicas,max_replicas,"
         "rate_tokens_per_s,burst_tokens,team,key_hash\n"
         "team,kitchen,,,,,,100000,1000000,,\n"
         "model,menu-small,kitchen,store/small,8000,2,2,,,,\n"
         "model,menu-large,kitchen,store/large,8000,,1,,,,\n"
         "key,kitchen-1,,,,,,,,kitchen," +
         keyHash + "\n";
}

std::string completionBody(const std::string &model, const std::string &prompt,
                           int maxTokens, bool stream) {
  return Json{{"model", model},
              {"prompt", prompt},
              {"max_tokens", maxTokens},
              {"stream", stream}}
      .dump();
}

Cluster::Cluster(ClusterOptions options)
    : Options(std::move(options)), Directory(makeTempDirectory()),
      NetworkProxy(Options.Seed),
      Daemons(static_cast<size_t>(Options.Daemons)) {
  startStandins();
  for (int i = 0; i < Options.Daemons; ++i)
    writeSettings(i);
}

Cluster::~Cluster() {
  for (Child &it : Daemons)
    it.kill();
  Standins.terminate();
  std::filesystem::remove_all(Directory);
}

void Cluster::startStandins() {
  std::vector<std::string> args = {
      STANDINS_BINARY, "--out=" + Directory,
      "--daemons=" + std::to_string(Options.Daemons),
      "--engines=" + std::to_string(Options.Engines),
      "--services=" + std::to_string(Options.Services)};
  args.insert(args.end(), Options.StandinFlags.begin(),
              Options.StandinFlags.end());
  Standins = Child(args, pathOf("standins.log"));
  bool ready = eventually([this] {
    return readFile(pathOf("standins.log")).find("ready") != std::string::npos;
  });
  if (!ready)
    throw std::runtime_error("the stand-ins did not report ready in time");
  Json manifest = Json::parse(readFile(pathOf("standins.json")));
  Platform = manifest["platform"];
  Vms = manifest["vms"];
  for (const char *it : {"log", "vm_list", "weight_store"})
    Ports[it] = parsePort(Platform[it].get<std::string>());
  for (Json &vm : Vms) {
    std::string name = vm["name"].get<std::string>();
    Ports[name] = vm["port"].get<uint16_t>();
    vm["port"] =
        NetworkProxy.addLink(name, FaultProxy::Transport::Tcp, Ports[name]);
  }
  control("vm_list", {{"vms", Vms}});
}

void Cluster::writeSettings(int i) {
  std::string name = "d" + std::to_string(i);
  Json settings = Json::parse(readFile(pathOf(name + ".json")));
  uint16_t port = NetworkProxy.addLink(
      "log-" + name, FaultProxy::Transport::Tcp, Ports["log"]);
  settings["platform"]["log"] = "127.0.0.1:" + std::to_string(port);
  settings.merge_patch(Options.Settings);
  if (Options.AdjustSettings)
    Options.AdjustSettings(NetworkProxy, i, settings);
  std::ofstream(pathOf(name + ".json")) << settings.dump(2);
}

RunResult Cluster::command(std::vector<std::string> args) const {
  args.insert(args.begin(), HICKORY_BINARY);
  args.push_back("--settings=" + pathOf("d0.json"));
  return runToCompletion(args);
}

std::string Cluster::newKey() {
  std::istringstream out(
      runToCompletion({HICKORY_BINARY, "key", "new"}).Output);
  std::string word;
  std::string key;
  out >> word >> key;
  return key;
}

RunResult Cluster::tryImportTable(const std::string &csv) const {
  std::ofstream(pathOf("table.csv")) << csv;
  return command({"table", "import", pathOf("table.csv")});
}

void Cluster::importTable(const std::string &csv) {
  RunResult result = tryImportTable(csv);
  if (result.ExitCode != 0)
    throw std::runtime_error("table import failed: " + result.Output);
}

void Cluster::startDaemon(int i) {
  std::string name = "d" + std::to_string(i);
  daemon(i) =
      Child({HICKORY_BINARY, "serve", "--settings=" + pathOf(name + ".json")},
            pathOf(name + ".log"));
}

void Cluster::startAll() {
  for (int i = 0; i < Options.Daemons; ++i)
    startDaemon(i);
  for (int i = 0; i < Options.Daemons; ++i)
    if (!waitReady(i) || !waitForEndpoints(i))
      throw std::runtime_error("daemon not ready: " + daemonLog(i));
}

bool Cluster::waitReady(int i, int status) const {
  return eventually([this, i, status] {
    return send(i, "GET", "/readyz", "", {}).Status == status;
  });
}

bool Cluster::waitForEndpoints(int i) const {
  return eventually([this, i] {
    return status(i).value("endpoints", Json::array()).size() == Vms.size();
  });
}

uint16_t Cluster::httpPort(int daemon) const {
  Json settings =
      Json::parse(readFile(pathOf("d" + std::to_string(daemon) + ".json")));
  return settings["daemon"]["http_port"].get<uint16_t>();
}

std::string Cluster::adminAddress(int daemon) const {
  Json settings =
      Json::parse(readFile(pathOf("d" + std::to_string(daemon) + ".json")));
  return "127.0.0.1:" +
         std::to_string(settings["daemon"]["admin_port"].get<uint16_t>());
}

Reply Cluster::send(int daemon, const std::string &method,
                    const std::string &path, const std::string &body,
                    const Headers &headers) const {
  httplib::Client client = makeClient(httpPort(daemon));
  httplib::Request request;
  request.method = method;
  request.path = path;
  request.body = body;
  for (const auto &[name, value] : headers)
    request.set_header(name, value);
  if (!body.empty() && !request.has_header("Content-Type"))
    request.set_header("Content-Type", "application/json");
  auto result = client.send(request);
  Reply reply;
  reply.Refused = result.error() == httplib::Error::Connection;
  if (!result)
    return reply;
  reply.Status = result->status;
  reply.Body = result->body;
  for (const auto &[name, value] : result->headers)
    reply.Headers[name] = value;
  return reply;
}

Reply Cluster::post(int daemon, const std::string &path,
                    const std::string &body, const std::string &key,
                    const Headers &extraHeaders) const {
  Headers headers = extraHeaders;
  headers.emplace("Authorization", "Bearer " + key);
  return send(daemon, "POST", path, body, headers);
}

std::vector<std::string> Cluster::stream(int daemon, const std::string &body,
                                         const std::string &key,
                                         size_t events) const {
  httplib::Client client = makeClient(httpPort(daemon));
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/completions";
  request.body = body;
  request.set_header("Content-Type", "application/json");
  request.set_header("Authorization", "Bearer " + key);
  std::vector<std::string> received;
  std::string buffer;
  request.content_receiver = [&](const char *data, size_t n, uint64_t,
                                 uint64_t) {
    buffer.append(data, n);
    for (size_t end = buffer.find("\n\n");
         end != std::string::npos && received.size() < events;
         end = buffer.find("\n\n")) {
      received.push_back(buffer.substr(0, end));
      buffer.erase(0, end + 2);
    }
    return received.size() < events;
  };
  auto result = client.send(request);
  return received;
}

Json Cluster::status(int daemon) const {
  auto result = makeClient(parsePort(adminAddress(daemon))).Get("/status");
  return result ? Json::parse(result->body, nullptr, false) : Json::object();
}

Json Cluster::audit(int daemon) const {
  auto result = makeClient(parsePort(adminAddress(daemon))).Get("/audit");
  return result ? Json::parse(result->body, nullptr, false) : Json::array();
}

Json Cluster::control(const std::string &standin, const Json &body) const {
  auto result = makeClient(Ports.at(standin))
                    .Post("/control", body.dump(), "application/json");
  return result ? Json::parse(result->body, nullptr, false) : Json();
}

void Cluster::pauseTokens(bool paused) const {
  for (const Json &vm : Vms)
    if (vm["kind"] == "engine")
      control(vm["name"].get<std::string>(), {{"hold_tokens", paused}});
}

Json Cluster::get(const std::string &standin, const std::string &path) const {
  auto result = makeClient(Ports.at(standin)).Get(path);
  return result ? Json::parse(result->body, nullptr, false) : Json();
}

std::string Cluster::hashOf(const std::string &key) {
  std::string file = std::filesystem::temp_directory_path() /
                     ("hickory-key-" + std::to_string(getpid()));
  std::ofstream(file) << key << '\n';
  std::string command =
      std::string("exec ") + HICKORY_BINARY + " key hash < " + file;
  RunResult result = runToCompletion({"/bin/sh", "-c", command});
  std::filesystem::remove(file);
  return result.Output.substr(0, result.Output.find('\n'));
}

bool enforcesTimeLimits() {
  const char *text = std::getenv("HICKORY_TIMED");
  return text && std::string(text) == "1";
}

std::string Cluster::daemonLog(int i) const {
  return readFile(pathOf("d" + std::to_string(i) + ".log"));
}

} // namespace Support
