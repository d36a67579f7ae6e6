#include "gateway/replyverdict.h"

#include <doctest/doctest.h>

using Gateway::judgeReply;
using Gateway::ReplyMetadata;
using Gateway::ReplyVerdict;

namespace {

ReplyMetadata refusalOf(const std::string &callId) {
  ReplyMetadata reply;
  reply.CallId = callId;
  reply.NotExecuted = true;
  return reply;
}

ReplyMetadata answerOf(const std::string &callId) {
  ReplyMetadata reply;
  reply.CallId = callId;
  reply.Genuine = true;
  return reply;
}

} // namespace

TEST_CASE("response that names another call belongs to that one") {
  for (bool reused : {false, true}) {
    CHECK(judgeReply(refusalOf("other"), {"mine", reused}) ==
          ReplyVerdict::OtherCall);
    CHECK(judgeReply(answerOf("other"), {"mine", reused}) ==
          ReplyVerdict::OtherCall);
  }
}

TEST_CASE("response that names the call is its refusal or answer") {
  for (bool reused : {false, true}) {
    CHECK(judgeReply(refusalOf("mine"), {"mine", reused}) ==
          ReplyVerdict::Refusal);
    CHECK(judgeReply(answerOf("mine"), {"mine", reused}) ==
          ReplyVerdict::Answer);
  }
}

// Issue 37: a late copy of a refusal without an id refused the next call on the
// connection.
TEST_CASE("refusal without an id counts on a connection's first exchange "
          "only") {
  CHECK(judgeReply(refusalOf(""), {"mine", false}) == ReplyVerdict::Refusal);
  CHECK(judgeReply(refusalOf(""), {"mine", true}) == ReplyVerdict::Unproven);
}

TEST_CASE("answer without an id or a signature is no answer to the call") {
  CHECK(judgeReply(answerOf(""), {"mine", false}) == ReplyVerdict::Unproven);
  ReplyMetadata unsignedReply;
  unsignedReply.CallId = "mine";
  CHECK(judgeReply(unsignedReply, {"mine", false}) == ReplyVerdict::Unproven);
}

// Issue 37: an endpoint's own 503 was forwarded as a promise, and had run.
TEST_CASE("signed answer whose status promises not-executed proves nothing "
          "without the endpoint's statement") {
  ReplyMetadata reply = answerOf("mine");
  reply.PromisesNotExecuted = true;
  CHECK(judgeReply(reply, {"mine", false}) == ReplyVerdict::Unproven);
  reply.NotExecuted = true;
  CHECK(judgeReply(reply, {"mine", false}) == ReplyVerdict::Refusal);
}
