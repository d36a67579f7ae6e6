#ifndef QUARANTINE_CRASHLEDGER_H
#define QUARANTINE_CRASHLEDGER_H

#include "quarantine/quarantinelist.h"

#include <deque>
#include <map>

namespace Quarantine {

/// Decides from crashes and answers which parts are quarantined.
///
/// A part that crashes endpoints crashes every one that begins to answer it.
/// So each crash that it caused has a suspect with it, it is never answered,
/// and the calls that were sent after one crash cause the next. The part (or
/// the parts that always come together) that accounts for most crashes in this
/// sense is quarantined; these crashes then count against no other part.
///
/// A request that crashes endpoints shows in the same way by its hash. Requests
/// that were at the same crashes are told apart by the next crash or answer.
class CrashLedger {
public:
  /// Crashes of one endpoint as seen by several gateways are one crash.
  void addCrash(const Crash &crash);
  /// A call with the part was answered; its answer began at that time.
  void addAnswer(Part part, TimePoint at);
  /// Takes over quarantines that others have decided.
  void adopt(const std::vector<Entry> &entries);

  /// Drops what is out of date and decides. A part is quarantined no sooner
  /// than `answerDelay` after it became suspected: the time in which answers of
  /// calls with it become known here. Returns whether the suspected parts or
  /// the quarantines have changed.
  bool update(Milliseconds answerDelay, TimePoint now);

  /// Parts about which answers are of interest: those that may be quarantined,
  /// and those that are.
  Parts partsToWatch() const;
  /// Parts of the calls that were at the recent crashes, sorted.
  Parts partsAtCrashes() const;
  const std::vector<Entry> &quarantines() const { return Quarantines; }
  size_t quarantineCount(TimePoint now) const {
    return countInForce(Quarantines, now);
  }

private:
  /// Crashes for which a part accounts.
  struct Account {
    /// Indexes into Crashes.
    std::vector<size_t> Crashes;
    /// Length of the longest sequence of these in which a call with the part
    /// was sent after each crash and was at the next one.
    uint32_t Sequence = 0;
  };

  using Accounts = std::map<Part, Account>;

  void expire(TimePoint now);
  const Accounts &accounts();
  Accounts makeAccounts() const;
  size_t unexplainedCrashes(bool ofPromptParts, TimePoint now) const;
  void suspect(const Accounts &accounts, Milliseconds answerDelay,
               TimePoint now);
  TimePoint watchedSince(Part part, Milliseconds answerDelay,
                         TimePoint now) const;
  bool isExplained(const Crash &crash) const;
  bool isExplainedWith(const Crash &crash, Part part) const;
  bool renewLapsed(TimePoint now);
  bool quarantineNext(Milliseconds answerDelay, TimePoint now);
  Part leastAnswered(const Parts &parts) const;
  bool comeTogether(Part left, Part right, const Account &account) const;
  Parts partsTogether(Part first, const Parts &candidates,
                      const Accounts &accounts) const;
  bool makeRoom(TimePoint now);
  void quarantine(Parts parts, Milliseconds period, TimePoint now);

  std::deque<Crash> Crashes;
  std::map<Part, TimePoint> AnsweredAt;
  /// Since when parts are suspected.
  std::map<Part, TimePoint> SuspectedSince;
  std::vector<Entry> Quarantines;
  /// Result of makeAccounts(); none if the evidence has changed since.
  std::optional<Accounts> KnownAccounts;
};

} // namespace Quarantine

#endif // QUARANTINE_CRASHLEDGER_H
