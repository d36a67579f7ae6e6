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

/// Gateways and the holder of one team's limit in logical time: they are those
/// of the product, and what is between them is played here. Messages are late
/// and lost, processes die, stand still and are cut off, by seed.
class LimitsFleet {
public:
  struct Setup {
    size_t Gateways = 8;
    double Rate = 30'000;
    double Burst = 60'000;
    /// Tokens above the limit that the operators bear in a window.
    double Slack = 110'000;
    double Overshoot = 0.1;
    /// Tokens a second that callers ask for.
    double Offered = 20'000;
    /// Part of the datagrams that are lost.
    double Loss = 0;
    /// Part of the admitted calls that do not run.
    double NotRun = 0.02;
  };

  LimitsFleet(Setup setup, uint64_t seed);

  void run(Milliseconds time);
  /// Runs `what` after a pause.
  void later(Milliseconds pause, std::function<void()> what);

  // Faults.

  /// Another gateway is the holder after a while.
  void killHolder(Milliseconds untilNext);
  void kill(size_t gateway, Milliseconds downtime);
  void killAll(Milliseconds downtime);
  void pause(size_t gateway, Milliseconds time);
  /// Cut off from the holder, whoever that is.
  void cut(size_t gateway, Milliseconds time);
  void setLimit(double rate, double burst);

  size_t holder() const { return Holder; }
  size_t draw(size_t from, size_t to);
  size_t anyGateway() { return draw(0, It.Gateways - 1); }

  Setup It;

  // What came of it.

  /// Most tokens run in any window of 8 s beyond what the limits allow that
  /// were in force then or a window before; negative when there was room left.
  double mostOverAllowed() const;
  size_t Calls = 0;
  size_t Refused = 0;
  /// Refused although one bucket for all would have admitted them.
  size_t RefusedWithin = 0;
  double Ran = 0;
  Milliseconds LongestWait{0};

private:
  struct Wait {
    int64_t Tokens = 0;
    TimePoint Since{};
    bool Within = false;
  };
  struct Node {
    std::optional<Gateway::FleetMember> Self;
    uint64_t Incarnation = 0;
    TimePoint DownUntil{};
    TimePoint PausedUntil{};
    TimePoint CutUntil{};
    TimePoint ReportAt{};
    uint64_t OpenAsk = 0;
    TimePoint AskedAt{};
    /// The holder by the duty's record, as this gateway knows it.
    size_t KnownHolder = 0;
    int64_t KnownToken = 0;
    std::map<uint64_t, Wait> Waiting;
  };
  struct Event {
    TimePoint At;
    std::function<void()> Do;
  };

  void begin(size_t i, bool first);
  void tick();
  void takeTurn(Node &node, size_t i);
  void callComes();
  void decide(Node &node, const std::vector<Quota::Decision> &decisions);
  void admit(size_t i, uint64_t incarnation, int64_t tokens);
  void report(Node &node, size_t i);
  void ask(Node &node, size_t i);
  void takeGrant(size_t i, const FleetLink::Grant &grant);
  void elect();
  bool isUp(size_t i) const;
  bool reaches(size_t i) const;
  void send(size_t to, std::function<void()> what);
  void deliver(size_t to, uint64_t incarnation, std::function<void()> what);

  std::mt19937_64 Random;
  TimePoint Now{std::chrono::hours(1)};
  const TimePoint Start = Now;
  Fleet::Configuration Config;
  std::vector<Node> Nodes;
  std::vector<Event> Events;
  size_t Holder = 0;
  int64_t Token = 0;
  TimePoint ElectAt{};
  std::optional<Gateway::FleetLimiter> Book;
  /// Levels in the duty's record.
  std::optional<std::map<uint32_t, double>> Noted;
  uint64_t Number = 0;
  uint64_t Incarnations = 0;
  double Due = 0;
  /// Traffic begins some time after the machines.
  const TimePoint CallsFrom = Start + std::chrono::seconds(1);
  /// The team's bucket as it were in one place.
  Quota::Bucket One;
  /// Tokens run, and allowed rate and burst, by tick.
  std::vector<double> Runs;
  std::vector<Quota::Limit> Limits;
};

#endif // TESTS_LIMITSFLEET_H
