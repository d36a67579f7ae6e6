#ifndef HISTORY_STATESTORE_H
#define HISTORY_STATESTORE_H

#include "history/state.h"
#include "utils/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <shared_mutex>

namespace History {

/// The state of this daemon, written by the thread that follows the log and
/// read by all others. Thread-safe.
class StateStore {
public:
  /// Runs a query under a shared lock; it must not keep references.
  template <typename F> auto read(F &&query) const {
    std::shared_lock lock(Mutex);
    return query(std::as_const(Current));
  }

  /// Applies the append if it is the next one, and wakes all waiters. False
  /// when it was applied before or leaves a gap; nothing changes then, so that
  /// the log and peers may both deliver it.
  bool applyAppend(uint64_t offset, std::string_view bytes);

  /// Puts a state in place of the whole one, as after loading a snapshot. False
  /// when that state is behind.
  bool replace(State state);

  /// Waits until the predicate holds; false at the deadline or after close().
  bool waitUntil(const std::function<bool(const State &)> &predicate,
                 Utils::TimePoint deadline) const;

  /// Whether waits end at once, because the daemon stops.
  bool isClosed() const;

  /// Waits for the verdict on a record id.
  std::optional<Verdict> waitForVerdict(const std::string &id,
                                        Utils::TimePoint deadline) const;

  /// Lets all waits look at their predicates again.
  void wake() const;

  /// Ends all waits.
  void close();

private:
  mutable std::shared_mutex Mutex;
  mutable std::condition_variable_any Changed;
  State Current;
  bool Closed = false;
};

} // namespace History

#endif // HISTORY_STATESTORE_H
