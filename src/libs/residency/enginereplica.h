#ifndef RESIDENCY_ENGINEREPLICA_H
#define RESIDENCY_ENGINEREPLICA_H

#include "fleet/fleet.h"
#include "residency/demand.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Residency {

/// Special values of ReadyAt: a model or adapter is being unloaded, or its load
/// was ordered and the engine has not accepted the order yet.
inline constexpr TimePoint Unloading = TimePoint::max();
inline constexpr TimePoint LoadOrdered =
    TimePoint::max() - std::chrono::hours(1);

struct HeldAdapter {
  std::string Name;
  /// From when calls can use it, or Unloading or LoadOrdered.
  TimePoint ReadyAt{};
  TimePoint LastUsed{};
};

struct HeldModel {
  std::string Name;
  /// From when calls can use it, or Unloading or LoadOrdered.
  TimePoint ReadyAt{};
  std::vector<HeldAdapter> Adapters;
  /// The engine has not reported since it accepted the order to load it.
  bool Loading = false;

  HeldAdapter *findAdapter(const std::string &name);
  const HeldAdapter *findAdapter(const std::string &name) const;
  bool isUnloading() const { return ReadyAt == Unloading; }
};

/// A replica of a model engine and what it has loaded, as the holder of the
/// duty knows it from its own orders and from reports.
struct EngineReplica {
  std::string Id;
  std::string Service;
  std::string FailureDomain;
  /// Start time, which distinguishes restarts of the replica.
  int64_t StartedUnixMs = 0;
  /// It is ready and responds.
  bool Usable = true;
  /// The replica itself has reported what it holds to the current holder of the
  /// duty; until then it gets no orders.
  bool Confirmed = false;
  /// A load or unload is in progress.
  bool Busy = false;
  std::vector<HeldModel> Models;
  /// Models whose weights are cached in host memory and on disk, the least
  /// recently used first.
  std::vector<std::string> InMemory;
  std::vector<std::string> OnDisk;
  /// In-flight calls of all VMs.
  uint32_t Load = 0;
  /// Calls per second that it takes from all VMs; 0 if it names no limit.
  double CallLimit = 0;
  /// Its failure domain is being evacuated: it gets no orders and is not
  /// Usable, but keeps what it holds.
  bool Evacuated = false;

  HeldModel *find(const std::string &model);
  const HeldModel *find(const std::string &model) const;
  uint32_t adapterCount() const;
};

using EngineReplicas = std::map<std::string, EngineReplica>;

/// Where an engine loads the weights from.
enum class CopySource : uint8_t { Memory, Disk, Store };

CopySource sourceOf(const EngineReplica &replica, const std::string &model);
Milliseconds loadTime(const Fleet::Model &model, CopySource source);

/// Engine memory that no model occupies.
double freeMb(const EngineReplica &replica, const Fleet::Engine &engine);

/// Records that a load left a copy of the weights in the caches in host memory
/// and on disk, which evict the least recently used ones.
void noteCachedCopy(EngineReplica &replica, const Fleet::Engine &engine,
                    const std::string &model);

} // namespace Residency

#endif // RESIDENCY_ENGINEREPLICA_H
