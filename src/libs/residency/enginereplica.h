#ifndef RESIDENCY_ENGINEREPLICA_H
#define RESIDENCY_ENGINEREPLICA_H

#include "fleet/fleet.h"
#include "residency/demand.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Residency {

/// In place of a point from which on calls can use something: it is being
/// unloaded, or it is to be loaded and the engine has not taken the order yet.
inline constexpr TimePoint Leaving = TimePoint::max();
inline constexpr TimePoint Ordered = TimePoint::max() - std::chrono::hours(1);

struct HeldAdapter {
  std::string Name;
  /// Calls can use it from then on.
  TimePoint ReadyAt{};
  TimePoint LastUsed{};
};

struct HeldModel {
  std::string Name;
  /// Calls can use it from then on.
  TimePoint ReadyAt{};
  std::vector<HeldAdapter> Adapters;
  /// The engine has not reported since it took the order to load it.
  bool Loading = false;

  HeldAdapter *findAdapter(const std::string &name);
  const HeldAdapter *findAdapter(const std::string &name) const;
  bool isLeaving() const { return ReadyAt == Leaving; }
};

/// A model engine's replica and what it holds, as the holder of the duty knows
/// it from its own orders and from reports.
struct Place {
  std::string Id;
  std::string Service;
  std::string FailureDomain;
  /// Tells two starts of it apart.
  int64_t StartedUnixMs = 0;
  /// It is ready and answers.
  bool Usable = true;
  /// What it holds is known from itself, and not from before this holder's
  /// time; nothing is ordered before.
  bool Confirmed = false;
  /// A change of its models is under way.
  bool Busy = false;
  std::vector<HeldModel> Models;
  std::vector<std::string> InMemory;
  std::vector<std::string> OnDisk;
  /// Calls under way there, by all VMs.
  uint32_t Load = 0;

  HeldModel *find(const std::string &model);
  const HeldModel *find(const std::string &model) const;
  uint32_t adapterCount() const;
};

using Places = std::map<std::string, Place>;

/// Where an engine gets the weights from.
enum class CopySource : uint8_t { Memory, Disk, Store };

CopySource sourceOf(const Place &place, const std::string &model);
Milliseconds loadTime(const Fleet::Model &model, CopySource source);

/// Engine memory that the models leave free.
double freeMb(const Place &place, const Fleet::Engine &engine);

/// A copy was loaded: the engine keeps it in memory and on disk.
void noteCopies(Place &place, const Fleet::Engine &engine,
                const std::string &model);

} // namespace Residency

#endif // RESIDENCY_ENGINEREPLICA_H
