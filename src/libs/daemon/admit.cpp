#include "daemon/admit.h"

namespace Daemon::Internal {

namespace {

using FrontDoor::Reason;
using FrontDoor::Refusal;
using FrontDoor::RunState;

constexpr uint32_t QueueFullRetryMs = 1000;
/// Share of the burst reserved for a request that names no limit of its own.
constexpr uint64_t UnnamedBurstShare = 2;
constexpr double MsPerSecond = 1000;

/// Bounds the reservation of a request that names no limit of its own, so that
/// it fits a small burst.
void fitUnnamed(Admission::RequestCost &cost, const Table::TeamSpec &team) {
  if (cost.GeneratedNamed)
    return;
  uint64_t most = std::max<uint64_t>(team.BurstTokens / UnnamedBurstShare, 1);
  cost.Generated = std::min(cost.Generated, most);
}

void noteTooLate(const Ticket &ticket, const Admission::LoadView &view,
                 Utils::TimePoint now) {
  Utils::Event("too_late")
      .with("id", ticket.requestId())
      .with("team", ticket.team())
      .with("model", ticket.model())
      .with("left_ms", Utils::msBetween(now, ticket.deadline()))
      .with("ready_ms", view.ReadyInMs ? int64_t(*view.ReadyInMs) : -1)
      .with("running", view.Running)
      .with("capacity", view.Capacity)
      .with("queued_ahead", view.QueuedAhead)
      .with("service_ms", view.ServiceMs)
      .with("shortest_ms", view.ShortestMs)
      .warning();
}

void noteNoTokens(const Ticket &ticket, uint64_t needed,
                  const TokenGrant &grant, Utils::TimePoint arrived,
                  Utils::TimePoint now) {
  Utils::Event("tokens_refused")
      .with("id", ticket.requestId())
      .with("team", ticket.team())
      .with("needed", needed)
      .with("over_burst", grant.OverBurst)
      .with("no_holder", grant.NoHolder)
      .with("link", linkMessage(grant.Link))
      .with("retry_after_ms", grant.RetryAfterMs)
      .with("waited_ms", Utils::msBetween(arrived, now))
      .warning();
}

} // namespace

Ticket::~Ticket() {
  if (Owner)
    Owner->finish(*this);
}

Admit::Admit(AdmitPorts ports, LimitsDuty &limits, Metrics::Registry &metrics)
    : Ports(std::move(ports)), Limits(limits), Metrics(metrics) {}

std::variant<TicketPtr, Refusal> Admit::admit(const FrontDoor::Request &request,
                                              const std::string &team,
                                              const std::string &model) {
  auto ticket = std::make_shared<Ticket>();
  ticket->RequestId = request.Id;
  ticket->Arrived = Ports.Clock.Now();
  ticket->Model = model;
  ticket->Deadline = request.Deadline;
  ticket->Tokens.Team = team;
  ticket->Cost = Admission::costOf(request.Body);
  fitUnnamed(ticket->Cost, Ports.Team(team));
  std::unique_lock lock(Mutex);
  Admission::LoadView view = viewOf(*ticket);
  lock.unlock();
  Utils::TimePoint now = Ports.Clock.Now();
  if (auto late = Admission::tooLate(view, ticket->Deadline, now)) {
    noteTooLate(*ticket, view, now);
    return refused(Reason::DeadlineTooShort, team, *late,
                   "the request could not start before its deadline");
  }
  if (auto refusal = takeTokens(*ticket))
    return *refusal;
  ticket->Granted = Ports.Clock.Now();
  ticket->Owner = this;
  if (auto refusal = awaitTurn(*ticket))
    return *refusal;
  ticket->Started = Ports.Clock.Now();
  noteAdmitted(*ticket, view);
  return ticket;
}

void Admit::noteAdmitted(const Ticket &ticket,
                         const Admission::LoadView &view) const {
  Metrics.observeStage("tokens", ticket.Granted - ticket.Arrived);
  Metrics.observeStage("turn", ticket.Started - ticket.Granted);
  Utils::Event("admitted")
      .with("id", ticket.RequestId)
      .with("team", ticket.team())
      .with("model", ticket.Model)
      .with("left_ms", Utils::msBetween(ticket.Arrived, ticket.Deadline))
      .with("ready_ms", view.ReadyInMs ? int64_t(*view.ReadyInMs) : -1)
      .with("running", view.Running)
      .with("capacity", view.Capacity)
      .with("queued_ahead", view.QueuedAhead)
      .with("tokens", ticket.Cost.total())
      .with("tokens_wait_ms", Utils::msBetween(ticket.Arrived, ticket.Granted))
      .with("turn_wait_ms", Utils::msBetween(ticket.Granted, ticket.Started))
      .info();
}

std::optional<Refusal> Admit::takeTokens(Ticket &ticket) {
  const std::string team = ticket.Tokens.Team;
  TokenGrant grant = Limits.acquire(team, ticket.Cost.total(), ticket.Deadline);
  if (grant.Tokens) {
    ticket.Tokens = std::move(*grant.Tokens);
    return std::nullopt;
  }
  noteNoTokens(ticket, ticket.Cost.total(), grant, ticket.Arrived,
               Ports.Clock.Now());
  if (grant.NoHolder)
    return refused(Reason::HistoryUnavailable, team, grant.RetryAfterMs,
                   std::string(linkMessage(grant.Link)));
  std::string needs = std::to_string(ticket.Cost.total()) + " tokens needed";
  if (grant.OverBurst)
    return refused(Reason::OverRate, team, 0,
                   needs + ", more than the team's burst");
  return refused(Reason::OverRate, team, std::max(grant.RetryAfterMs, 1U),
                 needs + ", over the team's rate");
}

std::optional<Refusal> Admit::awaitTurn(Ticket &ticket) {
  const std::string &team = ticket.Tokens.Team;
  std::unique_lock lock(Mutex);
  ticket.Turn = ++LastTurn;
  if (!Admission::enqueue(Queue,
                          {ticket.Turn, team, ticket.Model, ticket.Deadline})) {
    lock.unlock();
    return refused(Reason::NoCapacity, team, QueueFullRetryMs,
                   "too many requests are waiting");
  }
  Turn turn{ticket, {}};
  Turns[ticket.Turn] = &turn;
  startNext();
  auto latest = Admission::latestStart(viewOf(ticket), ticket.Deadline);
  turn.Changed.wait_until(lock, latest,
                          [&] { return turn.Started || turn.GivenUp; });
  Turns.erase(ticket.Turn);
  ticket.Running = turn.Started;
  if (turn.Started) {
    Admission::serve(Queue, team, ticket.Cost.Prompt);
    return std::nullopt;
  }
  Admission::LoadView view = viewOf(ticket);
  Admission::remove(Queue, team, ticket.Turn);
  lock.unlock();
  noteTooLate(ticket, view, Ports.Clock.Now());
  return refused(Reason::DeadlineTooShort, team,
                 turn.GivenUp.value_or(QueueFullRetryMs),
                 "its turn cannot come in time before its deadline");
}

Admission::LoadView Admit::viewOf(const Ticket &ticket) const {
  Admission::LoadView view;
  view.ReadyInMs = Ports.ReadyInMs(ticket.Model);
  view.Capacity = Ports.Capacity(ticket.Model);
  if (auto it = Running.find(ticket.Model); it != Running.end())
    view.Running = it->second;
  if (auto it = Service.find(ticket.Model); it != Service.end()) {
    view.ServiceMs = it->second.AverageMs;
    view.ShortestMs = it->second.shortestMs();
  }
  view.QueuedAhead =
      Admission::aheadOf(Queue, ticket.Tokens.Team, ticket.Model, ticket.Turn);
  return view;
}

void Admit::reviewTurns() {
  for (auto &[id, turn] : Turns) {
    if (turn->Started || turn->GivenUp)
      continue;
    const Ticket &ticket = turn->Waiting;
    turn->GivenUp = Admission::missesDeadline(viewOf(ticket), ticket.Deadline,
                                              Ports.Clock.Now());
    if (turn->GivenUp)
      turn->Changed.notify_all();
  }
}

void Admit::startNext() {
  auto canStart = [this](const std::string &model) {
    return Running[model] < std::max(Ports.Capacity(model), 1U);
  };
  while (auto request = Admission::next(Queue, canStart)) {
    ++Running[request->Model];
    Turn &turn = *Turns.at(request->Id);
    turn.Started = true;
    turn.Changed.notify_all();
  }
}

void Admit::finish(Ticket &ticket) {
  Limits.release(ticket.Tokens);
  if (!ticket.Running)
    return;
  std::chrono::duration<double> spent = Ports.Clock.Now() - ticket.Started;
  std::lock_guard lock(Mutex);
  if (ticket.Delivered)
    Admission::observe(Service[ticket.Model], spent.count() * MsPerSecond);
  Admission::finish(Queue, ticket.Tokens.Team);
  if (--Running[ticket.Model] == 0)
    Running.erase(ticket.Model);
  startNext();
  reviewTurns();
}

void Admit::charge(Ticket &ticket, uint64_t tokens) {
  tokens = std::min(tokens, ticket.Tokens.Tokens);
  Limits.markDelivered(ticket.Tokens, tokens);
  std::lock_guard lock(Mutex);
  ticket.Delivered = true;
  Admission::serve(Queue, ticket.Tokens.Team, tokens);
}

uint32_t Admit::priorityOf(const std::string &team) const {
  return Ports.Team(team).Priority;
}

size_t Admit::waiting() const {
  std::lock_guard lock(Mutex);
  return Queue.Waiting;
}

Refusal Admit::refused(Reason why, const std::string &team,
                       uint32_t retryAfterMs, std::string message) {
  Metrics.add("hickory_refusals_total",
              "reason=\"" + std::string(FrontDoor::reasonName(why)) +
                  "\",team=\"" + team + "\"");
  return {why, RunState::NotRun, retryAfterMs, std::move(message)};
}

} // namespace Daemon::Internal
