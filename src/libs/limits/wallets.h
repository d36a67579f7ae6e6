#ifndef LIMITS_WALLETS_H
#define LIMITS_WALLETS_H

#include "limits/messages.h"

#include <map>
#include <optional>

namespace Limits {

/// Tokens of one request, taken from a wallet before the request runs.
struct Reservation {
  std::string Team;
  uint64_t Generation = 0;
  /// Tokens not yet delivered.
  uint64_t Tokens = 0;
};

/// Tokens that this daemon may deliver for one team. Counts as in the report.
struct Wallet {
  uint64_t Generation = 0;
  uint64_t Granted = 0;
  uint64_t Delivered = 0;
  uint64_t Returned = 0;
  uint64_t Reserved = 0;
  /// Nothing is delivered from then on, unless the holder renews.
  Utils::TimePoint Deadline;
  /// Tokens asked for lately, a second, as a moving average.
  double DemandTokensPerS = 0;
  uint64_t DemandSince = 0;
  Utils::TimePoint DemandAt;
  /// Delivered or returned tokens that the holder has not confirmed.
  uint64_t Unreported = 0;
  /// Tokens came free that the holder thinks in use.
  bool FreeChanged = false;
  /// Tokens were called back or not renewed: what is free is to be returned.
  bool ReturnAll = false;

  uint64_t held() const { return Granted - Delivered - Returned; }
  uint64_t free() const { return held() - Reserved; }
};

/// A request on its way to the holder. Only its own answer is accepted.
struct Exchange {
  uint64_t Sequence = 0;
  uint64_t Fence = 0;
  Utils::TimePoint SentAt;
  std::map<std::string, uint64_t> Reported;
};

/// All wallets of one daemon. Not thread-safe.
struct Wallets {
  Policy Agreed;
  /// Name of this process, never used by another one.
  std::string Daemon;
  uint64_t Sequence = 0;
  uint64_t Generation = 0;
  std::map<std::string, Wallet> Teams;
  std::optional<Exchange> UnderWay;
};

/// Takes tokens for a request out of the team's wallet; nothing when it holds
/// too few or has lapsed. Either way the tokens count as demand.
std::optional<Reservation> reserve(Wallets &wallets, const std::string &team,
                                   uint64_t tokens, Utils::TimePoint now);

/// Adds tokens to a reservation, moving it to the wallet's newest generation
/// when its own has lapsed. False when the wallet holds too few.
bool extend(Wallets &wallets, Reservation &reservation, uint64_t tokens,
            Utils::TimePoint now);

/// Whether the tokens may be delivered now; counts them as delivered if so.
bool deliver(Wallets &wallets, Reservation &reservation, uint64_t tokens,
             Utils::TimePoint now);

/// The two halves of deliver(), for a delivery that takes time: the tokens stay
/// outstanding until they have been handed over whole.
bool mayDeliver(const Wallets &wallets, const Reservation &reservation,
                uint64_t tokens, Utils::TimePoint now);
void markDelivered(Wallets &wallets, Reservation &reservation, uint64_t tokens);

/// Puts back what was not delivered.
void release(Wallets &wallets, Reservation &reservation);

/// Gives the team's free tokens back with the next request.
void giveBack(Wallets &wallets, const std::string &team);

/// Whether the holder must hear from this daemon: counts have changed, or a
/// wallet that is not empty nears its deadline.
bool wantsExchange(const Wallets &wallets, Utils::TimePoint now);

/// Tokens that each waiting request needs, by team.
using Needs = std::map<std::string, std::vector<uint64_t>>;

/// Whether tokens came free that the holder thinks in use.
bool hasFreeUnreported(const Wallets &wallets);

/// Request to the holder under the fence, with what waiting requests need. Ends
/// a request under way: its answer is no longer accepted. Wallets that have
/// lapsed start over.
GrantRequest makeRequest(Wallets &wallets, uint64_t fence, const Needs &needs,
                         Utils::TimePoint now);

/// Takes an answer into account; false when it is not the awaited one.
bool accept(Wallets &wallets, const GrantReply &reply);

/// Gives up on the request under way.
void abandon(Wallets &wallets);

} // namespace Limits

#endif // LIMITS_WALLETS_H
