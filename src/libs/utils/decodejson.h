#ifndef UTILS_DECODEJSON_H
#define UTILS_DECODEJSON_H

#include "utils/outcome.h"

#include <nlohmann/json.hpp>

namespace Utils {

/// Decodes the JSON body of a service's response with `decode(body)`. Fails
/// with Errc::Corrupt when a member is missing or has another type; `what`
/// begins the message. Not included by utils.h, since few users need the JSON
/// library.
template <class Decode>
auto decodeJson(const nlohmann::json &body, const std::string &what,
                const Decode &decode) -> Outcome<decltype(decode(body))> {
  try {
    return decode(body);
  } catch (const nlohmann::json::exception &e) {
    return failure(Errc::Corrupt, what + ": " + e.what());
  }
}

} // namespace Utils

#endif // UTILS_DECODEJSON_H
