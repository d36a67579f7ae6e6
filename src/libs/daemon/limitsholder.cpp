#include "daemon/limitsholder.h"

#include "codec/codec.h"
#include "daemon/limitsmethods.h"

#include <set>

namespace Daemon::Internal {

namespace {

constexpr size_t CallBackCapacity = 256;
constexpr Utils::Milliseconds IdleWait(500);
constexpr Utils::Milliseconds CallBackTimeout(100);
constexpr Utils::Milliseconds FetchTimeout(500);
/// Durations of a grant for which a former member is remembered: longer than
/// from the last grant to it until a successor of its holder asks for accounts.
constexpr uint32_t RememberedGrants = 4;

Limits::Policy rememberedFor(const LimitsPorts &ports) {
  Limits::Policy policy = ports.Policy;
  policy.GrantMs *= RememberedGrants;
  return policy;
}

} // namespace

LimitsHolder::LimitsHolder(LimitsPorts ports)
    : Ports(std::move(ports)), CallBacks(CallBackCapacity) {
  Ports.Rpc.Handle(
      GrantMethod,
      [this](const std::string &from,
             std::string_view payload) -> Utils::Outcome<std::string> {
        auto request = Codec::decode<Limits::GrantRequest>(payload);
        if (!request)
          return request.error();
        if (Limits::daemonOfProcess(request->Daemon) != from)
          return Utils::failure(Utils::Errc::InvalidArgument,
                                "daemon: not the sender");
        return Codec::encode(grant(*request));
      });
  Ports.Rpc.Handle(HandoverMethod,
                   [this](const std::string &from, std::string_view payload) {
                     return handOver(from, payload);
                   });
  Ports.Rpc.Handle(HandoverTakenMethod,
                   [this](const std::string &from, std::string_view payload) {
                     return noteTaken(from, payload);
                   });
}

LimitsHolder::~LimitsHolder() { stop(); }

void LimitsHolder::start() {
  Thread = std::thread([this] { runCallBacks(); });
}

void LimitsHolder::stop() {
  CallBacks.close();
  if (Thread.joinable())
    Thread.join();
}

void LimitsHolder::end(bool handOver) {
  LimitsLead lead = Ports.Lead();
  std::lock_guard lock(Mutex);
  Over = true;
  if (handOver && Duty && lead.Self && lead.Fence == Duty->Fence)
    Last = Ended{
        Duty->Fence, Limits::handOver(*Duty, Ports.Clock.Now()), {}, false};
  Duty.reset();
}

bool LimitsHolder::waitUntilTaken(Utils::TimePoint deadline) {
  std::unique_lock lock(Mutex);
  return Taken.wait_until(lock, deadline,
                          [this] { return !Last || Last->Taken; });
}

void LimitsHolder::step() {
  LimitsLead lead = Ports.Lead();
  watchMembers(lead);
  bool isNew = false;
  {
    std::lock_guard lock(Mutex);
    if (Over)
      return;
    // A holder that is late with a renewal goes on where it was if no other
    // daemon has held the lease in between.
    if (Duty && Duty->Fence != lead.Fence)
      Duty.reset();
    isNew = lead.Self && !Duty;
  }
  if (isNew)
    takeUp(lead);
  auto teams = Ports.Teams();
  Utils::TimePoint now = Ports.Clock.Now();
  std::lock_guard lock(Mutex);
  if (!Duty)
    return;
  Limits::advance(*Duty, now);
  noteOpening(now);
  for (auto &[team, bucket] : Duty->Buckets)
    teams.try_emplace(team);
  for (const auto &[team, limit] : teams)
    Limits::setLimit(*Duty, team, limit, now);
}

void LimitsHolder::watchMembers(const LimitsLead &lead) {
  if (!Ports.Members)
    return;
  Utils::TimePoint now = Ports.Clock.Now();
  if (WatchedSince == Utils::TimePoint())
    WatchedSince = now;
  if (!KnowsFormerMembers &&
      now >= Limits::lapseDeadline(WatchedSince, rememberedFor(Ports))) {
    KnowsFormerMembers = true;
    Utils::Event("former_members_known").info();
  }
  for (const std::string &it : Ports.Members())
    LastMember[it] = now;
  std::erase_if(LastMember, [&](const auto &it) {
    return now >= Limits::lapseDeadline(it.second, rememberedFor(Ports));
  });
  if (lead.Self || !lead.IsActing || lead.Fence == ActingFence)
    return;
  ActingFence = lead.Fence;
  ActingSince = now;
}

/// Daemons that may hold tokens of earlier holders. The holder that was
/// replaced is not among them if all that it held was its own grants: these end
/// with its lease. Nothing when this process has not watched for long enough.
std::optional<std::set<std::string>>
LimitsHolder::withOldTokens(const LimitsLead &lead) const {
  Utils::TimePoint now = Ports.Clock.Now();
  if (!KnowsFormerMembers)
    return std::nullopt;
  std::set<std::string> daemons;
  for (const auto &[name, at] : LastMember)
    daemons.insert(name);
  if (lead.ReplacedFence == ActingFence &&
      now >= Limits::lapseDeadline(ActingSince, Ports.Policy))
    daemons.erase(lead.ReplacedHolder);
  daemons.insert(Ports.Name);
  return daemons;
}

void LimitsHolder::takeUp(const LimitsLead &lead) {
  Utils::TimePoint acquiredAt = Ports.Clock.Now();
  auto state = lead.ReplacedFence != 0 ? fetch(lead) : std::nullopt;
  Limits::Holder holder =
      state ? Limits::takeOver(Ports.Policy, lead.Fence, *state,
                               Ports.Clock.Now())
            : Limits::makeHolder(Ports.Policy, lead.Fence,
                                 lead.ReplacedFence == 0, acquiredAt);
  if (auto daemons = withOldTokens(lead); daemons && !state)
    Limits::awaitAccounts(holder, std::move(*daemons));
  Utils::Event("limits_taken_up")
      .with("fence", lead.Fence)
      .with("handed_over", state.has_value())
      .info();
  std::lock_guard lock(Mutex);
  if (Over)
    return;
  Duty = std::move(holder);
  Opened = false;
}

void LimitsHolder::noteOpening(Utils::TimePoint now) {
  if (Opened || now < Duty->OpensAt)
    return;
  Opened = true;
  bool allReported = Duty->Awaited && Duty->Awaited->empty();
  Utils::Event("limits_opened")
      .with("fence", Duty->Fence)
      .with("why", allReported ? "all_reported" : "old_grants_over")
      .info();
}

std::optional<Limits::Handover> LimitsHolder::fetch(const LimitsLead &lead) {
  if (lead.ReplacedHolder.empty() || lead.ReplacedHolder == Ports.Name)
    return std::nullopt;
  std::string request = Codec::encode(HandoverRequest{lead.ReplacedFence});
  Utils::TimePoint by = Ports.Clock.Now() + FetchTimeout;
  auto answer =
      Ports.Rpc.Call(lead.ReplacedHolder, HandoverMethod, request, by);
  if (!answer)
    return std::nullopt;
  auto state = Codec::decode<Limits::Handover>(*answer);
  if (!state)
    return std::nullopt;
  // Not needed for the state: a lost one makes the other stop later.
  if (!Ports.Rpc.Call(lead.ReplacedHolder, HandoverTakenMethod, request, by))
    Utils::Event("handover_not_confirmed")
        .with("peer", lead.ReplacedHolder)
        .warning();
  return *state;
}

Utils::Outcome<std::string> LimitsHolder::handOver(const std::string &daemon,
                                                   std::string_view payload) {
  auto request = Codec::decode<HandoverRequest>(payload);
  if (!request)
    return request.error();
  std::lock_guard lock(Mutex);
  if (!Last || Last->Fence != request->Fence)
    return Utils::failure(Utils::Errc::NotFound, "no state of that fence");
  if (!Last->FetchedBy.empty() && Last->FetchedBy != daemon)
    return Utils::failure(Utils::Errc::Conflict, "handed over already");
  Last->FetchedBy = daemon;
  return Codec::encode(Last->State);
}

Utils::Outcome<std::string> LimitsHolder::noteTaken(const std::string &daemon,
                                                    std::string_view payload) {
  auto request = Codec::decode<HandoverRequest>(payload);
  if (!request)
    return request.error();
  std::lock_guard lock(Mutex);
  if (!Last || Last->Fence != request->Fence || Last->FetchedBy != daemon)
    return Utils::failure(Utils::Errc::NotFound, "no state given to it");
  Last->Taken = true;
  Taken.notify_all();
  return std::string();
}

Limits::GrantReply LimitsHolder::grant(const Limits::GrantRequest &request) {
  // Read before the lease is checked: a pause in between fills no bucket.
  Utils::TimePoint now = Ports.Clock.Now();
  LimitsLead lead = Ports.Lead();
  Limits::GrantReply reply;
  reply.Fence = request.Fence;
  reply.Sequence = request.Sequence;
  {
    std::lock_guard lock(Mutex);
    if (!lead.Self || !Duty || Duty->Fence != lead.Fence)
      return reply;
    reply = Limits::grant(*Duty, request, now);
    noteOpening(now);
  }
  callBackLater(reply);
  return reply;
}

void LimitsHolder::callBackLater(const Limits::GrantReply &reply) {
  for (const Limits::AccountReply &it : reply.Accounts)
    if (it.HeldElsewhere && !it.OverBurst)
      CallBacks.tryPush(std::string(it.Team));
}

void LimitsHolder::runCallBacks() {
  while (!CallBacks.closed()) {
    auto first = CallBacks.popUntil(Ports.Clock.Now() + IdleWait);
    if (!first)
      continue;
    std::set<std::string> teams = {*first};
    while (auto next = CallBacks.popUntil(Ports.Clock.Now()))
      teams.insert(*next);
    for (const std::string &team : teams)
      callBack(team);
  }
}

void LimitsHolder::callBack(const std::string &team) {
  std::vector<std::string> processes;
  {
    std::lock_guard lock(Mutex);
    if (Duty)
      processes = Limits::daemonsWithFree(*Duty, team);
  }
  for (const std::string &it : processes) {
    auto answer = Ports.Rpc.Call(Limits::daemonOfProcess(it), CallBackMethod,
                                 team, Ports.Clock.Now() + CallBackTimeout);
    if (!answer)
      Utils::Event("tokens_not_called_back")
          .with("peer", it)
          .with("why", answer.error().What)
          .warning();
  }
}

} // namespace Daemon::Internal
