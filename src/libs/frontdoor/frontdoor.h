#ifndef FRONTDOOR_FRONTDOOR_H
#define FRONTDOOR_FRONTDOOR_H

/// Public header of the front door: the HTTP server that callers reach.
#include "utils/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace FrontDoor {

/// A caller's request after the front door has checked it.
struct Request {
  std::string Id;
  std::string Method;
  std::string Path;
  /// Path with the query, without any credential.
  std::string Target;
  std::string ContentType;
  std::string Body;
  /// Key that came with the request; empty when none did.
  std::string BearerKey;
  std::string IdempotencyKey;
  Utils::TimePoint Deadline;
  /// Whether the caller has closed the connection.
  std::function<bool()> CallerLeft;
  /// Passed to engines; set by admission from the team's row.
  std::optional<uint32_t> Priority;
};

/// Whether the path is asked by balancers and monitors rather than callers.
bool isProbe(std::string_view path);

/// Writes one piece to the caller; false once the caller has left.
using PieceWriter = std::function<bool(std::string_view)>;

/// Whether a refused request may have run.
enum class RunState : uint8_t { NotRun, Ran, Unknown };

std::string_view runStateName(RunState state);

enum class Reason : uint8_t {
  MalformedRequest,
  BodyTooLarge,
  HeadTooLarge,
  TooSlow,
  MissingKey,
  UnknownKey,
  NotAllowed,
  UnknownModel,
  UnknownRoute,
  NoCapacity,
  OverRate,
  DeadlineTooShort,
  DeadlineExceeded,
  HistoryUnavailable,
  EndpointFailed,
  KeyInUse,
  KeyReused,
  MissingIdempotencyKey,
  InvalidIdempotencyKey,
  IdempotencyKeyExpired,
  OutcomeUnknown,
  Draining,
  Cancelled,
};

std::string_view reasonName(Reason reason);

/// A refusal in the one JSON shape.
struct Refusal {
  Reason Why = Reason::MalformedRequest;
  RunState Ran = RunState::NotRun;
  /// When to come back, milliseconds; 0 where coming back does not help.
  uint32_t RetryAfterMs = 0;
  std::string Message;
};

/// What the caller gets. With Stream set, the body is what Stream writes;
/// Stream returns false when the answer must end as truncated.
struct Answer {
  int Status = 200;
  std::string ContentType = "application/json";
  std::map<std::string, std::string> Headers;
  std::string Body;
  std::function<bool(const PieceWriter &)> Stream;
  /// Set when the answer is a refusal; Body holds the same for the caller.
  std::optional<Refusal> Refused;
};

Answer refusalAnswer(const Refusal &refusal, const std::string &requestId);

/// Limits of the front door.
struct Options {
  std::string ListenAddress = "127.0.0.1";
  uint16_t Port = 0;
  uint32_t Threads = 64;
  uint64_t MaxBodyBytes = 4194304;
  uint32_t DefaultDeadlineMs = 30000;
  uint32_t MaxDeadlineMs = 600000;
  /// Longest time for the headers, and for the body, from the first byte on.
  Utils::Milliseconds HeadTimeout{5000};
  Utils::Milliseconds BodyTimeout{20000};
};

using Handler = std::function<Answer(const Request &)>;

/// Serves callers on a thread pool. The handler runs on the pool's threads.
class Server {
public:
  Server(Options options, Handler handler);
  ~Server();

  /// Binds and starts; false when the port cannot be bound.
  bool start();
  /// Port that it listens on; the one chosen when the options name none.
  uint16_t port() const;
  /// Connections that the listening socket holds until they are accepted.
  uint32_t backlog() const;
  /// Refuses new requests with "not-run" from now on.
  void drain();
  /// Number of requests being answered.
  uint32_t running() const;
  /// Waits until no request is being answered; false at the deadline.
  bool waitIdle(Utils::TimePoint deadline) const;
  /// Closes the listener and waits for the threads.
  void stop();

private:
  struct Content;
  std::unique_ptr<Content> Data;
};

} // namespace FrontDoor

#endif // FRONTDOOR_FRONTDOOR_H
