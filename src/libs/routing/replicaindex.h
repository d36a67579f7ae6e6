#ifndef ROUTING_REPLICAINDEX_H
#define ROUTING_REPLICAINDEX_H

#include "history/history.h"
#include "utils/clock.h"

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace Routing {

struct Candidate;

/// Ready replicas by model. Follows the state with a lag of at most MaxLag; an
/// endpoint that leaves, and a model without replicas, are looked up anew at
/// once. Thread-safe.
class ReplicaIndex {
public:
  static constexpr Utils::Milliseconds MaxLag{20};

  /// Live candidates that hold a ready replica of the model.
  std::vector<Candidate> ready(const History::State &state,
                               const std::string &model, Utils::TimePoint now);

private:
  using Map = std::unordered_map<std::string, std::vector<Candidate>>;

  /// Indexed candidates whose endpoints are live in this very state.
  std::vector<Candidate> live(const History::State &state,
                              const std::string &model) const;
  void rebuild(const History::State &state, Utils::TimePoint now);

  std::mutex Mutex;
  Map ByModel;
  History::Position BuiltAt = 0;
  Utils::TimePoint BuiltTime{};
};

} // namespace Routing

#endif // ROUTING_REPLICAINDEX_H
