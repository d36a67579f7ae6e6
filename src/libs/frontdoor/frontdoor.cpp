#include "frontdoor/frontdoor.h"

#include "frontdoor/httpserver.h"
#include "utils/digest.h"
#include "utils/event.h"
#include "utils/periodicthread.h"

#include <atomic>
#include <charconv>
#include <condition_variable>
#include <httplib.h>
#include <mutex>
#include <netinet/tcp.h>
#include <thread>

namespace FrontDoor {

namespace {

constexpr char RequestIdHeader[] = "X-Request-Id";
constexpr char DeadlineHeader[] = "X-Deadline-Ms";
constexpr char BearerPrefix[] = "Bearer ";
/// Shortest key that is looked for outside its header.
constexpr size_t MinKeyBytes = 16;
constexpr uint32_t RetryAfterMs = 1000;

std::string bearerKey(const httplib::Request &request) {
  std::string value = request.get_header_value("Authorization");
  std::string prefix = BearerPrefix;
  return value.compare(0, prefix.size(), prefix) == 0
             ? value.substr(prefix.size())
             : std::string();
}

/// Deadline that the caller asked for; false when the header is malformed.
bool parseDeadline(const httplib::Request &request, const Options &options,
                   Utils::TimePoint &deadline) {
  uint32_t ms = options.DefaultDeadlineMs;
  if (request.has_header(DeadlineHeader)) {
    std::string text = request.get_header_value(DeadlineHeader);
    const char *end = text.data() + text.size();
    auto [at, ec] = std::from_chars(text.data(), end, ms);
    if (ec != std::errc() || at != end || ms == 0 || ms > options.MaxDeadlineMs)
      return false;
  }
  deadline = std::chrono::steady_clock::now() + Utils::Milliseconds(ms);
  return true;
}

constexpr int Backlog = 1024;

/// Lets a restarted daemon take its port again, but no second one beside it.
void setSocketOptions(socket_t socket) {
  int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
}

/// Whether the key also stands where it would reach an endpoint.
bool repeatsKey(const Request &request) {
  auto holds = [&](const std::string &text) {
    return text.find(request.BearerKey) != std::string::npos;
  };
  return request.BearerKey.size() >= MinKeyBytes &&
         (holds(request.Target) || holds(request.Body) ||
          holds(request.ContentType) || holds(request.IdempotencyKey));
}

/// A refusal by the front door itself, which the daemon never sees. The path
/// is left out of the log: a careless caller may have put a key there.
Answer refuseHere(const httplib::Request &raw, const Refusal &refusal,
                  const std::string &id) {
  Utils::Event("refused_at_door")
      .with("id", id)
      .with("method", raw.method)
      .with("reason", reasonName(refusal.Why))
      .with("run_state", runStateName(refusal.Ran))
      .with("retry_after_ms", refusal.RetryAfterMs)
      .with("message", refusal.Message)
      .warning();
  return refusalAnswer(refusal, id);
}

void writeAnswer(Answer answer, const std::string &requestId,
                 httplib::Response &response) {
  response.status = answer.Status;
  response.set_header(RequestIdHeader, requestId);
  for (const auto &[name, value] : answer.Headers)
    response.set_header(name, value);
  if (!answer.Stream) {
    response.set_content(answer.Body, answer.ContentType);
    return;
  }
  auto stream = std::move(answer.Stream);
  response.set_chunked_content_provider(
      answer.ContentType,
      [stream = std::move(stream)](size_t, httplib::DataSink &sink) {
        bool whole = stream([&](std::string_view piece) {
          return sink.write(piece.data(), piece.size());
        });
        if (whole)
          sink.done();
        return whole;
      });
}

} // namespace

bool isProbe(std::string_view path) {
  return path == "/healthz" || path == "/readyz" || path == "/metrics";
}

struct Server::Content {
  Options Limits;
  Handler OnRequest;
  std::unique_ptr<Internal::HttpServer> Http;
  socket_t Listener = INVALID_SOCKET;
  std::thread Thread;
  std::atomic<bool> Draining = false;
  std::atomic<uint32_t> Running = 0;
  std::mutex IdleMutex;
  std::condition_variable Idle;

