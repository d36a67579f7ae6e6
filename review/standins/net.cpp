#include "net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <list>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Review {

namespace {

sockaddr_in toSocketAddress(const std::string &ip, uint16_t port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
  return out;
}

int msUntil(Clock::time_point deadline) {
  auto left = std::chrono::ceil<Milliseconds>(deadline - Clock::now());
  return int(std::max<int64_t>(0, left.count()));
}

void disableDelay(int descriptor) {
  int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/// Reads more until `input` has `n` bytes.
bool fill(Stream &stream, size_t n, Clock::time_point deadline) {
  while (stream.input().size() < n)
    if (!stream.receive(deadline))
      return false;
  return true;
}

/// Removes the bytes up to and including `end` and returns those before it.
std::optional<std::string> takeUntil(Stream &stream, const std::string &end,
                                     Clock::time_point deadline) {
  size_t at = 0;
  while ((at = stream.input().find(end)) == std::string::npos)
    if (!stream.receive(deadline))
      return std::nullopt;
  std::string out = stream.input().substr(0, at);
  stream.input().erase(0, at + end.size());
  return out;
}

std::optional<std::string> takeBytes(Stream &stream, size_t n,
                                     Clock::time_point deadline) {
  if (!fill(stream, n, deadline))
    return std::nullopt;
  std::string out = stream.input().substr(0, n);
  stream.input().erase(0, n);
  return out;
}

bool readChunks(Stream &stream, std::string &body, Clock::time_point deadline) {
  constexpr int hexadecimal = 16;
  while (true) {
    auto line = takeUntil(stream, "\r\n", deadline);
    if (!line)
      return false;
    size_t n = std::strtoul(line->c_str(), nullptr, hexadecimal);
    auto data = takeBytes(stream, n + 2, deadline);
    if (!data)
      return false;
    if (n == 0)
      return true;
    body.append(*data, 0, n);
  }
}

} // namespace

Stream &Stream::operator=(Stream &&other) noexcept {
  close();
  Descriptor = std::exchange(other.Descriptor, -1);
  Input = std::move(other.Input);
  return *this;
}

Stream Stream::connect(const std::string &address) {
  constexpr int connectTimeoutMs = 1000;
  size_t colon = address.rfind(':');
  sockaddr_in peer = toSocketAddress(
      address.substr(0, colon), uint16_t(std::stoi(address.substr(colon + 1))));
  int it = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int rc = ::connect(it, reinterpret_cast<sockaddr *>(&peer), sizeof(peer));
  pollfd ready{it, POLLOUT, 0};
  int error = 0;
  socklen_t n = sizeof(error);
  if (rc != 0 &&
      (poll(&ready, 1, connectTimeoutMs) <= 0 ||
       getsockopt(it, SOL_SOCKET, SO_ERROR, &error, &n) != 0 || error != 0)) {
    ::close(it);
    return Stream();
  }
  fcntl(it, F_SETFL, fcntl(it, F_GETFL) & ~O_NONBLOCK);
  disableDelay(it);
  return Stream(it);
}

void Stream::close() {
  if (Descriptor >= 0)
    ::close(std::exchange(Descriptor, -1));
}

void Stream::interrupt() const { shutdown(Descriptor, SHUT_RDWR); }

bool Stream::send(const std::string &bytes) const {
  size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t n = ::send(Descriptor, bytes.data() + sent, bytes.size() - sent,
                       MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += size_t(n);
  }
  return true;
}

bool Stream::receive(Clock::time_point deadline) {
  constexpr size_t bufferBytes = 65'536;
  pollfd ready{Descriptor, POLLIN, 0};
  if (Descriptor < 0 || poll(&ready, 1, msUntil(deadline)) <= 0)
    return false;
  std::string buf(bufferBytes, '\0');
  ssize_t n = recv(Descriptor, buf.data(), buf.size(), 0);
  if (n <= 0)
    return false;
  Input.append(buf, 0, size_t(n));
  return true;
}

std::optional<std::string> Message::field(const std::string &name) const {
  for (const auto &[key, value] : Fields)
    if (strcasecmp(key.c_str(), name.c_str()) == 0)
      return value;
  return std::nullopt;
}

int Message::status() const {
  return First.rfind("HTTP/", 0) == 0 ? std::atoi(Second.c_str()) : 0;
}

std::optional<Message> readMessage(Stream &stream, Clock::time_point deadline) {
  auto head = takeUntil(stream, "\r\n\r\n", deadline);
  if (!head)
    return std::nullopt;
  Message out;
  size_t end = head->find("\r\n");
  std::string line = head->substr(0, end);
  size_t space = line.find(' ');
  out.First = line.substr(0, space);
  out.Second = line.substr(space + 1, line.find(' ', space + 1) - space - 1);
  while (end != std::string::npos) {
    size_t from = end + 2;
    end = head->find("\r\n", from);
    line = head->substr(from, end - from);
    size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    size_t value = line.find_first_not_of(' ', colon + 1);
    out.Fields.emplace_back(line.substr(0, colon), value == std::string::npos
                                                       ? std::string()
                                                       : line.substr(value));
  }
  if (auto coding = out.field("Transfer-Encoding"); coding == "chunked")
    return readChunks(stream, out.Body, deadline) ? std::optional(out)
                                                  : std::nullopt;
  auto length = out.field("Content-Length");
  auto body = takeBytes(stream, length ? std::stoul(*length) : 0, deadline);
  if (!body)
    return std::nullopt;
  out.Body = std::move(*body);
  return out;
}

struct Listener::State {
  int Descriptor = -1;
  std::mutex Mutex;
  bool Stopped = false;
  std::list<std::shared_ptr<Stream>> Open;
  Handler OnConnection;
};

Listener::Listener(const std::string &ip, Handler handler)
    : Shared(std::make_shared<State>()) {
  auto state = Shared;
  state->OnConnection = std::move(handler);
  state->Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in own = toSocketAddress(ip, 0);
  socklen_t n = sizeof(own);
  if (bind(state->Descriptor, reinterpret_cast<sockaddr *>(&own), n) != 0 ||
      listen(state->Descriptor, SOMAXCONN) != 0 ||
      getsockname(state->Descriptor, reinterpret_cast<sockaddr *>(&own), &n) !=
          0) {
    std::perror("listen");
    constexpr int cannotRun = 2;
    std::exit(cannotRun);
  }
  Address = ip + ":" + std::to_string(ntohs(own.sin_port));
  std::thread([state] {
    while (true) {
      int it = accept4(state->Descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      std::lock_guard lock(state->Mutex);
      if (state->Stopped || it < 0)
        return;
      disableDelay(it);
      auto stream = std::make_shared<Stream>(it);
      state->Open.push_back(stream);
      std::thread([state, stream] {
        state->OnConnection(*stream);
        std::lock_guard closing(state->Mutex);
        state->Open.remove(stream);
        stream->close();
      }).detach();
    }
  }).detach();
}

Listener::~Listener() { stop(); }

void Listener::stop() {
  std::lock_guard lock(Shared->Mutex);
  if (std::exchange(Shared->Stopped, true))
    return;
  shutdown(Shared->Descriptor, SHUT_RDWR);
  close(Shared->Descriptor);
  for (const auto &it : Shared->Open)
    it->interrupt();
}

uint16_t freePort(const std::string &ip) {
  sockaddr_in own = toSocketAddress(ip, 0);
  socklen_t n = sizeof(own);
  int it = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bind(it, reinterpret_cast<sockaddr *>(&own), n);
  getsockname(it, reinterpret_cast<sockaddr *>(&own), &n);
  close(it);
  return ntohs(own.sin_port);
}

std::string queryValue(const std::string &target, const std::string &name) {
  size_t query = target.find('?');
  while (query != std::string::npos) {
    size_t next = target.find('&', query + 1);
    std::string item = target.substr(query + 1, next - query - 1);
    if (item.rfind(name + "=", 0) == 0)
      return item.substr(name.size() + 1);
    query = next;
  }
  return {};
}

} // namespace Review
