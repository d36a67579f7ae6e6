#ifndef EXPLAIN_CAUSES_H
#define EXPLAIN_CAUSES_H

#include "explain/explain.h"

namespace Explain::Internal {

/// Lines that the cause of one request is read from.
struct Evidence {
  std::string RequestId;
  std::vector<LogLine> Lines;
  std::vector<LogLine> Background;

  /// Last line of this request with the event; null when there is none.
  const LogLine *last(std::string_view event) const;
  /// Last background line with the event; null when there is none.
  const LogLine *lastBackground(std::string_view event) const;
  /// Line that tells the request's outcome; null when it was not logged.
  const LogLine *outcome() const;
};

/// The cause in one sentence.
std::string causeOf(const Evidence &evidence);

} // namespace Explain::Internal

#endif // EXPLAIN_CAUSES_H
