#include "fleet.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace Review {

namespace {

using nlohmann::json;

constexpr int CannotRun = 2;

/// The words of `run` in the deploy file, which is read in the repository's
/// root.
std::string deployCommand() {
  std::ifstream file("deploy/system.toml");
  std::string line;
  while (std::getline(file, line))
    if (line.rfind("run = \"", 0) == 0)
      return line.substr(7, line.rfind('"') - 7);
  std::cerr << "deploy/system.toml has no command\n";
  std::exit(CannotRun);
}

json route(const std::string &name, const std::string &kind, int attempts,
           const std::string &service) {
  return {{"name", name},
          {"host", "desk.example"},
          {"path_prefix", "/" + name + "/"},
          {"kind", kind},
          {"timeout_ms", 1500},
          {"target_latency_ms", 100},
          {"priority", 2},
          {"service", service},
          {"attempts", attempts},
          {"public", false},
          {"sticky_sessions", false},
          {"resumable", false}};
}

json service(const std::string &name) {
  return {{"name", name},
          {"health_path", "/health"},
          {"connection_limit", 110},
          {"protocol", "h1"},
          {"tls", false}};
}

} // namespace

std::string loopbackIp(int number) {
  constexpr int perByte = 250;
  int own = int(getpid());
  return "127." + std::to_string(1 + own / perByte % perByte) + "." +
         std::to_string(1 + own % perByte) + "." + std::to_string(number);
}

json deskConfiguration() {
  return {
      {"version", 1},
      {"routes",
       {route("book", "unsafe", 1, "desk"),
        route("view", "safe", 2, "roster")}},
      {"services", {service("desk"), service("roster")}},
      {"tenants", {{{"name", "club"}, {"access_keys", {"key-of-the-club"}}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 4194304},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}}};
}

Gateway::Gateway(int number, const std::string &folder, const Store &store,
                 Record &record)
    : Name("front-" + std::to_string(number)), Folder(folder),
      StoreAddress(store.address()), Ip(loopbackIp(100 + number)),
      Command(deployCommand()), Log(record) {
  Front = Ip + ":" + std::to_string(freePort(Ip));
  Ready = Ip + ":" + std::to_string(freePort(Ip));
  InternalPort = freePort(Ip);
}

Gateway::~Gateway() { kill(); }

void Gateway::start(bool firstStart) {
  json settings = {
      {"node_name", Name},
      {"role", "gateway"},
      {"machine_class", "front"},
      {"serves", {"front"}},
      {"ip_address", Ip},
      {"zone", "zone-a"},
      {"region", "region"},
      {"zones", {{"zone-a", "region"}}},
      {"listen_addresses", {{"front", Front}, {"ready", Ready}}},
      {"internal_port_range", {InternalPort, InternalPort + 15}},
      {"seeds", json::array()},
      {"bootstrap", firstStart},
      {"counts_toward_tolerance", false},
      {"limits",
       {{"cpu_share", 0.25},
        {"cores", 1},
        {"memory_mb", 260},
        {"file_descriptors", 4100},
        {"link_mbps", 1000.0},
        {"disk_mb", 0}}},
      {"data_directory", nullptr},
      {"discovery", "platform"},
      {"entry", "virtual_ip"},
      {"heartbeat_interval_ms", 1200},
      {"contracts", {"base", "drain", "config", "retry", "platform"}},
      {"fault_tolerance", {{"machines", 2}, {"zones", 0}, {"regions", 0}}},
      {"bounds",
       {{"seed_lag_s", 3},
        {"address_reuse_s", 2},
        {"contact_ms", 3000},
        {"acknowledge_ms", 4000},
        {"catch_up_s", 4},
        {"drain_ms", 2000},
        {"grace_s", 8},
        {"loss_slack_ms", 200},
        {"configuration_apply_ms", 2000},
        {"rollback_slack_ms", 250},
        {"outer_bound_ms", 5000},
        {"revoke_everywhere", true},
        {"revoke_ms", 5000},
        {"retry_budget_ratio", 0.2},
        {"budget_window_s", 10},
        {"retry_budget_slack", 56},
        {"quota_window_s", 8},
        {"quota_overshoot", 0.1},
        {"quota_slack", 110000},
        {"recovery_s", 12},
        {"pass_ms", 120},
        {"retry_after_s", 0},
        {"require_fencing", true},
        {"lease_ms", 3000},
        {"thaw_slack_ms", 300},
        {"ceiling_window_s", 5},
        {"ceiling_overshoot", 1.1}}},
      {"platform",
       {{"address", StoreAddress},
        {"form", "log"},
        {"writes_per_s", 400},
        {"reads_per_s", 2000},
        {"parts", 12},
        {"append_ms", 2.0},
        {"part_mb_per_s", 20.0},
        {"read_mb_per_s", 80.0},
        {"record_bytes", 262144},
        {"request_bytes", 2097152},
        {"keep_s", 20},
        {"partition_mb", 200},
        {"min_lifetime_ms", 1000}}}};
  std::string path = Folder + "/" + Name + ".json";
  std::ofstream(path) << settings.dump(2);
  std::vector<std::string> words;
  std::istringstream text(Command);
  for (std::string word; text >> word;)
    words.push_back(word);
  std::vector<char *> arguments;
  for (std::string &it : words)
    arguments.push_back(it.data());
  arguments.push_back(nullptr);
  std::string variable = "HICKORYSPRING_CONFIG=" + path;
  std::vector<char *> environment = {variable.data(), nullptr};
  std::string log = Folder + "/" + Name + ".log";
  int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  Log.write("start", {{"gateway", Name}});
  Pid = fork();
  if (Pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with the script in any case.
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execve(arguments[0], arguments.data(), environment.data());
    _exit(127);
  }
  close(out);
}

