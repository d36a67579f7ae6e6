#ifndef UTILS_DECODEJSON_H
#define UTILS_DECODEJSON_H

#include "utils/outcome.h"

#include <nlohmann/json.hpp>

namespace Utils {

/// What `decode(body)` makes of a service's JSON answer. A member that is
/// missing or of another type is Errc::Corrupt and named after `what`. Apart
/// from utils.h, since few need the JSON library.
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
