#ifndef LOAD_OUTCOMES_H
#define LOAD_OUTCOMES_H

#include "utils/outcome.h"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <utility>
#include <vector>

namespace Load {

/// What became of one request. Times count from the planned arrival, so that
/// waiting for a free connection is part of them.
struct Outcome {
  double AtS = 0;
  std::string Team;
  std::string Model;
  /// HTTP status; 0 when the connection broke, -1 when no worker was free.
  int Status = 0;
  std::string Reason;
  std::string RunState;
  double FirstMs = 0;
  double TotalMs = 0;
  uint64_t Tokens = 0;
  /// Mean time between tokens of a stream, ms; 0 for other answers.
  double TokenGapMs = 0;
  bool Whole = false;
  /// Arrival of tokens: seconds since the start, and how many.
  std::vector<std::pair<double, uint32_t>> TokenTimes;
};

/// Writes one JSON object a line; the token times are left out.
void writeOutcomes(std::ostream &out, const std::vector<Outcome> &outcomes);

/// Reads what writeOutcomes() wrote; names the faulty line on failure.
Utils::Outcome<std::vector<Outcome>> readOutcomes(std::istream &in);

} // namespace Load

#endif // LOAD_OUTCOMES_H
