#include "placement/placement.h"

#include <optional>

namespace Placement {

namespace {

using History::Replica;
using History::ReplicaPhase;
using History::State;

const Engine::HeldModel *findHeld(const Knowledge &knowledge,
                                  const std::string &id,
                                  const Replica &replica) {
  auto report = knowledge.Reports.find(replica.Endpoint);
  if (report == knowledge.Reports.end())
    return nullptr;
  for (const Engine::HeldModel &it : report->second.Content.Models)
    if (it.ReplicaId == id)
      return &it;
  return nullptr;
}

bool isEndpointGone(const State &state, const std::string &name) {
  auto it = state.Endpoints.find(name);
  return it == state.Endpoints.end() ||
         it->second.Life == History::EndpointLife::Gone;
}

bool checksFencing(const State &state, const std::string &name) {
  auto it = state.Endpoints.find(name);
  return it != state.Endpoints.end() && it->second.ChecksFencing;
}

bool isSoleSender(const Replica &replica, const std::string &self) {
  return replica.Senders.size() == replica.Senders.count(self);
}

/// Orders of an earlier process of this daemon have ended once the endpoint
/// has answered this process.
bool hasUnknownOutcome(const Knowledge &knowledge, const OrderTrace *trace,
                       const std::string &endpoint) {
  if (trace)
    return trace->OutcomeUnknown;
  return knowledge.Reports.count(endpoint) == 0;
}

bool isDraining(const Knowledge &knowledge, const std::string &id,
                const Replica &replica, Utils::TimePoint now) {
  auto drain = knowledge.Drains.find(id);
  if (drain == knowledge.Drains.end() || now >= drain->second.Until)
    return false;
  if (now < drain->second.NotBefore)
    return true;
  const Engine::HeldModel *held = findHeld(knowledge, id, replica);
  return held && held->Running > 0;
}

std::optional<Step> loadStep(const Knowledge &knowledge, const std::string &id,
                             const Replica &replica, const OrderTrace *trace) {
  const Engine::HeldModel *held = findHeld(knowledge, id, replica);
  if (held && held->Phase == Engine::HeldPhase::Ready)
    return Step{StepKind::RecordReady, id, replica.Decision};
  bool taken = trace && trace->Taken && trace->Decision == replica.Decision;
  if (taken && held)
    return std::nullopt;
  return Step{StepKind::SendLoad, id, replica.Decision};
}

std::optional<Step> unloadStep(const State &state, const Knowledge &knowledge,
                               const std::string &self, const std::string &id,
                               const Replica &replica, const OrderTrace *trace,
                               Utils::TimePoint now) {
  bool heldNoMore =
      trace && trace->HeldNoMore && trace->Decision == replica.Decision;
  if (heldNoMore &&
      (isSoleSender(replica, self) || checksFencing(state, replica.Endpoint)))
    return Step{StepKind::RecordGone, id, replica.Decision};
  if (isDraining(knowledge, id, replica, now))
    return std::nullopt;
  return Step{StepKind::SendUnload, id, replica.Decision};
}

std::optional<Step> nextStep(const State &state, const Knowledge &knowledge,
                             const std::string &self, bool holds,
                             const std::string &id, const Replica &replica,
                             Utils::TimePoint now) {
  if (isEndpointGone(state, replica.Endpoint))
    return holds ? std::optional(Step{StepKind::RecordGone, id, 0})
                 : std::nullopt;
  auto order = knowledge.Orders.find(id);
  const OrderTrace *trace =
      order == knowledge.Orders.end() ? nullptr : &order->second;
  if (trace && trace->InFlight > 0)
    return std::nullopt;
  auto mine = replica.Senders.find(self);
  bool isSender = mine != replica.Senders.end();
  if (!holds || replica.Phase == ReplicaPhase::Ready) {
    if (!isSender || hasUnknownOutcome(knowledge, trace, replica.Endpoint))
      return std::nullopt;
    return Step{StepKind::Settle, id, mine->second};
  }
  if (!isSender || !trace || trace->Adopted != mine->second)
    return Step{StepKind::Adopt, id, replica.Decision};
  std::optional<Step> step =
      replica.Phase == ReplicaPhase::Loading
          ? loadStep(knowledge, id, replica, trace)
          : unloadStep(state, knowledge, self, id, replica, trace, now);
  bool isOrder = step && (step->Kind == StepKind::SendLoad ||
                          step->Kind == StepKind::SendUnload);
  if (isOrder && trace && trace->Decision == replica.Decision &&
      now < trace->RetryAt)
    return std::nullopt;
  return step;
}

} // namespace

std::vector<Step> nextSteps(const State &state, const Knowledge &knowledge,
                            const std::string &self, bool holds,
                            Utils::TimePoint now) {
  std::vector<Step> steps;
  for (const auto &[id, replica] : state.Replicas)
    if (auto step = nextStep(state, knowledge, self, holds, id, replica, now))
      steps.push_back(std::move(*step));
  return steps;
}

void noteAdopted(Knowledge &knowledge, const std::string &replicaId,
                 History::Position at) {
  knowledge.Orders[replicaId].Adopted = at;
}

void noteSettling(Knowledge &knowledge, const std::string &replicaId) {
  knowledge.Orders[replicaId].Adopted = 0;
}

void beginOrder(Knowledge &knowledge, const State &state,
                const std::string &self, const std::string &replicaId) {
  const Replica &replica = state.Replicas.at(replicaId);
  OrderTrace &trace = knowledge.Orders[replicaId];
  ++trace.InFlight;
  if (trace.Decision != replica.Decision)
    trace.Taken = trace.HeldNoMore = false;
  trace.Decision = replica.Decision;
  trace.SoleSender =
      isSoleSender(replica, self) || checksFencing(state, replica.Endpoint);
}

void endOrder(OrderTrace &trace, OrderEnd end, Utils::TimePoint retryAt) {
  --trace.InFlight;
  trace.RetryAt = retryAt;
  if (end == OrderEnd::Unknown)
    trace.OutcomeUnknown = true;
  else if (end != OrderEnd::NotSent)
    trace.OutcomeUnknown = false;
  trace.Refusals = end == OrderEnd::Refused ? trace.Refusals + 1 : 0;
  trace.Taken |= end == OrderEnd::Taken;
  trace.HeldNoMore |= end == OrderEnd::Gone && trace.SoleSender;
}

void takeReport(Knowledge &knowledge, const State &state,
                const std::string &endpoint, Engine::Report report,
                Utils::TimePoint now) {
  knowledge.Reports[endpoint] = {std::move(report), now};
  knowledge.NoReportSince.erase(endpoint);
  for (auto it = knowledge.Orders.begin(); it != knowledge.Orders.end();) {
    auto replica = state.Replicas.find(it->first);
    if (replica == state.Replicas.end() && it->second.InFlight == 0) {
      it = knowledge.Orders.erase(it);
      continue;
    }
    if (replica != state.Replicas.end() &&
        replica->second.Endpoint == endpoint && it->second.InFlight == 0)
      it->second.OutcomeUnknown = false;
    ++it;
  }
}

} // namespace Placement
