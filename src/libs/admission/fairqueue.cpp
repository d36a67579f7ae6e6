#include "admission/fairqueue.h"

#include <algorithm>

namespace Admission {

namespace {

/// Lifts a team that becomes active to the least counter of the active teams.
void lift(FairQueue &queue, FairQueue::TeamState &state) {
  if (state.active())
    return;
  std::optional<uint64_t> least;
  for (const auto &[name, other] : queue.Teams)
    if (other.active())
      least = std::min(least.value_or(other.Served), other.Served);
  state.Served = std::max(state.Served, least.value_or(0));
}

using Waiting = std::deque<QueuedRequest>::const_iterator;

size_t countOf(const std::string &model, const Waiting &begin,
               const Waiting &end) {
  return std::count_if(begin, end,
                       [&](const auto &it) { return it.Model == model; });
}

} // namespace

bool enqueue(FairQueue &queue, QueuedRequest request) {
  FairQueue::TeamState &state = queue.Teams[request.Team];
  if (queue.Waiting >= queue.Limits.Total ||
      state.Waiting.size() >= queue.Limits.PerTeam)
    return false;
  lift(queue, state);
  state.Waiting.push_back(std::move(request));
  ++queue.Waiting;
  return true;
}

std::optional<QueuedRequest>
next(FairQueue &queue,
     const std::function<bool(const std::string &)> &canStart) {
  FairQueue::TeamState *least = nullptr;
  std::deque<QueuedRequest>::iterator first;
  for (auto &[name, state] : queue.Teams) {
    if (least && least->Served <= state.Served)
      continue;
    auto it = std::find_if(
        state.Waiting.begin(), state.Waiting.end(),
        [&](const QueuedRequest &request) { return canStart(request.Model); });
    if (it == state.Waiting.end())
      continue;
    least = &state;
    first = it;
  }
  if (!least)
    return std::nullopt;
  QueuedRequest taken = std::move(*first);
  least->Waiting.erase(first);
  ++least->Running;
  --queue.Waiting;
  return taken;
}

std::vector<QueuedRequest> expire(FairQueue &queue, Utils::TimePoint now) {
  std::vector<QueuedRequest> late;
  for (auto &[name, state] : queue.Teams) {
    auto it = std::stable_partition(
        state.Waiting.begin(), state.Waiting.end(),
        [&](const QueuedRequest &request) { return now < request.Deadline; });
    late.insert(late.end(), std::make_move_iterator(it),
                std::make_move_iterator(state.Waiting.end()));
    state.Waiting.erase(it, state.Waiting.end());
  }
  queue.Waiting -= late.size();
  return late;
}

bool remove(FairQueue &queue, const std::string &team, uint64_t id) {
  auto &waiting = queue.Teams[team].Waiting;
  size_t n =
      std::erase_if(waiting, [&](const auto &it) { return it.Id == id; });
  queue.Waiting -= n;
  return n > 0;
}

void serve(FairQueue &queue, const std::string &team, uint64_t tokens) {
  queue.Teams[team].Served += tokens;
}

void finish(FairQueue &queue, const std::string &team) {
  --queue.Teams[team].Running;
}

uint32_t aheadOf(const FairQueue &queue, const std::string &team,
                 const std::string &model, uint64_t id) {
  static const FairQueue::TeamState unknown;
  auto own = queue.Teams.find(team);
  const auto &state = own == queue.Teams.end() ? unknown : own->second;
  auto self = std::find_if(state.Waiting.begin(), state.Waiting.end(),
                           [&](const auto &it) { return it.Id == id; });
  const size_t turns = countOf(model, state.Waiting.begin(), self);
  size_t ahead = turns;
  for (const auto &[name, other] : queue.Teams) {
    if (name == team)
      continue;
    size_t most = other.Served <= state.Served ? turns + 1 : turns;
    size_t waiting = countOf(model, other.Waiting.begin(), other.Waiting.end());
    ahead += std::min(waiting, most);
  }
  return static_cast<uint32_t>(ahead);
}

} // namespace Admission
