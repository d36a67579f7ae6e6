#include "lab.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Lab {

namespace {

using asio::redirect_error;
using asio::use_awaitable;

/// Bounds of the sheet of cedarbrook-meals.
constexpr milliseconds HeartbeatInterval{1200};
constexpr uint16_t FrontPort = 18080;
constexpr uint16_t ReadyPort = 18081;
constexpr uint16_t FirstInternalPort = 18100;

std::string lower(std::string text) {
  for (char &c : text)
    c = char(std::tolower(uint8_t(c)));
  return text;
}

std::string trimmed(const std::string &text) {
  size_t from = text.find_first_not_of(" \t");
  size_t to = text.find_last_not_of(" \t");
  return from == std::string::npos ? "" : text.substr(from, to - from + 1);
}

std::string bigEndian(uint64_t value, int bytes) {
  std::string out;
  for (int i = bytes - 1; i >= 0; --i)
    out.push_back(char(value >> (i * 8)));
  return out;
}

std::string base64(const std::string &bytes) {
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

std::string reasonOf(int status) {
  static const std::map<int, std::string> reasons = {
      {200, "OK"},           {202, "Accepted"},
      {404, "Not Found"},    {409, "Conflict"},
      {410, "Gone"},         {412, "Precondition Failed"},
      {413, "Too Large"},    {421, "Misdirected Request"},
      {500, "Server Error"}, {503, "Service Unavailable"}};
  auto it = reasons.find(status);
  return it == reasons.end() ? "Status" : it->second;
}

Tcp::endpoint at(const std::string &ip, uint16_t port) {
  return {asio::ip::make_address_v4(ip), port};
}

std::string textOf(const Tcp::endpoint &endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void ignore(const std::exception_ptr &) {}

} // namespace

Task<> pause(milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(use_awaitable);
}

int64_t unixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Message::header(const std::string &name) const {
  for (const auto &[key, value] : Headers)
    if (lower(key) == lower(name))
      return value;
  return {};
}

bool Message::has(const std::string &name) const {
  return std::any_of(Headers.begin(), Headers.end(), [&](const auto &it) {
    return lower(it.first) == lower(name);
  });
}

std::string Message::method() const { return Line.substr(0, Line.find(' ')); }

namespace {

std::string targetOf(const std::string &line) {
  size_t from = line.find(' ');
  size_t to = line.rfind(' ');
  return from == std::string::npos || to <= from
             ? ""
             : line.substr(from + 1, to - from - 1);
}

} // namespace

std::string Message::path() const {
  std::string target = targetOf(Line);
  return target.substr(0, target.find('?'));
}

std::string Message::query(const std::string &name) const {
  std::string target = targetOf(Line);
  size_t at = target.find('?');
  std::string rest = at == std::string::npos ? "" : target.substr(at + 1);
  while (!rest.empty()) {
    size_t end = std::min(rest.find('&'), rest.size());
    std::string pair = rest.substr(0, end);
    rest = rest.substr(std::min(end + 1, rest.size()));
    if (pair.compare(0, name.size() + 1, name + "=") == 0)
      return pair.substr(name.size() + 1);
  }
  return {};
}

int Message::status() const {
  size_t at = Line.find(' ');
  return at == std::string::npos ? 0 : std::atoi(Line.c_str() + at);
}

Wire::Wire(Tcp::socket socket) : Socket(std::move(socket)) {
  std::error_code ec;
  Socket.set_option(Tcp::no_delay(true), ec);
}

Task<bool> Wire::fill() {
  std::array<char, 16384> buffer;
  std::error_code ec;
  size_t n = co_await Socket.async_read_some(asio::buffer(buffer),
                                             redirect_error(use_awaitable, ec));
  In.append(buffer.data(), n);
  co_return !ec;
}

Task<bool> Wire::fillUntil(size_t bytes) {
  bool more = true;
  while (more && In.size() < bytes)
    more = co_await fill();
  co_return more;
}

Task<std::optional<std::string>> Wire::readLine() {
  size_t end = In.find("\r\n");
  bool more = true;
  while (more && end == std::string::npos) {
    more = co_await fill();
    end = In.find("\r\n");
  }
  if (end == std::string::npos)
    co_return std::nullopt;
  std::string line = In.substr(0, end);
  In.erase(0, end + 2);
  co_return line;
}

Task<std::optional<Message>> Wire::readHead() {
  Message out;
  auto line = co_await readLine();
  if (!line)
    co_return std::nullopt;
  out.Line = *line;
  line = co_await readLine();
  while (line && !line->empty()) {
    size_t colon = line->find(':');
    if (colon != std::string::npos)
      out.Headers.emplace_back(line->substr(0, colon),
                               trimmed(line->substr(colon + 1)));
    line = co_await readLine();
  }
  if (!line)
    co_return std::nullopt;
  co_return out;
}

Task<bool> Wire::readChunk(std::string &out, bool &complete) {
  complete = false;
  auto line = co_await readLine();
  if (!line)
    co_return false;
  size_t n = std::strtoull(line->c_str(), nullptr, 16);
  if (n == 0) {
    line = co_await readLine();
    complete = line.has_value();
    co_return false;
  }
  bool whole = co_await fillUntil(n + 2);
  if (!whole)
    co_return false;
  out += In.substr(0, n);
  In.erase(0, n + 2);
  co_return true;
}

Task<bool> Wire::readBody(Message &message) {
  if (lower(message.header("Transfer-Encoding")) == "chunked") {
    bool complete = false;
    bool more = true;
    while (more)
      more = co_await readChunk(message.Body, complete);
    co_return complete;
  }
  size_t n =
      std::strtoull(message.header("Content-Length").c_str(), nullptr, 10);
  bool whole = co_await fillUntil(n);
  size_t taken = std::min(n, In.size());
  message.Body = In.substr(0, taken);
  In.erase(0, taken);
  co_return whole;
}

Task<bool> Wire::write(std::string text) {
  std::error_code ec;
  co_await asio::async_write(Socket, asio::buffer(text),
                             redirect_error(use_awaitable, ec));
  co_return !ec;
}

void Wire::close(bool abrupt) {
  std::error_code ec;
  if (abrupt)
    Socket.set_option(asio::socket_base::linger(true, 0), ec);
  Socket.close(ec);
}

std::string response(int status, const std::string &body,
                     const std::string &fields) {
  return "HTTP/1.1 " + std::to_string(status) + " " + reasonOf(status) +
         "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

Record::Record(const std::string &file) : Out(file) {}

void Record::line(const std::string &text) {
  auto ms = std::chrono::duration_cast<milliseconds>(Clock::now() - StartedAt);
  Out << ms.count() << " ms " << text << std::endl;
}

Store::Store(asio::io_context &loop) : Loop(loop) {
  Address = Tcp::endpoint(asio::ip::address_v4::loopback(), 0);
  listen();
}

void Store::listen() {
  Acceptor = std::make_unique<Tcp::acceptor>(Loop);
  Acceptor->open(Tcp::v4());
  Acceptor->set_option(Tcp::acceptor::reuse_address(true));
  Acceptor->bind(Address);
  Acceptor->listen();
  Address = Acceptor->local_endpoint();
  asio::co_spawn(Loop, accept(), ignore);
}

std::string Store::address() const { return textOf(Address); }

void Store::put(const std::string &topic, const std::string &key,
                const std::optional<std::string> &value) {
  Topics[topic].push_back({key, value});
}

std::string Store::value(const std::string &topic,
                         const std::string &key) const {
  std::string out;
  if (auto it = Topics.find(topic); it != Topics.end())
    for (const Entry &entry : it->second)
      if (entry.Key == key)
        out = entry.Value.value_or("");
  return out;
}

Store::Copy Store::copy() const {
  Copy out;
  for (const auto &[topic, entries] : Topics)
    out[topic] = entries.size();
  return out;
}

void Store::leave() {
  Acceptor->close();
  for (const auto &it : Wires)
    it->close(true);
  Wires.clear();
}

void Store::comeBack(const Copy &copy) {
  for (auto &[topic, entries] : Topics) {
    auto it = copy.find(topic);
    entries.resize(it == copy.end() ? 0 : it->second);
  }
  ++Era;
  listen();
}

Task<> Store::accept() {
  for (;;) {
    Tcp::socket socket = co_await Acceptor->async_accept(use_awaitable);
    auto wire = std::make_shared<Wire>(std::move(socket));
    Wires.insert(wire);
    asio::co_spawn(Loop, serve(wire), ignore);
  }
}

Task<> Store::serve(std::shared_ptr<Wire> wire) {
  bool open = true;
  while (open) {
    auto request = co_await wire->readHead();
    if (!request)
      break;
    open = co_await wire->readBody(*request);
    if (!open)
      break;
    constexpr milliseconds answerTime{4};
    co_await pause(answerTime);
    if (!wire->Socket.is_open())
      break;
    std::string text = co_await answer(*request);
    text.insert(text.find("\r\n") + 2,
                "Store-Era: " + std::to_string(Era) + "\r\n");
    open = wire->Socket.is_open();
    if (open)
      open = co_await wire->write(std::move(text));
  }
  Wires.erase(wire);
}

Task<std::string> Store::answer(const Message &request) {
  std::string path = request.path();
  if (path == "/v1/log-append")
    co_return append(request);
  if (path == "/v1/log-read") {
    std::string out = co_await read(request);
    co_return out;
  }
  if (path == "/v1/log-newest")
    co_return newest(request);
  co_return response(404, "");
}

std::string Store::append(const Message &request) {
  auto &topic = Topics[request.query("topic")];
  size_t first = topic.size();
  std::string at = request.query("at");
  if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != first)
    return response(412, Json{{"end", first}}.dump());
  const std::string &body = request.Body;
  for (size_t i = 0; i + 4 <= body.size();) {
    size_t n = 0;
    for (size_t k = 0; k < 4; ++k)
      n = n << 8 | uint8_t(body[i + k]);
    std::string content = body.substr(i + 4, n);
    size_t key = uint8_t(content[0]);
    Entry entry{content.substr(1, key), std::nullopt};
    if (content.size() > 1 + key)
      entry.Value = content.substr(1 + key);
    topic.push_back(std::move(entry));
    i += 4 + n;
  }
  return response(200, Json{{"offset", first}, {"end", topic.size()}}.dump(),
                  "Content-Type: application/json\r\n");
}

Task<std::string> Store::read(const Message &request) {
  auto &topic = Topics[request.query("topic")];
  size_t from = std::strtoull(request.query("from").c_str(), nullptr, 10);
  auto wait = milliseconds(std::atoi(request.query("wait_ms").c_str()));
  auto until = Clock::now() + wait;
  constexpr milliseconds step{5};
  uint64_t era = Era;
  while (topic.size() <= from && Clock::now() < until && era == Era)
    co_await pause(step);
  if (from > topic.size())
    co_return response(410, Json{{"first", 0}}.dump());
  std::string body = bigEndian(topic.size(), 8) + bigEndian(0, 8);
  for (size_t i = from; i < topic.size(); ++i) {
    std::string content = bigEndian(topic[i].Key.size(), 1) + topic[i].Key +
                          topic[i].Value.value_or("");
    body += bigEndian(content.size(), 4) + content;
  }
  co_return response(200, body, "Content-Type: application/octet-stream\r\n");
}

std::string Store::newest(const Message &request) {
  auto &topic = Topics[request.query("topic")];
  std::map<std::string, size_t> offsets;
  for (size_t i = 0; i < topic.size(); ++i)
    offsets[topic[i].Key] = i;
  Json items = Json::array();
  for (const auto &[key, offset] : offsets)
    if (topic[offset].Value)
      items.push_back({{"key", key},
                       {"value", base64(*topic[offset].Value)},
                       {"offset", offset}});
  return response(
      200,
      Json{{"items", items}, {"more", false}, {"end", topic.size()}}.dump(),
      "Content-Type: application/json\r\n");
}

Endpoint::Endpoint(asio::io_context &loop, Store &store, std::string service,
                   std::string id)
    : Loop(loop), Directory(store), Service(std::move(service)),
      Id(std::move(id)) {}

void Endpoint::start(const std::string &id) {
  Id = id;
  BornMs = unixMs();
  Sequence = 0;
  Up = true;
  ++Incarnation;
  Acceptor = std::make_unique<Tcp::acceptor>(Loop);
  Acceptor->open(Tcp::v4());
  Acceptor->set_option(Tcp::acceptor::reuse_address(true));
  Acceptor->bind(Address.port() == 0
                     ? Tcp::endpoint(asio::ip::address_v4::loopback(), 0)
                     : Address);
  Acceptor->listen();
  Address = Acceptor->local_endpoint();
  asio::co_spawn(Loop, accept(Incarnation), ignore);
  asio::co_spawn(Loop, beat(Incarnation), ignore);
}

Task<> Endpoint::refuse(milliseconds after, uint64_t incarnation) {
  co_await pause(after);
  if (incarnation != Incarnation)
    co_return;
  Acceptor->close();
  for (const auto &it : Wires)
    it->close(true);
  Wires.clear();
}

void Endpoint::crash(milliseconds refuseAfter) {
  if (!Up)
    return;
  Up = false;
  ++Incarnation;
  if (refuseAfter.count() == 0)
    Acceptor->close();
  else
    asio::co_spawn(Loop, refuse(refuseAfter, Incarnation), ignore);
  for (const auto &it : Wires)
    it->close(true);
  Wires.clear();
  asio::co_spawn(Loop, lapse(Id, Incarnation), ignore);
}

Task<> Endpoint::lapse(std::string id, uint64_t incarnation) {
  co_await pause(3 * HeartbeatInterval);
  if (incarnation == Incarnation || id != Id)
    Directory.put("keyed.servers", id, std::nullopt);
}

Task<> Endpoint::beat(uint64_t incarnation) {
  while (incarnation == Incarnation) {
    writeEntry();
    co_await pause(HeartbeatInterval);
  }
}

void Endpoint::writeEntry() {
  Json entry = {{"service", Service},     {"address", textOf(Address)},
                {"zone", "zone-a"},       {"version", "v1"},
                {"slots", Slots},         {"state", "ready"},
                {"cold_remaining_ms", 0}, {"sequence", ++Sequence},
                {"born", BornMs}};
  addToEntry(entry);
  Directory.put("keyed.servers", Id, entry.dump());
}

Task<> Endpoint::accept(uint64_t incarnation) {
  while (incarnation == Incarnation) {
    Tcp::socket socket = co_await Acceptor->async_accept(use_awaitable);
    auto wire = std::make_shared<Wire>(std::move(socket));
    Wires.insert(wire);
    asio::co_spawn(Loop, talk(wire, incarnation), ignore);
  }
}

Task<> Endpoint::talk(std::shared_ptr<Wire> wire, uint64_t incarnation) {
  bool keep = true;
  while (keep && incarnation == Incarnation) {
    auto request = co_await wire->readHead();
    if (!request)
      break;
    keep = co_await wire->readBody(*request);
    if (!keep || incarnation != Incarnation)
      break;
    std::string expected = request->header("Expect-Instance");
    if (request->path() == "/health")
      keep = co_await wire->write(
          response(200, "", "Instance-Id: " + Id + "\r\n"));
    else if (!expected.empty() && expected != Id)
      keep = co_await wire->write(
          response(421, "", "Instance-Id: " + Id + "\r\n"));
    else
      keep = co_await serve(wire, *request);
  }
  if (incarnation == Incarnation) {
    wire->close();
    Wires.erase(wire);
  }
}

Gateway::Gateway(int number, std::string directory, std::string storeAddress)
    : Name("front-" + std::to_string(number)), Directory(std::move(directory)),
      StoreAddress(std::move(storeAddress)) {
  constexpr int perByte = 250;
  int own = int(getpid());
  Ip = "127." + std::to_string(1 + own / perByte % perByte) + "." +
       std::to_string(1 + own % perByte) + "." + std::to_string(100 + number);
}

Gateway::~Gateway() { kill(); }

Json Gateway::settings(bool firstStart) const {
  auto address = [&](uint16_t port) { return textOf(at(Ip, port)); };
  return {{"node_name", Name},
          {"role", "gateway"},
          {"machine_class", "front"},
          {"serves", {"front"}},
          {"ip_address", Ip},
          {"zone", "zone-a"},
          {"region", "region"},
          {"zones", {{"zone-a", "region"}}},
          {"listen_addresses",
           {{"front", address(FrontPort)}, {"ready", address(ReadyPort)}}},
          {"internal_port_range", {FirstInternalPort, FirstInternalPort + 15}},
          {"seeds", Json::array()},
          {"bootstrap", firstStart},
          {"limits",
           {{"cpu_share", 0.25},
            {"cores", 1},
            {"memory_mb", 260},
            {"file_descriptors", 4100},
            {"link_mbps", 1000.0},
            {"disk_mb", 0}}},
          {"heartbeat_interval_ms", 1200},
          {"bounds",
           {{"contact_ms", 3000},
            {"drain_ms", 2000},
            {"grace_s", 8},
            {"loss_slack_ms", 200},
            {"configuration_apply_ms", 2000},
            {"revoke_everywhere", true},
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
            {"ceiling_overshoot", 1.1}}},
          {"platform", {{"address", StoreAddress}, {"form", "log"}}}};
}

void Gateway::start(bool firstStart) {
  std::string file = Directory + "/" + Name + ".json";
  std::ofstream(file) << settings(firstStart).dump(2);
  std::string log = Directory + "/" + Name + ".log";
  std::string variable = "HICKORYSPRING_CONFIG=" + file;
  Pid = fork();
  if (Pid < 0)
    throw std::runtime_error("cannot start a process");
  if (Pid > 0)
    return;
  // A gateway does not outlive a script that is killed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  for (int it = 3; it < 1024; ++it)
    ::close(it);
  int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  putenv(variable.data());
  execl("target/src/app/hickoryspring", "hickoryspring", "gateway",
        static_cast<char *>(nullptr));
  _exit(127);
}

void Gateway::signal(int number) const {
  if (Pid > 0)
    ::kill(Pid, number);
}

void Gateway::kill() {
  if (Pid <= 0)
    return;
  ::kill(Pid, SIGCONT);
  ::kill(Pid, SIGKILL);
  waitpid(Pid, nullptr, 0);
  Pid = 0;
}

bool Gateway::hasEnded() {
  int status = 0;
  if (Pid > 0 && waitpid(Pid, &status, WNOHANG) == Pid) {
    Pid = 0;
    EndSignal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  }
  return Pid <= 0;
}

Tcp::endpoint Gateway::front() const { return at(Ip, FrontPort); }
Tcp::endpoint Gateway::ready() const { return at(Ip, ReadyPort); }

Task<std::unique_ptr<Wire>> connect(Tcp::endpoint peer) {
  Tcp::socket socket(co_await asio::this_coro::executor);
  std::error_code ec;
  co_await socket.async_connect(peer, redirect_error(use_awaitable, ec));
  if (ec)
    co_return nullptr;
  co_return std::make_unique<Wire>(std::move(socket));
}

Task<Answer> callOn(Wire &wire, std::string request) {
  Answer out;
  bool sent = co_await wire.write(std::move(request));
  if (!sent)
    co_return out;
  auto head = co_await wire.readHead();
  if (!head)
    co_return out;
  out.Status = head->status();
  out.Head = *head;
  out.Complete = co_await wire.readBody(*head);
  out.Body = std::move(head->Body);
  co_return out;
}

Task<Answer> call(Tcp::endpoint gateway, std::string request) {
  auto wire = co_await connect(gateway);
  if (!wire)
    co_return Answer();
  Answer out = co_await callOn(*wire, std::move(request));
  co_return out;
}

Task<bool> awaitReady(const Gateway &gateway) {
  auto until = Clock::now() + std::chrono::seconds(15);
  while (Clock::now() < until) {
    Answer answer = co_await call(
        gateway.ready(), "GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
    if (answer.Status == 200)
      co_return true;
    co_await pause(milliseconds(50));
  }
  co_return false;
}

std::string makeDirectory() {
  std::string name =
      std::filesystem::temp_directory_path() / "hickory-review-XXXXXX";
  if (!mkdtemp(name.data()))
    throw std::runtime_error("cannot create a temporary directory");
  return name;
}

void removeDirectory(const std::string &path) {
  std::error_code ec;
  std::filesystem::remove_all(path, ec);
}

Json route(const std::string &name, const std::string &kind,
           const std::string &service, int timeoutMs) {
  return {{"name", name},
          {"host", "desk.example"},
          {"path_prefix", "/" + name + "/"},
          {"kind", kind},
          {"timeout_ms", timeoutMs},
          {"target_latency_ms", 400},
          {"priority", 0},
          {"service", service},
          {"attempts", 1},
          {"public", false},
          {"sticky_sessions", false},
          {"resumable", false}};
}

Json service(const std::string &name) {
  return {{"name", name},
          {"health_path", "/health"},
          {"connection_limit", 370},
          {"protocol", "h1"},
          {"tls", false}};
}

Json configuration(int version, const std::vector<Json> &routes,
                   const std::vector<Json> &services) {
  return {{"version", version},
          {"routes", routes},
          {"services", services},
          {"tenants",
           Json::array({{{"name", "club"},
                         {"access_keys", Json::array({"key-of-the-club"})}}})},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

namespace {

Task<> bound(asio::io_context &loop, milliseconds limit, Record &record) {
  co_await pause(limit);
  record.line("the script took too long");
  loop.stop();
}

} // namespace

int run(asio::io_context &loop, Task<int> script, Record &record,
        milliseconds limit) {
  int code = CouldNotRun;
  asio::co_spawn(loop, std::move(script),
                 [&](const std::exception_ptr &error, int result) {
                   code = error ? int(CouldNotRun) : result;
                   try {
                     if (error)
                       std::rethrow_exception(error);
                   } catch (const std::exception &it) {
                     record.line(std::string("error: ") + it.what());
                   }
                   loop.stop();
                 });
  asio::co_spawn(loop, bound(loop, limit, record), asio::detached);
  loop.run();
  return code;
}

} // namespace Lab
