#ifndef EXPLAIN_CAUSES_H
#define EXPLAIN_CAUSES_H

#include "explain/explain.h"

namespace Explain::Internal {

/// Log lines from which the cause of one request's outcome is derived.
struct Evidence {
  std::string RequestId;
  std::vector<LogLine> Lines;
  std::vector<LogLine> Background;

  /// Last line of this request with the event, or null.
  const LogLine *last(std::string_view event) const;
  /// Last background line with the event, or null.
  const LogLine *lastBackground(std::string_view event) const;
  /// Line with the request's outcome; null if the outcome was not logged.
  const LogLine *outcome() const;
};

/// Describes the cause of the outcome in one sentence.
std::string causeOf(const Evidence &evidence);

} // namespace Explain::Internal

#endif // EXPLAIN_CAUSES_H
