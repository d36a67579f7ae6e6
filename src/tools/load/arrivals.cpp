#include "load/loadplan.h"

#include "utils/digest.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Load {

namespace {

double rateAt(const TeamLoad &team, double atS) {
  double rate = team.ArrivalsPerS;
  for (const Burst &it : team.Bursts)
    if (atS >= it.AtS && atS < it.AtS + it.ForS)
      rate = team.ArrivalsPerS * it.Factor;
  return rate;
}

double peakRate(const TeamLoad &team) {
  double peak = team.ArrivalsPerS;
  for (const Burst &it : team.Bursts)
    peak = std::max(peak, team.ArrivalsPerS * it.Factor);
  return peak;
}

std::discrete_distribution<size_t> zipf(size_t n, double exponent) {
  std::vector<double> weights;
  weights.reserve(n);
  for (size_t i = 1; i <= n; ++i)
    weights.push_back(std::pow(static_cast<double>(i), -exponent));
  return {weights.begin(), weights.end()};
}

/// Poisson arrivals of one team by thinning the peak rate.
void drawTeam(const Plan &plan, size_t index, std::vector<Arrival> &arrivals) {
  const TeamLoad &team = plan.Teams[index];
  std::mt19937_64 random(Utils::fastHash(team.Name, plan.Seed));
  double peak = peakRate(team);
  if (peak <= 0)
    return;
  std::exponential_distribution<double> gap(peak);
  std::uniform_real_distribution<double> share(0, 1);
  auto model = zipf(std::max<size_t>(team.Models.size(), 1), team.ZipfExponent);
  std::uniform_int_distribution<size_t> target(0, plan.Targets.size() - 1);
  for (double atS = gap(random); atS < plan.DurationS; atS += gap(random)) {
    if (share(random) * peak >= rateAt(team, atS))
      continue;
    Arrival arrival;
    arrival.AtS = atS;
    arrival.Team = index;
    arrival.Target = target(random);
    if (!team.Models.empty())
      arrival.Model = team.Models[model(random)];
    arrivals.push_back(std::move(arrival));
  }
}

} // namespace

std::vector<Arrival> drawArrivals(const Plan &plan) {
  std::vector<Arrival> arrivals;
  for (size_t i = 0; i < plan.Teams.size(); ++i)
    drawTeam(plan, i, arrivals);
  std::sort(arrivals.begin(), arrivals.end(),
            [](const auto &a, const auto &b) { return a.AtS < b.AtS; });
  for (size_t i = 0; i < arrivals.size(); ++i)
    arrivals[i].Number = i;
  return arrivals;
}

} // namespace Load
