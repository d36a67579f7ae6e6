#include "gateway/call.h"

#include "gateway/gatewayconstants.h"
#include "utils/utils.h"

#include <algorithm>

namespace Gateway {

namespace {

constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;

constexpr std::string_view EventEnd = "\n\n";

/// An idle connection older than this is not used for a call that may run only
/// once: if it has ended unnoticed, nobody knows whether the call ran.
constexpr std::chrono::milliseconds FreshConnection{1000};

bool isSuccess(unsigned status) { return status >= 200 && status < 300; }

/// The id of the last event in `events`, if one has an id.
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
  return service && service->ModelEngine && !Facts.Model.empty();
}

bool Call::isAble(const Fleet::Endpoint &endpoint) const {
  const Fleet::EndpointReport &report = endpoint.Report;
  if (report.Service != Service || !endpoint.isReady())
    return false;
  if (Facts.Model.empty())
    return true;
  auto readyAt =
      State.Part.member().readyAt(endpoint, Facts.Model, Facts.Adapter, SentAt);
  return readyAt && *readyAt <= SentAt;
}

std::vector<const Fleet::Endpoint *> Call::ableEndpoints() const {
  std::vector<const Fleet::Endpoint *> able;
  const Fleet::EndpointTable &endpoints = State.Known.endpoints();
  const auto *places = Facts.Model.empty()
                           ? nullptr
                           : State.Part.member().placesOf(Facts.Model, SentAt);
  if (places) {
    for (const std::string &id : *places)
      if (const auto *it = endpoints.find(id); it && isAble(*it))
        able.push_back(it);
    return able;
  }
  for (const auto &[id, endpoint] : endpoints.all())
    if (isAble(endpoint))
      able.push_back(&endpoint);
  return able;
}

std::optional<std::string> Call::pickEndpoint() {
  auto able = ableEndpoints();
  std::vector<Balance::Candidate> candidates;
  for (const Fleet::Endpoint *it : able) {
    const auto &health = State.Board.health(it->Report.Id);
    candidates.push_back(
        {health.InFlight + State.Part.member().loadOfOthers(it->Report.Id),
         it->Report.Slots, health.AvoidUntil > SentAt,
         it->Report.FailureDomain == State.Settings.FailureDomain,
         Tried.count(it->Report.Id) > 0, health.RestUntil});
  }
  RestEnd = Balance::restEnd(candidates, SentAt);
  auto chosen = Balance::choose(candidates, SentAt, State.Random);
  if (!chosen)
    return std::nullopt;
  Candidates = candidates.size();
  ChosenLoad = candidates[*chosen].Load;
  return able[*chosen]->Report.Id;
}

void Call::dispatch() {
  if (tryDispatch())
    return;
  if (RestEnd && *RestEnd + LeastTimeToSend < Deadline)
    return wait();
  if (RestEnd)
    return endUnsent("endpoints_rest",
                     std::chrono::ceil<Utils::Milliseconds>(*RestEnd - SentAt));
  if (needsModel())
    return wait();
  endUnsent("no_endpoint", DefaultComeBack);
}

/// Returns whether the call has been sent or has ended.
bool Call::tryDispatch() {
  SentAt = Utils::BootClock::now();
  if (Deadline - SentAt < LeastTimeToSend) {
    endUnsent("no_time", std::nullopt);
    return true;
  }
  auto id = pickEndpoint();
  if (!id)
    return false;
  if (WaitingSince != Utils::TimePoint{})
    Waited += std::chrono::duration_cast<Utils::Milliseconds>(
        SentAt - std::exchange(WaitingSince, {}));
  if (Sends == 0)
    State.retryBudget(Service).firstSend(SentAt);
  send(*State.Known.endpoints().find(*id));
  return true;
}

void Call::wait() {
  WaitingSince = SentAt;
  Utils::Event("call_waiting")
      .with("id", Facts.Id)
      .with("model", Facts.Model)
      .with("adapter", Facts.Adapter)
      .with("left_ms", Utils::msBetween(SentAt, Deadline))
      .with("led", State.Part.member().isLed(SentAt))
      .with("holder_token", State.Part.member().token())
      .info();
  State.Waiting.add(weak_from_this());
}

bool Call::keepWaiting() {
  if (Done || !tryDispatch())
    return !Done;
  return false;
}

FleetLink::WaitingCalls Call::waitingFor(Utils::TimePoint now) const {
  auto left = std::max<int64_t>(0, Utils::msBetween(now, Deadline));
  return {Service, Facts.Model, Facts.Adapter, 1, uint32_t(left)};
}

void Call::send(const Fleet::Endpoint &endpoint) {
  std::error_code ec;
  auto address = HttpIo::parseEndpoint(endpoint.Report.Address, ec);
  EndpointId = endpoint.Report.Id;
  Tried.insert(EndpointId);
  if (ec) {
    Utils::Event("endpoint_address_unreadable")
        .with("endpoint", EndpointId)
        .with("address", endpoint.Report.Address)
        .error();
    NotRun = true;
    return onSendFailed(Balance::SendEnd::Broken);
  }
  Peer = endpoint.Report.Address + "/" + EndpointId;
  static const std::string noTeam;
  uint8_t priority = Team && Team->Priority ? *Team->Priority : Route->Priority;
  auto left =
      std::chrono::duration_cast<Utils::Milliseconds>(Deadline - SentAt);
  SendFacts facts{EndpointId, Team ? Team->Name : noTeam, left, priority,
                  LastEventId};
  bool once = Route->Kind == Fleet::RouteKind::Unsafe;
  Connection = State.Connections.acquire(Peer, once ? SentAt - FreshConnection
                                                    : Utils::TimePoint::min());
  ++Sends;
  ++RunsBegun;
  NotRun = HeadIsAnswer = false;
  Head = {};
  Body.clear();
  State.Board.sent(EndpointId);
  Connection->exchange(
      address, Http::serializeRequest(State.Wire.Calls.Forward(Request, facts)),
      responseEvents());
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

HttpIo::HeadVerdict Call::onHead(const Http::ResponseHead &head,
                                 Http::Framing) {
  ReplyFacts reply = State.Wire.Calls.Reply(head);
  if (!reply.CallId.empty() && reply.CallId != Facts.Id)
    return HttpIo::HeadVerdict::Skip;
  State.noteNotice(EndpointId, reply.Notice);
  NotRun = reply.NotRun;
  // One that names no call may be a late copy of another's.
  HeadIsAnswer = reply.Genuine && !NotRun && reply.CallId == Facts.Id;
  Head = head;
  if (HeadIsAnswer) {
    auto took = Utils::BootClock::now() - SentAt;
    State.Board.answering(
        EndpointId, std::chrono::duration<double, std::milli>(took).count());
    State.Numbers.observe("hickory_gateway_first_byte_seconds",
                          std::chrono::duration<double>(took).count());
  }
  return HttpIo::HeadVerdict::Accept;
}

void Call::onBody(std::string_view data) {
  Body += data;
  if (HeadIsAnswer && streams() && isSuccess(Head.Status) && !Done)
    forwardEvents();
  if (Body.size() > LargestAnswerBytes)
    endEndless();
}

/// Ends an answer that is too long to be one.
void Call::endEndless() {
  Utils::Event("answer_too_long")
      .with("id", Facts.Id)
      .with("endpoint", EndpointId)
      .with("bytes", Body.size())
      .warning();
  Connection->cancel();
  Body.clear();
  NotRun = false;
  onSendFailed(Balance::SendEnd::Broken);
}

/// Forwards the events that are complete.
void Call::forwardEvents() {
  size_t end = Body.rfind(EventEnd);
  if (end == std::string::npos)
    return;
  std::string_view events =
      std::string_view(Body).substr(0, end + EventEnd.size());
  beginStream();
  Caller->streamData(events);
  if (std::string id = lastIdIn(events); !id.empty())
    LastEventId = id;
  Body.erase(0, events.size());
}

void Call::beginStream() {
  if (std::exchange(AnswerBegun, true))
    return;
  Caller->beginStream(forwardedHead(Head));
}

void Call::onEnd(HttpIo::ExchangeResult end) {
  if (end == HttpIo::ExchangeResult::NotConnected) {
    NotRun = true;
    return onSendFailed(Balance::SendEnd::Broken);
  }
  if (end != HttpIo::ExchangeResult::Complete) {
    NotRun = false;
    return onSendFailed(Balance::SendEnd::Broken);
  }
  State.Connections.release(Peer, Connection);
  if (NotRun) {
    if (needsModel())
      State.Part.member().noteBounce(EndpointId, Facts.Model, Facts.Adapter,
                                     Utils::BootClock::now());
    return onSendFailed(Balance::SendEnd::Refused);
  }
  if (!HeadIsAnswer)
    return onSendFailed(Balance::SendEnd::Broken);
  bool repeatable = Route->Kind == Fleet::RouteKind::Safe && !Done &&
                    Head.Status >= 500 && RunsBegun < Route->Attempts &&
                    State.retryBudget(Service).takeRepeat(SentAt);
  endSend(Balance::SendEnd::Answered);
  if (repeatable)
    return dispatch();
  completeAnswer();
}

void Call::completeAnswer() {
  if (Done)
    return;
  if (!streams() || !isSuccess(Head.Status)) {
    if (AnswerBegun) { // A resumed stream that the next endpoint rejected.
      Caller->abort();
      return finish("resume_failed", Head.Status);
    }
    Caller->respond(forwardedHead(Head), Body);
    return finish("answered", Head.Status);
  }
  beginStream();
  Caller->streamData(Body);
  Caller->endStream();
  finish("answered", Head.Status);
}

void Call::endSend(Balance::SendEnd end) {
  State.Board.ended(EndpointId, end, Utils::BootClock::now());
  Connection.reset();
  if (Done)
    DeadlineTimer.cancel();
}

void Call::onSendFailed(Balance::SendEnd end) {
  if (NotRun && RunsBegun > 0)
    --RunsBegun;
  endSend(end);
  if (Done)
    return;
  Balance::Progress progress;
  progress.Kind = Route->Kind;
  progress.Resumable = Route->Resumable;
  progress.RunsBegun = RunsBegun;
  progress.RunsAllowed = Route->Attempts;
  progress.NotRun = NotRun;
  progress.AnswerBegun = AnswerBegun;
  Utils::TimePoint now = Utils::BootClock::now();
  bool inTime = now + LeastTimeToSend < Deadline;
  bool inBudget = inTime && State.retryBudget(Service).takeRepeat(now);
  progress.TimeLeft = inBudget;
  Balance::NextStep next = Balance::afterFailure(progress);
  State.Numbers.add("hickory_gateway_sends_failed_total",
                    "end=\"" + std::string(Balance::sendEndName(end)) + "\"");
  Utils::Event("send_failed")
      .with("id", Facts.Id)
      .with("endpoint", EndpointId)
      .with("model", Facts.Model)
      .with("adapter", Facts.Adapter)
      .with("end", Balance::sendEndName(end))
      .with("status", Head.Status)
      .with("not_run", NotRun)
      .with("in_time", inTime)
      .with("in_budget", inBudget)
      .with("next", Balance::nextStepName(next))
      .with("ms", Utils::msBetween(SentAt, now))
      .info();
  follow(next);
}

void Call::follow(Balance::NextStep next) {
  switch (next) {
  case Balance::NextStep::SendAgain:
  case Balance::NextStep::Resume:
    return dispatch();
  case Balance::NextStep::Refuse:
    return refuse(Unavailable, "not_run", DefaultComeBack);
  case Balance::NextStep::Fail:
    return refuse(BadGateway, "endpoint_failed");
  case Balance::NextStep::Break:
    Caller->abort();
    return finish("stream_broken", 0);
  }
}

} // namespace Gateway
