#include "gateway/call.h"

#include "gateway/gatewayconstants.h"
#include "utils/utils.h"

#include <algorithm>

namespace Gateway {

bool Call::mayHedge() const {
  // Streams are passed on event by event, so two copies of one could not be
  // merged; the answer of a safe call is buffered whole.
  return State.Settings.HedgeShare > 0 &&
         Route->Kind == Fleet::RouteKind::Safe && Route->Attempts > 1;
}

/// Adds the time to first byte of the attempt, or the time without one so far,
/// to those of the route.
void Call::noteFirstByte(const Attempt &attempt) {
  if (!mayHedge())
    return;
  Utils::TimePoint now = Utils::BootClock::now();
  auto elapsed = attempt.AnsweredAt.value_or(now) - attempt.SentAt;
  State.FirstByteTimes[Route->Name].add(
      std::chrono::duration<double, std::milli>(elapsed).count(), now);
}

void Call::startHedgeTimer(const AttemptRef &attempt) {
  if (!mayHedge())
    return;
  auto slowAfter = State.FirstByteTimes[Route->Name].slowAfter(attempt->SentAt);
  if (!slowAfter)
    return;
  HedgeTimer.expires_at(attempt->SentAt + *slowAfter);
  HedgeTimer.async_wait(
      [self = shared_from_this(), attempt](const std::error_code &ec) {
        if (!ec)
          self->onSlow(attempt);
      });
}

void Call::onSlow(const AttemptRef &first) {
  constexpr unsigned noHead = 0;
  if (Done || Hedge || Current != first || !first->isInFlight() ||
      first->Head.Status != noHead)
    return;
  PickedAt = Utils::BootClock::now();
  if (Deadline - PickedAt < MinTimeToSend || isQuarantined(PickedAt) ||
      isSuspectedRequest())
    return;
  auto eligible = eligibleEndpoints();
  auto decision =
      Balance::decideHedge(describeSlow(eligible), PickedAt, State.Random);
  State.MetricsRegistry.add(
      "hickory_gateway_hedge_decisions_total",
      "reason=\"" + std::string(Balance::hedgeReasonName(decision.Reason)) +
          "\"");
  if (decision.Reason == Balance::HedgeReason::Send)
    sendHedge(*eligible[decision.Target]);
}

Balance::SlowCall
Call::describeSlow(const std::vector<const Fleet::Endpoint *> &eligible) {
  const std::string &current = Current->EndpointId;
  Balance::SlowCall slow;
  slow.Kind = Route->Kind;
  slow.Resumable = Route->Resumable;
  slow.AnswerStarted = AnswerStarted;
  slow.RunsStarted = RunsStarted;
  slow.MaxRuns = Route->Attempts;
  auto waiting = State.PendingDispatch.summary();
  slow.CallsWaiting =
      std::any_of(waiting.begin(), waiting.end(), [&](const auto &it) {
        return it.Service == Service && it.Model == Metadata.Model;
      });
  slow.EndpointOverLimit =
      State.HealthTracker.health(current).OverLimitUntil > PickedAt;
  slow.HedgeEarned = State.hedgeBudget(Service).hasHedge();
  slow.RetryPermitted = State.retryBudget(Service).hasRetry(PickedAt);
  for (const Fleet::Endpoint *it : eligible) {
    const std::string &id = it->Report.Id;
    bool limited = State.Coordination.member().hasLimit(id, PickedAt);
    slow.Candidates.push_back({candidateFor(*it), limited, id == current});
  }
  return slow;
}

void Call::sendHedge(const Fleet::Endpoint &endpoint) {
  State.hedgeBudget(Service).takeHedge();
  State.retryBudget(Service).takeRetry(PickedAt);
  State.MetricsRegistry.add("hickory_gateway_hedges_sent_total", "");
  Utils::Event("hedge_sent")
      .with("id", Metadata.Id)
      .with("endpoint", endpoint.Report.Id)
      .with("first", Current->EndpointId)
      .with("route", Route->Name)
      .with("model", Metadata.Model)
      .with("ms", Utils::msBetween(Current->SentAt, PickedAt))
      .info();
  AttemptRef attempt = beginAttempt(endpoint.Report.Id);
  attempt->IsHedge = true;
  Hedge = attempt;
  send(attempt, endpoint);
}

bool Call::leaveToOtherCopy(const Attempt &ended) {
  if (!Hedge)
    return false;
  AttemptRef hedge = std::exchange(Hedge, nullptr);
  if (&ended != hedge.get())
    Current = hedge;
  return true;
}

void Call::endOtherCopy(const Attempt &winner) {
  if (Hedge) {
    AttemptRef loser = &winner == Hedge.get() ? Current : Hedge;
    loser->Connection->cancel();
    if (!loser->AnsweredAt)
      noteFirstByte(*loser);
    endSend(*loser, Balance::AttemptResult::Cancelled);
    leaveToOtherCopy(*loser);
  }
  if (!winner.IsHedge || Done)
    return;
  State.MetricsRegistry.add("hickory_gateway_hedges_won_total", "");
  Utils::Event("hedge_won")
      .with("id", Metadata.Id)
      .with("endpoint", winner.EndpointId)
      .with("ms", Utils::msBetween(winner.SentAt, Utils::BootClock::now()))
      .info();
}

void Call::cancelHedge() {
  if (!Hedge)
    return;
  AttemptRef hedge = std::exchange(Hedge, nullptr);
  hedge->Connection->cancel();
  endSend(*hedge, Balance::AttemptResult::Cancelled);
}

} // namespace Gateway
