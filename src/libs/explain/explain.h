#ifndef EXPLAIN_EXPLAIN_H
#define EXPLAIN_EXPLAIN_H

/// Public header of the explain library: finds the cause of a request's outcome
/// in the log lines of all daemons.
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Explain {

/// One event line, as Utils::Event writes it.
struct LogLine {
  /// UTC, as written; equal widths, so that texts sort by time.
  std::string Time;
  std::string Daemon;
  std::string Event;
  std::map<std::string, std::string> Fields;
  /// The line itself.
  std::string Text;

  /// Value of the field; empty when the line has none.
  const std::string &field(const std::string &name) const;
  /// Value of the field as a number; 0 when it is none.
  int64_t number(const std::string &name) const;
};

/// Nothing for a line that is no event line, such as a crash report.
std::optional<LogLine> parseLine(std::string_view text);

/// What the logs say of one request.
struct Explanation {
  /// Lines of the request, and of other requests with the same order's key, by
  /// time.
  std::vector<LogLine> Lines;
  /// Lines of the daemon that answered, in the seconds before the answer, which
  /// tell of changes behind the outcome.
  std::vector<LogLine> Background;
  /// One sentence; says so when the lines do not tell.
  std::string Cause;
};

/// Collects the lines of the request and names the cause of its outcome.
/// `all` may come from several daemons in any order.
Explanation explain(const std::vector<LogLine> &all,
                    const std::string &requestId);

} // namespace Explain

#endif // EXPLAIN_EXPLAIN_H
