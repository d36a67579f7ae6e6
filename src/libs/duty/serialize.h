#ifndef DUTY_SERIALIZE_H
#define DUTY_SERIALIZE_H

#include "duty/duty.h"
#include "storeera/serialize.h"

namespace Duty {

template <class Archive> void serialize(Archive &archive, FormerHolder &it) {
  archive(it.Name, it.EndedMs);
}

template <class Archive> void serialize(Archive &archive, Record &it) {
  archive(it.Holder, it.Address, it.Token, it.Released, it.Members, it.Former,
          it.Notes, it.InEra);
}

/// Record as it was written before it named its era.
struct EarlierRecord {
  Record Value;
};

template <class Archive> void serialize(Archive &archive, EarlierRecord &it) {
  archive(it.Value.Holder, it.Value.Address, it.Value.Token, it.Value.Released,
          it.Value.Members, it.Value.Former, it.Value.Notes);
}

} // namespace Duty

#endif // DUTY_SERIALIZE_H
