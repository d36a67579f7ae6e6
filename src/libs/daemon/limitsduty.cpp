#include "daemon/limitsduty.h"

#include "daemon/limitsmethods.h"
#include "daemon/refuseby.h"

namespace Daemon::Internal {

namespace {

constexpr size_t RingCapacity = 1024;
constexpr Utils::Milliseconds IdleRound(100);
constexpr Utils::Milliseconds ReportPause(2);
/// Pause between tries while no holder can be asked.
constexpr Utils::Milliseconds NoHolderPause(20);

std::string labelOf(const std::string &team) { return "team=\"" + team + "\""; }

} // namespace

LimitsDuty::LimitsDuty(LimitsPorts ports, Metrics::Registry &metrics)
    : Ports(ports), Metrics(metrics), Holder(std::move(ports)),
      Ring(RingCapacity) {
  Wallets.Agreed = Ports.Policy;
  Wallets.Daemon = Ports.Name + "/" + Utils::randomId();
  Ports.Rpc.Handle(CallBackMethod,
                   [this](const std::string &, std::string_view team)
                       -> Utils::Outcome<std::string> {
                     callBack(std::string(team));
                     return std::string();
                   });
}

LimitsDuty::~LimitsDuty() { stop(); }

void LimitsDuty::start() {
  Holder.start();
  Thread = std::thread([this] { run(); });
}

void LimitsDuty::end() {
  {
    std::lock_guard lock(Mutex);
    for (const auto &[team, wallet] : Wallets.Teams)
      Limits::giveBack(Wallets, team);
  }
  Ring.close();
  if (Thread.joinable())
    Thread.join();
  for (int i = 0; i < 2; ++i)
    exchange();
  Holder.end(true);
}

void LimitsDuty::waitForSuccessor(Utils::TimePoint deadline) {
  Holder.waitUntilTaken(deadline);
}

void LimitsDuty::stop() {
  Ring.close();
  if (Thread.joinable())
    Thread.join();
  for (const WaiterPtr &it : Waiting)
    finish(*it, withoutHolder());
  Waiting.clear();
  Holder.stop();
}

TokenGrant LimitsDuty::acquire(const std::string &team, uint64_t tokens,
                               Utils::TimePoint deadline) {
  {
    std::lock_guard lock(Mutex);
    if (auto taken = Limits::reserve(Wallets, team, tokens, Ports.Clock.Now()))
      return {std::move(taken), 0, false, false, {}};
  }
  auto waiter = std::make_shared<Waiter>();
  waiter->Team = team;
  waiter->Tokens = tokens;
  waiter->Deadline = refuseBy(Ports.Clock.Now(), deadline);
  return wait(std::move(waiter));
}

TokenGrant LimitsDuty::wait(WaiterPtr waiter) {
  waiter->Since = Ports.Clock.Now();
  if (!Ring.tryPush(WaiterPtr(waiter)))
    return withoutHolder();
  std::unique_lock lock(waiter->Mutex);
  waiter->Changed.wait(lock, [&] { return waiter->Result.has_value(); });
  return std::move(*waiter->Result);
}

bool LimitsDuty::ensure(Limits::Reservation &reservation, uint64_t tokens,
                        Utils::TimePoint deadline) {
  while (!mayDeliver(reservation, tokens)) {
    auto waiter = std::make_shared<Waiter>();
    waiter->Team = reservation.Team;
    waiter->Tokens = tokens;
    waiter->Deadline = deadline;
    waiter->Patient = true;
    if (mayDeliver(reservation, 0))
      waiter->Tokens = tokens - std::min(tokens, reservation.Tokens);
    TokenGrant more = wait(std::move(waiter));
    if (!more.Tokens)
      return false;
    if (more.Tokens->Generation == reservation.Generation)
      more.Tokens->Tokens += reservation.Tokens;
    reservation = std::move(*more.Tokens);
  }
  return true;
}

bool LimitsDuty::mayDeliver(const Limits::Reservation &reservation,
                            uint64_t tokens) const {
  std::unique_lock lock(Mutex);
  if (OwnFence == 0)
    return Limits::mayDeliver(Wallets, reservation, tokens, Ports.Clock.Now());
  uint64_t fence = OwnFence;
  lock.unlock();
  LimitsLead lead = Ports.Lead();
  if (!lead.Self || lead.Fence != fence)
    return false;
  lock.lock();
  return OwnFence == fence &&
         Limits::mayDeliver(Wallets, reservation, tokens, Ports.Clock.Now());
}

void LimitsDuty::markDelivered(Limits::Reservation &reservation,
                               uint64_t tokens) {
  {
    std::lock_guard lock(Mutex);
    Limits::markDelivered(Wallets, reservation, tokens);
  }
  Metrics.add("hickory_tokens_delivered_total", labelOf(reservation.Team),
              tokens);
}

void LimitsDuty::release(Limits::Reservation &reservation) {
  {
    std::lock_guard lock(Mutex);
    Limits::release(Wallets, reservation);
  }
  Ring.tryPush(WaiterPtr());
}

LinkView LimitsDuty::link() const {
  std::lock_guard lock(Mutex);
  return Link;
}

TokenGrant LimitsDuty::withoutHolder() const {
  LinkView view = link();
  return {{},
          linkRetryMs(view, Utils::Milliseconds(Ports.Policy.GrantMs),
                      Ports.Clock.Now()),
          false,
          true,
          view.Link};
}

void LimitsDuty::noteLink(const LimitsLead &lead) {
  std::unique_lock lock(Mutex);
  LimitsLink before = Link.Link;
  observeLink(Link, lead, LastAccepted, Ports.Clock.Now());
  LimitsLink now = Link.Link;
  lock.unlock();
  Metrics.set("hickory_limits_granting", now == LimitsLink::Granting ? 1 : 0);
  if (now != before)
    Utils::Event("limits_link")
        .with("was", linkName(before))
        .with("is", linkName(now))
        .info();
}

void LimitsDuty::run() {
  while (!Ring.closed()) {
    collect(Ring.popUntil(nextRound()));
    step();
  }
}

Utils::TimePoint LimitsDuty::nextRound() const {
  Utils::TimePoint now = Ports.Clock.Now();
  if (!LastAccepted)
    return now + NoHolderPause;
  if (!Waiting.empty())
    return earliestAsk(now);
  std::lock_guard lock(Mutex);
  return Limits::wantsExchange(Wallets, now) ? LastExchange + ReportPause
                                             : now + IdleRound;
}

/// When the next waiter asks the holder again.
Utils::TimePoint LimitsDuty::earliestAsk(Utils::TimePoint now) const {
  Utils::TimePoint at = now + IdleRound;
  for (const WaiterPtr &it : Waiting)
    at = std::min(at, it->AskAt);
  return std::max(at, LastExchange + ReportPause);
}

void LimitsDuty::collect(std::optional<WaiterPtr> first) {
  for (auto it = std::move(first); it; it = Ring.popUntil(Ports.Clock.Now()))
    if (*it)
      Waiting.push_back(std::move(*it));
}

void LimitsDuty::step() {
  collect(std::nullopt);
  Holder.step();
  satisfyWaiters();
  // A new holder waits for what every daemon holds.
  LimitsLead lead = Ports.Lead();
  noteLink(lead);
  bool isNew = !lead.Holder.empty() && lead.Fence != LastFence;
  bool isDue = false;
  {
    std::lock_guard lock(Mutex);
    Utils::TimePoint now = Ports.Clock.Now();
    isDue = Limits::hasFreeUnreported(Wallets) ||
            (now >= LastExchange + ReportPause &&
             Limits::wantsExchange(Wallets, now));
  }
  Utils::TimePoint now = Ports.Clock.Now();
  bool isAsking = std::any_of(Waiting.begin(), Waiting.end(),
                              [&](const auto &it) { return now >= it->AskAt; });
  if (isDue || isAsking || isNew)
    exchange();
}

void LimitsDuty::satisfyWaiters() {
  for (auto it = Waiting.begin(); it != Waiting.end();) {
    std::optional<Limits::Reservation> taken;
    {
      std::lock_guard lock(Mutex);
      taken = Limits::reserve(Wallets, (*it)->Team, (*it)->Tokens,
                              Ports.Clock.Now());
    }
    if (!taken) {
      ++it;
      continue;
    }
    finish(**it, {std::move(taken), 0, false, false, {}});
    it = Waiting.erase(it);
  }
}

void LimitsDuty::callBack(const std::string &team) {
  {
    std::lock_guard lock(Mutex);
    Limits::giveBack(Wallets, team);
  }
  Ring.tryPush(WaiterPtr());
}

} // namespace Daemon::Internal
