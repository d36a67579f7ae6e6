#ifndef LIMITS_HOLDER_H
#define LIMITS_HOLDER_H

#include "limits/messages.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Limits {

/// Rate and burst of a team.
struct Limit {
  uint64_t RateTokensPerS = 0;
  uint64_t BurstTokens = 0;
  auto operator<=>(const Limit &) const = default;
};

/// Daemon and generation.
using AccountKey = std::pair<std::string, uint64_t>;

/// Tokens that one daemon may still deliver, as the holder counts them.
struct Account {
  uint64_t Granted = 0;
  uint64_t Delivered = 0;
  uint64_t Returned = 0;
  uint64_t Sequence = 0;
  /// Tokens that the daemon holds in reserve, as last reported.
  uint64_t Free = 0;
  /// From then on the outstanding tokens count as delivered.
  Utils::TimePoint LapsesAt;

  uint64_t outstanding() const { return Granted - Delivered - Returned; }
};

/// Token bucket of a team. Level and outstanding tokens together never exceed
/// the burst, except for at most one grant duration after the burst was
/// lowered. So the tokens delivered in any window are at most
/// rate * window + burst.
struct Bucket {
  Limit Allowed;
  /// Tokens ready to be granted, in units of 1e-9 tokens.
  int64_t LevelNano = 0;
  /// Part of the last refill that was too little for the level.
  int64_t Remainder = 0;
  Utils::TimePoint FilledAt;
  uint64_t Outstanding = 0;
  std::map<AccountKey, Account> Accounts;
  /// No account lapses before then.
  Utils::TimePoint NextLapse = Utils::TimePoint::max();
};

/// State of the daemon that holds the limits duty, from the claim to the end of
/// its lease.
struct Holder {
  Policy Agreed;
  uint64_t Fence = 0;
  /// No one has granted tokens before this holder.
  bool First = false;
  /// Every grant of earlier holders has lapsed by then. Buckets fill from then
  /// on; until then live accounts of earlier holders are adopted.
  Utils::TimePoint OpensAt;
  /// Until then buckets are low for having begun empty.
  Utils::TimePoint SettledAt;
  std::map<std::string, Bucket> Buckets;
  /// Daemons that may hold tokens of earlier holders and have not presented
  /// them; nothing when these daemons are not all known.
  std::optional<std::set<std::string>> Awaited;
};

/// Name of the daemon in the name of one of its processes.
std::string daemonOfProcess(const std::string &process);

/// Lets a new holder open as soon as each of these daemons has sent a request
/// under its fence: a request carries all tokens that the daemon holds, and an
/// answer of an earlier holder brings it none from then on. The caller is sure
/// that no other daemon may deliver tokens of earlier holders.
void awaitAccounts(Holder &holder, std::set<std::string> daemons);

/// Holder whose own claim has been seen accepted at `acquiredAt`. `first`: the
/// duty has never been held before.
Holder makeHolder(const Policy &policy, uint64_t fence, bool first,
                  Utils::TimePoint acquiredAt);

/// Sets or changes a team's limit. Windows that begin a grant duration after a
/// change keep the new bound, earlier ones that of the larger burst. The bucket
/// of a team whose row is gone is kept with a limit of nothing, so that a row
/// that comes back brings no second burst.
void setLimit(Holder &holder, const std::string &team, const Limit &limit,
              Utils::TimePoint now);

/// Takes the reports into account and grants what the buckets allow.
GrantReply grant(Holder &holder, const GrantRequest &request,
                 Utils::TimePoint now);

/// Counts the grants past their deadline as delivered, and fills the buckets.
void advance(Holder &holder, Utils::TimePoint now);

/// Tokens that could be granted at once.
uint64_t available(const Bucket &bucket);

/// Daemons that hold tokens of the team in reserve.
std::vector<std::string> daemonsWithFree(const Holder &holder,
                                         const std::string &team);

/// When `tokens` would be in the bucket if no one else took any; nothing when
/// they are more than the burst.
std::optional<uint32_t> msUntil(const Holder &holder, const Bucket &bucket,
                                uint64_t tokens, Utils::TimePoint now);

/// Final state of a holder that has ended its lease and grants no more, for its
/// immediate successor.
struct Handover {
  struct AccountState {
    std::string Daemon;
    uint64_t Generation = 0;
    uint64_t Granted = 0;
    uint64_t Delivered = 0;
    uint64_t Returned = 0;
    uint64_t Sequence = 0;

    template <class Archive> void serialize(Archive &archive) {
      archive(Daemon, Generation, Granted, Delivered, Returned, Sequence);
    }
  };
  struct BucketState {
    std::string Team;
    uint64_t RateTokensPerS = 0;
    uint64_t BurstTokens = 0;
    int64_t LevelNano = 0;
    std::vector<AccountState> Accounts;

    template <class Archive> void serialize(Archive &archive) {
      archive(Team, RateTokensPerS, BurstTokens, LevelNano, Accounts);
    }
  };
  bool First = false;
  uint32_t RemainingMs = 0;
  std::vector<BucketState> Buckets;

  template <class Archive> void serialize(Archive &archive) {
    archive(First, RemainingMs, Buckets);
  }
};

/// State to hand over. The holder must not be used afterwards.
Handover handOver(Holder &holder, Utils::TimePoint now);

/// Holder that goes on where its immediate predecessor ended. Grants live on.
Holder takeOver(const Policy &policy, uint64_t fence, const Handover &state,
                Utils::TimePoint now);

} // namespace Limits

#endif // LIMITS_HOLDER_H
