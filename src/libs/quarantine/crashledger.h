#ifndef QUARANTINE_CRASHLEDGER_H
#define QUARANTINE_CRASHLEDGER_H

#include "quarantine/quarantinelist.h"

#include <deque>
#include <map>

namespace Quarantine {

/// A call that was at an endpoint, not yet answered, when that crashed.
struct Suspect {
  Parts Shared;
  TimePoint SentAt{};
};

/// A crash of an endpoint as one gateway saw it.
struct Crash {
  /// Hash of the endpoint's id.
  uint32_t Endpoint = 0;
  TimePoint At{};
  std::vector<Suspect> Suspects;
};

/// Decides from crashes and answers which parts are quarantined.
///
/// A part that crashes endpoints crashes every one that begins to answer it.
/// So each crash that it caused has a suspect with it, it is never answered,
/// and the calls that were sent after one crash cause the next. The part (or
/// the parts that always come together) that accounts for most crashes in this
/// sense is quarantined; these crashes then count against no other part.
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
  const std::vector<Entry> &quarantines() const { return Quarantines; }

private:
  /// Crashes for which a part accounts.
  struct Account {
    /// Indexes into Crashes.
    std::vector<size_t> Crashes;
    /// Length of the longest sequence of these in which a call with the part
    /// was sent after each crash and was at the next one.
    uint32_t Sequence = 0;
  };

  void expire(TimePoint now);
  std::map<Part, Account> accounts() const;
  size_t unexplainedCrashes(TimePoint now) const;
  void suspect(const std::map<Part, Account> &accounts, TimePoint now);
  bool isExplained(const Crash &crash) const;
  bool renewLapsed(TimePoint now);
  bool quarantineNext(Milliseconds answerDelay, TimePoint now);
  bool comeTogether(Part left, Part right, const Account &account) const;
  void quarantine(Parts parts, TimePoint now);

  std::deque<Crash> Crashes;
  std::map<Part, TimePoint> AnsweredAt;
  /// Since when parts are suspected.
  std::map<Part, TimePoint> SuspectedSince;
  std::vector<Entry> Quarantines;
};

} // namespace Quarantine

#endif // QUARANTINE_CRASHLEDGER_H
