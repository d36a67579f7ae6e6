#ifndef EXPERIMENTS_ENDTOENDREFERENCE_H
#define EXPERIMENTS_ENDTOENDREFERENCE_H

#include <cstdint>
#include <string>
#include <vector>

namespace Experiments {

/// What the stand-ins can do. Times in seconds.
struct ReferenceRates {
  double LoadS = 1;
  /// Load on an engine that has held the model before.
  double ReloadS = 0.05;
  /// A whole call to a ready model.
  double CallS = 0.1;
  uint32_t StoreLoadsAtOnce = 4;
  uint32_t Engines = 1;
  uint32_t ModelsPerEngine = 1;
};

/// Times in seconds since the start of the run. The model is the one that
/// engines have to hold; that of an adapter is its base.
struct ReferenceRequest {
  double AtS = 0;
  double DeadlineS = 0;
  std::string Model;
};

enum class Servable : uint8_t {
  No,      ///< A load begun with the model's first request would be too late.
  Unknown, ///< Neither is shown.
  Yes,     ///< A policy that does not know the future serves it.
};

/// Whether some policy could have served each request, from an empty fleet. The
/// witness is a policy that serves all requests, loads the model with the
/// earliest deadline first and unloads the one unused for longest. Knows
/// nothing of what the daemons did.
std::vector<Servable> servable(const std::vector<ReferenceRequest> &requests,
                               const ReferenceRates &rates);

} // namespace Experiments

#endif // EXPERIMENTS_ENDTOENDREFERENCE_H
