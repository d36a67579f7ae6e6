#include "gateway/call.h"

#include "gateway/gatewayconstants.h"
#include "utils/utils.h"

#include <algorithm>

namespace Gateway {

namespace {

constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;

constexpr std::string_view EventTerminator = "\n\n";

/// Connections idle for longer than this are not reused for non-idempotent
/// calls: if the endpoint has closed one meanwhile, nobody knows whether the
/// call was executed.
constexpr std::chrono::milliseconds MaxIdleForUnsafe{1000};

bool isSuccess(unsigned status) { return status >= 200 && status < 300; }

/// Returns the id of the last event in `events`, or an empty string if it has
/// none.
std::string lastIdIn(std::string_view events) {
  constexpr std::string_view field = "id:";
  size_t at = events.rfind("\nid:");
  at = at != std::string_view::npos                  ? at + 1
       : events.compare(0, field.size(), field) == 0 ? 0
                                                     : at;
  if (at == std::string_view::npos)
    return {};
  std::string_view value = events.substr(at + field.size());
  value = value.substr(0, value.find('\n'));
  while (!value.empty() && (value.front() == ' '))
    value.remove_prefix(1);
  while (!value.empty() && (value.back() == '\r'))
    value.remove_suffix(1);
  return std::string(value);
}

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
      State.FleetView.evacuations().isClosed(report.FailureDomain, SentAt))
    return false;
  if (Metadata.Model.empty())
    return true;
  auto readyAt = State.Coordination.member().readyAt(endpoint, Metadata.Model,
                                                     Metadata.Adapter, SentAt);
  return readyAt && *readyAt <= SentAt;
}

std::vector<const Fleet::Endpoint *> Call::eligibleEndpoints() const {
  std::vector<const Fleet::Endpoint *> eligible;
  const Fleet::EndpointTable &endpoints = State.FleetView.endpoints();
  const auto *endpointIds =
      Metadata.Model.empty()
          ? nullptr
          : State.Coordination.member().endpointsWith(Metadata.Model, SentAt);
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
    if (SentAt < health.OverLimitUntil)
      WithinLimitAt = std::min(WithinLimitAt.value_or(health.WithinLimitAt),
                               health.WithinLimitAt);
    candidates.push_back(
        {health.InFlight +
             State.Coordination.member().loadOfOtherGateways(it->Report.Id),
         it->Report.Slots, health.AvoidUntil > SentAt,
         it->Report.FailureDomain == State.Settings.FailureDomain,
         TriedEndpoints.count(it->Report.Id) > 0,
         std::max(health.CoolDownUntil, health.OverLimitUntil),
         State.Coordination.member().isCold(it->Report.Id, SentAt),
         State.FleetView.evacuations().isInGracePeriod(it->Report.FailureDomain,
                                                       SentAt)});
  }
  BackoffEnd = Balance::earliestCoolDownEnd(candidates, SentAt);
  auto chosen = Balance::choose(candidates, SentAt, State.Random);
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
        std::chrono::ceil<Utils::Milliseconds>(*WithinLimitAt - SentAt));
  if (BackoffEnd && *BackoffEnd + MinTimeToSend < Deadline)
    return wait();
  if (BackoffEnd)
    return endBetweenSends(
        "endpoints_rest",
        std::chrono::ceil<Utils::Milliseconds>(*BackoffEnd - SentAt));
  if (needsModel())
    return wait();
  endBetweenSends("no_endpoint", DefaultRetryAfter);
}

/// Returns true if the call has been sent, will be sent if the limit of the
/// chosen endpoint admits it, or has ended.
bool Call::tryDispatch() {
  SentAt = Utils::BootClock::now();
  if (Deadline - SentAt < MinTimeToSend) {
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
    if (!evacuations.isClosed(endpoint.Report.FailureDomain, SentAt))
      return false;
    hasClosed = true;
  }
  return hasClosed;
}

void Call::startSending(const std::string &endpoint) {
  if (QueuedSince != Utils::TimePoint{})
    QueuedFor += std::chrono::duration_cast<Utils::Milliseconds>(
        SentAt - std::exchange(QueuedSince, {}));
  if (Sends == 0)
    State.retryBudget(Service).onFirstAttempt(SentAt);
  send(*State.FleetView.endpoints().find(endpoint));
}

