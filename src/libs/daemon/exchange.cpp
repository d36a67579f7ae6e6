#include "daemon/exchange.h"

namespace Daemon::Internal {

namespace {

using FrontDoor::Reason;
using FrontDoor::Request;
using FrontDoor::RunState;

/// How often a waiting call looks whether its caller has left.
constexpr Utils::Milliseconds CallerCheckPeriod(200);

/// Next piece of the call; nothing at the deadline, once the caller left, or
/// when the call was cancelled.
std::optional<Piece> nextPiece(UpstreamCall &call,
                               const std::function<bool()> &callerLeft,
                               bool &left) {
  while (std::chrono::steady_clock::now() < call.deadline()) {
    Utils::TimePoint look =
        callerLeft ? std::chrono::steady_clock::now() + CallerCheckPeriod
                   : call.deadline();
    if (auto piece = call.nextUntil(look))
      return piece;
    left = callerLeft && callerLeft();
    if (left || call.closed())
      return std::nullopt;
  }
  return call.nextUntil(call.deadline());
}

Exchange failed(Exchange result, RunState ran, Reason why,
                std::string message) {
  result.Ran = ran;
  result.Why = why;
  result.Message = std::move(message);
  return result;
}

} // namespace

Ending endingOf(const UpstreamCall &call, bool callerLeft) {
  if (call.cancelReason() == CancelReason::KeyWithdrawn)
    return {Reason::UnknownKey, "the key was withdrawn"};
  if (callerLeft)
    return {Reason::Cancelled, "the caller left"};
  return {};
}

Engine::Call callOf(const Request &request, Utils::TimePoint deadline) {
  Engine::Call call;
  call.RequestId = request.Id;
  call.Method = request.Method;
  call.Path = request.Target;
  call.ContentType = request.ContentType;
  call.Body = request.Body;
  call.Deadline = deadline;
  if (!request.IdempotencyKey.empty())
    call.Headers.emplace_back("Idempotency-Key", request.IdempotencyKey);
  if (request.Priority)
    call.Headers.emplace_back("X-Priority", std::to_string(*request.Priority));
  return call;
}

Exchange exchange(Context &context, const Target &target, Engine::Call call,
                  const std::function<bool()> &callerLeft,
                  const std::string &keyHash) {
  Exchange result;
  Utils::TimePoint began = context.Clock.Now();
  if (!context.Clients.tryBegin(target.Name, began,
                                context.Upstream->threads()))
    return failed(std::move(result), RunState::NotRun, Reason::NoCapacity,
                  "too many calls under way at the endpoint");
  result.Outstanding = std::shared_ptr<void>(
      nullptr, [&context, name = target.Name, began](void *) {
        context.Clients.end(name, began);
      });
  result.Call = context.Upstream->start(target.Api, std::move(call));
  if (!result.Call)
    return failed(std::move(result), RunState::NotRun, Reason::NoCapacity,
                  "too many calls under way");
  if (!keyHash.empty())
    result.KeyWatch = context.Keys.watch(keyHash, result.Call);
  bool left = false;
  auto head = nextPiece(*result.Call, callerLeft, left);
  if (!head) {
    Ending ending = endingOf(*result.Call, left);
    RunState ran = result.Call->cancel() ? RunState::NotRun : RunState::Unknown;
    return failed(std::move(result), ran, ending.Why,
                  std::move(ending.Message));
  }
  if (head->What != Piece::Kind::Head) {
    bool unsent = head->Why && head->Why->Code == Utils::Errc::Unavailable;
    return failed(
        std::move(result), unsent ? RunState::NotRun : RunState::Unknown,
        Reason::EndpointFailed, head->Why ? head->Why->What : "empty answer");
  }
  result.Head = head->Head;
  return result;
}

WholeBody readBody(const Exchange &exchange,
                   const std::function<bool()> &callerLeft) {
  WholeBody body;
  bool left = false;
  while (auto piece = nextPiece(*exchange.Call, callerLeft, left)) {
    if (piece->What == Piece::Kind::End) {
      body.Whole = !piece->Why;
      body.Message = piece->Why ? piece->Why->What : "";
      return body;
    }
    if (body.Bytes.size() + piece->Bytes.size() > MaxWholeAnswerBytes) {
      exchange.Call->cancel();
      body.Message = "the answer is too large";
      return body;
    }
    body.Bytes += piece->Bytes;
  }
  Ending ending = endingOf(*exchange.Call, left);
  exchange.Call->cancel();
  body.Why = ending.Why;
  body.Message = std::move(ending.Message);
  return body;
}

} // namespace Daemon::Internal
