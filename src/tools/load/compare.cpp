#include "load/summary.h"

#include <iomanip>
#include <sstream>

namespace Load {

namespace {

struct Line {
  const char *Name;
  double (*Value)(const TeamSummary &);
};

double servedShare(const TeamSummary &it) {
  return it.Requests == 0 ? 0
                          : static_cast<double>(it.Served) /
                                static_cast<double>(it.Requests);
}

constexpr Line Lines[] = {
    {"served share", servedShare},
    {"first p50 ms", [](const TeamSummary &it) { return it.FirstMs.P50; }},
    {"first p95 ms", [](const TeamSummary &it) { return it.FirstMs.P95; }},
    {"first p99 ms", [](const TeamSummary &it) { return it.FirstMs.P99; }},
    {"token gap p95 ms",
     [](const TeamSummary &it) { return it.TokenGapMs.P95; }},
    {"late", [](const TeamSummary &it) { return double(it.Late); }},
    {"truncated", [](const TeamSummary &it) { return double(it.Truncated); }},
};

size_t refusedCount(const TeamSummary &it) {
  size_t n = 0;
  for (const auto &[reason, count] : it.Refused)
    n += count;
  return n;
}

} // namespace

std::string compareRuns(const std::vector<Outcome> &before,
                        const std::vector<Outcome> &after) {
  auto first = summarize({}, before);
  auto second = summarize({}, after);
  std::ostringstream out;
  out << std::fixed << std::setprecision(3);
  for (const auto &[team, old] : first) {
    auto it = second.find(team);
    if (it == second.end()) {
      out << team << ": missing in the second run\n";
      continue;
    }
    out << team << '\n';
    for (const Line &line : Lines) {
      double a = line.Value(old);
      double b = line.Value(it->second);
      out << "  " << std::left << std::setw(18) << line.Name << std::right
          << std::setw(12) << a << std::setw(12) << b;
      if (a != 0)
        out << std::setw(9) << b / a << 'x';
      out << '\n';
    }
  }
  return out.str();
}

std::string reportText(const std::vector<Outcome> &outcomes) {
  auto summary = summarize({}, outcomes);
  std::ostringstream out;
  out << std::fixed << std::setprecision(1) << "# How the service did\n\n";
  for (const auto &[team, it] : summary) {
    if (it.Requests == 0)
      continue;
    out << "**" << team << "**: " << it.Requests << " requests, "
        << 100 * servedShare(it)
        << "% answered; half of the answers began within " << it.FirstMs.P50
        << " ms, 95 in 100 within " << it.FirstMs.P95 << " ms. "
        << refusedCount(it) << " were refused at once, " << it.Truncated
        << " broke off, " << it.Unanswered << " got no answer.\n\n";
    for (const auto &[reason, n] : it.Refused)
      out << "- refused, " << reason << ": " << n << "\n";
  }
  return out.str();
}

} // namespace Load
