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

/// Whether all slots are known to be in use.
bool isFull(const Candidate &candidate) {
  return candidate.Slots > 0 && candidate.Load >= candidate.Slots;
}

/// Endpoints of the lowest rank are used first, whatever their load. A full
/// endpoint ranks with the cold ones: its calls would wait.
int rank(const Candidate &candidate, bool hasCold) {
  bool slow = hasCold && (candidate.Cold || isFull(candidate));
  return (candidate.Evacuating ? 8 : 0) + (candidate.Tried ? 4 : 0) +
         (candidate.Avoided ? 2 : 0) + (slow ? 1 : 0);
}

} // namespace

std::optional<size_t> choose(const std::vector<Candidate> &candidates,
                             TimePoint now, std::mt19937_64 &random) {
  std::vector<size_t> best;
  bool hasCold = std::any_of(candidates.begin(), candidates.end(),
                             [](const Candidate &it) { return it.Cold; });
  int lowest = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (now < candidates[i].CoolDownUntil)
      continue;
    int ranked = rank(candidates[i], hasCold);
    if (!best.empty() && ranked > lowest)
      continue;
    if (ranked < lowest)
      best.clear();
    lowest = ranked;
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
