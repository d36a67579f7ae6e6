#include "daemon/servicecalls.h"

#include "daemon/callerauth.h"
#include "daemon/currency.h"
#include "daemon/orderanswers.h"
#include "daemon/refuseby.h"
#include "routing/routing.h"

namespace Daemon::Internal {

namespace {

using FrontDoor::Answer;
using FrontDoor::Reason;
using FrontDoor::refusalAnswer;
using FrontDoor::Request;
using FrontDoor::RunState;

constexpr uint32_t RetryAfterMs = 1000;
/// Longest wait for the verdict on a claim.
constexpr Utils::Milliseconds ClaimTimeout(2000);
/// How long an outcome is kept for a log that is unavailable.
constexpr Utils::Milliseconds OutcomeTimeout(3'600'000);
/// A log that answered no read for this long is unavailable.
constexpr Utils::Milliseconds HistoryUnavailableAfter(3000);
/// How often a call that waits for another daemon looks whether that speaks.
constexpr Utils::Milliseconds ClaimerCheckPeriod(250);
/// A daemon that gossip does not name as up for this long is taken for dead;
/// one that has just started may not be named yet.
constexpr Utils::Milliseconds ClaimerSilentAfter(3000);
constexpr size_t MaxUnrecorded = 1024;
constexpr int MaxClaims = 8;

/// Service whose prefix covers the path; the longest prefix wins.
std::optional<std::string> serviceOf(const History::State &state,
                                     const std::string &path) {
  std::optional<std::string> best;
  size_t bestLength = 0;
  for (const auto &[name, spec] : state.Table.Services) {
    size_t n = spec.Prefix.size();
    bool covered = path.compare(0, n, spec.Prefix) == 0 &&
                   (path.size() == n || path[n] == '/');
    if (covered && n > bestLength) {
      best = name;
      bestLength = n;
    }
  }
  return best;
}

std::string requestHash(const Request &request) {
  return Utils::strongHash(request.Method + "\n" + request.Target + "\n" +
                           request.ContentType + "\n" + request.Body);
}

std::string verdictText(const Utils::Outcome<History::Verdict> &verdict) {
  if (!verdict)
    return verdict.error().What;
  return verdict->Accepted ? "accepted" : verdict->Reason;
}

/// Says what the agreed state holds of an order that this call does not run.
void noteStep(const Request &request, const History::OrderClaim &claim,
              Orders::Step step) {
  Utils::Event("order_found")
      .with("id", request.Id)
      .with("key_hash", claim.KeyHash)
      .with("team", claim.Team)
      .with("service", claim.Service)
      .with("step", Orders::stepName(step))
      .info();
}

} // namespace

ServiceCalls::ServiceCalls(Context &context) : Shared(context) {}

bool ServiceCalls::covers(const std::string &path) const {
  return Shared.Store.read([&](const History::State &state) {
    return serviceOf(state, path).has_value();
  });
}

bool ServiceCalls::isOpen(const std::string &path) const {
  return Shared.Store.read([&](const History::State &state) {
    auto name = serviceOf(state, path);
    return name && state.Table.Services.at(*name).Open;
  });
}

Answer ServiceCalls::call(const Request &request) {
  std::string service;
  std::string team;
  Table::ServiceSpec spec;
  auto refusal = Shared.Store.read(
      [&](const History::State &state) -> std::optional<FrontDoor::Refusal> {
        auto name = serviceOf(state, request.Path);
        if (!name)
          return FrontDoor::Refusal{Reason::UnknownRoute, RunState::NotRun, 0,
                                    "no service has this path"};
        service = *name;
        spec = state.Table.Services.at(service);
        if (spec.Open)
          return std::nullopt;
        auto found = teamOf(state, request);
        if (auto *why = std::get_if<FrontDoor::Refusal>(&found))
          return *why;
        team = std::get<std::string>(found);
        if (!spec.Teams.contains(team))
          return FrontDoor::Refusal{Reason::NotAllowed, RunState::NotRun, 0,
                                    "service: not granted to this team"};
        return std::nullopt;
      });
  if (refusal)
    return refusalAnswer(*refusal, request.Id);
  if (!spec.Idempotent && !Orders::isSafeMethod(request.Method))
    return callOnce(request, service, team);
  return forwardIdempotent(
      Shared, request,
      [&](const std::set<std::string> &excluded) {
        return chooseTarget(service, excluded);
      },
      spec.Open ? std::string() : Utils::strongHash(request.BearerKey));
}

std::optional<Target>
ServiceCalls::chooseTarget(const std::string &service,
                           const std::set<std::string> &excluded) {
  auto candidates = Shared.Store.read([&](const History::State &state) {
    return Routing::serviceEndpoints(state, service);
  });
  return pickTarget(Shared, std::move(candidates), excluded, {});
}

Answer ServiceCalls::callOnce(const Request &request,
                              const std::string &service,
                              const std::string &team) {
  auto key = Orders::parseKey(request.IdempotencyKey);
  if (auto fault = keyFault(request, key))
    return refusalAnswer(*fault, request.Id);
  History::OrderClaim claim;
  claim.Daemon = Shared.Settings.Name;
  claim.Team = team;
  claim.Service = service;
  claim.KeyHash = Utils::strongHash(team + "\n" + service + "\n" + key->Text);
  claim.RequestHash = requestHash(request);
  claim.ExpiryUnixS = key->ExpiryUnixS;
  for (int i = 0; i < MaxClaims; ++i) {
    Found found = waitForStep(request, claim);
    if (found.Step != Orders::Step::Claim) {
      noteStep(request, claim, found.Step);
      return found.ClaimerSilent ? claimerSilentAnswer(request)
                                 : answerFor(found.Step, found.Order, request);
    }
    if (Orders::isExpired(claim.ExpiryUnixS, Shared.Clock.WallMs(),
                          Shared.Settings.ClockErrorMs))
      return refusalAnswer({Reason::IdempotencyKeyExpired, RunState::NotRun, 0,
                            "the Idempotency-Key has expired"},
                           request.Id);
    claim.ClaimId = Utils::randomId();
    if (auto answer = claimAndSend(request, claim))
      return *answer;
  }
  return answerFor(Orders::Step::Wait, std::nullopt, request);
}

ServiceCalls::Found
ServiceCalls::waitForStep(const Request &request,
                          const History::OrderClaim &claim) const {
  Found found;
  auto look = [&](const History::State &state) {
    found.Step = Orders::nextStep(state, claim.KeyHash, claim.RequestHash);
    if (found.Step == Orders::Step::Replay)
      found.Order = state.Orders.at(claim.KeyHash);
    return found.Step != Orders::Step::Wait;
  };
  Utils::TimePoint begin = Shared.Clock.Now();
  Utils::TimePoint until = refuseBy(begin, request.Deadline);
  Utils::TimePoint spokeAt = begin;
  bool known = Shared.Store.read(look);
  while (!known && Shared.Clock.Now() < until && !Shared.Store.isClosed() &&
         !isHistoryUnavailable() && !found.ClaimerSilent) {
    known = Shared.Store.waitUntil(
        look, std::min(until, Shared.Clock.Now() + ClaimerCheckPeriod));
    if (claimerSpeaks(claim.KeyHash))
      spokeAt = Shared.Clock.Now();
    found.ClaimerSilent =
        !known && Shared.Clock.Now() - spokeAt >= ClaimerSilentAfter;
  }
  return found;
}

bool ServiceCalls::claimerSpeaks(const std::string &keyHash) const {
  auto claimer = Shared.Store.read([&](const History::State &state) {
    auto it = state.Orders.find(keyHash);
    return it == state.Orders.end() ? std::string() : it->second.Daemon;
  });
  if (!Shared.Node || claimer == Shared.Settings.Name)
    return true;
  std::vector<Peers::MemberView> members = Shared.Node->members();
  return std::any_of(members.begin(), members.end(),
                     [&](const Peers::MemberView &it) {
                       return it.Name == claimer &&
                              (it.Status == Peers::MemberStatus::Alive ||
                               it.Status == Peers::MemberStatus::Suspect);
                     });
}

std::optional<Answer> ServiceCalls::claimAndSend(const Request &request,
                                                 History::OrderClaim claim) {
  if (isHistoryUnavailable())
    return historyUnavailableAnswer(request);
  Utils::TimePoint now = Shared.Clock.Now();
  auto verdict = Shared.Appender->submitAndWait(
      claim, std::min(refuseBy(now, request.Deadline), now + ClaimTimeout));
  Utils::Event("order_claimed")
      .with("id", request.Id)
      .with("claim", claim.ClaimId)
      .with("key_hash", claim.KeyHash)
      .with("team", claim.Team)
      .with("service", claim.Service)
      .with("verdict", verdictText(verdict))
      .info();
  if (!verdict) {
    if (verdict.error().Code == Utils::Errc::UnknownResult)
      settle(
          Orders::outcomeOf(claim, {History::OrderResult::NotRun, 0, {}, {}}));
    return historyUnavailableAnswer(request);
  }
  if (!verdict->Accepted)
    return std::nullopt;
  Sent sent = sendClaimed(request, claim);
  Utils::Event("order_outcome")
      .with("id", request.Id)
      .with("claim", claim.ClaimId)
      .with("outcome", History::orderResultName(sent.Result.Ran))
      .with("status", sent.Result.HttpStatus)
      .info();
  settle(Orders::outcomeOf(claim, std::move(sent.Result)));
  return std::move(sent.Answer);
}

bool ServiceCalls::maySend(const History::OrderClaim &claim,
                           Utils::TimePoint deadline) const {
  bool inForce = Shared.Store.read([&](const History::State &state) {
    return Orders::maySend(state, claim, Shared.Clock.WallMs(),
                           Shared.Settings.ClockErrorMs);
  });
  return inForce && Shared.Clock.Now() < deadline;
}

/// Goes on to another endpoint only when nothing was sent to the last one. The
/// caller's leaving does not cancel the call, whose outcome a retry asks for.
ServiceCalls::Sent ServiceCalls::sendClaimed(const Request &request,
                                             const History::OrderClaim &claim) {
  Exchange last;
  last.Why = Reason::NoCapacity;
  last.Message = "no endpoint of this service can take the call";
  std::set<std::string> excluded;
  Utils::TimePoint deadline = refuseBy(Shared.Clock.Now(), request.Deadline);
  while (!last.answered() && last.Ran == RunState::NotRun &&
         maySend(claim, deadline)) {
    auto target = chooseTarget(claim.Service, excluded);
    if (!target)
      break;
    excluded.insert(target->Name);
    Utils::Event("order_sending")
        .with("id", request.Id)
        .with("claim", claim.ClaimId)
        .with("endpoint", target->Name)
        .info();
    last = exchange(Shared, *target, callOf(request, deadline), {}, {});
    Utils::Event("order_attempt")
        .with("id", request.Id)
        .with("claim", claim.ClaimId)
        .with("endpoint", target->Name)
        .with("status", last.Head.Status)
        .with("run_state", last.answered()
                               ? FrontDoor::runStateName(RunState::Ran)
                               : FrontDoor::runStateName(last.Ran))
        .with("message", last.Message)
        .info();
  }
  if (!last.answered()) {
    bool unsent = last.Ran == RunState::NotRun;
    return {
        {unsent ? History::OrderResult::NotRun : History::OrderResult::Unknown,
         0,
         {},
         {}},
        refusalAnswer(
            {last.Why, last.Ran, unsent ? RetryAfterMs : 0, last.Message},
            request.Id)};
  }
  WholeBody body = readBody(last, {});
  if (!body.Whole)
    return {{},
            refusalAnswer({body.Why, RunState::Unknown, 0, body.Message},
                          request.Id)};
  Answer answer;
  answer.Status = last.Head.Status;
  answer.ContentType = last.Head.ContentType;
  answer.Body = body.Bytes;
  return {{History::OrderResult::Ran, static_cast<uint16_t>(answer.Status),
           answer.ContentType, std::move(body.Bytes)},
          std::move(answer)};
}

/// The appender repeats an outcome until the log takes it. One that finds the
/// ring full waits for the next call.
void ServiceCalls::settle(History::OrderOutcome outcome) {
  std::lock_guard lock(UnrecordedMutex);
  Unrecorded.push_back(std::move(outcome));
  Utils::TimePoint deadline = Shared.Clock.Now() + OutcomeTimeout;
  while (!Unrecorded.empty() &&
         Shared.Appender->submit(Unrecorded.front(), deadline))
    Unrecorded.pop_front();
  if (Unrecorded.size() <= MaxUnrecorded)
    return;
  Utils::Event("order_outcome_lost")
      .with("claim", Unrecorded.front().ClaimId)
      .error();
  Unrecorded.pop_front();
}

bool ServiceCalls::isHistoryUnavailable() const {
  // Reads that peers answer do not make the log itself reachable.
  auto lost = Shared.Contact ? Shared.Contact->lostSince() : std::nullopt;
  Utils::TimePoint now = Shared.Clock.Now();
  return (lost && now - *lost > HistoryUnavailableAfter) ||
         now - Shared.Follower->lastContact() > HistoryUnavailableAfter;
}

} // namespace Daemon::Internal
