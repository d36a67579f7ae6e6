#include "daemon/orderanswers.h"

namespace Daemon::Internal {

namespace {

using FrontDoor::Answer;
using FrontDoor::Reason;
using FrontDoor::refusalAnswer;
using FrontDoor::Request;
using FrontDoor::RunState;

constexpr uint32_t RetryAfterMs = 1000;
/// A silent daemon is recorded as gone after 30 s, which makes the outcome
/// final; one that was only parted is back sooner.
constexpr uint32_t SilentClaimerRetryMs = 5000;
constexpr char DroppedBody[] =
    "{\"note\":\"the call ran; its answer is no longer kept\"}\n";

Answer recordedAnswer(const History::Order &order) {
  Answer answer;
  answer.Status = order.HttpStatus;
  answer.ContentType = order.ContentType;
  answer.Body = order.Body;
  answer.Headers["Idempotent-Replayed"] = "true";
  if (order.BodyDropped) {
    answer.ContentType = "application/json";
    answer.Body = DroppedBody;
  }
  return answer;
}

} // namespace

Answer answerFor(Orders::Step step, const std::optional<History::Order> &order,
                 const Request &request) {
  switch (step) {
  case Orders::Step::Replay:
    return recordedAnswer(*order);
  case Orders::Step::OtherRequest:
    return refusalAnswer({Reason::KeyReused, RunState::NotRun, 0,
                          "the Idempotency-Key was used for another request"},
                         request.Id);
  case Orders::Step::Unknown:
    return refusalAnswer({Reason::OutcomeUnknown, RunState::Unknown, 0,
                          "whether the first call with this key ran is not "
                          "known; it will not be repeated"},
                         request.Id);
  case Orders::Step::Claim:
  case Orders::Step::Wait:
    break;
  }
  return refusalAnswer({Reason::KeyInUse, RunState::Unknown, RetryAfterMs,
                        "a call with this key has no known outcome yet"},
                       request.Id);
}

Answer claimerSilentAnswer(const Request &request) {
  return refusalAnswer(
      {Reason::KeyInUse, RunState::Unknown, SilentClaimerRetryMs,
       "the daemon that runs the call with this key does not answer; whether "
       "the call ran is not known yet"},
      request.Id);
}

Answer historyUnavailableAnswer(const Request &request) {
  return refusalAnswer({Reason::HistoryUnavailable, RunState::NotRun,
                        RetryAfterMs, "the call could not be recorded"},
                       request.Id);
}

std::optional<FrontDoor::Refusal>
keyFault(const Request &request, const Utils::Outcome<Orders::Key> &key) {
  if (request.IdempotencyKey.empty())
    return FrontDoor::Refusal{Reason::MissingIdempotencyKey, RunState::NotRun,
                              0,
                              "calls of this service need an Idempotency-Key"};
  if (!key)
    return FrontDoor::Refusal{Reason::InvalidIdempotencyKey, RunState::NotRun,
                              0, key.error().What};
  return std::nullopt;
}

} // namespace Daemon::Internal
