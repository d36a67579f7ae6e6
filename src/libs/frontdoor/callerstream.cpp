#include "frontdoor/callerstream.h"

#include <algorithm>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>

namespace FrontDoor::Internal {

namespace {

constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr size_t ReceiveBytes = 16384;
constexpr Utils::Milliseconds OpenCheckPeriod(100);
/// A chunked body may take this much more on the wire than its content.
constexpr uint64_t ChunkOverheadFactor = 2;
constexpr uint64_t ChunkOverheadBytes = 4096;

Utils::TimePoint now() { return std::chrono::steady_clock::now(); }

} // namespace

CallerStream::CallerStream(socket_t socket, const StreamLimits &limits)
    : Socket(socket), Limits(limits) {}

bool CallerStream::waitFor(short events, Utils::TimePoint deadline) const {
  auto left =
      std::chrono::duration_cast<Utils::Milliseconds>(deadline - now()).count();
  // Rounded up, so that a wait without result ends behind its deadline.
  int waitMs = static_cast<int>(std::max<int64_t>(left + 1, 0));
  pollfd it{Socket, events, 0};
  return poll(&it, 1, waitMs) > 0;
}

bool CallerStream::receive(Utils::TimePoint deadline) {
  if (!waitFor(POLLIN, deadline))
    return false;
  char buf[ReceiveBytes];
  ssize_t n = recv(Socket, buf, sizeof(buf), 0);
  if (n <= 0)
    return false;
  Received.erase(0, ReceivedAt);
  ReceivedAt = 0;
  Received.append(buf, static_cast<size_t>(n));
  return true;
}

std::string_view CallerStream::pending() const {
  return std::string_view(Received).substr(ReceivedAt);
}

bool CallerStream::waitForRequest(Utils::TimePoint deadline,
                                  const std::function<bool()> &open) {
  while (pending().empty() && now() < deadline && open())
    if (waitFor(POLLIN, std::min(deadline, now() + OpenCheckPeriod)))
      return receive(deadline);
  return !pending().empty();
}

CallerStream::Fault CallerStream::fail(Fault fault, std::string message) {
  Message = std::move(message);
  return fault;
}

CallerStream::Fault CallerStream::readHead() {
  Utils::TimePoint deadline = now() + Limits.HeadTimeout;
  size_t n = pending().find(HeadEnd);
  while (n == Received.npos && pending().size() <= MaxHeadBytes) {
    if (!receive(deadline))
      return now() < deadline
                 ? fail(Fault::Closed, "closed")
                 : fail(Fault::TooSlow, "the headers came too slowly");
    n = pending().find(HeadEnd);
  }
  if (n == Received.npos || n > MaxHeadBytes)
    return fail(Fault::TooLarge, "the headers are too large");
  n += HeadEnd.size();
  auto head = parseHead(pending().substr(0, n));
  if (!head)
    return fail(head.error().Code == Utils::Errc::OutOfRange ? Fault::TooLarge
                                                             : Fault::Malformed,
                head.error().What);
  if (head->ContentLength > Limits.MaxBodyBytes)
    return fail(Fault::TooLarge, "the body is larger than " +
                                     std::to_string(Limits.MaxBodyBytes) +
                                     " bytes");
  ReceivedAt += n;
  HeadAt = 0;
  Head = headForParser(*head);
  MaxRawBodyBytes = head->ContentLength;
  if (head->Chunked)
    MaxRawBodyBytes =
        Limits.MaxBodyBytes * ChunkOverheadFactor + ChunkOverheadBytes;
  BodyBytes = 0;
  BodyDeadline = now() + Limits.BodyTimeout;
  return Fault::None;
}

ssize_t CallerStream::read(char *ptr, size_t size) {
  if (HeadAt < Head.size()) {
    size_t n = std::min(size, Head.size() - HeadAt);
    std::memcpy(ptr, Head.data() + HeadAt, n);
    HeadAt += n;
    return static_cast<ssize_t>(n);
  }
  if (BodyFault != Fault::None)
    return -1;
  if (BodyBytes >= MaxRawBodyBytes) {
    BodyFault = fail(Fault::TooLarge, "the body is too large");
    return -1;
  }
  if (pending().empty() && !receive(BodyDeadline)) {
    BodyFault = now() < BodyDeadline
                    ? fail(Fault::Closed, "closed")
                    : fail(Fault::TooSlow, "the body came too slowly");
    return -1;
  }
  size_t n = std::min({size, pending().size(),
                       static_cast<size_t>(MaxRawBodyBytes - BodyBytes)});
  std::memcpy(ptr, pending().data(), n);
  ReceivedAt += n;
  BodyBytes += n;
  return static_cast<ssize_t>(n);
}

bool CallerStream::writeRaw(std::string_view bytes) {
  while (!bytes.empty()) {
    if (!waitFor(POLLOUT, now() + Limits.WriteTimeout))
      return false;
    ssize_t n =
        send(Socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0)
      return false;
    bytes.remove_prefix(static_cast<size_t>(n));
  }
  return true;
}

void CallerStream::drain(Utils::TimePoint deadline) {
  shutdown(Socket, SHUT_WR);
  char buf[ReceiveBytes];
  while (waitFor(POLLIN, deadline))
    if (recv(Socket, buf, sizeof(buf), 0) <= 0)
      return;
}

ssize_t CallerStream::write(const char *ptr, size_t size) {
  // The parser's own answer to a body that it could not read is left out.
  if (BodyFault != Fault::None)
    return -1;
  return writeRaw({ptr, size}) ? static_cast<ssize_t>(size) : -1;
}

bool CallerStream::callerLeft() const {
  pollfd it{Socket, POLLRDHUP, 0};
  return poll(&it, 1, 0) > 0;
}

bool CallerStream::is_readable() const {
  return HeadAt < Head.size() || !pending().empty() ||
         waitFor(POLLIN, BodyDeadline);
}

bool CallerStream::is_writable() const {
  return !callerLeft() && waitFor(POLLOUT, now() + Limits.WriteTimeout);
}

void CallerStream::get_remote_ip_and_port(std::string &ip, int &port) const {
  ip.clear();
  port = 0;
}

void CallerStream::get_local_ip_and_port(std::string &ip, int &port) const {
  ip.clear();
  port = 0;
}

} // namespace FrontDoor::Internal
