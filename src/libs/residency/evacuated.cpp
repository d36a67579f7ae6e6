#include "residency/evacuated.h"

#include <algorithm>
#include <set>

namespace Residency {

std::vector<ModelKey> modelsToReplace(const PlanInput &input) {
  std::set<ModelKey> evacuated;
  std::set<ModelKey> usable;
  for (const auto &[id, replica] : input.Replicas)
    for (const HeldModel &it : replica.Models)
      if (replica.Evacuated)
        evacuated.insert({replica.Service, it.Name});
      else if (replica.Usable && !it.isUnloading())
        usable.insert({replica.Service, it.Name});
  std::vector<std::pair<double, ModelKey>> byRate;
  for (const ModelKey &it : evacuated)
    if (double rate = input.Usage.rate(it, input.Now);
        rate > 0 && usable.count(it) == 0)
      byRate.emplace_back(rate, it);
  std::sort(byRate.rbegin(), byRate.rend());
  std::vector<ModelKey> out;
  out.reserve(byRate.size());
  for (auto &[rate, key] : byRate)
    out.push_back(std::move(key));
  return out;
}

} // namespace Residency
