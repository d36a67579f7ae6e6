#ifndef PLACEMENT_PLACEMENTFIXTURE_H
#define PLACEMENT_PLACEMENTFIXTURE_H

#include "history/history.h"
#include "history/historyconstants.h"
#include "placement/placement.h"

#include <doctest/doctest.h>

namespace PlacementTest {

using namespace Placement;
using History::ReplicaAction;

inline constexpr uint64_t EngineMb = 24000;
inline constexpr uint64_t ModelMb = 10000;
inline constexpr const char *Self = "d0";

/// The real fold with this daemon as the holder, and engines that do at once
/// what is decided.
struct PlacementFixture {
  History::State State;
  Knowledge Known;
  Placement::Policy Rules;
  Utils::TimePoint Now = Utils::TimePoint() + std::chrono::hours(24);
  uint64_t Offset = 0;
  uint32_t NextId = 0;

  PlacementFixture() {
    History::LeaseChange claim;
    claim.ChangeId = "claim";
    claim.Duty = History::Constants::PlacementDuty;
    claim.Holder = Self;
    claim.DurationMs = 1000;
    append(claim);
  }

  History::Verdict append(const History::Record &record) {
    return History::apply(State, History::positionOf(Offset++, 0), record);
  }
  History::Position fence() const {
    return History::fenceOf(State, History::Constants::PlacementDuty);
  }
  void addEngine(const std::string &name, const std::string &domain,
                 History::EndpointLife life = History::EndpointLife::Live) {
    History::EndpointChange change;
    change.ChangeId = "e" + std::to_string(NextId++);
    change.Fence = fence();
    change.Endpoint = name;
    change.Life = life;
    change.FailureDomain = domain;
    change.MemoryMb = EngineMb;
    append(change);
  }
  void addModel(const std::string &name, uint32_t maxReplicas = 1) {
    Table::ModelSpec spec;
    spec.Weights = "w/" + name;
    spec.MemoryMb = ModelMb - 2000;
    spec.KvCacheMb = 2000;
    spec.MaxReplicas = maxReplicas;
    State.Table.Models[name] = spec;
  }
  void addAdapter(const std::string &name, const std::string &base) {
    Table::AdapterSpec spec;
    spec.Base = base;
    spec.Weights = "w/" + name;
    spec.MemoryMb = 100;
    State.Table.Adapters[name] = spec;
  }
  void demand(const std::string &model) {
    append(History::Demand{"q" + std::to_string(NextId++), Self, model, 1});
  }
  std::vector<Decision> plan() {
    noteUse(Known, State, Now);
    noteReplacements(Known, State, Rules, Now);
    return planRound(State, Known, Rules, Now);
  }
  History::Verdict change(ReplicaAction action, const Decision &decision) {
    History::ReplicaChange change;
    change.ChangeId = "r" + std::to_string(NextId++);
    change.Action = action;
    change.Fence = fence();
    change.Actor = Self;
    change.ReplicaId = decision.ReplicaId;
    change.Model = decision.Model;
    change.Endpoint = decision.Endpoint;
    return append(change);
  }
  /// Decides, and carries out at once.
  std::vector<Decision> round() {
    std::vector<Decision> decisions = plan();
    for (const Decision &it : decisions) {
      bool load = it.Kind == DecisionKind::Load;
      CHECK(
          change(load ? ReplicaAction::DecideLoad : ReplicaAction::DecideUnload,
                 it)
              .Accepted);
      if (load)
        noteLoadStart(Known, State, it, Now);
      change(load ? ReplicaAction::Ready : ReplicaAction::Gone, it);
    }
    report();
    return decisions;
  }
  void report(uint32_t running = 0) {
    for (const auto &[name, endpoint] : State.Endpoints) {
      Engine::Report content = Known.Reports[name].Content;
      content.Models.clear();
      for (const auto &[id, replica] : State.Replicas)
        if (replica.Endpoint == name)
          content.Models.push_back(
              {replica.Model, id, Engine::HeldPhase::Ready, 0, running, 0});
      takeReport(Known, State, name, content, Now);
    }
  }
  std::string endpointOf(const std::string &model) const {
    for (const auto &[id, replica] : State.Replicas)
      if (replica.Model == model)
        return replica.Endpoint;
    return "";
  }
};

} // namespace PlacementTest

#endif // PLACEMENT_PLACEMENTFIXTURE_H
