#include "experiments/replayarrivals.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Replay {

namespace {

constexpr double SecondsPerHour = 3600;
constexpr double BurstFactor = 3;
/// Sessions an hour of the most popular model, outside of the burst.
constexpr double TopSessionsPerHour = 12;
constexpr double ZipfExponent = 0.9;
constexpr double MeanSessionRequests = 6;
constexpr double MeanThinkSeconds = 40;
constexpr double MeanRequestSeconds = 3;

bool inBurst(double at) {
  return at >= SecondsPerHour && at < 2 * SecondsPerHour;
}

void addSession(std::vector<Arrival> &arrivals, const std::string &model,
                double at, std::mt19937_64 &random) {
  std::geometric_distribution<int> more(1 / MeanSessionRequests);
  std::exponential_distribution<double> think(1 / MeanThinkSeconds);
  std::exponential_distribution<double> service(1 / MeanRequestSeconds);
  for (int n = 1 + more(random); n > 0; --n) {
    arrivals.push_back({at, service(random), model});
    at += think(random);
  }
}

} // namespace

Deployment cedarbrook() { return {"cedarbrook", 3, 12, 70, 60, 1, 20}; }
Deployment agency() { return {"agency", 4, 12, 65, 80, 1, 100}; }

std::string modelName(const Deployment &deployment, int index) {
  return index < deployment.Models
             ? "m" + std::to_string(index)
             : "a" + std::to_string(index - deployment.Models);
}

std::vector<Arrival> makeArrivals(const Deployment &deployment, uint64_t seed,
                                  double hours) {
  std::mt19937_64 random(seed);
  int rows = deployment.Models + deployment.Adapters;
  std::vector<int> ranks(static_cast<size_t>(rows));
  for (int i = 0; i < rows; ++i)
    ranks[static_cast<size_t>(i)] = i;
  std::shuffle(ranks.begin(), ranks.end(), random);
  std::vector<Arrival> arrivals;
  for (int i = 0; i < rows; ++i) {
    double rank = 1 + ranks[static_cast<size_t>(i)];
    double perSecond =
        TopSessionsPerHour / std::pow(rank, ZipfExponent) / SecondsPerHour;
    std::exponential_distribution<double> next(perSecond * BurstFactor);
    std::bernoulli_distribution kept(1 / BurstFactor);
    for (double at = next(random); at < hours * SecondsPerHour;
         at += next(random))
      if (inBurst(at) || kept(random))
        addSession(arrivals, modelName(deployment, i), at, random);
  }
  std::sort(arrivals.begin(), arrivals.end(),
            [](const Arrival &left, const Arrival &right) {
              return left.At < right.At;
            });
  return arrivals;
}

} // namespace Replay
