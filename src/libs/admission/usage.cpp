#include "admission/usage.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Admission {

namespace {

using Json = nlohmann::json;

constexpr uint64_t BytesPerToken = 4;
/// Reserved for a request that does not say how much it may generate.
constexpr uint64_t DefaultGenerated = 256;
constexpr uint64_t MaxGenerated = 1'000'000;
constexpr uint64_t MaxChoices = 128;

uint64_t numberIn(const Json &body, const char *name, uint64_t otherwise) {
  auto it = body.find(name);
  if (it == body.end() || !it->is_number_unsigned())
    return otherwise;
  return it->get<uint64_t>();
}

/// Tokens of all texts within a value.
uint64_t tokensWithin(const Json &value) {
  if (value.is_string())
    return estimateTokens(value.get_ref<const std::string &>());
  uint64_t tokens = value.is_number() ? 1 : 0;
  if (value.is_structured())
    for (const Json &it : value)
      tokens += tokensWithin(it);
  return tokens;
}

uint64_t generatedOf(const Json &body) {
  uint64_t each = numberIn(body, "max_completion_tokens",
                           numberIn(body, "max_tokens", DefaultGenerated));
  uint64_t choices =
      std::max(numberIn(body, "n", 1), numberIn(body, "best_of", 1));
  return std::min(each, MaxGenerated) *
         std::clamp<uint64_t>(choices, 1, MaxChoices);
}

} // namespace

uint64_t estimateTokens(std::string_view text) {
  return (text.size() + BytesPerToken - 1) / BytesPerToken;
}

RequestCost costOf(std::string_view body) {
  RequestCost cost;
  Json parsed = Json::parse(body, nullptr, false);
  if (!parsed.is_object())
    return cost;
  for (const char *name : {"prompt", "messages", "tools"})
    if (auto it = parsed.find(name); it != parsed.end())
      cost.Prompt += tokensWithin(*it);
  cost.Generated = generatedOf(parsed);
  cost.GeneratedNamed =
      parsed.contains("max_tokens") || parsed.contains("max_completion_tokens");
  return cost;
}

std::optional<Usage> usageIn(std::string_view json) {
  Json parsed = Json::parse(json, nullptr, false);
  if (!parsed.is_object())
    return std::nullopt;
  auto it = parsed.find("usage");
  if (it == parsed.end() || !it->is_object())
    return std::nullopt;
  return Usage{numberIn(*it, "prompt_tokens", 0),
               numberIn(*it, "completion_tokens", 0)};
}

} // namespace Admission
