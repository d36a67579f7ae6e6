#ifndef GATEWAY_CALL_H
#define GATEWAY_CALL_H

#include "gateway/attempt.h"
#include "gateway/gateway.h"

#include <set>

namespace Gateway {

/// One in-flight request of a caller, from its arrival until its answer is
/// complete. Its pending callbacks keep it alive.
class Call : public std::enable_shared_from_this<Call> {
public:
  Call(GatewayState &state, HttpIo::ServerConnectionRef caller,
       Http::Request request);

  void start();
  /// Tries again to pick an endpoint; returns false when the call no longer
  /// waits for one.
  bool retryDispatch();
  /// Refuses a queued call because the gateway shuts down.
  void refuseQueued();
  /// Ends the call with a final answer, as the process is about to end.
  void endForShutdown();
  /// The rate limit of the call's team, or of the endpoint chosen for it, has
  /// admitted or rejected it.
  void onAdmissionDecided(const Quota::Decision &decision);
  FleetLink::WaitingCalls queuedDemand(Utils::TimePoint now) const;
  bool isDone() const { return Done; }

private:
  /// Checks the caller's key; refuses the call and returns false if it may not
  /// use the route.
  bool authenticate();
  /// Adds the hash of the request to the call's parts: a caller's repeat of a
  /// request has another id, but the same host, target and body.
  void identifyRequest();
  void requestTokens();
  /// Requests tokens of a limit, a team's or an endpoint's. Returns nothing if
  /// the decision is pending.
  std::optional<Quota::Decision>
  requestTokensOf(const std::string &limit, double tokens,
                  const Quota::QueueTicket &ticket = {});
  Quota::QueueTicket queueTicket() const;
  void onTeamDecided(const Quota::Decision &decision);
  void refuseOverLimit(const Quota::Decision &decision);
  void cancelTokenRequest();
  void proceed();
  double tokenCost() const;
  bool resolveRoute();
  bool findRoute();
  void refuseUnknown(unsigned status, std::string_view reason);
  void dispatch();
  bool tryDispatch();
  void wait();
  bool needsModel() const;
  std::optional<std::string> pickEndpoint();
  std::vector<const Fleet::Endpoint *> eligibleEndpoints() const;
  bool isEligible(const Fleet::Endpoint &endpoint) const;
  /// Whether all ready endpoints of the service are in failure domains that
  /// take no calls.
  bool isServiceEvacuated() const;
  /// Sends the call to the endpoint if its limit allows it now. Returns false
  /// if it does not.
  bool sendWithinLimit(const std::string &endpoint);
  void onEndpointLimitDecided(const Quota::Decision &decision);
  void pauseOverLimit(const std::string &endpoint,
                      const Quota::Decision &decision);
  void startSending(const std::string &endpoint);
  AttemptRef beginAttempt(const std::string &endpoint);
  void send(const AttemptRef &sent, const Fleet::Endpoint &endpoint);
  Balance::Candidate candidateFor(const Fleet::Endpoint &endpoint) const;
  HttpIo::ClientConnectionRef connectionForSend(const Attempt &attempt);
  HttpIo::ResponseCallbacks responseEvents(const AttemptRef &attempt);
  /// Whether an answer with this head may go on with the stream that another
  /// endpoint has begun.
  bool continuesStream(const Http::ResponseHead &head) const;
  HttpIo::HeadVerdict onHead(Attempt &attempt, const Http::ResponseHead &head,
                             Http::Framing framing);
  void logSkippedReply(const Attempt &attempt, const std::string &callId,
                       unsigned status) const;
  void onBody(Attempt &attempt, std::string_view data);
  void forwardEvents(Attempt &attempt);
  /// Lets the bound on all buffered answers abort the attempt.
  void limitBuffer(const AttemptRef &attempt);
  void abortOversizedAnswer(Attempt &attempt);
  void onEnd(Attempt &attempt, HttpIo::ExchangeResult end);
  void completeAnswer(const Attempt &attempt);
  /// Whether the ended stream stops inside an event, or has none although
  /// nothing but the end of its connection says that it is complete.
  bool isStreamCutOff(const Attempt &attempt) const;
  void onSendFailed(Attempt &attempt, Balance::AttemptResult end);
  /// The endpoint broke off the exchange.
  void onBrokenOff(Attempt &attempt);
  /// The endpoint has been answering long enough for the answer to show that
  /// the call does not crash it.
  static bool isAnswering(const Attempt &attempt);
  /// The endpoint has answered, so the call's parts do not crash it.
  void recordAnswer(const Attempt &attempt);
  /// Refuses the call and returns true if its prompt parts are quarantined.
  bool refuseQuarantined();
  bool isQuarantined(Utils::TimePoint now) const;
  /// Whether the request may be one that crashes endpoints. The crash of the
  /// attempt that has just ended does not count, as it is not certain yet.
  bool isSuspectedRequest() const;
  /// Whether the call may get a second copy when the first is slow.
  bool mayHedge() const;
  void noteFirstByte(const Attempt &attempt);
  void startHedgeTimer(const AttemptRef &attempt);
  /// The attempt has had no answer for longer than is usual on its route.
  void onSlow(const AttemptRef &first);
  Balance::SlowCall
  describeSlow(const std::vector<const Fleet::Endpoint *> &eligible);
  void sendHedge(const Fleet::Endpoint &endpoint);
  /// Removes an attempt that has ended. Returns whether the call's other copy
  /// is in flight.
  bool leaveToOtherCopy(const Attempt &ended);
  /// Cancels the copy of the call that has not won.
  void endOtherCopy(const Attempt &winner);
  void cancelHedge();
  void applyNextStep(Balance::RecoveryAction next);
  void endBetweenSends(std::string_view reason,
                       std::optional<Utils::Milliseconds> retryAfter);
  void onDeadline();
  /// Outcomes of a call that ends without an endpoint's answer, by how far it
  /// has come.
  struct EndOutcomes {
    std::string_view InStream;
    std::string_view NotRun;
    std::string_view Unanswered;
  };
  void endUnanswered(const EndOutcomes &outcomes,
                     Balance::AttemptResult attempt,
                     Utils::Milliseconds retryAfter);
  void onCallerDisconnected();
  void endSend(Attempt &attempt, Balance::AttemptResult end);
  void refuse(unsigned status, std::string_view reason,
              std::optional<Utils::Milliseconds> retryAfter = std::nullopt);
  void finish(std::string_view outcome, unsigned status);
  void logEnd(std::string_view outcome, unsigned status);
  bool streams() const;
  void beginStream(const Attempt &attempt);

