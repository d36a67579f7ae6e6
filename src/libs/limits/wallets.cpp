#include "limits/wallets.h"

#include <algorithm>
#include <cmath>

namespace Limits {

namespace {

/// Demand that a wallet holds ahead, seconds.
constexpr double PrefetchSeconds = 0.25;
/// A wallet with more than this many times its prefetch returns the rest.
constexpr uint64_t KeepFactor = 2;
/// Time constant of the demand's moving average, seconds.
constexpr double DemandSeconds = 1.0;
/// A wallet is renewed when less than this share of its time is left.
constexpr int RenewShare = 2;

bool isLive(const Wallet &wallet, Utils::TimePoint now) {
  return now < wallet.Deadline;
}

void startOver(Wallets &wallets, Wallet &wallet) {
  wallet.Generation = ++wallets.Generation;
  wallet.Granted = 0;
  wallet.Delivered = 0;
  wallet.Returned = 0;
  wallet.Reserved = 0;
  wallet.Unreported = 0;
  wallet.ReturnAll = false;
  wallet.FreeChanged = false;
  wallet.Deadline = Utils::TimePoint();
}

Wallet &walletOf(Wallets &wallets, const std::string &team) {
  auto [it, added] = wallets.Teams.try_emplace(team);
  if (added)
    startOver(wallets, it->second);
  return it->second;
}

/// Folds the demand since the last exchange into the moving average.
void updateDemand(Wallet &wallet, Utils::TimePoint now) {
  std::chrono::duration<double> spent = now - wallet.DemandAt;
  if (spent.count() <= 0)
    return;
  double keep = std::exp(-spent.count() / DemandSeconds);
  wallet.DemandTokensPerS = wallet.DemandTokensPerS * keep +
                            double(wallet.DemandSince) / DemandSeconds * keep;
  wallet.DemandSince = 0;
  wallet.DemandAt = now;
}

uint64_t prefetchTarget(const Wallet &wallet) {
  return static_cast<uint64_t>(wallet.DemandTokensPerS * PrefetchSeconds);
}

/// Tokens to ask for ahead of demand.
uint64_t prefetchOf(const Wallet &wallet) {
  uint64_t target = wallet.ReturnAll ? 0 : prefetchTarget(wallet);
  return target - std::min(target, wallet.free());
}

void returnExcess(Wallet &wallet) {
  uint64_t keep = wallet.ReturnAll ? 0 : prefetchTarget(wallet) * KeepFactor;
  if (wallet.free() <= keep)
    return;
  uint64_t excess = wallet.free() - keep;
  wallet.Returned += excess;
  wallet.Unreported += excess;
}

/// What each waiting request needs once the free tokens have been used; takes
/// these off `freeTokens`.
std::vector<uint64_t> beyond(uint64_t &freeTokens,
                             const std::vector<uint64_t> &needs) {
  std::vector<uint64_t> missing;
  for (uint64_t it : needs) {
    uint64_t used = std::min(it, freeTokens);
    freeTokens -= used;
    if (it > used)
      missing.push_back(it - used);
  }
  return missing;
}

AccountReport reportOf(const std::string &team, const Wallet &wallet) {
  AccountReport report;
  report.Team = team;
  report.Generation = wallet.Generation;
  report.Granted = wallet.Granted;
  report.Delivered = wallet.Delivered;
  report.Returned = wallet.Returned;
  return report;
}

bool isIdle(const Wallet &wallet) {
  return wallet.held() == 0 && wallet.Unreported == 0;
}

void acceptAccount(Wallets &wallets, const Exchange &exchange,
                   const AccountReply &reply) {
  auto it = wallets.Teams.find(reply.Team);
  if (it == wallets.Teams.end() || it->second.Generation != reply.Generation)
    return;
  Wallet &wallet = it->second;
  if (reply.Status == AccountStatus::Unknown)
    return startOver(wallets, wallet);
  if (reply.Status == AccountStatus::Stale)
    return;
  wallet.Granted = std::max(wallet.Granted, reply.Granted);
  if (auto reported = exchange.Reported.find(reply.Team);
      reported != exchange.Reported.end())
    wallet.Unreported = wallet.Delivered + wallet.Returned - reported->second;
  if (reply.Status == AccountStatus::NotRenewed)
    wallet.ReturnAll = true;
  if (reply.Status == AccountStatus::Renewed)
    wallet.Deadline = grantDeadline(exchange.SentAt, wallets.Agreed);
}

} // namespace

std::optional<Reservation> reserve(Wallets &wallets, const std::string &team,
                                   uint64_t tokens, Utils::TimePoint now) {
  Wallet &wallet = walletOf(wallets, team);
  wallet.DemandSince += tokens;
  if (!isLive(wallet, now) || wallet.free() < tokens)
    return std::nullopt;
  wallet.Reserved += tokens;
  return Reservation{team, wallet.Generation, tokens};
}

bool extend(Wallets &wallets, Reservation &reservation, uint64_t tokens,
            Utils::TimePoint now) {
  Wallet &wallet = walletOf(wallets, reservation.Team);
  if (wallet.Generation != reservation.Generation)
    reservation.Tokens = 0;
  if (!isLive(wallet, now) || wallet.free() < tokens)
    return false;
  wallet.Reserved += tokens;
  reservation.Generation = wallet.Generation;
  reservation.Tokens += tokens;
  return true;
}

bool mayDeliver(const Wallets &wallets, const Reservation &reservation,
                uint64_t tokens, Utils::TimePoint now) {
  auto it = wallets.Teams.find(reservation.Team);
  if (it == wallets.Teams.end())
    return false;
  const Wallet &wallet = it->second;
  return wallet.Generation == reservation.Generation && isLive(wallet, now) &&
         reservation.Tokens >= tokens;
}

void markDelivered(Wallets &wallets, Reservation &reservation,
                   uint64_t tokens) {
  reservation.Tokens -= tokens;
  Wallet &wallet = walletOf(wallets, reservation.Team);
  if (wallet.Generation != reservation.Generation)
    return;
  wallet.Reserved -= tokens;
  wallet.Delivered += tokens;
  wallet.Unreported += tokens;
}

bool deliver(Wallets &wallets, Reservation &reservation, uint64_t tokens,
             Utils::TimePoint now) {
  if (!mayDeliver(wallets, reservation, tokens, now))
    return false;
  markDelivered(wallets, reservation, tokens);
  return true;
}

void release(Wallets &wallets, Reservation &reservation) {
  Wallet &wallet = walletOf(wallets, reservation.Team);
  if (wallet.Generation == reservation.Generation && reservation.Tokens > 0) {
    wallet.Reserved -= reservation.Tokens;
    wallet.FreeChanged = true;
  }
  reservation.Tokens = 0;
}

void giveBack(Wallets &wallets, const std::string &team) {
  auto it = wallets.Teams.find(team);
  if (it != wallets.Teams.end() && it->second.free() > 0)
    it->second.ReturnAll = true;
}

bool wantsExchange(const Wallets &wallets, Utils::TimePoint now) {
  auto renewBefore =
      now + Utils::Milliseconds(wallets.Agreed.GrantMs / RenewShare);
  for (const auto &[team, wallet] : wallets.Teams)
    if (wallet.Unreported > 0 || wallet.FreeChanged ||
        (wallet.ReturnAll && wallet.free() > 0) ||
        (wallet.held() > 0 && wallet.Deadline < renewBefore))
      return true;
  return false;
}

bool hasFreeUnreported(const Wallets &wallets) {
  return std::any_of(wallets.Teams.begin(), wallets.Teams.end(),
                     [](const auto &it) { return it.second.FreeChanged; });
}

GrantRequest makeRequest(Wallets &wallets, uint64_t fence, const Needs &needs,
                         Utils::TimePoint now) {
  for (const auto &[team, tokens] : needs)
    walletOf(wallets, team);
  GrantRequest request{wallets.Daemon, fence, ++wallets.Sequence, {}};
  Exchange exchange{request.Sequence, fence, now, {}};
  for (auto &[team, wallet] : wallets.Teams) {
    if (wallet.Granted != 0 && !isLive(wallet, now))
      startOver(wallets, wallet);
    updateDemand(wallet, now);
    auto need = needs.find(team);
    if (need == needs.end() && isIdle(wallet))
      continue;
    if (need == needs.end())
      returnExcess(wallet);
    AccountReport report = reportOf(team, wallet);
    report.Free = wallet.free();
    if (need != needs.end())
      report.Needs = beyond(report.Free, need->second);
    report.Prefetch = prefetchOf(wallet);
    wallet.ReturnAll = false;
    wallet.FreeChanged = false;
    exchange.Reported[team] = wallet.Delivered + wallet.Returned;
    request.Accounts.push_back(std::move(report));
  }
  wallets.UnderWay = std::move(exchange);
  return request;
}

bool accept(Wallets &wallets, const GrantReply &reply) {
  if (!wallets.UnderWay || reply.Sequence != wallets.UnderWay->Sequence ||
      reply.Fence != wallets.UnderWay->Fence || !reply.Holds)
    return false;
  Exchange exchange = std::move(*wallets.UnderWay);
  wallets.UnderWay.reset();
  for (const AccountReply &it : reply.Accounts)
    acceptAccount(wallets, exchange, it);
  return true;
}

void abandon(Wallets &wallets) { wallets.UnderWay.reset(); }

} // namespace Limits
