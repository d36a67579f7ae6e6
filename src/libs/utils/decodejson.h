#ifndef UTILS_DECODEJSON_H
#define UTILS_DECODEJSON_H

#include "utils/outcome.h"

#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace Utils {

/// Largest integer up to which every integer is exact as a JSON number.
constexpr int64_t MaxExactInteger = int64_t(1) << 53;

/// Returns the member as an integer. Throws an exception of the JSON library
/// if it is missing, has another type or a fraction, or is out of range; the
/// library's own conversion of such a number is undefined.
inline int64_t integerIn(const nlohmann::json &object, const char *name,
                         int64_t min, int64_t max) {
  const nlohmann::json &it = object.at(name);
  // As a double also for integers: those beyond MaxExactInteger are rejected.
  double value = it.get<double>();
  bool valid = value >= double(min) && value <= double(max) &&
               std::floor(value) == value;
  if (valid)
    return int64_t(value);
  constexpr int outOfRange = 401; // id of this out_of_range in the library
  throw nlohmann::json::out_of_range::create(
      outOfRange, std::string(name) + ": " + it.dump() + " is out of range",
      &it);
}

/// The optional member of the object, or null if it is missing. A member that
/// is JSON null counts as missing.
inline const nlohmann::json *findMember(const nlohmann::json &object,
                                        const char *name) {
  auto it = object.find(name);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

/// Value of the optional member of the object, or `defaultValue` if it is
/// missing or null. Throws an exception of the JSON library if it has another
/// type.
template <typename T>
T memberOr(const nlohmann::json &object, const char *name, T defaultValue) {
  const nlohmann::json *it = findMember(object, name);
  return it ? it->get<T>() : defaultValue;
}

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
