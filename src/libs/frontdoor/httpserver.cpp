#include "frontdoor/httpserver.h"
#include "frontdoor/frontdoor.h"

#include <deque>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace FrontDoor::Internal {

namespace {

/// Threads beside those that serve requests; they answer probes and refuse.
constexpr uint32_t ReserveThreads = 4;
/// Connections that wait for a thread; further ones are closed.
constexpr size_t MaxWaitingConnections = 256;
constexpr int MaxRequestsPerConnection = 1000;
constexpr Utils::Milliseconds IdleTimeout(5000);
constexpr Utils::Milliseconds CrowdedTimeout(250);
constexpr Utils::Milliseconds DrainTimeout(250);

thread_local CallerStream *CurrentStream = nullptr;
/// Set while a connection is only to be closed.
thread_local bool Closing = false;

/// Threads with a bounded queue; a connection that does not fit is closed.
class BoundedQueue : public httplib::TaskQueue {
public:
  explicit BoundedQueue(size_t threads) : Ring(MaxWaitingConnections) {
    for (size_t i = 0; i < threads; ++i)
      Threads.emplace_back([this] { run(); });
  }
  void enqueue(std::function<void()> job) override {
    if (Ring.offer(job))
      return;
    Closing = true;
    job();
    Closing = false;
  }
  void shutdown() override {
    Ring.close();
    for (std::thread &it : Threads)
      it.join();
  }

private:
  void run() {
    while (true) {
      auto job = Ring.popUntil(std::chrono::steady_clock::now() + IdleTimeout);
      if (job)
        (*job)();
      else if (Ring.closed())
        return;
    }
  }

  Utils::BlockingQueue<std::function<void()>> Ring;
  std::vector<std::thread> Threads;
};

Refusal refusalFor(CallerStream::Fault fault, const std::string &message,
                   bool inHead) {
  Refusal refusal{Reason::MalformedRequest, RunState::NotRun, 0, message};
  if (fault == CallerStream::Fault::TooLarge)
    refusal.Why = inHead && message.find("header") != std::string::npos
                      ? Reason::HeadTooLarge
                      : Reason::BodyTooLarge;
  if (fault == CallerStream::Fault::TooSlow)
    refusal.Why = Reason::TooSlow;
  return refusal;
}

std::string closingResponse(const Answer &answer) {
  return "HTTP/1.1 " + std::to_string(answer.Status) +
         " Refused\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(answer.Body.size()) + "\r\nConnection: close\r\n\r\n" +
         answer.Body;
}

} // namespace

std::function<bool()> currentCallerLeft() {
  if (!CurrentStream)
    return {};
  return [stream = CurrentStream] { return stream->callerLeft(); };
}

HttpServer::HttpServer(uint32_t threads, const StreamLimits &limits)
    : Threads(threads), Limits(limits) {
  new_task_queue = [threads] {
    return new BoundedQueue(threads + ReserveThreads);
  };
  set_payload_max_length(Limits.MaxBodyBytes);
}

bool HttpServer::process_and_close_socket(socket_t socket) {
  if (!Closing) {
    bool crowded = ++Connections > Threads;
    StreamLimits limits = Limits;
    if (crowded)
      limits.HeadTimeout = limits.BodyTimeout = CrowdedTimeout;
    CallerStream stream(socket, limits);
    serve(stream, crowded);
    --Connections;
  }
  shutdown(socket, SHUT_RDWR);
  close(socket);
  return true;
}

void HttpServer::serve(CallerStream &stream, bool crowded) {
  CurrentStream = &stream;
  auto open = [this] { return svr_sock_ != INVALID_SOCKET; };
  int requests = crowded ? 1 : MaxRequestsPerConnection;
  Utils::Milliseconds idle = crowded ? CrowdedTimeout : IdleTimeout;
  for (int i = 1; i <= requests; ++i) {
    Utils::TimePoint deadline = std::chrono::steady_clock::now() + idle;
    if (!stream.waitForRequest(deadline, open) ||
        !serveRequest(stream, i == requests))
      break;
  }
  CurrentStream = nullptr;
}

bool HttpServer::serveRequest(CallerStream &stream, bool last) {
  CallerStream::Fault fault = stream.readHead();
  if (fault != CallerStream::Fault::None) {
    refuse(stream, fault);
    return false;
  }
  bool closed = false;
  bool done = process_request(stream, last, closed, nullptr);
  if (stream.bodyFault() != CallerStream::Fault::None) {
    refuse(stream, stream.bodyFault());
    return false;
  }
  return done && !closed;
}

void HttpServer::refuse(CallerStream &stream, CallerStream::Fault fault) {
  if (fault == CallerStream::Fault::Closed)
    return;
  bool inHead = stream.bodyFault() == CallerStream::Fault::None;
  bool sent = stream.writeRaw(closingResponse(refusalAnswer(
      refusalFor(fault, stream.message(), inHead), Utils::randomId())));
  if (sent)
    stream.drain(std::chrono::steady_clock::now() + DrainTimeout);
}

} // namespace FrontDoor::Internal
