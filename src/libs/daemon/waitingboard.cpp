#include "daemon/waitingboard.h"

#include "codec/codec.h"

#include <algorithm>

namespace Daemon::Internal {

namespace {

using Placement::Waiting;

constexpr Utils::Milliseconds ToldLifetime(1000);
/// Models in one message; those with the earliest deadlines.
constexpr size_t MaxModels = 512;

struct WaitingEntry {
  std::string Model;
  std::string Team;
  uint32_t Requests = 0;
  int64_t LeftMs = 0;

  template <class Archive> void serialize(Archive &archive) {
    archive(Model, Team, Requests, LeftMs);
  }
};

/// Whether a load of the model's kind, adapter or not, was measured. One kind
/// tells nothing of the other.
bool isMeasured(const History::State &state, const Placement::Knowledge &known,
                const std::string &model) {
  bool adapter = state.Table.Adapters.count(model) != 0;
  return std::any_of(
      known.LoadTimes.begin(), known.LoadTimes.end(), [&](const auto &it) {
        return (state.Table.Adapters.count(it.first) != 0) == adapter;
      });
}

} // namespace

std::shared_ptr<void> WaitingBoard::add(const std::string &model,
                                        const std::string &team,
                                        Utils::TimePoint deadline) {
  std::lock_guard lock(Mutex);
  uint64_t id = ++LastId;
  Own[model][id] = {team, deadline};
  return {nullptr, [this, model, id](void *) {
            std::lock_guard held(Mutex);
            auto it = Own.find(model);
            it->second.erase(id);
            if (it->second.empty())
              Own.erase(it);
          }};
}

WaitingBoard::ByModel WaitingBoard::ownLocked() const {
  ByModel own;
  for (const auto &[model, requests] : Own)
    for (const auto &[id, request] : requests)
      Placement::addWaiting(own[model], {1, request.Deadline, request.Team});
  return own;
}

bool WaitingBoard::empty() const {
  std::lock_guard lock(Mutex);
  return Own.empty();
}

std::string WaitingBoard::message() const {
  Utils::TimePoint now = Clock.Now();
  std::vector<WaitingEntry> entries;
  {
    std::lock_guard lock(Mutex);
    for (const auto &[model, it] : ownLocked())
      entries.push_back({model, it.Team, it.Requests,
                         std::chrono::duration_cast<Utils::Milliseconds>(
                             it.EarliestDeadline - now)
                             .count()});
  }
  std::sort(entries.begin(), entries.end(),
            [](const WaitingEntry &left, const WaitingEntry &right) {
              return left.LeftMs < right.LeftMs;
            });
  entries.resize(std::min(entries.size(), MaxModels));
  return Codec::encode(entries);
}

Utils::Status WaitingBoard::take(const std::string &daemon,
                                 std::string_view message) {
  auto entries = Codec::decode<std::vector<WaitingEntry>>(message);
  if (!entries)
    return entries.error();
  Told told{{}, Clock.Now()};
  for (const WaitingEntry &it : *entries)
    Placement::addWaiting(
        told.Content[it.Model],
        {it.Requests, told.At + Utils::Milliseconds(it.LeftMs), it.Team});
  std::lock_guard lock(Mutex);
  Others[daemon] = std::move(told);
  return Utils::success();
}

std::map<std::string, Waiting> WaitingBoard::all() const {
  Utils::TimePoint now = Clock.Now();
  std::lock_guard lock(Mutex);
  ByModel all = ownLocked();
  for (const auto &[daemon, told] : Others)
    if (now - told.At < ToldLifetime)
      for (const auto &[model, it] : told.Content)
        Placement::addWaiting(all[model], it);
  return all;
}

void LoadForecast::update(const Placement::Knowledge &knowledge) {
  std::lock_guard lock(Mutex);
  if (Known.LoadStarted == knowledge.LoadStarted)
    return;
  Known.LoadStarted = knowledge.LoadStarted;
  Known.LoadTimes = knowledge.LoadTimes;
}

std::optional<uint32_t> LoadForecast::readyInMs(const History::State &state,
                                                const std::string &model,
                                                Utils::TimePoint now) const {
  std::lock_guard lock(Mutex);
  if (!isMeasured(state, Known, model))
    return std::nullopt;
  return Placement::estimateReadyMs(state, Known, Policy, model, now);
}

} // namespace Daemon::Internal
