#ifndef DAEMON_ENDPOINTWORKER_H
#define DAEMON_ENDPOINTWORKER_H

#include "engine/engine.h"
#include "placement/placement.h"
#include "utils/utils.h"

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>

namespace Daemon::Internal {

enum class EndpointJobKind { Load, Unload, Report };

struct EndpointJob {
  EndpointJobKind Kind = EndpointJobKind::Report;
  Engine::Order Order;
};

/// How a job ended. Report is empty for an order, or when it could not be read.
struct EndpointResult {
  std::string Endpoint;
  EndpointJob Job;
  Placement::OrderEnd End = Placement::OrderEnd::NotSent;
  std::optional<Engine::Report> Report;
};

using EndpointResults = Utils::BlockingQueue<EndpointResult>;

/// Thread that sends orders to one engine and reads its reports, one after the
/// other in the order in which they were submitted. A dead engine delays no
/// other.
class EndpointWorker {
public:
  /// `mayAct` is asked right before each order is sent.
  EndpointWorker(std::string endpoint, Engine::EngineApi api,
                 std::function<bool()> mayAct, EndpointResults &results);
  ~EndpointWorker();

  /// False when the ring is full: the job will not be done.
  bool submit(EndpointJob job);
  /// Ends the jobs that wait as not sent; finished() turns true afterwards.
  void close();
  bool finished() const { return Finished; }

private:
  void run();
  EndpointResult perform(EndpointJob job);

  const std::string Endpoint;
  Engine::EngineApi Api;
  std::function<bool()> MayAct;
  EndpointResults &Results;
  Utils::DependencyMonitor Reports{"reports of " + Endpoint, {}};
  Utils::BlockingQueue<EndpointJob> Jobs;
  std::atomic<bool> Closing = false;
  std::atomic<bool> Finished = false;
  std::thread Thread;
};

} // namespace Daemon::Internal

#endif // DAEMON_ENDPOINTWORKER_H
