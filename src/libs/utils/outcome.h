#ifndef UTILS_OUTCOME_H
#define UTILS_OUTCOME_H

#include <cassert>
#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace Utils {

/// Reasons for which an operation can fail.
enum class Errc {
  Ok = 0,
  InvalidArgument,
  NotFound,
  Unavailable,
  DeadlineExceeded,
  Conflict,
  OutOfRange,
  Corrupt,
  ResourceExhausted,
  Cancelled,
  Unauthenticated,
  UnknownResult,
};

/// Category of all error codes made from Errc.
const std::error_category &errorCategory();

std::error_code make_error_code(Errc code);

/// A failed outcome: the error code and a message that names what is wrong and
/// where.
struct Failure {
  std::error_code Code;
  std::string What;
};

inline Failure failure(Errc code, std::string what) {
  return Failure{make_error_code(code), std::move(what)};
}

/// A value of type T, or the Failure that stands in its place.
/// Thread-compatible.
template <typename T> class [[nodiscard]] Outcome {
public:
  Outcome(T value) : Content(std::in_place_index<0>, std::move(value)) {}
  Outcome(Failure fail) : Content(std::in_place_index<1>, std::move(fail)) {}

  bool ok() const { return Content.index() == 0; }
  explicit operator bool() const { return ok(); }

  /// The value; ok() must hold.
  const T &value() const {
    assert(ok() && "outcome holds a failure");
    return std::get<0>(Content);
  }
  T &value() {
    assert(ok() && "outcome holds a failure");
    return std::get<0>(Content);
  }
  const T &operator*() const { return value(); }
  const T *operator->() const { return &value(); }

  /// The failure; ok() must not hold.
  const Failure &error() const {
    assert(!ok() && "outcome holds a value");
    return std::get<1>(Content);
  }

private:
  std::variant<T, Failure> Content;
};

/// Outcome of an operation that yields no value.
using Status = Outcome<std::monostate>;

inline Status success() { return Status(std::monostate{}); }

} // namespace Utils

template <> struct std::is_error_code_enum<Utils::Errc> : std::true_type {};

#endif // UTILS_OUTCOME_H
