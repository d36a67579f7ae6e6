#ifndef RESIDENCY_SCALEOUT_H
#define RESIDENCY_SCALEOUT_H

#include "residency/enginereplica.h"

#include <functional>
#include <map>
#include <vector>

namespace Residency {

/// Utilization of the slots of a model's engines above which another replica is
/// loaded. The remaining slots absorb bursts while it loads: with 12 slots one
/// call in fifty waits for a slot at this utilization (Erlang C).
inline constexpr double ScaleOutUtilization = 0.5;
/// The engine of a service, or null.
using EngineLookup =
    std::function<const Fleet::Engine *(const std::string &service)>;

/// Call rates of models at each engine, and of engines relative to their
/// limits.
class CallRates {
public:
  CallRates(const EngineReplicas &replicas, const Demand &usage, TimePoint now);

  /// Number of usable engines that have loaded the model or are about to.
  uint32_t replicaCount(const ModelKey &key) const;
  /// Calls per second of the model at each engine that has loaded it.
  double perReplica(const ModelKey &key) const;
  /// Calls per second of all models that the engine holds.
  double at(const EngineReplica &replica) const;
  /// Call rate of the model relative to what the limits of its engines allow
  /// it, in proportion to the rates of the models there; 0 if an engine that
  /// holds it has no limit.
  double limitUtilization(const ModelKey &key) const;
  /// In-flight calls by model: those of an engine are divided among its models
  /// in proportion to their call rates.
  std::map<ModelKey, double> callsInFlight() const;
  /// Whether the models that the engine holds use up its limit.
  bool isOverLimit(const EngineReplica &replica) const;

private:
  struct ModelRate {
    uint32_t Replicas = 0;
    double PerSecond = 0;
  };
  const EngineReplicas &Replicas;
  std::map<ModelKey, ModelRate> Models;
};

/// A model whose engines use more than ScaleOutUtilization of their slots or of
/// their limits: calls queue there and are rejected once the queues are full,
/// while other engines are idle.
struct OverloadedModel {
  ModelKey Key;
  double Utilization = 0;
};

/// The most overloaded model first. Replicas that are still loading count as
/// engines of the model.
std::vector<OverloadedModel> overloadedModels(const CallRates &rates,
                                              const EngineLookup &engineOf);

} // namespace Residency

#endif // RESIDENCY_SCALEOUT_H
