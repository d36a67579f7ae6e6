#ifndef ADMISSION_USAGE_H
#define ADMISSION_USAGE_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace Admission {

/// Tokens that a request may come to, before it runs.
struct RequestCost {
  /// Estimated from the length of the texts.
  uint64_t Prompt = 0;
  /// Most tokens that it may generate, over all choices asked for.
  uint64_t Generated = 0;
  /// The request names its limit of generated tokens itself.
  bool GeneratedNamed = false;

  uint64_t total() const { return Prompt + Generated; }
};

/// Cost of a completion or chat request by its JSON body.
RequestCost costOf(std::string_view body);

/// Tokens that an engine says it used.
struct Usage {
  uint64_t Prompt = 0;
  uint64_t Generated = 0;
};

/// Usage in a whole JSON answer or one event of a stream; nothing when it has
/// none.
std::optional<Usage> usageIn(std::string_view json);

/// Tokens in an answer without usage, estimated from its length.
uint64_t estimateTokens(std::string_view text);

} // namespace Admission

#endif // ADMISSION_USAGE_H
