#include "load/summary.h"

#include <boost/histogram.hpp>
#include <cmath>
#include <iomanip>
#include <set>
#include <sstream>

namespace Load {

namespace {

namespace Bh = boost::histogram;
using LogAxis = Bh::axis::regular<double, Bh::axis::transform::log>;

constexpr unsigned BinCount = 1400;
constexpr double SmallestMs = 0.01;
constexpr double LargestMs = 1e6;
constexpr int HttpOk = 200;
constexpr char AllTeams[] = "all";

class Distribution {
public:
  void add(double ms) {
    Buckets(std::max(ms, SmallestMs));
    Largest = std::max(Largest, ms);
    ++Count;
  }
  double at(double share) const {
    double seen = 0;
    for (int i = -1; i < Buckets.axis().size(); ++i) {
      seen += static_cast<double>(Buckets.at(i));
      if (seen >= share * static_cast<double>(Count))
        return i < 0 ? SmallestMs : Buckets.axis().bin(i).upper();
    }
    return Largest;
  }
  Percentiles percentiles() const {
    if (Count == 0)
      return {};
    return {at(0.5), at(0.95), at(0.99), Largest};
  }

private:
  decltype(Bh::make_histogram(LogAxis())) Buckets =
      Bh::make_histogram(LogAxis(BinCount, SmallestMs, LargestMs));
  double Largest = 0;
  size_t Count = 0;
};

struct Collected {
  TeamSummary Summary;
  Distribution First;
  Distribution Gap;
  std::vector<std::pair<double, uint32_t>> TokenTimes;
};

void collect(const Outcome &it, uint32_t deadlineMs, Collected &into) {
  TeamSummary &summary = into.Summary;
  ++summary.Requests;
  summary.Tokens += it.Tokens;
  into.TokenTimes.insert(into.TokenTimes.end(), it.TokenTimes.begin(),
                         it.TokenTimes.end());
  if (it.Status == HttpOk && !it.Whole)
    ++summary.Truncated;
  if (it.Status != HttpOk) {
    if (it.Status <= 0)
      ++summary.Unanswered;
    else
      ++summary
            .Refused[it.Reason.empty() ? std::to_string(it.Status) : it.Reason];
    return;
  }
  ++summary.Served;
  if (deadlineMs > 0 && it.TotalMs > deadlineMs)
    ++summary.Late;
  into.First.add(it.FirstMs);
  if (it.TokenGapMs > 0)
    into.Gap.add(it.TokenGapMs);
}

/// Largest excess over rate x time + burst: a bucket that may go below zero.
double overRate(std::vector<std::pair<double, uint32_t>> times, double rate,
                double burst) {
  std::sort(times.begin(), times.end());
  double level = burst;
  double last = 0;
  double worst = 0;
  for (const auto &[atS, n] : times) {
    level = std::min(burst, level + (atS - last) * rate) - n;
    last = atS;
    worst = std::max(worst, -level);
  }
  return worst;
}

Json percentilesJson(const Percentiles &it) {
  return {{"p50", it.P50}, {"p95", it.P95}, {"p99", it.P99}, {"max", it.Max}};
}

} // namespace

std::map<std::string, TeamSummary>
summarize(const Plan &plan, const std::vector<Outcome> &outcomes) {
  std::map<std::string, const TeamLoad *> loads;
  for (const TeamLoad &team : plan.Teams)
    loads[team.Name] = &team;
  std::map<std::string, Collected> collected;
  for (const Outcome &it : outcomes) {
    auto load = loads.find(it.Team);
    uint32_t deadlineMs = load == loads.end() ? 0 : load->second->DeadlineMs;
    collect(it, deadlineMs, collected[it.Team]);
    collect(it, deadlineMs, collected[AllTeams]);
  }
  std::map<std::string, TeamSummary> summaries;
  for (auto &[name, it] : collected) {
    it.Summary.FirstMs = it.First.percentiles();
    it.Summary.TokenGapMs = it.Gap.percentiles();
    auto load = loads.find(name);
    if (load != loads.end() && load->second->RateTokensPerS > 0)
      it.Summary.OverRateTokens = overRate(
          it.TokenTimes, static_cast<double>(load->second->RateTokensPerS),
          static_cast<double>(load->second->BurstTokens));
    summaries[name] = it.Summary;
  }
  return summaries;
}

std::string summaryJson(const std::map<std::string, TeamSummary> &summary) {
  std::string text;
  for (const auto &[name, it] : summary)
    text += Json{{"team", name},
                 {"requests", it.Requests},
                 {"served", it.Served},
                 {"late", it.Late},
                 {"truncated", it.Truncated},
                 {"unanswered", it.Unanswered},
                 {"refused", it.Refused},
                 {"first_ms", percentilesJson(it.FirstMs)},
                 {"token_gap_ms", percentilesJson(it.TokenGapMs)},
                 {"tokens", it.Tokens},
                 {"over_rate_tokens", it.OverRateTokens}}
                .dump() +
            "\n";
  return text;
}

std::string summaryText(const std::map<std::string, TeamSummary> &summary) {
  std::ostringstream out;
  out << std::left << std::setw(14) << "team" << std::right;
  for (const char *it : {"requests", "served", "refused", "late", "cut",
                         "no answer", "p50 ms", "p95 ms", "p99 ms", "gap p95"})
    out << std::setw(10) << it;
  out << '\n' << std::fixed << std::setprecision(1);
  for (const auto &[name, it] : summary) {
    size_t refused = 0;
    for (const auto &[reason, n] : it.Refused)
      refused += n;
    out << std::left << std::setw(14) << name << std::right << std::setw(10)
        << it.Requests << std::setw(10) << it.Served << std::setw(10) << refused
        << std::setw(10) << it.Late << std::setw(10) << it.Truncated
        << std::setw(10) << it.Unanswered << std::setw(10) << it.FirstMs.P50
        << std::setw(10) << it.FirstMs.P95 << std::setw(10) << it.FirstMs.P99
        << std::setw(10) << it.TokenGapMs.P95 << '\n';
  }
  return out.str();
}

} // namespace Load