void Gateway::signal(int number) {
  Log.write("signal", {{"gateway", Name}, {"signal", strsignal(number)}});
  ::kill(Pid, number);
}

void Gateway::kill() {
  if (Pid < 0)
    return;
  signal(SIGKILL);
  waitpid(std::exchange(Pid, -1), nullptr, 0);
}

bool Gateway::hasEnded() {
  if (Pid < 0 || waitpid(Pid, nullptr, WNOHANG) != Pid)
    return false;
  Log.write("ended", {{"gateway", Name}});
  Pid = -1;
  return true;
}

bool Gateway::isReady() const {
  Stream probe = Stream::connect(Ready);
  if (!probe.isOpen() ||
      !probe.send("GET /v1/readiness HTTP/1.1\r\nHost: platform\r\n\r\n"))
    return false;
  auto answer = readMessage(probe, Clock::now() + std::chrono::seconds(1));
  return answer && answer->status() == 200;
}

bool awaitReady(const std::vector<std::unique_ptr<Gateway>> &gateways) {
  auto deadline = Clock::now() + std::chrono::seconds(20);
  for (const auto &it : gateways)
    while (!it->isReady()) {
      if (Clock::now() > deadline)
        return false;
      std::this_thread::sleep_for(Milliseconds(50));
    }
  return true;
}

int Client::request(const std::string &address, const std::string &method,
                    const std::string &path, Milliseconds deadline) {
  std::string id = Name + "-" + std::to_string(++Sent);
  auto until = Clock::now() + deadline;
  RetryAfter = 0;
  if (Peer != address || !Connection.isOpen()) {
    Connection = Stream::connect(address);
    Peer = address;
  }
  std::string body = method == "POST" ? std::string(600, 'b') : "";
  std::string text =
      method + " " + path +
      " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id +
      "\r\nDeadline-Milliseconds: " + std::to_string(deadline.count()) +
      "\r\nCredential: key-of-the-club\r\n";
  if (method == "POST")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  Log.write("sent", {{"id", id}, {"to", address}, {"path", path}});
  bool sent = Connection.isOpen() && Connection.send(text + "\r\n" + body);
  auto answer = sent ? readMessage(Connection, until) : std::nullopt;
  if (!answer) {
    Connection.close();
    bool gaveUp = Clock::now() >= until;
    Log.write(gaveUp ? "gave_up" : "closed", {{"id", id}});
    return gaveUp ? -1 : 0;
  }
  std::string answered = answer->field("Request-Id").value_or("");
  Log.write("answered", {{"id", id},
                         {"status", std::to_string(answer->status())},
                         {"answer_id", answered}});
  RetryAfter = std::atof(answer->field("Retry-After").value_or("0").c_str());
  if (answer->field("Connection") == "close")
    Connection.close();
  return answer->status();
}

bool hasTrouble() {
  const char *value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

} // namespace Review
