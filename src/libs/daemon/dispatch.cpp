#include "daemon/dispatch.h"

#include "daemon/refuseby.h"

#include <nlohmann/json.hpp>

namespace Daemon::Internal {

namespace {

using FrontDoor::Answer;
using FrontDoor::Reason;
using FrontDoor::refusalAnswer;
using FrontDoor::Request;
using FrontDoor::RunState;

constexpr char EventStream[] = "text/event-stream";
constexpr char NotLoadedText[] = "model not loaded";
constexpr int HttpUnavailable = 503;
constexpr uint32_t RetryAfterMs = 1000;

bool isEventStream(const Engine::ResponseHead &head) {
  return head.ContentType.compare(0, sizeof(EventStream) - 1, EventStream) == 0;
}

/// Whether the engine says that it ran nothing because it lacks the model.
bool isNotLoaded(const Engine::ResponseHead &head, const std::string &body) {
  return head.Status == HttpUnavailable &&
         body.find(NotLoadedText) != std::string::npos;
}

/// Event that tells the reader of a stream why it was cut short.
std::string truncationEvent(const Ending &ending,
                            const std::string &requestId) {
  nlohmann::json error = {{"reason", FrontDoor::reasonName(ending.Why)},
                          {"run_state", FrontDoor::runStateName(RunState::Ran)},
                          {"message", ending.Message},
                          {"request_id", requestId}};
  return "\n\nevent: error\ndata: " + nlohmann::json{{"error", error}}.dump() +
         "\n\n";
}

bool pump(const Exchange &exchange, const std::string &requestId,
          const FrontDoor::PieceWriter &write) {
  UpstreamCall &call = *exchange.Call;
  std::optional<Piece> piece = call.nextUntil(call.deadline());
  for (; piece && piece->What != Piece::Kind::End;
       piece = call.nextUntil(call.deadline())) {
    if (call.cancelReason() != CancelReason::None)
      break;
    if (write(piece->Bytes))
      continue;
    call.cancel();
    return false;
  }
  bool ended = piece && piece->What == Piece::Kind::End;
  if (ended && !piece->Why)
    return true;
  Ending ending = endingOf(call, false);
  if (ended && ending.Why == Reason::DeadlineExceeded)
    ending = {Reason::EndpointFailed, "the answer was truncated"};
  Utils::Event("stream_cut")
      .with("id", requestId)
      .with("reason", FrontDoor::reasonName(ending.Why))
      .with("message", ending.Message)
      .warning();
  call.cancel();
  write(truncationEvent(ending, requestId));
  return false;
}

/// An answer for the caller, or the failed exchange that may be retried.
struct Delivery {
  std::optional<Answer> Done;
  RunState Ran = RunState::NotRun;
  Reason Why = Reason::EndpointFailed;
  std::string Message;
};

void noteAttempt(Context &context, const Request &request, const Target &target,
                 size_t attempt, const Delivery &result,
                 Utils::TimePoint begin) {
  auto reading = context.Loads.reading(target.Name);
  Utils::TimePoint now = context.Clock.Now();
  context.Metrics.observeStage("endpoint", now - begin);
  Utils::Event event("attempt");
  event.with("id", request.Id)
      .with("endpoint", target.Name)
      .with("attempt", attempt)
      .with("ms", Utils::msBetween(begin, now))
      .with("outstanding", context.Clients.outstanding(target.Name))
      .with("load", reading ? int64_t(reading->Load) : -1)
      .with("load_age_ms", reading ? Utils::msBetween(reading->At, now) : -1);
  if (result.Done) {
    event.with("status", result.Done->Status).info();
    return;
  }
  event.with("reason", FrontDoor::reasonName(result.Why))
      .with("run_state", FrontDoor::runStateName(result.Ran))
      .with("message", result.Message)
      .warning();
}

Delivery deliver(const Request &request, const Exchange &exchange) {
  if (!exchange.answered())
    return {std::nullopt, exchange.Ran, exchange.Why, exchange.Message};
  Answer answer;
  answer.Status = exchange.Head.Status;
  answer.ContentType = exchange.Head.ContentType;
  if (isEventStream(exchange.Head)) {
    answer.Stream = [exchange,
                     id = request.Id](const FrontDoor::PieceWriter &write) {
      return pump(exchange, id, write);
    };
    return {std::move(answer), RunState::Ran, Reason::EndpointFailed, ""};
  }
  WholeBody body = readBody(exchange, request.CallerLeft);
  if (!body.Whole)
    return {std::nullopt, RunState::Unknown, body.Why, body.Message};
  if (isNotLoaded(exchange.Head, body.Bytes))
    return {std::nullopt, RunState::NotRun, Reason::NoCapacity,
            "the endpoint does not hold the model"};
  answer.Body = std::move(body.Bytes);
  return {std::move(answer), RunState::Ran, Reason::EndpointFailed, ""};
}

} // namespace

Answer forwardIdempotent(Context &context, const Request &request,
                         const ChooseTarget &choose,
                         const std::string &keyHash) {
  context.Retries.deposit();
  std::set<std::string> excluded;
  Delivery last;
  last.Why = Reason::NoCapacity;
  last.Message = "no endpoint can take the call";
  RunState ran = RunState::NotRun;
  Utils::TimePoint deadline = refuseBy(context.Clock.Now(), request.Deadline);
  while (context.Clock.Now() < deadline) {
    std::optional<Target> target = choose(excluded);
    if (!target)
      break;
    Utils::TimePoint begin = context.Clock.Now();
    Engine::Call call = callOf(request, deadline);
    call.Retryable = true;
    Exchange attempt = exchange(context, *target, std::move(call),
                                request.CallerLeft, keyHash);
    last = deliver(request, attempt);
    noteAttempt(context, request, *target, excluded.size() + 1, last, begin);
    bool callerLeft = request.CallerLeft && request.CallerLeft();
    if (!callerLeft)
      context.Outliers.record(target->Name,
                              !last.Done && last.Why == Reason::EndpointFailed,
                              context.Clock.Now());
    if (last.Done)
      return *last.Done;
    ran = std::max(ran, last.Ran);
    excluded.insert(target->Name);
    bool keyWithdrawn = last.Why == Reason::UnknownKey;
    if (callerLeft || keyWithdrawn || !context.Retries.withdraw())
      break;
  }
  // The work is idempotent, so another try can help whatever became of this.
  uint32_t retryAfterMs = last.Why == Reason::UnknownKey ? 0 : RetryAfterMs;
  return refusalAnswer({last.Why, ran, retryAfterMs, last.Message}, request.Id);
}

} // namespace Daemon::Internal
