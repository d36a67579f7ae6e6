#include "daemon/limitsduty.h"

#include "codec/codec.h"
#include "daemon/limitsmethods.h"

namespace Daemon::Internal {

namespace {

constexpr Utils::Milliseconds AskTimeout(500);
constexpr Utils::Milliseconds MinAskTimeout(50);

} // namespace

bool LimitsDuty::exchange() {
  LimitsLead lead = Ports.Lead();
  Limits::Needs needs;
  Utils::TimePoint begin = Ports.Clock.Now();
  for (const WaiterPtr &it : Waiting)
    if (begin >= it->AskAt)
      needs[it->Team].push_back(it->Tokens);
  if (lead.Holder.empty()) {
    LastAccepted = false;
    noteLink(lead);
    refuseWaiters(nullptr);
    return false;
  }
  Limits::GrantRequest request;
  {
    std::lock_guard lock(Mutex);
    LastExchange = Ports.Clock.Now();
    if (lead.Self)
      OwnFence = lead.Fence;
    request = Limits::makeRequest(Wallets, lead.Fence, needs, LastExchange);
  }
  auto reply = ask(lead, request);
  bool accepted = false;
  {
    std::lock_guard lock(Mutex);
    accepted = reply && Limits::accept(Wallets, *reply);
    if (!accepted)
      Limits::abandon(Wallets);
    else if (!lead.Self)
      OwnFence = 0;
  }
  if (accepted)
    LastFence = lead.Fence;
  LastAccepted = accepted;
  noteLink(lead);
  satisfyWaiters();
  refuseWaiters(accepted ? &*reply : nullptr);
  return accepted;
}

/// Until when an answer of the holder is awaited. No waiter is kept past its
/// deadline by a holder that does not answer.
Utils::TimePoint LimitsDuty::askBy(Utils::TimePoint now) const {
  Utils::TimePoint by = now + AskTimeout;
  for (const WaiterPtr &it : Waiting)
    by = std::min(by, it->Deadline);
  return std::max(by, now + MinAskTimeout);
}

std::optional<Limits::GrantReply>
LimitsDuty::ask(const LimitsLead &lead, const Limits::GrantRequest &request) {
  if (lead.Self)
    return Holder.grant(request);
  auto answer = Ports.Rpc.Call(lead.Holder, GrantMethod, Codec::encode(request),
                               askBy(Ports.Clock.Now()));
  if (!answer) {
    Utils::Event("tokens_not_asked")
        .with("holder", lead.Holder)
        .with("why", answer.error().What)
        .warning();
    return std::nullopt;
  }
  auto reply = Codec::decode<Limits::GrantReply>(*answer);
  if (!reply) {
    Utils::Event("tokens_not_asked")
        .with("holder", lead.Holder)
        .with("why", reply.error().What)
        .warning();
    return std::nullopt;
  }
  return *reply;
}

void LimitsDuty::refuseWaiters(const Limits::GrantReply *reply) {
  for (auto it = Waiting.begin(); it != Waiting.end();) {
    Waiter &waiter = **it;
    ++waiter.Rounds;
    bool refused = false;
    if (!reply) {
      refused =
          givesUp(waiter, Waiting.size(), Ports.Policy, Ports.Clock.Now());
      if (refused)
        finish(waiter, withoutHolder());
    } else {
      for (const Limits::AccountReply &account : reply->Accounts)
        if (account.Team == waiter.Team)
          refused = refuses(waiter, account, Waiting.size(), Ports.Clock.Now());
    }
    it = refused ? Waiting.erase(it) : std::next(it);
  }
}

} // namespace Daemon::Internal
