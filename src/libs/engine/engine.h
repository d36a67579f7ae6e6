#ifndef ENGINE_ENGINE_H
#define ENGINE_ENGINE_H

/// Public header of the engine library: the interfaces to model engines and to
/// plain services, each as a struct of functions.
#include "utils/clock.h"
#include "utils/outcome.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Engine {

/// Order to load or unload a replica. Orders are idempotent: one that repeats
/// the fencing token of an earlier order has no further effect.
struct Order {
  std::string ReplicaId;
  std::string Model;
  /// Base model of an adapter; empty for a model.
  std::string Base;
  std::string Weights;
  uint64_t MemoryMb = 0;
  uint64_t FencingToken = 0;
};

enum class HeldPhase : uint8_t { Loading, Ready, Unloading };

/// A model or adapter that an engine reports as loading, loaded or unloading.
struct HeldModel {
  std::string Model;
  std::string ReplicaId;
  HeldPhase Phase = HeldPhase::Loading;
  uint64_t FencingToken = 0;
  /// Requests that are running on the model.
  uint32_t Running = 0;
  /// Requests that the model has accepted since it was loaded.
  uint64_t Served = 0;
};

/// Reply of an engine to an order that it did not reject. Gone: the engine no
/// longer holds the replica; a possible reply to an unload order.
enum class OrderReply : uint8_t { Accepted, Gone };

/// State that an engine reports; it lags behind the actual state.
struct Report {
  std::vector<HeldModel> Models;
  /// Names of the weights that the engine caches in memory or on disk.
  std::vector<std::string> CachedInMemory;
  std::vector<std::string> CachedOnDisk;
  uint64_t MemoryUsedMb = 0;
  uint32_t Running = 0;
  uint32_t Queued = 0;
};

/// Load that an engine reports; it lags behind the actual load.
struct UsageReport {
  uint32_t Running = 0;
  uint32_t Queued = 0;
};

/// A call to an engine or service. Headers must not contain credentials.
struct Call {
  std::string RequestId;
  std::string Method = "POST";
  std::string Path;
  std::string ContentType;
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;
  Utils::TimePoint Deadline;
  /// Whether the call may be sent more than once. A call that is not retryable
  /// is sent at most once, over a new connection.
  bool Retryable = false;
  /// Polled while the call is in flight; the call is cancelled soon after it
  /// returns true. May be empty.
  std::function<bool()> Cancelled;
};

/// Status and headers of a response.
struct ResponseHead {
  int Status = 0;
  std::string ContentType;
};

/// Receives a response; a function that returns false cancels the call and
/// closes the connection.
struct ResponseSink {
  std::function<bool(const ResponseHead &)> OnHead;
  std::function<bool(std::string_view)> OnBody;
};

/// Client of an endpoint that serves calls. Failures: Unavailable (no byte of
/// the call was sent), UnknownResult (the call may have been executed), Corrupt
/// (the response was truncated or belongs to another request), Cancelled
/// (cancelled by the sink or by Call::Cancelled).
struct Endpoint {
  std::function<Utils::Status(const Call &, const ResponseSink &)> Send;
};

/// Client of a model engine. Load and Unload return once the engine has
/// accepted or rejected the order. Failures of an order: Conflict (the engine
/// rejected the fencing token as outdated), Unavailable (no byte was sent),
/// UnknownResult (the engine may have accepted the order).
struct EngineApi {
  std::function<Utils::Outcome<OrderReply>(const Order &)> Load;
  std::function<Utils::Outcome<OrderReply>(const Order &)> Unload;
  std::function<Utils::Outcome<Report>()> State;
  /// Reads only the load, which is cheap enough to poll often.
  std::function<Utils::Outcome<UsageReport>()> Usage;
  /// Sends inference calls to the engine.
  Endpoint Calls;
};

} // namespace Engine

#endif // ENGINE_ENGINE_H
