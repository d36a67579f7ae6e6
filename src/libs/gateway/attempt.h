#ifndef GATEWAY_ATTEMPT_H
#define GATEWAY_ATTEMPT_H

#include "gateway/replyverdict.h"
#include "httpio/httpio.h"

#include <memory>
#include <optional>
#include <string>

namespace Gateway {

/// One send of a call to an endpoint, and the answer as far as it has arrived.
struct Attempt {
  /// Empty when the attempt has ended.
  HttpIo::ClientConnectionRef Connection;
  std::string EndpointId;
  std::string PoolKey;
  Utils::TimePoint SentAt;
  /// When the head of the answer arrived.
  std::optional<Utils::TimePoint> AnsweredAt;
  Http::ResponseHead Head;
  ReplyVerdict Verdict = ReplyVerdict::Unproven;
  /// The answer has neither a length nor chunks.
  bool EndsWithConnection = false;
  bool NotExecuted = false;
  /// The connection has carried exchanges before this one.
  bool ConnectionReused = false;
  /// The endpoint had got the call before this send.
  bool SentBefore = false;
  /// The answer names the call.
  bool AnswerNamesCall = false;
  /// The endpoint broke off the exchange before it had answered for long enough
  /// to show that the call does not crash it.
  bool BrokenOffUnanswered = false;
  /// Events of the answer have been forwarded to the caller.
  bool EventsForwarded = false;
  std::string Body;
  /// Bytes of the body, from its start, in which no event ends.
  size_t ScannedBytes = 0;
  /// Second copy of a call whose first copy was in flight when it was sent.
  bool IsHedge = false;

  bool isInFlight() const { return Connection != nullptr; }
  bool isSuccess() const { return Head.Status >= 200 && Head.Status < 300; }
  bool isAnswer() const { return Verdict == ReplyVerdict::Answer; }
};

/// Shared with the callbacks of the attempt's connection.
using AttemptRef = std::shared_ptr<Attempt>;

} // namespace Gateway

#endif // GATEWAY_ATTEMPT_H
