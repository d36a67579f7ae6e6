#ifndef QUOTA_GATEWAYLIMITER_H
#define QUOTA_GATEWAYLIMITER_H

#include "quota/tokenallocator.h"

#include <deque>
#include <optional>
#include <random>
#include <vector>

namespace Quota {

/// What the holder tells a gateway of a team.
struct Told {
  double Level = 0;
  /// Tokens a second that callers want of all gateways.
  double Demand = 0;
  int64_t Granted = 0;
};

/// Whether a call may go on; one that may not is told when to come back.
struct Decision {
  uint64_t Call = 0;
  std::optional<Milliseconds> ComeBack;
  bool isAdmitted() const { return !ComeBack; }
};

/// The part of one gateway in the limit of one team.
class Purse {
public:
  /// How long a call waits for the holder's answer. One takes 2 to 6 ms; the
  /// holder may be busy with a plan for some 20 ms, and one message be lost.
  static constexpr Milliseconds Patience{100};
  /// The same for a process that has not heard of a holder yet: all may have
  /// been started at once, and one claims the duty within some 100 ms.
  static constexpr Milliseconds FirstPatience{300};

  /// `level`: of the team's bucket as far as it can be known, of which and of
  /// the rate this gateway may use one part in `members` by itself.
  Purse(const Limit &limit, double level, uint32_t members, TimePoint now);

  void setLimit(const Limit &limit, TimePoint now);
  void setMembers(uint32_t members, TimePoint now);

  /// A call wants tokens; nothing if that is decided later, by hear() or
  /// expire(). `led`: a holder answers.
  std::optional<Decision> want(uint64_t call, double tokens, bool led,
                               TimePoint now, std::mt19937_64 &random);
  /// A waiting call needs no tokens any more.
  void forget(uint64_t call);
  /// Reports from that number on go to another holder.
  void addressHolder(uint64_t sequence) { GrantsFrom = sequence; }
  /// Tokens of an admitted call that did not run.
  void giveBack(double tokens);

  /// What the report of that number, which is about to be sent, tells. The
  /// gateway gives up what it does not ask for.
  Account report(uint64_t sequence);
  const Account &account() const { return Counts; }
  bool isWaiting() const { return !Waiting.empty(); }
  /// Takes in the answer to that report.
  std::vector<Decision> hear(const Told &told, uint64_t sequence,
                             TimePoint now);
  /// Decides calls whose answers have not come, by this gateway's own part.
  std::vector<Decision> expire(TimePoint now, std::mt19937_64 &random);
  /// Level of the team's bucket by the newest answer, with what came in since;
  /// nothing if there was none.
  std::optional<double> toldLevel(TimePoint now);

private:
  struct Wait {
    uint64_t Call = 0;
    int64_t Tokens = 0;
    TimePoint Until{};
    /// Number of the first report that asked for it; 0: none has.
    uint64_t AskedBy = 0;
  };
  bool isLimited() const { return Allowed.Rate > 0; }
  void divide(double level, TimePoint now);
  void recount();
  void spend(int64_t tokens);
  Decision decideAlone(uint64_t call, int64_t tokens, TimePoint now,
                       std::mt19937_64 &random);
  double chanceAlone(double tokens, TimePoint now);
  double demandAlone(double seconds) const;
  bool wasTold() const { return ToldAt != TimePoint{}; }
  Milliseconds comeBack(double level, int64_t tokens) const;

  Limit Allowed;
  uint32_t Members;
  /// The fleet's bucket as the holder has told it.
  Bucket Fleet;
  double Demand = 0;
  /// When the holder told it; the epoch if none has.
  TimePoint ToldAt{};
  double ToldLevel = 0;
  /// Moving average of the size of a call.
  double MeanCall = 0;
  /// Wanted here since then of calls that were decided without the holder.
  double WantedAlone = 0;
  /// What this gateway may use by itself.
  Bucket Own;
  Account Counts;
  int64_t LastAsked = 0;
  /// Answers to earlier reports grant what was given up since.
  uint64_t GrantsFrom = 0;
  std::deque<Wait> Waiting;
};

} // namespace Quota

#endif // QUOTA_GATEWAYLIMITER_H
