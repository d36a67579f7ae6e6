#ifndef UTILS_OUTCOME_H
#define UTILS_OUTCOME_H

#include <cassert>
#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace Utils {

/// Error codes of failed operations.
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

/// The std::error_category of error codes made from Errc.
const std::error_category &errorCategory();

std::error_code make_error_code(Errc code);

/// The error of a failed operation: a code, and a message that says what is
/// wrong and where.
struct Failure {
  std::error_code Code;
  std::string What;
};

inline Failure failure(Errc code, std::string what) {
  return Failure{make_error_code(code), std::move(what)};
}

/// Result of an operation: a value of type T, or a Failure.
/// Thread-compatible.
template <typename T> class [[nodiscard]] Outcome {
public:
  Outcome(T value) : Storage(std::in_place_index<0>, std::move(value)) {}
  Outcome(Failure err) : Storage(std::in_place_index<1>, std::move(err)) {}

  bool ok() const { return Storage.index() == 0; }
  explicit operator bool() const { return ok(); }

  /// The value; requires ok().
  const T &value() const {
    assert(ok() && "outcome holds a failure");
    return std::get<0>(Storage);
  }
  T &value() {
    assert(ok() && "outcome holds a failure");
    return std::get<0>(Storage);
  }
  const T &operator*() const { return value(); }
  const T *operator->() const { return &value(); }

  /// The failure; requires !ok().
  const Failure &error() const {
    assert(!ok() && "outcome holds a value");
    return std::get<1>(Storage);
  }

private:
  std::variant<T, Failure> Storage;
};

/// Outcome of an operation that returns no value.
using Status = Outcome<std::monostate>;

inline Status success() { return Status(std::monostate{}); }

} // namespace Utils

template <> struct std::is_error_code_enum<Utils::Errc> : std::true_type {};

#endif // UTILS_OUTCOME_H
