#ifndef GATEWAY_CALLWIRE_H
#define GATEWAY_CALLWIRE_H

#include "fleet/fleet.h"
#include "http/http.h"
#include "utils/outcome.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

/// A segment of a prompt that several calls may share.
struct PromptPart {
  std::string Id;
  uint32_t Tokens = 0;
};

/// Metadata of a call, decoded from the caller's headers.
struct CallMetadata {
  std::string Id;
  /// Time within which the caller expects an answer; not set if it states none.
  std::optional<Utils::Milliseconds> Timeout;
  std::string Key;
  std::string Model;
  std::string Adapter;
  /// Number of prompt tokens and maximum number of generated tokens.
  std::optional<std::pair<uint32_t, uint32_t>> Tokens;
  /// Prompt segments, in order.
  std::vector<PromptPart> Prompt;
  /// Last event that the caller received of an interrupted stream.
  std::string LastEventId;
};

/// Metadata that is added to a call when it is forwarded to an endpoint.
struct ForwardMetadata {
  const std::string &EndpointId;
  /// Name of the team; empty for a call without one.
  const std::string &Team;
  Utils::Milliseconds TimeLeft;
  uint8_t Priority = 0;
  /// Event after which the stream resumes; empty to start from the beginning.
  std::string LastEventId;
};

/// Status that an endpoint reports about itself in the head of any response.
struct EndpointNotice {
  /// The endpoint is shutting down and accepts no new calls.
  bool Leaving = false;
  /// Time during which the endpoint wants no requests from this VM.
  std::optional<Utils::Milliseconds> Backoff;
  /// Calls that the endpoint takes from all gateways together; not set if it
  /// names no limit.
  std::optional<double> CallsPerSecond;
};

/// Metadata of an endpoint's response, decoded from its head.
struct ReplyMetadata {
  /// Id of the call that the response belongs to; empty if it states none.
  std::string CallId;
  /// The endpoint states that it has not executed the call.
  bool NotExecuted = false;
  /// Callers take the status as a promise that the call has not been executed
  /// and never will be.
  bool PromisesNotExecuted = false;
  /// The response carries the endpoint's signature and its body is not
  /// re-encoded.
  bool Genuine = false;
  /// The address now belongs to another endpoint.
  bool WrongEndpoint = false;
  EndpointNotice Notice;
};

/// Translates calls between the gateway and the wire formats of callers and
/// endpoints.
struct CallWire {
  std::function<Utils::Outcome<CallMetadata>(const Http::Request &)> Decode;
  /// Builds the request that is sent to the endpoint.
  std::function<Http::Request(const Http::Request &, const ForwardMetadata &)>
      Forward;
  std::function<ReplyMetadata(const Http::ResponseHead &)> Reply;
  /// Builds the head of a refusal or error response that the gateway itself
  /// generates, with an optional Retry-After time.
  std::function<Http::ResponseHead(
      unsigned status, const std::string &callId,
      std::optional<Utils::Milliseconds> retryAfter)>
      Answer;
};

} // namespace Gateway

#endif // GATEWAY_CALLWIRE_H
