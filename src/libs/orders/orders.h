#ifndef ORDERS_ORDERS_H
#define ORDERS_ORDERS_H

/// Public header of the orders library: what to do with a call that may run at
/// most once for its idempotency key. All functions are pure.
#include "history/history.h"
#include "utils/utils.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Orders {

inline constexpr size_t MaxKeyBytes = 200;
/// Longest answer body that is recorded; beyond it a note is replayed.
inline constexpr size_t MaxRecordedBodyBytes = 65536;

/// Whether the method has no effect by its definition (RFC 9110, 9.2.1).
bool isSafeMethod(std::string_view method);

/// Idempotency key. A key of the form `<unix-seconds>:<text>` carries an
/// expiry.
struct Key {
  std::string Text;
  /// Unix seconds; 0 when the key carries none.
  int64_t ExpiryUnixS = 0;
};

/// Checks length, characters (visible ASCII) and the expiry prefix.
Utils::Outcome<Key> parseKey(std::string_view text);

/// Whether the key must not start a run any more. Clocks of two VMs may differ
/// by up to clockErrorMs, and claims are kept for the same time after the
/// expiry, so that no daemon starts a run for a claim that another forgot.
bool isExpired(int64_t expiryUnixS, int64_t wallMs, uint32_t clockErrorMs);

/// Whether the daemon that holds the claim can no longer settle it: it left,
/// or started anew after the claim.
bool claimerGone(const History::State &state, const History::Order &order);

/// Next step of a call, as the state shows its key.
enum class Step : uint8_t {
  Claim,        ///< The key is free: claim it.
  Replay,       ///< The call ran; replay the recorded answer.
  OtherRequest, ///< The key was used for another request.
  Wait,         ///< Another daemon is running the call.
  Unknown,      ///< Whether the call ran will not be known.
};

std::string_view stepName(Step step);

Step nextStep(const History::State &state, const std::string &keyHash,
              const std::string &requestHash);

/// Whether the claim is in force, open and unexpired, so that its holder may
/// send. To be asked after the claim was accepted: the claim keeps all other
/// daemons from sending, for however long the send is then delayed.
bool maySend(const History::State &state, const History::OrderClaim &claim,
             int64_t wallMs, uint32_t clockErrorMs);

/// What is known about a call that was sent, or was not.
struct Result {
  History::OrderResult Ran = History::OrderResult::Unknown;
  uint16_t HttpStatus = 0;
  std::string ContentType;
  std::string Body;
};

/// Record that settles the claim; a body over the bound is left out.
History::OrderOutcome outcomeOf(const History::OrderClaim &claim,
                                Result result);

} // namespace Orders

#endif // ORDERS_ORDERS_H
