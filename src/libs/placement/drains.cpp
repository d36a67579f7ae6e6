#include "placement/plan.h"

#include <algorithm>

namespace Placement {

using History::Replica;
using History::ReplicaPhase;
using History::State;
using Utils::Milliseconds;
using Utils::TimePoint;

namespace {

/// Weight of a new unload time in the running mean.
constexpr int UnloadTimeShare = 4;
/// How much a load from the weight store counts against one from the engine: it
/// takes one of few slots, and how long they take depends on the other loads.
constexpr int StoreLoadWeight = 2;

/// Whether others can still send orders, so that the end of the unload depends
/// on when they settle.
bool hasOtherSenders(const State &state, const Replica &replica) {
  return replica.Senders.size() > 1 &&
         !state.Endpoints.at(replica.Endpoint).ChecksFencing;
}

bool isRunning(const Engine::Report &report, const std::string &id) {
  return std::any_of(
      report.Models.begin(), report.Models.end(),
      [&](const auto &it) { return it.ReplicaId == id && it.Running > 0; });
}

bool keepsCheckpoint(const Engine::Report &report, const std::string &weights) {
  auto contains = [&](const std::vector<std::string> &names) {
    return std::find(names.begin(), names.end(), weights) != names.end();
  };
  return contains(report.CachedInMemory) || contains(report.CachedOnDisk);
}

/// When the first order was sent or is expected to be.
TimePoint sentAt(const Drain &drain, bool running, TimePoint now) {
  if (drain.SentAt)
    return *drain.SentAt;
  return running ? drain.Until
                 : std::min(std::max(now, drain.NotBefore), drain.Until);
}

/// When the unload is expected to have ended; nothing once it is overdue.
std::optional<TimePoint> unloadEnd(const Knowledge &knowledge,
                                   const Policy &policy, const Drain &drain,
                                   bool running, TimePoint now) {
  TimePoint sent = sentAt(drain, running, now);
  Milliseconds taken = knowledge.UnloadTime.value_or(policy.UnloadTime);
  if (now >= sent + std::max(2 * taken, policy.UnloadPatience))
    return std::nullopt;
  return std::max(now, sent + taken);
}

/// Expected load from the weight store; the slowest one under way tells its
/// pace sooner than the last that ended.
Milliseconds storeLoadTime(const Knowledge &knowledge, const Policy &policy,
                           const std::string &model, TimePoint now) {
  Milliseconds sum(0);
  for (const auto &[other, time] : knowledge.StoreLoadTimes)
    sum += time;
  auto n = static_cast<int64_t>(knowledge.StoreLoadTimes.size());
  Milliseconds expected = n > 0 ? sum / n : policy.LoadTime;
  if (auto it = knowledge.StoreLoadTimes.find(model);
      it != knowledge.StoreLoadTimes.end())
    expected = it->second;
  for (const std::string &other : knowledge.StoreLoading)
    if (auto it = knowledge.LoadStarted.find(other);
        it != knowledge.LoadStarted.end())
      expected = std::max(
          expected, std::chrono::duration_cast<Milliseconds>(now - it->second));
  return expected;
}

void forget(Engine::Report &report, const std::string &id, uint64_t memoryMb) {
  if (std::erase_if(report.Models,
                    [&](const auto &it) { return it.ReplicaId == id; }) > 0)
    report.MemoryUsedMb -= std::min(report.MemoryUsedMb, memoryMb);
}

} // namespace

void noteDrains(Knowledge &knowledge, const State &state, Milliseconds grace,
                Milliseconds longest, TimePoint now) {
  for (const auto &[id, replica] : state.Replicas)
    if (replica.Phase == ReplicaPhase::Unloading)
      knowledge.Drains.try_emplace(id, Drain{now + grace, now + longest, {}});
  std::erase_if(knowledge.Drains, [&](const auto &it) {
    return state.Replicas.count(it.first) == 0;
  });
}

void noteUnloadSent(Knowledge &knowledge, const std::string &replicaId,
                    TimePoint now) {
  auto it = knowledge.Drains.find(replicaId);
  if (it != knowledge.Drains.end() && !it->second.SentAt)
    it->second.SentAt = now;
}

void noteGone(Knowledge &knowledge, const std::string &replicaId,
              const Replica &replica, TimePoint now) {
  if (auto it = knowledge.Reports.find(replica.Endpoint);
      it != knowledge.Reports.end())
    forget(it->second.Content, replicaId, replica.MemoryMb);
  auto it = knowledge.Drains.find(replicaId);
  if (it == knowledge.Drains.end())
    return;
  if (it->second.SentAt) {
    auto taken =
        std::chrono::duration_cast<Milliseconds>(now - *it->second.SentAt);
    Milliseconds mean = knowledge.UnloadTime.value_or(taken);
    knowledge.UnloadTime = mean + (taken - mean) / UnloadTimeShare;
  }
  knowledge.Drains.erase(it);
}

bool isWorthAwaiting(const State &state, const Knowledge &knowledge,
                     const Policy &policy, const std::string &replicaId,
                     TimePoint now) {
  const Replica &replica = state.Replicas.at(replicaId);
  auto drain = knowledge.Drains.find(replicaId);
  auto report = knowledge.Reports.find(replica.Endpoint);
  if (replica.Phase != ReplicaPhase::Unloading ||
      !Internal::isLiveEngine(state, replica.Endpoint) ||
      hasOtherSenders(state, replica) || drain == knowledge.Drains.end() ||
      report == knowledge.Reports.end() ||
      !keepsCheckpoint(report->second.Content,
                       Internal::weightsOf(state, replica.Model)))
    return false;
  auto trace = knowledge.Orders.find(replicaId);
  if (trace != knowledge.Orders.end() && trace->second.OutcomeUnknown)
    return false;
  auto end = unloadEnd(knowledge, policy, drain->second,
                       isRunning(report->second.Content, replicaId), now);
  auto kept = knowledge.KeptLoadTimes.find(replica.Model);
  Milliseconds load =
      kept == knowledge.KeptLoadTimes.end() ? Milliseconds(0) : kept->second;
  return end && *end + load <=
                    now + StoreLoadWeight * storeLoadTime(knowledge, policy,
                                                          replica.Model, now);
}

} // namespace Placement
