#include "placement/placement.h"
#include "utils/digest.h"

#include <algorithm>
#include <array>
#include <cstring>

namespace Placement {

using History::State;
using Utils::TimePoint;

namespace {

struct Mark {
  uint64_t Value = 0;

  void add(uint64_t part) {
    std::array<char, sizeof(part)> bytes;
    std::memcpy(bytes.data(), &part, sizeof(part));
    Value = Utils::fastHash({bytes.data(), bytes.size()}, Value);
  }
};

void addReplica(Mark &mark, const History::Replica &replica) {
  mark.add(replica.Decision);
  mark.add(static_cast<uint64_t>(replica.Phase));
  mark.add(replica.Senders.size());
  for (const auto &[daemon, at] : replica.Senders)
    mark.add(at);
}

void addEndpoint(Mark &mark, const History::Endpoint &endpoint) {
  mark.add(static_cast<uint64_t>(endpoint.Life));
  mark.add(endpoint.Port);
  mark.add(endpoint.MemoryMb);
  mark.add(endpoint.ChargedMb);
}

/// Whether both say the same of one replica, as far as it is decided on at
/// once.
bool isSame(const Knowledge &knowledge, const Policy &policy,
            const Engine::HeldModel &left, const Engine::HeldModel &right) {
  bool drains = knowledge.Drains.count(left.ReplicaId) > 0;
  return left.ReplicaId == right.ReplicaId && left.Phase == right.Phase &&
         (left.Running >= policy.BusyRequests) ==
             (right.Running >= policy.BusyRequests) &&
         (!drains || (left.Running > 0) == (right.Running > 0));
}

bool hasUnknownOrder(const Knowledge &knowledge, const State &state,
                     const std::string &endpoint) {
  for (const auto &[id, trace] : knowledge.Orders)
    if (trace.OutcomeUnknown)
      if (auto it = state.Replicas.find(id);
          it != state.Replicas.end() && it->second.Endpoint == endpoint)
        return true;
  return false;
}

} // namespace

uint64_t changeMark(const State &state) {
  Mark mark;
  mark.add(state.Replicas.size());
  for (const auto &[id, replica] : state.Replicas)
    addReplica(mark, replica);
  mark.add(state.Endpoints.size());
  for (const auto &[name, endpoint] : state.Endpoints)
    addEndpoint(mark, endpoint);
  for (const auto &[model, since] : state.Demands)
    mark.add(since);
  return mark.Value;
}

bool isNews(const Knowledge &knowledge, const State &state,
            const Policy &policy, const std::string &endpoint,
            const Engine::Report &report) {
  auto it = knowledge.Reports.find(endpoint);
  if (it == knowledge.Reports.end() ||
      knowledge.NoReportSince.count(endpoint) > 0)
    return true;
  const Engine::Report &old = it->second.Content;
  return old.MemoryUsedMb != report.MemoryUsedMb ||
         old.CachedInMemory != report.CachedInMemory ||
         old.CachedOnDisk != report.CachedOnDisk ||
         !std::equal(old.Models.begin(), old.Models.end(),
                     report.Models.begin(), report.Models.end(),
                     [&](const auto &left, const auto &right) {
                       return isSame(knowledge, policy, left, right);
                     }) ||
         hasUnknownOrder(knowledge, state, endpoint);
}

TimePoint nextDue(const State &state, const Knowledge &knowledge,
                  const Policy &policy, TimePoint now) {
  TimePoint due = now + policy.LookPeriod;
  auto consider = [&](TimePoint at) {
    if (at > now)
      due = std::min(due, at);
  };
  for (const auto &[id, drain] : knowledge.Drains) {
    consider(drain.NotBefore);
    consider(drain.Until);
  }
  for (const auto &[id, trace] : knowledge.Orders)
    consider(trace.RetryAt);
  for (const auto &[endpoint, since] : knowledge.NoReportSince)
    consider(since + policy.SilentAfter);
  if (!state.Demands.empty() || !knowledge.Replace.empty())
    consider(knowledge.LastStoreLoad + policy.LoadInterval);
  return due;
}

} // namespace Placement
