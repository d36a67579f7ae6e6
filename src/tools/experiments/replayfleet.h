#ifndef EXPERIMENTS_REPLAYFLEET_H
#define EXPERIMENTS_REPLAYFLEET_H

#include "experiments/replayarrivals.h"
#include "placement/placement.h"

#include <deque>

namespace Replay {

struct Result {
  /// Waits of requests that found no ready replica, in seconds.
  std::vector<double> ColdWaits;
  size_t Requests = 0;
  size_t Unserved = 0;
  size_t Loads = 0;
  double IdleEngineHours = 0;
};

/// Replays arrivals through the real fold and the real decisions. Engines load
/// in a fixed time by where the checkpoint lies and are otherwise ideal.
class Fleet {
public:
  /// What happens before the warm-up is over is not measured.
  Fleet(const Deployment &deployment, Placement::Policy policy,
        double warmupHours);

  Result run(const std::vector<Arrival> &arrivals, double hours);

private:
  struct Load {
    Placement::Decision What;
    double Until = 0;
  };
  struct Use {
    uint32_t Running = 0;
    uint64_t Served = 0;
  };
  struct Running {
    std::string ReplicaId;
    double Until = 0;
  };

  bool measures() const;
  void addRows(const Deployment &deployment);
  void addEngines(const Deployment &deployment);
  bool append(const History::Record &record);
  bool change(History::ReplicaAction action,
              const Placement::Decision &decision);
  void arrive(const Arrival &arrival);
  bool startOnReplica(const Arrival &arrival);
  void finishRequests();
  void finishLoads();
  void finishUnloads();
  void startWaiting(const std::string &model);
  void report();
  void plan();
  double loadSeconds(const Placement::Decision &decision) const;
  void countIdle(double seconds);

  Placement::Policy Policy;
  double WarmupHours = 0;
  History::State State;
  Placement::Knowledge Known;
  double Time = 0;
  uint64_t Offset = 0;
  std::map<std::string, Use> Uses;
  std::vector<Running> Requests;
  std::vector<Load> Loads;
  std::map<std::string, Placement::Decision> Unloads;
  std::map<std::string, std::deque<Arrival>> Waiting;
  std::map<std::string, std::vector<std::string>> OnDisk;
  std::map<std::string, std::deque<std::string>> InMemory;
  Result Measured;
};

} // namespace Replay

#endif // EXPERIMENTS_REPLAYFLEET_H