void Call::wait() {
  QueuedSince = SentAt;
  Utils::Event("call_waiting")
      .with("id", Metadata.Id)
      .with("model", Metadata.Model)
      .with("adapter", Metadata.Adapter)
      .with("left_ms", Utils::msBetween(SentAt, Deadline))
      .with("led", State.Coordination.member().hasLiveHolder(SentAt))
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

void Call::beginAttempt(const std::string &endpoint) {
  EndpointId = endpoint;
  SentBefore = !TriedEndpoints.insert(endpoint).second;
  ++RunsStarted; // Taken back if the call proves not to have run.
  State.HealthTracker.onSent(endpoint);
  NotExecuted = AnswerNamesCall = ConnectionReused = EventsForwarded = false;
  Verdict = ReplyVerdict::Unproven;
  AnsweredAt.reset();
  Head = {};
  Body.clear();
}

void Call::send(const Fleet::Endpoint &endpoint) {
  beginAttempt(endpoint.Report.Id);
  std::error_code ec;
  auto address = HttpIo::parseEndpoint(endpoint.Report.Address, ec);
  if (ec) {
    Utils::Event("endpoint_address_unreadable")
        .with("endpoint", EndpointId)
        .with("address", endpoint.Report.Address)
        .error();
    NotExecuted = true;
    return onSendFailed(Balance::AttemptResult::ConnectionFailed);
  }
  PoolKey = endpoint.Report.Address + "/" + EndpointId;
  static const std::string noTeam;
  uint8_t priority = Team && Team->Priority ? *Team->Priority : Route->Priority;
  auto left =
      std::chrono::duration_cast<Utils::Milliseconds>(Deadline - SentAt);
  ForwardMetadata metadata{EndpointId, Team ? Team->Name : noTeam, left,
                           priority, LastEventId};
  Connection = connectionForSend();
  ConnectionReused = Connection->exchanges() > 0;
  ++Sends;
  Connection->exchange(
      address,
      Http::serializeRequest(State.Clients.Calls.Forward(Request, metadata)),
      responseEvents());
}

HttpIo::ClientConnectionRef Call::connectionForSend() {
  // All sends of a call have the same id, so a late copy of the answer to an
  // earlier one could not be told from the answer to this one.
  if (SentBefore)
    return State.Connections.create();
  // Refusals without an id count on new connections only.
  if (SentAt < State.HealthTracker.health(EndpointId).UnnamedRefusalsUntil)
    return State.Connections.create();
  bool unsafe = Route->Kind == Fleet::RouteKind::Unsafe;
  return State.Connections.acquire(PoolKey, unsafe ? SentAt - MaxIdleForUnsafe
                                                   : Utils::TimePoint::min());
}

HttpIo::ResponseCallbacks Call::responseEvents() {
  auto self = shared_from_this();
  HttpIo::ResponseCallbacks events;
  events.OnHead = [self](const Http::ResponseHead &head,
                         Http::Framing framing) {
    return self->onHead(head, framing);
  };
  events.OnBody = [self](std::string_view data) { self->onBody(data); };
  events.OnEnd = [self](HttpIo::ExchangeResult end) { self->onEnd(end); };
  return events;
}

bool Call::continuesStream(const Http::ResponseHead &head) const {
  constexpr std::string_view type = "Content-Type";
  const std::string *begun = StreamHead.Headers.find(type);
  const std::string *next = head.Headers.find(type);
  bool sameType = begun && next ? *begun == *next : begun == next;
  return head.Status == StreamHead.Status && sameType;
}

HttpIo::HeadVerdict Call::onHead(const Http::ResponseHead &head,
                                 Http::Framing framing) {
  ReplyMetadata reply = State.Clients.Calls.Reply(head);
  Verdict = judgeReply(reply, {Metadata.Id, ConnectionReused});
  if (Verdict == ReplyVerdict::OtherCall) {
    logSkippedReply(reply.CallId, head.Status);
    return HttpIo::HeadVerdict::Skip;
  }
  if (isAnswer() && AnswerStarted && !continuesStream(head))
    Verdict = ReplyVerdict::Unproven;
  AnswerNamesCall = !reply.CallId.empty();
  if (reply.NotExecuted && !AnswerNamesCall)
    State.HealthTracker.noteUnnamedRefusal(EndpointId, Utils::BootClock::now());
  State.applyNotice(EndpointId, reply.Notice);
  NotExecuted = Verdict == ReplyVerdict::Refusal;
  Head = head;
  EndsWithConnection = framing == Http::Framing::Close;
  if (isAnswer() && !reply.Notice.CallsPerSecond)
    State.Coordination.noteEndpointLimit(EndpointId, std::nullopt);
  if (isAnswer()) {
    AnsweredAt = Utils::BootClock::now();
    auto elapsed = *AnsweredAt - SentAt;
    State.HealthTracker.onFirstByte(
        EndpointId, std::chrono::duration<double, std::milli>(elapsed).count());
    State.MetricsRegistry.observe(
        "hickory_gateway_first_byte_seconds",
        std::chrono::duration<double>(elapsed).count());
  }
  return HttpIo::HeadVerdict::Accept;
}

void Call::logSkippedReply(const std::string &callId, unsigned status) const {
  State.MetricsRegistry.add("hickory_gateway_replies_skipped_total", "");
  Utils::Event("reply_skipped")
      .with("id", Metadata.Id)
      .with("endpoint", EndpointId)
      .with("of", callId)
      .with("status", status)
      .warning();
}

void Call::onBody(std::string_view data) {
  Body += data;
  if (isAnswer() && streams() && isSuccess(Head.Status) && !Done)
    forwardEvents();
  if (Body.size() > MaxAnswerBytes)
    abortOversizedAnswer();
}

/// Aborts an exchange whose answer exceeds MaxAnswerBytes.
void Call::abortOversizedAnswer() {
  Utils::Event("answer_too_long")
      .with("id", Metadata.Id)
      .with("endpoint", EndpointId)
      .with("bytes", Body.size())
      .warning();
  Connection->cancel();
  Body.clear();
  NotExecuted = false;
  onSendFailed(Balance::AttemptResult::ConnectionFailed);
}

/// Forwards the complete events of the buffer to the caller.
void Call::forwardEvents() {
  size_t end = Body.rfind(EventTerminator);
  if (end == std::string::npos)
    return;
  std::string_view events =
      std::string_view(Body).substr(0, end + EventTerminator.size());
  beginStream();
  if (isAnswering())
    recordAnswer();
  Caller->streamData(events);
  EventsForwarded = true;
  if (std::string id = lastIdIn(events); !id.empty())
    LastEventId = id;
  Body.erase(0, events.size());
}

void Call::beginStream() {
  if (std::exchange(AnswerStarted, true))
    return;
  StreamHead = Head;
  Caller->beginStream(forwardedHead(Head));
}

void Call::onEnd(HttpIo::ExchangeResult end) {
  if (end == HttpIo::ExchangeResult::NotConnected) {
    NotExecuted = true;
    return onSendFailed(Balance::AttemptResult::ConnectionFailed);
  }
  if (end != HttpIo::ExchangeResult::Complete) {
    NotExecuted = false;
    onBrokenOff();
    return onSendFailed(Balance::AttemptResult::ConnectionFailed);
  }
  if (isAnswer() || NotExecuted)
    State.Connections.release(PoolKey, Connection);
  else // The answer to the call may still follow.
    Connection->close();
  if (NotExecuted) {
    if (needsModel())
      State.Coordination.member().recordModelMiss(EndpointId, Metadata.Model,
                                                  Metadata.Adapter,
                                                  Utils::BootClock::now());
    return onSendFailed(Balance::AttemptResult::Refused);
  }
  if (!isAnswer())
    return onSendFailed(Balance::AttemptResult::ConnectionFailed);
  if (isStreamCutOff()) {
    onBrokenOff();
    return onSendFailed(Balance::AttemptResult::ConnectionFailed);
  }
  bool repeatable = Route->Kind == Fleet::RouteKind::Safe && !Done &&
                    Head.Status >= 500 && RunsStarted < Route->Attempts &&
                    State.retryBudget(Service).takeRetry(SentAt);
  endSend(Balance::AttemptResult::Answered);
  if (repeatable)
    return dispatch();
  completeAnswer();
}

bool Call::isStreamCutOff() const {
  if (!streams() || !isSuccess(Head.Status))
    return false;
  bool hasNoEvent = !EventsForwarded && EndsWithConnection;
  return !Body.empty() || hasNoEvent;
}

void Call::completeAnswer() {
  if (Done)
    return;
  if (!streams() || !isSuccess(Head.Status)) {
    if (isSuccess(Head.Status))
      recordAnswer();
    Caller->respond(forwardedHead(Head), Body);
    return finish("answered", Head.Status);
  }
  beginStream();
  recordAnswer();
  Caller->endStream();
  finish("answered", Head.Status);
}

void Call::endSend(Balance::AttemptResult end) {
  State.HealthTracker.onEnded(EndpointId, end, Utils::BootClock::now());
  Connection.reset();
  if (Done)
    DeadlineTimer.cancel();
}

void Call::onSendFailed(Balance::AttemptResult end) {
  if (NotExecuted)
    --RunsStarted;
  endSend(end);
  if (Done)
    return;
  Balance::CallProgress progress;
  progress.Kind = Route->Kind;
  progress.Resumable = Route->Resumable;
  progress.RunsStarted = RunsStarted;
  progress.MaxRuns = Route->Attempts;
  progress.NotExecuted = NotExecuted;
  progress.AnswerStarted = AnswerStarted;
  Utils::TimePoint now = Utils::BootClock::now();
  bool inTime = now + MinTimeToSend < Deadline;
  bool inBudget = inTime && State.retryBudget(Service).takeRetry(now);
  progress.RetryPermitted = inBudget;
  Balance::RecoveryAction next = Balance::recoveryAction(progress);
  State.MetricsRegistry.add(
      "hickory_gateway_sends_failed_total",
      "end=\"" + std::string(Balance::attemptResultName(end)) + "\"");
  Utils::Event("send_failed")
      .with("id", Metadata.Id)
      .with("endpoint", EndpointId)
      .with("model", Metadata.Model)
      .with("adapter", Metadata.Adapter)
      .with("team", Team ? Team->Name : "")
      .with("parts", sharedPartIds(Metadata.Prompt))
      .with("end", Balance::attemptResultName(end))
      .with("status", Head.Status)
      .with("not_run", NotExecuted)
      .with("verdict", replyVerdictName(Verdict))
      .with("named", AnswerNamesCall)
      .with("reused", ConnectionReused)
      .with("sent_before", SentBefore)
      .with("in_time", inTime)
      .with("in_budget", inBudget)
      .with("next", Balance::recoveryActionName(next))
      .with("ms", Utils::msBetween(SentAt, now))
      .info();
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
