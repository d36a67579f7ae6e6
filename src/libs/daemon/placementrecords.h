#ifndef DAEMON_PLACEMENTRECORDS_H
#define DAEMON_PLACEMENTRECORDS_H

#include "daemon/endpointworker.h"
#include "history/history.h"
#include "placement/placement.h"

namespace Daemon::Internal {

/// Whether the step sends an order; else it appends a record.
bool isOrder(Placement::StepKind kind);

/// Order of a step that sends one, as the state has it.
EndpointJob jobFor(const History::State &state, const Placement::Step &step);

/// Records of a decision and of a step, without id, fence and actor.
History::ReplicaChange changeFor(const Placement::Decision &decision);
History::ReplicaChange changeFor(const History::Replica &replica,
                                 const Placement::Step &step);

} // namespace Daemon::Internal

#endif // DAEMON_PLACEMENTRECORDS_H
