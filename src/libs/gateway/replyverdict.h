#ifndef GATEWAY_REPLYVERDICT_H
#define GATEWAY_REPLYVERDICT_H

#include "gateway/callwire.h"

#include <cstdint>
#include <string_view>

namespace Gateway {

/// What the head of a response shows about the send that waits for it.
enum class ReplyVerdict : uint8_t {
  OtherCall, ///< Names another call: a late copy.
  Refusal,   ///< The endpoint has not executed this send and never will.
  Answer,    ///< The endpoint's answer to the call.
  Unproven,  ///< Neither is certain; the call may have been executed.
};

std::string_view replyVerdictName(ReplyVerdict verdict);

/// A send as far as it decides which responses can belong to it.
struct SendContext {
  std::string_view CallId;
  /// Its connection has carried exchanges before.
  bool ConnectionReused = false;
};

ReplyVerdict judgeReply(const ReplyMetadata &reply, const SendContext &send);

} // namespace Gateway

#endif // GATEWAY_REPLYVERDICT_H
