#ifndef TESTS_LIMITS_OUTAGEWORLD_H
#define TESTS_LIMITS_OUTAGEWORLD_H

#include "daemon/currency.h"
#include "fleet.h"
#include "lease/lease.h"

#include <memory>
#include <random>
#include <set>

namespace LimitsTest {

/// A process of a daemon: its own clock, its prefix of the log, and the real
/// lease, currency, holder and wallet functions.
struct Process {
  Process(std::string name, const Utils::Clock &clock)
      : Name(std::move(name)), Clock(clock), Contact(clock) {}

  std::string Name;
  Utils::Clock Clock;
  Daemon::Internal::LogContact Contact;
  size_t Read = 0;
  bool HasState = false;
  bool Joined = false;
  Lease::Watch Watch;
  History::Lease Replaced;
  std::map<std::string, Utils::TimePoint> Said;
  std::map<std::string, uint64_t> Applied;
  std::optional<Limits::Holder> Duty;
  Limits::Wallets Wallets;
  int64_t PausedUntil = 0;
};

/// What one daemon tells another that probed it.
struct Told {
  size_t To = 0;
  std::string From;
  uint64_t Applied = 0;
  Utils::TimePoint SentAt;
  bool Lost = false;
  std::optional<std::pair<uint32_t, uint64_t>> Reading;
  std::map<std::string, uint32_t> OutageAges;
  const Process *Receiver = nullptr;
};

/// Daemons, the log and the links between them, in true time. A network that
/// loses and delays; daemons that pause, die and come back under their name.
class OutageWorld {
public:
  static constexpr size_t Names = 4;

  explicit OutageWorld(uint64_t rates);

  /// Everybody does what its threads would do, in an order drawn by the seed.
  void round(uint64_t seed);
  void pass(uint32_t ms);
  void setLog(bool up) { IsLogUp = up; }
  void setReach(size_t i, bool reach) { Reach[i] = reach; }
  void setLink(size_t i, size_t k, bool up) { Links[i][k] = Links[k][i] = up; }
  void heal();
  void pause(size_t i, uint32_t ms);
  void kill(size_t i) { Daemons[i].reset(); }
  void start(size_t i);
  /// Records the leave of a dead daemon.
  void leave(size_t i);
  /// Daemon `by` records the leave of one that it does not hear, running or
  /// not.
  void bury(size_t by, size_t silent);
  /// Daemons that may act on the limits now, beyond their lease or not.
  size_t acting() const;
  bool acts(size_t i) const;
  bool mayContinue(size_t i) const;
  bool isUp(size_t i) const;

  Reference True;
  bool HasContinued = false;
  /// Daemons claim as early as is sound, not only after a late renewal.
  bool RacingClaims = false;
  size_t Successions = 0;
  size_t Burials = 0;
  uint64_t Delivered = 0;

private:
  Utils::Clock clockOf(size_t i) const;
  const History::State &stateOf(const Process &it) const {
    return *Folds[it.Read];
  }
  History::Lease leaseOf(const Process &it) const;
  History::Verdict append(const History::Record &record);
  bool reaches(size_t i) const { return IsLogUp && Reach[i]; }
  void readLog(size_t i);
  void readPeer(size_t i, size_t k);
  void join(size_t i, std::mt19937_64 &random);
  void probe(size_t i, size_t k);
  void hear(const Told &told);
  void stepLease(size_t i, std::mt19937_64 &random);
  void awaitPredecessor(Process &it);
  void stepDuty(size_t i);
  void ask(size_t i, std::mt19937_64 &random);
  void drain(size_t i);
  bool isLogOutageAt(const Process &it) const;

  Limits::Policy Agreed;
  std::vector<std::shared_ptr<const History::State>> Folds;
  std::unique_ptr<Process> Daemons[Names];
  double Rates[Names];
  bool Reach[Names];
  bool Links[Names][Names];
  bool IsLogUp = true;
  std::vector<Told> Wires;
  int64_t Now = 0;
  uint64_t Started = 0;
  uint64_t Ids = 0;
};

} // namespace LimitsTest

#endif // TESTS_LIMITS_OUTAGEWORLD_H
