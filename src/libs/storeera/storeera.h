#ifndef STOREERA_STOREERA_H
#define STOREERA_STOREERA_H

/// Public header of the storeera library: eras of the platform's store, and
/// positions in its topics.
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace StoreEra {

/// Era of the store's content. It rises each time the store comes back from an
/// older copy, which gives offsets out again: an offset means something in its
/// era only. An unknown era is lower than every known one.
struct Era {
  std::optional<uint64_t> Number;
  bool isKnown() const { return Number.has_value(); }
  auto operator<=>(const Era &) const = default;
};

/// Position in a topic: the offset of the next record, in an era.
struct Position {
  Era InEra;
  uint64_t Offset = 0;
  bool operator==(const Position &) const = default;
};

/// How a position compares with one's own.
enum class Comparison : uint8_t {
  EarlierEra, ///< Says nothing of the records of the own era.
  NotAhead,
  Ahead,
  LaterEra, ///< The own offset means nothing any more.
};
Comparison compare(const Position &other, const Position &own);

/// The number, or `unknown`.
std::string textOf(const Era &era);

} // namespace StoreEra

#endif // STOREERA_STOREERA_H
