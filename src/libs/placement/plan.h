#ifndef PLACEMENT_PLAN_H
#define PLACEMENT_PLAN_H

#include "placement/placement.h"

#include <string_view>
#include <unordered_map>

namespace Placement::Internal {

/// Where an engine keeps a checkpoint, nearest first.
enum class Locality { Memory, Disk, Remote };

using ReplicaEntry = std::pair<const std::string, History::Replica>;

/// A replica that could make room, by the loss that its unload means.
struct Victim {
  const ReplicaEntry *Entry = nullptr;
  double Loss = 0;
};

/// One endpoint as the round sees it.
struct EndpointView {
  std::string_view Name;
  /// Empty when the state has no such endpoint.
  const History::Endpoint *Content = nullptr;
  const SeenReport *Report = nullptr;
  bool IsLiveEngine = false;
  /// It answers no reports, see silentEngines().
  bool IsSilent = false;
  uint64_t FreeMb = 0;
  /// Free memory, and what unloads decided so far will free.
  uint64_t ComingMb = 0;
  std::vector<const ReplicaEntry *> Replicas;
  /// Base models that adapters on this endpoint need.
  std::set<std::string_view> BasesInUse;
  /// Idle replicas, least loss first; made when room is first sought here.
  std::optional<std::vector<Victim>> Idle;
};

/// Live engines by what a load looks for.
struct EngineIndex {
  using FreeEngine = std::pair<uint64_t, std::string_view>;
  /// Engines of a failure domain, least free memory first.
  std::map<std::string_view, std::set<FreeEngine>> FreeByDomain;
  /// Engines that keep a checkpoint in memory or on disk.
  std::unordered_map<std::string_view, std::vector<EndpointView *>> Keeping;
};

/// What is left while one round is planned, and indexes over the state, so that
/// a round costs about the sum of replicas, engines and demands.
struct Plan {
  const History::State &State;
  const Knowledge &Known;
  const Policy &Rules;
  Utils::TimePoint Now;
  std::unordered_map<std::string_view, EndpointView> Endpoints;
  /// Live engines in order of their names.
  std::vector<EndpointView *> Engines;
  std::unordered_map<std::string_view, std::vector<const ReplicaEntry *>>
      ByModel;
  /// What the endpoint of a replica reports of it, by replica id.
  std::unordered_map<std::string_view, const Engine::HeldModel *> Held;
  /// Made when the first load is planned.
  std::optional<EngineIndex> Index;
  uint32_t StoreLoads = 0;
  uint32_t AdapterLoads = 0;
  bool MayStartStoreLoad = true;
  /// Models whose room is spoken for in this round, see Policy::RoomsAhead.
  uint32_t RoomsHeld = 0;
  std::set<std::string> Victims;
  std::vector<Decision> Decisions;
};

Plan makePlan(const History::State &state, const Knowledge &knowledge,
              const Policy &policy, Utils::TimePoint now);

const std::string *baseOf(const History::State &state,
                          const std::string &model);
const std::string &weightsOf(const History::State &state,
                             const std::string &model);
bool isLiveEngine(const History::State &state, const std::string &endpoint);
/// Replicas of the model, in order of their ids.
const std::vector<const ReplicaEntry *> &replicasOf(const Plan &plan,
                                                    const std::string &model);
/// View of the replica's endpoint.
const EndpointView &endpointOf(const Plan &plan,
                               const History::Replica &replica);
/// What the endpoint last reported of the replica; null when it did not.
const Engine::HeldModel *heldOf(const Plan &plan, const std::string &id);
Locality localityOf(const EndpointView &endpoint, const std::string &weights);

/// Seconds since the replica was last seen in use; 0 while it runs requests.
double idleSeconds(const Plan &plan, const std::string &id);

/// Live engine for a replica of the model that has the memory free, or an empty
/// name.
std::string chooseEngine(Plan &plan, const std::string &model);

/// Decides the load if an engine has room and the weight store's schedule
/// allows it; otherwise decides on what to unload for it.
void planLoad(Plan &plan, const std::string &model);

/// Holds room for the model on an engine that has it or will have it; else
/// decides to unload idle replicas there, those of least expected use. Does
/// nothing once room is held for Policy::RoomsAhead models.
void planRoom(Plan &plan, const std::string &model);

/// Decides to unload the replica, after the adapters on it.
void planUnload(Plan &plan, const std::string &id);

} // namespace Placement::Internal

#endif // PLACEMENT_PLAN_H
