#include "gateway/call.h"

#include "gateway/gatewayconstants.h"
#include "utils/digest.h"
#include "utils/utils.h"

#include <algorithm>

namespace Gateway {

namespace {

constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;

/// Connections idle for longer than this are not reused for non-idempotent
/// calls: if the endpoint has closed one meanwhile, nobody knows whether the
/// call was executed.
constexpr std::chrono::milliseconds MaxIdleForUnsafe{1000};

/// Ids of the prompt parts that other calls may share, separated by commas.
std::string sharedPartIds(const std::vector<PromptPart> &prompt) {
  std::string out;
  for (size_t i = 0; i + 1 < prompt.size(); ++i)
    out += (i == 0 ? "" : ",") + prompt[i].Id;
  return out;
}

Http::ResponseHead forwardedHead(const Http::ResponseHead &head) {
  Http::ResponseHead out;
  out.Status = head.Status;
  out.Reason = head.Reason;
  for (const Http::Field &it : head.Headers)
    if (!Http::isHopByHop(it.Name))
      out.Headers.add(it.Name, it.Value);
  return out;
}

} // namespace

bool Call::needsModel() const {
  const Fleet::Service *service = Configuration->findService(Service);
  return service && service->ModelEngine && !Metadata.Model.empty();
}

bool Call::isEligible(const Fleet::Endpoint &endpoint) const {
  const Fleet::EndpointReport &report = endpoint.Report;
  if (report.Service != Service || !endpoint.isReady() ||
      State.FleetView.evacuations().isClosed(report.FailureDomain, PickedAt))
    return false;
  if (Metadata.Model.empty())
    return true;
  auto readyAt = State.Coordination.member().readyAt(
      endpoint, Metadata.Model, Metadata.Adapter, PickedAt);
  return readyAt && *readyAt <= PickedAt;
}

std::vector<const Fleet::Endpoint *> Call::eligibleEndpoints() const {
  std::vector<const Fleet::Endpoint *> eligible;
  const Fleet::EndpointTable &endpoints = State.FleetView.endpoints();
  const auto *endpointIds =
      Metadata.Model.empty()
          ? nullptr
          : State.Coordination.member().endpointsWith(Metadata.Model, PickedAt);
  if (endpointIds) {
    for (const std::string &id : *endpointIds)
      if (const auto *it = endpoints.find(id); it && isEligible(*it))
        eligible.push_back(it);
    return eligible;
  }
  for (const auto &[id, endpoint] : endpoints.all())
    if (isEligible(endpoint))
      eligible.push_back(&endpoint);
  return eligible;
}

std::optional<std::string> Call::pickEndpoint() {
  auto eligible = eligibleEndpoints();
  std::vector<Balance::Candidate> candidates;
  WithinLimitAt.reset();
  for (const Fleet::Endpoint *it : eligible) {
    const auto &health = State.HealthTracker.health(it->Report.Id);
    if (PickedAt < health.OverLimitUntil)
      WithinLimitAt = std::min(WithinLimitAt.value_or(health.WithinLimitAt),
                               health.WithinLimitAt);
    candidates.push_back(candidateFor(*it));
  }
  BackoffEnd = Balance::earliestCoolDownEnd(candidates, PickedAt);
  auto chosen = Balance::choose(candidates, PickedAt, State.Random);
  if (!chosen)
    return std::nullopt;
  Candidates = candidates.size();
  ChosenLoad = candidates[*chosen].Load;
  return eligible[*chosen]->Report.Id;
}

void Call::dispatch() {
  if (tryDispatch())
    return;
  if (WithinLimitAt && *WithinLimitAt + MinTimeToSend >= Deadline)
    return endBetweenSends(
        "endpoints_limited",
        std::chrono::ceil<Utils::Milliseconds>(*WithinLimitAt - PickedAt));
  if (BackoffEnd && *BackoffEnd + MinTimeToSend < Deadline)
    return wait();
  if (BackoffEnd)
    return endBetweenSends(
        "endpoints_rest",
        std::chrono::ceil<Utils::Milliseconds>(*BackoffEnd - PickedAt));
  if (needsModel())
    return wait();
  endBetweenSends("no_endpoint", DefaultRetryAfter);
}

/// Returns true if the call has been sent, will be sent if the limit of the
/// chosen endpoint admits it, or has ended.
bool Call::tryDispatch() {
  PickedAt = Utils::BootClock::now();
  if (Deadline - PickedAt < MinTimeToSend) {
    endBetweenSends("no_time", std::nullopt);
    return true;
  }
  if (refuseQuarantined())
    return true;
  while (auto id = pickEndpoint())
    if (sendWithinLimit(*id))
      return true;
  if (!isServiceEvacuated())
    return false;
  endBetweenSends("domain_evacuated", DefaultRetryAfter);
  return true;
}

bool Call::isServiceEvacuated() const {
  const Fleet::Evacuations &evacuations = State.FleetView.evacuations();
  if (evacuations.empty())
    return false;
  bool hasClosed = false;
  for (const auto &[id, endpoint] : State.FleetView.endpoints().all()) {
    if (endpoint.Report.Service != Service || !endpoint.isReady())
      continue;
    if (!evacuations.isClosed(endpoint.Report.FailureDomain, PickedAt))
      return false;
    hasClosed = true;
  }
  return hasClosed;
}

void Call::startSending(const std::string &endpoint) {
  if (QueuedSince != Utils::TimePoint{})
    QueuedFor += std::chrono::duration_cast<Utils::Milliseconds>(
        PickedAt - std::exchange(QueuedSince, {}));
  if (Sends == 0) {
    State.retryBudget(Service).onFirstAttempt(PickedAt);
    State.hedgeBudget(Service).onFirstSend();
  }
  // Held here, as a send that fails may begin another attempt.
  AttemptRef attempt = beginAttempt(endpoint);
  Current = attempt;
  send(attempt, *State.FleetView.endpoints().find(endpoint));
}

void Call::wait() {
  QueuedSince = PickedAt;
  Utils::Event("call_waiting")
      .with("id", Metadata.Id)
      .with("model", Metadata.Model)
      .with("adapter", Metadata.Adapter)
      .with("left_ms", Utils::msBetween(PickedAt, Deadline))
      .with("led", State.Coordination.member().hasLiveHolder(PickedAt))
      .with("holder_token", State.Coordination.member().token())
      .info();
  State.PendingDispatch.add(weak_from_this());
}

bool Call::retryDispatch() {
  if (Done || !tryDispatch())
    return !Done;
  return false;
}

FleetLink::WaitingCalls Call::queuedDemand(Utils::TimePoint now) const {
  auto left = std::max<int64_t>(0, Utils::msBetween(now, Deadline));
  return {Service, Metadata.Model, Metadata.Adapter, 1, uint32_t(left)};
}

AttemptRef Call::beginAttempt(const std::string &endpoint) {
  auto attempt = std::make_shared<Attempt>();
  attempt->EndpointId = endpoint;
  attempt->SentAt = PickedAt;
  attempt->SentBefore = !TriedEndpoints.insert(endpoint).second;
  ++RunsStarted; // Taken back if the call proves not to have run.
  State.HealthTracker.onSent(endpoint);
  return attempt;
}

void Call::send(const AttemptRef &sent, const Fleet::Endpoint &endpoint) {
  Attempt &attempt = *sent;
  std::error_code ec;
  auto address = HttpIo::parseEndpoint(endpoint.Report.Address, ec);
  if (ec) {
    Utils::Event("endpoint_address_unreadable")
        .with("endpoint", attempt.EndpointId)
        .with("address", endpoint.Report.Address)
        .error();
    attempt.NotExecuted = true;
    return onSendFailed(attempt, Balance::AttemptResult::ConnectionFailed);
  }
  attempt.PoolKey = endpoint.Report.Address + "/" + attempt.EndpointId;
  static const std::string noTeam;
  uint8_t priority = Team && Team->Priority ? *Team->Priority : Route->Priority;
  auto left = std::chrono::duration_cast<Utils::Milliseconds>(Deadline -
                                                              attempt.SentAt);
  ForwardMetadata metadata{attempt.EndpointId, Team ? Team->Name : noTeam, left,
                           priority, LastEventId};
  attempt.Connection = connectionForSend(attempt);
  attempt.ConnectionReused = attempt.Connection->exchanges() > 0;
  ++Sends;
  limitBuffer(sent);
  attempt.Connection->exchange(
      address,
      Http::serializeRequest(State.Clients.Calls.Forward(Request, metadata)),
      responseEvents(sent));
  if (!attempt.IsHedge)
    startHedgeTimer(sent);
}

HttpIo::ClientConnectionRef Call::connectionForSend(const Attempt &attempt) {
  // All sends of a call have the same id, so a late copy of the answer to an
  // earlier one could not be told from the answer to this one.
  if (attempt.SentBefore)
    return State.Connections.create();
  // Refusals without an id count on new connections only.
  if (attempt.SentAt <
      State.HealthTracker.health(attempt.EndpointId).UnnamedRefusalsUntil)
    return State.Connections.create();
  bool unsafe = Route->Kind == Fleet::RouteKind::Unsafe;
  return State.Connections.acquire(attempt.PoolKey,
                                   unsafe ? attempt.SentAt - MaxIdleForUnsafe
                                          : Utils::TimePoint::min());
}

HttpIo::ResponseCallbacks Call::responseEvents(const AttemptRef &attempt) {
  auto self = shared_from_this();
  HttpIo::ResponseCallbacks events;
  events.OnHead = [self, attempt](const Http::ResponseHead &head,
                                  Http::Framing framing) {
    return self->onHead(*attempt, head, framing);
  };
  events.OnBody = [self, attempt](std::string_view data) {
    self->onBody(*attempt, data);
  };
  events.OnEnd = [self, attempt](HttpIo::ExchangeResult end) {
    self->onEnd(*attempt, end);
  };
  return events;
}

bool Call::continuesStream(const Http::ResponseHead &head) const {
  constexpr std::string_view type = "Content-Type";
  const std::string *begun = StreamHead.Headers.find(type);
  const std::string *next = head.Headers.find(type);
  bool sameType = begun && next ? *begun == *next : begun == next;
  return head.Status == StreamHead.Status && sameType;
}

HttpIo::HeadVerdict Call::onHead(Attempt &attempt,
                                 const Http::ResponseHead &head,
                                 Http::Framing framing) {
  ReplyMetadata reply = State.Clients.Calls.Reply(head);
  attempt.Verdict = judgeReply(reply, {Metadata.Id, attempt.ConnectionReused});
  if (attempt.Verdict == ReplyVerdict::OtherCall) {
    logSkippedReply(attempt, reply.CallId, head.Status);
    return HttpIo::HeadVerdict::Skip;
  }
  if (attempt.isAnswer() && AnswerStarted && !continuesStream(head))
    attempt.Verdict = ReplyVerdict::Unproven;
  attempt.AnswerNamesCall = !reply.CallId.empty();
  if (reply.NotExecuted && !attempt.AnswerNamesCall)
    State.HealthTracker.noteUnnamedRefusal(attempt.EndpointId,
                                           Utils::BootClock::now());
  State.applyNotice(attempt.EndpointId, reply.Notice);
  attempt.NotExecuted = attempt.Verdict == ReplyVerdict::Refusal;
  attempt.Head = head;
  attempt.EndsWithConnection = framing == Http::Framing::Close;
  if (attempt.isAnswer() && !reply.Notice.CallsPerSecond)
    State.Coordination.noteEndpointLimit(attempt.EndpointId, std::nullopt);
  if (attempt.isAnswer()) {
    attempt.AnsweredAt = Utils::BootClock::now();
    auto elapsed = *attempt.AnsweredAt - attempt.SentAt;
    State.HealthTracker.onFirstByte(
        attempt.EndpointId,
        std::chrono::duration<double, std::milli>(elapsed).count());
    State.MetricsRegistry.observe(
        "hickory_gateway_first_byte_seconds",
        std::chrono::duration<double>(elapsed).count());
    noteFirstByte(attempt);
  }
  return HttpIo::HeadVerdict::Accept;
}

void Call::logSkippedReply(const Attempt &attempt, const std::string &callId,
                           unsigned status) const {
  State.MetricsRegistry.add("hickory_gateway_replies_skipped_total", "");
  Utils::Event("reply_skipped")
      .with("id", Metadata.Id)
      .with("endpoint", attempt.EndpointId)
      .with("of", callId)
      .with("status", status)
      .warning();
}

void Call::beginStream(const Attempt &attempt) {
  if (std::exchange(AnswerStarted, true))
    return;
  StreamHead = attempt.Head;
  Caller->beginStream(forwardedHead(attempt.Head));
}

void Call::onEnd(Attempt &attempt, HttpIo::ExchangeResult end) {
  if (end == HttpIo::ExchangeResult::NotConnected) {
    attempt.NotExecuted = true;
    return onSendFailed(attempt, Balance::AttemptResult::ConnectionFailed);
  }
  if (end != HttpIo::ExchangeResult::Complete) {
    attempt.NotExecuted = false;
    onBrokenOff(attempt);
    return onSendFailed(attempt, Balance::AttemptResult::ConnectionFailed);
  }
  if (attempt.isAnswer() || attempt.NotExecuted)
    State.Connections.release(attempt.PoolKey, attempt.Connection);
  else // The answer to the call may still follow.
    attempt.Connection->close();
  if (attempt.NotExecuted) {
    if (needsModel())
      State.Coordination.member().recordModelMiss(
          attempt.EndpointId, Metadata.Model, Metadata.Adapter,
          Utils::BootClock::now());
    return onSendFailed(attempt, Balance::AttemptResult::Refused);
  }
  if (!attempt.isAnswer())
    return onSendFailed(attempt, Balance::AttemptResult::ConnectionFailed);
  if (isStreamCutOff(attempt)) {
    onBrokenOff(attempt);
    return onSendFailed(attempt, Balance::AttemptResult::ConnectionFailed);
  }
  constexpr unsigned serverError = 500;
  if (Hedge && attempt.Head.Status >= serverError) {
    // The other copy may still bring a good answer.
    endSend(attempt, Balance::AttemptResult::Answered);
    leaveToOtherCopy(attempt);
    return;
  }
  bool repeatable = Route->Kind == Fleet::RouteKind::Safe && !Done &&
                    attempt.Head.Status >= serverError &&
                    RunsStarted < Route->Attempts &&
                    State.retryBudget(Service).takeRetry(attempt.SentAt);
  endSend(attempt, Balance::AttemptResult::Answered);
  if (repeatable)
    return dispatch();
  endOtherCopy(attempt);
  completeAnswer(attempt);
}

bool Call::isStreamCutOff(const Attempt &attempt) const {
  if (!streams() || !attempt.isSuccess())
    return false;
  bool hasNoEvent = !attempt.EventsForwarded && attempt.EndsWithConnection;
  return !attempt.Body.empty() || hasNoEvent;
}

void Call::completeAnswer(const Attempt &attempt) {
  if (Done)
    return;
  if (!streams() || !attempt.isSuccess()) {
    if (attempt.isSuccess())
      recordAnswer(attempt);
    Caller->respond(forwardedHead(attempt.Head), attempt.Body);
    return finish("answered", attempt.Head.Status);
  }
  beginStream(attempt);
  recordAnswer(attempt);
  Caller->endStream();
  finish("answered", attempt.Head.Status);
}

void Call::endSend(Attempt &attempt, Balance::AttemptResult end) {
  State.HealthTracker.onEnded(attempt.EndpointId, end, Utils::BootClock::now());
  attempt.Connection.reset();
  State.BufferedAnswers.remove(&attempt);
  if (Done)
    DeadlineTimer.cancel();
}

void Call::onSendFailed(Attempt &attempt, Balance::AttemptResult end) {
  if (attempt.NotExecuted)
    --RunsStarted;
  endSend(attempt, end);
  if (Done)
    return;
  bool otherInFlight = leaveToOtherCopy(attempt);
  Balance::CallProgress progress;
  progress.Kind = Route->Kind;
  progress.Resumable = Route->Resumable;
  progress.RunsStarted = RunsStarted;
  progress.MaxRuns = Route->Attempts;
  progress.NotExecuted = attempt.NotExecuted;
  progress.AnswerStarted = AnswerStarted;
  Utils::TimePoint now = Utils::BootClock::now();
  bool inTime = now + MinTimeToSend < Deadline;
  // A further run may cost a further endpoint.
  bool suspected = attempt.BrokenOffUnanswered && isSuspectedRequest();
  bool inBudget = inTime && !otherInFlight && !suspected &&
                  State.retryBudget(Service).takeRetry(now);
  progress.RetryPermitted = inBudget;
  Balance::RecoveryAction next = Balance::recoveryAction(progress);
  State.MetricsRegistry.add(
      "hickory_gateway_sends_failed_total",
      "end=\"" + std::string(Balance::attemptResultName(end)) + "\"");
  Utils::Event("send_failed")
      .with("id", Metadata.Id)
      .with("endpoint", attempt.EndpointId)
      .with("model", Metadata.Model)
      .with("adapter", Metadata.Adapter)
      .with("team", Team ? Team->Name : "")
      .with("parts", sharedPartIds(Metadata.Prompt))
      .with("request", Utils::toHex(CrashParts.back()))
      .with("end", Balance::attemptResultName(end))
      .with("status", attempt.Head.Status)
      .with("not_run", attempt.NotExecuted)
      .with("verdict", replyVerdictName(attempt.Verdict))
      .with("named", attempt.AnswerNamesCall)
      .with("reused", attempt.ConnectionReused)
      .with("sent_before", attempt.SentBefore)
      .with("in_time", inTime)
      .with("in_budget", inBudget)
      .with("suspected", suspected)
      .with("next",
            otherInFlight ? "other_copy" : Balance::recoveryActionName(next))
      .with("ms", Utils::msBetween(attempt.SentAt, now))
      .info();
  if (!otherInFlight)
    applyNextStep(next);
}

void Call::applyNextStep(Balance::RecoveryAction next) {
  switch (next) {
  case Balance::RecoveryAction::Retry:
  case Balance::RecoveryAction::Resume:
    return dispatch();
  case Balance::RecoveryAction::Refuse:
    return refuse(Unavailable, "not_run", DefaultRetryAfter);
  case Balance::RecoveryAction::Fail:
    return refuse(BadGateway, "endpoint_failed");
  case Balance::RecoveryAction::Abort:
    Caller->abort();
    return finish("stream_broken", 0);
  }
}

} // namespace Gateway
