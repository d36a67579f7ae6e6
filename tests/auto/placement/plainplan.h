#ifndef PLACEMENT_PLAINPLAN_H
#define PLACEMENT_PLAINPLAN_H

#include "placement/placement.h"

/// planRound() without indexes: each question walks over the whole state.
std::vector<Placement::Decision> planPlainly(const History::State &state,
                                             const Placement::Knowledge &known,
                                             const Placement::Policy &policy,
                                             Utils::TimePoint now);

#endif // PLACEMENT_PLAINPLAN_H
