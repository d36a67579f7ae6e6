#include "codec/boundedarchive.h"

#include <cstring>

namespace Codec {

BoundedInputArchive::BoundedInputArchive(std::string_view bytes)
    : InputArchive(this), Bytes(bytes) {
  uint8_t littleEndian = 0;
  read(&littleEndian, sizeof(littleEndian));
  if (littleEndian != 1)
    throw cereal::Exception("data is not little-endian");
}

void BoundedInputArchive::read(void *data, size_t n) {
  if (n > Bytes.size())
    throw cereal::Exception("truncated data");
  if (n == 0)
    return;
  std::memcpy(data, Bytes.data(), n);
  Bytes.remove_prefix(n);
}

void BoundedInputArchive::checkLength(uint64_t n) const {
  if (n > Bytes.size())
    throw cereal::Exception("length exceeds the remaining data");
}

} // namespace Codec
