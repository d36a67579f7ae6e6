#include "explain/explain.h"

#include "explain/causes.h"

#include <absl/time/time.h>
#include <algorithm>
#include <array>
#include <set>

namespace Explain {

namespace {

/// Events that change what a daemon believes or can reach.
constexpr std::array<std::string_view, 27> BackgroundEvents = {
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
    "duty_taken",
    "duty_lost",
    "duty_handed_over",
    "endpoint_changed",
    "endpoint_gone",
    "engine_lost",
    "stop_signal"};
/// Events of any gateway that tell what became of a model.
constexpr std::array<std::string_view, 3> ModelEvents = {
    "order_decided", "order_answered", "task_dropped"};
/// Enough for the rounds of a lease and of a new limits holder.
constexpr absl::Duration BackgroundTime = absl::Seconds(15);
constexpr size_t MaxBackground = 20;

template <typename List>
bool contains(const List &list, const std::string &event) {
  return std::find(list.begin(), list.end(), event) != list.end();
}

/// Whether the line tells of a change behind the outcome that `end` tells.
bool isBackground(const LogLine &line, const LogLine &end) {
  if (line.Daemon == end.Daemon && contains(BackgroundEvents, line.Event))
    return true;
  return contains(ModelEvents, line.Event) && !end.field("model").empty() &&
         line.field("model") == end.field("model");
}

/// Nothing for a line whose time cannot be read.
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

/// Requests that share an order's key with this one, by their ids.
std::set<std::string> sameOrder(const std::vector<LogLine> &all,
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

std::vector<LogLine> backgroundOf(const std::vector<LogLine> &all,
                                  const LogLine &end) {
  std::vector<LogLine> lines;
  auto endedAt = timeOf(end);
  for (const LogLine &it : all) {
    if (!isBackground(it, end))
      continue;
    auto at = timeOf(it);
    if (endedAt && at && *at <= *endedAt && *endedAt - *at <= BackgroundTime)
      lines.push_back(it);
  }
  sortByTime(lines);
  if (lines.size() > MaxBackground)
    lines.erase(lines.begin(), lines.end() - MaxBackground);
  return lines;
}

} // namespace

Explanation explain(const std::vector<LogLine> &all,
                    const std::string &requestId) {
  Explanation result;
  std::set<std::string> ids = sameOrder(all, requestId);
  for (const LogLine &it : all)
    if (ids.count(it.field("id")) > 0)
      result.Lines.push_back(it);
  sortByTime(result.Lines);
  Internal::Evidence evidence{requestId, result.Lines, {}};
  if (const LogLine *end = evidence.outcome()) {
    result.Background = backgroundOf(all, *end);
    evidence.Background = result.Background;
  }
  result.Cause = Internal::causeOf(evidence);
  return result;
}

} // namespace Explain
