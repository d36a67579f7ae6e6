#ifndef ROUTING_ROUTING_H
#define ROUTING_ROUTING_H

/// Public header of the routing library: which replica takes a request. Load
/// is compared by two choices (Mitzenmacher, "The Power of Two Choices", 2001),
/// prefixes stay where they are cached by consistent hashing with bounded loads
/// (Mirrokni, Thorup, Zadimoghaddam, 2018).
#include "history/history.h"
#include "routing/loadboard.h"
#include "routing/outliers.h"
#include "routing/replicaindex.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Routing {

/// A place that could take the request.
struct Candidate {
  std::string Endpoint;
  std::string FailureDomain;
  /// Requests of other daemons queued or running there by its last report, see
  /// loadsOfOthers().
  uint32_t ReportedLoad = 0;
  /// Requests that this daemon has under way there.
  uint32_t Outstanding = 0;
};

/// What a request asks of its place.
struct Query {
  /// Failure domain of this daemon; empty when it does not matter.
  std::string OwnDomain;
  /// Hash of the prompt's beginning; 0 when there is none to reuse.
  uint64_t PrefixHash = 0;
};

/// Hash of the model and the beginning of the prompt; 0 for an empty prompt.
uint64_t prefixHash(const std::string &model, std::string_view prompt);

/// Live candidates that hold a ready replica of the model, by a full scan.
std::vector<Candidate> readyReplicas(const History::State &state,
                                     const std::string &model);

/// Live endpoints of a plain service.
std::vector<Candidate> serviceEndpoints(const History::State &state,
                                        const std::string &service);

/// Index of the candidate chosen, or nothing when there is none. A request with
/// a prefix goes where the prefix belongs, in any failure domain; any other
/// stays in the own domain while its load is within a bound of the mean.
std::optional<size_t> choose(const std::vector<Candidate> &candidates,
                             const Query &query, std::mt19937_64 &random);

} // namespace Routing

#endif // ROUTING_ROUTING_H
