#ifndef LIMITS_MESSAGES_H
#define LIMITS_MESSAGES_H

#include "utils/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Limits {

/// What is agreed about grants in a deployment.
struct Policy {
  /// How long a grant lives after the message that asked for it.
  uint32_t GrantMs = 6000;
  /// Bound on the relative error of any VM's clock rate, parts in a million.
  uint32_t ClockRateErrorPpm = 10000;
};

/// Until when a daemon may deliver on a grant asked for at `sentAt`: earlier
/// than lapseDeadline() of the answer on any two clocks within the bound.
Utils::TimePoint grantDeadline(Utils::TimePoint sentAt, const Policy &policy);

/// When every grant given until `givenAt` has surely lapsed at its daemon.
Utils::TimePoint lapseDeadline(Utils::TimePoint givenAt, const Policy &policy);

/// State of one account, in tokens counted since the account was opened, and
/// what the daemon asks for. Cumulative counts make a message that is lost or
/// repeated harmless.
struct AccountReport {
  std::string Team;
  uint64_t Generation = 0;
  uint64_t Granted = 0;
  uint64_t Delivered = 0;
  uint64_t Returned = 0;
  /// Tokens held that no request has reserved or waits for.
  uint64_t Free = 0;
  /// Tokens that each waiting request needs beyond what the wallet holds; each
  /// is granted whole or not at all.
  std::vector<uint64_t> Needs;
  /// Tokens wanted ahead of demand; granted as far as there are plenty.
  uint64_t Prefetch = 0;

  template <class Archive> void serialize(Archive &archive) {
    archive(Team, Generation, Granted, Delivered, Returned, Free, Needs,
            Prefetch);
  }
};

/// From a daemon to the holder of the limits duty.
struct GrantRequest {
  /// Name of the daemon's process, never used by another process.
  std::string Daemon;
  /// Fence of the lease under which the holder is addressed.
  uint64_t Fence = 0;
  uint64_t Sequence = 0;
  std::vector<AccountReport> Accounts;

  template <class Archive> void serialize(Archive &archive) {
    archive(Daemon, Fence, Sequence, Accounts);
  }
};

enum class AccountStatus : uint8_t {
  /// The account lives on from the time of the request.
  Renewed,
  /// The counts were taken, but the deadline stays: more is outstanding than
  /// the burst, which has been lowered.
  NotRenewed,
  /// The holder knows no such account; its tokens must not be delivered.
  Unknown,
  /// A newer report has been seen, or the counts are not possible.
  Stale,
};

struct AccountReply {
  std::string Team;
  uint64_t Generation = 0;
  AccountStatus Status = AccountStatus::Stale;
  uint64_t Granted = 0;
  /// When the largest need not granted could be, milliseconds; 0 when all were.
  uint32_t RetryAfterMs = 0;
  /// A need is more than the team's burst and can never be granted.
  bool OverBurst = false;
  /// Other daemons hold free tokens of the team; the holder calls them back.
  bool HeldElsewhere = false;
  /// The holder is new and began with empty buckets: a need refused now is
  /// not a sign of a team over its rate.
  bool Opening = false;

  template <class Archive> void serialize(Archive &archive) {
    archive(Team, Generation, Status, Granted, RetryAfterMs, OverBurst,
            HeldElsewhere, Opening);
  }
};

/// Answer to a GrantRequest. Without accounts when the daemon that was asked
/// does not hold the duty under the fence.
struct GrantReply {
  bool Holds = false;
  uint64_t Fence = 0;
  uint64_t Sequence = 0;
  std::vector<AccountReply> Accounts;

  template <class Archive> void serialize(Archive &archive) {
    archive(Holds, Fence, Sequence, Accounts);
  }
};

} // namespace Limits

#endif // LIMITS_MESSAGES_H
