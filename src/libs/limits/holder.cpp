#include "limits/holder.h"

#include "limits/bucket.h"

#include <algorithm>

namespace Limits {

using namespace Internal;

namespace {

/// Share of what is plenty that one daemon may take ahead of its demand.
constexpr uint64_t PrefetchShare = 4;
/// The rest of the burst is kept for needs.
constexpr uint64_t PlentyShare = 2;

/// Account of the report, opened or adopted if it may be.
Account *accountOf(const Holder &holder, Bucket &bucket, const AccountKey &key,
                   const AccountReport &report, Utils::TimePoint now) {
  auto it = bucket.Accounts.find(key);
  if (it != bucket.Accounts.end())
    return &it->second;
  if (report.Granted != 0 && now >= holder.OpensAt)
    return nullptr;
  Account &opened = bucket.Accounts[key];
  opened.Granted = report.Granted;
  opened.Delivered = report.Delivered;
  opened.Returned = report.Returned;
  bucket.Outstanding += opened.outstanding();
  renew(bucket, opened, holder.Agreed, now);
  return &opened;
}

bool isPossible(const AccountReport &report) {
  return report.Delivered <= report.Granted &&
         report.Returned <= report.Granted - report.Delivered;
}

bool follows(const Account &account, const AccountReport &report,
             uint64_t sequence) {
  return sequence > account.Sequence && report.Delivered >= account.Delivered &&
         report.Returned >= account.Returned &&
         report.Delivered + report.Returned <= account.Granted;
}

/// Credits what came back and was not delivered, never above the burst.
void takeReport(Bucket &bucket, Account &account, const AccountReport &report) {
  uint64_t returned = report.Returned - account.Returned;
  bucket.Outstanding -= report.Delivered - account.Delivered + returned;
  account.Delivered = report.Delivered;
  account.Returned = report.Returned;
  account.Free = report.Free;
  Wide level = bucket.LevelNano + Wide(returned) * NanoPerToken;
  level = std::min(level, Wide(roomNano(bucket)));
  bucket.LevelNano = static_cast<int64_t>(level);
}

void take(Bucket &bucket, Account &account, uint64_t tokens) {
  bucket.LevelNano -= static_cast<int64_t>(tokens) * NanoPerToken;
  bucket.Outstanding += tokens;
  account.Granted += tokens;
}

/// Tokens that one daemon may take ahead of its demand.
uint64_t plenty(const Bucket &bucket) {
  uint64_t kept = bucket.Allowed.BurstTokens / PlentyShare;
  uint64_t level = available(bucket);
  return (level - std::min(level, kept)) / PrefetchShare;
}

void refuse(const Holder &holder, const Bucket &bucket, const Account &account,
            uint64_t need, AccountReply &reply, Utils::TimePoint now) {
  auto wait = msUntil(holder, bucket, need, now);
  reply.OverBurst = reply.OverBurst || !wait;
  reply.RetryAfterMs = std::max(reply.RetryAfterMs, wait.value_or(0));
  reply.Opening = now < holder.SettledAt;
  for (const auto &[key, other] : bucket.Accounts)
    if (&other != &account && other.Free > 0)
      reply.HeldElsewhere = true;
}

void grantTokens(const Holder &holder, Bucket &bucket, Account &account,
                 const AccountReport &report, AccountReply &reply,
                 Utils::TimePoint now) {
  bool refused = false;
  for (uint64_t need : report.Needs) {
    if (need <= available(bucket)) {
      take(bucket, account, need);
      continue;
    }
    refused = true;
    refuse(holder, bucket, account, need, reply, now);
  }
  if (refused)
    return;
  uint64_t ahead = std::min(report.Prefetch, plenty(bucket));
  take(bucket, account, ahead);
  account.Free += ahead;
}

AccountReply settleAccount(Holder &holder, const GrantRequest &request,
                           const AccountReport &report, Utils::TimePoint now) {
  AccountReply reply;
  reply.Team = report.Team;
  reply.Generation = report.Generation;
  auto it = holder.Buckets.find(report.Team);
  reply.Status = AccountStatus::Unknown;
  if (it == holder.Buckets.end() || !isPossible(report))
    return reply;
  Bucket &bucket = it->second;
  advance(bucket, holder.Agreed, now);
  AccountKey key(request.Daemon, report.Generation);
  Account *account = accountOf(holder, bucket, key, report, now);
  if (!account)
    return reply;
  reply.Status = AccountStatus::Stale;
  if (!follows(*account, report, request.Sequence))
    return reply;
  takeReport(bucket, *account, report);
  account->Sequence = request.Sequence;
  reply.Granted = account->Granted;
  reply.Status = AccountStatus::NotRenewed;
  if (bucket.Outstanding > bucket.Allowed.BurstTokens)
    return reply;
  renew(bucket, *account, holder.Agreed, now);
  grantTokens(holder, bucket, *account, report, reply, now);
  reply.Status = AccountStatus::Renewed;
  reply.Granted = account->Granted;
  return reply;
}

void open(Holder &holder, Utils::TimePoint now) {
  holder.OpensAt = now;
  holder.SettledAt = lapseDeadline(now, holder.Agreed);
  for (auto &[team, bucket] : holder.Buckets)
    bucket.FilledAt = std::min(bucket.FilledAt, now);
}

/// Takes note of a daemon whose tokens are all known now. One whose tokens were
/// not adopted goes on holding them until it has the answer.
void notePresented(Holder &holder, const std::string &process,
                   const GrantReply &reply, Utils::TimePoint now) {
  if (!holder.Awaited || now >= holder.OpensAt)
    return;
  bool allKnown = std::all_of(reply.Accounts.begin(), reply.Accounts.end(),
                              [](const auto &it) {
                                return it.Status == AccountStatus::Renewed ||
                                       it.Status == AccountStatus::NotRenewed;
                              });
  if (!allKnown)
    return;
  holder.Awaited->erase(daemonOfProcess(process));
  if (holder.Awaited->empty())
    open(holder, now);
}

} // namespace

std::string daemonOfProcess(const std::string &process) {
  return process.substr(0, process.rfind('/'));
}

void awaitAccounts(Holder &holder, std::set<std::string> daemons) {
  holder.Awaited = std::move(daemons);
}

Holder makeHolder(const Policy &policy, uint64_t fence, bool first,
                  Utils::TimePoint acquiredAt) {
  Holder holder;
  holder.Agreed = policy;
  holder.Fence = fence;
  holder.First = first;
  holder.OpensAt = first ? acquiredAt : lapseDeadline(acquiredAt, policy);
  holder.SettledAt = first ? acquiredAt : lapseDeadline(holder.OpensAt, policy);
  return holder;
}

void setLimit(Holder &holder, const std::string &team, const Limit &limit,
              Utils::TimePoint now) {
  auto [it, added] = holder.Buckets.try_emplace(team);
  Bucket &bucket = it->second;
  if (added) {
    bucket.FilledAt = std::max(now, holder.OpensAt);
    bucket.Allowed = limit;
    bucket.LevelNano = holder.First ? roomNano(bucket) : 0;
    return;
  }
  advance(bucket, holder.Agreed, now);
  bucket.Allowed = limit;
  bucket.LevelNano = std::min(bucket.LevelNano, roomNano(bucket));
}

GrantReply grant(Holder &holder, const GrantRequest &request,
                 Utils::TimePoint now) {
  GrantReply reply;
  reply.Fence = holder.Fence;
  reply.Sequence = request.Sequence;
  reply.Holds = request.Fence == holder.Fence;
  if (!reply.Holds)
    return reply;
  for (const AccountReport &it : request.Accounts)
    reply.Accounts.push_back(settleAccount(holder, request, it, now));
  notePresented(holder, request.Daemon, reply, now);
  return reply;
}

void advance(Holder &holder, Utils::TimePoint now) {
  for (auto &[team, bucket] : holder.Buckets)
    advance(bucket, holder.Agreed, now);
}

std::vector<std::string> daemonsWithFree(const Holder &holder,
                                         const std::string &team) {
  std::vector<std::string> daemons;
  auto it = holder.Buckets.find(team);
  if (it == holder.Buckets.end())
    return daemons;
  for (const auto &[key, account] : it->second.Accounts)
    if (account.Free > 0)
      daemons.push_back(key.first);
  return daemons;
}

} // namespace Limits
