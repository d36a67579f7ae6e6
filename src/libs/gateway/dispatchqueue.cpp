#include "gateway/dispatchqueue.h"

#include "gateway/call.h"
#include "gateway/gatewayconstants.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace Gateway {

DispatchQueue::DispatchQueue(asio::io_context &loop) : RetryTimer(loop) {}

void DispatchQueue::add(std::weak_ptr<Call> call) {
  Calls.push_back(std::move(call));
  if (OnAdded)
    OnAdded();
  scheduleRetry();
}

void DispatchQueue::retry() {
  auto calls = std::move(Calls);
  Calls.clear();
  for (std::weak_ptr<Call> &it : calls)
    if (auto call = it.lock(); call && call->retryDispatch())
      Calls.push_back(std::move(it));
}

void DispatchQueue::refuseAll() {
  for (const std::weak_ptr<Call> &it : std::exchange(Calls, {}))
    if (auto call = it.lock())
      call->refuseQueued();
}

void DispatchQueue::scheduleRetry() {
  if (RetryScheduled || Calls.empty())
    return;
  RetryScheduled = true;
  RetryTimer.callAfter(DispatchRetryInterval, [this] {
    RetryScheduled = false;
    retry();
    scheduleRetry();
  });
}

std::vector<FleetLink::WaitingCalls> DispatchQueue::summary() const {
  using Key = std::tuple<std::string, std::string, std::string>;
  std::map<Key, FleetLink::WaitingCalls> sums;
  Utils::TimePoint now = Utils::BootClock::now();
  for (const std::weak_ptr<Call> &it : Calls) {
    auto call = it.lock();
    if (!call || call->isDone())
      continue;
    FleetLink::WaitingCalls wait = call->queuedDemand(now);
    auto &sum = sums[{wait.Service, wait.Model, wait.Adapter}];
    uint32_t calls = sum.Calls + 1;
    uint32_t earliest = sum.Calls == 0 ? wait.EarliestDeadlineMs
                                       : std::min(sum.EarliestDeadlineMs,
                                                  wait.EarliestDeadlineMs);
    sum = wait;
    sum.Calls = calls;
    sum.EarliestDeadlineMs = earliest;
  }
  std::vector<FleetLink::WaitingCalls> out;
  out.reserve(sums.size());
  for (auto &[key, wait] : sums)
    out.push_back(std::move(wait));
  return out;
}

} // namespace Gateway
