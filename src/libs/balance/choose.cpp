#include "balance/choose.h"

#include <algorithm>

namespace Balance {

namespace {

/// Fraction of its slots by which an endpoint in another failure domain must be
/// less loaded to be preferred.
constexpr double DomainPreference = 0.1;

/// Load relative to the slots; lower is better.
double cost(const Candidate &candidate) {
  double slots = std::max(1U, candidate.Slots);
  double load = candidate.Load / slots;
  return load + (candidate.SameDomain ? 0 : DomainPreference);
}

/// Endpoints of the lowest rank are used first, whatever their load.
int rank(const Candidate &candidate) {
  return (candidate.Evacuating ? 4 : 0) + (candidate.Tried ? 2 : 0) +
         (candidate.Avoided ? 1 : 0);
}

} // namespace

std::optional<size_t> choose(const std::vector<Candidate> &candidates,
                             TimePoint now, std::mt19937_64 &random) {
  std::vector<size_t> best;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (now < candidates[i].CoolDownUntil)
      continue;
    if (!best.empty() && rank(candidates[i]) > rank(candidates[best[0]]))
      continue;
    if (!best.empty() && rank(candidates[i]) < rank(candidates[best[0]]))
      best.clear();
    best.push_back(i);
  }
  if (best.empty())
    return std::nullopt;
  std::uniform_int_distribution<size_t> pick(0, best.size() - 1);
  size_t first = best[pick(random)];
  size_t second = best[pick(random)];
  return cost(candidates[second]) < cost(candidates[first]) ? second : first;
}

std::optional<TimePoint>
earliestCoolDownEnd(const std::vector<Candidate> &candidates, TimePoint now) {
  std::optional<TimePoint> end;
  for (const Candidate &it : candidates)
    if (now < it.CoolDownUntil)
      end = std::min(end.value_or(it.CoolDownUntil), it.CoolDownUntil);
  return end;
}

} // namespace Balance
