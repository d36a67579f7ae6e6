#include "daemon/placementrecords.h"

namespace Daemon::Internal {

namespace {

using Placement::StepKind;

History::ReplicaAction actionOf(StepKind kind) {
  switch (kind) {
  case StepKind::RecordReady:
    return History::ReplicaAction::Ready;
  case StepKind::RecordGone:
    return History::ReplicaAction::Gone;
  case StepKind::Settle:
    return History::ReplicaAction::Settled;
  default:
    return History::ReplicaAction::Adopt;
  }
}

} // namespace

bool isOrder(StepKind kind) {
  return kind == StepKind::SendLoad || kind == StepKind::SendUnload;
}

EndpointJob jobFor(const History::State &state, const Placement::Step &step) {
  const History::Replica &replica = state.Replicas.at(step.ReplicaId);
  EndpointJob job;
  job.Kind = step.Kind == StepKind::SendLoad ? EndpointJobKind::Load
                                             : EndpointJobKind::Unload;
  job.Order.ReplicaId = step.ReplicaId;
  job.Order.Model = replica.Model;
  job.Order.MemoryMb = replica.MemoryMb;
  job.Order.FencingToken = step.At;
  const History::TableState &table = state.Table;
  if (auto it = table.Models.find(replica.Model); it != table.Models.end())
    job.Order.Weights = it->second.Weights;
  if (auto it = table.Adapters.find(replica.Model);
      it != table.Adapters.end()) {
    job.Order.Weights = it->second.Weights;
    job.Order.Base = it->second.Base;
  }
  return job;
}

History::ReplicaChange changeFor(const Placement::Decision &decision) {
  History::ReplicaChange change;
  change.Action = decision.Kind == Placement::DecisionKind::Load
                      ? History::ReplicaAction::DecideLoad
                      : History::ReplicaAction::DecideUnload;
  change.ReplicaId = decision.ReplicaId;
  change.Model = decision.Model;
  change.Endpoint = decision.Endpoint;
  return change;
}

History::ReplicaChange changeFor(const History::Replica &replica,
                                 const Placement::Step &step) {
  History::ReplicaChange change;
  change.Action = actionOf(step.Kind);
  change.ReplicaId = step.ReplicaId;
  change.Model = replica.Model;
  change.Endpoint = replica.Endpoint;
  if (step.Kind == StepKind::Settle)
    change.Settles = step.At;
  return change;
}

} // namespace Daemon::Internal
