#include "routing/routing.h"
#include "utils/digest.h"

#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

bool isLive(const History::State &state, const std::string &endpoint) {
  auto it = state.Endpoints.find(endpoint);
  return it != state.Endpoints.end() &&
         it->second.Life == History::EndpointLife::Live;
}

/// Load over the mean at which a place is passed over, as ratios.
constexpr double PrefixLoadBound = 1.5;
constexpr double DomainLoadBound = 1.25;
constexpr size_t PrefixBytes = 512;

uint32_t loadOf(const Candidate &candidate) {
  return candidate.ReportedLoad + candidate.Outstanding;
}

/// Most requests that a place may have with one more than now among n places.
double loadBound(double ratio, uint64_t total, size_t n) {
  return std::ceil(ratio * static_cast<double>(total + 1) /
                   static_cast<double>(n));
}

/// The candidates of the own domain while one of them is within the bound of
/// the mean over all; else all.
std::vector<size_t> nearEnough(const std::vector<Candidate> &candidates,
                               const std::string &domain) {
  std::vector<size_t> all(candidates.size());
  std::vector<size_t> near;
  uint64_t total = 0;
  uint32_t least = UINT32_MAX;
  for (size_t i = 0; i < candidates.size(); ++i) {
    all[i] = i;
    total += loadOf(candidates[i]);
    if (candidates[i].FailureDomain != domain)
      continue;
    near.push_back(i);
    least = std::min(least, loadOf(candidates[i]));
  }
  bool overloaded =
      near.empty() ||
      least + 1.0 > loadBound(DomainLoadBound, total, candidates.size());
  return overloaded ? all : near;
}

/// First place in the prefix's own order that is within the load bound, by all
/// requests and by this daemon's own, which it knows without lag; the least
/// loaded when none is. The order is that of highest random weights, so that a
/// place that comes or goes moves only its own prefixes.
size_t byPrefix(const std::vector<Candidate> &candidates, uint64_t prefix) {
  uint64_t total = 0;
  uint64_t own = 0;
  size_t least = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    total += loadOf(candidates[i]);
    own += candidates[i].Outstanding;
    if (loadOf(candidates[i]) < loadOf(candidates[least]))
      least = i;
  }
  double bound = loadBound(PrefixLoadBound, total, candidates.size());
  double ownBound = loadBound(PrefixLoadBound, own, candidates.size());
  std::optional<size_t> best;
  uint64_t bestWeight = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const Candidate &it = candidates[i];
    uint64_t weight = Utils::fastHash(it.Endpoint, prefix);
    if (loadOf(it) + 1.0 > bound || it.Outstanding + 1.0 > ownBound ||
        (best && weight <= bestWeight))
      continue;
    best = i;
    bestWeight = weight;
  }
  return best.value_or(least);
}

size_t byLoad(const std::vector<Candidate> &candidates,
              const std::vector<size_t> &among, std::mt19937_64 &random) {
  std::uniform_int_distribution<size_t> pick(0, among.size() - 1);
  size_t first = pick(random);
  if (among.size() == 1)
    return among[first];
  std::uniform_int_distribution<size_t> other(1, among.size() - 1);
  size_t second = (first + other(random)) % among.size();
  return loadOf(candidates[among[second]]) < loadOf(candidates[among[first]])
             ? among[second]
             : among[first];
}

} // namespace

uint64_t prefixHash(const std::string &model, std::string_view prompt) {
  if (prompt.empty())
    return 0;
  return Utils::fastHash(prompt.substr(0, PrefixBytes), Utils::fastHash(model));
}

std::vector<Candidate> readyReplicas(const History::State &state,
                                     const std::string &model) {
  std::vector<Candidate> candidates;
  for (const auto &[id, replica] : state.Replicas)
    if (replica.Model == model &&
        replica.Phase == History::ReplicaPhase::Ready &&
        isLive(state, replica.Endpoint))
      candidates.push_back({replica.Endpoint,
                            state.Endpoints.at(replica.Endpoint).FailureDomain,
                            0, 0});
  return candidates;
}

std::vector<Candidate> serviceEndpoints(const History::State &state,
                                        const std::string &service) {
  std::vector<Candidate> candidates;
  for (const auto &[name, endpoint] : state.Endpoints)
    if (endpoint.Kind == History::EndpointKind::Service &&
        endpoint.Life == History::EndpointLife::Live &&
        endpoint.Service == service)
      candidates.push_back({name, endpoint.FailureDomain, 0, 0});
  return candidates;
}

std::optional<size_t> choose(const std::vector<Candidate> &candidates,
                             const Query &query, std::mt19937_64 &random) {
  if (candidates.empty())
    return std::nullopt;
  if (query.PrefixHash != 0)
    return byPrefix(candidates, query.PrefixHash);
  return byLoad(candidates, nearEnough(candidates, query.OwnDomain), random);
}

} // namespace Routing
