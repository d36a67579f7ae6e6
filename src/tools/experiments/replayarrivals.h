#ifndef EXPERIMENTS_REPLAYARRIVALS_H
#define EXPERIMENTS_REPLAYARRIVALS_H

#include <cstdint>
#include <string>
#include <vector>

namespace Replay {

/// Sizes and weights of one deployment.
struct Deployment {
  std::string Name;
  int Domains = 0;
  int Engines = 0;
  int Models = 0;
  int Adapters = 0;
  double WeightIdle = 1;
  double WeightColdStart = 1;
};

Deployment cedarbrook();
Deployment agency();

/// One request; times in seconds since the start.
struct Arrival {
  double At = 0;
  double Seconds = 0;
  std::string Model;
};

/// Name of a model or adapter by number; adapters follow the models.
std::string modelName(const Deployment &deployment, int index);

/// Seeded arrivals of a morning in order of time: sessions of several requests
/// each, popularity by Zipf's law, and three times the rate in the second hour.
std::vector<Arrival> makeArrivals(const Deployment &deployment, uint64_t seed,
                                  double hours);

} // namespace Replay

#endif // EXPERIMENTS_REPLAYARRIVALS_H
