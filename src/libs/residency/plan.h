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
  /// Expected calls per second to the model that is unloaded.
  double Rate = 0;
};

/// Orders for one replica, carried out in sequence.
struct Task {
  std::string ReplicaId;
  std::vector<Order> Orders;
};

/// State from which plan() computes the tasks.
struct PlanInput {
  const EngineReplicas &Replicas;
  const Demand &Usage;
  const std::vector<PendingCalls> &Pending;
  /// The engine of a service, or null.
  std::function<const Fleet::Engine *(const std::string &service)> EngineOf;
  /// Loads from the weight store that may begin now.
  uint32_t StoreLoadsLeft = 0;
  TimePoint Now;
};

/// Tasks to begin now, the most urgent first. Each replica gets at most one
/// task that loads or unloads models.
std::vector<Task> plan(const PlanInput &input);

} // namespace Residency

#endif // RESIDENCY_PLAN_H
