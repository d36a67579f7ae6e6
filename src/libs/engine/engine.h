#ifndef ENGINE_ENGINE_H
#define ENGINE_ENGINE_H

/// Public header of the engine library: what the system asks of model engines
/// and plain services, each as a plain struct of functions.
#include "utils/clock.h"
#include "utils/outcome.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Engine {

/// Order to an engine. Decision is the fencing number, and repeating an order
/// with the same decision has no further effect.
struct Order {
  std::string ReplicaId;
  std::string Model;
  /// Base model for an adapter, else empty.
  std::string Base;
  std::string Weights;
  uint64_t MemoryMb = 0;
  uint64_t Decision = 0;
};

enum class HeldPhase : uint8_t { Loading, Ready, Unloading };

/// A model or adapter that an engine says it holds.
struct HeldModel {
  std::string Model;
  std::string ReplicaId;
  HeldPhase Phase = HeldPhase::Loading;
  uint64_t Decision = 0;
  /// Requests that run on the model now.
  uint32_t Running = 0;
  /// Requests that the model has taken since it was loaded.
  uint64_t Served = 0;
};

/// How an engine answered an order that it did not refuse.
enum class OrderAnswer : uint8_t { Taken, Gone };

/// Report of an engine; lags behind the truth.
struct Report {
  std::vector<HeldModel> Models;
  /// Checkpoints that the engine keeps in memory or on disk, by weights name.
  std::vector<std::string> CachedInMemory;
  std::vector<std::string> CachedOnDisk;
  uint64_t MemoryUsedMb = 0;
  uint32_t Running = 0;
  uint32_t Queued = 0;
};

/// Load of an engine by its own report; lags behind the truth.
struct UsageReport {
  uint32_t Running = 0;
  uint32_t Queued = 0;
};

/// A call to an engine or service. Headers must hold no credentials.
struct Call {
  std::string RequestId;
  std::string Method = "POST";
  std::string Path;
  std::string ContentType;
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;
  Utils::TimePoint Deadline;
  /// Whether it may be sent again. A call that may not gets a fresh connection
  /// and is sent once.
  bool Repeatable = false;
  /// Ends the call soon after it turns true; may be empty.
  std::function<bool()> Cancelled;
};

/// First part of an answer.
struct AnswerHead {
  int Status = 0;
  std::string ContentType;
};

/// Receives an answer; a function that returns false cancels the call and
/// closes the connection.
struct AnswerSink {
  std::function<bool(const AnswerHead &)> OnHead;
  std::function<bool(std::string_view)> OnBody;
};

/// A place that answers calls. Errc::Unavailable: no byte of the call was sent;
/// Errc::UnknownResult: the call may have run; Errc::Corrupt: the answer was
/// truncated or belongs to another request; Errc::Cancelled: the sink ended it.
struct Endpoint {
  std::function<Utils::Status(const Call &, const AnswerSink &)> Send;
};

/// A model engine. Orders return once the engine has taken or refused them.
/// Gone, as an answer to an unload: the engine holds the replica no more.
/// Errc::Conflict: refused for an old fencing number; Errc::Unavailable: no
/// byte was sent; Errc::UnknownResult: the order may have been taken.
struct EngineApi {
  std::function<Utils::Outcome<OrderAnswer>(const Order &)> Load;
  std::function<Utils::Outcome<OrderAnswer>(const Order &)> Unload;
  std::function<Utils::Outcome<Report>()> State;
  /// Short report that is read often.
  std::function<Utils::Outcome<UsageReport>()> Usage;
  Endpoint Calls;
};

} // namespace Engine

#endif // ENGINE_ENGINE_H
