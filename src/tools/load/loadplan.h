#ifndef LOAD_LOADPLAN_H
#define LOAD_LOADPLAN_H

#include "utils/outcome.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace Load {

using Json = nlohmann::json;

enum class CallKind : uint8_t { Model, Order, Service };

/// Time in which a team sends Factor times its usual rate.
struct Burst {
  double AtS = 0;
  double ForS = 0;
  double Factor = 1;
};

/// Callers of one team.
struct TeamLoad {
  std::string Name;
  std::string Key;
  CallKind Kind = CallKind::Model;
  double ArrivalsPerS = 1;
  std::vector<Burst> Bursts;
  /// Models drawn by a Zipf law with this exponent, the first the most often.
  std::vector<std::string> Models;
  double ZipfExponent = 1;
  /// Path of a service call or order.
  std::string Path;
  uint32_t DeadlineMs = 10000;
  uint32_t MaxTokens = 16;
  bool Stream = false;
  /// Rate and burst promised to the team, tokens; 0 leaves it unchecked.
  uint64_t RateTokensPerS = 0;
  uint64_t BurstTokens = 0;
};

/// A control request sent to a stand-in during the run.
struct FaultStep {
  double AtS = 0;
  std::string Address;
  Json Body;
};

struct Plan {
  uint64_t Seed = 1;
  double DurationS = 10;
  uint32_t Workers = 128;
  /// Addresses of the daemons, used in turn.
  std::vector<std::string> Targets;
  std::vector<TeamLoad> Teams;
  std::vector<FaultStep> Faults;
};

/// Reads a plan in JSON with comments; names the faulty member on failure.
Utils::Outcome<Plan> parsePlan(std::string_view text);

/// One request to come: when, by whom, for what.
struct Arrival {
  double AtS = 0;
  size_t Team = 0;
  std::string Model;
  size_t Target = 0;
  uint64_t Number = 0;
};

/// All arrivals of the plan in order of time; the same for the same seed.
std::vector<Arrival> drawArrivals(const Plan &plan);

} // namespace Load

#endif // LOAD_LOADPLAN_H
