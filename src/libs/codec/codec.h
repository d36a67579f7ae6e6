#ifndef CODEC_CODEC_H
#define CODEC_CODEC_H

/// Public header of the codec library: cereal encoding, and decoding that
/// validates lengths.
#include "codec/boundedarchive.h"
#include "utils/outcome.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace Codec {

/// Encodes a cereal-serializable value as little-endian data.
template <typename T> std::string encode(const T &value) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(
        out, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
    archive(value);
  }
  return std::move(out).str();
}

/// Decodes a value written by encode(). Fails with Errc::Corrupt when the data
/// is truncated, contains a length that exceeds it, or has trailing bytes.
template <typename T> Utils::Outcome<T> decode(std::string_view bytes) {
  T value{};
  try {
    BoundedInputArchive archive(bytes);
    archive(value);
    if (archive.remaining() != 0)
      return Utils::failure(Utils::Errc::Corrupt,
                            "trailing bytes after the value");
  } catch (const cereal::Exception &e) {
    return Utils::failure(Utils::Errc::Corrupt, e.what());
  }
  return value;
}

} // namespace Codec

#endif // CODEC_CODEC_H
