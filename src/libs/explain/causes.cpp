#include "explain/causes.h"

#include "explain/gatewaycauses.h"

namespace Explain::Internal {

namespace {

/// A wait is reported if it exceeds 1/WaitShareDivisor of the request's time.
constexpr int64_t WaitShareDivisor = 10;
/// Value of ready_ms when the load time of the model is not known.
constexpr int64_t LoadTimeUnknown = -1;

std::string msText(int64_t ms) { return std::to_string(ms) + " ms"; }

std::string retryText(const LogLine &outcome) {
  int64_t ms = outcome.number("retry_after_ms");
  return ms > 0 ? "; it was told to come back in " + msText(ms) : "";
}

std::string overRateCause(const Evidence &evidence, const LogLine &outcome) {
  const LogLine *it = evidence.last("tokens_refused");
  if (!it)
    return "the team's tokens did not allow it" + retryText(outcome);
  std::string needs = "team " + it->field("team") + " needed " +
                      it->field("needed") + " tokens";
  if (it->number("over_burst") != 0)
    return needs + ", more than its burst, so that waiting cannot help";
  return needs + " and was over its rate after waiting " +
         msText(it->number("waited_ms")) + retryText(outcome);
}

std::string deadlineTooShortCause(const Evidence &evidence,
                                  const LogLine &outcome) {
  if (const LogLine *it = evidence.last("load_too_late"))
    return "the load of model " + it->field("model") + " needs " +
           msText(it->number("ready_ms")) + " more, and only " +
           msText(it->number("left_ms")) + " were left" + retryText(outcome);
  const LogLine *it = evidence.last("too_late");
  if (!it)
    return "it could not start before its deadline" + retryText(outcome);
  std::string left = ", and only " + msText(it->number("left_ms")) +
                     " were left" + retryText(outcome);
  if (it->number("ready_ms") > 0)
    return "model " + it->field("model") +
           " had no replica and would be ready in " +
           msText(it->number("ready_ms")) + left;
  std::string ready = it->number("ready_ms") == LoadTimeUnknown
                          ? " (no load was forecast)"
                          : "";
  return "model " + it->field("model") + " ran " + it->field("running") +
         " calls of " + it->field("capacity") + " with " +
         it->field("queued_ahead") + " queued ahead, at " +
         it->field("service_ms") + " ms a call" + ready + left;
}

std::string noCapacityCause(const Evidence &evidence, const LogLine &outcome) {
  if (const LogLine *it = evidence.last("replica_awaited");
      it && it->field("outcome") == "none") {
    std::string text = "no replica of model " + it->field("model") +
                       " became ready in " + msText(it->number("waited_ms"));
    if (it->number("unloading") > 0)
      return text + ": it was still being unloaded" + retryText(outcome);
    if (it->number("loading") > 0)
      return text + ": its load had not ended" + retryText(outcome);
    if (it->number("demanded") != 0)
      return text +
             ": it was requested, but no engine had room for it or could load "
             "it" +
             retryText(outcome);
    return text + ": the request for a replica was not recorded" +
           retryText(outcome);
  }
  return outcome.field("message") + retryText(outcome);
}

std::string endpointFailedCause(const Evidence &evidence,
                                const LogLine &outcome) {
  const LogLine *it = evidence.last("attempt");
  if (!it)
    it = evidence.last("order_attempt");
  if (!it)
    return outcome.field("message") + ", and no attempt was logged";
  std::string text =
      "endpoint " + it->field("endpoint") + ": " + it->field("message");
  if (it->number("attempt") > 1)
    text += ", after " + std::to_string(it->number("attempt") - 1) +
            " attempts elsewhere";
  return text + "; run state " + it->field("run_state") + retryText(outcome);
}

std::string historyUnavailableCause(const Evidence &evidence,
                                    const LogLine &outcome) {
  if (const LogLine *it = evidence.last("tokens_refused");
      it && it->number("no_holder") != 0)
    return "no tokens could be asked for: " + it->field("link") +
           retryText(outcome);
  std::string text = outcome.field("message") +
                     "; the log had been silent for " +
                     msText(outcome.number("log_silent_ms"));
  if (const LogLine *it = evidence.lastBackground("log_append_failed"))
    text += " (last append: " + it->field("why") + ")";
  else if (const LogLine *read = evidence.lastBackground("log_read_failed"))
    text += " (last read: " + read->field("why") + ")";
  return text + retryText(outcome);
}

/// Describes the outcome of the call that claimed the idempotency key,
/// whichever request sent it.
std::string idempotencyKeyCause(const Evidence &evidence,
                                const LogLine &outcome) {
  const LogLine *claimed = nullptr;
  const LogLine *sent = nullptr;
  const LogLine *recorded = nullptr;
  for (const LogLine &it : evidence.Lines) {
    if (it.Event == "order_claimed" && it.field("verdict") == "accepted")
      claimed = &it;
    if (it.Event == "order_sending" || it.Event == "order_attempt")
      sent = &it;
    if (it.Event == "order_outcome")
      recorded = &it;
  }
  if (!claimed)
    return outcome.field("message") +
           "; these logs contain no claim of its key";
  std::string text = "daemon " + claimed->Daemon + " claimed the key at " +
                     claimed->Time + " for request " + claimed->field("id");
  if (!sent)
    return text + " and logged no call to an endpoint: it died or is still "
                  "waiting; whether the call ran is not known";
  text += " and called endpoint " + sent->field("endpoint");
  if (!sent->field("message").empty())
    text += " (" + sent->field("message") + ")";
  if (!recorded && sent->Event == "order_sending")
    return text + ", and logged nothing more: it waits or died, and the call "
                  "may have run";
  if (!recorded)
    return text + ", whose outcome is not logged";
  return text + "; recorded outcome: " + recorded->field("outcome");
}

std::string messageCause(const Evidence & /*evidence*/,
                         const LogLine &outcome) {
  return outcome.field("message") + retryText(outcome);
}

struct CauseRow {
  std::string_view Reason;
  std::string (*Describe)(const Evidence &, const LogLine &);
};

constexpr CauseRow CauseRows[] = {
    {"over_rate", overRateCause},
    {"deadline_too_short", deadlineTooShortCause},
    {"no_capacity", noCapacityCause},
    {"endpoint_failed", endpointFailedCause},
    {"deadline_exceeded", endpointFailedCause},
    {"history_unavailable", historyUnavailableCause},
    {"outcome_unknown", idempotencyKeyCause},
    {"idempotency_key_in_use", idempotencyKeyCause},
};

std::string refusalCause(const Evidence &evidence, const LogLine &outcome) {
  std::string reason = outcome.field("reason");
  std::string text =
      "refused as " + reason + ", " + outcome.field("run_state") + ": ";
  for (const CauseRow &row : CauseRows)
    if (row.Reason == reason)
      return text + row.Describe(evidence, outcome);
  return text + messageCause(evidence, outcome);
}

/// Lists the stages that took a notable share of the request's time.
std::string longStagesText(const Evidence &evidence, int64_t total) {
  struct Stage {
    const char *Name;
    int64_t Ms;
  };
  auto stageMs = [&](const char *event, const char *field) {
    const LogLine *it = evidence.last(event);
    return it ? it->number(field) : 0;
  };
  const Stage stages[] = {
      {"waiting for the team's tokens", stageMs("admitted", "tokens_wait_ms")},
      {"waiting for its turn", stageMs("admitted", "turn_wait_ms")},
      {"waiting for a replica", stageMs("replica_awaited", "waited_ms")},
      {"at the endpoint", stageMs("attempt", "ms")},
  };
  std::string text;
  for (const Stage &it : stages)
    if (it.Ms * WaitShareDivisor > total)
      text += ", " + msText(it.Ms) + " of it " + it.Name;
  return text;
}

std::string answeredCause(const Evidence &evidence, const LogLine &outcome) {
  int64_t total = outcome.number("ms");
  std::string text = "answered with status " + outcome.field("status") + " " +
                     msText(total) + " after it came" +
                     longStagesText(evidence, total);
  if (outcome.number("left_ms") < 0)
    text += "; that was " + msText(-outcome.number("left_ms")) +
            " after its deadline";
  const LogLine *stream = evidence.last("stream_ended");
  if (!stream)
    return text;
  if (stream->number("whole") != 0)
    return text + "; its stream completed after " +
           msText(stream->number("ms"));
  if (stream->number("caller_left") != 0)
    return text + "; the caller closed the stream after " +
           stream->field("bytes") + " bytes";
  text += "; its stream was cut after " + stream->field("bytes") +
          " bytes and " + msText(stream->number("ms"));
  const LogLine *cut = evidence.last("stream_cut");
  return cut ? text + " as " + cut->field("reason") + ": " +
                   cut->field("message")
             : text;
}

} // namespace

const LogLine *Evidence::last(std::string_view event) const {
  const LogLine *found = nullptr;
  for (const LogLine &it : Lines)
    if (it.Event == event && it.field("id") == RequestId)
      found = &it;
  return found;
}

const LogLine *Evidence::lastBackground(std::string_view event) const {
  const LogLine *found = nullptr;
  for (const LogLine &it : Background)
    if (it.Event == event)
      found = &it;
  return found;
}

const LogLine *Evidence::outcome() const {
  if (const LogLine *it = last("request"))
    return it;
  if (const LogLine *it = last("call_ended"))
    return it;
  return last("refused_at_door");
}

std::string causeOf(const Evidence &evidence) {
  if (evidence.Lines.empty())
    return "these logs contain no line of this request";
  const LogLine *outcome = evidence.outcome();
  if (!outcome)
    return "the request has no outcome in these logs: its daemon died while it "
           "ran, or the line was suppressed";
  if (outcome->Event == "call_ended")
    return gatewayCause(evidence, *outcome);
  if (!outcome->field("reason").empty())
    return refusalCause(evidence, *outcome);
  return answeredCause(evidence, *outcome);
}

} // namespace Explain::Internal
