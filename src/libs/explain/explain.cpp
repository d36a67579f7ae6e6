#include "explain/explain.h"

#include "explain/causes.h"

#include <absl/time/time.h>
#include <algorithm>
#include <array>
#include <set>

namespace Explain {

namespace {

/// Events that change a daemon's state or the dependencies that it can reach.
constexpr std::array<std::string_view, 28> BackgroundEvents = {
    "started",
    "stopping",
    "leaving_balancer",
    "dependency_lost",
    "dependency_regained",
    "log_append_failed",
    "log_read_failed",
    "limits_link",
    "limits_opened",
    "limits_taken_up",
    "lease_claimed",
    "replica_change_failed",
    "feeder_failed",
    "record_refused",
    "order_outcome_lost",
    "lines_suppressed",
    "lines_dropped",
    "endpoint_change",
    "configuration_applied",
    "configuration_unreadable",
    "configuration_entry_unreadable",
    "duty_taken",
    "duty_lost",
    "duty_handed_over",
    "endpoint_changed",
    "endpoint_gone",
    "engine_lost",
    "stop_signal"};
/// Events of any gateway about the loading and unloading of a model.
constexpr std::array<std::string_view, 3> ModelEvents = {
    "order_decided", "order_answered", "task_dropped"};
/// Covers several lease renewals and the takeover by a new limits holder.
constexpr absl::Duration BackgroundWindow = absl::Seconds(15);
constexpr size_t MaxBackgroundLines = 20;

template <typename List>
bool contains(const List &list, const std::string &event) {
  return std::find(list.begin(), list.end(), event) != list.end();
}

/// Whether the line logs a change that may have led to the outcome.
bool isBackgroundLine(const LogLine &line, const LogLine &outcome) {
  if (line.Daemon == outcome.Daemon && contains(BackgroundEvents, line.Event))
    return true;
  return contains(ModelEvents, line.Event) && !outcome.field("model").empty() &&
         line.field("model") == outcome.field("model");
}

/// Time of the line; nothing if it cannot be parsed.
std::optional<absl::Time> timeOf(const LogLine &line) {
  absl::Time time;
  if (!absl::ParseTime(absl::RFC3339_full, line.Time, &time, nullptr))
    return std::nullopt;
  return time;
}

void sortByTime(std::vector<LogLine> &lines) {
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const LogLine &a, const LogLine &b) { return a.Time < b.Time; });
}

/// Ids of the requests that have an idempotency key in common with this one.
std::set<std::string> requestsWithSameKey(const std::vector<LogLine> &all,
                                          const std::string &requestId) {
  std::set<std::string> keys;
  for (const LogLine &it : all)
    if (it.field("id") == requestId && !it.field("key_hash").empty())
      keys.insert(it.field("key_hash"));
  std::set<std::string> ids = {requestId};
  for (const LogLine &it : all)
    if (keys.count(it.field("key_hash")) > 0)
      ids.insert(it.field("id"));
  return ids;
}

std::vector<LogLine> backgroundLines(const std::vector<LogLine> &all,
                                     const LogLine &outcome) {
  std::vector<LogLine> lines;
  auto outcomeTime = timeOf(outcome);
  for (const LogLine &it : all) {
    if (!isBackgroundLine(it, outcome))
      continue;
    auto at = timeOf(it);
    if (outcomeTime && at && *at <= *outcomeTime &&
        *outcomeTime - *at <= BackgroundWindow)
      lines.push_back(it);
  }
  sortByTime(lines);
  if (lines.size() > MaxBackgroundLines)
    lines.erase(lines.begin(), lines.end() - MaxBackgroundLines);
  return lines;
}

} // namespace

Explanation explain(const std::vector<LogLine> &all,
                    const std::string &requestId) {
  Explanation result;
  std::set<std::string> ids = requestsWithSameKey(all, requestId);
  for (const LogLine &it : all)
    if (ids.count(it.field("id")) > 0)
      result.Lines.push_back(it);
  sortByTime(result.Lines);
  Internal::Evidence evidence{requestId, result.Lines, {}};
  if (const LogLine *outcome = evidence.outcome()) {
    result.Background = backgroundLines(all, *outcome);
    evidence.Background = result.Background;
  }
  result.Cause = Internal::causeOf(evidence);
  return result;
}

} // namespace Explain
