#ifndef LOAD_SUMMARY_H
#define LOAD_SUMMARY_H

#include "load/loadplan.h"
#include "load/outcomes.h"

#include <map>

namespace Load {

/// Percentiles in milliseconds, from a Boost.Histogram with 1% wide bins.
struct Percentiles {
  double P50 = 0;
  double P95 = 0;
  double P99 = 0;
  double Max = 0;
};

struct TeamSummary {
  size_t Requests = 0;
  size_t Served = 0;
  size_t Late = 0;
  size_t Truncated = 0;
  size_t Unanswered = 0;
  std::map<std::string, size_t> Refused;
  Percentiles FirstMs;
  Percentiles TokenGapMs;
  uint64_t Tokens = 0;
  /// Largest excess of tokens over rate x time + burst in any window; only when
  /// token times are known and the plan states a rate.
  double OverRateTokens = 0;
};

/// Summaries by team, and of all under the name "all".
std::map<std::string, TeamSummary>
summarize(const Plan &plan, const std::vector<Outcome> &outcomes);

/// One JSON object a team.
std::string summaryJson(const std::map<std::string, TeamSummary> &summary);

/// Table for people.
std::string summaryText(const std::map<std::string, TeamSummary> &summary);

/// Table that sets two runs side by side with the ratio of the second to the
/// first.
std::string compareRuns(const std::vector<Outcome> &before,
                        const std::vector<Outcome> &after);

/// Writes a gnuplot script and its data for the run to the folder; the script
/// draws latency.svg and outcomes.svg.
Utils::Status writePlot(const std::vector<Outcome> &outcomes,
                        const std::string &folder);

/// One page in Markdown for readers who know nothing of the system's insides.
std::string reportText(const std::vector<Outcome> &outcomes);

} // namespace Load

#endif // LOAD_SUMMARY_H
