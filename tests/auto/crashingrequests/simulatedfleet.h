#ifndef TESTS_SIMULATEDFLEET_H
#define TESTS_SIMULATEDFLEET_H

#include "gateway/crashevidence.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

/// What is played, beside the seed.
struct FleetScene {
  size_t Gateways = 8;
  size_t Endpoints = 12;
  /// Runs of one call in all.
  int Attempts = 2;
  Utils::Milliseconds DeadlyInterval{400};
  Utils::Milliseconds SoundInterval{40};
  Utils::Milliseconds Length{24000};
  /// Crashes after which the holder is killed, once each.
  std::vector<int> KillHolderAfter;
  /// Time without a holder after that.
  Utils::Milliseconds WithoutHolder{2500};
  /// Gateways that hear no holder until that time.
  size_t CutOff = 0;
  Utils::Milliseconds CutOffUntil{0};
  /// Gateways whose messages to and from the holder are lost at this rate.
  size_t Lossy = 0;
  int LostPercent = 0;
  /// All sound calls are for this many requests; 0: each is for another.
  unsigned SoundRequests = 0;
};

/// What was seen.
struct FleetOutcome {
  int Ended = 0;
  /// Sends of the deadly request by gateways in touch, later than the bound
  /// after the third endpoint has ended.
  int SentAfterBound = 0;
  int Sound = 0;
  int Served = 0;
  /// Sound calls that were refused as quarantined, and for how long at most one
  /// request was.
  int HeldBack = 0;
  Utils::Milliseconds LongestHold{0};
  size_t MaxReportBytes = 0;
  size_t MaxHeartbeatBytes = 0;
};

/// The crash evidence of a fleet of gateways and the holder's ledger, with
/// calls and endpoints in logical time.
class SimulatedFleet {
public:
  SimulatedFleet(const FleetScene &scene, unsigned seed);
  FleetOutcome play();

private:
  using TimePoint = Utils::TimePoint;
  using Milliseconds = Utils::Milliseconds;
  struct Call {
    Quarantine::Part Request = 0;
    bool Deadly = false;
    size_t Gateway = 0;
    size_t Endpoint = 0;
    int Runs = 0;
    /// Further attempts of the client.
    int ClientTries = 0;
    TimePoint SentAt{};
    TimePoint EndsAt{};
  };
  struct Member {
    Gateway::CrashEvidence Evidence;
    uint64_t Sequence = 0;
    TimePoint NextReportAt{};
  };

  int draw(int n) { return int(Random() % unsigned(n)); }
  bool isCutOff(size_t gateway) const;
  bool isLost(size_t gateway);
  bool hasHolder(size_t gateway) const;
  bool isInTouch(size_t gateway) const;
  void arrive(Call call);
  bool dispatch(Call call);
  void endClientAttempt(Call call);
  void crash(const Call &cause);
  void step();
  void sendReport(size_t gateway);
  void handleReport(size_t gateway, const FleetLink::Report &report);
  void sendHeartbeat(size_t gateway);
  void killHolder();

  FleetScene Scene;
  std::mt19937 Random;
  TimePoint Start = TimePoint{} + std::chrono::hours(1);
  TimePoint Now = Start;
  std::vector<Member> Members;
  std::vector<TimePoint> DownUntil;
  std::deque<Call> Running;
  /// Client attempts that are still to come, by time.
  std::multimap<TimePoint, Call> Coming;
  std::optional<Quarantine::CrashLedger> Holder;
  int64_t Token = 1;
  TimePoint HolderSince{};
  std::set<int> KilledAfter;
  std::optional<TimePoint> ThirdCrashAt;
  std::map<Quarantine::Part, TimePoint> FirstHeldAt;
  uint64_t NextRequest = 0;
  FleetOutcome Out;
};

#endif // TESTS_SIMULATEDFLEET_H
