#ifndef HISTORY_FIELDCOUNT_H
#define HISTORY_FIELDCOUNT_H

#include <cstddef>
#include <utility>

namespace History::Internal {

struct AnyField {
  size_t Index;
  template <typename T> operator T() const;
};

template <typename T, size_t... Is>
constexpr bool hasFields(std::index_sequence<Is...> /*indexes*/) {
  return requires { T{AnyField{Is}...}; };
}

/// Number of members of an aggregate; lets a codec prove that it forgot none.
template <typename T, size_t N = 1> constexpr size_t fieldCount() {
  if constexpr (hasFields<T>(std::make_index_sequence<N>()))
    return fieldCount<T, N + 1>();
  else
    return N - 1;
}

} // namespace History::Internal

#endif // HISTORY_FIELDCOUNT_H
