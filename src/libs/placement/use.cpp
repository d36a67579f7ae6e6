#include "placement/placement.h"

#include <algorithm>
#include <cmath>

namespace Placement {

namespace {

constexpr double TeamHalfLifeSeconds = 600;
/// Weight of a new load time in the running mean.
constexpr int LoadTimeShare = 4;

double secondsBetween(Utils::TimePoint from, Utils::TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}

/// A use after another that went on until now ends no gap.
void used(Knowledge &knowledge, const std::string &model, Utils::TimePoint now,
          bool goesOn = false) {
  ModelUse &use = knowledge.Uses[model];
  if (use.LastUsed != Utils::TimePoint() && !goesOn) {
    double gap = secondsBetween(use.LastUsed, now);
    if (gap > 1) {
      use.Gaps.add(gap);
      knowledge.AllGaps.add(gap);
    }
  }
  use.LastUsed = now;
}

const std::string *baseOf(const History::State &state,
                          const std::string &model) {
  auto it = state.Table.Adapters.find(model);
  return it == state.Table.Adapters.end() ? nullptr : &it->second.Base;
}

void noteReplica(Knowledge &knowledge, const Engine::HeldModel &held,
                 Utils::TimePoint at) {
  ReplicaUse &use = knowledge.ReplicaUses[held.ReplicaId];
  bool inUse = held.Running > 0 || held.Served != use.Served;
  if (!inUse && at == use.SeenAt)
    return;
  bool goesOn = use.WasInUse;
  use.Served = held.Served;
  use.SeenAt = at;
  use.WasInUse = inUse;
  if (!inUse)
    return;
  use.LastUsed = at;
  used(knowledge, held.Model, at, goesOn);
}

void addToMean(std::map<std::string, Utils::Milliseconds> &means,
               const std::string &model, Utils::Milliseconds taken) {
  auto [it, isNew] = means.try_emplace(model, taken);
  if (!isNew)
    it->second += (taken - it->second) / LoadTimeShare;
}

/// A base model is in use while an adapter on it is.
void noteBases(Knowledge &knowledge, const History::State &state) {
  using Place = std::pair<std::string_view, std::string_view>;
  std::map<Place, Utils::TimePoint> used;
  for (const auto &[id, replica] : state.Replicas)
    if (const std::string *base = baseOf(state, replica.Model)) {
      Utils::TimePoint &at = used[{*base, replica.Endpoint}];
      at = std::max(at, knowledge.ReplicaUses[id].LastUsed);
    }
  if (used.empty())
    return;
  for (const auto &[id, replica] : state.Replicas)
    if (auto it = used.find({replica.Model, replica.Endpoint});
        it != used.end()) {
      Utils::TimePoint &at = knowledge.ReplicaUses[id].LastUsed;
      at = std::max(at, it->second);
    }
}

} // namespace

void noteUse(Knowledge &knowledge, const History::State &state,
             Utils::TimePoint now) {
  for (const auto &[endpoint, report] : knowledge.Reports)
    for (const Engine::HeldModel &held : report.Content.Models)
      if (state.Replicas.count(held.ReplicaId))
        noteReplica(knowledge, held, report.At);
  for (const auto &[model, since] : state.Demands)
    if (ModelUse &use = knowledge.Uses[model]; use.DemandSeen != since) {
      use.DemandSeen = since;
      used(knowledge, model, now);
    }
  for (const auto &[id, replica] : state.Replicas)
    if (replica.Phase == History::ReplicaPhase::Ready)
      if (ReplicaUse &use = knowledge.ReplicaUses[id];
          use.LastUsed == Utils::TimePoint())
        use.LastUsed = now;
  std::erase_if(knowledge.ReplicaUses, [&](const auto &it) {
    return state.Replicas.count(it.first) == 0;
  });
  noteBases(knowledge, state);
}

void noteLoadStart(Knowledge &knowledge, const History::State &state,
                   const Decision &decision, Utils::TimePoint now) {
  knowledge.LoadStarted[decision.Model] = now;
  knowledge.Replace.erase(decision.Model);
  knowledge.StoreLoading.erase(decision.Model);
  if (decision.FromStore && !baseOf(state, decision.Model)) {
    knowledge.LastStoreLoad = now;
    knowledge.StoreLoading.insert(decision.Model);
  }
  auto waiting = knowledge.WaitingFor.find(decision.Model);
  if (waiting == knowledge.WaitingFor.end())
    return;
  TeamLoads &team = knowledge.Teams[waiting->second.Team];
  double halvings = secondsBetween(team.At, now) / TeamHalfLifeSeconds;
  team.Decayed = team.Decayed * std::exp2(-halvings) + 1;
  team.At = now;
}

void addWaiting(Waiting &waiting, const Waiting &other) {
  waiting.Requests += other.Requests;
  if (other.EarliestDeadline >= waiting.EarliestDeadline)
    return;
  waiting.EarliestDeadline = other.EarliestDeadline;
  waiting.Team = other.Team;
}

void noteLoads(Knowledge &knowledge, const History::State &state,
               Utils::TimePoint now) {
  std::set<std::string_view> loading;
  std::set<std::string_view> ready;
  for (const auto &[id, replica] : state.Replicas) {
    if (replica.Phase == History::ReplicaPhase::Loading)
      loading.insert(replica.Model);
    if (replica.Phase == History::ReplicaPhase::Ready)
      ready.insert(replica.Model);
  }
  std::vector<std::string> ended;
  for (const auto &[model, since] : knowledge.LoadStarted)
    if (!loading.count(model))
      ended.push_back(model);
  for (const std::string &model : ended) {
    if (ready.count(model))
      noteReady(knowledge, model, now);
    knowledge.LoadStarted.erase(model);
    knowledge.StoreLoading.erase(model);
  }
  for (std::string_view model : loading)
    knowledge.LoadStarted.try_emplace(std::string(model), now);
}

void noteReady(Knowledge &knowledge, const std::string &model,
               Utils::TimePoint now) {
  auto started = knowledge.LoadStarted.find(model);
  if (started == knowledge.LoadStarted.end())
    return;
  auto taken =
      std::chrono::duration_cast<Utils::Milliseconds>(now - started->second);
  knowledge.LoadStarted.erase(started);
  addToMean(knowledge.LoadTimes, model, taken);
  bool fromStore = knowledge.StoreLoading.erase(model) > 0;
  addToMean(fromStore ? knowledge.StoreLoadTimes : knowledge.KeptLoadTimes,
            model, taken);
}

} // namespace Placement
