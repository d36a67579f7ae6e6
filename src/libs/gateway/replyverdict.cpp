#include "gateway/replyverdict.h"

namespace Gateway {

std::string_view replyVerdictName(ReplyVerdict verdict) {
  static constexpr std::string_view names[] = {"other_call", "refusal",
                                               "answer", "unproven"};
  return names[static_cast<size_t>(verdict)];
}

ReplyVerdict judgeReply(const ReplyMetadata &reply, const SendContext &send) {
  bool named = !reply.CallId.empty();
  if (named && reply.CallId != send.CallId)
    return ReplyVerdict::OtherCall;
  // Without an id, a response on a used connection may be a late copy of one
  // to an earlier call.
  if (reply.NotExecuted && (named || !send.ConnectionReused))
    return ReplyVerdict::Refusal;
  bool mayBeForwarded = reply.Genuine && !reply.PromisesNotExecuted;
  return named && mayBeForwarded ? ReplyVerdict::Answer
                                 : ReplyVerdict::Unproven;
}

} // namespace Gateway
