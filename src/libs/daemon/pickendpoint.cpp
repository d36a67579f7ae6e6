#include "daemon/dispatch.h"

namespace Daemon::Internal {

namespace {

/// Fills in own calls under way and what the reports say of the others'.
void setLoads(Context &context, std::vector<Routing::Candidate> &candidates) {
  std::vector<Routing::SeenLoad> seen;
  seen.reserve(candidates.size());
  for (Routing::Candidate &it : candidates) {
    it.Outstanding = context.Clients.outstanding(it.Endpoint);
    auto reading = context.Loads.reading(it.Endpoint);
    uint32_t then =
        reading ? context.Clients.outstandingBefore(it.Endpoint, reading->At)
                : 0;
    seen.push_back({reading, then});
  }
  auto loads = Routing::loadsOfOthers(seen, context.Clock.Now());
  for (size_t i = 0; i < candidates.size(); ++i)
    candidates[i].ReportedLoad = loads[i];
}

} // namespace

std::optional<std::string>
pickEndpoint(Context &context, std::vector<Routing::Candidate> candidates,
             const std::set<std::string> &excluded, Routing::Query query) {
  thread_local std::mt19937_64 random(Utils::fastHash(Utils::randomId()));
  std::erase_if(candidates, [&](const Routing::Candidate &it) {
    return excluded.count(it.Endpoint) > 0 ||
           context.Clients.isFull(it.Endpoint, context.Upstream->threads());
  });
  std::vector<std::string> names;
  names.reserve(candidates.size());
  for (const Routing::Candidate &it : candidates)
    names.push_back(it.Endpoint);
  auto ejected = context.Outliers.ejected(names, context.Clock.Now());
  std::erase_if(candidates, [&](const Routing::Candidate &it) {
    return ejected.count(it.Endpoint) > 0;
  });
  setLoads(context, candidates);
  query.OwnDomain = context.Settings.FailureDomain;
  auto index = Routing::choose(candidates, query, random);
  if (!index)
    return std::nullopt;
  return candidates[*index].Endpoint;
}

std::optional<Target> pickTarget(Context &context,
                                 std::vector<Routing::Candidate> candidates,
                                 const std::set<std::string> &excluded,
                                 const Routing::Query &query) {
  auto name = pickEndpoint(context, std::move(candidates), excluded, query);
  if (!name)
    return std::nullopt;
  auto api = context.Store.read([&](const History::State &state) {
    return context.Clients.service(state, *name);
  });
  if (!api)
    return std::nullopt;
  return Target{*name, std::move(*api)};
}

} // namespace Daemon::Internal
