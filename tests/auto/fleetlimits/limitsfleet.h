#ifndef TESTS_LIMITSFLEET_H
#define TESTS_LIMITSFLEET_H

#include "gateway/fleetlimiter.h"
#include "gateway/fleetmember.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

using Utils::Milliseconds;
using Utils::TimePoint;

/// Discrete-time simulation of the gateways and the holder that share one
/// team's limit. FleetMember and FleetLimiter are the production code; network,
/// processes and callers are simulated. Messages are delayed and lost, and
/// processes crash, pause and are partitioned from the holder, by seed.
class LimitsFleet {
public:
  struct Setup {
    size_t Gateways = 8;
    double Rate = 30'000;
    double Burst = 60'000;
    /// Tokens above the limit that the operators tolerate in a window.
    double Slack = 110'000;
    /// Tolerated excess as a fraction of the limit.
    double Overshoot = 0.1;
    /// Tokens per second that callers request.
    double OfferedRate = 20'000;
    /// Fraction of the datagrams that are lost.
    double LossRate = 0;
    /// Fraction of the admitted calls that are cancelled before they run.
    double CancelledShare = 0.02;
    /// Fraction of the callers that repeat a rejected call once, after the
    /// delay that the rejection names, if that is at most a third of the time
    /// they have left.
    double ReturningShare = 0;
    /// Fraction of the callers that repeat a rejected call at once, up to five
    /// times, whatever delay the rejection names.
    double HammeringShare = 0;
    /// Whether the calls take part in the virtual queue.
    bool Queues = true;
  };

  LimitsFleet(Setup setup, uint64_t seed);

  void run(Milliseconds time);
  /// Runs `action` after a delay.
  void schedule(Milliseconds delay, std::function<void()> action);

  // Fault injection.

  /// Kills the holder; another gateway is elected after `untilElection`.
  void killHolder(Milliseconds untilElection);
  void kill(size_t gateway, Milliseconds downtime);
  void killAll(Milliseconds downtime);
  void pause(size_t gateway, Milliseconds time);
  /// Partitions the gateway from the current holder and any later one.
  void partition(size_t gateway, Milliseconds time);
  void setLimit(double rate, double burst);

  size_t holder() const { return Holder; }
  size_t randomBetween(size_t from, size_t to);
  size_t randomGateway() { return randomBetween(0, Settings.Gateways - 1); }

  Setup Settings;

  // Results.

  /// Largest excess, in any 8 s window, of the tokens run over the highest
  /// allowance in force in that window, the one before it or the 2 s before
  /// that; negative if every window stayed below.
  double maxExcess() const;
  size_t Calls = 0;
  size_t Refused = 0;
  /// Calls refused although a single central bucket would have admitted them.
  size_t RefusedInLimit = 0;
  double TokensRun = 0;
  Milliseconds LongestWait{0};
  /// Calls that were repeated after the delay named, and those admitted.
  size_t Returned = 0;
  size_t ReturnedAdmitted = 0;
  /// Calls of callers that repeat at once, and those admitted at last.
  size_t Hammering = 0;
  size_t HammeringAdmitted = 0;
  /// Callers that return once, as told, and those admitted at last.
  size_t Patient = 0;
  size_t PatientAdmitted = 0;

private:
  enum class CallerKind { Once, Returning, Hammering };
  /// What stays the same when a caller repeats a call.
  struct Caller {
    CallerKind Kind = CallerKind::Once;
    uint64_t Hash = 0;
    int64_t Tokens = 0;
    TimePoint Deadline{};
    uint32_t Repeats = 0;
  };
  struct WaitingCall {
    int64_t Tokens = 0;
    TimePoint Since{};
    bool InLimit = false;
    Caller From{};
  };
  struct Node {
    std::optional<Gateway::FleetMember> Self;
    uint64_t Incarnation = 0;
    TimePoint DownUntil{};
    TimePoint PausedUntil{};
    TimePoint PartitionedUntil{};
    TimePoint NextReportAt{};
    uint64_t InFlightRequest = 0;
    TimePoint RequestSentAt{};
    /// Holder and fencing token in the duty's record as last seen by this
    /// gateway.
    size_t KnownHolder = 0;
    int64_t KnownToken = 0;
    std::map<uint64_t, WaitingCall> Waiting;
  };
  struct Event {
    TimePoint At;
    std::function<void()> Action;
  };

  void startGateway(size_t i, bool first);
  void tick();
  void stepGateway(Node &node, size_t i);
  void addCall();
  void submit(const Caller &caller, bool inLimit);
  Milliseconds patienceOf(const Caller &caller) const;
  void recordAdmitted(const Caller &caller);
  void repeatRejected(Caller caller, Milliseconds retryAfter);
  void applyDecisions(Node &node,
                      const std::vector<Quota::Decision> &decisions);
  void runOrRefund(size_t i, uint64_t incarnation, int64_t tokens);
  void sendReport(Node &node, size_t i);
  void sendGrantRequest(Node &node, size_t i);
  void handleGrant(size_t i, const FleetLink::Grant &grant);
  void electHolder();
  bool isUp(size_t i) const;
  bool reachesHolder(size_t i) const;
  void send(size_t to, std::function<void()> action);
  void deliver(size_t to, uint64_t incarnation, std::function<void()> action);

  std::mt19937_64 Random;
  TimePoint Now{std::chrono::hours(1)};
  const TimePoint Start = Now;
  Fleet::Configuration Config;
  std::vector<Node> Nodes;
  std::vector<Event> Events;
  size_t Holder = 0;
  int64_t Token = 0;
  TimePoint ElectionAt{};
  std::optional<Gateway::FleetLimiter> HolderLimiter;
  /// Bucket levels in the duty's record.
  std::optional<std::map<uint32_t, double>> RecordedLevels;
  uint64_t LastCallNumber = 0;
  uint64_t LastCallerHash = 0;
  uint64_t Incarnations = 0;
  double PendingTokens = 0;
  /// Traffic begins some time after the gateways start.
  const TimePoint CallsStartAt = Start + std::chrono::seconds(1);
  /// Single central token bucket of the team, for comparison.
  Quota::TokenBucket ReferenceBucket;
  /// Tokens run, and configured rate and burst, by tick.
  std::vector<double> RunPerTick;
  std::vector<Quota::Limit> LimitPerTick;
};

#endif // TESTS_LIMITSFLEET_H
