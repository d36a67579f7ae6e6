#include "explain/gatewaycauses.h"

namespace Explain::Internal {

namespace {

std::string msOf(const LogLine &line, const std::string &name) {
  return std::to_string(line.number(name)) + " ms";
}

std::string comeBack(const LogLine &outcome) {
  return outcome.field("retry_after_ms").empty()
             ? ""
             : "; it was told to come back in " +
                   msOf(outcome, "retry_after_ms");
}

std::string modelOf(const LogLine &line) {
  const std::string &adapter = line.field("adapter");
  return adapter.empty()
             ? "model " + line.field("model")
             : "adapter " + adapter + " of model " + line.field("model");
}

/// What the holder of the fleet's duty did about the model meanwhile.
std::string loadsOf(const Evidence &evidence, const LogLine &outcome) {
  const LogLine *decided = nullptr;
  const LogLine *answered = nullptr;
  const LogLine *dropped = nullptr;
  for (const LogLine &it : evidence.Background) {
    if (it.field("model") != outcome.field("model"))
      continue;
    if (it.Event == "order_decided")
      decided = &it;
    if (it.Event == "order_answered")
      answered = &it;
    if (it.Event == "task_dropped")
      dropped = &it;
  }
  if (dropped)
    return "; gateway " + dropped->Daemon + " gave its load at endpoint " +
           dropped->field("endpoint") + " up: " + dropped->field("reason");
  if (answered)
    return "; endpoint " + answered->field("endpoint") + " had answered " +
           answered->field("reply") + " to the last order for it, at " +
           answered->Time;
  if (decided)
    return "; gateway " + decided->Daemon + " had ordered it from endpoint " +
           decided->field("endpoint") + ", and no answer is logged";
  return "; no order for it is in these logs";
}

std::string unsentCause(const Evidence &evidence, const LogLine &outcome) {
  const LogLine *waiting = evidence.last("call_waiting");
  if (!waiting)
    return "it had " + msOf(outcome, "left_ms") +
           " left, too little to send it";
  std::string text =
      "no engine held " + modelOf(*waiting) + " from " + waiting->Time + " on";
  if (waiting->number("led") == 0)
    return text + ", and the holder of the fleet's duty was not heard" +
           comeBack(outcome);
  return text + loadsOf(evidence, outcome) + comeBack(outcome);
}

std::string sendText(const LogLine &send) {
  return "endpoint " + send.field("endpoint") + " ended the send as " +
         send.field("end") + " with status " + send.field("status") +
         " after " + msOf(send, "ms");
}

std::string refusedCause(const Evidence &evidence, const LogLine &outcome) {
  const LogLine *send = evidence.last("send_failed");
  if (!send)
    return "it was not run, and no send is logged" + comeBack(outcome);
  std::string text = sendText(*send) + ", not run";
  if (send->number("in_time") == 0)
    return text + ", and no time was left" + comeBack(outcome);
  if (send->number("in_budget") == 0)
    return text + ", and the budget of repeats was used up" + comeBack(outcome);
  return text + comeBack(outcome);
}

std::string failedCause(const Evidence &evidence, const LogLine & /*outcome*/) {
  const LogLine *send = evidence.last("send_failed");
  if (!send)
    return "an endpoint failed, and no send is logged";
  return sendText(*send) + "; it may have run and may not run again";
}

std::string deadlineCause(const Evidence & /*evidence*/,
                          const LogLine &outcome) {
  return "endpoint " + outcome.field("endpoint") +
         " had not answered within the time of the route or the caller; " +
         outcome.field("load") +
         " calls were under way there when it was chosen among " +
         outcome.field("candidates");
}

std::string brokenCause(const Evidence &evidence, const LogLine &outcome) {
  if (outcome.field("outcome") == "deadline_in_stream")
    return "its time was over after " + msOf(outcome, "ms") +
           " while endpoint " + outcome.field("endpoint") +
           " was still sending";
  const LogLine *send = evidence.last("send_failed");
  if (!send)
    return "its stream was broken off: " + outcome.field("outcome");
  return "its stream was broken off: " + sendText(*send);
}

std::string limitCause(const Evidence & /*evidence*/, const LogLine &outcome) {
  return "team " + outcome.field("team") + " was over its limit with " +
         outcome.field("tokens") + " tokens" + comeBack(outcome);
}

std::string staleKeysCause(const Evidence &evidence, const LogLine &outcome) {
  std::string text = "the gateway had read the configuration " +
                     msOf(outcome, "keys_age_ms") +
                     " ago, so that its key might be withdrawn";
  if (const LogLine *lost = evidence.lastBackground("dependency_lost"))
    text +=
        " (" + lost->field("dependency") + ": " + lost->field("error") + ")";
  return text + comeBack(outcome);
}

std::string goneCause(const Evidence & /*evidence*/, const LogLine &outcome) {
  std::string text = "the caller left after " + msOf(outcome, "ms");
  if (!outcome.field("endpoint").empty())
    return text + ", while endpoint " + outcome.field("endpoint") +
           " was at work on it";
  return text + ", while it waited for " + modelOf(outcome);
}

std::string answeredText(const Evidence & /*evidence*/,
                         const LogLine &outcome) {
  std::string text = "endpoint " + outcome.field("endpoint") +
                     " answered with status " + outcome.field("status") + ", " +
                     msOf(outcome, "ms") + " after the call came";
  if (outcome.number("waited_ms") > 0)
    text += ", " + msOf(outcome, "waited_ms") + " of it waiting for " +
            modelOf(outcome);
  if (outcome.number("sends") > 1)
    text += "; it was sent " + outcome.field("sends") + " times";
  return text;
}

template <const char *Text>
std::string fixed(const Evidence & /*evidence*/, const LogLine &outcome) {
  return Text + comeBack(outcome);
}

constexpr char Malformed[] = "a header of the request could not be read";
constexpr char NoRoute[] = "no route of the configuration in force matches it";
constexpr char UnknownKey[] = "the configuration in force has no such key";
constexpr char NoConfiguration[] =
    "the gateway had not read a configuration yet";
constexpr char NoEndpoint[] = "no endpoint of its service was ready";
constexpr char Leaving[] =
    "it waited at a gateway that was told to stop, and was sent on";

struct CauseRow {
  std::string_view Outcome;
  std::string (*Text)(const Evidence &, const LogLine &);
};

constexpr CauseRow CauseRows[] = {
    {"answered", answeredText},
    {"over_limit", limitCause},
    {"keys_out_of_date", staleKeysCause},
    {"unknown_key", fixed<UnknownKey>},
    {"no_route", fixed<NoRoute>},
    {"malformed", fixed<Malformed>},
    {"no_configuration", fixed<NoConfiguration>},
    {"no_endpoint", fixed<NoEndpoint>},
    {"leaving", fixed<Leaving>},
    {"no_time", unsentCause},
    {"deadline_unsent", unsentCause},
    {"not_run", refusedCause},
    {"endpoint_failed", failedCause},
    {"deadline", deadlineCause},
    {"deadline_in_stream", brokenCause},
    {"stream_broken", brokenCause},
    {"resume_failed", brokenCause},
    {"caller_gone", goneCause},
};

} // namespace

std::string gatewayCause(const Evidence &evidence, const LogLine &outcome) {
  for (const CauseRow &row : CauseRows)
    if (row.Outcome == outcome.field("outcome"))
      return row.Text(evidence, outcome);
  return "ended as " + outcome.field("outcome");
}

} // namespace Explain::Internal
