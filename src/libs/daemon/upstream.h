#ifndef DAEMON_UPSTREAM_H
#define DAEMON_UPSTREAM_H

#include "engine/engine.h"
#include "utils/utils.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace Daemon::Internal {

/// Part of an answer on its way from an endpoint to a caller.
struct Piece {
  enum class Kind { Head, Body, End } What = Kind::Body;
  Engine::ResponseHead Head;
  std::string Bytes;
  /// For End: why the answer is not whole, if it is not.
  std::optional<Utils::Failure> Why;
};

/// Why a call was ended before its answer was whole.
enum class CancelReason : uint8_t { None, NotWanted, KeyWithdrawn };

/// A call under way: the pool's thread feeds the ring, the caller's thread
/// empties it. A full ring holds the endpoint back.
class UpstreamCall {
public:
  UpstreamCall(Engine::Endpoint endpoint, Engine::Call call);

  /// Next piece, or nothing at the earlier of this time and the call's
  /// deadline, or when the call was cancelled.
  std::optional<Piece> nextUntil(Utils::TimePoint time);
  Utils::TimePoint deadline() const { return Call.Deadline; }
  /// Ends the call; the connection to the endpoint is closed. True when
  /// nothing of the call was sent or will be. The first reason stays.
  bool cancel(CancelReason why = CancelReason::NotWanted);
  bool closed() const { return Ring.closed(); }
  CancelReason cancelReason() const { return CancelledFor; }
  /// Sends the call and pushes its pieces; runs on a pool thread. A call that
  /// was cancelled or whose deadline is past is not sent.
  void run();

private:
  enum class Phase : uint8_t { Queued, Started, Cancelled };
  static constexpr size_t RingCapacity = 64;

  Utils::Status send();

  Engine::Endpoint Endpoint;
  Engine::Call Call;
  Utils::BlockingQueue<Piece> Ring;
  std::atomic<Phase> Current = Phase::Queued;
  std::atomic<CancelReason> CancelledFor = CancelReason::None;
};

/// Threads that run calls to endpoints.
class UpstreamPool {
public:
  explicit UpstreamPool(size_t threads);
  ~UpstreamPool();

  /// Starts the call on a free thread; nothing when the ring of calls is full.
  std::shared_ptr<UpstreamCall> start(Engine::Endpoint endpoint,
                                      Engine::Call call);
  void stop();
  size_t threads() const { return Threads.size(); }

private:
  void run();

  Utils::BlockingQueue<std::shared_ptr<UpstreamCall>> Ring;
  std::vector<std::thread> Threads;
};

} // namespace Daemon::Internal

#endif // DAEMON_UPSTREAM_H
