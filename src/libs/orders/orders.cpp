#include "orders/orders.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace Orders {

namespace {

using Utils::Errc;

constexpr int64_t MsPerSecond = 1000;
constexpr std::array<std::string_view, 3> SafeMethods = {"GET", "HEAD",
                                                         "OPTIONS"};
constexpr char TooLargeBody[] =
    "{\"note\":\"the call ran; its answer was too large to be recorded\"}\n";

constexpr std::array<std::string_view, 5> StepNames = {
    "claim", "replay", "other_request", "wait", "unknown"};

bool isVisible(char c) { return c > ' ' && c <= '~'; }

bool isDigit(char c) { return c >= '0' && c <= '9'; }

} // namespace

std::string_view stepName(Step step) {
  return StepNames[static_cast<size_t>(step)];
}

bool isSafeMethod(std::string_view method) {
  return std::find(SafeMethods.begin(), SafeMethods.end(), method) !=
         SafeMethods.end();
}

Utils::Outcome<Key> parseKey(std::string_view text) {
  if (text.empty() || text.size() > MaxKeyBytes ||
      !std::all_of(text.begin(), text.end(), isVisible))
    return Utils::failure(Errc::InvalidArgument,
                          "Idempotency-Key must be 1 to " +
                              std::to_string(MaxKeyBytes) +
                              " visible ASCII characters");
  Key key{std::string(text), 0};
  size_t colon = text.find(':');
  if (colon == std::string_view::npos || colon == 0 ||
      !std::all_of(text.begin(), text.begin() + static_cast<long>(colon),
                   isDigit))
    return key;
  auto [end, ec] =
      std::from_chars(text.data(), text.data() + colon, key.ExpiryUnixS);
  bool inRange = ec == std::errc() && key.ExpiryUnixS > 0 &&
                 key.ExpiryUnixS < INT64_MAX / MsPerSecond;
  if (!inRange)
    return Utils::failure(Errc::InvalidArgument,
                          "Idempotency-Key has an expiry out of range");
  return key;
}

bool isExpired(int64_t expiryUnixS, int64_t wallMs, uint32_t clockErrorMs) {
  return expiryUnixS != 0 && wallMs + clockErrorMs >= expiryUnixS * MsPerSecond;
}

bool claimerGone(const History::State &state, const History::Order &order) {
  if (state.Members.empty())
    return false;
  auto it = state.Members.find(order.Daemon);
  return it == state.Members.end() || it->second.Joined > order.Claimed;
}

Step nextStep(const History::State &state, const std::string &keyHash,
              const std::string &requestHash) {
  auto it = state.Orders.find(keyHash);
  if (it == state.Orders.end())
    return Step::Claim;
  const History::Order &order = it->second;
  bool withdrawn =
      order.Settled && order.Result == History::OrderResult::NotRun;
  if (order.RequestHash != requestHash &&
      !(withdrawn && order.RequestHash.empty()))
    return Step::OtherRequest;
  if (withdrawn)
    return Step::Claim;
  if (!order.Settled)
    return claimerGone(state, order) ? Step::Unknown : Step::Wait;
  return order.Result == History::OrderResult::Ran ? Step::Replay
                                                   : Step::Unknown;
}

bool maySend(const History::State &state, const History::OrderClaim &claim,
             int64_t wallMs, uint32_t clockErrorMs) {
  auto it = state.Orders.find(claim.KeyHash);
  return it != state.Orders.end() && it->second.ClaimId == claim.ClaimId &&
         !it->second.Settled &&
         !isExpired(claim.ExpiryUnixS, wallMs, clockErrorMs);
}

History::OrderOutcome outcomeOf(const History::OrderClaim &claim,
                                Result result) {
  History::OrderOutcome outcome;
  outcome.ClaimId = claim.ClaimId;
  outcome.KeyHash = claim.KeyHash;
  outcome.Result = result.Ran;
  outcome.HttpStatus = result.HttpStatus;
  if (result.Body.size() > MaxRecordedBodyBytes) {
    outcome.ContentType = "application/json";
    outcome.Body = TooLargeBody;
    return outcome;
  }
  outcome.ContentType = std::move(result.ContentType);
  outcome.Body = std::move(result.Body);
  return outcome;
}

} // namespace Orders
