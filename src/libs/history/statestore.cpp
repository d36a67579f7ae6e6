#include "history/statestore.h"

namespace History {

bool StateStore::applyAppend(uint64_t offset, std::string_view bytes) {
  {
    std::unique_lock lock(Mutex);
    if (offset != Current.NextOffset)
      return false;
    History::applyAppend(Current, offset, bytes);
  }
  Changed.notify_all();
  return true;
}

bool StateStore::replace(State state) {
  {
    std::unique_lock lock(Mutex);
    if (state.NextOffset < Current.NextOffset)
      return false;
    Current = std::move(state);
  }
  Changed.notify_all();
  return true;
}

bool StateStore::waitUntil(const std::function<bool(const State &)> &predicate,
                           Utils::TimePoint deadline) const {
  std::shared_lock lock(Mutex);
  bool holds = false;
  Changed.wait_until(lock, deadline, [&] {
    holds = predicate(Current);
    return holds || Closed;
  });
  return holds;
}

bool StateStore::isClosed() const {
  std::shared_lock lock(Mutex);
  return Closed;
}

std::optional<Verdict>
StateStore::waitForVerdict(const std::string &id,
                           Utils::TimePoint deadline) const {
  std::optional<Verdict> verdict;
  waitUntil(
      [&](const State &state) {
        auto it = state.Verdicts.find(id);
        if (it == state.Verdicts.end())
          return false;
        verdict = it->second;
        return true;
      },
      deadline);
  return verdict;
}

void StateStore::wake() const {
  // Whoever has looked before the change of its predicate waits by now.
  { std::unique_lock lock(Mutex); }
  Changed.notify_all();
}

void StateStore::close() {
  {
    std::unique_lock lock(Mutex);
    Closed = true;
  }
  Changed.notify_all();
}

} // namespace History
