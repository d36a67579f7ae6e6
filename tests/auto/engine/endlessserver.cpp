#include "endlessserver.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

constexpr int AcceptPollMs = 20;

bool sendWhole(int socket, const std::string &bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t n =
        send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

} // namespace

EndlessServer::EndlessServer(std::string begin, std::string repeated)
    : Begin(std::move(begin)), Repeated(std::move(repeated)) {
  Listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t n = sizeof(address);
  auto *raw = reinterpret_cast<sockaddr *>(&address);
  if (bind(Listener, raw, n) == 0 && listen(Listener, 1) == 0 &&
      getsockname(Listener, raw, &n) == 0)
    Port = ntohs(address.sin_port);
  Thread = std::thread([this] { run(); });
}

EndlessServer::~EndlessServer() {
  Stopping = true;
  if (Thread.joinable())
    Thread.join();
  close(Listener);
}

size_t EndlessServer::awaitSent() {
  Thread.join();
  return SentBytes;
}

void EndlessServer::run() {
  pollfd it{Listener, POLLIN, 0};
  while (!Stopping && poll(&it, 1, AcceptPollMs) <= 0)
    continue;
  if (Stopping)
    return;
  int socket = accept(Listener, nullptr, nullptr);
  char buf[4096];
  if (recv(socket, buf, sizeof(buf), 0) > 0 && sendWhole(socket, Begin))
    while (SentBytes < MaxSentBytes && sendWhole(socket, Repeated))
      SentBytes += Repeated.size();
  close(socket);
}
