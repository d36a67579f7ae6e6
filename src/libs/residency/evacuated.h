#ifndef RESIDENCY_EVACUATED_H
#define RESIDENCY_EVACUATED_H

#include "residency/plan.h"

namespace Residency {

/// Models that are called and that only engines of evacuated failure domains
/// hold, the most called first.
std::vector<ModelKey> modelsToReplace(const PlanInput &input);

} // namespace Residency

#endif // RESIDENCY_EVACUATED_H
