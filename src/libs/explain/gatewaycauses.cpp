#include "explain/gatewaycauses.h"

namespace Explain::Internal {

namespace {

std::string msText(const LogLine &line, const std::string &name) {
  return std::to_string(line.number(name)) + " ms";
}

std::string retryText(const LogLine &outcome) {
  return outcome.field("retry_after_ms").empty()
             ? ""
             : "; it was told to come back in " +
                   msText(outcome, "retry_after_ms");
}

std::string modelText(const LogLine &line) {
  const std::string &adapter = line.field("adapter");
  return adapter.empty()
             ? "model " + line.field("model")
             : "adapter " + adapter + " of model " + line.field("model");
}

/// Describes the last load order for the model, which the holder of the fleet's
/// duty gives to an engine.
std::string loadOrderText(const Evidence &evidence, const LogLine &outcome) {
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
    return "; gateway " + dropped->Daemon + " abandoned its load at endpoint " +
           dropped->field("endpoint") + ": " + dropped->field("reason");
  if (answered)
    return "; endpoint " + answered->field("endpoint") + " had answered " +
           answered->field("reply") + " to the last order for it, at " +
           answered->Time;
  if (decided)
    return "; gateway " + decided->Daemon + " had ordered it from endpoint " +
           decided->field("endpoint") + ", and no answer is logged";
  return "; these logs contain no order for it";
}

std::string unsentCause(const Evidence &evidence, const LogLine &outcome) {
  const LogLine *waiting = evidence.last("call_waiting");
  if (!waiting)
    return "it had " + msText(outcome, "left_ms") +
           " left, too little time to send it";
  std::string text = "no engine held " + modelText(*waiting) + " from " +
                     waiting->Time + " on";
  if (waiting->number("led") == 0)
    return text +
           ", and no message from the holder of the fleet's duty had arrived" +
           retryText(outcome);
  return text + loadOrderText(evidence, outcome) + retryText(outcome);
}

std::string sendText(const LogLine &send) {
  return "endpoint " + send.field("endpoint") + " ended the send as " +
         send.field("end") + " with status " + send.field("status") +
         " after " + msText(send, "ms");
}

std::string notRunCause(const Evidence &evidence, const LogLine &outcome) {
  const LogLine *send = evidence.last("send_failed");
  if (!send)
    return "it was not run, and no send is logged" + retryText(outcome);
  std::string text = sendText(*send) + ", not run";
  if (send->number("in_time") == 0)
    return text + ", and no time was left" + retryText(outcome);
  if (send->number("in_budget") == 0)
    return text + ", and the budget of repeats was used up" +
           retryText(outcome);
  return text + retryText(outcome);
}

std::string endpointFailedCause(const Evidence &evidence,
                                const LogLine & /*outcome*/) {
  const LogLine *send = evidence.last("send_failed");
  if (!send)
    return "an endpoint failed, and no send is logged";
  return sendText(*send) + "; it may have run and must not be repeated";
}

std::string deadlineCause(const Evidence & /*evidence*/,
                          const LogLine &outcome) {
  return "endpoint " + outcome.field("endpoint") +
         " had not answered before the deadline of the route or the caller; " +
         outcome.field("load") +
         " calls were in flight there when it was chosen among " +
         outcome.field("candidates");
}

std::string shutdownCause(const Evidence & /*evidence*/,
                          const LogLine &outcome) {
  return "the gateway shut down " + msText(outcome, "ms") +
         " after the call arrived, and endpoint " + outcome.field("endpoint") +
         " was still processing it; it may have run";
}

std::string streamBrokenCause(const Evidence &evidence,
                              const LogLine &outcome) {
  if (outcome.field("outcome") == "deadline_in_stream")
    return "its time was over after " + msText(outcome, "ms") +
           " while endpoint " + outcome.field("endpoint") +
           " was still sending";
  const LogLine *send = evidence.last("send_failed");
  if (!send)
    return "its stream was aborted: " + outcome.field("outcome");
  return "its stream was aborted: " + sendText(*send);
}

std::string overLimitCause(const Evidence & /*evidence*/,
                           const LogLine &outcome) {
  return "team " + outcome.field("team") + " was over its limit with " +
         outcome.field("tokens") + " tokens" + retryText(outcome);
}

std::string keysOutOfDateCause(const Evidence &evidence,
                               const LogLine &outcome) {
  std::string text = "the gateway had read the configuration " +
                     msText(outcome, "keys_age_ms") +
                     " ago, so that its key might be withdrawn";
  if (const LogLine *lost = evidence.lastBackground("dependency_lost"))
    text +=
        " (" + lost->field("dependency") + ": " + lost->field("error") + ")";
  return text + retryText(outcome);
}

std::string callerGoneCause(const Evidence & /*evidence*/,
                            const LogLine &outcome) {
  std::string text =
      "the caller closed the connection after " + msText(outcome, "ms");
  if (!outcome.field("endpoint").empty())
    return text + ", while endpoint " + outcome.field("endpoint") +
           " was processing it";
  return text + ", while it waited for " + modelText(outcome);
}

std::string answeredCause(const Evidence & /*evidence*/,
                          const LogLine &outcome) {
  std::string text = "endpoint " + outcome.field("endpoint") +
                     " answered with status " + outcome.field("status") + ", " +
                     msText(outcome, "ms") + " after the call arrived";
  if (outcome.number("waited_ms") > 0)
    text += ", " + msText(outcome, "waited_ms") + " of it waiting for " +
            modelText(outcome);
  if (outcome.number("sends") > 1)
    text += "; it was sent " + outcome.field("sends") + " times";
  return text;
}

template <const char *Text>
std::string fixedCause(const Evidence & /*evidence*/, const LogLine &outcome) {
  return Text + retryText(outcome);
}

constexpr char Malformed[] = "a header of the request could not be parsed";
constexpr char NoRoute[] = "no route of the current configuration matches it";
constexpr char UnknownKey[] =
    "the current configuration does not contain its key";
constexpr char NoConfiguration[] =
    "the gateway had not read a configuration yet";
constexpr char NewerConfiguration[] =
    "another gateway may have a newer configuration in force, which this one "
    "did not have yet";
constexpr char ConfigurationUnconfirmed[] =
    "the gateway had just started, and no gateway that was running had yet "
    "named the version that it has in force";
constexpr char ConfigurationUnreadable[] =
    "the gateway could not decode a newer configuration, which may have its "
    "route or key";
constexpr char ConfigurationOutOfDate[] =
    "no route of the current configuration matches it, and the gateway could "
    "not read the configuration for too long to know that there is none";
constexpr char RouteUnreadable[] =
    "it may belong to a route of the configuration that the gateway could not "
    "decode";
constexpr char ServiceUnreadable[] =
    "the gateway could not decode the service of its route";
constexpr char TeamUnreadable[] =
    "its key may be one of a team that the gateway could not decode";
constexpr char NoEndpoint[] = "no endpoint of its service was ready";
constexpr char DomainEvacuated[] =
    "all ready endpoints of its service were in evacuated failure domains";
constexpr char PartQuarantined[] =
    "the request or a part of its prompt has crashed several endpoints and "
    "is quarantined";
constexpr char EndpointsLimited[] =
    "the limits on calls that its endpoints name, or have while they are cold, "
    "were used up";
constexpr char EndpointsRest[] =
    "all endpoints that could run it had asked for a pause";
constexpr char Leaving[] =
    "it arrived or was waiting at a gateway that shuts down, and was not run";

struct CauseRow {
  std::string_view Outcome;
  std::string (*Describe)(const Evidence &, const LogLine &);
};

constexpr CauseRow CauseRows[] = {
    {"answered", answeredCause},
    {"over_limit", overLimitCause},
    {"keys_out_of_date", keysOutOfDateCause},
    {"unknown_key", fixedCause<UnknownKey>},
    {"no_route", fixedCause<NoRoute>},
    {"malformed", fixedCause<Malformed>},
    {"no_configuration", fixedCause<NoConfiguration>},
    {"newer_configuration", fixedCause<NewerConfiguration>},
    {"configuration_unconfirmed", fixedCause<ConfigurationUnconfirmed>},
    {"configuration_unreadable", fixedCause<ConfigurationUnreadable>},
    {"configuration_out_of_date", fixedCause<ConfigurationOutOfDate>},
    {"route_unreadable", fixedCause<RouteUnreadable>},
    {"service_unreadable", fixedCause<ServiceUnreadable>},
    {"team_unreadable", fixedCause<TeamUnreadable>},
    {"no_endpoint", fixedCause<NoEndpoint>},
    {"domain_evacuated", fixedCause<DomainEvacuated>},
    {"part_quarantined", fixedCause<PartQuarantined>},
    {"endpoints_limited", fixedCause<EndpointsLimited>},
    {"endpoints_rest", fixedCause<EndpointsRest>},
    {"leaving", fixedCause<Leaving>},
    {"no_time", unsentCause},
    {"deadline_unsent", unsentCause},
    {"not_run", notRunCause},
    {"endpoint_failed", endpointFailedCause},
    {"deadline", deadlineCause},
    {"deadline_in_stream", streamBrokenCause},
    {"shutdown", shutdownCause},
    {"stream_broken", streamBrokenCause},
    {"caller_gone", callerGoneCause},
};

} // namespace

std::string gatewayCause(const Evidence &evidence, const LogLine &outcome) {
  for (const CauseRow &row : CauseRows)
    if (row.Outcome == outcome.field("outcome"))
      return row.Describe(evidence, outcome);
  return "ended as " + outcome.field("outcome");
}

} // namespace Explain::Internal