  GatewayState &State;
  HttpIo::ServerConnectionRef Caller;
  Http::Request Request;
  CallMetadata Metadata;
  /// Prompt parts that other calls may share, and the hash of the request.
  Quarantine::Parts CrashParts;
  Fleet::ConfigurationRef Configuration;
  const Fleet::Route *Route = nullptr;
  const Fleet::Team *Team = nullptr;
  std::string Service;
  Utils::TimePoint ArrivedAt;
  Utils::TimePoint Deadline;
  HttpIo::Timer DeadlineTimer;

  /// The latest attempt; its endpoint is empty before the first.
  AttemptRef Current = std::make_shared<Attempt>();
  /// The second copy; null unless both are in flight.
  AttemptRef Hedge;
  HttpIo::Timer HedgeTimer;
  /// When an endpoint was last picked.
  Utils::TimePoint PickedAt;

  /// Head of the stream that has begun, whose rest other endpoints may send.
  Http::ResponseHead StreamHead;
  /// Id of the last stream event that was forwarded to the caller in full.
  std::string LastEventId;
  std::set<std::string> TriedEndpoints;
  // Input of the latest endpoint selection, for the call_ended log line.
  size_t Candidates = 0;
  uint32_t ChosenLoad = 0;
  /// Earliest time at which an endpoint that asked to back off accepts calls
  /// again.
  std::optional<Utils::TimePoint> BackoffEnd;
  /// Earliest time at which an endpoint whose limit is used up is expected to
  /// take the call.
  std::optional<Utils::TimePoint> WithinLimitAt;
  Utils::TimePoint QueuedSince{};
  Utils::Milliseconds QueuedFor{0};
  std::optional<Utils::Milliseconds> RetryAfter;
  /// Length of the team's virtual queue when the call was rejected.
  std::optional<uint32_t> QueueLength;
  double TokensTaken = 0;
  /// Id of the pending token request; 0 if there is none.
  uint64_t TokenRequestId = 0;
  /// Limit of which the pending request asks tokens.
  std::string RequestedLimit;
  /// Endpoint to which the call is sent when its limit admits it; empty while
  /// none is chosen.
  std::string ReservedEndpoint;
  uint32_t Sends = 0;
  uint32_t RunsStarted = 0;
  bool AnswerStarted = false;
  bool Done = false;
};

} // namespace Gateway

#endif // GATEWAY_CALL_H
