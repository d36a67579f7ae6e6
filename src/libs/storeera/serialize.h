#ifndef STOREERA_SERIALIZE_H
#define STOREERA_SERIALIZE_H

#include "storeera/storeera.h"

namespace StoreEra {

template <class Archive> void serialize(Archive &archive, Era &it) {
  archive(it.Number);
}

} // namespace StoreEra

#endif // STOREERA_SERIALIZE_H
