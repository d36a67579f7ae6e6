#include "routing/replicaindex.h"
#include "routing/routing.h"

namespace Routing {

std::vector<Candidate> ReplicaIndex::ready(const History::State &state,
                                           const std::string &model,
                                           Utils::TimePoint now) {
  std::lock_guard lock(Mutex);
  if (state.Applied != BuiltAt && now - BuiltTime >= MaxLag)
    rebuild(state, now);
  std::vector<Candidate> candidates = live(state, model);
  if (candidates.empty() && state.Applied != BuiltAt) {
    rebuild(state, now);
    candidates = live(state, model);
  }
  return candidates;
}

std::vector<Candidate> ReplicaIndex::live(const History::State &state,
                                          const std::string &model) const {
  auto it = ByModel.find(model);
  if (it == ByModel.end())
    return {};
  std::vector<Candidate> candidates = it->second;
  std::erase_if(candidates, [&](const Candidate &candidate) {
    auto endpoint = state.Endpoints.find(candidate.Endpoint);
    return endpoint == state.Endpoints.end() ||
           endpoint->second.Life != History::EndpointLife::Live;
  });
  return candidates;
}

void ReplicaIndex::rebuild(const History::State &state, Utils::TimePoint now) {
  ByModel.clear();
  for (const auto &[id, replica] : state.Replicas) {
    if (replica.Phase != History::ReplicaPhase::Ready)
      continue;
    auto it = state.Endpoints.find(replica.Endpoint);
    if (it != state.Endpoints.end())
      ByModel[replica.Model].push_back(
          {replica.Endpoint, it->second.FailureDomain, 0, 0});
  }
  BuiltAt = state.Applied;
  BuiltTime = now;
}

} // namespace Routing
