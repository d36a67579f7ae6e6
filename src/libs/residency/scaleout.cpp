#include "residency/scaleout.h"

#include <algorithm>
#include <tuple>

namespace Residency {

CallRates::CallRates(const EngineReplicas &replicas, const Demand &usage,
                     TimePoint now)
    : Replicas(replicas) {
  for (const auto &[id, replica] : Replicas)
    for (const HeldModel &it : replica.Models)
      if (replica.Usable && !it.isUnloading())
        ++Models[{replica.Service, it.Name}].Replicas;
  for (auto &[key, rate] : Models)
    rate.PerSecond = usage.rate(key, now);
}

uint32_t CallRates::replicaCount(const ModelKey &key) const {
  auto it = Models.find(key);
  return it == Models.end() ? 0 : it->second.Replicas;
}

double CallRates::perReplica(const ModelKey &key) const {
  auto it = Models.find(key);
  return it == Models.end() ? 0 : it->second.PerSecond / it->second.Replicas;
}

double CallRates::at(const EngineReplica &replica) const {
  double sum = 0;
  for (const HeldModel &it : replica.Models)
    sum += perReplica({replica.Service, it.Name});
  return sum;
}

double CallRates::limitUtilization(const ModelKey &key) const {
  double allowed = 0;
  for (const auto &[id, replica] : Replicas) {
    const HeldModel *held =
        replica.Service == key.Service ? replica.find(key.Model) : nullptr;
    if (!held || !replica.Usable || held->isUnloading())
      continue;
    if (replica.CallLimit == 0)
      return 0;
    if (double rate = at(replica); rate > 0)
      allowed += replica.CallLimit * perReplica(key) / rate;
  }
  return allowed > 0 ? perReplica(key) * replicaCount(key) / allowed : 0;
}

std::map<ModelKey, double> CallRates::callsInFlight() const {
  std::map<ModelKey, double> out;
  for (const auto &[id, replica] : Replicas) {
    double sum = at(replica);
    for (const HeldModel &it : replica.Models)
      if (sum > 0 && replica.Usable && !it.isUnloading()) {
        ModelKey key{replica.Service, it.Name};
        out[key] += replica.Load * perReplica(key) / sum;
      }
  }
  return out;
}

bool CallRates::isOverLimit(const EngineReplica &replica) const {
  return replica.CallLimit > 0 && at(replica) >= replica.CallLimit;
}

std::vector<OverloadedModel> overloadedModels(const CallRates &rates,
                                              const EngineLookup &engineOf) {
  std::vector<OverloadedModel> out;
  for (const auto &[key, inFlight] : rates.callsInFlight()) {
    const Fleet::Engine *engine = engineOf(key.Service);
    double slots = engine ? double(rates.replicaCount(key)) * engine->Slots : 0;
    if (slots == 0)
      continue;
    double utilization = std::max(
        inFlight / slots, rates.limitUtilization(key) * ScaleOutUtilization);
    if (utilization > ScaleOutUtilization)
      out.push_back({key, utilization});
  }
  std::sort(out.begin(), out.end(), [](const auto &a, const auto &b) {
    return std::tie(a.Utilization, a.Key) > std::tie(b.Utilization, b.Key);
  });
  return out;
}

} // namespace Residency
