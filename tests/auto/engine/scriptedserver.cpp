#include "scriptedserver.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

constexpr int Backlog = 64;
constexpr int PollMs = 20;
constexpr char HeadEnd[] = "\r\n\r\n";

std::string headerValue(const std::string &head, const std::string &name) {
  size_t at = head.find(name + ": ");
  if (at == head.npos)
    return {};
  at += name.size() + 2;
  return head.substr(at, head.find("\r\n", at) - at);
}

bool sendAll(int socket, const std::string &bytes) {
  return send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(bytes.size());
}

} // namespace

ScriptedServer::ScriptedServer(Script script) : Reply(std::move(script)) {
  Listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t n = sizeof(address);
  auto *raw = reinterpret_cast<sockaddr *>(&address);
  if (bind(Listener, raw, n) == 0 && listen(Listener, Backlog) == 0 &&
      getsockname(Listener, raw, &n) == 0)
    Port = ntohs(address.sin_port);
  Thread = std::thread([this] { run(); });
}

ScriptedServer::~ScriptedServer() {
  Stopping = true;
  Thread.join();
  close(Listener);
}

void ScriptedServer::run() {
  while (!Stopping) {
    pollfd it{Listener, POLLIN, 0};
    if (poll(&it, 1, PollMs) <= 0)
      continue;
    int socket = accept(Listener, nullptr, nullptr);
    if (socket < 0)
      continue;
    OpenSocket = socket;
    serve(socket, Connections++);
    OpenSocket = -1;
    close(socket);
  }
}

void ScriptedServer::push(const std::string &bytes) const {
  int unacknowledged = sendAll(OpenSocket, bytes) ? 1 : 0;
  while (unacknowledged > 0 &&
         ioctl(OpenSocket, SIOCOUTQ, &unacknowledged) == 0)
    std::this_thread::yield();
}

/// Serves a connection until the peer closes it or another client connects.
void ScriptedServer::serve(int socket, int connection) {
  std::string received;
  ReceivedRequest request;
  request.Connection = connection;
  while (!Stopping) {
    pollfd both[2] = {{socket, POLLIN, 0}, {Listener, POLLIN, 0}};
    if (poll(both, 2, PollMs) <= 0)
      continue;
    if (both[0].revents == 0)
      return;
    char buf[4096];
    ssize_t n = recv(socket, buf, sizeof(buf), 0);
    if (n <= 0)
      return;
    received.append(buf, static_cast<size_t>(n));
    size_t end = received.find(HeadEnd);
    if (end == received.npos)
      continue;
    std::string length = headerValue(received, "Content-Length");
    size_t requestSize =
        end + sizeof(HeadEnd) - 1 + (length.empty() ? 0 : std::stoul(length));
    if (received.size() < requestSize)
      continue;
    request.Id = headerValue(received, "X-Request-Id");
    received.erase(0, requestSize);
    ScriptedReply reply = Reply(request);
    ++request.Number;
    if (!sendAll(socket, reply.Bytes) || reply.Close)
      return;
  }
}

std::string completeResponse(const std::string &id, const std::string &body) {
  std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
  if (!id.empty())
    head += "X-Request-Id: " + id + "\r\n";
  return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}
