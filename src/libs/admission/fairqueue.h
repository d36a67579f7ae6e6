#ifndef ADMISSION_FAIRQUEUE_H
#define ADMISSION_FAIRQUEUE_H

#include "utils/clock.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Admission {

/// A request that waits for its turn.
struct QueuedRequest {
  uint64_t Id = 0;
  std::string Team;
  std::string Model;
  Utils::TimePoint Deadline;
};

struct QueueLimits {
  size_t PerTeam = 32;
  size_t Total = 128;
};

/// Queue that starts the request of the team that has been served the fewest
/// tokens. A team that becomes active again starts at the least counter of the
/// active teams, so that idle time earns no credit.
/// Source: Sheng et al., "Fairness in Serving Large Language Models" (2024).
struct FairQueue {
  struct TeamState {
    uint64_t Served = 0;
    uint32_t Running = 0;
    std::deque<QueuedRequest> Waiting;

    bool active() const { return Running > 0 || !Waiting.empty(); }
  };

  QueueLimits Limits;
  std::map<std::string, TeamState> Teams;
  size_t Waiting = 0;
};

/// Queues a request; false when the queue or the team's part of it is full.
bool enqueue(FairQueue &queue, QueuedRequest request);

/// Takes out the next request whose model can start a call; counts it as
/// running. Nothing when none can.
std::optional<QueuedRequest>
next(FairQueue &queue,
     const std::function<bool(const std::string &)> &canStart);

/// Takes out every request whose deadline has come.
std::vector<QueuedRequest> expire(FairQueue &queue, Utils::TimePoint now);

/// Takes out one request; false when it is no longer queued.
bool remove(FairQueue &queue, const std::string &team, uint64_t id);

/// Counts tokens served to a team.
void serve(FairQueue &queue, const std::string &team, uint64_t tokens);

/// Ends a running request of a team.
void finish(FairQueue &queue, const std::string &team);

/// Number of queued requests to the model that would start before the team's
/// request with this id; before a new one when none is queued under the id.
uint32_t aheadOf(const FairQueue &queue, const std::string &team,
                 const std::string &model, uint64_t id);

} // namespace Admission

#endif // ADMISSION_FAIRQUEUE_H
