#ifndef QUOTA_TOKENALLOCATOR_H
#define QUOTA_TOKENALLOCATOR_H

#include "quota/tokenbucket.h"

#include <cstdint>
#include <map>
#include <string>

namespace Quota {

/// Tokens of a team at one gateway, counted since its process started. Counts
/// in place of changes: messages may be lost, doubled or overtake each other.
struct Account {
  /// Of calls that were admitted, without those given back.
  int64_t Spent = 0;
  /// What the gateway may spend, as far as it knows.
  int64_t Granted = 0;
  /// Up to which it wants to spend: with its calls that wait for tokens.
  int64_t Asked = 0;
  /// Size of the first call that waits.
  int64_t First = 0;
  /// Of all calls that came, admitted or not.
  int64_t Wanted = 0;
  bool operator==(const Account &) const = default;
};

/// The holder's count of one team.
class Ledger {
public:
  /// `level`: of the bucket, as far as it can be known. `mostDebt`: tokens by
  /// which grants may overdraw it, so that calls of all sizes find room alike.
  Ledger(const Limit &limit, double level, double mostDebt, TimePoint now);
  void setLimit(const Limit &limit, TimePoint now);
  /// Part of the rate that is granted; the rest is left to gateways that have
  /// not been heard of and go on by themselves.
  void setPart(double part, TimePoint now);
  /// The holder before has told that the level would be so many by now.
  void lowerTo(double level, TimePoint now);
  /// Takes in an account of a gateway's process; what it may spend now.
  int64_t settle(const std::string &gateway, uint64_t incarnation,
                 const Account &account, TimePoint now);
  double level(TimePoint now);
  const Limit &limit() const { return Allowed; }
  /// Tokens a second that callers want, of the last seconds.
  double demand(TimePoint now);

private:
  struct Share {
    uint64_t Incarnation = 0;
    int64_t Granted = 0;
    int64_t Wanted = 0;
  };
  int64_t grant(int64_t wanted, int64_t first, TimePoint now);
  void debit(double tokens, TimePoint now);
  void debitLate(double tokens, TimePoint now);
  void fill(TimePoint now);
  void noteDemand(double tokens, TimePoint now);

  Limit Allowed;
  double MostDebt;
  Bucket Fleet;
  /// What the rate has brought in the last seconds beyond what the bucket took:
  /// it was full, or a part was left to silent gateways.
  double Spare = 0;
  TimePoint FilledAt;
  /// Tokens wanted, the less the longer ago.
  double Recent = 0;
  TimePoint RecentAt{};
  /// Granted since this ledger began.
  double NetGranted = 0;
  std::map<std::string, Share> Shares;
};

} // namespace Quota

#endif // QUOTA_TOKENALLOCATOR_H