  Answer dispatch(const httplib::Request &raw, const std::string &id);
  void finishOne();
  void handle(const httplib::Request &raw, httplib::Response &response);
};

Answer Server::Content::dispatch(const httplib::Request &raw,
                                 const std::string &id) {
  if (Draining)
    return refuseHere(
        raw,
        {Reason::Draining, RunState::NotRun, 1000, "this daemon is stopping"},
        id);
  if (Running > Limits.Threads && !isProbe(raw.path))
    return refuseHere(raw,
                      {Reason::NoCapacity, RunState::NotRun, RetryAfterMs,
                       "all threads of this daemon are busy"},
                      id);
  Request request;
  request.Id = id;
  request.Method = raw.method;
  request.Path = raw.path;
  request.Target = Internal::withoutCredentials(raw.target);
  request.ContentType = raw.get_header_value(Internal::BodyTypeHeader);
  request.Body = raw.body;
  request.BearerKey = bearerKey(raw);
  request.IdempotencyKey = raw.get_header_value("Idempotency-Key");
  if (!parseDeadline(raw, Limits, request.Deadline))
    return refuseHere(raw,
                      {Reason::MalformedRequest, RunState::NotRun, 0,
                       "X-Deadline-Ms must be a whole number from 1 to " +
                           std::to_string(Limits.MaxDeadlineMs)},
                      id);
  if (raw.body.size() > Limits.MaxBodyBytes)
    return refuseHere(raw,
                      {Reason::BodyTooLarge, RunState::NotRun, 0,
                       "the body is larger than " +
                           std::to_string(Limits.MaxBodyBytes) + " bytes"},
                      id);
  if (repeatsKey(request))
    return refuseHere(raw,
                      {Reason::MalformedRequest, RunState::NotRun, 0,
                       "the key stands outside the Authorization header"},
                      id);
  request.CallerLeft = Internal::currentCallerLeft();
  return OnRequest(request);
}

void Server::Content::handle(const httplib::Request &raw,
                             httplib::Response &response) {
  std::string id = Utils::randomId();
  ++Running;
  Answer answer = dispatch(raw, id);
  if (answer.Stream) {
    auto stream = std::move(answer.Stream);
    auto counted =
        std::shared_ptr<void>(nullptr, [this](void *) { finishOne(); });
    answer.Stream = [stream = std::move(stream), counted](
                        const PieceWriter &write) { return stream(write); };
  } else {
    finishOne();
  }
  writeAnswer(std::move(answer), id, response);
}

Server::Server(Options options, Handler handler)
    : Data(std::make_unique<Content>()) {
  Data->Limits = std::move(options);
  Data->OnRequest = std::move(handler);
}

Server::~Server() { stop(); }

uint32_t Server::backlog() const {
  tcp_info info{};
  socklen_t n = sizeof(info);
  if (getsockopt(Data->Listener, IPPROTO_TCP, TCP_INFO, &info, &n) != 0)
    return 0;
  return info.tcpi_sacked;
}

bool Server::start() {
  Internal::StreamLimits limits;
  limits.MaxBodyBytes = Data->Limits.MaxBodyBytes;
  limits.HeadTimeout = Data->Limits.HeadTimeout;
  limits.BodyTimeout = Data->Limits.BodyTimeout;
  Data->Http =
      std::make_unique<Internal::HttpServer>(Data->Limits.Threads, limits);
  Internal::HttpServer &http = *Data->Http;
  http.set_tcp_nodelay(true);
  http.set_socket_options([this](socket_t socket) {
    setSocketOptions(socket);
    Data->Listener = socket;
  });
  auto handler = [this](const httplib::Request &raw, httplib::Response &out) {
    Data->handle(raw, out);
  };
  constexpr const char *anyPath = R"(/.*)";
  http.Get(anyPath, handler);
  http.Post(anyPath, handler);
  http.Put(anyPath, handler);
  http.Patch(anyPath, handler);
  http.Delete(anyPath, handler);
  http.Options(anyPath, handler);
  const std::string &address = Data->Limits.ListenAddress;
  if (Data->Limits.Port == 0)
    Data->Limits.Port =
        static_cast<uint16_t>(std::max(http.bind_to_any_port(address), 0));
  else if (!http.bind_to_port(address, Data->Limits.Port))
    return false;
  if (Data->Limits.Port == 0)
    return false;
  // The library listens with a backlog of 5, and connections of a burst beyond
  // it come back a second later; listening again raises it.
  listen(Data->Listener, Backlog);
  Data->Thread = std::thread([this] { Data->Http->listen_after_bind(); });
  // A stop() before the loop runs would be lost.
  Utils::yieldUntil([this] { return Data->Http->is_running(); });
  return true;
}

uint16_t Server::port() const { return Data->Limits.Port; }

void Server::drain() { Data->Draining = true; }

void Server::Content::finishOne() {
  {
    std::lock_guard lock(IdleMutex);
    --Running;
  }
  Idle.notify_all();
}

bool Server::waitIdle(Utils::TimePoint deadline) const {
  std::unique_lock lock(Data->IdleMutex);
  return Data->Idle.wait_until(lock, deadline,
                               [this] { return Data->Running == 0; });
}

uint32_t Server::running() const { return Data->Running; }

void Server::stop() {
  if (!Data->Thread.joinable())
    return;
  Data->Http->stop();
  Data->Thread.join();
}

} // namespace FrontDoor
