#include "utils/outcome.h"

#include <array>

namespace Utils {

namespace {

constexpr std::array<const char *, 12> ErrcNames = {
    "ok",        "invalid_argument", "not_found",       "unavailable",
    "timeout",   "conflict",         "out_of_range",    "corrupt",
    "exhausted", "cancelled",        "unauthenticated", "unknown_result",
};

class ErrorCategory : public std::error_category {
public:
  const char *name() const noexcept override { return "hickory"; }
  std::string message(int value) const override {
    auto index = static_cast<size_t>(value);
    return index < ErrcNames.size() ? ErrcNames[index] : "unrecognised";
  }
};

} // namespace

const std::error_category &errorCategory() {
  static const ErrorCategory category;
  return category;
}

std::error_code make_error_code(Errc code) {
  return {static_cast<int>(code), errorCategory()};
}

} // namespace Utils
