#ifndef EXPLAIN_EXPLAIN_H
#define EXPLAIN_EXPLAIN_H

/// Public header of the explain library, which derives the cause of a request's
/// outcome from the log lines of all daemons and gateways.
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Explain {

/// One event line of a log, in the format that Utils::Event writes.
struct LogLine {
  /// UTC timestamp as written; its width is fixed, so that comparing the texts
  /// orders the lines by time.
  std::string Time;
  /// The daemon or gateway that wrote the line.
  std::string Daemon;
  std::string Event;
  std::map<std::string, std::string> Fields;
  /// The unparsed line.
  std::string Text;

  /// Value of the field; empty if the line has no such field.
  const std::string &field(const std::string &name) const;
  /// Integer at the start of the field; 0 if there is none.
  int64_t number(const std::string &name) const;
};

/// Parses an event line; returns nothing for any other line, such as a crash
/// report.
std::optional<LogLine> parseLine(std::string_view text);

/// What the logs contain about one request.
struct Explanation {
  /// Lines of the request, and of other requests with the same idempotency key,
  /// ordered by time.
  std::vector<LogLine> Lines;
  /// State changes of the daemon that answered and decisions about the
  /// requested model, in the seconds before the answer.
  std::vector<LogLine> Background;
  /// Cause of the outcome in one sentence, which also says if the lines do not
  /// contain it.
  std::string Cause;
};

/// Collects the lines of the request and derives the cause of its outcome.
/// `all` may hold the lines of several daemons in any order.
Explanation explain(const std::vector<LogLine> &all,
                    const std::string &requestId);

} // namespace Explain

#endif // EXPLAIN_EXPLAIN_H
