#ifndef RESIDENCY_PLAN_H
#define RESIDENCY_PLAN_H

#include "residency/demand.h"
#include "residency/enginereplica.h"

#include <functional>
#include <string>
#include <vector>

namespace Residency {

enum class Change : uint8_t {
  LoadModel,
  UnloadModel,
  LoadAdapter,
  UnloadAdapter,
};

std::string_view changeName(Change change);

struct Order {
  Change What = Change::LoadModel;
  std::string Model;
  std::string Adapter;
  CopySource From = CopySource::Disk;
  /// Calls a second that are likely to be on their way to what is unloaded.
  double Rate = 0;
};

/// Orders for one place, to be carried out one after the other.
struct Task {
  std::string PlaceId;
  std::vector<Order> Orders;
};

/// What a plan is made from.
struct Situation {
  const Places &All;
  const Demand &Use;
  const std::vector<Need> &Needs;
  /// The engine of a service, or null.
  std::function<const Fleet::Engine *(const std::string &service)> EngineOf;
  /// Loads from the weight store that may begin now.
  uint32_t StoreLoadsLeft = 0;
  TimePoint Now;
};

/// Tasks to begin now, the most urgent first; at most one that changes models
/// for each place.
std::vector<Task> plan(const Situation &situation);

} // namespace Residency

#endif // RESIDENCY_PLAN_H
