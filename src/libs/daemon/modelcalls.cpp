#include "daemon/modelcalls.h"

#include "daemon/admit.h"
#include "daemon/callerauth.h"
#include "daemon/refuseby.h"
#include "routing/routing.h"

#include <nlohmann/json.hpp>

namespace Daemon::Internal {

namespace {

using FrontDoor::Answer;
using FrontDoor::Reason;
using FrontDoor::Refusal;
using FrontDoor::refusalAnswer;
using FrontDoor::Request;
using FrontDoor::RunState;
using Json = nlohmann::json;

constexpr Utils::Milliseconds DemandTimeout(2000);
constexpr uint32_t RetryAfterMs = 1000;

const Table::TeamSet *teamsOf(const History::State &state,
                              const std::string &model) {
  if (auto it = state.Table.Models.find(model); it != state.Table.Models.end())
    return &it->second.Teams;
  if (auto it = state.Table.Adapters.find(model);
      it != state.Table.Adapters.end())
    return &it->second.Teams;
  return nullptr;
}

/// Model named in the body; empty when the body is not a request for a model.
std::string modelOf(const std::string &body) {
  Json parsed = Json::parse(body, nullptr, false);
  if (!parsed.is_object())
    return {};
  auto it = parsed.find("model");
  return it != parsed.end() && it->is_string() ? it->get<std::string>()
                                               : std::string();
}

/// Text whose beginning an engine may have cached; empty when there is none.
std::string promptOf(const std::string &body) {
  Json parsed = Json::parse(body, nullptr, false);
  for (const char *name : {"prompt", "messages"})
    if (auto it = parsed.find(name); it != parsed.end())
      return it->dump();
  return {};
}

std::optional<FrontDoor::Refusal> checkAccess(const History::State &state,
                                              const Request &request,
                                              const std::string &model) {
  auto team = teamOf(state, request);
  if (auto *refusal = std::get_if<FrontDoor::Refusal>(&team))
    return *refusal;
  const Table::TeamSet *teams = teamsOf(state, model);
  if (!teams)
    return FrontDoor::Refusal{Reason::UnknownModel, RunState::NotRun, 0,
                              "model: no model " + model};
  if (!teams->contains(std::get<std::string>(team)))
    return FrontDoor::Refusal{Reason::NotAllowed, RunState::NotRun, 0,
                              "model: not granted to this team"};
  return std::nullopt;
}

bool isWanted(const History::State &state, const std::string &model) {
  if (state.Demands.count(model))
    return true;
  for (const auto &[id, replica] : state.Replicas)
    if (replica.Model == model &&
        replica.Phase != History::ReplicaPhase::Unloading)
      return true;
  return false;
}

} // namespace

ModelCalls::ModelCalls(Context &context) : Shared(context) {}

Answer ModelCalls::complete(const Request &request) {
  std::string model = modelOf(request.Body);
  if (model.empty())
    return refusalAnswer({Reason::MalformedRequest, RunState::NotRun, 0,
                          "the body must be a JSON object in UTF-8 with a "
                          "model"},
                         request.Id);
  std::string team;
  auto refusal = Shared.Store.read([&](const History::State &state) {
    auto refused = checkAccess(state, request, model);
    if (!refused)
      team = std::get<std::string>(teamOf(state, request));
    return refused;
  });
  if (refusal)
    return refusalAnswer(*refusal, request.Id);
  Admit &admission = Shared.Admission->admission();
  auto admitted = admission.admit(request, team, model);
  if (auto *refused = std::get_if<FrontDoor::Refusal>(&admitted)) {
    if (refused->Why == Reason::DeadlineTooShort)
      demandForLater(model);
    return refusalAnswer(*refused, request.Id);
  }
  Request passed = request;
  passed.Priority = admission.priorityOf(team);
  return admission.meter(std::get<TicketPtr>(admitted),
                         forward(passed, team, model), request.Id);
}

Answer ModelCalls::listModels(const Request &request) const {
  return Shared.Store.read([&](const History::State &state) {
    auto team = teamOf(state, request);
    if (auto *refusal = std::get_if<FrontDoor::Refusal>(&team))
      return refusalAnswer(*refusal, request.Id);
    const std::string &name = std::get<std::string>(team);
    Json data = Json::array();
    for (const auto &[model, spec] : state.Table.Models)
      if (spec.Teams.contains(name))
        data.push_back({{"id", model}, {"object", "model"}});
    for (const auto &[adapter, spec] : state.Table.Adapters)
      if (spec.Teams.contains(name))
        data.push_back(
            {{"id", adapter}, {"object", "model"}, {"parent", spec.Base}});
    Answer answer;
    answer.Body = Json{{"object", "list"}, {"data", data}}.dump() + "\n";
    return answer;
  });
}

Answer ModelCalls::forward(const Request &request, const std::string &team,
                           const std::string &model) {
  if (auto refusal = waitForReplica(
          request, model, team, refuseBy(Shared.Clock.Now(), request.Deadline)))
    return refusalAnswer(*refusal, request.Id);
  uint64_t prefix = Routing::prefixHash(model, promptOf(request.Body));
  return forwardIdempotent(
      Shared, request,
      [&](const std::set<std::string> &excluded) {
        return chooseTarget(model, prefix, excluded);
      },
      Utils::strongHash(request.BearerKey));
}

std::optional<Refusal> ModelCalls::waitForReplica(const Request &request,
                                                  const std::string &model,
                                                  const std::string &team,
                                                  Utils::TimePoint deadline) {
  auto isReady = [&](const History::State &state) {
    return !Shared.Replicas.ready(state, model, Shared.Clock.Now()).empty();
  };
  std::optional<std::shared_ptr<void>> waiting;
  std::optional<uint32_t> late;
  Utils::TimePoint begin = Shared.Clock.Now();
  while (!late && Shared.Clock.Now() < deadline) {
    if (Shared.Store.read(isReady)) {
      if (waiting)
        noteReplicaWait(request, model, begin, "ready");
      return std::nullopt;
    }
    if (!waiting)
      waiting = Shared.Waiting.add(model, team, deadline);
    demand(model, deadline);
    Shared.Store.waitUntil(
        [&](const History::State &state) {
          if (isReady(state) || !isWanted(state, model))
            return true;
          late = lateLoad(state, model, deadline);
          return late.has_value();
        },
        deadline);
  }
  if (late) {
    Utils::Event("load_too_late")
        .with("id", request.Id)
        .with("team", team)
        .with("model", model)
        .with("left_ms", Utils::msBetween(Shared.Clock.Now(), deadline))
        .with("ready_ms", *late)
        .warning();
    return Refusal{Reason::DeadlineTooShort, RunState::NotRun, *late,
                   "the model's load takes too long for the deadline"};
  }
  noteReplicaWait(request, model, begin, "none");
  return Refusal{Reason::NoCapacity, RunState::NotRun, RetryAfterMs,
                 "the model could not be loaded in time"};
}

/// Says how long the request waited for a replica, and what the agreed state
/// held of the model's replicas at the end.
void ModelCalls::noteReplicaWait(const Request &request,
                                 const std::string &model,
                                 Utils::TimePoint begin,
                                 std::string_view outcome) const {
  std::map<History::ReplicaPhase, int> phases;
  bool isDemanded = Shared.Store.read([&](const History::State &state) {
    for (const auto &[id, replica] : state.Replicas)
      if (replica.Model == model)
        ++phases[replica.Phase];
    return state.Demands.count(model) > 0;
  });
  Shared.Metrics.observeStage("replica", Shared.Clock.Now() - begin);
  Utils::Event("replica_awaited")
      .with("id", request.Id)
      .with("model", model)
      .with("outcome", outcome)
      .with("waited_ms", Utils::msBetween(begin, Shared.Clock.Now()))
      .with("loading", phases[History::ReplicaPhase::Loading])
      .with("unloading", phases[History::ReplicaPhase::Unloading])
      .with("demanded", isDemanded)
      .info();
}

std::optional<uint32_t> ModelCalls::lateLoad(const History::State &state,
                                             const std::string &model,
                                             Utils::TimePoint deadline) const {
  Utils::TimePoint now = Shared.Clock.Now();
  Admission::LoadView view;
  view.ReadyInMs = Shared.Forecast.readyInMs(state, model, now);
  return Admission::missesDeadline(view, deadline, now);
}

std::optional<Target>
ModelCalls::chooseTarget(const std::string &model, uint64_t prefix,
                         const std::set<std::string> &excluded) {
  auto candidates = Shared.Store.read([&](const History::State &state) {
    return Shared.Replicas.ready(state, model, Shared.Clock.Now());
  });
  return pickTarget(Shared, std::move(candidates), excluded, {"", prefix});
}

void ModelCalls::demand(const std::string &model, Utils::TimePoint deadline) {
  bool wanted = Shared.Store.read(
      [&](const History::State &state) { return isWanted(state, model); });
  if (wanted)
    return;
  History::Demand record{Utils::randomId(), Shared.Settings.Name, model, 1};
  auto left =
      std::chrono::ceil<Utils::Milliseconds>(deadline - Shared.Clock.Now());
  appendRecord(Shared, record, std::min(DemandTimeout, left));
}

void ModelCalls::demandForLater(const std::string &model) {
  bool wanted = Shared.Store.read(
      [&](const History::State &state) { return isWanted(state, model); });
  if (!wanted)
    Shared.Appender->submit(
        History::Demand{Utils::randomId(), Shared.Settings.Name, model, 0},
        Shared.Clock.Now() + DemandTimeout);
}

} // namespace Daemon::Internal
