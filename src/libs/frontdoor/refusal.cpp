#include "frontdoor/frontdoor.h"

#include <array>
#include <nlohmann/json.hpp>

namespace FrontDoor {

namespace {

constexpr std::array<std::string_view, 3> RunStateNames = {"not-run", "ran",
                                                           "unknown"};

struct ReasonRow {
  Reason Why;
  std::string_view Name;
  int Status;
};

constexpr ReasonRow ReasonRows[] = {
    {Reason::MalformedRequest, "malformed_request", 400},
    {Reason::BodyTooLarge, "body_too_large", 413},
    {Reason::HeadTooLarge, "headers_too_large", 431},
    {Reason::TooSlow, "request_too_slow", 408},
    {Reason::MissingKey, "missing_key", 401},
    {Reason::UnknownKey, "unknown_key", 401},
    {Reason::NotAllowed, "not_allowed", 403},
    {Reason::UnknownModel, "unknown_model", 404},
    {Reason::UnknownRoute, "unknown_route", 404},
    {Reason::NoCapacity, "no_capacity", 503},
    {Reason::OverRate, "over_rate", 429},
    {Reason::DeadlineTooShort, "deadline_too_short", 503},
    {Reason::DeadlineExceeded, "deadline_exceeded", 504},
    {Reason::HistoryUnavailable, "history_unavailable", 503},
    {Reason::EndpointFailed, "endpoint_failed", 502},
    {Reason::KeyInUse, "idempotency_key_in_use", 409},
    {Reason::KeyReused, "idempotency_key_reused", 422},
    {Reason::MissingIdempotencyKey, "missing_idempotency_key", 400},
    {Reason::InvalidIdempotencyKey, "invalid_idempotency_key", 400},
    {Reason::IdempotencyKeyExpired, "idempotency_key_expired", 400},
    {Reason::OutcomeUnknown, "outcome_unknown", 409},
    {Reason::Draining, "draining", 503},
    {Reason::Cancelled, "cancelled", 499},
};

constexpr uint32_t MsPerSecond = 1000;

} // namespace

std::string_view runStateName(RunState state) {
  return RunStateNames[static_cast<size_t>(state)];
}

std::string_view reasonName(Reason reason) {
  return ReasonRows[static_cast<size_t>(reason)].Name;
}

Answer refusalAnswer(const Refusal &refusal, const std::string &requestId) {
  nlohmann::json error = {{"reason", reasonName(refusal.Why)},
                          {"run_state", runStateName(refusal.Ran)},
                          {"message", refusal.Message},
                          {"request_id", requestId}};
  Answer answer;
  answer.Refused = refusal;
  answer.Status = ReasonRows[static_cast<size_t>(refusal.Why)].Status;
  if (refusal.RetryAfterMs > 0) {
    error["retry_after_ms"] = refusal.RetryAfterMs;
    uint32_t seconds = (refusal.RetryAfterMs + MsPerSecond - 1) / MsPerSecond;
    answer.Headers["Retry-After"] = std::to_string(seconds);
  }
  answer.Body = nlohmann::json{{"error", error}}.dump(
                    -1, ' ', false, nlohmann::json::error_handler_t::replace) +
                "\n";
  return answer;
}

} // namespace FrontDoor
