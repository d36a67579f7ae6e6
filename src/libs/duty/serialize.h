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
          it.Notes, it.InEra, it.Peers);
}

/// Record as it was written before it named other gateways.
struct RecordWithoutPeers {
  Record Value;
};

template <class Archive>
void serialize(Archive &archive, RecordWithoutPeers &it) {
  archive(it.Value.Holder, it.Value.Address, it.Value.Token, it.Value.Released,
          it.Value.Members, it.Value.Former, it.Value.Notes, it.Value.InEra);
}

/// Record as it was written before it named its era.
struct RecordWithoutEra {
  Record Value;
};

template <class Archive>
void serialize(Archive &archive, RecordWithoutEra &it) {
  archive(it.Value.Holder, it.Value.Address, it.Value.Token, it.Value.Released,
          it.Value.Members, it.Value.Former, it.Value.Notes);
}

} // namespace Duty

#endif // DUTY_SERIALIZE_H
