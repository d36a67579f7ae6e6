#include "gateway/waitingroom.h"

#include "gateway/call.h"
#include "gateway/gatewayconstants.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace Gateway {

WaitingRoom::WaitingRoom(asio::io_context &loop) : Tick(loop) {}

void WaitingRoom::add(std::weak_ptr<Call> call) {
  Calls.push_back(std::move(call));
  if (OnAdded)
    OnAdded();
  tick();
}

void WaitingRoom::retry() {
  auto calls = std::move(Calls);
  Calls.clear();
  for (std::weak_ptr<Call> &it : calls)
    if (auto call = it.lock(); call && call->keepWaiting())
      Calls.push_back(std::move(it));
}

void WaitingRoom::refuseAll() {
  for (const std::weak_ptr<Call> &it : std::exchange(Calls, {}))
    if (auto call = it.lock())
      call->refuseWaiting();
}

void WaitingRoom::tick() {
  if (Ticking || Calls.empty())
    return;
  Ticking = true;
  Tick.expires_after(WaitingTick);
  Tick.async_wait([this](const std::error_code &ec) {
    Ticking = false;
    if (ec)
      return;
    retry();
    tick();
  });
}

std::vector<FleetLink::WaitingCalls> WaitingRoom::summary() const {
  using Key = std::tuple<std::string, std::string, std::string>;
  std::map<Key, FleetLink::WaitingCalls> sums;
  Utils::TimePoint now = Utils::BootClock::now();
  for (const std::weak_ptr<Call> &it : Calls) {
    auto call = it.lock();
    if (!call || call->isDone())
      continue;
    FleetLink::WaitingCalls wait = call->waitingFor(now);
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
