#include "storeera/storeera.h"

namespace StoreEra {

Comparison compare(const Position &other, const Position &own) {
  if (other.InEra != own.InEra)
    return other.InEra < own.InEra ? Comparison::EarlierEra
                                   : Comparison::LaterEra;
  return other.Offset > own.Offset ? Comparison::Ahead : Comparison::NotAhead;
}

std::string textOf(const Era &era) {
  return era.Number ? std::to_string(*era.Number) : "unknown";
}

} // namespace StoreEra
