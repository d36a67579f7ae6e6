#ifndef DAEMON_MODELCALLS_H
#define DAEMON_MODELCALLS_H

#include "daemon/context.h"
#include "daemon/dispatch.h"
#include "frontdoor/frontdoor.h"

namespace Daemon::Internal {

/// Serves `/v1/completions`, `/v1/chat/completions` and `/v1/models`.
class ModelCalls {
public:
  explicit ModelCalls(Context &context);

  FrontDoor::Answer complete(const FrontDoor::Request &request);
  FrontDoor::Answer listModels(const FrontDoor::Request &request) const;

private:
  FrontDoor::Answer forward(const FrontDoor::Request &request,
                            const std::string &team, const std::string &model);
  /// Asks for the model and waits until a replica is ready. Refuses at the
  /// deadline, or once the load can no longer make it.
  std::optional<FrontDoor::Refusal>
  waitForReplica(const FrontDoor::Request &request, const std::string &model,
                 const std::string &team, Utils::TimePoint deadline);
  void noteReplicaWait(const FrontDoor::Request &request,
                       const std::string &model, Utils::TimePoint begin,
                       std::string_view outcome) const;
  /// When the model may be ready, milliseconds, if that misses the deadline.
  std::optional<uint32_t> lateLoad(const History::State &state,
                                   const std::string &model,
                                   Utils::TimePoint deadline) const;
  std::optional<Target> chooseTarget(const std::string &model, uint64_t prefix,
                                     const std::set<std::string> &excluded);
  void demand(const std::string &model, Utils::TimePoint deadline);
  /// Has the model loaded for those who come back after a refusal.
  void demandForLater(const std::string &model);

  Context &Shared;
};

} // namespace Daemon::Internal

#endif // DAEMON_MODELCALLS_H
