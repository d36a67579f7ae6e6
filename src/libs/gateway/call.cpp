#include "gateway/call.h"

#include "gateway/gatewayconstants.h"
#include "utils/digest.h"
#include "utils/utils.h"

#include <algorithm>

namespace Gateway {

namespace {

enum Status : unsigned {
  BadRequest = 400,
  Unauthorized = 401,
  NotFound = 404,
  TooManyRequests = 429,
  BadGateway = 502,
  Unavailable = 503,
  GatewayTimeout = 504,
};

const std::string &pickService(const Fleet::Route &route,
                               std::mt19937_64 &random) {
  uint64_t sum = 0;
  for (const Fleet::WeightedService &it : route.Services)
    sum += it.Weight;
  uint64_t at = sum == 0 ? 0 : random() % sum;
  for (const Fleet::WeightedService &it : route.Services) {
    if (at < it.Weight)
      return it.Service;
    at -= it.Weight;
  }
  return route.Services.front().Service;
}

} // namespace

Call::Call(GatewayState &state, HttpIo::ServerConnectionRef caller,
           Http::Request request)
    : State(state), Caller(std::move(caller)), Request(std::move(request)),
      ArrivedAt(Utils::BootClock::now()), DeadlineTimer(state.Loop),
      HedgeTimer(state.Loop) {}

void Call::start() {
  if (!resolveRoute() || !authenticate())
    return;
  identifyRequest();
  if (refuseQuarantined())
    return;
  auto self = shared_from_this();
  State.ActiveCalls[this] = self;
  Caller->OnDisconnect = [self] { self->onCallerDisconnected(); };
  DeadlineTimer.expires_at(Deadline);
  DeadlineTimer.async_wait([self](const std::error_code &ec) {
    if (!ec)
      self->onDeadline();
  });
  if (Team)
    return requestTokens();
  proceed();
}

void Call::proceed() {
  if (needsModel())
    State.Coordination.member().recordCall(Service, Metadata.Model,
                                           Metadata.Adapter, ArrivedAt);
  dispatch();
}

bool Call::resolveRoute() {
  Http::toOriginForm(Request);
  auto metadata = State.Clients.Calls.Decode(Request);
  if (!metadata) {
    refuse(BadRequest, "malformed");
    return false;
  }
  Metadata = std::move(metadata.value());
  if (ArrivedAt >= State.RefuseCallsFrom) {
    refuse(Unavailable, "leaving", ShutdownRetryAfter);
    return false;
  }
  LastEventId = Metadata.LastEventId;
  for (const PromptPart &it : Metadata.Prompt)
    CrashParts.push_back(Quarantine::promptPart(Utils::fastHash(it.Id)));
  // The last part belongs to the call or its session alone.
  if (!CrashParts.empty())
    CrashParts.pop_back();
  Configuration = State.FleetView.configuration();
  if (!Configuration) {
    refuse(Unavailable, "no_configuration", DefaultRetryAfter);
    return false;
  }
  // The store may have come back with a version that is no longer in force.
  if (!State.NewestConfiguration.isConfirmed()) {
    refuse(Unavailable,
           State.lacksConfiguration() ? "newer_configuration"
                                      : "configuration_unconfirmed",
           DefaultRetryAfter);
    return false;
  }
  if (!findRoute())
    return false;
  Deadline = ArrivedAt + Route->Timeout;
  if (Metadata.Timeout)
    Deadline = std::min(Deadline, ArrivedAt + *Metadata.Timeout);
  Deadline = std::min(Deadline, State.EndCallsAt);
  Service = pickService(*Route, State.Random);
  if (Configuration->isServiceUnreadable(Service)) {
    refuse(Unavailable, "service_unreadable", DefaultRetryAfter);
    return false;
  }
  return true;
}

/// Finds the route of the call. Refuses it as not run, rather than as unknown,
/// if the route may be one that this build cannot decode.
bool Call::findRoute() {
  const std::string *field = Request.Headers.find("Host");
  std::string_view host = field ? std::string_view(*field) : "";
  std::string_view path = Http::pathOf(Request.Target);
  const Fleet::Route *match = Configuration->findRoute(host, path);
  if (Configuration->mayBelongToUnreadable(host, path, match)) {
    refuse(Unavailable, "route_unreadable", DefaultRetryAfter);
    return false;
  }
  if (!match) {
    refuseUnknown(NotFound, "no_route");
    return false;
  }
  Route = match;
  return true;
}

/// Refuses a call with what the configuration does not have, as not run if a
/// newer one may have it that cannot be decoded, that another gateway has, or
/// that could not be read within the bound on its age.
void Call::refuseUnknown(unsigned status, std::string_view reason) {
  if (State.lacksConfiguration())
    return refuse(Unavailable, "newer_configuration", DefaultRetryAfter);
  if (State.FleetView.isBehind())
    return refuse(Unavailable, "configuration_unreadable", DefaultRetryAfter);
  if (ArrivedAt > State.ConfigurationTrustedUntil)
    return refuse(Unavailable, "configuration_out_of_date", DefaultRetryAfter);
  refuse(status, reason);
}

bool Call::authenticate() {
  if (Route->Public || !Configuration->requiresKeys())
    return true;
  if (ArrivedAt > State.KeysTrustedUntil) {
    refuse(Unavailable, "keys_out_of_date", DefaultRetryAfter);
    return false;
  }
  Team = Configuration->findTeamByKey(Metadata.Key);
  if (Team)
    return true;
  // The key may be one of a team that cannot be decoded.
  if (Configuration->hasUnreadable(Fleet::EntryKind::Team))
    refuse(Unavailable, "team_unreadable", DefaultRetryAfter);
  else
    refuseUnknown(Unauthorized, "unknown_key");
  return false;
}

Balance::Candidate Call::candidateFor(const Fleet::Endpoint &endpoint) const {
  const std::string &id = endpoint.Report.Id;
  const auto &health = State.HealthTracker.health(id);
  return {health.InFlight + State.Coordination.member().loadOfOtherGateways(id),
          endpoint.Report.Slots,
          health.AvoidUntil > PickedAt,
          endpoint.Report.FailureDomain == State.Settings.FailureDomain,
          TriedEndpoints.count(id) > 0,
          std::max(health.CoolDownUntil, health.OverLimitUntil),
          State.Coordination.member().isCold(id, PickedAt),
          State.FleetView.evacuations().isInGracePeriod(
              endpoint.Report.FailureDomain, PickedAt)};
}

double Call::tokenCost() const {
  if (!Team->CountsTokens)
    return 1;
  return Metadata.Tokens
             ? double(Metadata.Tokens->first) + Metadata.Tokens->second
             : Team->DefaultTokens;
}

void Call::requestTokens() {
  if (auto decision = requestTokensOf(
          Team->Name, tokenCost(),
          State.Settings.QueueOverLimit ? queueTicket() : Quota::QueueTicket{}))
    onTeamDecided(*decision);
}

/// Identifies the call in its team's virtual queue. A caller repeats a rejected
/// call with a new id.
Quota::QueueTicket Call::queueTicket() const {
  // Callers wait for at most a third of the time that they have left.
  constexpr int patienceDivisor = 3;
  // The target tells calls apart that have neither a model nor a prompt.
  std::string identity = Team->Name + '\n' + Request.Target + '\n' +
                         Metadata.Model + '\n' + Metadata.Adapter;
  for (const PromptPart &it : Metadata.Prompt)
    identity += '\n' + it.Id;
  if (Metadata.Tokens)
    identity += '\n' + std::to_string(Metadata.Tokens->first) + '/' +
                std::to_string(Metadata.Tokens->second);
  uint64_t hash = std::max<uint64_t>(1, Utils::fastHash(identity));
  auto left = std::chrono::floor<Utils::Milliseconds>(Deadline - ArrivedAt);
  return {hash, left / patienceDivisor};
}

std::optional<Quota::Decision>
Call::requestTokensOf(const std::string &limit, double tokens,
                      const Quota::QueueTicket &ticket) {
  uint64_t id = State.PendingAdmission.nextId();
  TokenRequestId = id;
  RequestedLimit = limit;
  State.PendingAdmission.add(id, weak_from_this());
  auto decision = State.Coordination.requestTokens(limit, id, tokens, ticket);
  if (!decision)
    return std::nullopt;
  State.PendingAdmission.remove(id);
  TokenRequestId = 0;
  return decision;
}

void Call::onAdmissionDecided(const Quota::Decision &decision) {
  TokenRequestId = 0;
  if (ReservedEndpoint.empty())
    return onTeamDecided(decision);
  onEndpointLimitDecided(decision);
}

void Call::onTeamDecided(const Quota::Decision &decision) {
  if (!decision.isAdmitted())
    return refuseOverLimit(decision);
  TokensTaken = tokenCost();
  proceed();
}

void Call::refuseOverLimit(const Quota::Decision &decision) {
  QueueLength = decision.QueueLength;
  State.MetricsRegistry.observe(
      "hickory_gateway_limit_retry_after_seconds",
      std::chrono::duration<double>(*decision.RetryAfter).count());
  refuse(TooManyRequests, "over_limit", *decision.RetryAfter);
}

void Call::cancelTokenRequest() {
  if (TokenRequestId == 0)
    return;
  State.PendingAdmission.remove(TokenRequestId);
  State.Coordination.member().cancelAcquire(RequestedLimit, TokenRequestId);
  TokenRequestId = 0;
}

bool Call::streams() const {
  return Route->Kind == Fleet::RouteKind::Streaming;
}

void Call::refuse(unsigned status, std::string_view reason,
                  std::optional<Utils::Milliseconds> retryAfter) {
  RetryAfter = retryAfter;
  Caller->respond(State.Clients.Calls.Answer(status, Metadata.Id, retryAfter),
                  "");
  finish(reason, status);
}

void Call::finish(std::string_view outcome, unsigned status) {
  if (Done)
    return;
  Done = true;
  State.ActiveCalls.erase(this);
  cancelTokenRequest();
  HedgeTimer.cancel();
  if (RunsStarted == 0 && TokensTaken > 0)
    State.Coordination.member().refundTokens(Team->Name, TokensTaken);
  // If the caller has disconnected, the deadline still ends the exchange with
  // the endpoint.
  if (!Current->isInFlight())
    DeadlineTimer.cancel();
  double seconds =
      std::chrono::duration<double>(Utils::BootClock::now() - ArrivedAt)
          .count();
  State.MetricsRegistry.add("hickory_gateway_calls_total",
                            "outcome=\"" + std::string(outcome) + "\"");
  State.MetricsRegistry.observe("hickory_gateway_call_seconds", seconds);
  logEnd(outcome, status);
}

void Call::logEnd(std::string_view outcome, unsigned status) {
  Utils::TimePoint now = Utils::BootClock::now();
  Utils::Event event("call_ended");
  event.with("id", Metadata.Id)
      .with("outcome", outcome)
      .with("status", status)
      .with("route", Route ? Route->Name : "")
      .with("team", Team ? Team->Name : "")
      .with("model", Metadata.Model)
      .with("adapter", Metadata.Adapter)
      .with("endpoint", Current->EndpointId)
      .with("sends", Sends)
      .with("runs", RunsStarted)
      .with("version", Configuration ? Configuration->Version : 0)
      .with("ms", Utils::msBetween(ArrivedAt, now));
  if (Team)
    event.with("tokens", int64_t(tokenCost()));
  if (Sends > 0)
    event.with("candidates", Candidates).with("load", ChosenLoad);
  if (QueuedFor.count() > 0)
    event.with("waited_ms", QueuedFor.count());
  if (RetryAfter)
    event.with("retry_after_ms", RetryAfter->count());
  if (QueueLength)
    event.with("queue_length", *QueueLength);
  if (Sends == 0 && Route)
    event.with("keys_age_ms", Utils::msBetween(State.KeysReadAt, ArrivedAt))
        .with("left_ms", Utils::msBetween(now, Deadline));
  event.info();
}

void Call::refuseQueued() {
  if (!Done)
    endBetweenSends("leaving", ShutdownRetryAfter);
}

/// Ends a call that has no attempt in flight.
void Call::endBetweenSends(std::string_view reason,
                           std::optional<Utils::Milliseconds> retryAfter) {
  if (AnswerStarted) {
    Caller->abort();
    return finish(reason, 0);
  }
  if (RunsStarted > 0)
    return refuse(BadGateway, reason);
  refuse(Unavailable, reason, retryAfter);
}

void Call::onDeadline() {
  if (Deadline >= State.EndCallsAt)
    return endForShutdown();
  endUnanswered({"deadline_in_stream", "deadline_unsent", "deadline"},
                Balance::AttemptResult::TimedOut, DefaultRetryAfter);
}

void Call::endForShutdown() {
  endUnanswered({"shutdown", "leaving", "shutdown"},
                Balance::AttemptResult::Cancelled, ShutdownRetryAfter);
}

/// Ends the attempt in flight, and the call by the outcome for its progress.
void Call::endUnanswered(const EndOutcomes &outcomes,
                         Balance::AttemptResult attempt,
                         Utils::Milliseconds retryAfter) {
  cancelHedge();
  if (Current->isInFlight()) {
    Current->Connection->cancel();
    endSend(*Current, Done ? Balance::AttemptResult::Cancelled : attempt);
  }
  if (Done)
    return;
  if (AnswerStarted) {
    Caller->abort();
    return finish(outcomes.InStream, 0);
  }
  if (RunsStarted == 0)
    return refuse(Unavailable, outcomes.NotRun, retryAfter);
  refuse(GatewayTimeout, outcomes.Unanswered);
}

void Call::onCallerDisconnected() {
  if (Done)
    return;
  cancelHedge();
  // A non-idempotent call is not cancelled at the endpoint: the caller could
  // not learn afterwards whether it was executed.
  if (Current->isInFlight() && Route->Kind != Fleet::RouteKind::Unsafe) {
    Current->Connection->cancel();
    endSend(*Current, Balance::AttemptResult::Cancelled);
  }
  finish("caller_gone", 0);
}

} // namespace Gateway
