#include "gateway/call.h"

#include "gateway/gatewayconstants.h"
#include "utils/utils.h"

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

Call::Call(Shared &shared, HttpIo::CallerConnectionRef caller,
           Http::Request request)
    : State(shared), Caller(std::move(caller)), Request(std::move(request)),
      ArrivedAt(Utils::BootClock::now()), DeadlineTimer(shared.Loop) {}

void Call::start() {
  if (!identify() || !admit())
    return;
  auto self = shared_from_this();
  Caller->OnGone = [self] { self->onCallerGone(); };
  DeadlineTimer.expires_at(Deadline);
  DeadlineTimer.async_wait([self](const std::error_code &ec) {
    if (!ec)
      self->onDeadline();
  });
  if (Team)
    return wantTokens();
  proceed();
}

void Call::proceed() {
  if (needsModel())
    State.Part.member().noteCall(Service, Facts.Model, Facts.Adapter,
                                 ArrivedAt);
  dispatch();
}

bool Call::identify() {
  auto facts = State.Wire.Calls.Decode(Request);
  if (!facts) {
    refuse(BadRequest, "malformed");
    return false;
  }
  Facts = std::move(facts.value());
  LastEventId = Facts.LastEventId;
  Configuration = State.Known.configuration();
  if (!Configuration) {
    refuse(Unavailable, "no_configuration", DefaultComeBack);
    return false;
  }
  const std::string *host = Request.Headers.find("Host");
  Route =
      Configuration->findRoute(host ? *host : "", Http::pathOf(Request.Target));
  if (!Route) {
    refuse(NotFound, "no_route");
    return false;
  }
  Deadline = ArrivedAt + Route->Timeout;
  if (Facts.Patience)
    Deadline = std::min(Deadline, ArrivedAt + *Facts.Patience);
  Service = pickService(*Route, State.Random);
  return true;
}

bool Call::admit() {
  if (Route->Public || !Configuration->requiresKeys())
    return true;
  if (ArrivedAt > State.KeysTrustedUntil) {
    refuse(Unavailable, "keys_out_of_date", DefaultComeBack);
    return false;
  }
  Team = Configuration->findTeamByKey(Facts.Key);
  if (!Team) {
    refuse(Unauthorized, "unknown_key");
    return false;
  }
  return true;
}

double Call::tokens() const {
  if (!Team->CountsTokens)
    return 1;
  return Facts.Tokens ? double(Facts.Tokens->first) + Facts.Tokens->second
                      : Team->DefaultTokens;
}

void Call::wantTokens() {
  TokenNumber = State.Tokens.nextNumber();
  State.Tokens.add(TokenNumber, weak_from_this());
  if (auto decision = State.Part.wantTokens(Team->Name, TokenNumber, tokens()))
    State.Tokens.decide({*decision});
}

void Call::onTokensDecided(const Quota::Decision &decision) {
  TokenNumber = 0;
  if (!decision.isAdmitted())
    return refuse(TooManyRequests, "over_limit", *decision.ComeBack);
  TokensTaken = tokens();
  proceed();
}

void Call::forgetTokens() {
  if (TokenNumber == 0)
    return;
  State.Tokens.remove(TokenNumber);
  State.Part.member().forgetWant(Team->Name, TokenNumber);
  TokenNumber = 0;
}

bool Call::streams() const {
  return Route->Kind == Fleet::RouteKind::Streaming;
}

void Call::refuse(unsigned status, std::string_view reason,
                  std::optional<Utils::Milliseconds> comeBack) {
  ComeBack = comeBack;
  Caller->respond(State.Wire.Calls.Answer(status, Facts.Id, comeBack), "");
  finish(reason, status);
}

void Call::finish(std::string_view outcome, unsigned status) {
  if (Done)
    return;
  Done = true;
  forgetTokens();
  if (RunsBegun == 0 && TokensTaken > 0)
    State.Part.member().giveBack(Team->Name, TokensTaken);
  // What the endpoint still sends to a caller who has left ends there, too.
  if (!Connection)
    DeadlineTimer.cancel();
  Caller->OnGone = nullptr;
  double seconds =
      std::chrono::duration<double>(Utils::BootClock::now() - ArrivedAt)
          .count();
  State.Numbers.add("hickory_gateway_calls_total",
                    "outcome=\"" + std::string(outcome) + "\"");
  State.Numbers.observe("hickory_gateway_call_seconds", seconds);
  logEnd(outcome, status);
}

void Call::logEnd(std::string_view outcome, unsigned status) {
  Utils::TimePoint now = Utils::BootClock::now();
  Utils::Event event("call_ended");
  event.with("id", Facts.Id)
      .with("outcome", outcome)
      .with("status", status)
      .with("route", Route ? Route->Name : "")
      .with("team", Team ? Team->Name : "")
      .with("model", Facts.Model)
      .with("adapter", Facts.Adapter)
      .with("endpoint", EndpointId)
      .with("sends", Sends)
      .with("runs", RunsBegun)
      .with("version", Configuration ? Configuration->Version : 0)
      .with("ms", Utils::msBetween(ArrivedAt, now));
  if (Team)
    event.with("tokens", int64_t(tokens()));
  if (Sends > 0)
    event.with("candidates", Candidates).with("load", ChosenLoad);
  if (Waited.count() > 0)
    event.with("waited_ms", Waited.count());
  if (ComeBack)
    event.with("retry_after_ms", ComeBack->count());
  if (Sends == 0 && Route)
    event.with("keys_age_ms", Utils::msBetween(State.KeysReadAt, ArrivedAt))
        .with("left_ms", Utils::msBetween(now, Deadline));
  event.info();
}

void Call::refuseWaiting() {
  if (!Done)
    endUnsent("leaving", LeaveComeBack);
}

/// Ends a call of which no send is under way.
void Call::endUnsent(std::string_view reason,
                     std::optional<Utils::Milliseconds> comeBack) {
  if (AnswerBegun) {
    Caller->abort();
    return finish(reason, 0);
  }
  if (RunsBegun > 0)
    return refuse(BadGateway, reason);
  refuse(Unavailable, reason, comeBack);
}

void Call::onDeadline() {
  if (Connection) {
    Connection->cancel();
    endSend(Done ? Balance::SendEnd::Withdrawn : Balance::SendEnd::Silent);
  }
  if (Done)
    return;
  if (AnswerBegun) {
    Caller->abort();
    return finish("deadline_in_stream", 0);
  }
  if (RunsBegun == 0)
    return refuse(Unavailable, "deadline_unsent", DefaultComeBack);
  refuse(GatewayTimeout, "deadline");
}

void Call::onCallerGone() {
  if (Done)
    return;
  // A call that may run only once is left to its end: breaking it off would
  // leave the caller unable to learn what became of it.
  if (Connection && Route->Kind != Fleet::RouteKind::Unsafe) {
    Connection->cancel();
    endSend(Balance::SendEnd::Withdrawn);
  }
  finish("caller_gone", 0);
}

} // namespace Gateway
